#ifndef FULMARQUAY_WIRE_SOCKETOPTIONS_H
#define FULMARQUAY_WIRE_SOCKETOPTIONS_H

#include "fulmarquay/core/Units.h"

namespace fulmarquay {

/// Makes the kernel close a connection whose peer acknowledges nothing for
/// `aTimeout`: neither sent bytes (TCP_USER_TIMEOUT) nor, on an idle
/// connection, keep-alive probes. Without this, a connection whose peer was
/// lost without a reset would stay open.
void
SetPeerTimeout(int aDescriptor, Duration aTimeout);

/// Whether a connection was reset, or its peer has not acknowledged all bytes
/// that were written to it. After the peer's orderly end, reads don't report a
/// reset any more.
bool
IsSendingCut(int aDescriptor);

} // namespace fulmarquay

#endif
