#ifndef FULMARQUAY_WIRE_FRAMECALL_H
#define FULMARQUAY_WIRE_FRAMECALL_H

#include "fulmarquay/core/Endpoint.h"
#include "fulmarquay/core/Units.h"
#include "fulmarquay/wire/Frame.h"

namespace fulmarquay {

/// Sends one frame and waits for one frame in answer; blocks. For tools.
/// Throws Error with step and peer when there is none in time.
Frame
CallFrame(const Endpoint& aPeer, const Frame& aFrame, Duration aTimeout);

} // namespace fulmarquay

#endif
