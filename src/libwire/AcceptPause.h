#ifndef FULMARQUAY_WIRE_ACCEPTPAUSE_H
#define FULMARQUAY_WIRE_ACCEPTPAUSE_H

#include "LimitedLog.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <utility>

namespace fulmarquay {

/// The pause of a listener after a connection could not be accepted. Without
/// descriptors, the next attempt would fail at once too.
class AcceptPause
{
public:
  explicit AcceptPause(boost::asio::io_context& aContext)
    : m_timer(aContext)
  {
  }

  /// Logs the error and calls `aRetry` after kDelay.
  template<typename Retry>
  void Start(const boost::asio::ip::tcp::acceptor& aAcceptor,
             const boost::system::error_code& aError,
             Retry aRetry)
  {
    boost::system::error_code ignored;
    m_log.Add(
      { { "port", std::to_string(aAcceptor.local_endpoint(ignored).port()) },
        { "reason", aError.message() } });
    m_timer.expires_after(kDelay);
    m_timer.async_wait([retry = std::move(aRetry)](
                         const boost::system::error_code&) { retry(); });
  }

private:
  /// Callers allow a new connection one second; it waits in the system's queue.
  static constexpr std::chrono::milliseconds kDelay{ 50 };

  boost::asio::steady_timer m_timer;
  LimitedLog m_log{ LogEvent::AcceptFailed };
};

} // namespace fulmarquay

#endif
