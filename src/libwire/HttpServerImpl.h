#ifndef FULMARQUAY_WIRE_HTTPSERVERIMPL_H
#define FULMARQUAY_WIRE_HTTPSERVERIMPL_H

#include "AcceptPause.h"
#include "HttpRequestReader.h"
#include "LimitedLog.h"
#include "fulmarquay/core/LogEvent.h"
#include "fulmarquay/wire/HttpServer.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <array>
#include <map>
#include <memory>
#include <set>
#include <string>

namespace fulmarquay {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using asio::ip::tcp;
using beast::error_code;

constexpr std::size_t kDropBytes = 16U << 10U;

/// Listens for callers and keeps their connections.
class HttpServer::Impl : public std::enable_shared_from_this<Impl>
{
public:
  class Session;
  using SessionPtr = std::shared_ptr<Session>;

  Impl(asio::io_context& aContext,
       HttpHandler& aHandler,
       HttpServerLimits aLimits,
       CallerId aFirstCaller)
    : m_context(aContext)
    , m_handler(aHandler)
    , m_limits(aLimits)
    , m_acceptor(aContext)
    , m_acceptPause(aContext)
    , m_stallTimer(aContext)
    , m_nextCaller(aFirstCaller.Value())
    , m_input(InputBudget::Of(aContext))
  {
  }

  void Listen(const Endpoint& aEndpoint);
  void StopAccepting();
  void Stop();
  SessionPtr Find(CallerId aCaller) const;
  std::string CloseHeader() const
  {
    return m_closesAfterResponse ? "Connection: close\r\n" : "";
  }

  asio::io_context& m_context;
  HttpHandler& m_handler;
  HttpServerLimits m_limits;
  tcp::acceptor m_acceptor;
  AcceptPause m_acceptPause;
  LimitedLog m_turnedAwayLog{ LogEvent::CallersTurnedAway };
  asio::steady_timer m_stallTimer;
  std::map<CallerId, SessionPtr> m_activeRequests;
  std::set<SessionPtr> m_sessions;
  std::uint64_t m_nextCaller;
  std::shared_ptr<InputBudget> m_input;
  LimitedLog m_inputLog{ LogEvent::BadFrame };
  bool m_isStopping = false;
  bool m_closesAfterResponse = false; ///< set by CloseAfterResponses
  std::size_t m_queuedBytes = 0;      ///< sum of the sessions' QueuedBytes
  std::size_t m_bodyBytes = 0;        ///< sum of the sessions' m_bodyBytes
  std::uint64_t m_refusedBodies = 0;
  LimitedLog m_refusedBodiesLog{ LogEvent::BodiesRefused };
  /// Bytes that no one looks at, for all sessions.
  std::array<char, kDropBytes> m_dropped{};

  bool IsIdle() const;
  /// Whether a body of this size may be held beside others of `aOtherBytes`.
  bool MayHoldBody(std::size_t aBytes, std::size_t aOtherBytes) const;
  /// Closes connections, once the running handler has returned, until the
  /// queued bytes are within their limit. The handler may be in the middle of a
  /// change that the end of another connection must not interrupt.
  void BoundQueuedBytesSoon();

private:
  void Accept();
  void CloseStalled();
  void BoundQueuedBytes();

  bool m_isBoundDue = false; ///< BoundQueuedBytes was posted
};

/// One caller connection: reads a request, passes it to the handler, writes the
/// response and reads the next request.
class HttpServer::Impl::Session
  : public std::enable_shared_from_this<Session>
  , private HttpRequestSink
{
public:
  Session(std::shared_ptr<Impl> aServer, tcp::socket aSocket)
    : m_server(std::move(aServer))
    , m_stream(std::move(aSocket))
    , m_reader(m_stream, *this, m_server->m_input, [this] { EndInput(); })
  {
    error_code error;
    const auto peer = m_stream.socket().remote_endpoint(error);
    if (!error) {
      m_peer = peer.address().to_string() + ":" + std::to_string(peer.port());
    }
  }

  void ReadRequest();
  void Queue(const std::string& aBytes);
  void Finish(bool aKeepOpen);
  /// The reason matters only while a request is running.
  void Close(DisconnectReason aReason = DisconnectReason::CallerClosed);
  /// Closes the connection with a reset, which no caller takes for the end of a
  /// complete response.
  void Reset();
  /// Ends a finished response that only the end of the connection delimits.
  void CloseWhenWritten();
  /// Whether the caller understands chunks; HTTP/1.0 has none.
  bool UsesChunks() const { return m_reader.UsesChunks(); }
  /// Whether the running request wants the head of its response alone.
  bool IsHeadOnly() const { return m_isHeadOnly; }
  /// Closes the connection if no piece was written between several calls.
  void CloseIfStalled();
  /// Whether a request was received in part or bytes of a response are left.
  bool IsBusy() const;
  /// Bytes that are held until the caller has taken them.
  std::size_t QueuedBytes() const { return m_queued.size() + m_writing.size(); }

private:
  void OnRequestRead(const error_code& aError) override;
  /// Ends the input because all connections together hold too much.
  void EndInput();
  void LogInput(const std::string& aStep, const std::string& aReason);
  void RejectRequest(const error_code& aError);
  /// Counts a body of this size as held; returns false if that is too much.
  bool HoldBody(std::uint64_t aBytes) override;
  void ReleaseBody();
  void RefuseBody();
  /// Reads and drops what still arrives, until the end or kDropTime.
  void DropRest();
  void Write();
  void WritePiece();
  void OnWritten(const error_code& aError);
  /// Reads the next request or closes the connection.
  void OnResponseWritten();
  void DetectDisconnect();

  std::shared_ptr<Impl> m_server;
  beast::tcp_stream m_stream;
  HttpRequestReader m_reader;
  std::string m_peer;
  std::string m_queued;
  std::string m_writing;
  std::size_t m_writtenBytes = 0; ///< of m_writing
  bool m_hasWritten = false;      ///< a piece, since the last CloseIfStalled
  int m_stalledChecks = 0;        ///< in a row
  CallerId m_caller;
  bool m_isFinished = false;
  bool m_keepOpen = true;
  bool m_isHeadOnly = false;
  bool m_dropsRest = false; ///< the body was refused
  bool m_isClosed = false;
  /// Of the request that is read or runs, from when its size is known.
  std::size_t m_bodyBytes = 0;
};

} // namespace fulmarquay

#endif
