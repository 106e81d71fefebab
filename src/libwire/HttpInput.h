#ifndef FULMARQUAY_WIRE_HTTPINPUT_H
#define FULMARQUAY_WIRE_HTTPINPUT_H

#include <boost/asio/buffer.hpp>
#include <boost/beast/core/error.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <algorithm>
#include <cstddef>
#include <new>
#include <stdexcept>
#include <string>

namespace fulmarquay {

/// Beast holds the length of a header field in 16 bits and throws for longer
/// ones while it reads, where nothing could be answered.
constexpr std::size_t kMaxHeadBytes = 65'535;

/// Counts the bytes of one message outside its body. A chunk without extensions
/// is free, so that a body may arrive in many small chunks.
class FramingMeter
{
public:
  explicit FramingMeter(std::size_t aMaxBytes = 0)
    : m_maxBytes(aMaxBytes)
  {
  }

  /// Counts parsed bytes, of which some are of the body, that began a number of
  /// chunks. Returns false above the limit.
  bool Add(std::size_t aParsed, std::size_t aBody, std::size_t aChunks)
  {
    const std::size_t framing = aParsed - std::min(aParsed, aBody);
    m_bytes += framing - std::min(framing, aChunks * kFreeChunkBytes);
    return m_bytes <= m_maxBytes;
  }
  std::size_t Bytes() const { return m_bytes; }

private:
  /// A size of 16 digits and the line ends of a chunk.
  static constexpr std::size_t kFreeChunkBytes = 20;

  std::size_t m_maxBytes;
  std::size_t m_bytes = 0;
};

/// Passes received bytes to a parser of Beast and removes those that it took,
/// whose number is returned. An exception of the parser, which throws for
/// fields that it can't hold, becomes `aThrown` and its text; one for want of
/// memory is not bound to the connection and is passed on.
template<typename Parser>
std::size_t
PutInput(Parser& aParser,
         boost::beast::flat_buffer& aBuffer,
         const boost::beast::error_code& aThrown,
         boost::beast::error_code& aError,
         std::string& aReason)
{
  try {
    const std::size_t size = aParser.put(aBuffer.data(), aError);
    aBuffer.consume(size);
    return size;
  } catch (const std::bad_alloc&) {
    throw;
  } catch (const std::exception& e) {
    aError = aThrown;
    aReason = e.what();
    return 0;
  }
}

/// The number of bytes to read next. Grows with what was received, so that an
/// idle connection holds little; 0 if the buffer is full.
class ReadSize
{
public:
  std::size_t Next(const boost::beast::flat_buffer& aBuffer) const
  {
    const std::size_t room =
      aBuffer.max_size() - std::min(aBuffer.max_size(), aBuffer.size());
    return std::min(m_bytes, room);
  }
  void OnReceived(std::size_t aBytes)
  {
    m_bytes = aBytes >= m_bytes ? std::min(2 * m_bytes, kMost) : kFirst;
  }

private:
  static constexpr std::size_t kFirst = 512;
  static constexpr std::size_t kMost = 16U << 10U;

  std::size_t m_bytes = kFirst;
};

} // namespace fulmarquay

#endif
