#ifndef FULMARQUAY_WIRE_FRAME_H
#define FULMARQUAY_WIRE_FRAME_H

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace fulmarquay {

/// Which protocol a frame belongs to.
enum class Channel : std::uint8_t
{
  Consensus = 1, ///< between control replicas
  Control = 2,   ///< entries and operators to control replicas
  Cache = 3,     ///< between the entries of a data centre
  Admin = 4,     ///< state dumps, answered by every process
};

/// One message on a framed connection: a channel and its msgpack body.
struct Frame
{
  Channel m_channel = Channel::Admin;
  std::string m_body;
};

/// Frames larger than this are refused and close their connection.
constexpr std::size_t kMaxFrameBytes = 16U << 20U;

/// The bytes of a frame: length (4, big-endian), channel (1), body.
std::string
EncodeFrame(const Frame& aFrame);

/// Cuts a byte stream into frames. Holds at most one frame's bytes beyond
/// what Feed was given. Not thread-safe.
class FrameDecoder
{
public:
  /// Adds received bytes.
  void Feed(std::string_view aBytes);

  /// The next whole frame, or nothing yet. Throws Error on a length above
  /// kMaxFrameBytes or an unknown channel; the connection is then unusable.
  std::optional<Frame> Next();

private:
  std::string m_buffer;
  std::size_t m_start = 0;
};

} // namespace fulmarquay

#endif
