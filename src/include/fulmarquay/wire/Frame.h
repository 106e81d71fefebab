#ifndef FULMARQUAY_WIRE_FRAME_H
#define FULMARQUAY_WIRE_FRAME_H

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace fulmarquay {

/// The protocol that a frame belongs to.
enum class Channel : std::uint8_t
{
  Consensus = 1, ///< between control replicas
  Control = 2,   ///< entries and operators to control replicas
  Cache = 3,     ///< between the entries of a data centre
  Admin = 4,     ///< state dumps, served by every process
};

/// One message on a framed connection: a channel and its msgpack body.
struct Frame
{
  Channel m_channel = Channel::Admin;
  std::string m_body;
};

/// Maximum size of a frame's body. A larger frame is rejected and closes its
/// connection.
constexpr std::size_t kMaxFrameBytes = 16U << 20U;

/// Encodes a frame: body length (4 bytes, big-endian), channel (1 byte), body.
/// Throws Error when the body exceeds kMaxFrameBytes.
std::string
EncodeFrame(const Frame& aFrame);

/// Splits a byte stream into frames. When Next is called after each Feed until
/// it returns nothing, the buffer holds at most one incomplete frame besides
/// the bytes of the latest Feed. Not thread-safe.
class FrameDecoder
{
public:
  /// Appends received bytes.
  void Feed(std::string_view aBytes);

  /// Returns the next complete frame, or nothing when more bytes are needed.
  /// Throws Error on a length above kMaxFrameBytes or an unknown channel; the
  /// rest of the stream can't be decoded then.
  std::optional<Frame> Next();

private:
  std::string m_buffer;
  std::size_t m_start = 0;
};

} // namespace fulmarquay

#endif
