#ifndef FULMARQUAY_WIRE_HTTPSTATUS_H
#define FULMARQUAY_WIRE_HTTPSTATUS_H

namespace fulmarquay {

// HTTP status codes that the system evaluates or returns.

constexpr int kStatusOk = 200;
/// The first status code after the success range (2xx).
constexpr int kStatusRedirect = 300;
constexpr int kStatusBadRequest = 400;
constexpr int kStatusUnauthorized = 401;
constexpr int kStatusNotFound = 404;
constexpr int kStatusRequestTimeout = 408;
constexpr int kStatusConflict = 409;
constexpr int kStatusMisdirected = 421;
constexpr int kStatusTooManyRequests = 429;
constexpr int kStatusHeaderTooLarge = 431;
constexpr int kStatusServerError = 500;
constexpr int kStatusBadGateway = 502;
constexpr int kStatusUnavailable = 503;
constexpr int kStatusGatewayTimeout = 504;

} // namespace fulmarquay

#endif
