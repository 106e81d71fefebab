#include <utility>

#include "fulmarquay/daemon/SettingsReload.h"

#include "fulmarquay/core/Error.h"
#include "fulmarquay/core/LogEvent.h"

#include <csignal>

namespace fulmarquay {

SettingsReload::SettingsReload(boost::asio::io_context& aContext,
                               std::string aFile,
                               const SettingsSpec& aSpec,
                               Handler aHandler)
  : m_signals(aContext, SIGHUP)
  , m_file(std::move(aFile))
  , m_spec(aSpec)
  , m_handler(std::move(aHandler))
{
  AwaitSignal();
}

void
SettingsReload::AwaitSignal()
{
  m_signals.async_wait([this](const boost::system::error_code& aError, int) {
    if (aError) {
      return;
    }
    try {
      m_handler(Settings::Load(m_file, m_spec));
      WriteLog(LogEvent::SettingsReloaded, { { "file", m_file } });
    } catch (const Error& e) {
      WriteLog(LogEvent::SettingsRefused,
               { { "step", e.Step() }, { "reason", e.Reason() } });
    }
    AwaitSignal();
  });
}

} // namespace fulmarquay
