#include "fulmarquay/serve/PartMap.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <utility>

namespace fulmarquay {

namespace {

/// Time before a save that has not completed is requested again: a part appears
/// in the map when it is stored completely.
constexpr Duration kSaveRetryInterval(2'500'000);
/// No part is saved to a store above this fill level: the leader's eviction has
/// to free space first.
constexpr int kMaxFillPercent = 98;
/// Slowdown of transfers between data centres.
constexpr std::int64_t kRemoteTransferFactor = 2;
constexpr std::int64_t kBitsPerByte = 8;
constexpr double kMicrosPerSecond = 1e6;
constexpr Duration kSweepInterval(1'000'000);
constexpr std::size_t kMaxUsedKeys = 400;
/// Fetches and saves that a request lists. The first parts are the shared ones,
/// and a later part is of use only with all before it.
constexpr std::size_t kMaxTransfers = 512;
/// A list has a place for each part of the prompt, so that requests with more
/// parts list none. Together with kMaxTransfers and the longest address, a list
/// stays below the 64 KiB that a header field holds.
constexpr std::size_t kMaxListedParts = 16'384;

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

Duration
TransferTime(std::int64_t aBytes, std::int64_t aBitsPerSecond, bool aIsRemote)
{
  if (aBitsPerSecond <= 0) {
    return Duration(0);
  }
  const auto time = static_cast<std::int64_t>(
    static_cast<double>(aBytes * kBitsPerByte) /
    static_cast<double>(aBitsPerSecond) * kMicrosPerSecond);
  return Duration(aIsRemote ? time * kRemoteTransferFactor : time);
}

bool
PartMap::Apply(const StorePush& aPush)
{
  // Copies of parts are at the places of their stores in the list.
  const bool hasFewerStores =
    aPush.m_hasStores && aPush.m_stores.size() < m_stores.size();
  if (aPush.m_from != 0 && (aPush.m_from != m_state || hasFewerStores)) {
    return false;
  }
  if (aPush.m_from == 0) {
    m_parts.clear();
    m_stores.clear();
    m_usedTokens.clear();
    m_pendingSaves.clear();
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
      m_pendingSaves.erase(change.m_key);
    } else if (copies.empty()) {
      m_parts.erase(change.m_key);
    }
  }
  m_state = aPush.m_to;
  return true;
}

bool
PartMap::AreAllStoresUp() const
{
  return !m_stores.empty() &&
         std::all_of(m_stores.begin(),
                     m_stores.end(),
                     [](const StoreInfo& aEach) { return aEach.m_isUp; });
}

void
PartMap::OnLeaseConfirmed(TimePoint aUntil, Duration aFetchTimeout)
{
  m_leaseUntil = std::max(m_leaseUntil, aUntil);
  m_fetchTimeout = aFetchTimeout;
}

const PartMap::Copy*
PartMap::FindCopy(std::uint64_t aKey,
                  const DataCentreId& aDataCentre,
                  const DataCentreFilter& aAllowed) const
{
  const auto found = m_parts.find(aKey);
  if (found == m_parts.end()) {
    return nullptr;
  }
  const Copy* best = nullptr;
  for (const Copy& copy : found->second) {
    const StoreInfo& store = m_stores[copy.m_store];
    const bool isLocal = store.m_dataCentre == aDataCentre;
    if (store.m_isUp && aAllowed.Allows(store.m_dataCentre) &&
        (best == nullptr || isLocal)) {
      best = &copy;
    }
  }
  return best;
}

std::vector<std::int64_t>
PartMap::PendingSaveTokens() const
{
  std::vector<std::int64_t> tokens(m_stores.size(), 0);
  for (const auto& [key, pending] : m_pendingSaves) {
    tokens[pending.m_store] += pending.m_tokens;
  }
  return tokens;
}

std::optional<std::size_t>
PartMap::ChooseSaveStore(const PlanInput& aInput,
                         std::uint64_t aKey,
                         std::int64_t aTokens) const
{
  // Rendezvous hashing weighted by the bandwidth of the links, which carry the
  // fetches. All entries choose the same store, and the parts saved first,
  // which are the most popular ones, go to the fast stores. A store that is
  // down or full moves only its own share of the parts.
  const std::vector<std::int64_t> pending = PendingSaveTokens();
  std::optional<std::size_t> best;
  double bestScore = 0;
  for (std::size_t i = 0; i < m_stores.size(); ++i) {
    const StoreInfo& store = m_stores[i];
    // A save to a store without room is lost. The other entries are assumed to
    // save as much as this one, and their saves appear in the map only on
    // completion.
    const std::int64_t projected =
      m_usedTokens[i] + pending[i] * aInput.m_entryCount + aTokens;
    const bool isFull = projected * 100 > store.m_capacity * kMaxFillPercent;
    if (!store.m_isUp || store.m_isFull || isFull ||
        !aInput.m_allowedDataCentres.Allows(store.m_dataCentre)) {
      continue;
    }
    const double uniform =
      (static_cast<double>(Checksum64(store.m_name, aKey)) + 1.0) /
      (static_cast<double>(std::numeric_limits<std::uint64_t>::max()) + 2.0);
    const double score =
      -static_cast<double>(store.m_linkBitsPerSecond) / std::log(uniform);
    if (!best || score > bestScore) {
      best = i;
      bestScore = score;
    }
  }
  return best;
}

const DataCentreId*
PartMap::NearestStore(TimePoint aNow,
                      std::uint64_t aKey,
                      const DataCentreId& aDataCentre,
                      const DataCentreFilter& aAllowed) const
{
  const Copy* copy =
    HasLease(aNow) ? FindCopy(aKey, aDataCentre, aAllowed) : nullptr;
  return copy == nullptr ? nullptr : &m_stores[copy->m_store].m_dataCentre;
}

PartSource
PartMap::ChooseSource(const PlanInput& aInput,
                      const Copy* aCopy,
                      const PeerCopy* aPeer,
                      std::vector<LinkUse>& aReserved)
{
  struct Candidate
  {
    std::string m_address;
    std::int64_t m_tokens = 0; ///< 0 for a worker
    Duration m_time{};
    Duration m_expected{};
  };
  std::vector<Candidate> candidates;
  const auto add =
    [&](std::string aAddress, std::int64_t aTokens, Duration aTime) {
      const Duration expected =
        m_fetchLimiter.ExpectedTime(aInput.m_now, aAddress, aTime);
      candidates.push_back({ std::move(aAddress), aTokens, aTime, expected });
    };
  if (aCopy != nullptr) {
    const StoreInfo& store = m_stores[aCopy->m_store];
    add(store.m_address,
        aCopy->m_tokens,
        // Only the store's link counts: the links of the workers carry their
        // transfers in parallel.
        TransferTime(aCopy->m_tokens * aInput.m_kvBytesPerToken,
                     store.m_linkBitsPerSecond,
                     store.m_dataCentre != aInput.m_dataCentre));
  }
  if (aPeer != nullptr && !aPeer->m_address.empty()) {
    add(aPeer->m_address, 0, aPeer->m_transferTime);
  }
  std::sort(candidates.begin(),
            candidates.end(),
            [](const Candidate& aLeft, const Candidate& aRight) {
              return aLeft.m_expected < aRight.m_expected;
            });
  if (aPeer != nullptr && aPeer->m_isHeld && !candidates.empty()) {
    return { candidates.front().m_address, candidates.front().m_tokens };
  }
  for (const Candidate& candidate : candidates) {
    if (m_fetchLimiter.TryReserve(aInput.m_now,
                                  candidate.m_address,
                                  candidate.m_time,
                                  aInput.m_linkSharers)) {
      aReserved.push_back({ candidate.m_address, candidate.m_time.count() });
      return { candidate.m_address, candidate.m_tokens };
    }
  }
  return {};
}

std::vector<LinkUse>
PartMap::PlanTransfers(const PlanInput& aInput,
                       const RelayRequest& aRequest,
                       DispatchParameters& aParameters)
{
  const TimePoint now = aInput.m_now;
  std::vector<LinkUse> reserved;
  if (aRequest.m_parts.size() < 2 ||
      aRequest.m_parts.size() > kMaxListedParts) {
    return reserved;
  }
  const bool mayUseStores =
    HasLease(now) && aInput.m_workersClockMs > 0 && !m_stores.empty();
  if (now >= m_nextSweep) {
    m_nextSweep = now + kSweepInterval;
    std::erase_if(m_pendingSaves, [&](const auto& aEach) {
      return now >= aEach.second.m_retryAt;
    });
  }
  const std::size_t shared =
    std::min(aRequest.m_parts.size() - 1, kMaxTransfers);
  aParameters.m_fetches.resize(aRequest.m_parts.size());
  aParameters.m_saveAddresses.resize(aRequest.m_parts.size());
  bool isContiguous = true;
  for (std::size_t i = 0; i < shared; ++i) {
    const PromptPart& part = aRequest.m_parts[i];
    const std::uint64_t key = PartKey(aParameters.m_cacheScope, part.m_id);
    const Copy* copy =
      mayUseStores
        ? FindCopy(key, aInput.m_dataCentre, aInput.m_allowedDataCentres)
        : nullptr;
    if (mayUseStores && copy == nullptr) {
      PlanSave(aInput, key, part.m_tokens, aParameters.m_saveAddresses[i]);
    }
    if (copy != nullptr && m_usedKeys.size() < kMaxUsedKeys) {
      m_usedKeys.push_back(key);
    }
    if (isContiguous) {
      const PeerCopy* peer =
        i < aInput.m_peerCopies.size() ? &aInput.m_peerCopies[i] : nullptr;
      aParameters.m_fetches[i] = ChooseSource(aInput, copy, peer, reserved);
      isContiguous = !aParameters.m_fetches[i].m_address.empty() ||
                     (peer != nullptr && peer->m_isHeld);
    }
  }
  if (mayUseStores) {
    aParameters.m_fetchDeadlineMs =
      aInput.m_workersClockMs + ToMillis(m_fetchTimeout);
  }
  return reserved;
}

void
PartMap::PlanSave(const PlanInput& aInput,
                  std::uint64_t aKey,
                  std::int64_t aTokens,
                  std::string& aAddress)
{
  const auto pending = m_pendingSaves.find(aKey);
  if (pending != m_pendingSaves.end() &&
      aInput.m_now < pending->second.m_retryAt) {
    return;
  }
  m_pendingSaves.erase(aKey);
  if (const auto store = ChooseSaveStore(aInput, aKey, aTokens)) {
    aAddress = m_stores[*store].m_address;
    m_pendingSaves[aKey] = { aInput.m_now + kSaveRetryInterval,
                             *store,
                             aTokens };
  }
}

void
PartMap::OnFirstEvent(Duration aTime, const std::set<std::string>& aStores)
{
  m_fetchLimiter.OnFirstEvent(aTime, aStores);
}

void
PartMap::OnReservedByOther(TimePoint aNow, const LinkUse& aUse)
{
  m_fetchLimiter.OnReservedByOther(
    aNow, aUse.m_address, Duration(aUse.m_timeUs));
}

std::vector<std::uint64_t>
PartMap::TakeUsedKeys()
{
  return std::exchange(m_usedKeys, {});
}

} // namespace fulmarquay
