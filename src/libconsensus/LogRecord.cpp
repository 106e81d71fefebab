#include "LogRecord.h"

#include "fulmarquay/core/Digest.h"

namespace fulmarquay {

namespace {

constexpr std::uint64_t kLengthBytes = 4;

void
AppendLittleEndian(std::string& aOutput,
                   std::uint64_t aValue,
                   std::uint64_t aByteCount)
{
  for (std::uint64_t i = 0; i < aByteCount; ++i) {
    aOutput += static_cast<char>((aValue >> (8 * i)) & 0xFFU);
  }
}

std::uint64_t
ReadLittleEndian(std::string_view aInput, std::uint64_t aByteCount)
{
  std::uint64_t value = 0;
  for (std::uint64_t i = 0; i < aByteCount; ++i) {
    value |= std::uint64_t{ static_cast<unsigned char>(aInput[i]) } << (8 * i);
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
  record.reserve(kRecordHeaderBytes + aPayload.size());
  AppendLittleEndian(record, aPayload.size(), kLengthBytes);
  AppendLittleEndian(record,
                     ChecksumAt(aSegment, aOffset, aPayload),
                     kRecordHeaderBytes - kLengthBytes);
  record += aPayload;
  return record;
}

std::optional<std::string_view>
DecodeRecord(std::uint64_t aSegment,
             std::uint64_t aOffset,
             std::string_view aSegmentBytes)
{
  if (aOffset + kRecordHeaderBytes > aSegmentBytes.size()) {
    return std::nullopt;
  }
  const std::string_view rest = aSegmentBytes.substr(aOffset);
  const std::uint64_t length = ReadLittleEndian(rest, kLengthBytes);
  if (length == 0 || length > rest.size() - kRecordHeaderBytes) {
    return std::nullopt;
  }
  const std::string_view payload = rest.substr(kRecordHeaderBytes, length);
  const std::uint64_t stored = ReadLittleEndian(
    rest.substr(kLengthBytes), kRecordHeaderBytes - kLengthBytes);
  if (stored != ChecksumAt(aSegment, aOffset, payload)) {
    return std::nullopt;
  }
  return payload;
}

bool
HasRecordAtOrAfter(std::uint64_t aSegment,
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
