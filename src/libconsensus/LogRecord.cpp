#include "LogRecord.h"

#include "fulmarquay/core/Digest.h"

namespace fulmarquay {

namespace {

constexpr std::uint64_t kLengthBytes = 4;

void
PutNumber(std::string& aText, std::uint64_t aValue, std::uint64_t aBytes)
{
  for (std::uint64_t i = 0; i < aBytes; ++i) {
    aText += static_cast<char>((aValue >> (8 * i)) & 0xFFU);
  }
}

std::uint64_t
GetNumber(std::string_view aText, std::uint64_t aBytes)
{
  std::uint64_t value = 0;
  for (std::uint64_t i = 0; i < aBytes; ++i) {
    value |= std::uint64_t{ static_cast<unsigned char>(aText[i]) } << (8 * i);
  }
  return value;
}

std::uint64_t
ChecksumAt(std::uint64_t aSegment,
           std::uint64_t aOffset,
           std::string_view aPayload)
{
  return Checksum64(aPayload, (aSegment << 32U) ^ aOffset);
}

} // namespace

std::string
EncodeRecord(std::uint64_t aSegment,
             std::uint64_t aOffset,
             std::string_view aPayload)
{
  std::string record;
  record.reserve(kRecordHeadBytes + aPayload.size());
  PutNumber(record, aPayload.size(), kLengthBytes);
  PutNumber(record,
            ChecksumAt(aSegment, aOffset, aPayload),
            kRecordHeadBytes - kLengthBytes);
  record += aPayload;
  return record;
}

std::optional<std::string_view>
DecodeRecord(std::uint64_t aSegment,
             std::uint64_t aOffset,
             std::string_view aSegmentBytes)
{
  if (aOffset + kRecordHeadBytes > aSegmentBytes.size()) {
    return std::nullopt;
  }
  const std::string_view rest = aSegmentBytes.substr(aOffset);
  const std::uint64_t length = GetNumber(rest, kLengthBytes);
  if (length == 0 || length > rest.size() - kRecordHeadBytes) {
    return std::nullopt;
  }
  const std::string_view payload = rest.substr(kRecordHeadBytes, length);
  const std::uint64_t stored =
    GetNumber(rest.substr(kLengthBytes), kRecordHeadBytes - kLengthBytes);
  if (stored != ChecksumAt(aSegment, aOffset, payload)) {
    return std::nullopt;
  }
  return payload;
}

bool
HasRecordAfter(std::uint64_t aSegment,
               std::uint64_t aOffset,
               std::string_view aSegmentBytes)
{
  for (std::uint64_t i = aOffset; i < aSegmentBytes.size(); ++i) {
    if (DecodeRecord(aSegment, i, aSegmentBytes)) {
      return true;
    }
  }
  return false;
}

} // namespace fulmarquay
