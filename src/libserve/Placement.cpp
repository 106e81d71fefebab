#include "fulmarquay/serve/Placement.h"

#include "fulmarquay/cache/Rendezvous.h"
#include "fulmarquay/core/Digest.h"

#include <algorithm>
#include <limits>

namespace fulmarquay {

namespace {

/// Delay that a running request adds to another one, expressed in prompt
/// tokens: every running request takes part in each batch step.
constexpr std::int64_t kRunningRequestTokens = 150;
/// The home worker still caches a returning conversation in about every second
/// case, because engine caches are smaller than the set of all conversations.
constexpr std::int64_t kHomeCacheDivisor = 2;
/// Cost of fetching a token from a store, in percent of computing it: a link
/// transfers a token faster than an engine computes it, and the engine stays
/// free. Links between data centres are slower and paid for.
constexpr std::int64_t kLocalFetchPercent = 25;
constexpr std::int64_t kRemoteFetchPercent = 50;
/// Parts read by a worker are assumed to be cached there for this long.
constexpr Duration kCachedPartTtl(6'000'000);
constexpr Duration kSweepInterval(2'000'000);
/// Time after the release of newer weights during which old weights cost
/// little; later they are worth less to the caller.
constexpr Duration kOldWeightsGracePeriod(1'000'000);
/// Cost of old weights as the number of prompt tokens that a caller would
/// rather wait for: within the grace period, and after it.
constexpr std::int64_t kOldWeightsGraceTokens = 1'000;
constexpr std::int64_t kOldWeightsTokens = 30'000;
/// Share of an engine's memory that running requests may hold. All of it can be
/// used, because prompts with common parts hold those parts once.
constexpr std::int64_t kUsableMemoryPercent = 100;
/// Cost of one more running request at a service without prompts.
constexpr std::int64_t kServiceRequestCost = 1'000;
constexpr std::int64_t kIneligible = std::numeric_limits<std::int64_t>::max();

/// Key of the rendezvous hash, equal at all entries: the last part of the
/// prompt that other requests share.
std::uint64_t
AffinityKey(const Placement::Criteria& aCriteria)
{
  const std::vector<PromptPart>& parts = aCriteria.m_request->m_parts;
  if (parts.empty()) {
    return Checksum64(aCriteria.m_request->m_id);
  }
  const std::size_t last = parts.size() < 2 ? 0 : parts.size() - 2;
  return Checksum64(parts[last].m_id, Checksum64(aCriteria.m_account));
}

} // namespace

bool
Placement::HasRoom(const WorkerState& aWorker,
                   const Criteria& aCriteria,
                   const WorkerLoad& aOthersLoad)
{
  // Without reported loads, the load of other entries is an estimate: it alone
  // must not keep a request from a worker without own requests.
  const bool isEmpty =
    aWorker.m_heldTokens == 0 &&
    (aCriteria.m_otherLoads == nullptr || aOthersLoad.m_running == 0);
  if (aCriteria.m_capacityTokens <= 0 || isEmpty) {
    return true;
  }
  const std::int64_t held =
    aWorker.m_heldTokens + aOthersLoad.m_heldTokens + aCriteria.m_neededTokens;
  return held * 100 <= aCriteria.m_capacityTokens * kUsableMemoryPercent;
}

WorkerLoad
Placement::OtherEntriesLoad(const WorkerState& aWorker,
                            const Criteria& aCriteria,
                            std::size_t aWorkers)
{
  if (aCriteria.m_otherLoads != nullptr) {
    return aCriteria.m_otherLoads->OtherEntriesLoad(aWorker.m_info.m_id);
  }
  // Callers are spread over the entries by a hash, so other entries have about
  // the load of this one. The distribution of their held memory over workers is
  // unknown and taken as even.
  const std::int64_t others = aCriteria.m_entryCount - 1;
  const auto workers =
    static_cast<std::int64_t>(std::max<std::size_t>(1, aWorkers));
  return { aWorker.m_info.m_id.Value(),
           aWorker.m_running * others,
           aWorker.m_pendingPrefillTokens * others,
           aCriteria.m_otherEntriesHeldTokens / workers };
}

std::int64_t
Placement::PrefillTokens(const WorkerState& aWorker,
                         const Criteria& aCriteria,
                         PartKeysByVersion& aKeysByVersion) const
{
  const RelayRequest& request = *aCriteria.m_request;
  const std::int64_t version = aWorker.m_info.VersionOf(request.m_model);
  const auto [keys, isNew] = aKeysByVersion.try_emplace(version);
  if (isNew) {
    keys->second =
      PartKeys(MakeCacheScope(version, aCriteria.m_account), request.m_parts);
  }
  std::int64_t cached = 0;
  const auto workerParts = m_cachedParts.find(aWorker.m_info.m_id.Value());
  for (std::size_t i = 0;
       workerParts != m_cachedParts.end() && i < keys->second.size();
       ++i) {
    const auto part = workerParts->second.find(keys->second[i]);
    if (part == workerParts->second.end() ||
        aCriteria.m_now >= part->second + kCachedPartTtl) {
      break;
    }
    cached += request.m_parts[i].m_tokens;
  }
  PartMap::StoredPrefix stored;
  if (aCriteria.m_partMap != nullptr && version >= 0) {
    stored =
      aCriteria.m_partMap->StoredPrefixTokens(aCriteria.m_now,
                                              request.m_parts,
                                              keys->second,
                                              aWorker.m_info.m_dataCentre);
  }
  // Parts cached by the worker are not fetched.
  const std::int64_t cachedStored =
    std::min(cached, stored.m_localTokens + stored.m_remoteTokens);
  const std::int64_t remoteTokens =
    std::max<std::int64_t>(0, stored.m_remoteTokens - cachedStored);
  const std::int64_t localTokens = std::max<std::int64_t>(
    0,
    stored.m_localTokens -
      std::max<std::int64_t>(0, cachedStored - stored.m_remoteTokens));
  return std::max<std::int64_t>(
           0, request.m_promptTokens - cached - localTokens - remoteTokens) +
         (localTokens * kLocalFetchPercent +
          remoteTokens * kRemoteFetchPercent) /
           100;
}

std::int64_t
Placement::LoadCost(const WorkerState& aWorker,
                    const Criteria& aCriteria,
                    const WorkerLoad& aOthersLoad,
                    std::uint64_t aAffinityKey) const
{
  const std::int64_t running = aWorker.m_running + aOthersLoad.m_running;
  if (!aCriteria.m_hasPrompt) {
    const auto spread = static_cast<std::int64_t>(
      RendezvousWeight(aWorker.m_info.m_id.Value(), aAffinityKey) %
      kServiceRequestCost);
    return running * kServiceRequestCost + spread;
  }
  return aWorker.m_pendingPrefillTokens + aOthersLoad.m_pendingPrefillTokens +
         running * kRunningRequestTokens;
}

std::int64_t
Placement::OldWeightsCost(const WorkerTable& aWorkers,
                          const WorkerState& aWorker,
                          const Criteria& aCriteria) const
{
  const std::string& model = aCriteria.m_request->m_model;
  const std::int64_t latest = aWorkers.LatestVersion(model);
  const std::int64_t version = aWorker.m_info.VersionOf(model);
  if (version < 0 || version >= latest) {
    return 0;
  }
  const Duration age = aCriteria.m_now - aWorkers.LatestVersionSince(model);
  if (age >= aCriteria.m_maxOldWeightsAge) {
    return kIneligible;
  }
  return age < kOldWeightsGracePeriod ? kOldWeightsGraceTokens
                                      : kOldWeightsTokens;
}

Placement::Choice
Placement::Choose(WorkerTable& aWorkers, const Criteria& aCriteria) const
{
  std::vector<WorkerState*> available =
    aWorkers.Available(aCriteria.m_now, aCriteria.m_pool);
  std::erase_if(available, [&](const WorkerState* aEach) {
    return aCriteria.m_triedWorkers.count(aEach->m_info.m_id) != 0;
  });
  const std::uint64_t affinityKey = AffinityKey(aCriteria);
  const auto weightOf = [&](const WorkerState* aWorker) {
    return RendezvousWeight(aWorker->m_info.m_id.Value(), affinityKey);
  };
  const auto home =
    std::max_element(available.begin(),
                     available.end(),
                     [&](const auto* aLeft, const auto* aRight) {
                       return weightOf(aLeft) < weightOf(aRight);
                     });
  Choice choice;
  PartKeysByVersion keysByVersion;
  std::int64_t bestCost = kIneligible;
  for (WorkerState* worker : available) {
    const std::int64_t oldWeightsCost =
      OldWeightsCost(aWorkers, *worker, aCriteria);
    if (oldWeightsCost == kIneligible) {
      continue;
    }
    const WorkerLoad others =
      OtherEntriesLoad(*worker, aCriteria, available.size());
    if (!HasRoom(*worker, aCriteria, others)) {
      choice.m_isFull = true;
      continue;
    }
    const std::int64_t prefillTokens =
      aCriteria.m_hasPrompt ? PrefillTokens(*worker, aCriteria, keysByVersion)
                            : 0;
    const std::int64_t prefillCost =
      worker == *home
        ? std::min(prefillTokens,
                   aCriteria.m_request->m_promptTokens / kHomeCacheDivisor)
        : prefillTokens;
    const std::int64_t cost =
      prefillCost + LoadCost(*worker, aCriteria, others, affinityKey) +
      oldWeightsCost;
    if (cost < bestCost) {
      choice.m_worker = worker;
      choice.m_prefillTokens = prefillTokens;
      bestCost = cost;
    }
  }
  return choice;
}

void
Placement::OnPrefillDone(TimePoint aNow,
                         const WorkerState& aWorker,
                         const RelayRequest& aRequest,
                         const std::string& aAccount)
{
  CachedParts& workerParts = m_cachedParts[aWorker.m_info.m_id.Value()];
  const std::string scope =
    MakeCacheScope(aWorker.m_info.VersionOf(aRequest.m_model), aAccount);
  for (const std::uint64_t key : PartKeys(scope, aRequest.m_parts)) {
    workerParts[key] = aNow;
  }
  Sweep(aNow);
}

void
Placement::Sweep(TimePoint aNow)
{
  if (aNow < m_nextSweep) {
    return;
  }
  m_nextSweep = aNow + kSweepInterval;
  for (auto& [worker, parts] : m_cachedParts) {
    std::erase_if(parts, [&](const auto& aEach) {
      return aNow >= aEach.second + kCachedPartTtl;
    });
  }
  std::erase_if(m_cachedParts,
                [](const auto& aEach) { return aEach.second.empty(); });
}

} // namespace fulmarquay
