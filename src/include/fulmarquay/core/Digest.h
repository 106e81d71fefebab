#ifndef FULMARQUAY_CORE_DIGEST_H
#define FULMARQUAY_CORE_DIGEST_H

#include <cstdint>
#include <string>
#include <string_view>

namespace fulmarquay {

/// A fast non-cryptographic 64-bit checksum (XXH3) that detects torn or
/// corrupted data; not for secrets.
std::uint64_t
Checksum64(std::string_view aData, std::uint64_t aSeed = 0);

/// A fast non-cryptographic 128-bit content hash (XXH3) as 32 hex digits.
std::string
ContentHash(std::string_view aData, std::uint64_t aSeed = 0);

/// SHA-256 as 64 hex digits, for bearer keys and request digests.
/// Throws Error when the crypto library fails.
std::string
Sha256Hex(std::string_view aData);

/// A 64-bit value as 16 hex digits.
std::string
HexOf(std::uint64_t aValue);

} // namespace fulmarquay

#endif
