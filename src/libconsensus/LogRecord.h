#ifndef FULMARQUAY_LIBCONSENSUS_LOGRECORD_H
#define FULMARQUAY_LIBCONSENSUS_LOGRECORD_H

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace fulmarquay {

/// Bytes before a record's payload: length (4) and checksum (8).
constexpr std::uint64_t kRecordHeadBytes = 12;

/// A record for one place: its checksum covers segment and offset too, so
/// that a block written to the wrong place is noticed.
std::string
EncodeRecord(std::uint64_t aSegment,
             std::uint64_t aOffset,
             std::string_view aPayload);

/// The payload of the record at an offset; nothing when it is not whole.
std::optional<std::string_view>
DecodeRecord(std::uint64_t aSegment,
             std::uint64_t aOffset,
             std::string_view aSegmentBytes);

/// Whether a whole record starts anywhere at or after an offset.
bool
HasRecordAfter(std::uint64_t aSegment,
               std::uint64_t aOffset,
               std::string_view aSegmentBytes);

} // namespace fulmarquay

#endif
