#include "fulmarquay/serve/Placement.h"

#include "fulmarquay/cache/Rendezvous.h"
#include "fulmarquay/core/Digest.h"

#include <algorithm>
#include <functional>
#include <limits>
#include <utility>

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
constexpr std::int64_t kComputePercent = 100;
/// Cost of old weights as the number of prompt tokens that a caller would
/// rather wait for: just after newer ones were named, and later.
constexpr std::int64_t kJustSupersededTokens = 1'000;
constexpr std::int64_t kSupersededTokens = 30'000;
/// Share of an engine's memory that running requests may hold. All of it can be
/// used, because prompts with common parts hold those parts once.
constexpr std::int64_t kUsableMemoryPercent = 100;
/// Cost of one more running request at a service without prompts.
constexpr std::int64_t kServiceRequestCost = 1'000;
/// Traffic between data centres is slower and paid for: among workers with
/// similar costs, those of the entry's data centre are preferred.
constexpr std::int64_t kRemoteServiceCost = kServiceRequestCost;
constexpr std::int64_t kRemoteWorkerTokens = 400;
/// Cost that a request saved up for a limited worker makes up for: what few
/// entries may send would be lost if only the usual requests were sent.
constexpr double kSavedRequestBonus = 500;
/// Weight of what other entries report of one worker, against the mean over the
/// workers. All entries see the same reports, so that with more weight all of
/// them fill the same workers: with 24 entries and a pool at twice its
/// capacity, simulations answer 87 instead of 20 in 100 urgent prompts in time.
constexpr double kReportWeight = 0.25;
/// Costs are spread by this many tokens for each entry, up to a limit, so that
/// entries don't all choose the worker that was the least loaded one in the
/// last reports.
constexpr std::uint64_t kSpreadPerEntry = 40;
constexpr std::uint64_t kMaxSpread = 3'000;
/// Higher than all other costs together.
constexpr std::int64_t kHeldBackCost = 1LL << 50U;
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
  return Checksum64(parts[last].m_id,
                    Checksum64(aCriteria.m_cacheGroup.m_account));
}

/// Whether a worker that warms up is to get this request only if no other may.
bool
IsHeldBack(const WorkerInfo& aWorker, const Placement::Criteria& aCriteria)
{
  constexpr std::uint64_t kSteps = 10'000;
  const double share =
    aCriteria.m_limiter == nullptr
      ? 1
      : aCriteria.m_limiter->WarmUpShare(aCriteria.m_now, aWorker);
  if (share >= 1) {
    return false;
  }
  const std::uint64_t lot = RendezvousWeight(
    aWorker.m_id.Value(), Checksum64(aCriteria.m_request->m_id));
  return static_cast<double>(lot % kSteps) >= share * kSteps;
}

std::int64_t
AllowanceBonus(std::optional<double> aAllowance)
{
  return static_cast<std::int64_t>(aAllowance.value_or(0) * kSavedRequestBonus);
}

