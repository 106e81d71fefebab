#include "fulmarquay/serve/RelayFlow.h"

#include "RelayConstants.h"
#include "fulmarquay/core/Digest.h"
#include "fulmarquay/core/Error.h"
#include "fulmarquay/route/RouteDelta.h"

#include <algorithm>
#include <utility>

namespace fulmarquay {

namespace {

/// Callers come back this much later to an entry that starts or finds its
/// leader again: most of an election.
constexpr Duration kRetryStart(1'000'000);
/// So many requests wait for a start: some hundred ms of a busy entry's load,
/// and with bodies of some KB little memory.
constexpr std::size_t kMostAwaiting = 400;
/// Another entry takes the request at once.
constexpr Duration kRetrySoon(10'000);

} // namespace

RelayFlow::RelayFlow(EntryContext& aContext,
                     const RelayProtocol& aProtocol,
                     RelayOptions aOptions)
  : m_context(aContext)
  , m_protocol(aProtocol)
  , m_options(aOptions)
  , m_exchange(aContext.Self().m_vm)
{
}

void
RelayFlow::OnRoutes(const RouteDelta& aDelta)
{
  if (aDelta.m_to <= m_routes.Document().m_revision) {
    return;
  }
  m_routes.Apply(aDelta);
  m_context.Log(
    LogEvent::RoutesInForce,
    { { "revision", std::to_string(aDelta.m_to.Value()) },
      { "from", std::to_string(aDelta.m_from.Value()) },
      { "routes", std::to_string(m_routes.Document().m_routes.size()) } });
}

void
RelayFlow::OnWorkers(const WorkerList& aList)
{
  m_workers.Apply(m_context.Now(), aList);
}

void
RelayFlow::OnConfirmed(TimePoint aKeysUntil, std::uint32_t aEntries)
{
  m_keysUntil = std::max(m_keysUntil, aKeysUntil);
  m_entries = std::max<std::uint32_t>(1, aEntries);
  m_exchange.SetEntries(m_entries);
  for (auto& [pool, budget] : m_budgets) {
    budget.SetMost(m_options.m_retrySlack / m_entries);
  }
}

bool
RelayFlow::OnStores(const StorePush& aPush)
{
  return m_parts.Apply(aPush);
}

void
RelayFlow::OnStoresConfirmed(TimePoint aUntil,
                             Duration aFetch,
                             std::int64_t aWorkersClockMs)
{
  m_parts.OnConfirmed(aUntil, aFetch);
  if (aWorkersClockMs > 0) {
    // Behind by the way of the answer: an end on this clock comes early.
    m_workersClockMs = aWorkersClockMs;
    m_workersClockAt = m_context.Now();
  }
}

std::int64_t
RelayFlow::WorkersClockMs() const
{
  return m_workersClockMs == 0
           ? 0
           : m_workersClockMs + ToMillis(m_context.Now() - m_workersClockAt);
}

bool
RelayFlow::IsReady() const
{
  return m_routes.Document().m_revision > Revision(0) &&
         m_workers.Number() != 0 && HasKeys();
}

RetryBudget&
RelayFlow::BudgetOf(const PoolId& aPool)
{
  const auto place = m_budgets.find(aPool);
  if (place != m_budgets.end()) {
    return place->second;
  }
  return m_budgets
    .emplace(
      aPool,
      RetryBudget(m_options.m_retryShare, m_options.m_retrySlack / m_entries))
    .first->second;
}

Duration
RelayFlow::Age(const Relayed& aRelayed) const
{
  return m_context.Now() - aRelayed.m_arrived;
}

void
RelayFlow::Start(CallerId aCaller, HttpRequest aRequest)
{
  auto relayed = std::make_unique<Relayed>();
  relayed->m_caller = aCaller;
  relayed->m_arrived = m_context.Now();
  Relayed& added = *relayed;
  m_byCaller[aCaller] = std::move(relayed);
  try {
    added.m_request = m_protocol.Decode(std::move(aRequest));
  } catch (const Error& e) {
    Refuse(added, kStatusBadRequest, e.Reason(), Duration(0));
    return;
  }
  if (MustAwaitStart(added) && m_awaitStart.size() < kMostAwaiting) {
    m_awaitStart.push_back(aCaller);
    return;
  }
  Admit(added);
}

bool
RelayFlow::MustAwaitStart(const Relayed& aRelayed) const
{
  return !m_isLeaving && m_start.MustWait(!aRelayed.m_request.m_parts.empty());
}

bool
RelayFlow::HasSettled() const
{
  const auto& pools = m_routes.Document().m_pools;
  const bool hasStores =
    std::any_of(pools.begin(), pools.end(), [](const auto& aEach) {
      return !aEach.second.m_storeAddress.empty();
    });
  return m_exchange.IsKnown() && (!hasStores || m_parts.HasAllStores());
}

void
RelayFlow::ReviewStart()
{
  if (m_start.IsOpen()) {
    return;
  }
  m_start.Review(m_context.Now(), { IsReady(), HasSettled() });
  for (const CallerId caller : std::exchange(m_awaitStart, {})) {
    const auto place = m_byCaller.find(caller);
    if (place == m_byCaller.end()) {
      continue;
    }
    Relayed& relayed = *place->second;
    const Duration deadline = relayed.m_request.m_deadline;
    const bool isLate =
      deadline > Duration(0) && Age(relayed) >= deadline - kLeastLeft;
    if (isLate || !MustAwaitStart(relayed)) {
      Admit(relayed);
    } else {
      m_awaitStart.push_back(caller);
    }
  }
}

void
RelayFlow::Admit(Relayed& aRelayed)
{
  const RelayRequest& request = aRelayed.m_request;
  if (m_isLeaving) {
    Refuse(aRelayed, kStatusUnavailable, "this entry is leaving", kRetrySoon);
    return;
  }
  if (m_routes.Document().m_revision == Revision(0)) {
    Refuse(aRelayed, kStatusUnavailable, "no routes yet", kRetryStart);
    return;
  }
  const RouteTable::Route route = m_routes.Find(request.m_host, request.m_path);
  if (route.m_rule == nullptr) {
    // Without the leader this entry may have missed the route.
    const bool isSure = HasKeys();
    Refuse(aRelayed,
           isSure ? kStatusNotFound : kStatusUnavailable,
           "no route",
           isSure ? Duration(0) : kRetryStart);
    return;
  }
  aRelayed.m_rule = *route.m_rule;
  aRelayed.m_route = std::string(route.m_name);
  aRelayed.m_rank = route.m_rule->m_rank;
  if (!Identify(aRelayed, *route.m_rule)) {
    return;
  }
  Duration wait(aRelayed.m_rule.m_timeoutUs);
  if (request.m_deadline > Duration(0)) {
    wait = std::min(wait, request.m_deadline);
  }
  aRelayed.m_due = aRelayed.m_arrived + wait;
  m_due.emplace(aRelayed.m_due, aRelayed.m_caller);
  aRelayed.m_pool = ChoosePool(aRelayed).m_pool;
  BudgetOf(aRelayed.m_pool).OnRequest();
  Place(aRelayed);
}

bool
RelayFlow::Identify(Relayed& aRelayed, const RouteRule& aRule)
{
  const std::string& key = aRelayed.m_request.m_key;
  const bool needsKey = m_routes.Document().m_needsKeys && !aRule.m_isAnonymous;
  if (needsKey && !HasKeys()) {
    Refuse(aRelayed, kStatusUnavailable, "keys not confirmed", kRetryStart);
    return false;
  }
  if (key.empty() && !needsKey) {
    return true;
  }
  const RouteTable::Account account = m_routes.FindAccount(Sha256Hex(key));
  if (account.m_rule == nullptr) {
    if (needsKey) {
      Refuse(aRelayed, kStatusUnauthorized, "unknown key", Duration(0));
    }
    return !needsKey;
  }
  if (!HasKeys()) {
    // An anonymous route serves the caller without the account.
    return true;
  }
  aRelayed.m_account = std::string(account.m_name);
  aRelayed.m_cacheAccount =
    account.m_rule->m_isIsolated ? aRelayed.m_account : "";
  if (account.m_rule->m_rank >= 0) {
    aRelayed.m_rank = account.m_rule->m_rank;
  }
  return true;
}

const PoolShare&
RelayFlow::ChoosePool(const Relayed& aRelayed) const
{
  const std::vector<PoolShare>& pools = aRelayed.m_rule.m_pools;
  std::uint64_t total = 0;
  for (const PoolShare& share : pools) {
    total += static_cast<std::uint64_t>(share.m_weight);
  }
  std::uint64_t point = Checksum64(aRelayed.m_request.m_id) % total;
  for (const PoolShare& share : pools) {
    const auto weight = static_cast<std::uint64_t>(share.m_weight);
    if (point < weight) {
      return share;
    }
    point -= weight;
  }
  return pools.back();
}

void
RelayFlow::OnGone(CallerId aCaller)
{
  const auto place = m_byCaller.find(aCaller);
  if (place == m_byCaller.end()) {
    return;
  }
  Relayed& relayed = *place->second;
  m_context.Log(LogEvent::RequestAbandoned,
                { { "id", relayed.m_request.m_id },
                  { "worker", relayed.m_worker.Value() },
                  { "age_ms", Millis(Age(relayed)) } });
  Forget(relayed);
}

void
RelayFlow::Expire(Relayed& aRelayed)
{
  const bool mayHaveRun = aRelayed.m_isRunning || aRelayed.m_mayHaveRun;
  if (mayHaveRun || aRelayed.m_isStreaming) {
    Fail(aRelayed, kStatusGatewayTimeout, "timeout");
  } else {
    Refuse(aRelayed, kStatusUnavailable, "timeout", Duration(0));
  }
}

void
RelayFlow::OnTick()
{
  const TimePoint now = m_context.Now();
  ReviewStart();
  while (!m_due.empty() && m_due.begin()->first <= now) {
    const CallerId caller = m_due.begin()->second;
    m_due.erase(m_due.begin());
    const auto place = m_byCaller.find(caller);
    if (place != m_byCaller.end()) {
      Expire(*place->second);
    }
  }
  ProbeSilent();
  AverageHeld();
  m_exchange.OnTick(now);
  Dispatch();
  ShareLoads();
  if (m_hadKeys != HasKeys()) {
    m_hadKeys = HasKeys();
    m_context.Log(m_hadKeys ? LogEvent::KeyLeaseRegained
                            : LogEvent::KeyLeaseLost);
  }
}

void
RelayFlow::Forget(Relayed& aRelayed)
{
  LeaveQueue(aRelayed);
  if (aRelayed.m_isRunning) {
    m_context.Cancel(aRelayed.m_call);
    Release(aRelayed);
  }
  const auto [first, last] = m_due.equal_range(aRelayed.m_due);
  for (auto due = first; due != last; ++due) {
    if (due->second == aRelayed.m_caller) {
      m_due.erase(due);
      break;
    }
  }
  m_byCaller.erase(aRelayed.m_caller);
}

} // namespace fulmarquay
