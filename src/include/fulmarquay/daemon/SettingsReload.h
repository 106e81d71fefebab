#ifndef FULMARQUAY_DAEMON_SETTINGSRELOAD_H
#define FULMARQUAY_DAEMON_SETTINGSRELOAD_H

#include "fulmarquay/core/Settings.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <functional>
#include <string>

namespace fulmarquay {

class SettingsSpec;

/// Reloads a daemon's settings file at each SIGHUP. An unreadable or invalid
/// file is logged and otherwise ignored. Runs on the context's thread.
class SettingsReload
{
public:
  using Handler = std::function<void(const Settings&)>;

  SettingsReload(boost::asio::io_context& aContext,
                 std::string aFile,
                 const SettingsSpec& aSpec,
                 Handler aHandler);

private:
  void AwaitSignal();

  boost::asio::signal_set m_signals;
  std::string m_file;
  const SettingsSpec& m_spec;
  Handler m_handler;
};

} // namespace fulmarquay

#endif
