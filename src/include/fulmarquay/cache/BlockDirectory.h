#ifndef FULMARQUAY_CACHE_BLOCKDIRECTORY_H
#define FULMARQUAY_CACHE_BLOCKDIRECTORY_H

#include "fulmarquay/cache/BlockKey.h"
#include "fulmarquay/core/StrongId.h"
#include "fulmarquay/core/Units.h"

#include <cstddef>
#include <cstdint>
#include <list>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace fulmarquay {

/// Identifies one write of one block; never reused.
using Generation = StrongId<struct GenerationTag>;
/// Identifies a reader's pin on the blocks of one lookup.
using PinId = StrongId<struct PinTag>;

/// A sealed copy of a block in a store, with the values that a reader must
/// verify. The length is in bytes.
struct BlockCopy
{
  StoreId m_store;
  Generation m_generation;
  std::uint64_t m_length = 0;
  std::uint64_t m_checksum = 0;
  bool operator==(const BlockCopy&) const = default;
};

/// Locations of one block of a chain.
struct BlockLocations
{
  std::optional<BlockCopy> m_copy;
  std::set<EngineId> m_engines; ///< hints from the engines' cache events
};

/// Result of a chain lookup, one element per block.
struct ChainLocations
{
  std::vector<BlockLocations> m_blocks;
  PinId m_pin; ///< 0 if no block is pinned
};

/// Permission to write a block to a store under a new generation.
struct WriteGrant
{
  BlockKey m_key;
  StoreId m_store;
  Generation m_generation;
};

/// Order to a store to delete a block that no reader has pinned.
struct FreeOrder
{
  BlockKey m_key;
  StoreId m_store;
  Generation m_generation;
};

/// A block in a store's listing, used to rebuild a shard after a takeover.
struct ListedBlock
{
  BlockKey m_key;
  BlockKey m_root;
  AccountId m_account;
  std::string m_weights;
  BlockCopy m_copy;
};

/// Limits of a directory shard.
struct DirectoryLimits
{
  std::size_t m_blocks = 200'000;
  Duration m_pinTtl = Duration(30'000'000);
  Duration m_reservationTtl = Duration(20'000'000);
};

/// One shard of the cache directory: the store and state of each block of its
/// chains.
///
/// A block is reserved before its write, sealed when the write is complete,
/// pinned by readers, and freed only without a pin. Lookups return only sealed
/// copies, and only for the account and weight version of the block. Directory
/// entries are hints: the reader verifies generation, length and checksum
/// after it has copied a block. Does no I/O and reads no clock. Not
/// thread-safe.
class BlockDirectory
{
public:
  /// `aGenerationBase` must be unique per process, so that generations never
  /// repeat.
  BlockDirectory(DirectoryLimits aLimits, std::uint64_t aGenerationBase);
  virtual ~BlockDirectory() = default;

  /// Looks up the blocks of a chain and pins those with a sealed copy.
  ChainLocations Lookup(TimePoint aNow,
                        const AccountId& aAccount,
                        const std::string& aWeights,
                        const std::vector<BlockKey>& aKeys);

  /// Releases a reader's pin; an unknown pin is ignored.
  void Unpin(PinId aPin);

  /// Grants a write, unless the block has a copy or is being written, or the
  /// store's capacity would be exceeded.
  std::optional<WriteGrant> Reserve(TimePoint aNow,
                                    const AccountId& aAccount,
                                    const std::string& aWeights,
                                    const BlockKey& aKey,
                                    const StoreId& aStore,
                                    Bytes aLength);

  /// Makes a completed write visible; returns false if its reservation no
  /// longer exists.
  bool Seal(const BlockKey& aKey, const BlockCopy& aCopy);

  /// Cancels the reservation of a failed write.
  void Abort(const BlockKey& aKey, Generation aGeneration);

  /// Invalidates a copy that failed a reader's verification; it is freed.
  void Report(const BlockKey& aKey, Generation aGeneration);

  /// Drops all copies of a store that is no longer available.
  void DropStore(const StoreId& aStore);

  /// Sets or clears the hint that an engine holds a block.
  void SetEngineHint(const EngineId& aEngine,
                     const BlockKey& aKey,
                     bool aHolds);

  /// Clears all hints of an engine, because a gap in its events made them
  /// unreliable.
  void ClearEngineHints(const EngineId& aEngine);

  /// Adds a block from a store's listing as a sealed copy, after a takeover.
  void AddListedBlock(TimePoint aNow, const ListedBlock& aBlock);

  /// Sets the bytes that this shard may use in a store.
  void SetCapacity(const StoreId& aStore, Bytes aCapacity);

  /// Expires pins and reservations, selects blocks to evict, and returns the
  /// free orders for their stores.
  std::vector<FreeOrder> Tick(TimePoint aNow);

  std::size_t Size() const { return m_blocks.size(); }
  std::size_t Pins() const { return m_pins.size(); }
  Bytes Used(const StoreId& aStore) const;

protected:
  // Virtual so that tests can inject known defects.
  virtual bool MayFree(std::uint32_t aPins) const { return aPins == 0; }
  virtual bool IsVisible(bool aIsSealed) const { return aIsSealed; }

private:
  enum class State : std::uint8_t
  {
    Hint,     ///< no copy in a store; engines may hold the block
    Reserved, ///< being written
    Sealed,   ///< completely written and visible to readers
    Freeing,  ///< not visible to lookups; freed once it has no pin
  };

  struct Block
  {
    AccountId m_account;
    std::string m_weights;
    State m_state = State::Hint;
    BlockCopy m_copy;
    std::uint32_t m_pins = 0;
    TimePoint m_reservationExpiresAt;
    std::set<EngineId> m_engines;
    std::list<BlockKey>::iterator m_lruPosition;
  };

  struct Pin
  {
    TimePoint m_expiresAt;
    std::vector<std::pair<BlockKey, Generation>> m_blocks;
  };

  Block& Touch(const BlockKey& aKey);
  bool MatchesAccountAndWeights(const Block& aBlock,
                                const AccountId& aAccount,
                                const std::string& aWeights) const;
  void DropCopy(Block& aBlock);
  void EraseIfEmpty(const BlockKey& aKey);
  void ExpirePins(TimePoint aNow);
  void ExpireReservations(TimePoint aNow);
  void EvictExcess();
  void ReleasePin(const Pin& aPin);

  DirectoryLimits m_limits;
  std::uint64_t m_generationBase;
  std::uint64_t m_nextGeneration = 1;
  std::uint64_t m_nextPin = 1;
  std::unordered_map<BlockKey, Block> m_blocks;
  std::list<BlockKey> m_lru; ///< least recently used block first
  std::set<BlockKey> m_reserved;
  std::set<BlockKey> m_freeing;
  std::map<PinId, Pin> m_pins;
  std::map<StoreId, Bytes> m_used;
  std::map<StoreId, Bytes> m_capacity;
};

} // namespace fulmarquay

#endif
