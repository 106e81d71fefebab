#include "fulmarquay/wire/SocketOptions.h"

#include <algorithm>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace fulmarquay {

namespace {

constexpr int kMaxUnansweredProbes = 2;

void
SetOption(int aDescriptor, int aLevel, int aOption, int aValue)
{
  // Errors are ignored: a socket that is already closed fails its next read.
  ::setsockopt(aDescriptor, aLevel, aOption, &aValue, sizeof(aValue));
}

} // namespace

void
SetPeerTimeout(int aDescriptor, Duration aTimeout)
{
  const auto millis = static_cast<int>(aTimeout.count() / 1'000);
  const int seconds = std::max(1, millis / 1'000);
  SetOption(aDescriptor, IPPROTO_TCP, TCP_USER_TIMEOUT, millis);
  SetOption(aDescriptor, SOL_SOCKET, SO_KEEPALIVE, 1);
  SetOption(aDescriptor, IPPROTO_TCP, TCP_KEEPIDLE, seconds);
  SetOption(aDescriptor, IPPROTO_TCP, TCP_KEEPINTVL, seconds);
  SetOption(aDescriptor, IPPROTO_TCP, TCP_KEEPCNT, kMaxUnansweredProbes);
}

} // namespace fulmarquay
