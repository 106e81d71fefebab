#ifndef FULMARQUAY_LIBSERVE_RELAYCONSTANTS_H
#define FULMARQUAY_LIBSERVE_RELAYCONSTANTS_H

#include "fulmarquay/core/Units.h"
#include "fulmarquay/wire/HttpStatus.h"

#include <string>

namespace fulmarquay {

// Constants shared by the source files of RelayFlow.

/// Workers are a few ms away: one that does not accept a connection within this
/// time is down or unreachable.
constexpr Duration kConnectTimeout(300'000);
/// With less time left, a worker cannot produce an answer.
constexpr Duration kMinTimeLeft(5'000);
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
