#ifndef FULMARQUAY_LIBSERVE_RELAYCONSTANTS_H
#define FULMARQUAY_LIBSERVE_RELAYCONSTANTS_H

#include "fulmarquay/core/Units.h"
#include "fulmarquay/wire/HttpStatus.h"

#include <cstddef>
#include <string>

namespace fulmarquay {

// Constants shared by the source files of RelayFlow.

/// Workers are a few ms away: one that does not accept a connection within this
/// time is down or unreachable.
constexpr Duration kConnectTimeout(300'000);
/// A worker's VM acknowledges received data within a few ms, regardless of how
/// long its requests take. The timeout tolerates several lost packets in a row.
constexpr Duration kPeerTimeout(1'000'000);
/// Limit of an answer with its framing. Streams are forwarded event by event,
/// so that they use little memory.
constexpr std::size_t kMaxResponseBytes = 64U << 20U;
/// With less time left, a worker cannot produce an answer.
constexpr Duration kMinTimeLeft(5'000);
/// Retry-After while the entry starts or has lost its leader: most of the
/// duration of an election.
constexpr Duration kStartupRetryAfter(1'000'000);
/// Retry-After when all workers are busy: some running requests complete within
/// this time.
constexpr Duration kBusyRetryAfter(150'000);

/// A duration in whole milliseconds, for log lines.
inline std::string
FormatMillis(Duration aTime)
{
  return std::to_string(ToMillis(aTime));
}

} // namespace fulmarquay

#endif
