// Dispatch of relayed requests: choice of the worker, admission queue.
#include "fulmarquay/serve/RelayFlow.h"

#include "RelayConstants.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace fulmarquay {

namespace {

/// Bounds the assumed ratio between the load of two entries, in both
/// directions.
constexpr double kMaxLoadRatio = 3;
/// Averaging window of the held memory that is reported to the other entries.
constexpr double kHeldAverageWindowUs = 1e6;
/// Retry-After of a blocked request, which stays blocked for minutes.
constexpr Duration kBlockedPartRetryAfter(60'000'000);
/// The end of an evacuation takes at least this long to reach the entries.
constexpr Duration kEvacuatedRetryAfter(1'000'000);
/// Retry-After while all workers of a pool are limited, before it is spread
/// over up to twice the time: the caller's next attempt reaches another entry,
/// which may have a share.
constexpr Duration kLimitedRetryAfter(500'000);
constexpr std::uint64_t kSpreadSteps = 1'000;
constexpr double kMicrosPerSecond = 1e6;

} // namespace

bool
RelayFlow::MayWait(const ActiveRequest& aActive)
{
  return !aActive.m_isStreaming && !aActive.m_mayHaveRun;
}

Placement::Criteria
RelayFlow::CriteriaFor(const ActiveRequest& aActive)
{
  Placement::Criteria criteria;
  criteria.m_now = m_context.Now();
  criteria.m_pool = aActive.m_pool;
  criteria.m_request = &aActive.m_request;
  criteria.m_hasPrompt = aActive.m_rule.m_hasPrompt;
  criteria.m_cacheGroup = CacheGroupOf(aActive);
  criteria.m_triedWorkers = aActive.m_triedWorkers;
  criteria.m_softwareVersions = &m_softwareVersions;
  if (aActive.m_origin) {
    criteria.m_software = aActive.m_origin->m_software;
  }
  criteria.m_entryCount = m_entryCount;
  criteria.m_otherLoads = m_exchange.HasLoads() ? &m_exchange : nullptr;
  criteria.m_partMap = &m_partMap;
  criteria.m_caches = &m_caches;
  criteria.m_limiter = &m_limiter;
  criteria.m_dataCentre = m_context.Self().m_dataCentre;
  criteria.m_allowedRegions = &aActive.m_allowedRegions;
  criteria.m_allowedDataCentres = AllowedDataCentres(aActive);
  criteria.m_weights = &m_weights;
  const PoolRule* pool = m_routes.FindPool(aActive.m_pool);
  if (criteria.m_hasPrompt && pool != nullptr) {
    criteria.m_neededTokens =
      aActive.m_request.m_promptTokens + aActive.m_request.m_maxOutputTokens;
    criteria.m_capacityTokens = pool->m_engines.m_cacheCapacityTokens;
    criteria.m_otherEntriesHeldTokens =
      criteria.m_otherLoads == nullptr ? OtherEntriesHeldTokens(aActive.m_pool)
                                       : 0;
    // A stream that has begun has no other entry or time to wait for.
    if (pool->m_engines.m_slots > 0 && MayWait(aActive)) {
      criteria.m_prefillRate = &m_pools[aActive.m_pool].m_rate;
      criteria.m_prefillBudget = m_queues[QueueKeyOf(aActive)].Budget(
        criteria.m_now,
        aActive.m_priority,
        aActive.m_account,
        Duration(aActive.m_rule.m_targetLatencyUs),
        m_pools[aActive.m_pool].m_pool);
    }
  }
  return criteria;
}

bool
RelayFlow::HasNoAllowedWorker(const ActiveRequest& aActive) const
{
  const DataCentreFilter allowed = AllowedDataCentres(aActive);
  const auto& workers = m_workers.All();
  return allowed.IsRestricted() &&
         std::none_of(workers.begin(), workers.end(), [&](const auto& aEach) {
           const WorkerInfo& info = aEach.second.m_info;
           return info.m_pool == aActive.m_pool &&
                  allowed.Allows(info.m_dataCentre);
         });
}

void
RelayFlow::GiveUpBlocked(ActiveRequest& aActive)
{
  GiveUp(aActive,
         "the request or a part of its prompt crashes workers",
         kBlockedPartRetryAfter);
}

void
RelayFlow::GiveUpBlockedQueued()
{
  std::vector<ActiveRequest*> blocked;
  for (const auto& [caller, active] : m_byCaller) {
    if (active->m_isQueued && m_partWatch.IsBlocked(active->m_partIds)) {
      blocked.push_back(active.get());
    }
  }
  for (ActiveRequest* active : blocked) {
    GiveUpBlocked(*active);
  }
}

bool
RelayFlow::GiveUpEvacuated(ActiveRequest& aActive)
{
  if (m_workers.Evacuated().empty()) {
    return false;
  }
  const WorkerTable::Counts workers =
    m_workers.CountsOf(m_context.Now(), aActive.m_pool);
  if (workers.m_listed > 0 || workers.m_evacuated == 0) {
    return false;
  }
  GiveUp(aActive,
         "all data centres of the pool are evacuated",
         kEvacuatedRetryAfter);
  return true;
}

std::optional<std::size_t>
RelayFlow::LimitedSendsWithin(const ActiveRequest& aActive, Duration aTime)
{
  const TimePoint now = m_context.Now();
  const double seconds =
    std::max(0.0, static_cast<double>(aTime.count()) / kMicrosPerSecond);
  const DataCentreFilter allowed = AllowedDataCentres(aActive);
  std::size_t sends = 0;
  for (const WorkerState* worker : m_workers.Available(now, aActive.m_pool)) {
    const bool isOther = aActive.m_origin && worker->m_info.m_software !=
                                               aActive.m_origin->m_software;
    if (isOther || !allowed.Allows(worker->m_info.m_dataCentre)) {
      continue;
    }
    const std::optional<double> rate = m_limiter.RateOf(now, worker->m_info);
    if (!rate) {
      return std::nullopt;
    }
    const double saved = m_limiter.Allowance(now, worker->m_info).value_or(0);
    sends += static_cast<std::size_t>(std::max(0.0, saved + *rate * seconds));
  }
  return sends;
}

void
RelayFlow::RefuseLimited(ActiveRequest& aActive)
{
  // Callers that are refused together must not return together.
  const std::uint64_t spread = m_context.Random() % kSpreadSteps;
  GiveUp(aActive,
         "all workers are limited",
         kLimitedRetryAfter + kLimitedRetryAfter * spread / kSpreadSteps,
         PassRefusal::Busy);
}

bool
RelayFlow::GiveUpLimited(ActiveRequest& aActive)
{
  if (m_limiter.LimitedCount() == 0) {
    return false;
  }
  // A worker needs about the target time for the answer.
  const Duration target(aActive.m_rule.m_targetLatencyUs);
  const Duration left = aActive.m_expiresAt - m_context.Now() - target;
  const auto sendsInTime = LimitedSendsWithin(aActive, left);
  if (!sendsInTime) {
    return false;
  }
  if (aActive.m_isQueued) {
    if (*sendsInTime == 0) {
      RefuseLimited(aActive);
      return true;
    }
    return false;
  }
  // One request waits for the next send. More would all be late.
  const std::size_t places =
    std::max<std::size_t>(1, LimitedSendsWithin(aActive, target).value_or(0));
  PoolAdmission& queue = m_queues[QueueKeyOf(aActive)];
  const std::size_t place = queue.CountAhead(aActive.m_priority) + 1;
  if (place > std::min(*sendsInTime, places)) {
    RefuseLimited(aActive);
    return true;
  }
  const auto last = queue.LastBehind(aActive.m_priority);
  if (queue.Size() >= places && last) {
    RefuseLimited(*m_byCaller.at(last->m_caller));
  }
  return false;
}

void
RelayFlow::Place(ActiveRequest& aActive)
{
  if (m_partWatch.IsBlocked(aActive.m_partIds)) {
    GiveUpBlocked(aActive);
    return;
  }
  if (GiveUpEvacuated(aActive)) {
    return;
  }
  if (HasNoAllowedWorker(aActive)) {
    GiveUp(aActive,
           "no worker in an allowed region",
           RetryAfterFor(aActive.m_pool),
           PassRefusal::Elsewhere);
    return;
  }
  if (PlaceElsewhere(aActive)) {
    return;
  }
  PoolAdmission& admission = m_queues[QueueKeyOf(aActive)];
  if (!std::exchange(aActive.m_isAnnounced, true)) {
    admission.OnRequest(m_context.Now(),
                        aActive.m_priority,
                        Duration(aActive.m_rule.m_targetLatencyUs));
  }
  const Placement::Criteria criteria = CriteriaFor(aActive);
  const bool isLate = aActive.m_expiresAt - criteria.m_now < kMinTimeLeft;
  // Queued requests are served before new ones that are not more urgent.
  const bool mustQueue = !aActive.m_isQueued && MayWait(aActive) &&
                         admission.HasAhead(criteria.m_now, aActive.m_priority);
  const Placement::Choice choice =
    isLate ? Placement::Choice() : m_placement.Choose(m_workers, criteria);
  if (choice.m_worker != nullptr && !mustQueue) {
    RemoveFromQueue(aActive);
    aActive.m_pendingPrefillTokens = choice.m_prefillTokens;
    aActive.m_heldTokens = criteria.m_neededTokens;
    aActive.m_tokensAhead = choice.m_tokensAhead;
    if (criteria.m_hasPrompt) {
      PoolStateOf(aActive.m_pool, choice);
      admission.OnSent(criteria.m_now,
                       choice.m_prefillTokens,
                       aActive.m_priority,
                       aActive.m_account);
    }
    Send(aActive, *choice.m_worker);
    return;
  }
  const bool mayWait =
    MayWait(aActive) &&
    (choice.m_isFull || choice.m_isLimited || choice.m_worker != nullptr);
  if (mayWait && !choice.m_isFull && GiveUpLimited(aActive)) {
    return;
  }
  if (mayWait) {
    Enqueue(aActive, choice);
    return;
  }
  const WorkerTable::Counts workers =
    m_workers.CountsOf(m_context.Now(), aActive.m_pool);
  const bool isUnreached =
    !isLate &&
    (workers.m_unreached > 0 || (aActive.m_origin && workers.m_unproved > 0));
  if (isUnreached && PassOn(aActive, "no worker that this entry reaches")) {
    return;
  }
  GiveUp(aActive,
         isLate ? "no time left" : "no worker",
         std::max(RetryAfterFor(aActive.m_pool), aActive.m_refusedRetryAfter),
         isUnreached ? PassRefusal::Elsewhere : PassRefusal::Final);
}

RelayFlow::QueueKey
RelayFlow::QueueKeyOf(const ActiveRequest& aActive)
{
  return { aActive.m_pool,
           aActive.m_origin ? aActive.m_origin->m_software : SoftwareVersion(),
           aActive.m_allowedRegions.Key() };
}

void
RelayFlow::Enqueue(ActiveRequest& aActive, const Placement::Choice& aChoice)
{
  const PoolAdmission::Pool pool = PoolStateOf(aActive.m_pool, aChoice);
  if (aActive.m_isQueued) {
    return;
  }
  PoolAdmission::Item item;
  item.m_caller = aActive.m_caller;
  item.m_priority = aActive.m_priority;
  item.m_targetAt =
    aActive.m_arrivedAt + Duration(aActive.m_rule.m_targetLatencyUs);
  item.m_expiresAt = aActive.m_expiresAt;
  item.m_tokens = aChoice.m_prefillTokens;
  item.m_account = aActive.m_account;
  const std::optional<Duration> retryAfter = m_queues[QueueKeyOf(aActive)].Push(
    m_context.Now(), item, pool, RandomPart());
  if (retryAfter) {
    RefuseOverloaded(aActive, "queue too long", *retryAfter);
    return;
  }
  aActive.m_isQueued = true;
}

void
RelayFlow::RemoveFromQueue(ActiveRequest& aActive)
{
  if (aActive.m_isQueued) {
    aActive.m_isQueued = false;
    m_queues[QueueKeyOf(aActive)].Remove(aActive.m_caller);
  }
}

std::int64_t
RelayFlow::OtherEntriesHeldTokens(const PoolId& aPool) const
{
  // The reported figures are a few seconds old, and all entries would react to
  // them at the same time. The load of the other entries is assumed to follow
  // the load of this entry, scaled by the reported ratio.
  double ratio = m_entryCount - 1;
  const auto others = m_otherEntriesHeldTokens.find(aPool.Value());
  const auto average = m_averageHeldTokens.find(aPool.Value());
  if (others != m_otherEntriesHeldTokens.end() &&
      average != m_averageHeldTokens.end()) {
    const double reportedRatio =
      static_cast<double>(others->second) / std::max(1.0, average->second);
    ratio =
      std::clamp(reportedRatio, ratio / kMaxLoadRatio, ratio * kMaxLoadRatio);
  }
  const auto own = static_cast<double>(m_workers.HeldTokens(aPool));
  return static_cast<std::int64_t>(own * ratio);
}

void
RelayFlow::SendLoads()
{
  const auto update =
    m_exchange.TakeUpdate(m_context.Now(),
                          m_workers,
                          m_limiter.Restarts().MakeReports(m_context.Now()));
  if (!update) {
    return;
  }
  for (const Endpoint& recipient : m_exchange.Recipients()) {
    m_context.Emit(SendToPeer{ recipient, *update });
  }
}

void
RelayFlow::UpdateHeldAverages()
{
  const TimePoint now = m_context.Now();
  const auto elapsedUs = static_cast<double>((now - m_averagedAt).count());
  const double weight = 1 - std::exp(-elapsedUs / kHeldAverageWindowUs);
  m_averagedAt = now;
  for (const auto& [pool, rule] : m_routes.Document().m_pools) {
    const auto held = static_cast<double>(m_workers.HeldTokens(PoolId(pool)));
    double& average = m_averageHeldTokens[pool];
    average += weight * (held - average);
  }
}

std::map<std::string, std::int64_t>
RelayFlow::HeldTokens() const
{
  std::map<std::string, std::int64_t> held;
  for (const auto& [pool, average] : m_averageHeldTokens) {
    if (average >= 1) {
      held[pool] = static_cast<std::int64_t>(average);
    }
  }
  return held;
}

void
RelayFlow::DispatchQueued()
{
  RefuseHopeless();
  // Within a pool, streams that can't choose their workers come first.
  for (auto each = m_queues.rbegin(); each != m_queues.rend(); ++each) {
    PoolAdmission& queue = each->second;
    while (const auto next = queue.Next(m_context.Now())) {
      ActiveRequest& active = *m_byCaller.at(next->m_caller);
      Place(active);
      if (queue.Contains(next->m_caller)) {
        break;
      }
    }
  }
}

} // namespace fulmarquay
