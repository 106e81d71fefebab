#ifndef FULMARQUAY_WIRE_HTTPREQUESTREADER_H
#define FULMARQUAY_WIRE_HTTPREQUESTREADER_H

#include "HttpInput.h"
#include "fulmarquay/wire/HttpMessage.h"
#include "fulmarquay/wire/HttpServer.h"
#include "fulmarquay/wire/InputBudget.h"

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace fulmarquay {

/// Receives what a HttpRequestReader reads.
class HttpRequestSink
{
public:
  virtual ~HttpRequestSink() = default;
  /// Whether a body of this size may be held. Called with the declared size, or
  /// for each chunk with the size of the body including it.
  virtual bool HoldBody(std::uint64_t aBytes) = 0;
  /// The request is complete, or can't be read because of an error: one of
  /// Beast's, `header_limit` above a limit outside the body, or
  /// `not_enough_memory` if its body may not be held.
  virtual void OnRequestRead(const boost::beast::error_code& aError) = 0;
};

/// Reads the requests of one connection, each within limits in bytes outside
/// its body and of its body. The owner sets the time limit on the stream, and
/// stays alive while a shared pointer that is passed to Start exists.
class HttpRequestReader
{
public:
  HttpRequestReader(boost::beast::tcp_stream& aStream,
                    HttpRequestSink& aSink,
                    std::shared_ptr<InputBudget> aBudget,
                    std::function<void()> aEnd);

  /// Reads the next request. The sink is called asynchronously, never from
  /// within this call.
  void Start(const HttpServerLimits& aLimits, std::shared_ptr<void> aOwner);
  /// Ends the reading with `header_limit`; returns false if none is active.
  bool Abort();
  /// Ends the reading without a call of the sink, and releases the owner.
  void Stop();
  /// The complete request.
  HttpRequest Take();
  /// Whether the caller's version of HTTP has chunks.
  bool UsesChunks() const { return m_usesChunks; }
  bool KeepsOpen() const { return m_keepsOpen; }
  /// Whether a part of a request was received.
  bool HasPart() const;
  /// Drops what was received.
  void Clear();
  /// What made the parser give up, if that was an exception.
  const std::string& Reason() const { return m_reason; }

private:
  using Parser =
    boost::beast::http::request_parser<boost::beast::http::string_body>;

  void Continue();
  void Receive();
  void End(const boost::beast::error_code& aError);
  boost::beast::error_code Parse();
  boost::beast::error_code Put();
  boost::beast::error_code CheckHead();
  void UpdateShare();

  boost::beast::tcp_stream& m_stream;
  HttpRequestSink& m_sink;
  InputBudget::Share m_share;
  boost::beast::flat_buffer m_buffer;
  std::optional<Parser> m_parser;
  FramingMeter m_meter;
  ReadSize m_readSize;
  std::size_t m_bodyBytes = 0; ///< of all chunks that began
  std::size_t m_newChunks = 0; ///< since the last Put
  bool m_isReading = false;
  bool m_isAborted = false;
  bool m_usesChunks = true;
  bool m_keepsOpen = true;
  std::string m_reason;
  std::shared_ptr<void> m_owner; ///< while reading
  std::function<
    void(std::uint64_t, boost::string_view, boost::beast::error_code&)>
    m_onChunkHead;
};

} // namespace fulmarquay

#endif
