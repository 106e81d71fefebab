#ifndef FULMARQUAY_CORE_DIGEST_H
#define FULMARQUAY_CORE_DIGEST_H

#include <cstdint>
#include <string>
#include <string_view>

namespace fulmarquay {

/// A fast 64-bit checksum (XXH3) for torn or damaged data; not for secrets.
std::uint64_t
Checksum64(std::string_view aData, std::uint64_t aSeed = 0);

/// A fast 128-bit content hash (XXH3) as 32 hex digits.
std::string
ContentHash(std::string_view aData, std::uint64_t aSeed = 0);

/// SHA-256 as 64 hex digits, for bearer keys and request digests.
/// Throws Error when the crypto library fails.
std::string
Sha256Hex(std::string_view aData);

/// The 16 hex digits of a 64-bit value.
std::string
HexOf(std::uint64_t aValue);

} // namespace fulmarquay

#endif
