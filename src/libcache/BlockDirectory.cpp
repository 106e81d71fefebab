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
  const auto [place, isNew] = m_blocks.try_emplace(aKey);
  Block& block = place->second;
  if (isNew) {
    block.m_age = m_byAge.insert(m_byAge.end(), aKey);
  } else {
    m_byAge.splice(m_byAge.end(), m_byAge, block.m_age);
  }
  return block;
}

bool
BlockDirectory::Matches(const Block& aBlock,
                        const AccountId& aAccount,
                        const std::string& aWeights) const
{
  // The key is salted with both; this is the second barrier.
  return aBlock.m_account == aAccount && aBlock.m_weights == aWeights;
}

ChainPlaces
BlockDirectory::Lookup(TimePoint aNow,
                       const AccountId& aAccount,
                       const std::string& aWeights,
                       const std::vector<BlockKey>& aKeys)
{
  ChainPlaces places;
  Pin pin;
  pin.m_until = aNow + m_limits.m_pinLife;
  for (const BlockKey& key : aKeys) {
    BlockPlaces& found = places.m_blocks.emplace_back();
    const auto place = m_blocks.find(key);
    if (place == m_blocks.end()) {
      continue;
    }
    Block& block = Touch(key);
    found.m_engines = block.m_engines;
    const bool isSealed = block.m_state == State::Sealed;
    const bool isWritten = isSealed || block.m_state == State::Reserved;
    if (!isWritten || !IsVisible(isSealed) ||
        !Matches(block, aAccount, aWeights)) {
      continue;
    }
    found.m_copy = block.m_copy;
    ++block.m_pins;
    pin.m_blocks.emplace_back(key, block.m_copy.m_generation);
  }
  if (!pin.m_blocks.empty()) {
    places.m_pin = PinId(m_nextPin++);
    m_pins.emplace(places.m_pin, std::move(pin));
  }
  return places;
}

void
BlockDirectory::Release(const Pin& aPin)
{
  for (const auto& [key, generation] : aPin.m_blocks) {
    const auto place = m_blocks.find(key);
    const bool isSame = place != m_blocks.end() &&
                        place->second.m_copy.m_generation == generation;
    if (isSame && place->second.m_pins > 0) {
      --place->second.m_pins;
    }
  }
}

