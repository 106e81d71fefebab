#include "fulmarquay/wire/Frame.h"

#include "fulmarquay/core/Error.h"

namespace fulmarquay {

namespace {

constexpr std::size_t kLengthBytes = 4;
constexpr std::size_t kHeaderBytes = 5;

std::size_t
ReadLength(std::string_view aBytes)
{
  std::size_t length = 0;
  for (std::size_t i = 0; i < kLengthBytes; ++i) {
    length = (length << 8U) | static_cast<unsigned char>(aBytes[i]);
  }
  return length;
}

} // namespace

std::string
EncodeFrame(const Frame& aFrame)
{
  const std::size_t length = aFrame.m_body.size();
  if (length > kMaxFrameBytes) {
    throw Error("encode frame", "", "body above the limit");
  }
  std::string bytes;
  bytes.reserve(kHeaderBytes + length);
  for (unsigned shift = 24; shift <= 24; shift -= 8) {
    bytes += static_cast<char>((length >> shift) & 0xFFU);
  }
  bytes += static_cast<char>(aFrame.m_channel);
  bytes += aFrame.m_body;
  return bytes;
}

void
FrameDecoder::Feed(std::string_view aBytes)
{
  if (m_start > 0) {
    m_buffer.erase(0, m_start);
    m_start = 0;
  }
  m_buffer.append(aBytes);
}

std::optional<Frame>
FrameDecoder::Next()
{
  const std::string_view unread = std::string_view(m_buffer).substr(m_start);
  if (unread.size() < kHeaderBytes) {
    return std::nullopt;
  }
  const std::size_t length = ReadLength(unread);
  if (length > kMaxFrameBytes) {
    throw Error("decode frame", "", "length above the limit");
  }
  const auto channel = static_cast<Channel>(unread[kLengthBytes]);
  if (channel < Channel::Consensus || channel > Channel::Admin) {
    throw Error("decode frame", "", "unknown channel");
  }
  if (unread.size() < kHeaderBytes + length) {
    return std::nullopt;
  }
  m_start += kHeaderBytes + length;
  return Frame{ channel, std::string(unread.substr(kHeaderBytes, length)) };
}

} // namespace fulmarquay
