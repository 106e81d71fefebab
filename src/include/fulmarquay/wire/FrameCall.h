#ifndef FULMARQUAY_WIRE_FRAMECALL_H
#define FULMARQUAY_WIRE_FRAMECALL_H

#include "fulmarquay/core/Endpoint.h"
#include "fulmarquay/core/Units.h"
#include "fulmarquay/wire/Frame.h"

namespace fulmarquay {

/// Sends one frame to a peer and returns the reply frame. Blocking; meant for
/// command-line tools. Throws Error with step and peer when no reply arrives
/// within the timeout.
Frame
CallPeer(const Endpoint& aPeer, const Frame& aFrame, Duration aTimeout);

} // namespace fulmarquay

#endif
