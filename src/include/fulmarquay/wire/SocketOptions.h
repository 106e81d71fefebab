#ifndef FULMARQUAY_WIRE_SOCKETOPTIONS_H
#define FULMARQUAY_WIRE_SOCKETOPTIONS_H

#include "fulmarquay/core/Units.h"

namespace fulmarquay {

/// Lets the kernel close a connection whose peer acknowledges nothing for
/// this long: sent bytes (TCP_USER_TIMEOUT) or, on an idle connection,
/// keep-alive probes. A connection may go silent for good without a reset.
void
SetPeerTimeout(int aDescriptor, Duration aTimeout);

} // namespace fulmarquay

#endif
