#ifndef FULMARQUAY_CACHE_BLOCKKEY_H
#define FULMARQUAY_CACHE_BLOCKKEY_H

#include "fulmarquay/core/StrongId.h"
#include "fulmarquay/core/Units.h"

#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace fulmarquay {

/// Key of a cache block: a hash of client account, weight version, adapter and
/// the whole prompt up to the end of the block. Equal keys mean equal content
/// under the same weights for the same account.
class BlockKey
{
public:
  BlockKey() = default;
  BlockKey(std::uint64_t aHigh, std::uint64_t aLow)
    : m_high(aHigh)
    , m_low(aLow)
  {
  }

  /// Parses 32 hex digits. Throws std::invalid_argument.
  static BlockKey Parse(std::string_view aHex);
  std::string ToString() const;

  std::uint64_t High() const { return m_high; }
  std::uint64_t Low() const { return m_low; }

  auto operator<=>(const BlockKey&) const = default;

  /// MessagePack hook: packs both halves.
  template<typename Packer>
  void msgpack_pack(Packer& aPacker) const
  {
    aPacker.pack_array(2);
    aPacker.pack(m_high);
    aPacker.pack(m_low);
  }

  /// MessagePack hook: unpacks both halves; throws on a type mismatch.
  template<typename Object>
  void msgpack_unpack(Object aObject)
  {
    const std::vector<std::uint64_t> halves = aObject;
    m_high = halves.at(0);
    m_low = halves.at(1);
  }

private:
  std::uint64_t m_high = 0;
  std::uint64_t m_low = 0;
};

/// Cache scope of a prompt: account, weight version and adapter, which are
/// part of each block key.
struct BlockScope
{
  AccountId m_account;
  std::string m_weights;
  std::string m_adapter;
};

/// The keys of the complete pieces of a prompt, each of which covers the
/// prompt up to the end of its piece. A remainder shorter than `aPieceBytes`
/// has no key.
std::vector<BlockKey>
PrefixKeys(const BlockScope& aScope,
           std::string_view aPrompt,
           std::size_t aPieceBytes);

/// Estimated token count of a text, used for limits and restore plans.
Tokens
EstimateTokens(std::string_view aText);

/// Bytes of prompt text per estimated token.
constexpr std::size_t kBytesPerToken = 4;

} // namespace fulmarquay

template<>
struct std::hash<fulmarquay::BlockKey>
{
  std::size_t operator()(const fulmarquay::BlockKey& aKey) const
  {
    return aKey.Low();
  }
};

#endif
