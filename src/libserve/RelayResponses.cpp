// Responses and failures of workers, and completion of relayed requests.
#include "fulmarquay/serve/RelayFlow.h"

#include "RelayConstants.h"
#include "fulmarquay/core/Digest.h"

#include <algorithm>
#include <boost/algorithm/string/join.hpp>
#include <utility>

namespace fulmarquay {

namespace {

/// Limits of the memory for answers that are held until they are complete: of
/// one answer, as for a caller's body, and of all. Together with the buffers of
/// connections they stay well below the memory of an entry's VM.
constexpr std::size_t kMaxHeldBodyBytes = 4U << 20U;
constexpr std::size_t kMaxAllHeldBodyBytes = 24U << 20U;
/// Limit of one event of a stream, which is held until its end.
constexpr std::size_t kMaxEventBytes = 256U << 10U;
/// Failed connection attempts per request before it is passed to another entry
/// or refused. Requests of an unreached pool are passed on without any.
constexpr int kMaxUnreachedWorkers = 3;

/// Whether callers take a status as the statement that the request was not run.
bool
MeansNotRun(int aStatus)
{
  return aStatus == kStatusRequestTimeout || aStatus == kStatusMisdirected ||
         aStatus == kStatusTooManyRequests || aStatus == kStatusUnavailable;
}

} // namespace

RelayFlow::ActiveRequest*
RelayFlow::Find(CallId aCall)
{
  const auto found = m_byCall.find(aCall);
  return found == m_byCall.end() ? nullptr : found->second;
}

void
RelayFlow::OnWorkerActivity(const ActiveRequest& aActive)
{
  WorkerState* worker = m_workers.Find(aActive.m_worker);
  if (worker != nullptr && !IsPassed(aActive)) {
    worker->m_lastActivityAt = m_context.Now();
    m_limiter.Restarts().OnData(worker->m_info, aActive.m_sentAt, m_lastTickAt);
  }
}

void
RelayFlow::LogLeaving(const WorkerId& aWorker, const std::string& aSource)
{
  m_context.Log(LogEvent::WorkerAnnouncedLeaving,
                { { "worker", aWorker.Value() }, { "source", aSource } });
}

void
RelayFlow::RecordAnnouncements(const ActiveRequest& aActive)
{
  const WorkerResponseHead& head = aActive.m_workerHead;
  // A misdirected request was answered by another worker at this address.
  if (head.m_isMisdirected) {
    return;
  }
  if (head.m_isLeaving &&
      m_workers.OnLeavingAnnounced(m_context.Now(), aActive.m_worker)) {
    LogLeaving(aActive.m_worker, "answer");
  }
  if (const WorkerState* worker = m_workers.Find(aActive.m_worker)) {
    RecordLimit(aActive, worker->m_info);
  }
  // A pause applies only to the entry that called the worker.
  if (head.m_pause > Duration(0) && !IsPassed(aActive)) {
    m_workers.OnPauseRequested(m_context.Now(), aActive.m_worker, head.m_pause);
    m_context.Log(LogEvent::WorkerPaused,
                  { { "worker", aActive.m_worker.Value() },
                    { "id", aActive.m_request.m_id },
                    { "pause_ms", FormatMillis(head.m_pause) } });
  }
}

void
RelayFlow::OnLoads(const WorkerLoads& aLoads)
{
  m_exchange.OnLoads(m_context.Now(), aLoads);
  for (const LeavingWorker& leaving : aLoads.m_leaving) {
    const WorkerId worker(leaving.m_worker);
    if (m_workers.OnLeavingReported(
          m_context.Now(), worker, leaving.m_createdMs)) {
      LogLeaving(worker, aLoads.m_vm.Value());
    }
  }
  for (const Restart& restart : aLoads.m_restarts) {
    const WorkerState* worker = m_workers.Find(WorkerId(restart.m_worker));
    if (worker != nullptr &&
        m_limiter.OnRestartReported(m_context.Now(), worker->m_info, restart)) {
      LogPossibleRestart(worker->m_info.m_id, aLoads.m_vm.Value());
    }
  }
  for (const LinkUse& use : aLoads.m_linkUse) {
    m_partMap.OnReservedByOther(m_context.Now(), use);
  }
  for (const WorkerReads& reads : aLoads.m_reads) {
    const WorkerState* worker = m_workers.Find(WorkerId(reads.m_worker));
    if (worker != nullptr && worker->m_info.m_createdMs == reads.m_createdMs) {
      m_caches.OnRead(m_context.Now(),
                      *worker,
                      reads.m_parts,
                      CacheBudget(worker->m_info.m_pool));
    }
  }
}

Duration
RelayFlow::RetryAfterFor(const PoolId& aPool) const
{
  return std::max(kBusyRetryAfter,
                  m_workers.ShortestPause(m_context.Now(), aPool));
}

void
RelayFlow::AbortCall(ActiveRequest& aActive, const std::string& aReason)
{
  m_context.Cancel(aActive.m_call);
  ReleaseWorker(aActive);
  aActive.m_mayHaveRun = true;
  OnBroken(aActive, aReason);
  DispatchQueued();
}

void
RelayFlow::OnHead(CallId aCall, const HttpResponse& aHead)
{
  ActiveRequest* active = Find(aCall);
  if (active == nullptr) {
    return;
  }
  OnWorkerActivity(*active);
  active->m_workerHead = m_protocol.ReadHead(aHead);
  active->m_endsWithConnection = aHead.m_endsWithConnection;
  if (IsPassed(*active)) {
    OnPassedHead(*active, aHead);
  } else {
    m_reach.OnAnswered(active->m_pool, active->m_sentAt);
    m_workers.OnAnswered(
      m_context.Now(), active->m_worker, aHead.m_connectedAt, active->m_sentAt);
    if (const WorkerState* worker = m_workers.Find(active->m_worker)) {
      m_limiter.Restarts().OnAnswered(
        worker->m_info, aHead.m_connectedAt, active->m_sentAt);
    }
  }
  RecordAnnouncements(*active);
  const WorkerResponseHead& workerHead = active->m_workerHead;
  const bool isSuccess = workerHead.IsSuccess();
  if (isSuccess && !workerHead.m_isSigned) {
    // Not the worker's answer; its body may have no end.
    AbortCall(*active, "the answer is not signed");
    return;
  }
  if (active->m_isStreaming) {
    if (isSuccess && !workerHead.m_isStream) {
      AbortCall(*active, "the answer does not continue the stream");
    }
    return;
  }
  ReleaseBody(*active);
  active->m_callerHead = m_protocol.ToCallerHead(aHead);
  if (active->m_isFromPeer) {
    m_protocol.MarkPassed(active->m_callerHead,
                          { PassRefusal::None,
                            active->m_worker.Value(),
                            active->m_pool.Value(),
                            active->m_software.Value() });
  }
  if (isSuccess && workerHead.m_isStream) {
    active->m_isStreaming = true;
    m_context.Emit(BeginCallerStream{ active->m_caller, active->m_callerHead });
  }
}

void
RelayFlow::OnPrefillDone(ActiveRequest& aActive)
{
  m_context.Counters().Observe("first_event_seconds",
                               static_cast<double>(Age(aActive).count()) / 1e6,
                               "route=\"" + aActive.m_routeName + "\"");
  WorkerState* worker = m_workers.Find(aActive.m_worker);
  // The entry that called the worker reports its reads.
  if (worker == nullptr || IsPassed(aActive)) {
    return;
  }
  worker->m_pendingPrefillTokens = std::max<std::int64_t>(
    0, worker->m_pendingPrefillTokens - aActive.m_pendingPrefillTokens);
  // The time of a fetch is not that of reading.
  if (aActive.m_stores.empty()) {
    m_pools[aActive.m_pool].m_rate.OnFirstEvent(aActive.m_worker.Value(),
                                                aActive.m_pendingPrefillTokens,
                                                aActive.m_tokensAhead,
                                                m_context.Now() -
                                                  aActive.m_sentAt);
  }
  aActive.m_pendingPrefillTokens = 0;
  m_partMap.OnFirstEvent(m_context.Now() - aActive.m_sentAt, aActive.m_stores);
  RecordReads(aActive, *worker);
}

void
RelayFlow::RecordFailedStart(const ActiveRequest& aActive)
{
  if (aActive.m_hasFirstEvent || IsPassed(aActive)) {
    return;
  }
  // A worker that answers without events has run the request by then.
  const bool hasHead =
    aActive.m_rule.m_hasPrompt && aActive.m_workerHead.m_status != 0;
  m_partWatch.OnFailedStart(
    m_context.Now(), aActive.m_worker, hasHead, aActive.m_partIds);
  std::vector<std::string> ids;
  for (const RequestPartId part : aActive.m_partIds) {
    ids.push_back(HexOf(part.Value()));
  }
  const std::string whole = ids.back();
  ids.pop_back();
  m_context.Log(LogEvent::AnswerFailedAtStart,
                { { "id", aActive.m_request.m_id },
                  { "worker", aActive.m_worker.Value() },
                  { "head", hasHead ? "yes" : "no" },
                  { "request", whole },
                  { "parts", boost::algorithm::join(ids, ",") } });
}

void
RelayFlow::OnData(CallId aCall, const std::string& aData)
{
  ActiveRequest* active = Find(aCall);
  if (active == nullptr) {
    return;
  }
  OnWorkerActivity(*active);
  if (!active->m_isStreaming) {
    if (!HoldBody(*active, aData)) {
      AbortCall(*active, "the answer is too large");
    }
    return;
  }
  if (!active->m_workerHead.IsSuccess()) {
    return;
  }
  std::string events = active->m_eventSplitter.Feed(aData);
  if (!events.empty()) {
    RecordEvents(*active);
    m_context.Emit(WriteCallerStream{ active->m_caller, std::move(events) });
  }
  if (active->m_eventSplitter.HasInvalidEvent()) {
    AbortCall(*active, "an event comes again, or is another answer");
  } else if (active->m_eventSplitter.PartialBytes() > kMaxEventBytes) {
    AbortCall(*active, "an event has no end");
  }
}

bool
RelayFlow::HoldBody(ActiveRequest& aActive, const std::string& aData)
{
  std::string& body = aActive.m_callerHead.m_body;
  if (body.size() + aData.size() > kMaxHeldBodyBytes ||
      m_heldBodyBytes + aData.size() > kMaxAllHeldBodyBytes) {
    return false;
  }
  body += aData;
  m_heldBodyBytes += aData.size();
  return true;
}

void
RelayFlow::ReleaseBody(ActiveRequest& aActive)
{
  m_heldBodyBytes -= aActive.m_callerHead.m_body.size();
  aActive.m_callerHead.m_body.clear();
}

void
RelayFlow::OnEnd(CallId aCall, CallResult aEnd, const std::string& aReason)
{
  const auto probe = m_probes.find(aCall);
  if (probe != m_probes.end()) {
    const WorkerId worker = probe->second;
    m_probes.erase(probe);
    OnProbeEnd(worker, aEnd);
    return;
  }
  ActiveRequest* active = Find(aCall);
  if (active == nullptr) {
    return;
  }
  ReleaseWorker(*active);
  if (aEnd == CallResult::NotEncoded) {
    OnNotEncoded(*active);
  } else if (IsPassed(*active)) {
    OnPassEnd(*active, aEnd, aReason);
  } else if (aEnd == CallResult::NotSent) {
    OnNotSent(*active, aReason);
  } else if (aEnd == CallResult::Complete &&
             active->m_workerHead.m_isNotExecuted &&
             !active->m_workerHead.IsSuccess()) {
    OnNotExecuted(*active);
  } else if (aEnd == CallResult::Complete) {
    OnComplete(*active);
  } else {
    active->m_mayHaveRun = true;
    RecordFailedStart(*active);
    OnBroken(*active, aReason);
  }
  DispatchQueued();
}

void
RelayFlow::OnComplete(ActiveRequest& aActive)
{
  const WorkerResponseHead& workerHead = aActive.m_workerHead;
  const bool isSuccess = workerHead.IsSuccess();
  aActive.m_mayHaveRun = true;
  // A worker that ends before its first event closes its connections too. Only
  // a resumed stream may have no events left.
  const bool isCutBeforeFirstEvent = aActive.m_isStreaming &&
                                     aActive.m_endsWithConnection &&
                                     aActive.m_eventSplitter.LastId() < 0;
  if (isSuccess && (!workerHead.m_isSigned || isCutBeforeFirstEvent ||
                    aActive.m_eventSplitter.HasPartial())) {
    RecordFailedStart(aActive);
    OnBroken(aActive, "the answer is not the worker's whole one");
    return;
  }
  if (isSuccess && !IsPassed(aActive)) {
    m_workers.OnSuccess(aActive.m_worker);
  }
  if (workerHead.m_isSigned && !aActive.m_hasFirstEvent) {
    m_partWatch.OnSound(m_context.Now(), aActive.m_partIds);
  }
  if (aActive.m_isStreaming && !isSuccess) {
    // The worker refused to resume a stream that another worker began.
    OnBroken(aActive, "status " + std::to_string(workerHead.m_status));
    return;
  }
  const bool isFailure = workerHead.m_status >= kStatusServerError;
  if (isFailure && aActive.m_rule.IsIdempotent() && TakeRetry(aActive)) {
    Place(aActive);
    return;
  }
  const bool mayRepeat = aActive.m_rule.IsIdempotent() || MayResume(aActive);
  if (!mayRepeat && MeansNotRun(workerHead.m_status)) {
    Fail(aActive, kStatusBadGateway, "the worker may have run the request");
    return;
  }
  Finish(aActive, workerHead.m_status);
}

void
RelayFlow::OnNotExecuted(ActiveRequest& aActive)
{
  if (aActive.m_workerHead.m_isMisdirected) {
    m_workers.OnMisdirected(m_context.Now(), aActive.m_worker);
    m_context.Log(LogEvent::WorkerSuspected,
                  { { "worker", aActive.m_worker.Value() },
                    { "id", aActive.m_request.m_id },
                    { "why", "another incarnation or other weights" } });
  } else {
    PauseLoadingWorker(aActive);
  }
  if (TakeRetry(aActive)) {
    Place(aActive);
    return;
  }
  if (aActive.m_isStreaming || aActive.m_mayHaveRun) {
    Fail(aActive, kStatusBadGateway, "no worker went on");
    return;
  }
  Refuse(aActive,
         kStatusUnavailable,
         "the worker refused",
         RetryAfterFor(aActive.m_pool));
}

void
RelayFlow::OnNotSent(ActiveRequest& aActive, const std::string& aReason)
{
  if (!aActive.m_needsOpenConnection) {
    m_workers.OnFailure(m_context.Now(),
                        aActive.m_worker,
                        WorkerFailure::Unreached,
                        m_context.Now());
  }
  m_context.Log(LogEvent::WorkerSuspected,
                { { "worker", aActive.m_worker.Value() },
                  { "id", aActive.m_request.m_id },
                  { "why", aReason } });
  if (const WorkerState* worker = m_workers.Find(aActive.m_worker)) {
    m_limiter.OnNotSent(worker->m_info);
    if (aActive.m_needsOpenConnection) {
      m_limiter.Restarts().OnNoOldConnection(worker->m_info);
    } else {
      RecordPossibleRestart(aActive.m_worker, m_context.Now());
    }
  }
  // The worker received nothing: this counts neither as a send nor as a retry.
  --aActive.m_sendCount;
  if (aActive.m_needsOpenConnection) {
    Place(aActive);
    return;
  }
  OnPoolFailure(aActive.m_pool, aActive.m_worker);
  if (++aActive.m_unreachedCount > kMaxUnreachedWorkers) {
    if (PassOn(aActive, "workers not reached")) {
      return;
    }
    GiveUp(
      aActive, "no worker reached", kBusyRetryAfter, PassRefusal::Elsewhere);
    return;
  }
  Place(aActive);
}

void
RelayFlow::OnNotEncoded(ActiveRequest& aActive)
{
  // The same for all workers and entries, and none of them has failed.
  --aActive.m_sendCount;
  if (const WorkerState* worker = m_workers.Find(aActive.m_worker)) {
    m_limiter.OnNotSent(worker->m_info);
  }
  const std::string reason = "the request can't be forwarded";
  if (aActive.m_isStreaming || aActive.m_mayHaveRun) {
    Fail(aActive, kStatusBadGateway, reason);
    return;
  }
  Refuse(aActive, kStatusHeaderTooLarge, reason, Duration(0));
}

bool
RelayFlow::MayResume(const ActiveRequest& aActive) const
{
  return aActive.m_rule.Kind() == RetryPolicy::Stream &&
         aActive.m_rule.m_isResumable;
}

bool
RelayFlow::TakeRetry(ActiveRequest& aActive)
{
  const bool isAllowed = aActive.m_sendCount < aActive.m_rule.m_maxAttempts &&
                         aActive.m_expiresAt - m_context.Now() > kMinTimeLeft;
  if (!isAllowed || !RetryBudgetFor(aActive.m_pool).Take()) {
    return false;
  }
  m_context.Log(LogEvent::RequestRepeated,
                { { "id", aActive.m_request.m_id },
                  { "after", aActive.m_worker.Value() },
                  { "status", std::to_string(aActive.m_workerHead.m_status) },
                  { "sends", std::to_string(aActive.m_sendCount) } });
  return true;
}

void
RelayFlow::OnBroken(ActiveRequest& aActive, const std::string& aReason)
{
  if (!IsPassed(aActive)) {
    m_workers.OnFailure(m_context.Now(),
                        aActive.m_worker,
                        WorkerFailure::BrokenAnswer,
                        aActive.m_sentAt);
    RecordPossibleRestart(aActive.m_worker, aActive.m_sentAt);
  }
  aActive.m_eventSplitter.DropPartial();
  ReleaseBody(aActive);
  if (MayRepeat(aActive) && TakeRetry(aActive)) {
    Place(aActive);
    return;
  }
  Fail(aActive, kStatusBadGateway, aReason);
}

void
RelayFlow::Refuse(ActiveRequest& aActive,
                  int aStatus,
                  const std::string& aReason,
                  Duration aRetryAfter,
                  PassRefusal aKind)
{
  m_context.Counters().Count("relay_refused_total",
                             "reason=\"" + aReason + "\"");
  const WorkerTable::Counts workers =
    m_workers.CountsOf(m_context.Now(), aActive.m_pool);
  LogFields fields = {
    { "id", aActive.m_request.m_id },
    { "status", std::to_string(aStatus) },
    { "reason", aReason },
    { "route", aActive.m_routeName },
    { "worker", aActive.m_worker.Value() },
    { "worker_status", std::to_string(aActive.m_workerHead.m_status) },
    { "revision", std::to_string(m_routes.Document().m_revision.Value()) },
    { "keys", HasKeyLease() ? "confirmed" : "unconfirmed" },
    { "pool", aActive.m_pool.Value() },
    { "listed", std::to_string(workers.m_listed) },
    { "unreached", std::to_string(workers.m_unreached) },
    { "age_ms", FormatMillis(Age(aActive)) }
  };
  AppendKeyFields(aActive, fields);
  m_context.Log(LogEvent::RequestRefused, std::move(fields));
  HttpResponse response =
    m_protocol.Refuse(aActive.m_request, { aStatus, aReason, aRetryAfter });
  if (aActive.m_isFromPeer) {
    const bool wasSent = aActive.m_sendCount > 0 || aActive.m_mayHaveRun;
    PassedAnswer answer;
    answer.m_refusal = wasSent ? PassRefusal::Final : aKind;
    m_protocol.MarkPassed(response, answer);
  }
  m_context.Emit(RespondCaller{ aActive.m_caller, std::move(response) });
  Remove(aActive);
}

void
RelayFlow::Fail(ActiveRequest& aActive, int aStatus, const std::string& aReason)
{
  m_context.Counters().Count("relay_failed_total",
                             "status=\"" + std::to_string(aStatus) + "\"");
  m_context.Log(LogEvent::RequestFailed,
                { { "id", aActive.m_request.m_id },
                  { "status", std::to_string(aStatus) },
                  { "reason", aReason },
                  { "worker", aActive.m_worker.Value() },
                  { "streaming", aActive.m_isStreaming ? "yes" : "no" },
                  { "event", std::to_string(aActive.m_eventSplitter.LastId()) },
                  { "age_ms", FormatMillis(Age(aActive)) } });
  if (aActive.m_isStreaming) {
    m_context.Emit(EndCallerStream{ aActive.m_caller, false });
  } else {
    m_context.Emit(
      RespondCaller{ aActive.m_caller,
                     m_protocol.Refuse(aActive.m_request,
                                       { aStatus, aReason, Duration(0) }) });
  }
  Remove(aActive);
}

void
RelayFlow::GiveUp(ActiveRequest& aActive,
                  const std::string& aReason,
                  Duration aRetryAfter,
                  PassRefusal aKind)
{
  if (aActive.m_isStreaming || aActive.m_mayHaveRun) {
    Fail(aActive, kStatusBadGateway, aReason);
  } else {
    Refuse(aActive, kStatusUnavailable, aReason, aRetryAfter, aKind);
  }
}

void
RelayFlow::LogAnswered(const ActiveRequest& aActive, int aStatus)
{
  LogFields fields = { { "id", aActive.m_request.m_id },
                       { "status", std::to_string(aStatus) },
                       { "worker", aActive.m_worker.Value() },
                       { "entry", aActive.m_neighbour.Value() },
                       { "event",
                         std::to_string(aActive.m_eventSplitter.LastId()) },
                       { "age_ms", FormatMillis(Age(aActive)) } };
  if (aActive.m_firstEventAt != TimePoint()) {
    // A stream is late because of a late first event or a long gap between
    // events.
    fields.emplace_back(
      "first_ms", FormatMillis(aActive.m_firstEventAt - aActive.m_arrivedAt));
    fields.emplace_back("pause_ms", FormatMillis(aActive.m_longestGap));
  }
  m_context.Log(LogEvent::RequestAnswered, std::move(fields));
}

void
RelayFlow::Finish(ActiveRequest& aActive, int aStatus)
{
  m_context.Counters().Count("relay_answered_total",
                             "status=\"" + std::to_string(aStatus) + "\"");
  LogAnswered(aActive, aStatus);
  if (aActive.m_isStreaming) {
    m_context.Emit(EndCallerStream{ aActive.m_caller, true });
  } else {
    m_heldBodyBytes -= aActive.m_callerHead.m_body.size();
    m_context.Emit(RespondCaller{
      aActive.m_caller, std::exchange(aActive.m_callerHead, HttpResponse()) });
  }
  Remove(aActive);
}

} // namespace fulmarquay
