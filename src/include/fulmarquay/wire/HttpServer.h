#ifndef FULMARQUAY_WIRE_HTTPSERVER_H
#define FULMARQUAY_WIRE_HTTPSERVER_H

#include "fulmarquay/core/Endpoint.h"
#include "fulmarquay/core/StrongId.h"
#include "fulmarquay/core/Units.h"
#include "fulmarquay/wire/HttpMessage.h"

#include <boost/asio/io_context.hpp>
#include <cstddef>
#include <memory>
#include <string>

namespace fulmarquay {

/// Takes the requests of an HttpServer. Called on the server's thread.
class HttpHandler
{
public:
  virtual ~HttpHandler() = default;
  /// A whole request; exactly one answer is due under this id.
  virtual void OnRequest(CallerId aCaller, HttpRequest aRequest) = 0;
  /// The caller went away before its answer ended; answers are dropped.
  virtual void OnCallerDisconnected(CallerId aCaller) = 0;
};

/// Bounds on what a caller may send.
struct HttpServerLimits
{
  std::size_t m_maxHeaderBytes = 16U << 10U;
  std::size_t m_maxBodyBytes = 4U << 20U;
  Duration m_readTimeout = Duration(10'000'000);
  std::size_t m_connections = 4096;
};

/// An HTTP/1.1 server with keep-alive. One request of a connection is handled
/// at a time, so that pipelined answers can't cross.
///
/// Runs on one io_context thread; every call and callback happens there.
class HttpServer
{
public:
  HttpServer(boost::asio::io_context& aContext,
             HttpHandler& aHandler,
             HttpServerLimits aLimits);
  ~HttpServer();

  /// Accepts connections. Throws Error when the port can't be had.
  void Listen(const Endpoint& aEndpoint);

  /// Changes what callers may send from their next request on.
  void SetLimits(const HttpServerLimits& aLimits);

  /// From now on each answer closes its connection, and says so.
  void CloseAfterAnswers();

  /// Stops accepting; open connections go on and close after their answer.
  void StopAccepting();

  /// Sends a whole answer.
  void Respond(CallerId aCaller, const HttpResponse& aResponse);

  /// Starts a chunked answer.
  void StreamHead(CallerId aCaller, const HttpResponse& aHead);
  void StreamData(CallerId aCaller, const std::string& aData);
  /// Ends a chunked answer. `aIsWhole` false closes the connection without
  /// the final chunk, so that the caller sees an error.
  void StreamEnd(CallerId aCaller, bool aIsWhole);

  /// Requests read and not yet answered.
  std::size_t Running() const;

private:
  class Impl;
  std::shared_ptr<Impl> m_impl;
};

} // namespace fulmarquay

#endif
