#include "fulmarquay/cache/BlockDirectory.h"

#include <algorithm>
#include <utility>

namespace fulmarquay {

BlockDirectory::BlockDirectory(DirectoryLimits aLimits,
                               std::uint64_t aGenerationBase)
  : m_limits(aLimits)
  , m_generationBase(aGenerationBase << 32U)
{
}

BlockDirectory::Block&
BlockDirectory::Touch(const BlockKey& aKey)
{
  const auto [it, isNew] = m_blocks.try_emplace(aKey);
  Block& block = it->second;
  if (isNew) {
    block.m_lruPosition = m_lru.insert(m_lru.end(), aKey);
  } else {
    m_lru.splice(m_lru.end(), m_lru, block.m_lruPosition);
  }
  return block;
}

bool
BlockDirectory::MatchesAccountAndWeights(const Block& aBlock,
                                         const AccountId& aAccount,
                                         const std::string& aWeights) const
{
  // The key already depends on both; this check is a second safeguard.
  return aBlock.m_account == aAccount && aBlock.m_weights == aWeights;
}

ChainLocations
BlockDirectory::Lookup(TimePoint aNow,
                       const AccountId& aAccount,
                       const std::string& aWeights,
                       const std::vector<BlockKey>& aKeys)
{
  ChainLocations locations;
  Pin pin;
  pin.m_expiresAt = aNow + m_limits.m_pinTtl;
  for (const BlockKey& key : aKeys) {
    BlockLocations& found = locations.m_blocks.emplace_back();
    const auto it = m_blocks.find(key);
    if (it == m_blocks.end()) {
      continue;
    }
    Block& block = Touch(key);
    found.m_engines = block.m_engines;
    const bool isSealed = block.m_state == State::Sealed;
    const bool isSealedOrReserved =
      isSealed || block.m_state == State::Reserved;
    if (!isSealedOrReserved || !IsVisible(isSealed) ||
        !MatchesAccountAndWeights(block, aAccount, aWeights)) {
      continue;
    }
    found.m_copy = block.m_copy;
    ++block.m_pins;
    pin.m_blocks.emplace_back(key, block.m_copy.m_generation);
  }
  if (!pin.m_blocks.empty()) {
    locations.m_pin = PinId(m_nextPin++);
    m_pins.emplace(locations.m_pin, std::move(pin));
  }
  return locations;
}

void
BlockDirectory::ReleasePin(const Pin& aPin)
{
  for (const auto& [key, generation] : aPin.m_blocks) {
    const auto it = m_blocks.find(key);
    const bool isSameGeneration =
      it != m_blocks.end() && it->second.m_copy.m_generation == generation;
    if (isSameGeneration && it->second.m_pins > 0) {
      --it->second.m_pins;
    }
  }
}

void
BlockDirectory::Unpin(PinId aPin)
{
  const auto it = m_pins.find(aPin);
  if (it != m_pins.end()) {
    ReleasePin(it->second);
    m_pins.erase(it);
  }
}

std::optional<WriteGrant>
BlockDirectory::Reserve(TimePoint aNow,
                        const AccountId& aAccount,
                        const std::string& aWeights,
                        const BlockKey& aKey,
                        const StoreId& aStore,
                        Bytes aLength)
{
  const auto existing = m_blocks.find(aKey);
  if (existing != m_blocks.end() && existing->second.m_state != State::Hint) {
    return std::nullopt;
  }
  if (m_used[aStore] + aLength > m_capacity[aStore]) {
    return std::nullopt;
  }
  Block& block = Touch(aKey);
  block.m_account = aAccount;
  block.m_weights = aWeights;
  block.m_state = State::Reserved;
  block.m_pins = 0;
  block.m_copy.m_store = aStore;
  block.m_copy.m_generation = Generation(m_generationBase | m_nextGeneration++);
  block.m_copy.m_length = static_cast<std::uint64_t>(aLength.Count());
  block.m_copy.m_checksum = 0;
  block.m_reservationExpiresAt = aNow + m_limits.m_reservationTtl;
  m_used[aStore] += aLength;
  m_reserved.insert(aKey);
  return WriteGrant{ aKey, aStore, block.m_copy.m_generation };
}

bool
BlockDirectory::Seal(const BlockKey& aKey, const BlockCopy& aCopy)
{
  const auto it = m_blocks.find(aKey);
  if (it == m_blocks.end()) {
    return false;
  }
  Block& block = it->second;
  const bool isCurrentReservation =
    block.m_state == State::Reserved &&
    block.m_copy.m_generation == aCopy.m_generation;
  if (!isCurrentReservation) {
    return false;
  }
  m_used[block.m_copy.m_store] -=
    Bytes(static_cast<std::int64_t>(block.m_copy.m_length));
  m_used[aCopy.m_store] += Bytes(static_cast<std::int64_t>(aCopy.m_length));
  block.m_copy = aCopy;
  block.m_state = State::Sealed;
  m_reserved.erase(aKey);
  return true;
}

void
BlockDirectory::Abort(const BlockKey& aKey, Generation aGeneration)
{
  const auto it = m_blocks.find(aKey);
  const bool isCurrentReservation =
    it != m_blocks.end() && it->second.m_state == State::Reserved &&
    it->second.m_copy.m_generation == aGeneration;
  if (isCurrentReservation) {
    // The store may hold a partial copy, so it is freed like any other block.
    it->second.m_state = State::Freeing;
    m_reserved.erase(aKey);
    m_freeing.insert(aKey);
  }
}

void
BlockDirectory::Report(const BlockKey& aKey, Generation aGeneration)
{
  const auto it = m_blocks.find(aKey);
  const bool isSameGeneration = it != m_blocks.end() &&
                                it->second.m_state == State::Sealed &&
                                it->second.m_copy.m_generation == aGeneration;
  if (isSameGeneration) {
    it->second.m_state = State::Freeing;
    m_freeing.insert(aKey);
  }
}

void
BlockDirectory::DropCopy(Block& aBlock)
{
  if (aBlock.m_state != State::Hint) {
    m_used[aBlock.m_copy.m_store] -=
      Bytes(static_cast<std::int64_t>(aBlock.m_copy.m_length));
  }
  aBlock.m_state = State::Hint;
  aBlock.m_copy = BlockCopy();
  aBlock.m_pins = 0;
}

void
BlockDirectory::EraseIfEmpty(const BlockKey& aKey)
{
  const auto it = m_blocks.find(aKey);
  const bool isEmpty = it != m_blocks.end() &&
                       it->second.m_state == State::Hint &&
                       it->second.m_engines.empty();
  if (isEmpty) {
    m_lru.erase(it->second.m_lruPosition);
    m_blocks.erase(it);
  }
}

void
BlockDirectory::DropStore(const StoreId& aStore)
{
  std::vector<BlockKey> affected;
  for (const auto& [key, block] : m_blocks) {
    if (block.m_state != State::Hint && block.m_copy.m_store == aStore) {
      affected.push_back(key);
    }
  }
  for (const BlockKey& key : affected) {
    DropCopy(m_blocks.at(key));
    m_reserved.erase(key);
    m_freeing.erase(key);
    EraseIfEmpty(key);
  }
}

void
BlockDirectory::SetEngineHint(const EngineId& aEngine,
                              const BlockKey& aKey,
                              bool aHolds)
{
  if (aHolds) {
    Touch(aKey).m_engines.insert(aEngine);
    return;
  }
  const auto it = m_blocks.find(aKey);
  if (it != m_blocks.end()) {
    it->second.m_engines.erase(aEngine);
    EraseIfEmpty(aKey);
  }
}

void
BlockDirectory::ClearEngineHints(const EngineId& aEngine)
{
  std::vector<BlockKey> affected;
  for (auto& [key, block] : m_blocks) {
    if (block.m_engines.erase(aEngine) != 0) {
      affected.push_back(key);
    }
  }
  for (const BlockKey& key : affected) {
    EraseIfEmpty(key);
  }
}

void
BlockDirectory::AddListedBlock(TimePoint aNow, const ListedBlock& aBlock)
{
  const auto existing = m_blocks.find(aBlock.m_key);
  if (existing != m_blocks.end() && existing->second.m_state != State::Hint) {
    return;
  }
  Block& block = Touch(aBlock.m_key);
  block.m_account = aBlock.m_account;
  block.m_weights = aBlock.m_weights;
  block.m_state = State::Sealed;
  block.m_copy = aBlock.m_copy;
  block.m_reservationExpiresAt = aNow;
  m_used[aBlock.m_copy.m_store] +=
    Bytes(static_cast<std::int64_t>(aBlock.m_copy.m_length));
}

void
BlockDirectory::SetCapacity(const StoreId& aStore, Bytes aCapacity)
{
  m_capacity[aStore] = aCapacity;
}

Bytes
BlockDirectory::Used(const StoreId& aStore) const
{
  const auto it = m_used.find(aStore);
  return it == m_used.end() ? Bytes(0) : it->second;
}

void
BlockDirectory::ExpirePins(TimePoint aNow)
{
  // Pins are created in time order with the same TTL, so they expire in order.
  while (!m_pins.empty() && m_pins.begin()->second.m_expiresAt <= aNow) {
    ReleasePin(m_pins.begin()->second);
    m_pins.erase(m_pins.begin());
  }
}

void
BlockDirectory::ExpireReservations(TimePoint aNow)
{
  std::vector<std::pair<BlockKey, Generation>> expired;
  for (const BlockKey& key : m_reserved) {
    const Block& block = m_blocks.at(key);
    if (block.m_reservationExpiresAt <= aNow) {
      expired.emplace_back(key, block.m_copy.m_generation);
    }
  }
  for (const auto& [key, generation] : expired) {
    Abort(key, generation);
  }
}

void
BlockDirectory::EvictExcess()
{
  // Frees the least recently used copies of stores above the threshold. While
  // the shard exceeds its block limit, also frees its least recently used
  // copies and drops its least recently used hints.
  constexpr std::int64_t kEvictionThresholdPercent = 95;
  std::size_t surplus = m_blocks.size() > m_limits.m_blocks
                          ? m_blocks.size() - m_limits.m_blocks
                          : 0;
  std::map<StoreId, std::int64_t> excess;
  bool hasExcess = false;
  for (const auto& [store, used] : m_used) {
    const std::int64_t limit =
      m_capacity[store].Count() * kEvictionThresholdPercent / 100;
    excess[store] = used.Count() - limit;
  }
  for (const BlockKey& key : m_freeing) {
    const BlockCopy& copy = m_blocks.at(key).m_copy;
    excess[copy.m_store] -= static_cast<std::int64_t>(copy.m_length);
  }
  for (const auto& [store, bytes] : excess) {
    hasExcess = hasExcess || bytes > 0;
  }
  if (surplus == 0 && !hasExcess) {
    return;
  }
  std::vector<BlockKey> hints;
  for (const BlockKey& key : m_lru) {
    Block& block = m_blocks.at(key);
    std::int64_t& storeExcess = excess[block.m_copy.m_store];
    const bool isSealed = block.m_state == State::Sealed;
    if (isSealed && (storeExcess > 0 || surplus > 0)) {
      storeExcess -= static_cast<std::int64_t>(block.m_copy.m_length);
      surplus -= surplus > 0 ? 1 : 0;
      block.m_state = State::Freeing;
      m_freeing.insert(key);
    } else if (block.m_state == State::Hint && surplus > 0) {
      --surplus;
      hints.push_back(key);
    }
  }
  for (const BlockKey& key : hints) {
    m_blocks.at(key).m_engines.clear();
    EraseIfEmpty(key);
  }
}

std::vector<FreeOrder>
BlockDirectory::Tick(TimePoint aNow)
{
  ExpirePins(aNow);
  ExpireReservations(aNow);
  EvictExcess();
  std::vector<FreeOrder> orders;
  for (auto it = m_freeing.begin(); it != m_freeing.end();) {
    const BlockKey key = *it;
    Block& block = m_blocks.at(key);
    if (!MayFree(block.m_pins)) {
      ++it;
      continue;
    }
    orders.push_back({ key, block.m_copy.m_store, block.m_copy.m_generation });
    DropCopy(block);
    it = m_freeing.erase(it);
    EraseIfEmpty(key);
  }
  return orders;
}

} // namespace fulmarquay
