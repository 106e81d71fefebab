#include "fulmarquay/serve/PartMap.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <utility>

namespace fulmarquay {

namespace {

/// A save that was ordered is not ordered again before this: the part shows
/// in the map when it is whole.
constexpr Duration kSavePatience(2'500'000);
/// Nothing is saved to a store beyond this share of its capacity: the leader
/// makes room from here on.
constexpr int kSavePercent = 98;
/// Transfers between data centres take this many times longer.
constexpr std::int64_t kFarFactor = 2;
constexpr std::int64_t kBitsPerByte = 8;
constexpr double kMicrosPerSecond = 1e6;
constexpr Duration kSweepInterval(1'000'000);
constexpr std::size_t kMostUsed = 400;

} // namespace

std::vector<std::uint64_t>
PartKeys(const std::string& aScope, const std::vector<PromptPart>& aParts)
{
  std::vector<std::uint64_t> keys;
  keys.reserve(aParts.size());
  for (const PromptPart& part : aParts) {
    keys.push_back(PartKey(aScope, part.m_id));
  }
  return keys;
}

bool
PartMap::Apply(const StorePush& aPush)
{
  if (aPush.m_from != 0 && aPush.m_from != m_state) {
    return false;
  }
  if (aPush.m_from == 0) {
    m_parts.clear();
    m_stores.clear();
    m_usedTokens.clear();
    m_saving.clear();
  }
  if (aPush.m_hasStores) {
    m_stores = aPush.m_stores;
    m_usedTokens.resize(m_stores.size(), 0);
  }
  for (const PartChange& change : aPush.m_changes) {
    if (change.m_store >= m_stores.size()) {
      continue;
    }
    std::vector<Copy>& copies = m_parts[change.m_key];
    std::erase_if(copies, [&](const Copy& aEach) {
      if (aEach.m_store != change.m_store) {
        return false;
      }
      m_usedTokens[change.m_store] -= aEach.m_tokens;
      return true;
    });
    if (change.m_tokens > 0) {
      copies.push_back({ change.m_store, change.m_tokens });
      m_usedTokens[change.m_store] += change.m_tokens;
      m_saving.erase(change.m_key);
    } else if (copies.empty()) {
      m_parts.erase(change.m_key);
    }
  }
  m_state = aPush.m_to;
  return true;
}

bool
PartMap::HasAllStores() const
{
  return !m_stores.empty() &&
         std::all_of(m_stores.begin(),
                     m_stores.end(),
                     [](const StoreBrief& aEach) { return aEach.m_isUp; });
}

void
PartMap::OnConfirmed(TimePoint aUntil, Duration aFetch)
{
  m_until = std::max(m_until, aUntil);
  m_fetch = aFetch;
}

const PartMap::Copy*
PartMap::Find(std::uint64_t aKey, const DataCentreId& aDataCentre) const
{
  const auto place = m_parts.find(aKey);
  if (place == m_parts.end()) {
    return nullptr;
  }
  const Copy* best = nullptr;
  for (const Copy& copy : place->second) {
    const StoreBrief& store = m_stores[copy.m_store];
    const bool isNear = store.m_dataCentre == aDataCentre;
    if (store.m_isUp && (best == nullptr || isNear)) {
      best = &copy;
    }
  }
  return best;
}

std::vector<std::int64_t>
PartMap::SavingTokens() const
{
  std::vector<std::int64_t> tokens(m_stores.size(), 0);
  for (const auto& [key, saving] : m_saving) {
    tokens[saving.m_store] += saving.m_tokens;
  }
  return tokens;
}

std::optional<std::size_t>
PartMap::ChooseForSave(std::uint64_t aKey,
                       std::int64_t aTokens,
                       std::uint32_t aEntries) const
{
  // Rendezvous weighted by the speed of the links, which carry the fetches:
  // all entries choose alike, and what comes first, the most popular parts,
  // goes to the quick stores. One that is down or full moves only its share.
  const std::vector<std::int64_t> saving = SavingTokens();
  std::optional<std::size_t> best;
  double bestScore = 0;
  for (std::size_t i = 0; i < m_stores.size(); ++i) {
    const StoreBrief& store = m_stores[i];
    // A save that finds no room is lost. The others save as much as this
    // entry, and none of it shows in the map before it is whole.
    const std::int64_t wanted =
      m_usedTokens[i] + saving[i] * aEntries + aTokens;
    const bool isFull = wanted * 100 > store.m_capacity * kSavePercent;
    if (!store.m_isUp || store.m_isFull || isFull) {
      continue;
    }
    const double draw =
      (static_cast<double>(Checksum64(store.m_name, aKey)) + 1.0) /
      (static_cast<double>(std::numeric_limits<std::uint64_t>::max()) + 2.0);
    const double score =
      -static_cast<double>(store.m_linkBitsPerSecond) / std::log(draw);
    if (!best || score > bestScore) {
      best = i;
      bestScore = score;
    }
  }
  return best;
}

PartMap::Stored
PartMap::StoredTokens(TimePoint aNow,
                      const std::vector<PromptPart>& aParts,
                      const std::vector<std::uint64_t>& aKeys,
                      const DataCentreId& aDataCentre) const
{
  Stored stored;
  if (!IsUsable(aNow)) {
    return stored;
  }
  for (std::size_t i = 0; i < aParts.size(); ++i) {
    const Copy* copy = Find(aKeys[i], aDataCentre);
    if (copy == nullptr) {
      break;
    }
    const bool isNear = m_stores[copy->m_store].m_dataCentre == aDataCentre;
    (isNear ? stored.m_near : stored.m_far) += aParts[i].m_tokens;
  }
  return stored;
}

Duration
PartMap::TransferTime(const StoreBrief& aStore,
                      const Reader& aReader,
                      std::int64_t aTokens)
{
  // The workers' links carry transfers at the same time.
  const std::int64_t speed = aStore.m_linkBitsPerSecond;
  if (speed <= 0) {
    return Duration(0);
  }
  const auto bits =
    static_cast<double>(aTokens * aReader.m_tokenBytes * kBitsPerByte);
  const bool isFar = aStore.m_dataCentre != aReader.m_dataCentre;
  const auto time = static_cast<std::int64_t>(
    bits / static_cast<double>(speed) * kMicrosPerSecond);
  return Duration(isFar ? time * kFarFactor : time);
}

void
PartMap::Plan(const Reader& aReader,
              const RelayRequest& aRequest,
              RelayOrder& aOrder)
{
  const TimePoint now = aReader.m_now;
  if (!IsUsable(now) || aReader.m_clockMs <= 0 || m_stores.empty() ||
      aRequest.m_parts.size() < 2) {
    return;
  }
  if (now >= m_nextSweep) {
    m_nextSweep = now + kSweepInterval;
    std::erase_if(
      m_saving, [&](const auto& aEach) { return now >= aEach.second.m_until; });
  }
  const std::size_t shared = aRequest.m_parts.size() - 1;
  aOrder.m_fetches.resize(aRequest.m_parts.size());
  aOrder.m_saves.resize(aRequest.m_parts.size());
  bool isUnbroken = true;
  for (std::size_t i = 0; i < shared; ++i) {
    const PromptPart& part = aRequest.m_parts[i];
    const std::uint64_t key = PartKey(aOrder.m_cacheScope, part.m_id);
    const Copy* copy = Find(key, aReader.m_dataCentre);
    if (copy == nullptr) {
      isUnbroken = false;
      PlanSave(aReader, key, part.m_tokens, aOrder.m_saves[i]);
      continue;
    }
    if (m_used.size() < kMostUsed) {
      m_used.push_back(key);
    }
    const StoreBrief& store = m_stores[copy->m_store];
    isUnbroken =
      isUnbroken && m_pace.Take(now,
                                store.m_address,
                                TransferTime(store, aReader, copy->m_tokens),
                                aReader.m_entries);
    if (isUnbroken) {
      aOrder.m_fetches[i] = { store.m_address, copy->m_tokens };
    }
  }
  aOrder.m_fetchUntilMs = aReader.m_clockMs + ToMillis(m_fetch);
}

void
PartMap::PlanSave(const Reader& aReader,
                  std::uint64_t aKey,
                  std::int64_t aTokens,
                  std::string& aAddress)
{
  const auto saving = m_saving.find(aKey);
  if (saving != m_saving.end() && aReader.m_now < saving->second.m_until) {
    return;
  }
  m_saving.erase(aKey);
  if (const auto store = ChooseForSave(aKey, aTokens, aReader.m_entries)) {
    aAddress = m_stores[*store].m_address;
    m_saving[aKey] = { aReader.m_now + kSavePatience, *store, aTokens };
  }
}

void
PartMap::OnFirstEvent(Duration aTime, const std::set<std::string>& aStores)
{
  m_pace.OnFirstEvent(aTime, aStores);
}

std::vector<std::uint64_t>
PartMap::TakeUsed()
{
  return std::exchange(m_used, {});
}

} // namespace fulmarquay
