// Probes of silent and of suspected workers.
#include "fulmarquay/serve/RelayFlow.h"

#include "RelayConstants.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace fulmarquay {

namespace {

/// A worker with running requests that has sent nothing for this long is probed
/// with a connection. Silence alone does not end a request; a VM that is down
/// accepts no connection.
constexpr Duration kSilenceTimeout(400'000);
constexpr Duration kProbeInterval(100'000);
/// Bounds the connections that an entry opens at once to workers that failed
/// together.
constexpr int kMaxProbesAtOnce = 32;
/// Workers of an unreached pool that are probed at a time: one that accepts is
/// enough, and some may be down.
constexpr std::size_t kSampleProbes = 4;

} // namespace

void
RelayFlow::ProbeSilentWorkers()
{
  const TimePoint now = m_context.Now();
  if (now < m_nextProbe) {
    return;
  }
  m_nextProbe = now + kProbeInterval;
  int probes = 0;
  for (const auto& [id, state] : m_workers.All()) {
    const bool isSilent =
      state.m_running > 0 && now >= state.m_lastActivityAt + kSilenceTimeout;
    const bool mayBeBack = state.m_needsProbe && now >= state.m_suspectUntil;
    if (state.m_isProbeInFlight || !(isSilent || mayBeBack) ||
        probes >= kMaxProbesAtOnce) {
      continue;
    }
    ++probes;
    Probe(id);
  }
  ProbeUnreachedPools();
}

void
RelayFlow::Probe(const WorkerId& aWorker)
{
  WorkerState& worker = *m_workers.Find(aWorker);
  HttpCall call;
  call.m_peer = worker.m_address;
  call.m_isProbe = true;
  call.m_connectTimeout = kConnectTimeout;
  worker.m_isProbeInFlight = true;
  m_probes[m_context.Call(std::move(call), *this)] = aWorker;
}

void
RelayFlow::ProbeUnreachedPools()
{
  for (const PoolId& pool : m_reach.TakeDueProbes(m_context.Now())) {
    std::vector<WorkerId> workers;
    for (const auto& [id, state] : m_workers.All()) {
      if (state.m_info.m_pool == pool && !state.m_info.m_isLeaving) {
        workers.push_back(id);
      }
    }
    if (workers.empty()) {
      m_reach.Forget(pool);
      continue;
    }
    const std::size_t first = m_context.Random() % workers.size();
    const std::size_t count = std::min(kSampleProbes, workers.size());
    for (std::size_t i = 0; i < count; ++i) {
      const WorkerId& worker =
        workers[(first + i * workers.size() / count) % workers.size()];
      if (!m_workers.Find(worker)->m_isProbeInFlight) {
        Probe(worker);
      }
    }
  }
}

void
RelayFlow::OnProbeEnd(const WorkerId& aWorker, CallResult aEnd)
{
  WorkerState* worker = m_workers.Find(aWorker);
  // Probes also sample workers that are sending.
  const bool isSilent =
    worker == nullptr ||
    m_context.Now() >= worker->m_lastActivityAt + kSilenceTimeout;
  if (worker != nullptr) {
    worker->m_isProbeInFlight = false;
    worker->m_lastActivityAt = m_context.Now();
  }
  if (aEnd == CallResult::Complete) {
    if (worker != nullptr && worker->m_needsProbe) {
      m_limiter.Restarts().OnAcceptedAgain(m_context.Now(), worker->m_info);
    }
    m_workers.OnProbeSucceeded(aWorker);
    if (worker != nullptr) {
      OnPoolReached(worker->m_info.m_pool, aWorker);
    }
    return;
  }
  m_workers.OnFailure(
    m_context.Now(), aWorker, WorkerFailure::Unreached, m_context.Now());
  if (worker != nullptr) {
    RecordPossibleRestart(aWorker, m_context.Now());
    OnPoolFailure(worker->m_info.m_pool, aWorker);
  }
  m_context.Log(LogEvent::WorkerSuspected,
                { { "worker", aWorker.Value() },
                  { "why", "silent, and takes no connection" } });
  if (isSilent) {
    MoveCallsFrom(aWorker);
  }
}

void
RelayFlow::MoveCallsFrom(const WorkerId& aWorker)
{
  std::vector<CallId> calls;
  for (const auto& [call, active] : m_byCall) {
    if (active->m_worker == aWorker && !IsPassed(*active)) {
      calls.push_back(call);
    }
  }
  for (const CallId call : calls) {
    ActiveRequest* active = Find(call);
    // The others stay: a worker may be silent and still send its answers.
    const bool canMove =
      active != nullptr && MayRepeat(*active) &&
      !m_partWatch.IsBlocked(active->m_partIds) &&
      m_placement.Choose(m_workers, CriteriaFor(*active)).m_worker != nullptr &&
      TakeRetry(*active);
    if (!canMove) {
      continue;
    }
    m_context.Cancel(call);
    ReleaseWorker(*active);
    active->m_mayHaveRun = true;
    active->m_eventSplitter.DropPartial();
    ReleaseBody(*active);
    Place(*active);
  }
}

} // namespace fulmarquay
