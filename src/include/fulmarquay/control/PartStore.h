#ifndef FULMARQUAY_CONTROL_PARTSTORE_H
#define FULMARQUAY_CONTROL_PARTSTORE_H

#include "fulmarquay/control/CacheGroup.h"
#include "fulmarquay/core/Digest.h"
#include "fulmarquay/core/StrongId.h"
#include "fulmarquay/wire/Codec.h"

#include <cstdint>
#include <string>
#include <vector>

namespace fulmarquay {

/// Identifies a part of a prompt's KV cache in a store.
struct PartName
{
  std::string m_scope; ///< cache scope of the request that created it
  std::string m_id;
  bool operator==(const PartName&) const = default;
};

/// Key of a part in entries and in control messages.
inline std::uint64_t
PartKey(const std::string& aScope, const std::string& aId)
{
  return Checksum64(aId, Checksum64(aScope));
}

/// Returns the cache scope of a group of requests for a weight version of a
/// model. Workers keep the parts of their models apart, stores do not.
std::string
MakeCacheScope(std::int64_t aWeights,
               const std::string& aModel,
               const CacheGroup& aGroup);

/// Returns the weight version of a scope; -1 for text that is not in the format
/// of MakeCacheScope.
std::int64_t
WeightsOfScope(const std::string& aScope);

/// Description of a store for entries.
struct StoreInfo
{
  std::string m_name;
  std::string m_address; ///< IP:PORT
  DataCentreId m_dataCentre;
  std::int64_t m_capacity = 0; ///< tokens
  std::int64_t m_linkBitsPerSecond = 0;
  bool m_isUp = false;
  bool m_isFull = false; ///< entries save nothing more to it
  MSGPACK_DEFINE(m_name,
                 m_address,
                 m_dataCentre,
                 m_capacity,
                 m_linkBitsPerSecond,
                 m_isUp,
                 m_isFull)
  bool operator==(const StoreInfo&) const = default;
};

/// A complete part that a store has received, or that must no longer be read.
struct PartChange
{
  std::uint32_t m_store = 0; ///< index into the list of stores
  std::uint64_t m_key = 0;
  std::int64_t m_tokens = 0; ///< 0: must no longer be read
  MSGPACK_DEFINE(m_store, m_key, m_tokens)
};

/// Update of an entry's stores and part map, sent by the leader.
struct StorePush
{
  std::uint64_t m_from = 0; ///< state version before the changes; 0: empty map
  std::uint64_t m_to = 0;   ///< state version after the changes
  bool m_hasStores = false;
  std::vector<StoreInfo> m_stores; ///< valid if m_hasStores
  std::vector<PartChange> m_changes;
  MSGPACK_DEFINE(m_from, m_to, m_hasStores, m_stores, m_changes)
};

} // namespace fulmarquay

#endif
