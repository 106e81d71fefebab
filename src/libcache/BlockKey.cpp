#include "fulmarquay/cache/BlockKey.h"

#include "fulmarquay/core/Digest.h"

#include <stdexcept>

namespace fulmarquay {

namespace {

constexpr std::size_t kHexDigitsPerHalf = 16;

std::uint64_t
ParseHalf(std::string_view aHex)
{
  std::size_t used = 0;
  const std::uint64_t value = std::stoull(std::string(aHex), &used, 16);
  if (used != kHexDigitsPerHalf) {
    throw std::invalid_argument("a block key must have 32 hex digits");
  }
  return value;
}

} // namespace

BlockKey
BlockKey::Parse(std::string_view aHex)
{
  if (aHex.size() != 2 * kHexDigitsPerHalf) {
    throw std::invalid_argument("a block key must have 32 hex digits");
  }
  return { ParseHalf(aHex.substr(0, kHexDigitsPerHalf)),
           ParseHalf(aHex.substr(kHexDigitsPerHalf)) };
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
  // Each part is prefixed with its length, so that two different scopes never
  // concatenate to the same input.
  std::string hashInput;
  for (const std::string* part :
       { &aScope.m_account.Value(), &aScope.m_weights, &aScope.m_adapter }) {
    hashInput += std::to_string(part->size()) + ":" + *part;
  }
  std::vector<BlockKey> keys;
  while (aPrompt.size() >= aPieceBytes) {
    hashInput += aPrompt.substr(0, aPieceBytes);
    const BlockKey key = BlockKey::Parse(ContentHash(hashInput));
    keys.push_back(key);
    hashInput = key.ToString();
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
