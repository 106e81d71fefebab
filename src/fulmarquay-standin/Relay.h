#ifndef FULMARQUAY_STANDIN_RELAY_H
#define FULMARQUAY_STANDIN_RELAY_H

#include "fulmarquay/core/Endpoint.h"

#include <boost/asio/io_context.hpp>
#include <memory>

namespace fulmarquay {

/// A TCP relay whose link can be cut: `SIGUSR1` cuts all relays of the
/// process silently (bytes are swallowed in both directions, connections stay
/// open), `SIGUSR2` ends the cut and closes what was cut.
class Relay
{
public:
  /// Accepts connections. Throws Error.
  Relay(boost::asio::io_context& aContext,
        const Endpoint& aListen,
        const Endpoint& aTarget);
  ~Relay();

  void SetCut(bool aIsCut);

private:
  class Impl;
  std::shared_ptr<Impl> m_impl;
};

} // namespace fulmarquay

#endif
