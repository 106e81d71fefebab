#ifndef FULMARQUAY_WIRE_HTTPSTATUS_H
#define FULMARQUAY_WIRE_HTTPSTATUS_H

namespace fulmarquay {

// HTTP status codes that the system acts on or answers with.

constexpr int kStatusOk = 200;
/// The first one beyond the successes.
constexpr int kStatusRedirect = 300;
constexpr int kStatusBadRequest = 400;
constexpr int kStatusUnauthorized = 401;
constexpr int kStatusNotFound = 404;
constexpr int kStatusConflict = 409;
constexpr int kStatusServerError = 500;
constexpr int kStatusBadGateway = 502;
constexpr int kStatusUnavailable = 503;
constexpr int kStatusGatewayTimeout = 504;

} // namespace fulmarquay

#endif
