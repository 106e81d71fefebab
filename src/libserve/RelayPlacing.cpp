// Where relayed requests go: workers, the queue for room, what a worker is
// told.
#include "fulmarquay/serve/RelayFlow.h"

#include "RelayConstants.h"
#include <algorithm>
#include <boost/algorithm/string/join.hpp>
#include <cmath>
#include <utility>

namespace fulmarquay {

namespace {

/// A worker's VM acknowledges what it gets within a few ms, whatever its
/// requests wait for. Some lost packets in a row fit in.
constexpr Duration kPeerTimeout(1'000'000);
/// An entry has at most so many times the callers of another one, or so many
/// times fewer.
constexpr double kMostUneven = 3;
/// Held memory is told to the others as its average over about this long.
constexpr double kHeldMicros = 1e6;

/// Prompt tokens that a worker is told to fetch.
std::int64_t
FetchTokens(const RelayOrder& aOrder)
{
  std::int64_t tokens = 0;
  for (const PartSource& source : aOrder.m_fetches) {
    tokens += source.m_address.empty() ? 0 : source.m_tokens;
  }
  return tokens;
}

} // namespace

Placement::Question
RelayFlow::QuestionOf(const Relayed& aRelayed) const
{
  Placement::Question question;
  question.m_now = m_context.Now();
  question.m_pool = aRelayed.m_pool;
  question.m_request = &aRelayed.m_request;
  question.m_hasPrompt = aRelayed.m_rule.m_hasPrompt;
  question.m_account = aRelayed.m_cacheAccount;
  question.m_tried = aRelayed.m_tried;
  question.m_entries = m_entries;
  question.m_others = m_exchange.IsKnown() ? &m_exchange : nullptr;
  question.m_parts = &m_parts;
  question.m_oldWeightsLimit = m_options.m_oldWeightsLimit;
  const PoolRule* pool = m_routes.FindPool(aRelayed.m_pool);
  if (question.m_hasPrompt && pool != nullptr) {
    question.m_needed =
      aRelayed.m_request.m_promptTokens + aRelayed.m_request.m_mostOutputTokens;
    question.m_memory = pool->m_engines.m_cacheTokens;
    question.m_othersHold =
      question.m_others == nullptr ? OthersHold(aRelayed.m_pool) : 0;
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
  const Placement::Choice choice =
    isLate ? Placement::Choice() : m_placement.Choose(m_workers, question);
  if (choice.m_worker != nullptr && !isBehind) {
    LeaveQueue(aRelayed);
    aRelayed.m_counted = choice.m_unread;
    aRelayed.m_held = question.m_needed;
    if (question.m_hasPrompt) {
      m_queues[aRelayed.m_pool].OnSent(question.m_now, question.m_needed);
    }
    Send(aRelayed, *choice.m_worker);
    return;
  }
  const bool mayWait = question.m_hasPrompt && !aRelayed.m_isStreaming &&
                       !aRelayed.m_mayHaveRun &&
                       (choice.m_isFull || choice.m_worker != nullptr);
  if (mayWait) {
    Wait(aRelayed, question.m_needed);
    return;
  }
  const std::string reason = isLate ? "no time left" : "no worker";
  if (aRelayed.m_isStreaming || aRelayed.m_mayHaveRun) {
    Fail(aRelayed, kStatusBadGateway, reason);
  } else {
    Refuse(aRelayed, kStatusUnavailable, reason, kRetryBusy);
  }
}

void
RelayFlow::Wait(Relayed& aRelayed, std::int64_t aTokens)
{
  if (aRelayed.m_isQueued) {
    return;
  }
  AdmissionQueue::Item item;
  item.m_caller = aRelayed.m_caller;
  item.m_rank = aRelayed.m_rank;
  item.m_wanted = aRelayed.m_arrived + Duration(aRelayed.m_rule.m_targetUs);
  item.m_due = aRelayed.m_due;
  item.m_tokens = aTokens;
  const std::optional<Duration> refused =
    m_queues[aRelayed.m_pool].Push(m_context.Now(), item);
  if (refused) {
    Refuse(aRelayed, kStatusUnavailable, "queue too long", *refused);
    return;
  }
  aRelayed.m_isQueued = true;
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
  const auto own = static_cast<double>(m_workers.HeldTokens(aPool));
  return static_cast<std::int64_t>(own * ratio);
}

void
RelayFlow::ShareLoads()
{
  const auto share = m_exchange.TakeShare(m_context.Now(), m_workers);
  if (!share) {
    return;
  }
  for (const Endpoint& partner : m_exchange.Partners()) {
    m_context.Emit(SendToPeer{ partner, *share });
  }
}

void
RelayFlow::AverageHeld()
{
  const TimePoint now = m_context.Now();
  const auto passed = static_cast<double>((now - m_averagedAt).count());
  const double weight = 1 - std::exp(-passed / kHeldMicros);
  m_averagedAt = now;
  for (const auto& [pool, rule] : m_routes.Document().m_pools) {
    const auto held = static_cast<double>(m_workers.HeldTokens(PoolId(pool)));
    double& average = m_heldAverage[pool];
    average += weight * (held - average);
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
      if (queue.Contains(next->m_caller)) {
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
  const std::int64_t version =
    aWorker.m_info.VersionOf(aRelayed.m_request.m_model);
  return MakeCacheScope(version, aRelayed.m_cacheAccount);
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
    order.m_weights = aWorker.m_info.VersionOf(aRelayed.m_request.m_model);
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
      { "fetch", std::to_string(FetchTokens(order)) },
      { "stores", boost::algorithm::join(aRelayed.m_stores, ",") },
      { "running", std::to_string(aWorker.m_running) },
      { "held", std::to_string(aWorker.m_heldTokens) },
      { "age_ms", Millis(Age(aRelayed)) },
      { "left_ms", Millis(order.m_left) } });
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

} // namespace fulmarquay
