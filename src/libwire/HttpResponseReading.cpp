// Reads the responses to the calls of an HttpClient within their limits.
#include "HttpClientImpl.h"

#include "fulmarquay/core/Clock.h"
#include "fulmarquay/core/LogEvent.h"
#include "fulmarquay/wire/SocketOptions.h"

#include <algorithm>

namespace fulmarquay {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using beast::error_code;

/// Responses to earlier requests and interim ones that are skipped before the
/// call fails.
constexpr int kMaxSkippedResponses = 4;

} // namespace

bool
HttpClient::Impl::HasValidStatus(const ActiveCall& aActive)
{
  const unsigned status = aActive.m_parser->get().result_int();
  return status >= kFirstStatus && status <= kLastStatus;
}

bool
HttpClient::Impl::IsSkippedResponse(const ActiveCall& aActive)
{
  const HttpHeader& expected = aActive.m_call.m_correlationHeader;
  const auto& response = aActive.m_parser->get();
  if (response.result_int() < kFirstFinalStatus) {
    return true;
  }
  if (expected.m_name.empty()) {
    return false;
  }
  const auto [first, last] = response.equal_range(expected.m_name);
  if (first != last) {
    return std::any_of(first, last, [&](const auto& aField) {
      return aField.value() != expected.m_value;
    });
  }
  // A peer may send an error before it has read the request headers. Where an
  // earlier response may arrive, nothing shows which request it answers.
  return aActive.m_mayReceiveEarlierResponse;
}

void
HttpClient::Impl::ReadHead(const ActiveCallPtr& aActive)
{
  aActive->m_parser.emplace();
  aActive->m_parser->body_limit(aActive->m_call.m_maxResponseBytes);
  aActive->m_parser->skip(aActive->m_isHeadOnly);
  aActive->m_headMeter = FramingMeter(kMaxUnparsedBytes);
  aActive->m_connection->m_user = aActive->m_call.m_call;
  SetTimeout(*aActive);
  ParseHead(aActive);
}

error_code
HttpClient::Impl::Put(ActiveCall& aActive)
{
  const std::size_t bodyBefore = aActive.m_parser->get().body().size;
  error_code error;
  const std::size_t parsed = PutInput(*aActive.m_parser,
                                      aActive.m_connection->m_buffer,
                                      http::error::header_limit,
                                      error,
                                      aActive.m_reason);
  const std::size_t body = bodyBefore - aActive.m_parser->get().body().size;
  if (!CountBytes(aActive, parsed)) {
    return http::error::body_limit;
  }
  if (!error && parsed == 0 && body == 0) {
    return http::error::need_more;
  }
  return error;
}

void
HttpClient::Impl::Receive(const ActiveCallPtr& aActive,
                          void (Impl::*aNext)(const ActiveCallPtr&))
{
  Connection& connection = *aActive->m_connection;
  const std::size_t size = connection.m_readSize.Next(connection.m_buffer);
  if (size == 0) {
    Fail(aActive, http::error::header_limit);
    return;
  }
  const auto buffer = connection.m_buffer.prepare(size);
  connection.m_share.Set(connection.m_buffer.capacity());
  if (m_input->IsExceeded()) {
    asio::post(m_context, [input = m_input] { input->EndLargest(); });
  }
  auto self = shared_from_this();
  connection.m_stream.async_read_some(
    buffer, [self, aActive, aNext](error_code aError, std::size_t aBytes) {
      aActive->m_connection->m_buffer.commit(aBytes);
      aActive->m_connection->m_readSize.OnReceived(aBytes);
      if (!self->IsCurrent(aActive)) {
        return;
      }
      if (aError == asio::error::eof) {
        aError = http::error::end_of_stream;
        // An answer that ends with its connection is whole only if the peer
        // has received the whole request.
        const bool isCut =
          aActive->m_parser->is_header_done() &&
          aActive->m_parser->need_eof() &&
          IsSendingCut(
            aActive->m_connection->m_stream.socket().native_handle());
        if (isCut) {
          aError = http::error::partial_message;
        } else if (aActive->m_parser->got_some()) {
          aActive->m_parser->put_eof(aError);
        }
      }
      if (aError) {
        self->Fail(aActive, aError);
      } else {
        ((*self).*aNext)(aActive);
      }
    });
}

void
HttpClient::Impl::ParseHead(const ActiveCallPtr& aActive)
{
  while (!aActive->m_parser->is_header_done()) {
    if (aActive->m_connection->m_buffer.size() == 0) {
      Receive(aActive, &Impl::ParseHead);
      return;
    }
    const std::size_t before = aActive->m_receivedBytes;
    error_code error = Put(*aActive);
    if (!aActive->m_headMeter.Add(aActive->m_receivedBytes - before, 0, 0)) {
      error = http::error::header_limit;
    }
    if (error == http::error::need_more) {
      Receive(aActive, &Impl::ParseHead);
      return;
    }
    if (error) {
      Fail(aActive, error);
      return;
    }
  }
  OnHead(aActive);
}

