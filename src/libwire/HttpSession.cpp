#include <utility>

#include "HttpServerImpl.h"

#include "ResponseText.h"

#include <boost/asio/write.hpp>
#include <boost/beast/http.hpp>
#include <algorithm>

namespace fulmarquay {

namespace {

/// Responses are written in pieces of this size; a caller that takes none for
/// the read timeout counts as stalled.
constexpr std::size_t kPieceBytes = 64U << 10U;
/// Checks in a row without a written piece. After a pause of this process, for
/// example of its VM, the first check finds none on sound connections either.
constexpr int kStalledChecks = 2;
/// Above this the connection of a slowly reading caller is closed.
constexpr std::size_t kMaxQueuedBytes = 8U << 20U;
/// Of refused bodies. Clients retry on a new connection.
constexpr const char* kBodyRetryAfter = "1";
/// For how long the rest of a refused body is read and dropped. Closing a
/// connection with unread bytes resets it, and its caller may lose the answer.
constexpr Duration kDropTime(5'000'000);

} // namespace

void
HttpServer::Impl::Session::ReadRequest()
{
  m_stream.expires_after(m_server->m_limits.m_readTimeout);
  m_reader.Start(m_server->m_limits, shared_from_this());
}

void
HttpServer::Impl::Session::EndInput()
{
  LogInput("read request",
           "all connections hold " +
             std::to_string(m_server->m_input->MaxBytes()) + " bytes");
  if (!m_reader.Abort()) {
    Close(DisconnectReason::Overfull);
  }
}

void
HttpServer::Impl::Session::LogInput(const std::string& aStep,
                                    const std::string& aReason)
{
  m_server->m_input->CountEnded();
  const HttpServerLimits& limits = m_server->m_limits;
  m_server->m_inputLog.Add(
    { { "peer", m_peer },
      { "step", aStep },
      { "reason", aReason },
      { "limit",
        std::to_string(limits.m_maxHeaderBytes + limits.m_maxFramingBytes) } });
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
  m_reader.Clear();
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
HttpServer::Impl::Session::OnRequestRead(const error_code& aError)
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
  HttpRequest request = m_reader.Take();
  m_keepOpen = m_reader.KeepsOpen();
  m_isHeadOnly = request.m_method == "HEAD";
  m_isFinished = false;
  m_server->m_activeRequests.emplace(m_caller, shared_from_this());
  try {
    m_server->m_handler.OnRequest(m_caller, std::move(request));
  } catch (const std::bad_alloc&) {
    throw;
  } catch (const std::exception& e) {
    LogInput("handle request", e.what());
    Close();
    return;
  }
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
  if (aError == http::error::end_of_stream || !isHttpError ||
      !m_reader.HasPart()) {
    Close();
    return;
  }
  if (status == 431) {
    LogInput("read request",
             m_reader.Reason().empty() ? aError.message() : m_reader.Reason());
  }
  m_reader.Clear();
  m_isHeadOnly = false;
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
  return !m_writing.empty() || !m_queued.empty() || m_reader.HasPart() ||
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
  m_reader.Stop();
  m_server->m_sessions.erase(self);
  m_server->m_queuedBytes -= QueuedBytes();
  m_queued = std::string();
  ReleaseBody();
  if (m_server->m_activeRequests.erase(m_caller) != 0) {
    m_server->m_handler.OnCallerDisconnected(m_caller, aReason);
  }
}

} // namespace fulmarquay
