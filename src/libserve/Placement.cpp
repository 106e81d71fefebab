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
/// Traffic between data centres is slower and paid for: among workers with
/// similar costs, those of the entry's data centre are preferred.
constexpr std::int64_t kRemoteServiceCost = kServiceRequestCost;
constexpr std::int64_t kRemoteWorkerTokens = 400;
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

enum class SourceDistance
{
  Local, ///< in the data centre of the worker
  Remote,
  None
};

/// The distance between a worker and the nearest source of a part.
SourceDistance
NearestSource(const WorkerTable& aWorkers,
              const WorkerState& aWorker,
              const Placement::Criteria& aCriteria,
              std::uint64_t aKey)
{
  const DataCentreId& dataCentre = aWorker.m_info.m_dataCentre;
  SourceDistance nearest = SourceDistance::None;
  const auto add = [&](const DataCentreId& aSource) {
    if (aSource == dataCentre) {
      nearest = SourceDistance::Local;
    } else if (nearest == SourceDistance::None) {
      nearest = SourceDistance::Remote;
    }
  };
  if (aCriteria.m_partMap != nullptr) {
    if (const DataCentreId* store = aCriteria.m_partMap->NearestStore(
          aCriteria.m_now, aKey, dataCentre)) {
      add(*store);
    }
  }
  if (aCriteria.m_caches != nullptr && nearest != SourceDistance::Local) {
    for (const std::string& id : aCriteria.m_caches->Holders(aKey)) {
      const auto holder = aWorkers.All().find(WorkerId(id));
      if (holder != aWorkers.All().end() &&
          aCriteria.m_caches->Holds(aCriteria.m_now, holder->second, aKey)) {
        add(holder->second.m_info.m_dataCentre);
      }
    }
  }
  return nearest;
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
Placement::PrefillTokens(const WorkerTable& aWorkers,
                         const WorkerState& aWorker,
                         const Criteria& aCriteria,
                         PartKeysByVersion& aKeysByVersion)
{
  const RelayRequest& request = *aCriteria.m_request;
  const std::int64_t version = aWorker.m_info.VersionOf(request.m_model);
  const auto [keys, isNew] = aKeysByVersion.try_emplace(version);
  if (isNew) {
    keys->second =
      PartKeys(MakeCacheScope(version, aCriteria.m_account), request.m_parts);
  }
  // The contiguous prefix that need not be computed: parts cached by the
  // worker, kept in a store or cached by another worker.
  std::int64_t cached = 0;
  std::int64_t local = 0;
  std::int64_t remote = 0;
  for (std::size_t i = 0; version >= 0 && i < request.m_parts.size(); ++i) {
    const std::uint64_t key = keys->second[i];
    const std::int64_t tokens = request.m_parts[i].m_tokens;
    if (aCriteria.m_caches != nullptr &&
        aCriteria.m_caches->Holds(aCriteria.m_now, aWorker, key)) {
      cached += tokens;
      continue;
    }
    switch (NearestSource(aWorkers, aWorker, aCriteria, key)) {
      case SourceDistance::Local:
        local += tokens;
        continue;
      case SourceDistance::Remote:
        remote += tokens;
        continue;
      case SourceDistance::None:
        break;
    }
    break;
  }
  return std::max<std::int64_t>(
           0, request.m_promptTokens - cached - local - remote) +
         (local * kLocalFetchPercent + remote * kRemoteFetchPercent) / 100;
}

std::int64_t
Placement::LoadCost(const WorkerState& aWorker,
                    const Criteria& aCriteria,
                    const WorkerLoad& aOthersLoad,
                    std::uint64_t aAffinityKey) const
{
  const std::int64_t running = aWorker.m_running + aOthersLoad.m_running;
  const bool isRemote = aWorker.m_info.m_dataCentre != aCriteria.m_dataCentre;
  if (!aCriteria.m_hasPrompt) {
    const auto spread = static_cast<std::int64_t>(
      RendezvousWeight(aWorker.m_info.m_id.Value(), aAffinityKey) %
      kServiceRequestCost);
    return running * kServiceRequestCost + spread +
           (isRemote ? kRemoteServiceCost : 0);
  }
  return aWorker.m_pendingPrefillTokens + aOthersLoad.m_pendingPrefillTokens +
         running * kRunningRequestTokens + (isRemote ? kRemoteWorkerTokens : 0);
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
      aCriteria.m_hasPrompt
        ? PrefillTokens(aWorkers, *worker, aCriteria, keysByVersion)
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

} // namespace fulmarquay
