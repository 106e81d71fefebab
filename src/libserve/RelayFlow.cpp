#include "fulmarquay/serve/RelayFlow.h"

#include "fulmarquay/core/Digest.h"
#include "fulmarquay/core/Error.h"
#include "fulmarquay/route/RouteDelta.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace fulmarquay {

namespace {

/// Workers are a few ms away: one that does not take a connection within
/// this is down or cut off.
constexpr Duration kConnectTimeout(300'000);
/// A worker's VM acknowledges what it gets within a few ms, whatever its
/// requests wait for. Some lost packets in a row fit in.
constexpr Duration kPeerTimeout(1'000'000);
/// A worker with requests that sends nothing for this long is tried with a
/// connection: silence alone is no reason to end a request, and a VM that is
/// gone takes no connection.
constexpr Duration kSilence(400'000);
constexpr Duration kProbeInterval(100'000);
/// An entry has at most so many times the callers of another one, or so many
/// times fewer.
constexpr double kMostUneven = 3;
/// Held memory is told to the others as its average over about this long.
constexpr double kHeldMicros = 1e6;
/// Unreachable workers that one request tries before it is refused.
constexpr int kMostMisses = 3;
/// A worker can't do anything useful in less.
constexpr Duration kLeastLeft(5'000);
/// Callers come back this much later: an entry that starts or finds its
/// leader again, a worker with a full queue.
constexpr Duration kRetryStart(500'000);
constexpr Duration kRetryBusy(150'000);
/// Another entry takes the request at once.
constexpr Duration kRetrySoon(10'000);
constexpr int kStatusOk = 200;
constexpr int kStatusRedirect = 300;
constexpr int kStatusUnauthorized = 401;
constexpr int kStatusNotFound = 404;
constexpr int kStatusBadRequest = 400;
constexpr int kStatusServerError = 500;
constexpr int kStatusBadGateway = 502;
constexpr int kStatusUnavailable = 503;
constexpr int kStatusGatewayTimeout = 504;

std::string
Millis(Duration aTime)
{
  return std::to_string(aTime.count() / 1'000);
}

} // namespace

RelayFlow::RelayFlow(EntryContext& aContext,
                     const RelayProtocol& aProtocol,
                     RelayOptions aOptions)
  : m_context(aContext)
  , m_protocol(aProtocol)
  , m_options(aOptions)
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
           : m_workersClockMs +
               (m_context.Now() - m_workersClockAt).count() / 1'000;
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
  Admit(added);
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
  aRelayed.m_cacheScope =
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

Placement::Question
RelayFlow::QuestionOf(const Relayed& aRelayed) const
{
  Placement::Question question;
  question.m_now = m_context.Now();
  question.m_pool = aRelayed.m_pool;
  question.m_request = &aRelayed.m_request;
  question.m_hasPrompt = aRelayed.m_rule.m_hasPrompt;
  question.m_cacheScope = aRelayed.m_cacheScope;
  question.m_tried = aRelayed.m_tried;
  question.m_entries = m_entries;
  question.m_parts = &m_parts;
  question.m_oldWeightsLimit = m_options.m_oldWeightsLimit;
  const PoolRule* pool = m_routes.FindPool(aRelayed.m_pool);
  if (question.m_hasPrompt && pool != nullptr) {
    question.m_needed =
      aRelayed.m_request.m_promptTokens + aRelayed.m_request.m_mostOutputTokens;
    question.m_memory = pool->m_engines.m_cacheTokens;
    question.m_othersHold = OthersHold(aRelayed.m_pool);
  }
  return question;
}

void
RelayFlow::Place(Relayed& aRelayed)
{
  const Placement::Question question = QuestionOf(aRelayed);
  const bool isLate = aRelayed.m_due - question.m_now < kLeastLeft;
  // Who waits already goes first.
  const bool isBehind = question.m_hasPrompt && !aRelayed.m_isQueued &&
                        !aRelayed.m_isStreaming &&
                        m_queues[aRelayed.m_pool].Size() > 0;
  WorkerState* worker =
    isLate || isBehind ? nullptr : m_placement.Choose(m_workers, question);
  if (worker != nullptr) {
    LeaveQueue(aRelayed);
    aRelayed.m_counted = aRelayed.m_rule.m_hasPrompt
                           ? m_placement.UncachedTokens(*worker, question)
                           : 0;
    aRelayed.m_held = question.m_needed;
    if (question.m_hasPrompt) {
      m_queues[aRelayed.m_pool].OnSent(question.m_now, question.m_needed);
    }
    Send(aRelayed, *worker);
    return;
  }
  if (!isLate && Wait(aRelayed)) {
    return;
  }
  const std::string reason = isLate ? "no time left" : "no worker";
  if (aRelayed.m_isStreaming || aRelayed.m_mayHaveRun) {
    Fail(aRelayed, kStatusBadGateway, reason);
  } else {
    Refuse(aRelayed, kStatusUnavailable, reason, kRetryBusy);
  }
}

bool
RelayFlow::Wait(Relayed& aRelayed)
{
  Placement::Question anyRoom = QuestionOf(aRelayed);
  anyRoom.m_memory = 0;
  const bool isHopeless = aRelayed.m_isStreaming || aRelayed.m_mayHaveRun ||
                          !anyRoom.m_hasPrompt ||
                          m_placement.Choose(m_workers, anyRoom) == nullptr;
  if (aRelayed.m_isQueued || isHopeless) {
    return aRelayed.m_isQueued && !isHopeless;
  }
  AdmissionQueue::Item item;
  item.m_caller = aRelayed.m_caller;
  item.m_rank = aRelayed.m_rank;
  item.m_wanted = aRelayed.m_arrived + Duration(aRelayed.m_rule.m_targetUs);
  item.m_due = aRelayed.m_due;
  item.m_tokens = anyRoom.m_needed;
  const std::optional<Duration> refused =
    m_queues[aRelayed.m_pool].Push(m_context.Now(), item);
  if (refused) {
    Refuse(aRelayed, kStatusUnavailable, "queue too long", *refused);
    return true;
  }
  aRelayed.m_isQueued = true;
  return true;
}

void
RelayFlow::LeaveQueue(Relayed& aRelayed)
{
  if (aRelayed.m_isQueued) {
    aRelayed.m_isQueued = false;
    m_queues[aRelayed.m_pool].Remove(aRelayed.m_caller);
  }
}

std::int64_t
RelayFlow::OthersHold(const PoolId& aPool) const
{
  std::int64_t own = 0;
  for (const auto& [id, worker] : m_workers.All()) {
    own += worker.m_info.m_pool == aPool ? worker.m_heldTokens : 0;
  }
  // What is told of the others is some seconds old; all entries would follow
  // it at the same time. Their load rises and falls with the own one, in the
  // proportion that is told.
  double ratio = m_entries - 1;
  const auto others = m_othersHold.find(aPool.Value());
  const auto average = m_heldAverage.find(aPool.Value());
  if (others != m_othersHold.end() && average != m_heldAverage.end()) {
    const double told =
      static_cast<double>(others->second) / std::max(1.0, average->second);
    ratio = std::clamp(told, ratio / kMostUneven, ratio * kMostUneven);
  }
  return static_cast<std::int64_t>(static_cast<double>(own) * ratio);
}

void
RelayFlow::AverageHeld()
{
  const TimePoint now = m_context.Now();
  const auto passed = static_cast<double>((now - m_averagedAt).count());
  const double weight = 1 - std::exp(-passed / kHeldMicros);
  m_averagedAt = now;
  std::map<std::string, double> held;
  for (const auto& [id, worker] : m_workers.All()) {
    held[worker.m_info.m_pool.Value()] +=
      static_cast<double>(worker.m_heldTokens);
  }
  for (const auto& [pool, tokens] : held) {
    double& average = m_heldAverage[pool];
    average += weight * (tokens - average);
  }
}

std::map<std::string, std::int64_t>
RelayFlow::HeldTokens() const
{
  std::map<std::string, std::int64_t> held;
  for (const auto& [pool, average] : m_heldAverage) {
    if (average >= 1) {
      held[pool] = static_cast<std::int64_t>(average);
    }
  }
  return held;
}

void
RelayFlow::Dispatch()
{
  for (auto& [pool, queue] : m_queues) {
    while (const auto next = queue.Next(m_context.Now())) {
      Relayed& relayed = *m_byCaller.at(next->m_caller);
      Place(relayed);
      const auto after = queue.Next(m_context.Now());
      if (after && after->m_caller == next->m_caller) {
        break;
      }
    }
  }
}

std::string
RelayFlow::ScopeFor(const Relayed& aRelayed, const WorkerState& aWorker) const
{
  // KV cache of another weight version must never be found: workers and
  // stores keep parts beyond a change of weights.
  const auto weights =
    aWorker.m_info.m_weights.find(aRelayed.m_request.m_model);
  const std::int64_t version =
    weights == aWorker.m_info.m_weights.end() ? 0 : weights->second;
  return MakeCacheScope(version, aRelayed.m_cacheScope);
}

PartMap::Reader
RelayFlow::ReaderAt(const Relayed& aRelayed, const WorkerState& aWorker) const
{
  PartMap::Reader reader;
  reader.m_now = m_context.Now();
  reader.m_clockMs = WorkersClockMs();
  reader.m_dataCentre = aWorker.m_info.m_dataCentre;
  reader.m_entries = m_entries;
  if (const PoolRule* pool = m_routes.FindPool(aRelayed.m_pool)) {
    reader.m_tokenBytes = pool->m_engines.m_tokenBytes;
    reader.m_linkBitsPerSecond = pool->m_engines.m_linkBitsPerSecond;
  }
  return reader;
}

void
RelayFlow::Send(Relayed& aRelayed, WorkerState& aWorker)
{
  aRelayed.m_stores.clear();
  RelayOrder order;
  order.m_worker = aWorker.m_info.m_id.Value();
  order.m_account = aRelayed.m_account;
  order.m_left = aRelayed.m_due - m_context.Now();
  order.m_resumeAfter = aRelayed.m_isStreaming
                          ? aRelayed.m_borders.LastId()
                          : aRelayed.m_request.m_resumeAfter;
  if (aRelayed.m_rule.m_hasPrompt) {
    order.m_rank = aRelayed.m_rank;
    order.m_cacheScope = ScopeFor(aRelayed, aWorker);
    const auto weights =
      aWorker.m_info.m_weights.find(aRelayed.m_request.m_model);
    if (weights != aWorker.m_info.m_weights.end()) {
      order.m_weights = weights->second;
    }
    m_parts.Plan(ReaderAt(aRelayed, aWorker), aRelayed.m_request, order);
    for (const PartSource& source : order.m_fetches) {
      if (!source.m_address.empty()) {
        aRelayed.m_stores.insert(source.m_address);
      }
    }
  }
  HttpCall call;
  call.m_peer = aWorker.m_address;
  call.m_request = m_protocol.Encode(aRelayed.m_request, order);
  call.m_idleTimeout = Duration(0);
  call.m_connectTimeout = std::min(kConnectTimeout, order.m_left);
  call.m_peerTimeout = kPeerTimeout;
  call.m_answerMark = m_protocol.AnswerMark(aRelayed.m_request);
  aRelayed.m_worker = aWorker.m_info.m_id;
  aRelayed.m_tried.insert(aRelayed.m_worker);
  aRelayed.m_sent = m_context.Now();
  aRelayed.m_isRead = false;
  aRelayed.m_isRunning = true;
  ++aRelayed.m_sends;
  if (aWorker.m_running++ == 0) {
    aWorker.m_heard = m_context.Now();
  }
  aWorker.m_waitingTokens += aRelayed.m_counted;
  aWorker.m_heldTokens += aRelayed.m_held;
  aRelayed.m_call = m_context.Call(std::move(call), *this);
  m_byCall[aRelayed.m_call] = &aRelayed;
  m_context.Log(
    LogEvent::RequestSent,
    { { "id", aRelayed.m_request.m_id },
      { "route", aRelayed.m_route },
      { "revision", std::to_string(m_routes.Document().m_revision.Value()) },
      { "worker", order.m_worker },
      { "list", std::to_string(m_workers.Number()) },
      { "send", std::to_string(aRelayed.m_sends) },
      { "uncached", std::to_string(aRelayed.m_counted) },
      { "running", std::to_string(aWorker.m_running) },
      { "held", std::to_string(aWorker.m_heldTokens) },
      { "age_ms", Millis(Age(aRelayed)) },
      { "left_ms", Millis(order.m_left) } });
}

RelayFlow::Relayed*
RelayFlow::Find(CallId aCall)
{
  const auto place = m_byCall.find(aCall);
  return place == m_byCall.end() ? nullptr : place->second;
}

void
RelayFlow::Release(Relayed& aRelayed)
{
  if (!aRelayed.m_isRunning) {
    return;
  }
  aRelayed.m_isRunning = false;
  m_byCall.erase(aRelayed.m_call);
  if (WorkerState* worker = m_workers.Find(aRelayed.m_worker)) {
    worker->m_running = std::max<std::int64_t>(0, worker->m_running - 1);
    worker->m_waitingTokens =
      std::max<std::int64_t>(0, worker->m_waitingTokens - aRelayed.m_counted);
    worker->m_heldTokens =
      std::max<std::int64_t>(0, worker->m_heldTokens - aRelayed.m_held);
  }
  aRelayed.m_counted = 0;
  aRelayed.m_held = 0;
}

void
RelayFlow::Heard(const Relayed& aRelayed)
{
  if (WorkerState* worker = m_workers.Find(aRelayed.m_worker)) {
    worker->m_heard = m_context.Now();
  }
}

void
RelayFlow::ProbeSilent()
{
  const TimePoint now = m_context.Now();
  if (now < m_nextProbe) {
    return;
  }
  m_nextProbe = now + kProbeInterval;
  for (const auto& [id, known] : m_workers.All()) {
    const bool isSilent = known.m_running > 0 && !known.m_isProbed &&
                          now >= known.m_heard + kSilence;
    if (!isSilent) {
      continue;
    }
    HttpCall call;
    call.m_peer = known.m_address;
    call.m_isProbe = true;
    call.m_connectTimeout = kConnectTimeout;
    m_workers.Find(id)->m_isProbed = true;
    m_probes[m_context.Call(std::move(call), *this)] = id;
  }
}

void
RelayFlow::OnProbed(const WorkerId& aWorker, CallEnd aEnd)
{
  WorkerState* worker = m_workers.Find(aWorker);
  if (worker != nullptr) {
    worker->m_isProbed = false;
    worker->m_heard = m_context.Now();
  }
  if (aEnd == CallEnd::Whole) {
    return;
  }
  m_workers.OnFailure(m_context.Now(), aWorker);
  m_context.Log(LogEvent::WorkerSuspected,
                { { "worker", aWorker.Value() },
                  { "why", "silent, and takes no connection" } });
  std::vector<CallId> lost;
  for (const auto& [call, relayed] : m_byCall) {
    if (relayed->m_worker == aWorker) {
      lost.push_back(call);
    }
  }
  for (const CallId call : lost) {
    Relayed* relayed = Find(call);
    m_context.Cancel(call);
    Release(*relayed);
    relayed->m_mayHaveRun = true;
    OnBroken(*relayed, "the worker is gone");
  }
}

void
RelayFlow::OnHead(CallId aCall, const HttpResponse& aHead)
{
  Relayed* relayed = Find(aCall);
  if (relayed == nullptr) {
    return;
  }
  Heard(*relayed);
  relayed->m_facts = m_protocol.ReadHead(aHead);
  const RelayHead& facts = relayed->m_facts;
  const bool isGood =
    facts.m_status >= kStatusOk && facts.m_status < kStatusRedirect;
  if (relayed->m_isStreaming) {
    return;
  }
  relayed->m_head = m_protocol.CallerHead(aHead);
  if (isGood && facts.m_isProven && facts.m_isStream) {
    relayed->m_isStreaming = true;
    m_context.Emit(BeginCallerStream{ relayed->m_caller, relayed->m_head });
  }
}

void
RelayFlow::OnRead(Relayed& aRelayed)
{
  WorkerState* worker = m_workers.Find(aRelayed.m_worker);
  if (worker == nullptr) {
    return;
  }
  worker->m_waitingTokens =
    std::max<std::int64_t>(0, worker->m_waitingTokens - aRelayed.m_counted);
  aRelayed.m_counted = 0;
  m_placement.OnRead(
    m_context.Now(), *worker, aRelayed.m_request, aRelayed.m_cacheScope);
  m_context.Counters().Observe("first_event_seconds",
                               static_cast<double>(Age(aRelayed).count()) / 1e6,
                               "route=\"" + aRelayed.m_route + "\"");
}

void
RelayFlow::OnData(CallId aCall, const std::string& aData)
{
  Relayed* relayed = Find(aCall);
  if (relayed == nullptr) {
    return;
  }
  Heard(*relayed);
  const bool isGood = relayed->m_facts.m_status >= kStatusOk &&
                      relayed->m_facts.m_status < kStatusRedirect;
  if (!relayed->m_isStreaming) {
    relayed->m_head.m_body += aData;
    return;
  }
  if (!isGood) {
    return;
  }
  if (!relayed->m_isRead) {
    relayed->m_isRead = true;
    OnRead(*relayed);
  }
  std::string events = relayed->m_borders.Feed(aData);
  if (!events.empty()) {
    m_context.Emit(WriteCallerStream{ relayed->m_caller, std::move(events) });
  }
}

void
RelayFlow::OnEnd(CallId aCall, CallEnd aEnd, const std::string& aWhy)
{
  const auto probe = m_probes.find(aCall);
  if (probe != m_probes.end()) {
    const WorkerId worker = probe->second;
    m_probes.erase(probe);
    OnProbed(worker, aEnd);
    return;
  }
  Relayed* relayed = Find(aCall);
  if (relayed == nullptr) {
    return;
  }
  Release(*relayed);
  if (aEnd == CallEnd::NotSent) {
    OnUnreached(*relayed, aWhy);
  } else if (aEnd == CallEnd::Whole && relayed->m_facts.m_isNotRun) {
    OnNotRun(*relayed);
  } else if (aEnd == CallEnd::Whole) {
    OnWhole(*relayed);
  } else {
    relayed->m_mayHaveRun = true;
    OnBroken(*relayed, aWhy);
  }
  Dispatch();
}

void
RelayFlow::OnWhole(Relayed& aRelayed)
{
  const RelayHead& facts = aRelayed.m_facts;
  const bool isGood =
    facts.m_status >= kStatusOk && facts.m_status < kStatusRedirect;
  aRelayed.m_mayHaveRun = true;
  if (isGood && (!facts.m_isProven || aRelayed.m_borders.HasPartial())) {
    OnBroken(aRelayed, "the answer is not the worker's whole one");
    return;
  }
  if (isGood) {
    m_workers.OnSuccess(aRelayed.m_worker);
  }
  if (aRelayed.m_isStreaming && !isGood) {
    // A worker refused to go on with a stream that another one began.
    OnBroken(aRelayed, "status " + std::to_string(facts.m_status));
    return;
  }
  const bool isFailure = facts.m_status >= kStatusServerError;
  if (isFailure && aRelayed.m_rule.MayRepeat() && TakeRepeat(aRelayed)) {
    Place(aRelayed);
    return;
  }
  Finish(aRelayed, facts.m_status);
}

void
RelayFlow::OnNotRun(Relayed& aRelayed)
{
  if (TakeRepeat(aRelayed)) {
    Place(aRelayed);
    return;
  }
  if (aRelayed.m_isStreaming || aRelayed.m_mayHaveRun) {
    Fail(aRelayed, kStatusBadGateway, "no worker went on");
    return;
  }
  Refuse(aRelayed, kStatusUnavailable, "the worker refused", kRetryBusy);
}

void
RelayFlow::OnUnreached(Relayed& aRelayed, const std::string& aWhy)
{
  m_workers.OnFailure(m_context.Now(), aRelayed.m_worker);
  m_context.Log(LogEvent::WorkerSuspected,
                { { "worker", aRelayed.m_worker.Value() },
                  { "id", aRelayed.m_request.m_id },
                  { "why", aWhy } });
  // Nothing arrived there: it counts neither as a send nor as a repeat.
  --aRelayed.m_sends;
  if (++aRelayed.m_misses > kMostMisses) {
    if (aRelayed.m_isStreaming || aRelayed.m_mayHaveRun) {
      Fail(aRelayed, kStatusBadGateway, "no worker reached");
    } else {
      Refuse(aRelayed, kStatusUnavailable, "no worker reached", kRetryBusy);
    }
    return;
  }
  Place(aRelayed);
}

bool
RelayFlow::MayResume(const Relayed& aRelayed) const
{
  return aRelayed.m_rule.Kind() == Repetition::Stream &&
         aRelayed.m_rule.m_isResumable;
}

bool
RelayFlow::TakeRepeat(Relayed& aRelayed)
{
  const bool isAllowed = aRelayed.m_sends < aRelayed.m_rule.m_attempts &&
                         aRelayed.m_due - m_context.Now() > kLeastLeft;
  if (!isAllowed || !BudgetOf(aRelayed.m_pool).Take()) {
    return false;
  }
  m_context.Log(LogEvent::RequestRepeated,
                { { "id", aRelayed.m_request.m_id },
                  { "after", aRelayed.m_worker.Value() },
                  { "status", std::to_string(aRelayed.m_facts.m_status) },
                  { "sends", std::to_string(aRelayed.m_sends) } });
  return true;
}

void
RelayFlow::OnBroken(Relayed& aRelayed, const std::string& aWhy)
{
  m_workers.OnFailure(m_context.Now(), aRelayed.m_worker);
  aRelayed.m_borders.DropPartial();
  aRelayed.m_head.m_body.clear();
  const bool mayGoOn = aRelayed.m_rule.MayRepeat() || MayResume(aRelayed);
  if (mayGoOn && TakeRepeat(aRelayed)) {
    Place(aRelayed);
    return;
  }
  Fail(aRelayed, kStatusBadGateway, aWhy);
}

void
RelayFlow::Refuse(Relayed& aRelayed,
                  int aStatus,
                  const std::string& aReason,
                  Duration aRetryAfter)
{
  m_context.Counters().Count("relay_refused_total",
                             "reason=\"" + aReason + "\"");
  m_context.Log(
    LogEvent::RequestRefused,
    { { "id", aRelayed.m_request.m_id },
      { "status", std::to_string(aStatus) },
      { "reason", aReason },
      { "route", aRelayed.m_route },
      { "revision", std::to_string(m_routes.Document().m_revision.Value()) },
      { "keys", HasKeys() ? "confirmed" : "unconfirmed" },
      { "age_ms", Millis(Age(aRelayed)) } });
  m_context.Emit(RespondCaller{
    aRelayed.m_caller,
    m_protocol.Refuse(aRelayed.m_request, { aStatus, aReason, aRetryAfter }) });
  Forget(aRelayed);
}

void
RelayFlow::Fail(Relayed& aRelayed, int aStatus, const std::string& aReason)
{
  m_context.Counters().Count("relay_failed_total",
                             "status=\"" + std::to_string(aStatus) + "\"");
  m_context.Log(LogEvent::RequestFailed,
                { { "id", aRelayed.m_request.m_id },
                  { "status", std::to_string(aStatus) },
                  { "reason", aReason },
                  { "worker", aRelayed.m_worker.Value() },
                  { "streaming", aRelayed.m_isStreaming ? "yes" : "no" },
                  { "event", std::to_string(aRelayed.m_borders.LastId()) },
                  { "age_ms", Millis(Age(aRelayed)) } });
  if (aRelayed.m_isStreaming) {
    m_context.Emit(EndCallerStream{ aRelayed.m_caller, false });
  } else {
    m_context.Emit(
      RespondCaller{ aRelayed.m_caller,
                     m_protocol.Refuse(aRelayed.m_request,
                                       { aStatus, aReason, Duration(0) }) });
  }
  Forget(aRelayed);
}

void
RelayFlow::Finish(Relayed& aRelayed, int aStatus)
{
  m_context.Counters().Count("relay_answered_total",
                             "status=\"" + std::to_string(aStatus) + "\"");
  m_context.Log(LogEvent::RequestAnswered,
                { { "id", aRelayed.m_request.m_id },
                  { "status", std::to_string(aStatus) },
                  { "worker", aRelayed.m_worker.Value() },
                  { "age_ms", Millis(Age(aRelayed)) } });
  if (aRelayed.m_isStreaming) {
    m_context.Emit(EndCallerStream{ aRelayed.m_caller, true });
  } else {
    m_context.Emit(
      RespondCaller{ aRelayed.m_caller, std::move(aRelayed.m_head) });
  }
  Forget(aRelayed);
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
  Dispatch();
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
