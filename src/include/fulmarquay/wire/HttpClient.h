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

/// How a call ended.
enum class CallEnd
{
  Whole,    ///< the complete answer arrived
  NotSent,  ///< no byte of the request left this process
  Broken,   ///< the request may have run; the answer is missing or partial
  TimedOut, ///< like Broken, by the call's timeout
};

/// Takes the answer of a call. Called on the client's thread.
class HttpCallHandler
{
public:
  virtual ~HttpCallHandler() = default;
  /// Status and headers.
  virtual void OnHead(CallId aCall, const HttpResponse& aHead) = 0;
  /// A part of the body, in order.
  virtual void OnData(CallId aCall, std::string aData) = 0;
  /// The last callback of a call.
  virtual void OnEnd(CallId aCall, CallEnd aEnd, const std::string& aWhy) = 0;
};

/// One call to make.
struct HttpCall
{
  CallId m_call;
  Endpoint m_peer;
  HttpRequest m_request;
  /// Longest time without progress; 0: the caller bounds the call itself.
  Duration m_idleTimeout = Duration(30'000'000);
  /// Longest time to open a connection.
  Duration m_connectTimeout = Duration(1'000'000);
  /// Never reuse an idle connection: its peer may have closed it, and then
  /// nobody knows whether the request was read.
  bool m_freshConnection = false;
  /// Only tries whether the peer takes a connection: ends as Whole or NotSent.
  bool m_isProbe = false;
  /// A peer that acknowledges nothing for this long is given up; 0: never.
  Duration m_peerTimeout{};
  /// A header that the answer must carry with this value. An answer with
  /// another value belongs to an earlier request on the connection and is
  /// dropped. Without a name, every answer is taken.
  HttpHeader m_correlationHeader;
};

/// An HTTP/1.1 client with idle connections kept for each peer.
///
/// Runs on one io_context thread; every call and callback happens there.
class HttpClient
{
public:
  HttpClient(boost::asio::io_context& aContext, HttpCallHandler& aHandler);
  ~HttpClient();

  /// Starts a call; its callbacks never come within this function.
  void Start(HttpCall aCall);

  /// Drops a call; its connection closes and no callback follows.
  void Cancel(CallId aCall);

private:
  class Impl;
  std::shared_ptr<Impl> m_impl;
};

} // namespace fulmarquay

#endif
