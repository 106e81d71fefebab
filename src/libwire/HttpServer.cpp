#include <utility>

#include "fulmarquay/wire/HttpServer.h"

#include "AcceptPause.h"
#include "LimitedLog.h"
#include "ResponseText.h"
#include "fulmarquay/core/Error.h"
#include "fulmarquay/core/LogEvent.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>
#include <algorithm>
#include <array>
#include <functional>
#include <map>
#include <optional>
#include <set>

namespace fulmarquay {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using asio::ip::tcp;
using beast::error_code;

/// Responses are written in pieces of this size; a caller that takes none for
/// the read timeout counts as stalled.
constexpr std::size_t kPieceBytes = 64U << 10U;
/// Checks in a row without a written piece. After a pause of this process, for
/// example of its VM, the first check finds none on sound connections either.
constexpr int kStalledChecks = 2;
/// Above this the connection of a slowly reading caller is closed.
constexpr std::size_t kMaxQueuedBytes = 8U << 20U;
/// Above this for all connections together, those with most are closed. Strings
/// may take twice their size, which together with the answers that a relay
/// holds has to stay well below the memory of an entry's VM.
constexpr std::size_t kMaxAllQueuedBytes = 24U << 20U;

/// Bodies up to this size are refused only at the limit for all bodies; larger
/// ones leave this part of it (one in kSmallBodyShare) to them, so that a few
/// large bodies don't bar the usual requests.
constexpr std::size_t kSmallBodyBytes = 64U << 10U;
constexpr std::size_t kSmallBodyShare = 4;
/// Of refused bodies. Clients retry on a new connection.
constexpr const char* kBodyRetryAfter = "1";
/// For how long the rest of a refused body is read and dropped. Closing a
/// connection with unread bytes resets it, and its caller may lose the answer.
constexpr Duration kDropTime(5'000'000);
constexpr std::size_t kDropBytes = 16U << 10U;

/// Beast holds the length of a header field in 16 bits and throws for longer
/// ones while it reads, where nothing could be answered.
constexpr std::size_t kMaxHeadBytes = 65'535;

/// HTTP/1.1, as Beast numbers versions.
constexpr unsigned kFirstVersionWithChunks = 11;

} // namespace

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
class HttpServer::Impl::Session : public std::enable_shared_from_this<Session>
{
public:
  Session(std::shared_ptr<Impl> aServer, tcp::socket aSocket)
    : m_server(std::move(aServer))
    , m_stream(std::move(aSocket))
  {
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
  bool UsesChunks() const { return m_usesChunks; }
  /// Closes the connection if no piece was written between several calls.
  void CloseIfStalled();
  /// Whether a request was received in part or bytes of a response are left.
  bool IsBusy() const;
  /// Bytes that are held until the caller has taken them.
  std::size_t QueuedBytes() const { return m_queued.size() + m_writing.size(); }

private:
  void OnHead(const error_code& aError);
  void OnRead(const error_code& aError);
  void RejectRequest(const error_code& aError);
  /// Counts a body of this size as held; returns false if that is too much.
  bool HoldBody(std::uint64_t aBytes);
  void ReleaseBody();
  void RefuseBody();
  /// Reads and drops what still arrives, until the end or kDropTime.
  void DropRest();
  void Write();
  void WritePiece();
  void OnWritten(const error_code& aError);
  /// Reads the next request or closes the connection.
  void OnResponseWritten();
  HttpRequest TakeRequest();
  void DetectDisconnect();

  std::shared_ptr<Impl> m_server;
  beast::tcp_stream m_stream;
  beast::flat_buffer m_buffer;
  std::optional<http::request_parser<http::string_body>> m_parser;
  std::string m_queued;
  std::string m_writing;
  std::size_t m_writtenBytes = 0; ///< of m_writing
  bool m_hasWritten = false;      ///< a piece, since the last CloseIfStalled
  int m_stalledChecks = 0;        ///< in a row
  CallerId m_caller;
  bool m_isFinished = false;
  bool m_keepOpen = true;
  bool m_usesChunks = true;
  bool m_dropsRest = false; ///< the body was refused
  bool m_isClosed = false;
  /// Of the request that is read or runs, from when its size is known.
  std::size_t m_bodyBytes = 0;
  std::function<void(std::uint64_t, boost::string_view, error_code&)>
    m_onChunkHead;
};

void
HttpServer::Impl::Listen(const Endpoint& aEndpoint)
{
  try {
    const tcp::endpoint endpoint(asio::ip::make_address(aEndpoint.Ip()),
                                 aEndpoint.Port());
    m_acceptor.open(endpoint.protocol());
    m_acceptor.set_option(tcp::acceptor::reuse_address(true));
    m_acceptor.bind(endpoint);
    m_acceptor.listen();
  } catch (const std::exception& e) {
    throw Error("listen for callers", aEndpoint.ToString(), e.what());
  }
  Accept();
  CloseStalled();
}

void
HttpServer::Impl::CloseStalled()
{
  m_stallTimer.expires_after(m_limits.m_readTimeout);
  const std::weak_ptr<Impl> self = weak_from_this();
  m_stallTimer.async_wait([self](const error_code& aError) {
    const auto server = self.lock();
    if (aError || !server || server->m_isStopping) {
      return;
    }
    const std::set<SessionPtr> sessions = server->m_sessions;
    for (const SessionPtr& session : sessions) {
      session->CloseIfStalled();
    }
    server->CloseStalled();
  });
}

bool
HttpServer::Impl::IsIdle() const
{
  return m_activeRequests.empty() &&
         std::none_of(m_sessions.begin(),
                      m_sessions.end(),
                      [](const SessionPtr& aEach) { return aEach->IsBusy(); });
}

bool
HttpServer::Impl::MayHoldBody(std::size_t aBytes, std::size_t aOtherBytes) const
{
  const std::size_t forAll = m_limits.m_maxAllBodyBytes;
  // A single body that is allowed always fits.
  const std::size_t limit =
    aBytes <= kSmallBodyBytes
      ? forAll
      : std::max(forAll - forAll / kSmallBodyShare, m_limits.m_maxBodyBytes);
  return aOtherBytes + aBytes <= limit;
}

void
HttpServer::Impl::BoundQueuedBytesSoon()
{
  if (m_queuedBytes <= kMaxAllQueuedBytes || m_isBoundDue) {
    return;
  }
  m_isBoundDue = true;
  asio::post(m_context, [self = shared_from_this()] {
    self->m_isBoundDue = false;
    self->BoundQueuedBytes();
  });
}

void
HttpServer::Impl::BoundQueuedBytes()
{
  while (m_queuedBytes > kMaxAllQueuedBytes) {
    const auto largest =
      std::max_element(m_sessions.begin(),
                       m_sessions.end(),
                       [](const SessionPtr& aLeft, const SessionPtr& aRight) {
                         return aLeft->QueuedBytes() < aRight->QueuedBytes();
                       });
    WriteLog(LogEvent::SlowCallerClosed,
             { { "queued", std::to_string((*largest)->QueuedBytes()) },
               { "queued_by_all", std::to_string(m_queuedBytes) } });
    (*largest)->Close(DisconnectReason::Overfull);
  }
}

void
HttpServer::Impl::Accept()
{
  auto self = shared_from_this();
  m_acceptor.async_accept(
    [self](const error_code& aError, tcp::socket aSocket) {
      if (!self->m_acceptor.is_open()) {
        return;
      }
      if (aError) {
        const std::weak_ptr<Impl> weak = self;
        self->m_acceptPause.Start(self->m_acceptor, aError, [weak] {
          const auto server = weak.lock();
          if (server && server->m_acceptor.is_open()) {
            server->Accept();
          }
        });
        return;
      }
      const bool isBelowLimit =
        self->m_sessions.size() < self->m_limits.m_connections;
      if (isBelowLimit) {
        error_code ignored;
        aSocket.set_option(tcp::no_delay(true), ignored);
        auto session = std::make_shared<Session>(self, std::move(aSocket));
        self->m_sessions.insert(session);
        session->ReadRequest();
      } else {
        self->m_turnedAwayLog.Add(
          { { "connections", std::to_string(self->m_sessions.size()) },
            { "limit", std::to_string(self->m_limits.m_connections) } });
      }
      self->Accept();
    });
}

void
HttpServer::Impl::StopAccepting()
{
  m_isStopping = true;
  error_code ignored;
  m_acceptor.close(ignored);
}

void
HttpServer::Impl::Stop()
{
  StopAccepting();
  m_activeRequests.clear();
  while (!m_sessions.empty()) {
    const SessionPtr session = *m_sessions.begin();
    m_sessions.erase(m_sessions.begin());
    session->Close(DisconnectReason::Stopped);
  }
}

HttpServer::Impl::SessionPtr
HttpServer::Impl::Find(CallerId aCaller) const
{
  const auto found = m_activeRequests.find(aCaller);
  return found == m_activeRequests.end() ? nullptr : found->second;
}

void
HttpServer::Impl::Session::ReadRequest()
{
  m_parser.emplace();
  m_parser->header_limit(static_cast<std::uint32_t>(
    std::min(m_server->m_limits.m_maxHeaderBytes, kMaxHeadBytes)));
  m_parser->body_limit(m_server->m_limits.m_maxBodyBytes);
  m_onChunkHead =
    [this](std::uint64_t aBytes, boost::string_view, error_code& aError) {
      if (!HoldBody(m_bodyBytes + aBytes)) {
        aError = make_error_code(boost::system::errc::not_enough_memory);
      }
    };
  m_parser->on_chunk_header(m_onChunkHead);
  m_stream.expires_after(m_server->m_limits.m_readTimeout);
  auto self = shared_from_this();
  http::async_read_header(
    m_stream,
    m_buffer,
    *m_parser,
    [self](const error_code& aError, std::size_t) { self->OnHead(aError); });
}

void
HttpServer::Impl::Session::OnHead(const error_code& aError)
{
  if (aError || m_isClosed || m_parser->is_done()) {
    OnRead(aError);
    return;
  }
  if (!HoldBody(m_parser->content_length().value_or(0))) {
    RefuseBody();
    return;
  }
  auto self = shared_from_this();
  http::async_read(m_stream,
                   m_buffer,
                   *m_parser,
                   [self](const error_code& aReadError, std::size_t) {
                     self->OnRead(aReadError);
                   });
}

bool
HttpServer::Impl::Session::HoldBody(std::uint64_t aBytes)
{
  const std::size_t others = m_server->m_bodyBytes - m_bodyBytes;
  // Bytes that had arrived are still parsed after the end of the connection.
  if (m_isClosed || !m_server->MayHoldBody(aBytes, others)) {
    return false;
  }
  m_bodyBytes = aBytes;
  m_server->m_bodyBytes = others + aBytes;
  return true;
}

void
HttpServer::Impl::Session::ReleaseBody()
{
  m_server->m_bodyBytes -= m_bodyBytes;
  m_bodyBytes = 0;
}

void
HttpServer::Impl::Session::RefuseBody()
{
  ++m_server->m_refusedBodies;
  m_server->m_refusedBodiesLog.Add(
    { { "held", std::to_string(m_server->m_bodyBytes) },
      { "limit", std::to_string(m_server->m_limits.m_maxAllBodyBytes) } });
  ReleaseBody();
  m_parser.reset();
  m_buffer = beast::flat_buffer();
  m_stream.expires_after(kDropTime);
  m_isFinished = true;
  m_keepOpen = false;
  m_dropsRest = true;
  const std::string body = "{\"outcome\":\"not_run\",\"step\":\"read body\"}";
  Queue(StatusLine(503) + "Content-Type: application/json\r\nRetry-After: " +
        kBodyRetryAfter + "\r\nConnection: close\r\nContent-Length: " +
        std::to_string(body.size()) + "\r\n\r\n" + body);
}

void
HttpServer::Impl::Session::DropRest()
{
  auto self = shared_from_this();
  m_stream.async_read_some(asio::buffer(m_server->m_dropped),
                           [self](const error_code& aError, std::size_t) {
                             if (aError || self->m_isClosed) {
                               self->Close();
                             } else {
                               self->DropRest();
                             }
                           });
}

void
HttpServer::Impl::Session::OnRead(const error_code& aError)
{
  if (m_isClosed) {
    return;
  }
  if (aError == boost::system::errc::not_enough_memory) {
    RefuseBody();
    return;
  }
  if (aError) {
    RejectRequest(aError);
    return;
  }
  m_stream.expires_never();
  m_caller = CallerId(m_server->m_nextCaller++);
  m_keepOpen = m_parser->get().keep_alive();
  m_usesChunks = m_parser->get().version() >= kFirstVersionWithChunks;
  m_isFinished = false;
  m_server->m_activeRequests.emplace(m_caller, shared_from_this());
  m_server->m_handler.OnRequest(m_caller, TakeRequest());
  DetectDisconnect();
}

void
HttpServer::Impl::Session::DetectDisconnect()
{
  // The socket of a caller that disconnects becomes readable without any bytes.
  auto self = shared_from_this();
  const CallerId caller = m_caller;
  if (m_isFinished || m_isClosed) {
    return;
  }
  m_stream.socket().async_wait(
    tcp::socket::wait_read, [self, caller](const error_code& aError) {
      const bool isSameRequest =
        self->m_caller == caller && !self->m_isFinished;
      if (aError || self->m_isClosed || !isSameRequest) {
        return;
      }
      error_code readError;
      char byte = 0;
      self->m_stream.socket().non_blocking(true, readError);
      const std::size_t size = self->m_stream.socket().receive(
        asio::buffer(&byte, 1), tcp::socket::message_peek, readError);
      const bool isDisconnected =
        size == 0 && readError != asio::error::would_block;
      if (isDisconnected) {
        self->Close(readError == asio::error::eof
                      ? DisconnectReason::CallerClosed
                      : DisconnectReason::CallerReset);
      }
    });
}

HttpRequest
HttpServer::Impl::Session::TakeRequest()
{
  auto message = m_parser->release();
  m_parser.reset();
  HttpRequest request;
  request.m_method = std::string(message.method_string());
  request.m_target = std::string(message.target());
  for (const auto& field : message) {
    request.m_headers.push_back(
      { std::string(field.name_string()), std::string(field.value()) });
  }
  request.m_body = std::move(message.body());
  return request;
}

void
HttpServer::Impl::Session::RejectRequest(const error_code& aError)
{
  int status = 400;
  if (aError == http::error::header_limit) {
    status = 431;
  } else if (aError == http::error::body_limit) {
    status = 413;
  } else if (aError == beast::error::timeout) {
    status = 408;
  }
  const bool isHttpError =
    aError.category() ==
    http::make_error_code(http::error::bad_method).category();
  const bool hasBytes = m_parser->got_some() || m_buffer.size() > 0;
  const bool isEndOfStream = aError == http::error::end_of_stream ||
                             aError == http::error::partial_message;
  if (isEndOfStream || !isHttpError || !hasBytes) {
    Close();
    return;
  }
  m_stream.expires_after(m_server->m_limits.m_readTimeout);
  const std::string body =
    "{\"outcome\":\"not_run\",\"step\":\"read request\"}";
  m_isFinished = true;
  m_keepOpen = false;
  Queue(StatusLine(status) + "Content-Type: application/json\r\n" +
        "Connection: close\r\nContent-Length: " + std::to_string(body.size()) +
        "\r\n\r\n" + body);
}

void
HttpServer::Impl::Session::Queue(const std::string& aBytes)
{
  if (m_isClosed) {
    return;
  }
  m_queued += aBytes;
  m_server->m_queuedBytes += aBytes.size();
  if (m_queued.size() > kMaxQueuedBytes) {
    WriteLog(LogEvent::SlowCallerClosed,
             { { "queued", std::to_string(QueuedBytes()) },
               { "queued_by_all", std::to_string(m_server->m_queuedBytes) } });
    Close(DisconnectReason::Overfull);
    return;
  }
  m_server->BoundQueuedBytesSoon();
  Write();
}

void
HttpServer::Impl::Session::Write()
{
  if (!m_writing.empty() || m_queued.empty() || m_isClosed) {
    return;
  }
  m_writing.swap(m_queued);
  m_writtenBytes = 0;
  WritePiece();
}

void
HttpServer::Impl::Session::WritePiece()
{
  const std::size_t size =
    std::min(kPieceBytes, m_writing.size() - m_writtenBytes);
  auto self = shared_from_this();
  asio::async_write(m_stream,
                    asio::buffer(m_writing.data() + m_writtenBytes, size),
                    [self](const error_code& aError, std::size_t aBytes) {
                      self->m_writtenBytes += aBytes;
                      self->m_hasWritten = true;
                      const bool isLast =
                        self->m_writtenBytes == self->m_writing.size();
                      if (aError || isLast || self->m_isClosed) {
                        self->OnWritten(aError);
                      } else {
                        self->WritePiece();
                      }
                    });
}

void
HttpServer::Impl::Session::CloseIfStalled()
{
  const bool isStalled = !m_writing.empty() && !m_hasWritten;
  m_hasWritten = false;
  m_stalledChecks = isStalled ? m_stalledChecks + 1 : 0;
  if (m_stalledChecks >= kStalledChecks) {
    Close(DisconnectReason::Stalled);
  }
}

bool
HttpServer::Impl::Session::IsBusy() const
{
  const bool hasPartOfRequest =
    m_buffer.size() > 0 || (m_parser && m_parser->got_some());
  return !m_writing.empty() || !m_queued.empty() || hasPartOfRequest ||
         m_dropsRest;
}

void
HttpServer::Impl::Session::OnWritten(const error_code& aError)
{
  if (m_isClosed) {
    return;
  }
  m_server->m_queuedBytes -= m_writing.size();
  // Releases the memory too: a kept connection may be idle for long.
  m_writing = std::string();
  if (aError) {
    Close(DisconnectReason::CallerReset);
    return;
  }
  if (!m_queued.empty()) {
    Write();
    return;
  }
  if (m_isFinished) {
    OnResponseWritten();
  }
}

void
HttpServer::Impl::Session::OnResponseWritten()
{
  if (m_keepOpen && !m_server->m_isStopping) {
    ReadRequest();
  } else {
    error_code ignored;
    m_stream.socket().shutdown(tcp::socket::shutdown_send, ignored);
    if (m_dropsRest) {
      DropRest();
    } else {
      Close();
    }
  }
}

void
HttpServer::Impl::Session::CloseWhenWritten()
{
  if (m_writing.empty() && !m_isClosed) {
    OnResponseWritten();
  }
}

void
HttpServer::Impl::Session::Reset()
{
  error_code ignored;
  m_stream.socket().set_option(asio::socket_base::linger(true, 0), ignored);
  Close();
}

void
HttpServer::Impl::Session::Finish(bool aKeepOpen)
{
  m_isFinished = true;
  m_keepOpen = m_keepOpen && aKeepOpen;
  m_server->m_activeRequests.erase(m_caller);
  ReleaseBody();
}

void
HttpServer::Impl::Session::Close(DisconnectReason aReason)
{
  if (m_isClosed) {
    return;
  }
  m_isClosed = true;
  error_code ignored;
  m_stream.socket().close(ignored);
  auto self = shared_from_this();
  m_server->m_sessions.erase(self);
  m_server->m_queuedBytes -= QueuedBytes();
  m_queued = std::string();
  ReleaseBody();
  if (m_server->m_activeRequests.erase(m_caller) != 0) {
    m_server->m_handler.OnCallerDisconnected(m_caller, aReason);
  }
}

HttpServer::HttpServer(asio::io_context& aContext,
                       HttpHandler& aHandler,
                       HttpServerLimits aLimits,
                       CallerId aFirstCaller)
  : m_impl(std::make_shared<Impl>(aContext, aHandler, aLimits, aFirstCaller))
{
}

HttpServer::~HttpServer()
{
  m_impl->Stop();
}

void
HttpServer::Listen(const Endpoint& aEndpoint)
{
  m_impl->Listen(aEndpoint);
}

void
HttpServer::SetLimits(const HttpServerLimits& aLimits)
{
  m_impl->m_limits = aLimits;
}

void
HttpServer::CloseAfterResponses()
{
  m_impl->m_closesAfterResponse = true;
}

void
HttpServer::StopAccepting()
{
  m_impl->StopAccepting();
}

void
HttpServer::Respond(CallerId aCaller, const HttpResponse& aResponse)
{
  const auto session = m_impl->Find(aCaller);
  if (!session) {
    return;
  }
  // Finish precedes Queue: once the bytes are written, OnWritten reads the next
  // request only if the response is marked as finished.
  session->Finish(!m_impl->m_closesAfterResponse);
  session->Queue(StatusLine(aResponse.m_status) +
                 HeaderLines(aResponse.m_headers) + m_impl->CloseHeader() +
                 "Content-Length: " + std::to_string(aResponse.m_body.size()) +
                 "\r\n\r\n" + aResponse.m_body);
}

void
HttpServer::StreamHead(CallerId aCaller, const HttpResponse& aHead)
{
  const auto session = m_impl->Find(aCaller);
  if (session) {
    const std::string framing =
      session->UsesChunks()
        ? m_impl->CloseHeader() + "Transfer-Encoding: chunked\r\n\r\n"
        : "Connection: close\r\n\r\n";
    session->Queue(StatusLine(aHead.m_status) + HeaderLines(aHead.m_headers) +
                   framing);
  }
}

void
HttpServer::StreamData(CallerId aCaller, const std::string& aData)
{
  const auto session = m_impl->Find(aCaller);
  if (session && !aData.empty()) {
    session->Queue(session->UsesChunks() ? EncodeChunk(aData) : aData);
  }
}

void
HttpServer::StreamEnd(CallerId aCaller, bool aIsComplete)
{
  const auto session = m_impl->Find(aCaller);
  if (!session) {
    return;
  }
  if (!aIsComplete) {
    m_impl->m_activeRequests.erase(aCaller);
    if (session->UsesChunks()) {
      session->Close();
    } else {
      session->Reset();
    }
    return;
  }
  session->Finish(session->UsesChunks() && !m_impl->m_closesAfterResponse);
  if (session->UsesChunks()) {
    session->Queue("0\r\n\r\n");
  } else {
    session->CloseWhenWritten();
  }
}

bool
HttpServer::IsIdle() const
{
  return m_impl->IsIdle();
}

std::size_t
HttpServer::QueuedBytes() const
{
  return m_impl->m_queuedBytes;
}

std::size_t
HttpServer::BodyBytes() const
{
  return m_impl->m_bodyBytes;
}

std::uint64_t
HttpServer::RefusedBodies() const
{
  return m_impl->m_refusedBodies;
}

std::size_t
HttpServer::Running() const
{
  return m_impl->m_activeRequests.size();
}

} // namespace fulmarquay
