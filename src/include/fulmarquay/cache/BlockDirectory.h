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

/// One write of one block; never given out twice.
using Generation = StrongId<struct GenerationTag>;
/// A reader's hold on the blocks of one lookup.
using PinId = StrongId<struct PinTag>;

/// A sealed copy of a block in a store: all that a reader must check.
struct BlockCopy
{
  StoreId m_store;
  Generation m_generation;
  std::uint64_t m_length = 0;
  std::uint64_t m_checksum = 0;
  bool operator==(const BlockCopy&) const = default;
};

/// Where one block of a chain is.
struct BlockPlaces
{
  std::optional<BlockCopy> m_copy;
  std::set<EngineId> m_engines; ///< hints from engine events
};

/// What a chain lookup found, block by block.
struct ChainPlaces
{
  std::vector<BlockPlaces> m_blocks;
  PinId m_pin; ///< 0: nothing was pinned
};

/// The right to write a block to a store under a new generation.
struct WriteGrant
{
  BlockKey m_key;
  StoreId m_store;
  Generation m_generation;
};

/// A block that a store must delete now; it has no reader.
struct FreeOrder
{
  BlockKey m_key;
  StoreId m_store;
  Generation m_generation;
};

/// A block as a store lists it, to rebuild a shard after a takeover.
struct ListedBlock
{
  BlockKey m_key;
  BlockKey m_root;
  AccountId m_account;
  std::string m_weights;
  BlockCopy m_copy;
};

/// Bounds of a directory shard.
struct DirectoryLimits
{
  std::size_t m_blocks = 200'000;
  Duration m_pinLife = Duration(30'000'000);
  Duration m_reserveLife = Duration(20'000'000);
};

/// One shard of the cache directory: which blocks of its chains are in which
/// store, and in which state.
///
/// A block is reserved, sealed once its write was whole, pinned by readers,
/// and freed when it has no pin. Only sealed copies are ever handed out, and
/// only to their own account and weight version. Entries are hints: the
/// reader checks generation, length and checksum after its copy. Pure; time
/// comes with each call. Not thread-safe.
class BlockDirectory
{
public:
  /// `aGenerationBase` must be new for each process, so that generations
  /// never repeat.
  BlockDirectory(DirectoryLimits aLimits, std::uint64_t aGenerationBase);
  virtual ~BlockDirectory() = default;

  /// Finds a chain's blocks and pins those with a copy.
  ChainPlaces Lookup(TimePoint aNow,
                     const AccountId& aAccount,
                     const std::string& aWeights,
                     const std::vector<BlockKey>& aKeys);

  /// Ends a reader's hold; an unknown pin is ignored.
  void Unpin(PinId aPin);

  /// Grants a write unless the block is there or being written.
  std::optional<WriteGrant> Reserve(TimePoint aNow,
                                    const AccountId& aAccount,
                                    const std::string& aWeights,
                                    const BlockKey& aKey,
                                    const StoreId& aStore,
                                    Bytes aLength);

  /// Makes a whole write visible; false when its reservation is gone.
  bool Seal(const BlockKey& aKey, const BlockCopy& aCopy);

  /// Ends a reservation whose write failed.
  void Abort(const BlockKey& aKey, Generation aGeneration);

  /// Takes a copy out of use that a reader found wrong.
  void Report(const BlockKey& aKey, Generation aGeneration);

  /// A store is gone: none of its copies is handed out again.
  void LoseStore(const StoreId& aStore);

  /// Adds or drops the hint that an engine holds a block.
  void NoteEngine(const EngineId& aEngine, const BlockKey& aKey, bool aHolds);

  /// Every hint about an engine is void: its events had a gap.
  void ForgetEngine(const EngineId& aEngine);

  /// Takes a block that a store lists, after a takeover.
  void Adopt(TimePoint aNow, const ListedBlock& aBlock);

  /// The bytes that this shard may use of a store.
  void SetCapacity(const StoreId& aStore, Bytes aCapacity);

  /// Expires pins and reservations, picks blocks to free, and returns the
  /// orders for their stores.
  std::vector<FreeOrder> Tick(TimePoint aNow);

  std::size_t Size() const { return m_blocks.size(); }
  std::size_t Pins() const { return m_pins.size(); }
  Bytes Used(const StoreId& aStore) const;

protected:
  // Points at which a test subclass seeds a known defect.
  virtual bool MayFree(std::uint32_t aPins) const { return aPins == 0; }
  virtual bool IsVisible(bool aIsSealed) const { return aIsSealed; }

private:
  enum class State : std::uint8_t
  {
    Hint,     ///< no copy; engines may hold it
    Reserved, ///< being written
    Sealed,
    Freeing, ///< no new readers; freed when the last pin ends
  };

  struct Block
  {
    AccountId m_account;
    std::string m_weights;
    State m_state = State::Hint;
    BlockCopy m_copy;
    std::uint32_t m_pins = 0;
    TimePoint m_reservedUntil;
    std::set<EngineId> m_engines;
    std::list<BlockKey>::iterator m_age;
  };

  struct Pin
  {
    TimePoint m_until;
    std::vector<std::pair<BlockKey, Generation>> m_blocks;
  };

  Block& Touch(const BlockKey& aKey);
  bool Matches(const Block& aBlock,
               const AccountId& aAccount,
               const std::string& aWeights) const;
  void DropCopy(Block& aBlock);
  void EraseIfEmpty(const BlockKey& aKey);
  void ExpirePins(TimePoint aNow);
  void ExpireReservations(TimePoint aNow);
  void MakeRoom();
  void Release(const Pin& aPin);

  DirectoryLimits m_limits;
  std::uint64_t m_generationBase;
  std::uint64_t m_nextGeneration = 1;
  std::uint64_t m_nextPin = 1;
  std::unordered_map<BlockKey, Block> m_blocks;
  std::list<BlockKey> m_byAge; ///< least recently used first
  std::set<BlockKey> m_reserved;
  std::set<BlockKey> m_freeing;
  std::map<PinId, Pin> m_pins;
  std::map<StoreId, Bytes> m_used;
  std::map<StoreId, Bytes> m_capacity;
};

} // namespace fulmarquay

#endif
