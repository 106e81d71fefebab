#ifndef FULMARQUAY_WIRE_HTTPSERVER_H
#define FULMARQUAY_WIRE_HTTPSERVER_H

#include "fulmarquay/core/Endpoint.h"
#include "fulmarquay/core/StrongId.h"
#include "fulmarquay/core/Units.h"
#include "fulmarquay/wire/DisconnectReason.h"
#include "fulmarquay/wire/HttpMessage.h"

#include <boost/asio/io_context.hpp>
#include <cstddef>
#include <memory>
#include <string>

namespace fulmarquay {

/// Receives the requests of an HttpServer. Called on the server's thread.
class HttpHandler
{
public:
  virtual ~HttpHandler() = default;
  /// A complete request. The handler sends exactly one response for this id.
  virtual void OnRequest(CallerId aCaller, HttpRequest aRequest) = 0;
  /// The caller's connection ended before its response was complete. Responses
  /// to this id are dropped from now on.
  virtual void OnCallerDisconnected(CallerId aCaller,
                                    DisconnectReason aReason) = 0;
};

/// Limits on connections and requests.
struct HttpServerLimits
{
  std::size_t m_maxHeaderBytes = 16U << 10U;
  std::size_t m_maxBodyBytes = 4U << 20U;
  /// Maximum time until the next request is complete, idle time included. A
  /// caller that takes no piece of its response for twice this long is
  /// disconnected within three times as long.
  Duration m_readTimeout = Duration(10'000'000);
  std::size_t m_connections = 4096; ///< further connections are closed
  /// Maximum size of the bodies of all requests that are read or run. Larger
  /// bodies than usual leave a part of it to the others. What can't be held is
  /// refused with 503 before it is read. At least one body of m_maxBodyBytes is
  /// held.
  std::size_t m_maxAllBodyBytes = 16U << 20U;
  /// Maximum size of chunk extensions and trailers of a request. What a request
  /// has outside its body is bounded by this and m_maxHeaderBytes together.
  std::size_t m_maxFramingBytes = 64U << 10U;
};

/// An HTTP/1.1 server with keep-alive. Requests on one connection are handled
/// one at a time, so that responses to pipelined requests stay in order.
///
/// Runs on one io_context thread; every call and callback happens there.
class HttpServer
{
public:
  /// The ids of callers begin with `aFirstCaller`, so that a handler can tell
  /// the callers of several servers apart.
  HttpServer(boost::asio::io_context& aContext,
             HttpHandler& aHandler,
             HttpServerLimits aLimits,
             CallerId aFirstCaller = CallerId(1));
  ~HttpServer();

  /// Accepts connections. Throws Error when the endpoint can't be bound.
  void Listen(const Endpoint& aEndpoint);

  /// Changes the limits. They apply from the next request and connection on.
  void SetLimits(const HttpServerLimits& aLimits);

  /// Makes each later response close its connection and carry a
  /// `Connection: close` header.
  void CloseAfterResponses();

  /// Stops accepting connections. Open connections stay usable and are closed
  /// after their next response.
  void StopAccepting();

  /// Sends a complete response.
  void Respond(CallerId aCaller, const HttpResponse& aResponse);

  /// Starts a response of unknown length: in chunks, or for an HTTP/1.0 caller
  /// until the end of the connection.
  void StreamHead(CallerId aCaller, const HttpResponse& aHead);
  void StreamData(CallerId aCaller, const std::string& aData);
  /// Ends such a response. When `aIsComplete` is false, the connection is
  /// closed without the final chunk, or with a reset, which the caller detects
  /// as an error.
  void StreamEnd(CallerId aCaller, bool aIsComplete);

  /// Whether no request is being received or answered and all bytes of the
  /// responses were passed to the system.
  bool IsIdle() const;

  /// Bytes of responses that callers have not taken yet; bounded for each
  /// connection and for all together.
  std::size_t QueuedBytes() const;

  /// Bytes of the bodies of requests that are read or run.
  std::size_t BodyBytes() const;

  /// The number of requests that were refused because of their body.
  std::uint64_t RefusedBodies() const;

  /// The number of received requests whose response has not ended.
  std::size_t Running() const;

private:
  class Impl;
  std::shared_ptr<Impl> m_impl;
};

} // namespace fulmarquay

#endif
