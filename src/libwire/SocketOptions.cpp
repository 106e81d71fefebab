#include "fulmarquay/wire/SocketOptions.h"

#include <algorithm>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace fulmarquay {

namespace {

/// Probes that may stay unanswered before the connection counts as dead.
constexpr int kProbes = 2;

void
Set(int aDescriptor, int aLevel, int aOption, int aValue)
{
  // A socket that is closed already refuses; its next read reports that.
  ::setsockopt(aDescriptor, aLevel, aOption, &aValue, sizeof(aValue));
}

} // namespace

void
SetPeerTimeout(int aDescriptor, Duration aTimeout)
{
  const auto millis = static_cast<int>(aTimeout.count() / 1'000);
  const int seconds = std::max(1, millis / 1'000);
  Set(aDescriptor, IPPROTO_TCP, TCP_USER_TIMEOUT, millis);
  Set(aDescriptor, SOL_SOCKET, SO_KEEPALIVE, 1);
  Set(aDescriptor, IPPROTO_TCP, TCP_KEEPIDLE, seconds);
  Set(aDescriptor, IPPROTO_TCP, TCP_KEEPINTVL, seconds);
  Set(aDescriptor, IPPROTO_TCP, TCP_KEEPCNT, kProbes);
}

} // namespace fulmarquay
