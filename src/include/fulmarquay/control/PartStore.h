#ifndef FULMARQUAY_CONTROL_PARTSTORE_H
#define FULMARQUAY_CONTROL_PARTSTORE_H

#include "fulmarquay/core/Digest.h"
#include "fulmarquay/core/StrongId.h"
#include "fulmarquay/wire/Codec.h"

#include <cstdint>
#include <string>
#include <vector>

namespace fulmarquay {

/// A part of a prompt's KV cache as a store names it.
struct PartName
{
  std::string m_scope; ///< as sent with the request that made it
  std::string m_id;
  bool operator==(const PartName&) const = default;
};

/// The key of a part in entries and on our wire.
inline std::uint64_t
PartKey(const std::string& aScope, const std::string& aId)
{
  return Checksum64(aId, Checksum64(aScope));
}

/// The scope of KV cache that was made under a weight version, for one account
/// alone where its cache is isolated.
std::string
MakeCacheScope(std::int64_t aWeights, const std::string& aAccount);

/// The weight version of a scope; -1 for text that MakeCacheScope never made.
std::int64_t
WeightsOfScope(const std::string& aScope);

/// A store as entries know it.
struct StoreBrief
{
  std::string m_name;
  std::string m_address; ///< IP:PORT
  DataCentreId m_dataCentre;
  std::int64_t m_capacity = 0; ///< tokens
  std::int64_t m_linkBitsPerSecond = 0;
  bool m_isUp = false;
  bool m_isFull = false; ///< nothing more is to be saved there
  MSGPACK_DEFINE(m_name,
                 m_address,
                 m_dataCentre,
                 m_capacity,
                 m_linkBitsPerSecond,
                 m_isUp,
                 m_isFull)
  bool operator==(const StoreBrief&) const = default;
};

/// A whole part that a store has got, or that must not be read any more.
struct PartChange
{
  std::uint32_t m_store = 0; ///< index into the stores
  std::uint64_t m_key = 0;
  std::int64_t m_tokens = 0; ///< 0: gone
  MSGPACK_DEFINE(m_store, m_key, m_tokens)
};

/// The leader brings an entry to what the stores hold.
struct StorePush
{
  std::uint64_t m_from = 0; ///< state that the changes start from; 0: empty
  std::uint64_t m_to = 0;
  bool m_hasStores = false;
  std::vector<StoreBrief> m_stores; ///< with m_hasStores
  std::vector<PartChange> m_changes;
  MSGPACK_DEFINE(m_from, m_to, m_hasStores, m_stores, m_changes)
};

} // namespace fulmarquay

#endif
