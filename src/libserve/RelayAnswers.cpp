// What becomes of relayed requests: workers' answers, faults, ends.
#include "fulmarquay/serve/RelayFlow.h"

#include "RelayConstants.h"
#include <algorithm>
#include <utility>

namespace fulmarquay {

namespace {

/// A worker with requests that sends nothing for this long is tried with a
/// connection: silence alone is no reason to end a request, and a VM that is
/// gone takes no connection.
constexpr Duration kSilence(400'000);
constexpr Duration kProbeInterval(100'000);
/// Unreachable workers that one request tries before it is refused.
constexpr int kMostMisses = 3;

} // namespace

RelayFlow::Relayed*
RelayFlow::Find(CallId aCall)
{
  const auto place = m_byCall.find(aCall);
  return place == m_byCall.end() ? nullptr : place->second;
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
    const bool isSilent =
      known.m_running > 0 && now >= known.m_heard + kSilence;
    const bool mayBeBack = known.m_needsProbe && now >= known.m_suspectUntil;
    if (known.m_isProbed || !(isSilent || mayBeBack)) {
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
    m_workers.OnReachable(aWorker);
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
  m_parts.OnFirstEvent(m_context.Now() - aRelayed.m_sent, aRelayed.m_stores);
  m_placement.OnRead(
    m_context.Now(), *worker, aRelayed.m_request, aRelayed.m_cacheAccount);
  m_context.Counters().Observe("first_event_seconds",
                               static_cast<double>(Age(aRelayed).count()) / 1e6,
                               "route=\"" + aRelayed.m_route + "\"");
}

void
RelayFlow::NoteEvents(Relayed& aRelayed)
{
  const TimePoint now = m_context.Now();
  if (!aRelayed.m_isRead) {
    aRelayed.m_isRead = true;
    OnRead(aRelayed);
  }
  // A stream that another worker went on with has its first event already.
  if (aRelayed.m_firstEvent == TimePoint()) {
    aRelayed.m_firstEvent = now;
  } else {
    aRelayed.m_longestPause =
      std::max(aRelayed.m_longestPause, now - aRelayed.m_lastEvent);
  }
  aRelayed.m_lastEvent = now;
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
  NoteEvents(*relayed);
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
  if (aRelayed.m_facts.m_isMisdirected) {
    m_workers.OnMisdirected(m_context.Now(), aRelayed.m_worker);
    m_context.Log(LogEvent::WorkerSuspected,
                  { { "worker", aRelayed.m_worker.Value() },
                    { "id", aRelayed.m_request.m_id },
                    { "why", "another incarnation or other weights" } });
  }
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
      { "worker", aRelayed.m_worker.Value() },
      { "worker_status", std::to_string(aRelayed.m_facts.m_status) },
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
RelayFlow::LogAnswered(const Relayed& aRelayed, int aStatus)
{
  std::vector<std::pair<std::string, std::string>> fields = {
    { "id", aRelayed.m_request.m_id },
    { "status", std::to_string(aStatus) },
    { "worker", aRelayed.m_worker.Value() },
    { "age_ms", Millis(Age(aRelayed)) }
  };
  if (aRelayed.m_firstEvent != TimePoint()) {
    // A stream comes late by a late first event or by a long pause.
    fields.emplace_back("first_ms",
                        Millis(aRelayed.m_firstEvent - aRelayed.m_arrived));
    fields.emplace_back("pause_ms", Millis(aRelayed.m_longestPause));
  }
  m_context.Log(LogEvent::RequestAnswered, std::move(fields));
}

void
RelayFlow::Finish(Relayed& aRelayed, int aStatus)
{
  m_context.Counters().Count("relay_answered_total",
                             "status=\"" + std::to_string(aStatus) + "\"");
  LogAnswered(aRelayed, aStatus);
  if (aRelayed.m_isStreaming) {
    m_context.Emit(EndCallerStream{ aRelayed.m_caller, true });
  } else {
    m_context.Emit(
      RespondCaller{ aRelayed.m_caller, std::move(aRelayed.m_head) });
  }
  Forget(aRelayed);
}

} // namespace fulmarquay
