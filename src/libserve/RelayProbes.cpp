// Probes of silent and of suspected workers.
#include "fulmarquay/serve/RelayFlow.h"

#include "RelayConstants.h"

#include <utility>

namespace fulmarquay {

namespace {

/// A worker with running requests that has sent nothing for this long is probed
/// with a connection. Silence alone does not end a request; a VM that is down
/// accepts no connection.
constexpr Duration kSilenceTimeout(400'000);
constexpr Duration kProbeInterval(100'000);

} // namespace

void
RelayFlow::ProbeSilentWorkers()
{
  const TimePoint now = m_context.Now();
  if (now < m_nextProbe) {
    return;
  }
  m_nextProbe = now + kProbeInterval;
  for (const auto& [id, state] : m_workers.All()) {
    const bool isSilent =
      state.m_running > 0 && now >= state.m_lastActivityAt + kSilenceTimeout;
    const bool mayBeBack = state.m_needsProbe && now >= state.m_suspectUntil;
    if (state.m_isProbeInFlight || !(isSilent || mayBeBack)) {
      continue;
    }
    HttpCall call;
    call.m_peer = state.m_address;
    call.m_isProbe = true;
    call.m_connectTimeout = kConnectTimeout;
    m_workers.Find(id)->m_isProbeInFlight = true;
    m_probes[m_context.Call(std::move(call), *this)] = id;
  }
}

void
RelayFlow::OnProbeEnd(const WorkerId& aWorker, CallResult aEnd)
{
  WorkerState* worker = m_workers.Find(aWorker);
  if (worker != nullptr) {
    worker->m_isProbeInFlight = false;
    worker->m_lastActivityAt = m_context.Now();
  }
  if (aEnd == CallResult::Complete) {
    m_workers.OnProbeSucceeded(aWorker);
    return;
  }
  m_workers.OnFailure(m_context.Now(), aWorker);
  m_context.Log(LogEvent::WorkerSuspected,
                { { "worker", aWorker.Value() },
                  { "why", "silent, and takes no connection" } });
  std::vector<CallId> lost;
  for (const auto& [call, active] : m_byCall) {
    if (active->m_worker == aWorker) {
      lost.push_back(call);
    }
  }
  for (const CallId call : lost) {
    ActiveRequest* active = Find(call);
    m_context.Cancel(call);
    ReleaseWorker(*active);
    active->m_mayHaveRun = true;
    OnBroken(*active, "the worker is gone");
  }
}

} // namespace fulmarquay
