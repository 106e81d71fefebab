#include "fulmarquay/cache/BlockKey.h"

#include "fulmarquay/core/Digest.h"

#include <stdexcept>

namespace fulmarquay {

namespace {

constexpr std::size_t kHalfDigits = 16;

std::uint64_t
ParseHalf(std::string_view aHex)
{
  std::size_t used = 0;
  const std::uint64_t value = std::stoull(std::string(aHex), &used, 16);
  if (used != kHalfDigits) {
    throw std::invalid_argument("not a block key");
  }
  return value;
}

} // namespace

BlockKey
BlockKey::Parse(std::string_view aHex)
{
  if (aHex.size() != 2 * kHalfDigits) {
    throw std::invalid_argument("not a block key");
  }
  return { ParseHalf(aHex.substr(0, kHalfDigits)),
           ParseHalf(aHex.substr(kHalfDigits)) };
}

std::string
BlockKey::ToString() const
{
  return HexOf(m_high) + HexOf(m_low);
}

std::vector<BlockKey>
PrefixKeys(const BlockScope& aScope,
           std::string_view aPrompt,
           std::size_t aPieceBytes)
{
  // Lengths are part of the salt, so that two scopes never read the same.
  std::string before;
  for (const std::string* part :
       { &aScope.m_account.Value(), &aScope.m_weights, &aScope.m_adapter }) {
    before += std::to_string(part->size()) + ":" + *part;
  }
  std::vector<BlockKey> keys;
  while (aPrompt.size() >= aPieceBytes) {
    before += aPrompt.substr(0, aPieceBytes);
    const BlockKey key = BlockKey::Parse(ContentHash(before));
    keys.push_back(key);
    before = key.ToString();
    aPrompt.remove_prefix(aPieceBytes);
  }
  return keys;
}

Tokens
EstimateTokens(std::string_view aText)
{
  const std::size_t count =
    (aText.size() + kBytesPerToken - 1) / kBytesPerToken;
  return Tokens(static_cast<std::int64_t>(count));
}

} // namespace fulmarquay
