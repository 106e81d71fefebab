#include <utility>

#include "HttpRequestReader.h"

#include <boost/asio/post.hpp>
#include <algorithm>

namespace fulmarquay {

namespace beast = boost::beast;
namespace http = beast::http;
using beast::error_code;

namespace {

/// HTTP/1.1, as Beast numbers versions.
constexpr unsigned kFirstVersionWithChunks = 11;

} // namespace

HttpRequestReader::HttpRequestReader(beast::tcp_stream& aStream,
                                     HttpRequestSink& aSink,
                                     std::shared_ptr<InputBudget> aBudget,
                                     std::function<void()> aEnd)
  : m_stream(aStream)
  , m_sink(aSink)
  , m_share(std::move(aBudget), std::move(aEnd))
{
  m_onChunkHead =
    [this](std::uint64_t aBytes, boost::string_view, error_code& aError) {
      ++m_newChunks;
      m_bodyBytes += aBytes;
      if (!m_sink.HoldBody(m_bodyBytes)) {
        aError = make_error_code(boost::system::errc::not_enough_memory);
      }
    };
}

void
HttpRequestReader::Start(const HttpServerLimits& aLimits,
                         std::shared_ptr<void> aOwner)
{
  const std::size_t headBytes =
    std::min(aLimits.m_maxHeaderBytes, kMaxHeadBytes);
  const std::size_t framingBytes = headBytes + aLimits.m_maxFramingBytes;
  if (m_buffer.size() == 0) {
    m_buffer = beast::flat_buffer();
  }
  m_buffer.max_size(std::max(framingBytes, m_buffer.size()));
  m_meter = FramingMeter(framingBytes);
  m_parser.emplace();
  m_parser->header_limit(static_cast<std::uint32_t>(headBytes));
  m_parser->body_limit(aLimits.m_maxBodyBytes);
  m_parser->on_chunk_header(m_onChunkHead);
  m_bodyBytes = 0;
  m_newChunks = 0;
  m_isReading = true;
  m_isAborted = false;
  m_reason.clear();
  m_owner = std::move(aOwner);
  if (m_buffer.size() > 0) {
    // A pipelined request.
    boost::asio::post(m_stream.get_executor(),
                      [this, owner = m_owner] { Continue(); });
  } else {
    Receive();
  }
}

void
HttpRequestReader::Continue()
{
  if (!m_isReading) {
    return;
  }
  const error_code error = m_isAborted ? http::error::header_limit : Parse();
  if (error == http::error::need_more) {
    Receive();
  } else {
    End(error);
  }
}

void
HttpRequestReader::Receive()
{
  const std::size_t size = m_readSize.Next(m_buffer);
  if (size == 0) {
    End(http::error::header_limit);
    return;
  }
  const auto buffer = m_buffer.prepare(size);
  UpdateShare();
  m_stream.async_read_some(
    buffer, [this, owner = m_owner](error_code aError, std::size_t aBytes) {
      m_buffer.commit(aBytes);
      m_readSize.OnReceived(aBytes);
      if (!m_isReading) {
        return;
      }
      if (aError && !m_isAborted) {
        End(aError == boost::asio::error::eof ? http::error::end_of_stream
                                              : aError);
        return;
      }
      Continue();
    });
}

void
HttpRequestReader::End(const error_code& aError)
{
  m_isReading = false;
  const std::shared_ptr<void> owner = std::exchange(m_owner, nullptr);
  if (m_buffer.size() == 0) {
    m_buffer = beast::flat_buffer();
  }
  UpdateShare();
  m_sink.OnRequestRead(aError);
}

error_code
HttpRequestReader::Parse()
{
  while (!m_parser->is_done()) {
    if (m_buffer.size() == 0) {
      return http::error::need_more;
    }
    const bool hadHead = m_parser->is_header_done();
    // The head alone, so that a body is refused before memory is taken for it.
    m_parser->eager(hadHead);
    error_code error = Put();
    if (!error && !hadHead && m_parser->is_header_done()) {
      error = CheckHead();
    }
    if (error) {
      return error;
    }
  }
  return {};
}

error_code
HttpRequestReader::Put()
{
  const std::size_t bodyBefore = m_parser->get().body().size();
  error_code error;
  m_newChunks = 0;
  const std::size_t parsed =
    PutInput(*m_parser, m_buffer, http::error::header_limit, error, m_reason);
  const std::size_t body = m_parser->get().body().size() - bodyBefore;
  if (!m_meter.Add(parsed, body, m_newChunks)) {
    return http::error::header_limit;
  }
  if (!error && parsed == 0) {
    return http::error::need_more;
  }
  return error;
}

error_code
HttpRequestReader::CheckHead()
{
  const auto& request = m_parser->get();
  // Where such a body ends is unknown; its bytes would be read as a request.
  if (request.count(http::field::transfer_encoding) != 0 &&
      !m_parser->chunked()) {
    return http::error::bad_transfer_encoding;
  }
  if (!m_parser->is_done() &&
      !m_sink.HoldBody(m_parser->content_length().value_or(0))) {
    return make_error_code(boost::system::errc::not_enough_memory);
  }
  return {};
}

void
HttpRequestReader::UpdateShare()
{
  const std::size_t parsed = m_isReading && m_parser ? m_meter.Bytes() : 0;
  m_share.Set(m_isAborted ? 0 : m_buffer.capacity() + parsed);
  if (m_share.Budget()->IsExceeded()) {
    boost::asio::post(m_stream.get_executor(),
                      [budget = m_share.Budget()] { budget->EndLargest(); });
  }
}

bool
HttpRequestReader::Abort()
{
  if (!m_isReading) {
    return false;
  }
  m_isAborted = true;
  m_stream.cancel();
  return true;
}

void
HttpRequestReader::Stop()
{
  m_isReading = false;
  m_owner.reset();
  m_share.Set(0);
}

HttpRequest
HttpRequestReader::Take()
{
  m_usesChunks = m_parser->get().version() >= kFirstVersionWithChunks;
  m_keepsOpen = m_parser->get().keep_alive();
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

bool
HttpRequestReader::HasPart() const
{
  return m_buffer.size() > 0 || (m_parser && m_parser->got_some());
}

void
HttpRequestReader::Clear()
{
  m_parser.reset();
  m_buffer = beast::flat_buffer();
  m_share.Set(0);
}

} // namespace fulmarquay
