#include "fulmarquay/wire/SocketOptions.h"

#include <algorithm>
#include <linux/sockios.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>
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

bool
IsSendingCut(int aDescriptor)
{
  int error = 0;
  socklen_t size = sizeof(error);
  int unacknowledged = 0;
  // Where the system can't tell, the end that the peer sent counts.
  const bool isReset =
    ::getsockopt(aDescriptor, SOL_SOCKET, SO_ERROR, &error, &size) == 0 &&
    error != 0;
  const bool isPending =
    ::ioctl(aDescriptor, SIOCOUTQ, &unacknowledged) == 0 && unacknowledged > 0;
  return isReset || isPending;
}

} // namespace fulmarquay
