#include "fulmarquay/core/Digest.h"

#include "fulmarquay/core/Error.h"

#include <array>
#include <openssl/evp.h>
#include <xxhash.h>

namespace fulmarquay {

std::uint64_t
Checksum64(std::string_view aData, std::uint64_t aSeed)
{
  return XXH3_64bits_withSeed(aData.data(), aData.size(), aSeed);
}

std::string
HexOf(std::uint64_t aValue)
{
  static constexpr std::string_view kDigits = "0123456789abcdef";
  std::string text(16, '0');
  for (int i = 15; i >= 0; --i) {
    text[static_cast<std::size_t>(i)] = kDigits[aValue & 0xF];
    aValue >>= 4U;
  }
  return text;
}

std::string
ContentHash(std::string_view aData, std::uint64_t aSeed)
{
  const XXH128_hash_t hash =
    XXH3_128bits_withSeed(aData.data(), aData.size(), aSeed);
  return HexOf(hash.high64) + HexOf(hash.low64);
}

std::string
Sha256Hex(std::string_view aData)
{
  std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
  unsigned int length = 0;
  if (EVP_Digest(aData.data(),
                 aData.size(),
                 digest.data(),
                 &length,
                 EVP_sha256(),
                 nullptr) != 1) {
    throw Error("hash with SHA-256", "", "EVP_Digest failed");
  }
  static constexpr std::string_view kDigits = "0123456789abcdef";
  std::string text;
  for (unsigned int i = 0; i < length; ++i) {
    text += kDigits[digest[i] >> 4U];
    text += kDigits[digest[i] & 0xFU];
  }
  return text;
}

} // namespace fulmarquay
