// Requests that this entry passes to other entries because it reaches no worker
// of their pool, and those that other entries pass to it.
#include "fulmarquay/serve/RelayFlow.h"

#include "RelayConstants.h"

#include <algorithm>
#include <utility>

namespace fulmarquay {

namespace {

/// Entries that a request is passed to, one after the other. Each one but the
/// last has refused it as not run, or the request may be repeated.
constexpr int kMaxPasses = 4;

std::string
TextOf(PassRefusal aRefusal)
{
  switch (aRefusal) {
    case PassRefusal::Elsewhere:
      return "it can't serve the request";
    case PassRefusal::Busy:
      return "its workers have no room";
    case PassRefusal::Final:
      return "it refused";
    case PassRefusal::None:
      break;
  }
  return "";
}

} // namespace

bool
RelayFlow::IsPassed(const ActiveRequest& aActive)
{
  return !aActive.m_neighbour.Value().empty();
}

bool
RelayFlow::PassOn(ActiveRequest& aActive, const std::string& aReason)
{
  const TimePoint now = m_context.Now();
  const Duration left = aActive.m_expiresAt - now;
  // A second hop could lead back here. A request that a worker has failed on
  // may have crashed it.
  if (aActive.m_isFromPeer || aActive.m_passCount >= kMaxPasses ||
      left < kMinTimeLeft || m_partWatch.HasFailed(now, aActive.m_partIds)) {
    return false;
  }
  const RelayPeer* peer = m_neighbours.Choose(now,
                                              aActive.m_pool,
                                              aActive.m_triedNeighbours,
                                              m_context.Random(),
                                              AllowedDataCentres(aActive));
  if (peer == nullptr) {
    return false;
  }
  RemoveFromQueue(aActive);
  PassParameters parameters;
  parameters.m_from = m_context.Self().m_vm.Value();
  parameters.m_timeLeft = left;
  parameters.m_attempts = std::max<std::int64_t>(
    1, aActive.m_rule.m_maxAttempts - aActive.m_sendCount);
  parameters.m_lastEventId =
    std::max(aActive.m_eventSplitter.LastId(), aActive.m_request.m_lastEventId);
  parameters.m_isCounted = aActive.m_isCounted;
  if (aActive.m_allowedRegions.IsRestricted()) {
    const std::set<RegionId>& regions = aActive.m_allowedRegions.Regions();
    parameters.m_regions.emplace(regions.begin(), regions.end());
  }
  if (aActive.m_origin) {
    parameters.m_pool = aActive.m_origin->m_pool.Value();
    parameters.m_software = aActive.m_origin->m_software.Value();
  }
  HttpCall call;
  call.m_peer = Endpoint::Parse(peer->m_address);
  call.m_request = m_protocol.EncodePassed(aActive.m_request, parameters);
  call.m_idleTimeout = Duration(0);
  call.m_maxResponseBytes = kMaxResponseBytes;
  call.m_connectTimeout = std::min(kConnectTimeout, left);
  call.m_peerTimeout = kPeerTimeout;
  call.m_correlationHeader = m_protocol.CorrelationHeader(aActive.m_request);
  aActive.m_neighbour = peer->m_vm;
  aActive.m_triedNeighbours.insert(peer->m_vm);
  ++aActive.m_passCount;
  aActive.m_passRefusal = PassRefusal::None;
  aActive.m_worker = WorkerId();
  BeginCall(aActive, std::move(call));
  m_neighbours.OnPassed(peer->m_vm);
  m_context.Counters().Count("relay_passed_total", "");
  LogFields fields = { { "id", aActive.m_request.m_id },
                       { "entry", peer->m_vm.Value() },
                       { "pool", aActive.m_pool.Value() },
                       { "why", aReason },
                       { "pass", std::to_string(aActive.m_passCount) },
                       { "attempts", std::to_string(parameters.m_attempts) },
                       { "after_event",
                         std::to_string(parameters.m_lastEventId) },
                       { "age_ms", FormatMillis(Age(aActive)) },
                       { "left_ms", FormatMillis(left) } };
  AppendKeyFields(aActive, fields);
  m_context.Log(LogEvent::RequestPassed, std::move(fields));
  return true;
}

void
RelayFlow::OnPassedHead(ActiveRequest& aActive, const HttpResponse& aHead)
{
  // The worker is known from here on, as if this entry had called it.
  const PassedAnswer answer = m_protocol.ReadPassed(aHead);
  aActive.m_passRefusal = answer.m_refusal;
  aActive.m_worker = WorkerId(answer.m_worker);
  aActive.m_software = SoftwareVersion(answer.m_software);
  if (!answer.m_pool.empty()) {
    aActive.m_pool = PoolId(answer.m_pool);
    m_neighbours.OnServed(m_context.Now(), aActive.m_neighbour, aActive.m_pool);
  }
}

void
RelayFlow::OnPassEnd(ActiveRequest& aActive,
                     CallResult aEnd,
                     const std::string& aReason)
{
  const WorkerResponseHead& head = aActive.m_workerHead;
  const bool isRefused = aEnd == CallResult::Complete && !head.IsSuccess() &&
                         aActive.m_passRefusal != PassRefusal::None;
  if (aEnd == CallResult::NotSent) {
    m_neighbours.OnFailed(m_context.Now(), aActive.m_neighbour);
    OnPassRefused(aActive, PassRefusal::Elsewhere, aReason);
  } else if (isRefused) {
    OnPassRefused(
      aActive, aActive.m_passRefusal, TextOf(aActive.m_passRefusal));
  } else if (aEnd != CallResult::Complete) {
    if (head.m_status == 0) {
      m_neighbours.OnFailed(m_context.Now(), aActive.m_neighbour);
    }
    aActive.m_mayHaveRun = true;
    OnBroken(aActive, "the entry it was passed to: " + aReason);
  } else if (head.IsSuccess() || aActive.m_isStreaming) {
    OnComplete(aActive);
  } else if (head.m_isSigned) {
    // The other entry has already repeated what may be repeated.
    Finish(aActive, head.m_status);
  } else {
    Fail(aActive,
         head.m_status == kStatusGatewayTimeout ? kStatusGatewayTimeout
                                                : kStatusBadGateway,
         "the entry it was passed to failed");
  }
}

void
RelayFlow::OnPassRefused(ActiveRequest& aActive,
                         PassRefusal aRefusal,
                         const std::string& aReason)
{
  const TimePoint now = m_context.Now();
  // No worker received the request.
  --aActive.m_sendCount;
  // Another account or route in its document says nothing about its workers.
  const int status = aActive.m_workerHead.m_status;
  const bool isRejected =
    status >= kStatusBadRequest && status < kStatusServerError;
  if (aRefusal == PassRefusal::Elsewhere && !isRejected) {
    m_neighbours.OnUnreached(now, aActive.m_neighbour, aActive.m_pool);
  } else if (aRefusal == PassRefusal::Busy) {
    m_neighbours.OnBusy(now, aActive.m_neighbour, aActive.m_pool);
  }
  m_context.Counters().Count("relay_pass_refused_total",
                             "reason=\"" + aReason + "\"");
  m_context.Log(LogEvent::PassRefused,
                { { "id", aActive.m_request.m_id },
                  { "entry", aActive.m_neighbour.Value() },
                  { "pool", aActive.m_pool.Value() },
                  { "status", std::to_string(aActive.m_workerHead.m_status) },
                  { "reason", aReason },
                  { "age_ms", FormatMillis(Age(aActive)) } });
  ReleaseBody(aActive);
  const Duration retryAfter =
    std::max(kBusyRetryAfter, aActive.m_workerHead.m_pause);
  // The head was the other entry's, not that of a worker.
  aActive.m_workerHead = WorkerResponseHead();
  if (aRefusal == PassRefusal::Final) {
    GiveUp(aActive, "the entry it was passed to refused it", retryAfter);
    return;
  }
  aActive.m_refusedRetryAfter =
    std::max(aActive.m_refusedRetryAfter, retryAfter);
  Place(aActive);
}

bool
RelayFlow::PlaceElsewhere(ActiveRequest& aActive)
{
  if (!m_reach.IsUnreached(m_context.Now(), aActive.m_pool)) {
    return false;
  }
  if (PassOn(aActive, "this entry reaches no worker of the pool")) {
    return true;
  }
  // Other workers of the pool may still be tried.
  const bool hasNeighbours = aActive.m_isFromPeer || m_neighbours.Size() > 0;
  if (!hasNeighbours || !m_reach.IsConfirmed(m_context.Now(), aActive.m_pool)) {
    return false;
  }
  GiveUp(aActive,
         aActive.m_isFromPeer      ? "no worker reached"
         : aActive.m_passCount > 0 ? "the other entries refused it"
                                   : "no entry reaches a worker",
         std::max(RetryAfterFor(aActive.m_pool), aActive.m_refusedRetryAfter),
         PassRefusal::Elsewhere);
  return true;
}

void
RelayFlow::OnPoolFailure(const PoolId& aPool, const WorkerId& aWorker)
{
  if (!m_reach.OnUnreached(m_context.Now(), aPool, aWorker)) {
    return;
  }
  const WorkerTable::Counts workers =
    m_workers.CountsOf(m_context.Now(), aPool);
  m_context.Log(LogEvent::PoolUnreached,
                { { "pool", aPool.Value() },
                  { "listed", std::to_string(workers.m_listed) },
                  { "unreached", std::to_string(workers.m_unreached) },
                  { "neighbours", std::to_string(m_neighbours.Size()) } });
  // A false alarm, for example of two crashed workers, ends with the answer.
  ProbeUnreachedPools();
}

void
RelayFlow::OnPoolReached(const PoolId& aPool, const WorkerId& aWorker)
{
  const bool wasConfirmed = m_reach.IsConfirmed(m_context.Now(), aPool);
  if (!m_reach.OnReached(m_context.Now(), aPool)) {
    return;
  }
  if (wasConfirmed) {
    // Not after a false alarm: the suspected workers did crash.
    m_workers.ProbeSuspectsSoon(m_context.Now(), aPool);
  }
  m_context.Log(LogEvent::PoolReached,
                { { "pool", aPool.Value() }, { "worker", aWorker.Value() } });
}

} // namespace fulmarquay
