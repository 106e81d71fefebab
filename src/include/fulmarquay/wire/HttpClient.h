#ifndef FULMARQUAY_WIRE_HTTPCLIENT_H
#define FULMARQUAY_WIRE_HTTPCLIENT_H

#include "fulmarquay/core/Endpoint.h"
#include "fulmarquay/core/StrongId.h"
#include "fulmarquay/core/Units.h"
#include "fulmarquay/wire/HttpMessage.h"

#include <boost/asio/io_context.hpp>
#include <memory>
#include <string>

namespace fulmarquay {

/// The outcome of a call.
enum class CallResult
{
  Complete,   ///< the complete response was received
  NotSent,    ///< no byte of the request left this process
  NotEncoded, ///< like NotSent: the request can't be sent to any peer
  Incomplete, ///< may have been executed; the response is missing or incomplete
  TimedOut,   ///< like Incomplete, caused by a time limit of the HttpCall
};

/// Whether the request certainly did not reach the peer.
inline bool
IsNotSent(CallResult aEnd)
{
  return aEnd == CallResult::NotSent || aEnd == CallResult::NotEncoded;
}

/// Receives the response of a call. Called on the client's thread.
class HttpCallHandler
{
public:
  virtual ~HttpCallHandler() = default;
  /// Reports status and headers of the response.
  virtual void OnHead(CallId aCall, const HttpResponse& aHead) = 0;
  /// Delivers a part of the response body, in order.
  virtual void OnData(CallId aCall, std::string aData) = 0;
  /// Reports the outcome; the last callback of a call. `aReason` is empty for
  /// Complete, otherwise the error message.
  virtual void OnEnd(CallId aCall,
                     CallResult aEnd,
                     const std::string& aReason) = 0;
};

/// One HTTP request and how to send it.
struct HttpCall
{
  CallId m_call;
  Endpoint m_peer;
  HttpRequest m_request;
  /// Maximum time without a received byte; 0 disables it, and the owner of the
  /// call limits the duration itself.
  Duration m_idleTimeout = Duration(30'000'000);
  /// Maximum time of the whole call, which also ends a response that arrives
  /// byte by byte; 0 disables it.
  Duration m_totalTimeout{};
  /// Maximum size of the response with its framing, responses to earlier
  /// requests included.
  std::size_t m_maxResponseBytes = 16U << 20U;
  /// Maximum time to open a connection.
  Duration m_connectTimeout = Duration(1'000'000);
  /// The owner recognizes a copy of an earlier response by its content; after
  /// an error, which has none, the connection is not kept. Calls with neither
  /// this nor a correlation header use a connection of their own, because a
  /// second copy of an earlier response may arrive on a kept one.
  bool m_isContentChecked = false;
  /// The same request may have been sent to this address before. On a kept
  /// connection, a copy of its earlier response would look like the new one.
  bool m_needsNewConnection = false;
  /// Only a kept connection that was opened before this time may be used, which
  /// leads to the process that ran then; without one the call ends as NotSent.
  /// Zero allows any connection.
  TimePoint m_connectedBefore;
  /// Checks only whether the peer accepts a connection, without sending the
  /// request. Ends as Complete or NotSent.
  bool m_isProbe = false;
  /// The connection is closed when the peer acknowledges nothing for this long
  /// (see SetPeerTimeout); 0 disables it.
  Duration m_peerTimeout{};
  /// Header that identifies the response to this request. A response with
  /// another value belongs to an earlier request and is dropped. One without
  /// the header is accepted only as the first response on a new connection. An
  /// empty name disables the check; an empty value, which identifies nothing,
  /// keeps the call off kept connections.
  HttpHeader m_correlationHeader;
};

/// An HTTP/1.1 client that keeps idle connections per peer for reuse.
///
/// Runs on one io_context thread; every call and callback happens there.
class HttpClient
{
public:
  HttpClient(boost::asio::io_context& aContext, HttpCallHandler& aHandler);
  ~HttpClient();

  /// Starts a call. Its callbacks are never made from within this function.
  void Start(HttpCall aCall);

  /// Cancels a call: closes its connection; no further callback follows.
  void Cancel(CallId aCall);

private:
  class Impl;
  std::shared_ptr<Impl> m_impl;
};

} // namespace fulmarquay

#endif
