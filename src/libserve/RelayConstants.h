#ifndef FULMARQUAY_LIBSERVE_RELAYCONSTANTS_H
#define FULMARQUAY_LIBSERVE_RELAYCONSTANTS_H

#include "fulmarquay/core/Units.h"

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

constexpr int kStatusOk = 200;
constexpr int kStatusRedirect = 300;
constexpr int kStatusUnauthorized = 401;
constexpr int kStatusNotFound = 404;
constexpr int kStatusBadRequest = 400;
constexpr int kStatusServerError = 500;
constexpr int kStatusBadGateway = 502;
constexpr int kStatusUnavailable = 503;
constexpr int kStatusGatewayTimeout = 504;

/// A time in whole milliseconds, for log lines.
inline std::string
Millis(Duration aTime)
{
  return std::to_string(aTime.count() / 1'000);
}

} // namespace fulmarquay

#endif