void
HttpClient::Impl::OnHead(const ActiveCallPtr& aActive)
{
  if (!HasValidStatus(*aActive)) {
    WriteLog(
      LogEvent::AnswerMismatch,
      { { "peer", aActive->m_call.m_peer.ToString() },
        { "status", std::to_string(aActive->m_parser->get().result_int()) } });
    Fail(aActive, http::error::bad_status);
    return;
  }
  aActive->m_isSkippedResponse = IsSkippedResponse(*aActive);
  if (aActive->m_isSkippedResponse) {
    const unsigned status = aActive->m_parser->get().result_int();
    if (status >= kFirstFinalStatus) {
      aActive->m_mayReceiveEarlierResponse = true;
      WriteLog(LogEvent::AnswerMismatch,
               { { "peer", aActive->m_call.m_peer.ToString() },
                 { "status", std::to_string(status) } });
    }
    if (++aActive->m_skippedResponses > kMaxSkippedResponses) {
      Fail(aActive, http::error::unexpected_body);
    } else {
      ReadBody(aActive);
    }
    return;
  }
  HttpResponse head;
  head.m_status = static_cast<int>(aActive->m_parser->get().result_int());
  head.m_endsWithConnection = aActive->m_parser->need_eof();
  head.m_connectedAt = aActive->m_connection->m_connectedAt;
  for (const auto& field : aActive->m_parser->get()) {
    head.m_headers.push_back(
      { std::string(field.name_string()), std::string(field.value()) });
  }
  const bool isDelivered =
    Deliver(aActive, [&] { m_handler.OnHead(aActive->m_call.m_call, head); });
  if (isDelivered) {
    ReadBody(aActive);
  }
}

template<typename Callback>
bool
HttpClient::Impl::Deliver(const ActiveCallPtr& aActive, Callback aCallback)
{
  try {
    aCallback();
  } catch (const std::bad_alloc&) {
    throw;
  } catch (const std::exception& e) {
    LogInput(*aActive, "handle response", e.what());
    if (IsCurrent(aActive)) {
      Fail(aActive, http::error::unexpected_body);
    }
    return false;
  }
  return IsCurrent(aActive);
}

void
HttpClient::Impl::ReadBody(const ActiveCallPtr& aActive)
{
  if (aActive->m_parser->is_done()) {
    if (aActive->m_isSkippedResponse && aActive->m_parser->keep_alive()) {
      ReadHead(aActive);
    } else if (aActive->m_isSkippedResponse) {
      Fail(aActive, http::error::partial_message);
    } else {
      Finish(aActive);
    }
    return;
  }
  auto& body = aActive->m_parser->get().body();
  body.data = aActive->m_bodyBuffer.data();
  body.size = aActive->m_bodyBuffer.size();
  SetTimeout(*aActive);
  if (aActive->m_connection->m_buffer.size() == 0) {
    ParseBody(aActive);
    return;
  }
  // Not called at once, as many chunks may have been received together.
  asio::post(m_context, [self = shared_from_this(), aActive] {
    if (self->IsCurrent(aActive)) {
      self->ParseBody(aActive);
    }
  });
}

void
HttpClient::Impl::ParseBody(const ActiveCallPtr& aActive)
{
  if (aActive->m_parser->is_done()) {
    ReadBody(aActive); // ended with its connection
    return;
  }
  if (aActive->m_connection->m_buffer.size() == 0) {
    Receive(aActive, &Impl::ParseBody);
    return;
  }
  const error_code error = Put(*aActive);
  const bool hasBody =
    aActive->m_parser->get().body().size < aActive->m_bodyBuffer.size();
  if (error == http::error::need_more && !hasBody) {
    Receive(aActive, &Impl::ParseBody);
  } else {
    OnBody(aActive, error == http::error::need_more ? error_code() : error);
  }
}

void
HttpClient::Impl::EndInput(const std::weak_ptr<Connection>& aConnection)
{
  const ConnectionPtr connection = aConnection.lock();
  if (!connection) {
    return;
  }
  const auto found = m_activeCalls.find(connection->m_user);
  if (found != m_activeCalls.end() &&
      found->second->m_connection == connection) {
    Fail(found->second, http::error::header_limit);
  } else {
    Close(*connection);
  }
}

void
HttpClient::Impl::LogInput(const ActiveCall& aActive,
                           const std::string& aStep,
                           const std::string& aReason)
{
  m_input->CountEnded();
  m_inputLog.Add({ { "peer", aActive.m_call.m_peer.ToString() },
                   { "step", aStep },
                   { "reason", aReason },
                   { "limit", std::to_string(kMaxUnparsedBytes) } });
}

void
HttpClient::Impl::OnBody(const ActiveCallPtr& aActive, const error_code& aError)
{
  const bool isBufferFull = aError == http::error::need_buffer;
  const std::size_t size =
    aActive->m_bodyBuffer.size() - aActive->m_parser->get().body().size;
  if (size > 0 && !aActive->m_isSkippedResponse) {
    const bool isDelivered = Deliver(aActive, [&] {
      m_handler.OnData(aActive->m_call.m_call,
                       std::string(aActive->m_bodyBuffer.data(), size));
    });
    if (!isDelivered) {
      return;
    }
  }
  if (aError && !isBufferFull) {
    Fail(aActive, aError);
    return;
  }
  ReadBody(aActive);
}

} // namespace fulmarquay