/// A cost that differs by request and worker.
std::int64_t
Spread(const Placement::Criteria& aCriteria,
       const WorkerState& aWorker,
       std::uint64_t aRequestKey)
{
  const std::uint64_t limit =
    std::min(kMaxSpread, kSpreadPerEntry * (aCriteria.m_entryCount - 1));
  return limit == 0
           ? 0
           : static_cast<std::int64_t>(
               RendezvousWeight(aWorker.m_info.m_id.Value(), aRequestKey) %
               limit);
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

bool
Placement::HasTime(const WorkerState& aWorker,
                   const Criteria& aCriteria,
                   const Load& aLoad,
                   std::int64_t aPrefillTokens)
{
  if (aCriteria.m_prefillRate == nullptr) {
    return true;
  }
  const auto slots = static_cast<double>(aWorker.m_info.m_slots);
  if (aLoad.m_running >= std::max(1.0, slots)) {
    return false;
  }
  const double rate =
    aCriteria.m_prefillRate->TokensPerSecond(aWorker.m_info.m_id.Value());
  const PoolAdmission::Pool pool{ rate };
  return rate <= 0 || aCriteria.m_prefillBudget.Allows(
                        pool.TimeOf(aLoad.m_pendingTokens),
                        pool.TimeOf(static_cast<double>(aPrefillTokens)));
}

std::vector<Placement::Load>
Placement::LoadsOf(const std::vector<WorkerState*>& aWorkers,
                   const std::vector<WorkerLoad>& aOthers,
                   double aWeight)
{
  Load mean;
  for (const WorkerLoad& others : aOthers) {
    mean.m_running += static_cast<double>(others.m_running);
    mean.m_pendingTokens += static_cast<double>(others.m_pendingPrefillTokens);
  }
  const double unheard =
    (1 - aWeight) /
    static_cast<double>(std::max<std::size_t>(1, aWorkers.size()));
  std::vector<Load> loads(aWorkers.size());
  for (std::size_t i = 0; i < aWorkers.size(); ++i) {
    loads[i].m_running = static_cast<double>(aWorkers[i]->m_running) +
                         aWeight * static_cast<double>(aOthers[i].m_running) +
                         unheard * mean.m_running;
    loads[i].m_pendingTokens =
      static_cast<double>(aWorkers[i]->m_pendingPrefillTokens) +
      aWeight * static_cast<double>(aOthers[i].m_pendingPrefillTokens) +
      unheard * mean.m_pendingTokens;
  }
  return loads;
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

std::vector<Placement::PartCopies>
Placement::FindPartCopies(const WorkerTable& aWorkers,
                          const Criteria& aCriteria,
                          std::int64_t aVersion)
{
  std::vector<PartCopies> parts;
  std::string scope = MakeCacheScope(
    aVersion, aCriteria.m_request->m_model, aCriteria.m_cacheGroup);
  if (aCriteria.m_allowedRegions != nullptr) {
    scope = aCriteria.m_allowedRegions->LimitScope(std::move(scope));
  }
  for (const std::uint64_t key :
       PartKeys(scope, aCriteria.m_request->m_parts)) {
    PartCopies& part = parts.emplace_back();
    part.m_key = key;
    if (aCriteria.m_caches != nullptr) {
      for (const WorkerState* holder :
           aCriteria.m_caches->Holders(aCriteria.m_now, aWorkers, key)) {
        const DataCentreId& dataCentre = holder->m_info.m_dataCentre;
        if (aCriteria.m_allowedDataCentres.Allows(dataCentre)) {
          part.m_holders.insert(dataCentre);
        }
      }
    }
  }
  return parts;
}

std::int64_t
Placement::FetchPercent(const WorkerState& aWorker,
                        const Criteria& aCriteria,
                        const PartCopies& aPart)
{
  const DataCentreId& dataCentre = aWorker.m_info.m_dataCentre;
  const DataCentreId* store =
    aCriteria.m_partMap == nullptr
      ? nullptr
      : aCriteria.m_partMap->NearestStore(aCriteria.m_now,
                                          aPart.m_key,
                                          dataCentre,
                                          aCriteria.m_allowedDataCentres);
  const bool isLocal = (store != nullptr && *store == dataCentre) ||
                       aPart.m_holders.count(dataCentre) != 0;
  if (isLocal) {
    return kLocalFetchPercent;
  }
  const bool isRemote = store != nullptr || !aPart.m_holders.empty();
  return isRemote ? kRemoteFetchPercent : kComputePercent;
}

std::int64_t
Placement::PrefillTokens(const WorkerTable& aWorkers,
                         const WorkerState& aWorker,
                         const Criteria& aCriteria,
                         PartsByVersion& aPartsByVersion)
{
  const RelayRequest& request = *aCriteria.m_request;
  const std::int64_t version = aWorker.m_info.VersionOf(request.m_model);
  const auto [parts, isNew] = aPartsByVersion.try_emplace(version);
  if (isNew) {
    parts->second = FindPartCopies(aWorkers, aCriteria, version);
  }
  // Beyond the contiguous prefix that is cached or can be fetched, all tokens
  // are computed.
  std::int64_t computed = request.m_promptTokens;
  std::int64_t fetchCost = 0;
  for (std::size_t i = 0; version >= 0 && i < request.m_parts.size(); ++i) {
    const PartCopies& part = parts->second[i];
    const std::int64_t tokens = request.m_parts[i].m_tokens;
    const bool isCached =
      aCriteria.m_caches != nullptr &&
      aCriteria.m_caches->Holds(aCriteria.m_now, aWorker, part.m_key);
    const std::int64_t percent =
      isCached ? 0 : FetchPercent(aWorker, aCriteria, part);
    if (percent == kComputePercent) {
      break;
    }
    computed -= tokens;
    fetchCost += tokens * percent;
  }
  return std::max<std::int64_t>(0, computed) + fetchCost / kComputePercent;
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
Placement::OldWeightsCost(const WorkerState& aWorker, const Criteria& aCriteria)
{
  if (aCriteria.m_weights == nullptr) {
    return 0;
  }
  const std::string& model = aCriteria.m_request->m_model;
  switch (aCriteria.m_weights->AgeOf(
    aCriteria.m_now, model, aWorker.m_info.VersionOf(model))) {
    case WeightsAge::Newest:
      return 0;
    case WeightsAge::JustSuperseded:
      return kJustSupersededTokens;
    case WeightsAge::Superseded:
    case WeightsAge::Unknown:
      return kSupersededTokens;
    case WeightsAge::Expired:
      break;
  }
  return kIneligible;
}

bool
Placement::IsExcluded(const WorkerState& aWorker, const Criteria& aCriteria)
{
  return aCriteria.m_triedWorkers.count(aWorker.m_info.m_id) != 0 ||
         !aCriteria.m_allowedDataCentres.Allows(aWorker.m_info.m_dataCentre) ||
         OldWeightsCost(aWorker, aCriteria) == kIneligible;
}

std::vector<WorkerState*>
Placement::EligibleToResume(WorkerTable& aWorkers, const Criteria& aCriteria)
{
  const TimePoint now = aCriteria.m_now;
  std::vector<WorkerState*> eligible =
    aWorkers.AvailableOnOpenConnections(now, aCriteria.m_pool);
  std::erase_if(eligible, [&](const WorkerState* aEach) {
    return aEach->m_info.m_software != *aCriteria.m_software ||
           IsExcluded(*aEach, aCriteria);
  });
  // Which process answers is certain on new connections only where it is
  // proved.
  const auto isProved = [&](const WorkerState* aEach) {
    return WorkerTable::IsProved(*aEach, now);
  };
  if (std::any_of(eligible.begin(), eligible.end(), isProved)) {
    std::erase_if(eligible, std::not_fn(isProved));
  }
  return eligible;
}

std::vector<WorkerState*>
Placement::Eligible(WorkerTable& aWorkers, const Criteria& aCriteria)
{
  if (aCriteria.m_software) {
    return EligibleToResume(aWorkers, aCriteria);
  }
  std::vector<WorkerState*> eligible =
    aWorkers.Available(aCriteria.m_now, aCriteria.m_pool);
  std::erase_if(eligible, [&](const WorkerState* aEach) {
    return IsExcluded(*aEach, aCriteria);
  });
  const auto isNew = [&](const WorkerState* aEach) {
    return aCriteria.m_softwareVersions != nullptr &&
           aCriteria.m_softwareVersions->IsNew(
             aCriteria.m_now, aCriteria.m_pool, aEach->m_info.m_software);
  };
  if (!std::all_of(eligible.begin(), eligible.end(), isNew)) {
    std::erase_if(eligible, isNew);
  }
  return eligible;
}

Placement::Choice
Placement::Choose(WorkerTable& aWorkers, const Criteria& aCriteria) const
{
  const std::vector<WorkerState*> available = Eligible(aWorkers, aCriteria);
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
  const std::uint64_t requestKey = Checksum64(aCriteria.m_request->m_id);
  Choice choice;
  PartsByVersion partsByVersion;
  std::vector<WorkerLoad> othersLoads;
  othersLoads.reserve(available.size());
  for (const WorkerState* worker : available) {
    othersLoads.push_back(
      OtherEntriesLoad(*worker, aCriteria, available.size()));
  }
  const std::vector<Load> loads = LoadsOf(
    available,
    othersLoads,
    aCriteria.m_otherLoads == nullptr
      ? 0
      : std::min(kReportWeight, aCriteria.m_otherLoads->ReportingPart()));
  choice.m_eligible = available.size();
  for (const Load& load : loads) {
    choice.m_meanPendingTokens +=
      load.m_pendingTokens / static_cast<double>(loads.size());
  }
  std::int64_t bestCost = kIneligible;
  std::int64_t leastTokens = kIneligible;
  for (std::size_t i = 0; i < available.size(); ++i) {
    WorkerState* worker = available[i];
    const std::optional<double> allowance =
      aCriteria.m_limiter == nullptr
        ? std::nullopt
        : aCriteria.m_limiter->Allowance(aCriteria.m_now, worker->m_info);
    if (allowance && *allowance < 1) {
      choice.m_isLimited = true;
      continue;
    }
    const WorkerLoad& others = othersLoads[i];
    if (!HasRoom(*worker, aCriteria, others)) {
      choice.m_isFull = true;
      continue;
    }
    const std::int64_t prefillTokens =
      aCriteria.m_hasPrompt
        ? PrefillTokens(aWorkers, *worker, aCriteria, partsByVersion)
        : 0;
    leastTokens = std::min(leastTokens, prefillTokens);
    if (!HasTime(*worker, aCriteria, loads[i], prefillTokens)) {
      choice.m_isFull = true;
      continue;
    }
    const std::int64_t prefillCost =
      worker == *home
        ? std::min(prefillTokens,
                   aCriteria.m_request->m_promptTokens / kHomeCacheDivisor)
        : prefillTokens;
    const std::int64_t cost =
      prefillCost + LoadCost(*worker, aCriteria, others, affinityKey) +
      OldWeightsCost(*worker, aCriteria) - AllowanceBonus(allowance) +
      (aCriteria.m_prefillRate == nullptr
         ? 0
         : Spread(aCriteria, *worker, requestKey)) +
      (IsHeldBack(worker->m_info, aCriteria) ? kHeldBackCost : 0);
    if (cost < bestCost) {
      choice.m_worker = worker;
      choice.m_prefillTokens = prefillTokens;
      choice.m_tokensAhead =
        static_cast<std::int64_t>(loads[i].m_pendingTokens);
      bestCost = cost;
    }
  }
  if (choice.m_worker == nullptr) {
    choice.m_prefillTokens = leastTokens == kIneligible
                               ? aCriteria.m_request->m_promptTokens
                               : leastTokens;
  }
  return choice;
}

} // namespace fulmarquay
