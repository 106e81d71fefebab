#ifndef FULMARQUAY_LIBCONSENSUS_LOGRECORD_H
#define FULMARQUAY_LIBCONSENSUS_LOGRECORD_H

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace fulmarquay {

/// Size of the header before a record's payload: length (4 bytes) and checksum
/// (8 bytes).
constexpr std::uint64_t kRecordHeaderBytes = 12;

/// Encodes a record for one segment and offset. The checksum covers both, so
/// that a disk block written to the wrong position is detected.
std::string
EncodeRecord(std::uint64_t aSegment,
             std::uint64_t aOffset,
             std::string_view aPayload);

/// Returns the payload of the record at an offset, or nullopt if the record is
/// incomplete or its checksum does not match.
std::optional<std::string_view>
DecodeRecord(std::uint64_t aSegment,
             std::uint64_t aOffset,
             std::string_view aSegmentBytes);

/// Whether a valid record starts at any offset from `aOffset` on.
bool
HasRecordAtOrAfter(std::uint64_t aSegment,
                   std::uint64_t aOffset,
                   std::string_view aSegmentBytes);

} // namespace fulmarquay

#endif
