#ifndef FULMARQUAY_STANDIN_RELAY_H
#define FULMARQUAY_STANDIN_RELAY_H

#include "fulmarquay/core/Endpoint.h"

#include <boost/asio/io_context.hpp>
#include <memory>

namespace fulmarquay {

/// A TCP proxy that can simulate a network partition. `SIGUSR1` starts a
/// partition at all relays of the process: connections stay open, and bytes
/// are discarded in both directions. `SIGUSR2` ends it and closes all open
/// connections.
class Relay
{
public:
  /// Starts to accept connections. Throws Error if it can't listen.
  Relay(boost::asio::io_context& aContext,
        const Endpoint& aListen,
        const Endpoint& aTarget);
  ~Relay();

  void SetPartitioned(bool aIsPartitioned);

private:
  class Impl;
  std::shared_ptr<Impl> m_impl;
};

} // namespace fulmarquay

#endif
