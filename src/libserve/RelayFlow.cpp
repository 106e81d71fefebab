#include "fulmarquay/serve/RelayFlow.h"

#include "RelayConstants.h"
#include "fulmarquay/core/Digest.h"
#include "fulmarquay/core/Error.h"
#include "fulmarquay/route/RouteDelta.h"

#include <algorithm>
#include <utility>

namespace fulmarquay {

namespace {

/// Bounds the requests held during startup: a few hundred ms of a busy entry's
/// load, and little memory with bodies of some KB.
constexpr std::size_t kMaxWaitingForStartup = 400;
constexpr Duration kCacheSweepInterval(2'000'000);
/// Retry-After while this entry drains: another entry can accept the request at
/// once.
constexpr Duration kLeavingRetryAfter(10'000);

} // namespace

RelayFlow::RelayFlow(EntryContext& aContext,
                     const RelayProtocol& aProtocol,
                     RelayOptions aOptions)
  : m_context(aContext)
  , m_protocol(aProtocol)
  , m_options(std::move(aOptions))
  , m_exchange(aContext.Self().m_vm)
  , m_weights(m_options.m_maxOldWeightsAge)
  , m_limiter(aContext.Self().m_vm)
  , m_originExchange(aContext.Self().m_vm)
{
}

void
RelayFlow::OnRoutes(const RouteDelta& aDelta)
{
  if (aDelta.m_to <= m_routes.Document().m_revision) {
    return;
  }
  RecordMovedRoutes(aDelta);
  const std::string isolationKey = m_routes.IsolationKey();
  m_routes.Apply(aDelta);
  RecordIsolation(isolationKey);
  m_limiter.OnRoutes(m_routes.Document());
  m_context.Log(
    LogEvent::RoutesInForce,
    { { "revision", std::to_string(aDelta.m_to.Value()) },
      { "from", std::to_string(aDelta.m_from.Value()) },
      { "routes", std::to_string(m_routes.Document().m_routes.size()) } });
}

void
RelayFlow::RecordIsolation(const std::string& aFormerKey)
{
  if (m_routes.IsolationKey() == aFormerKey) {
    return;
  }
  const auto& accounts = m_routes.Document().m_accounts;
  const auto isolated =
    std::count_if(accounts.begin(), accounts.end(), [](const auto& aEach) {
      return aEach.second.m_isIsolated;
    });
  m_context.Counters().Count("relay_shared_cache_changes_total");
  m_context.Log(LogEvent::SharedCacheChanged,
                { { "isolated", std::to_string(isolated) },
                  { "accounts", std::to_string(accounts.size()) },
                  { "key", m_routes.IsolationKey() } });
}

void
RelayFlow::SetRegions(RegionMap aRegions)
{
  m_options.m_regions = std::move(aRegions);
}

bool
RelayFlow::OnWorkerList(const WorkerList& aList)
{
  const bool hasNewWeights = m_weights.OnNamed(aList.m_weights);
  if (!m_workers.Apply(m_context.Now(), aList)) {
    return hasNewWeights;
  }
  for (const PoolId& pool : m_softwareVersions.Apply(m_context.Now(), aList)) {
    ShareOriginsOf(pool);
  }
  m_limiter.OnList(m_context.Now(), aList.m_workers);
  if (m_partWatch.SetBlocked(aList.m_blockedParts)) {
    GiveUpBlockedQueued();
  }
  return hasNewWeights;
}

void
RelayFlow::OnConfirmed(TimePoint aKeyLeaseUntil, std::uint32_t aEntryCount)
{
  m_keyLeaseUntil = std::max(m_keyLeaseUntil, aKeyLeaseUntil);
  m_entryCount = std::max<std::uint32_t>(1, aEntryCount);
  m_exchange.SetEntryCount(m_entryCount);
  m_caches.SetComplete(m_exchange.ReachesAll());
  for (auto& [pool, budget] : m_budgets) {
    budget.SetBudgetCapacity(m_options.m_retrySlack / m_entryCount);
  }
}

bool
RelayFlow::OnStoreUpdate(const StorePush& aPush)
{
  return m_partMap.Apply(aPush);
}

void
RelayFlow::OnStoreLeaseConfirmed(TimePoint aUntil,
                                 Duration aFetchTimeout,
                                 std::int64_t aWorkersClockMs)
{
  m_partMap.OnLeaseConfirmed(aUntil, aFetchTimeout);
  if (aWorkersClockMs > 0) {
    // The received time lags by the network delay of the reply, so fetch
    // deadlines on this clock are early rather than late.
    m_workersClockMs = aWorkersClockMs;
    m_workersClockAt = m_context.Now();
  }
}

std::int64_t
RelayFlow::WorkerClockMs() const
{
  return m_workersClockMs == 0
           ? 0
           : m_workersClockMs + ToMillis(m_context.Now() - m_workersClockAt);
}

bool
RelayFlow::IsReady() const
{
  return m_routes.Document().m_revision > Revision(0) &&
         m_workers.Number() != 0 && HasKeyLease();
}

RetryBudget&
RelayFlow::RetryBudgetFor(const PoolId& aPool)
{
  const auto found = m_budgets.find(aPool);
  if (found != m_budgets.end()) {
    return found->second;
  }
  return m_budgets
    .emplace(aPool,
             RetryBudget(m_options.m_retryRatio,
                         m_options.m_retrySlack / m_entryCount))
    .first->second;
}

Duration
RelayFlow::Age(const ActiveRequest& aActive) const
{
  return m_context.Now() - aActive.m_arrivedAt;
}

void
RelayFlow::Start(CallerId aCaller, HttpRequest aRequest, bool aIsPassed)
{
  auto active = std::make_unique<ActiveRequest>();
  active->m_caller = aCaller;
  active->m_arrivedAt = m_context.Now();
  active->m_isFromPeer = aIsPassed;
  ActiveRequest& added = *active;
  m_byCaller[aCaller] = std::move(active);
  try {
    added.m_request = m_protocol.Decode(std::move(aRequest));
  } catch (const Error& e) {
    Refuse(added, kStatusBadRequest, e.Reason(), Duration(0));
    return;
  }
  if (aIsPassed) {
    m_context.Counters().Count("relay_passed_received_total", "");
    m_context.Log(
      LogEvent::PassedRequestReceived,
      { { "id", added.m_request.m_id },
        { "entry", added.m_request.m_pass.m_from },
        { "attempts", std::to_string(added.m_request.m_pass.m_attempts) },
        { "left_ms", FormatMillis(added.m_request.m_deadline) } });
    if (MustWaitForStartup(added)) {
      Refuse(added,
             kStatusUnavailable,
             "this entry is starting",
             kStartupRetryAfter,
             PassRefusal::Elsewhere);
      return;
    }
  }
  if (MustWaitForStartup(added) &&
      m_waitingForStartup.size() < kMaxWaitingForStartup) {
    m_waitingForStartup.push_back(aCaller);
    return;
  }
  Admit(added);
}

bool
RelayFlow::MustWaitForStartup(const ActiveRequest& aActive) const
{
  return !m_isDraining &&
         m_startup.MustWait(!aActive.m_request.m_parts.empty());
}

bool
RelayFlow::HasStoresAndLoads() const
{
  const auto& pools = m_routes.Document().m_pools;
  const bool hasStores =
    std::any_of(pools.begin(), pools.end(), [](const auto& aEach) {
      return !aEach.second.m_storeAddress.empty();
    });
  return m_exchange.HasLoads() && (!hasStores || m_partMap.AreAllStoresUp());
}

void
RelayFlow::UpdateStartup()
{
  if (m_startup.IsComplete()) {
    return;
  }
  m_startup.Update(m_context.Now(), { IsReady(), HasStoresAndLoads() });
  for (const CallerId caller : std::exchange(m_waitingForStartup, {})) {
    const auto found = m_byCaller.find(caller);
    if (found == m_byCaller.end()) {
      continue;
    }
    ActiveRequest& active = *found->second;
    const Duration deadline = active.m_request.m_deadline;
    const bool isLate =
      deadline > Duration(0) && Age(active) >= deadline - kMinTimeLeft;
    if (isLate || !MustWaitForStartup(active)) {
      Admit(active);
    } else {
      m_waitingForStartup.push_back(caller);
    }
  }
}

void
RelayFlow::Admit(ActiveRequest& aActive)
{
  const RelayRequest& request = aActive.m_request;
  if (m_isDraining) {
    RefuseLeaving(aActive);
    return;
  }
  if (m_routes.Document().m_revision == Revision(0)) {
    Refuse(aActive,
           kStatusUnavailable,
           "no routes yet",
           kStartupRetryAfter,
           PassRefusal::Elsewhere);
    return;
  }
  const RouteTable::Route route = m_routes.Find(request.m_host, request.m_path);
  if (route.m_rule == nullptr) {
    // Without the key lease, this entry may have missed an update that added
    // the route.
    const bool hasKeyLease = HasKeyLease();
    Refuse(aActive,
           hasKeyLease ? kStatusNotFound : kStatusUnavailable,
           "no route",
           hasKeyLease ? Duration(0) : kStartupRetryAfter,
           PassRefusal::Elsewhere);
    return;
  }
  aActive.m_rule = *route.m_rule;
  if (aActive.m_isFromPeer) {
    aActive.m_rule.m_maxAttempts =
      std::min(aActive.m_rule.m_maxAttempts,
               std::max<std::int64_t>(1, request.m_pass.m_attempts));
  }
  aActive.m_routeName = std::string(route.m_name);
  aActive.m_priority = route.m_rule->m_priority;
  aActive.m_allowedRegions.AddRule(route.m_rule->m_allowedRegions);
  if (MayResume(aActive)) {
    aActive.m_eventSplitter.StartAfter(request.m_lastEventId);
  }
  if (!Authenticate(aActive, *route.m_rule)) {
    return;
  }
  // The document of the entry that passed the request on may be newer or older.
  if (aActive.m_isFromPeer && request.m_pass.m_regions) {
    aActive.m_allowedRegions.Intersect(*request.m_pass.m_regions);
  }
  aActive.m_partIds = PartIdsOf(request, aActive.m_account);
  Duration wait(aActive.m_rule.m_timeoutUs);
  if (m_answerAllBy != TimePoint()) {
    const Duration left = m_answerAllBy - m_context.Now();
    if (left < Duration(aActive.m_rule.m_targetLatencyUs)) {
      RefuseLeaving(aActive);
      return;
    }
    wait = std::min(wait, left);
  }
  if (request.m_deadline > Duration(0)) {
    wait = std::min(wait, request.m_deadline);
  }
  aActive.m_expiresAt = aActive.m_arrivedAt + wait;
  m_expiries.emplace(aActive.m_expiresAt, aActive.m_caller);
  const PassParameters& pass = request.m_pass;
  if (IsResumed(aActive) && aActive.m_isFromPeer && !pass.m_pool.empty()) {
    const StreamOrigin origin{ PoolId(pass.m_pool),
                               SoftwareVersion(pass.m_software) };
    Resume(aActive, origin, "passing entry");
  } else if (IsResumed(aActive)) {
    FindOrigin(aActive);
  } else {
    Accept(aActive, ChoosePool(aActive).m_pool);
  }
}

void
RelayFlow::RefuseLeaving(ActiveRequest& aActive)
{
  Refuse(aActive,
         kStatusUnavailable,
         "this entry is leaving",
         kLeavingRetryAfter,
         PassRefusal::Elsewhere);
}

void
RelayFlow::Accept(ActiveRequest& aActive, const PoolId& aPool)
{
  aActive.m_pool = aPool;
  aActive.m_isCounted =
    aActive.m_isFromPeer && aActive.m_request.m_pass.m_isCounted;
  const bool isServedHere = aActive.m_isFromPeer || m_neighbours.Size() == 0 ||
                            !m_reach.IsUnreached(m_context.Now(), aPool);
  // The entry that serves a request counts it, once.
  if (isServedHere && !std::exchange(aActive.m_isCounted, true)) {
    RetryBudgetFor(aPool).OnRequest();
  }
  if (isServedHere) {
    m_limiter.OnRequest(m_context.Now(), aPool);
  }
  Place(aActive);
}

const PoolShare&
RelayFlow::ChoosePool(const ActiveRequest& aActive) const
{
  const std::vector<PoolShare>& pools = aActive.m_rule.m_pools;
  std::uint64_t total = 0;
  for (const PoolShare& pool : pools) {
    total += static_cast<std::uint64_t>(pool.m_weight);
  }
  std::uint64_t point = Checksum64(aActive.m_request.m_id) % total;
  for (const PoolShare& pool : pools) {
    const auto weight = static_cast<std::uint64_t>(pool.m_weight);
    if (point < weight) {
      return pool;
    }
    point -= weight;
  }
  return pools.back();
}

void
RelayFlow::OnCallerDisconnected(CallerId aCaller, DisconnectReason aReason)
{
  const auto found = m_byCaller.find(aCaller);
  if (found == m_byCaller.end()) {
    return;
  }
  ActiveRequest& active = *found->second;
  const bool isOwnDecision = IsOwnDecision(aReason);
  m_context.Counters().Count("relay_disconnected_total",
                             "reason=\"" + std::string(NameOf(aReason)) + "\"");
  m_context.Log(isOwnDecision ? LogEvent::RequestCut
                              : LogEvent::RequestAbandoned,
                { { "id", active.m_request.m_id },
                  { "why", std::string(NameOf(aReason)) },
                  { "worker", active.m_worker.Value() },
                  { "streaming", active.m_isStreaming ? "yes" : "no" },
                  { "event", std::to_string(active.m_eventSplitter.LastId()) },
                  { "age_ms", FormatMillis(Age(active)) } });
  Remove(active);
}

void
RelayFlow::Expire(ActiveRequest& aActive)
{
  const bool mayHaveRun = aActive.m_isInFlight || aActive.m_mayHaveRun;
  if (mayHaveRun || aActive.m_isStreaming) {
    Fail(aActive, kStatusGatewayTimeout, "timeout");
  } else {
    Refuse(aActive, kStatusUnavailable, "timeout", Duration(0));
  }
}

void
RelayFlow::OnTick()
{
  const TimePoint now = m_context.Now();
  m_lastTickAt = now;
  UpdateStartup();
  const bool mustAnswerAll =
    m_answerAllBy != TimePoint() && now >= m_answerAllBy;
  while (!m_expiries.empty() &&
         (mustAnswerAll || m_expiries.begin()->first <= now)) {
    const CallerId caller = m_expiries.begin()->second;
    m_expiries.erase(m_expiries.begin());
    const auto found = m_byCaller.find(caller);
    if (found != m_byCaller.end()) {
      Expire(*found->second);
    }
  }
  ProbeSilentWorkers();
  RecallExpired();
  UpdateHeldAverages();
  m_exchange.OnTick(now);
  m_limiter.OnTick(now);
  if (now >= m_nextCacheSweep) {
    m_nextCacheSweep = now + kCacheSweepInterval;
    m_caches.Sweep(now, m_workers);
  }
  UpdateListAge();
  FinishOriginLookups();
  DispatchQueued();
  UpdateOverload();
  SendOriginMessages();
  SendLoads();
  if (m_hadKeyLease != HasKeyLease()) {
    m_hadKeyLease = HasKeyLease();
    m_context.Log(m_hadKeyLease ? LogEvent::KeyLeaseRegained
                                : LogEvent::KeyLeaseLost);
  }
}

bool
RelayFlow::MayRepeat(const ActiveRequest& aActive) const
{
  return aActive.m_rule.IsIdempotent() || MayResume(aActive);
}

void
RelayFlow::Remove(ActiveRequest& aActive)
{
  RemoveFromQueue(aActive);
  if (aActive.m_isInFlight) {
    m_context.Cancel(aActive.m_call);
    ReleaseWorker(aActive);
  }
  const auto [first, last] = m_expiries.equal_range(aActive.m_expiresAt);
  for (auto due = first; due != last; ++due) {
    if (due->second == aActive.m_caller) {
      m_expiries.erase(due);
      break;
    }
  }
  ReleaseBody(aActive);
  m_byCaller.erase(aActive.m_caller);
}

} // namespace fulmarquay
