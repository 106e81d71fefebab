#include <utility>

#include "HttpServerImpl.h"

#include "ResponseText.h"
#include "fulmarquay/core/Error.h"

#include <boost/asio/post.hpp>
#include <algorithm>

namespace fulmarquay {

namespace {

/// Above this for all connections together, those with most are closed. Strings
/// may take twice their size, which together with the answers that a relay
/// holds has to stay well below the memory of an entry's VM.
constexpr std::size_t kMaxAllQueuedBytes = 24U << 20U;

/// Bodies up to this size are refused only at the limit for all bodies; larger
/// ones leave this part of it (one in kSmallBodyShare) to them, so that a few
/// large bodies don't bar the usual requests.
constexpr std::size_t kSmallBodyBytes = 64U << 10U;
constexpr std::size_t kSmallBodyShare = 4;

} // namespace

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
                 "\r\n\r\n" +
                 (session->IsHeadOnly() ? std::string() : aResponse.m_body));
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
  if (session && !aData.empty() && !session->IsHeadOnly()) {
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
  if (session->UsesChunks() && !session->IsHeadOnly()) {
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
