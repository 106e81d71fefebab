#ifndef FULMARQUAY_LIBSERVE_RELAYCONSTANTS_H
#define FULMARQUAY_LIBSERVE_RELAYCONSTANTS_H

#include "fulmarquay/core/Units.h"
#include "fulmarquay/wire/HttpStatus.h"

#include <string>

namespace fulmarquay {

// Shared by the files of RelayFlow.

/// Workers are a few ms away: one that does not take a connection within
/// this is down or cut off.
constexpr Duration kConnectTimeout(300'000);
/// A worker can't do anything useful in less.
constexpr Duration kLeastLeft(5'000);
/// Callers come back this much later when the workers are busy: some answers
/// end in that time.
constexpr Duration kRetryBusy(150'000);

/// A time in whole milliseconds, for log lines.
inline std::string
Millis(Duration aTime)
{
  return std::to_string(ToMillis(aTime));
}

} // namespace fulmarquay

#endif