void
BlockDirectory::Unpin(PinId aPin)
{
  const auto place = m_pins.find(aPin);
  if (place != m_pins.end()) {
    Release(place->second);
    m_pins.erase(place);
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
  const auto known = m_blocks.find(aKey);
  if (known != m_blocks.end() && known->second.m_state != State::Hint) {
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
  block.m_reservedUntil = aNow + m_limits.m_reserveLife;
  m_used[aStore] += aLength;
  m_reserved.insert(aKey);
  return WriteGrant{ aKey, aStore, block.m_copy.m_generation };
}

bool
BlockDirectory::Seal(const BlockKey& aKey, const BlockCopy& aCopy)
{
  const auto place = m_blocks.find(aKey);
  if (place == m_blocks.end()) {
    return false;
  }
  Block& block = place->second;
  const bool isOurs = block.m_state == State::Reserved &&
                      block.m_copy.m_generation == aCopy.m_generation;
  if (!isOurs) {
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
  const auto place = m_blocks.find(aKey);
  const bool isOurs = place != m_blocks.end() &&
                      place->second.m_state == State::Reserved &&
                      place->second.m_copy.m_generation == aGeneration;
  if (isOurs) {
    // The store may hold a part of it: it is freed like any other block.
    place->second.m_state = State::Freeing;
    m_reserved.erase(aKey);
    m_freeing.insert(aKey);
  }
}

void
BlockDirectory::Report(const BlockKey& aKey, Generation aGeneration)
{
  const auto place = m_blocks.find(aKey);
  const bool isSame = place != m_blocks.end() &&
                      place->second.m_state == State::Sealed &&
                      place->second.m_copy.m_generation == aGeneration;
  if (isSame) {
    place->second.m_state = State::Freeing;
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
  const auto place = m_blocks.find(aKey);
  const bool isEmpty = place != m_blocks.end() &&
                       place->second.m_state == State::Hint &&
                       place->second.m_engines.empty();
  if (isEmpty) {
    m_byAge.erase(place->second.m_age);
    m_blocks.erase(place);
  }
}

void
BlockDirectory::LoseStore(const StoreId& aStore)
{
  std::vector<BlockKey> lost;
  for (const auto& [key, block] : m_blocks) {
    if (block.m_state != State::Hint && block.m_copy.m_store == aStore) {
      lost.push_back(key);
    }
  }
  for (const BlockKey& key : lost) {
    DropCopy(m_blocks.at(key));
    m_reserved.erase(key);
    m_freeing.erase(key);
    EraseIfEmpty(key);
  }
}

void
BlockDirectory::NoteEngine(const EngineId& aEngine,
                           const BlockKey& aKey,
                           bool aHolds)
{
  if (aHolds) {
    Touch(aKey).m_engines.insert(aEngine);
    return;
  }
  const auto place = m_blocks.find(aKey);
  if (place != m_blocks.end()) {
    place->second.m_engines.erase(aEngine);
    EraseIfEmpty(aKey);
  }
}

void
BlockDirectory::ForgetEngine(const EngineId& aEngine)
{
  std::vector<BlockKey> noted;
  for (auto& [key, block] : m_blocks) {
    if (block.m_engines.erase(aEngine) != 0) {
      noted.push_back(key);
    }
  }
  for (const BlockKey& key : noted) {
    EraseIfEmpty(key);
  }
}

void
BlockDirectory::Adopt(TimePoint aNow, const ListedBlock& aBlock)
{
  const auto known = m_blocks.find(aBlock.m_key);
  if (known != m_blocks.end() && known->second.m_state != State::Hint) {
    return;
  }
  Block& block = Touch(aBlock.m_key);
  block.m_account = aBlock.m_account;
  block.m_weights = aBlock.m_weights;
  block.m_state = State::Sealed;
  block.m_copy = aBlock.m_copy;
  block.m_reservedUntil = aNow;
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
  const auto place = m_used.find(aStore);
  return place == m_used.end() ? Bytes(0) : place->second;
}

void
BlockDirectory::ExpirePins(TimePoint aNow)
{
  // Pins are given out in order of time and all live equally long.
  while (!m_pins.empty() && m_pins.begin()->second.m_until <= aNow) {
    Release(m_pins.begin()->second);
    m_pins.erase(m_pins.begin());
  }
}

void
BlockDirectory::ExpireReservations(TimePoint aNow)
{
  std::vector<std::pair<BlockKey, Generation>> expired;
  for (const BlockKey& key : m_reserved) {
    const Block& block = m_blocks.at(key);
    if (block.m_reservedUntil <= aNow) {
      expired.emplace_back(key, block.m_copy.m_generation);
    }
  }
  for (const auto& [key, generation] : expired) {
    Abort(key, generation);
  }
}

void
BlockDirectory::MakeRoom()
{
  // Frees the least recently used copies once a store is nearly full, and
  // forgets the oldest hints once the shard has too many blocks.
  constexpr std::int64_t kFullPercent = 95;
  std::size_t surplus = m_blocks.size() > m_limits.m_blocks
                          ? m_blocks.size() - m_limits.m_blocks
                          : 0;
  std::map<StoreId, std::int64_t> excess;
  bool hasExcess = false;
  for (const auto& [store, used] : m_used) {
    const std::int64_t limit = m_capacity[store].Count() * kFullPercent / 100;
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
  for (const BlockKey& key : m_byAge) {
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
  MakeRoom();
  std::vector<FreeOrder> orders;
  for (auto place = m_freeing.begin(); place != m_freeing.end();) {
    const BlockKey key = *place;
    Block& block = m_blocks.at(key);
    if (!MayFree(block.m_pins)) {
      ++place;
      continue;
    }
    orders.push_back({ key, block.m_copy.m_store, block.m_copy.m_generation });
    DropCopy(block);
    place = m_freeing.erase(place);
    EraseIfEmpty(key);
  }
  return orders;
}

} // namespace fulmarquay
