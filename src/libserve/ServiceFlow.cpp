#include "fulmarquay/serve/ServiceFlow.h"

#include "fulmarquay/core/Digest.h"

#include <utility>

namespace fulmarquay {

namespace {

constexpr Duration kIntentReplyTimeout(2'000'000);
constexpr Duration kRetryAfter(1'000'000);
/// Larger bodies are left out of the stored answer of a once-only call.
constexpr std::size_t kMaxStoredBodyBytes = 64U << 10U;
/// Services answer with small documents, which this process holds completely.
constexpr std::size_t kMaxResponseBytes = 4U << 20U;
constexpr const char* kOutcomeHeader = "Fulmarquay-Outcome";

std::string
FirstSegment(const std::string& aPath)
{
  const std::size_t end = aPath.find_first_of("/?");
  return aPath.substr(0, end);
}

std::string
RequestDigest(const HttpRequest& aRequest,
              const ServiceId& aService,
              const std::string& aPath)
{
  std::string text = aRequest.m_method + "\n" + aService.Value() + "\n" + aPath;
  return Sha256Hex(text + "\n" + aRequest.m_body);
}

bool
IsSafeMethod(const std::string& aMethod)
{
  return aMethod == "GET" || aMethod == "HEAD";
}

/// The end-to-end headers that are forwarded to the service.
std::vector<HttpHeader>
ForwardedHeaders(const HttpRequest& aRequest)
{
  std::vector<HttpHeader> headers;
  for (const char* name : { "Content-Type", "Accept", "Idempotency-Key" }) {
    const std::string value = FindHeader(aRequest.m_headers, name);
    if (!value.empty()) {
      headers.push_back({ name, value });
    }
  }
  return headers;
}

} // namespace

ServiceFlow::ServiceFlow(EntryContext& aContext, ControlSession& aControl)
  : m_context(aContext)
  , m_control(aControl)
{
}

void
ServiceFlow::Start(CallerId aCaller,
                   const AccountId& aAccount,
                   const ServiceConfig& aService,
                   const std::string& aPath,
                   HttpRequest aRequest)
{
  Run run;
  run.m_caller = aCaller;
  run.m_service = aService;
  run.m_path = aPath;
  run.m_isOnce = aService.m_onceCalls.count(FirstSegment(aPath)) != 0 &&
                 !IsSafeMethod(aRequest.m_method);
  run.m_key = { aAccount, FindHeader(aRequest.m_headers, "Idempotency-Key") };
  run.m_request = std::move(aRequest);
  run.m_addressIndex = m_context.Random() % aService.m_addresses.size();
  m_retries.OnRequest();
  if (run.m_isOnce && run.m_key.m_key.empty()) {
    Refuse(run,
           { 400,
             "not_run",
             "check request",
             "this call may not be repeated: Idempotency-Key is needed",
             Duration(0) });
    return;
  }
  if (run.m_isOnce && !m_control.HasLease()) {
    Refuse(run,
           { 503,
             "not_run",
             "record intent",
             "the control group can't be reached from this data centre",
             kRetryAfter });
    return;
  }
  const RunId id = m_context.NextId();
  const bool isOnce = run.m_isOnce;
  m_runs.emplace(id, std::move(run));
  if (isOnce) {
    BeginOnce(id);
  } else {
    Send(id);
  }
}

void
ServiceFlow::BeginOnce(RunId aId)
{
  const Run& run = m_runs.at(aId);
  BeginOnceCommand command;
  command.m_key = run.m_key;
  command.m_digest =
    RequestDigest(run.m_request, run.m_service.m_id, run.m_path);
  command.m_service = run.m_service.m_id;
  command.m_entry = m_context.Self().m_vm;
  command.m_boot = m_context.Self().m_boot;
  command.m_attempt = aId;
  // The reply may have to wait for an earlier attempt with the same key, which
  // may run for as long as the service's timeout.
  const Duration deadline = kIntentReplyTimeout + run.m_service.m_timeout;
  m_control.BeginOnce(
    command,
    deadline,
    [this, aId](const std::optional<BeginOnceResult>& aResult) {
      OnBeginResult(aId, aResult);
    });
}

void
ServiceFlow::OnBeginResult(RunId aId,
                           const std::optional<BeginOnceResult>& aResult)
{
  const auto found = m_runs.find(aId);
  if (found == m_runs.end()) {
    return;
  }
  Run& run = found->second;
  if (aResult && aResult->Verdict() == OnceVerdict::Run) {
    Send(aId);
    return;
  }
  if (!aResult) {
    // A grant may still arrive. It is not used, and the intent is recorded as
    // not run.
    Refuse(run,
           { 503,
             "not_run",
             "record intent",
             "no answer from the control group in time",
             kRetryAfter });
    FinishOnce(aId, OnceOutcome::NotRun);
    return;
  }
  switch (aResult->Verdict()) {
    case OnceVerdict::Completed:
      Answer(run, StoredResponse(aResult->m_answer));
      break;
    case OnceVerdict::Mismatch:
      Refuse(run,
             { 422,
               "not_run",
               "check request",
               "the Idempotency-Key was used for another request",
               Duration(0) });
      break;
    default:
      Refuse(run,
             { 502,
               "unknown",
               "call service",
               "an earlier attempt may have run; it is not sent again",
               Duration(0) });
      break;
  }
  m_runs.erase(aId);
}

HttpResponse
ServiceFlow::StoredResponse(const OnceAnswer& aAnswer)
{
  HttpResponse response;
  response.m_status = aAnswer.m_status;
  response.m_headers = { { "Content-Type", aAnswer.m_contentType },
                         { kOutcomeHeader, "completed_earlier" } };
  response.m_body = aAnswer.m_body;
  return response;
}

void
ServiceFlow::Send(RunId aId)
{
  Run& run = m_runs.at(aId);
  ++run.m_attempts;
  run.m_isSending = true;
  run.m_answer = HttpResponse();
  HttpCall call;
  call.m_peer =
    run.m_service
      .m_addresses[run.m_addressIndex % run.m_service.m_addresses.size()];
  call.m_request.m_method = run.m_request.m_method;
  call.m_request.m_target = "/" + run.m_path;
  call.m_request.m_headers = ForwardedHeaders(run.m_request);
  call.m_request.m_body = run.m_request.m_body;
  call.m_idleTimeout = run.m_service.m_timeout;
  call.m_totalTimeout = run.m_service.m_timeout;
  call.m_maxResponseBytes = kMaxResponseBytes;
  run.m_call = m_context.Call(std::move(call), *this);
  m_byCall[run.m_call] = aId;
}

void
ServiceFlow::OnHead(CallId aCall, const HttpResponse& aHead)
{
  Run& run = m_runs.at(m_byCall.at(aCall));
  run.m_answer.m_status = aHead.m_status;
  run.m_answer.m_headers = { { "Content-Type",
                               FindHeader(aHead.m_headers, "Content-Type") } };
}

void
ServiceFlow::OnData(CallId aCall, const std::string& aData)
{
  m_runs.at(m_byCall.at(aCall)).m_answer.m_body += aData;
}

void
ServiceFlow::OnEnd(CallId aCall, CallResult aEnd, const std::string& aReason)
{
  const auto found = m_byCall.find(aCall);
  const RunId id = found->second;
  m_byCall.erase(found);
  if (m_runs.at(id).m_isOnce) {
    EndOnceCall(id, aEnd, aReason);
  } else {
    EndPlainCall(id, aEnd, aReason);
  }
}

void
ServiceFlow::EndPlainCall(RunId aId,
                          CallResult aEnd,
                          const std::string& aReason)
{
  Run& run = m_runs.at(aId);
  if (aEnd == CallResult::Complete) {
    Answer(run, run.m_answer);
    m_runs.erase(aId);
    return;
  }
  m_context.Log(
    LogEvent::UpstreamFailed,
    { { "service", run.m_service.m_id.Value() }, { "why", aReason } });
  run.m_mayHaveRun = run.m_mayHaveRun || !IsNotSent(aEnd);
  const bool mayRetry =
    aEnd == CallResult::NotSent || IsSafeMethod(run.m_request.m_method);
  const bool hasAttemptsLeft =
    run.m_attempts < static_cast<int>(run.m_service.m_addresses.size()) + 1;
  if (mayRetry && hasAttemptsLeft && m_retries.Take()) {
    ++run.m_addressIndex;
    Send(aId);
    return;
  }
  const bool isNotRun = !run.m_mayHaveRun;
  Refuse(run,
         { 502,
           isNotRun ? "not_run" : "unknown",
           "call service",
           aReason,
           isNotRun ? kRetryAfter : Duration(0) });
  m_runs.erase(aId);
}

void
ServiceFlow::EndOnceCall(RunId aId, CallResult aEnd, const std::string& aReason)
{
  Run& run = m_runs.at(aId);
  if (aEnd == CallResult::Complete) {
    FinishOnce(aId, OnceOutcome::Answered);
    return;
  }
  m_context.Log(
    LogEvent::UpstreamFailed,
    { { "service", run.m_service.m_id.Value() }, { "why", aReason } });
  if (IsNotSent(aEnd)) {
    Refuse(run, { 502, "not_run", "call service", aReason, kRetryAfter });
    FinishOnce(aId, OnceOutcome::NotRun);
    return;
  }
  m_context.Log(LogEvent::OutcomeUnknown,
                { { "service", run.m_service.m_id.Value() } });
  Refuse(run, { 502, "unknown", "call service", aReason, Duration(0) });
  FinishOnce(aId, OnceOutcome::Unknown);
}

void
ServiceFlow::FinishOnce(RunId aId, OnceOutcome aOutcome)
{
  Run& run = m_runs.at(aId);
  FinishOnceCommand command;
  command.m_key = run.m_key;
  command.m_boot = m_context.Self().m_boot;
  command.m_attempt = aId;
  command.m_outcome = static_cast<std::uint8_t>(aOutcome);
  if (aOutcome == OnceOutcome::Answered) {
    command.m_answer.m_status = run.m_answer.m_status;
    command.m_answer.m_contentType =
      FindHeader(run.m_answer.m_headers, "Content-Type");
    if (run.m_answer.m_body.size() <= kMaxStoredBodyBytes) {
      command.m_answer.m_body = run.m_answer.m_body;
    }
    if (!m_control.HasLease()) {
      // The answer is valid whether or not it can be recorded. It goes to the
      // caller now and is recorded when the group is reachable again.
      m_context.Log(LogEvent::OutcomePending,
                    { { "service", run.m_service.m_id.Value() } });
      Answer(run, run.m_answer);
    }
  }
  m_control.FinishOnce(command, [this, aId] {
    const auto found = m_runs.find(aId);
    if (found == m_runs.end()) {
      return;
    }
    Answer(found->second, found->second.m_answer);
    m_runs.erase(found);
  });
}

void
ServiceFlow::Answer(Run& aRun, HttpResponse aResponse)
{
  if (aRun.m_isCallerWaiting) {
    aRun.m_isCallerWaiting = false;
    m_context.Counters().Count("service_answers_total",
                               "service=\"" + aRun.m_service.m_id.Value() +
                                 "\"");
    m_context.Emit(RespondCaller{ aRun.m_caller, std::move(aResponse) });
  }
}

void
ServiceFlow::Refuse(Run& aRun, const Refusal& aRefusal)
{
  if (aRun.m_isCallerWaiting) {
    aRun.m_isCallerWaiting = false;
    m_context.Refuse(aRun.m_caller, aRefusal);
  }
}

void
ServiceFlow::OnCallerDisconnected(CallerId aCaller)
{
  // The call continues: its outcome must be recorded for a repeated request.
  for (auto& [id, run] : m_runs) {
    if (run.m_caller == aCaller) {
      run.m_isCallerWaiting = false;
    }
  }
}

void
ServiceFlow::OnProbe(const OnceProbe& aProbe)
{
  const bool isOwnBoot = aProbe.m_boot == m_context.Self().m_boot;
  if (!isOwnBoot || m_runs.count(aProbe.m_attempt) != 0) {
    return;
  }
  // No run exists for the attempt: it was abandoned before a byte was sent.
  FinishOnceCommand command;
  command.m_key = aProbe.m_key;
  command.m_boot = aProbe.m_boot;
  command.m_attempt = aProbe.m_attempt;
  command.m_outcome = static_cast<std::uint8_t>(OnceOutcome::NotRun);
  m_control.FinishOnce(command, [] {});
}

} // namespace fulmarquay
