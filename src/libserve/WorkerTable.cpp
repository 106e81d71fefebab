#include "fulmarquay/serve/WorkerTable.h"

#include <algorithm>
#include <utility>

namespace fulmarquay {

namespace {

/// Time for which a failed worker receives no requests, doubled with each
/// further failure up to the maximum. A crashed worker leaves the VM list
/// within seconds; a single reset connection must not exclude it for long.
constexpr Duration kInitialSuspectPeriod(300'000);
constexpr Duration kMaxSuspectPeriod(2'400'000);
constexpr int kMaxDoublings = 3;
/// Time for which a worker with another incarnation or other weights receives
/// no requests. Worker lists are at most a few seconds old, so that the list
/// then contains the worker's successor or its current weights.
constexpr Duration kMaxListAge(3'000'000);

} // namespace

void
WorkerTable::Apply(TimePoint aNow, const WorkerList& aList)
{
  m_number = aList.m_number;
  std::map<WorkerId, WorkerState> workers;
  for (const WorkerInfo& info : aList.m_workers) {
    WorkerState state;
    const auto known = m_workers.find(info.m_id);
    if (known != m_workers.end() &&
        known->second.m_info.m_createdMs == info.m_createdMs) {
      state = known->second;
      if (state.m_info.m_weights != info.m_weights) {
        state.m_suspectUntil = std::min(state.m_suspectUntil, aNow);
      }
    }
    state.m_info = info;
    state.m_address = Endpoint::Parse(info.m_address);
    workers[info.m_id] = std::move(state);
  }
  m_workers = std::move(workers);
  for (const NamedWeights& named : aList.m_weights) {
    LatestWeights& known = m_latestWeights[named.m_model];
    if (named.m_version > known.m_version) {
      known.m_version = named.m_version;
      known.m_since = aNow - Duration(named.m_ageUs);
    }
  }
}

std::vector<WorkerState*>
WorkerTable::Available(TimePoint aNow, const PoolId& aPool)
{
  std::vector<WorkerState*> available;
  for (auto& [id, worker] : m_workers) {
    const bool isAvailable =
      worker.m_info.m_pool == aPool && !worker.m_info.m_isLeaving &&
      !worker.m_needsProbe && aNow >= worker.m_suspectUntil;
    if (isAvailable) {
      available.push_back(&worker);
    }
  }
  return available;
}

std::int64_t
WorkerTable::HeldTokens(const PoolId& aPool) const
{
  std::int64_t held = 0;
  for (const auto& [id, worker] : m_workers) {
    held += worker.m_info.m_pool == aPool ? worker.m_heldTokens : 0;
  }
  return held;
}

WorkerState*
WorkerTable::Find(const WorkerId& aWorker)
{
  const auto found = m_workers.find(aWorker);
  return found == m_workers.end() ? nullptr : &found->second;
}

void
WorkerTable::OnFailure(TimePoint aNow, const WorkerId& aWorker)
{
  WorkerState* worker = Find(aWorker);
  if (worker == nullptr) {
    return;
  }
  const int doublings = std::min(worker->m_consecutiveFailures, kMaxDoublings);
  ++worker->m_consecutiveFailures;
  // A probe is required because a failed worker has no load and would attract
  // all requests until the first one fails.
  worker->m_needsProbe = true;
  worker->m_suspectUntil =
    aNow +
    std::min(kInitialSuspectPeriod * (1 << doublings), kMaxSuspectPeriod);
}

void
WorkerTable::OnSuccess(const WorkerId& aWorker)
{
  WorkerState* worker = Find(aWorker);
  if (worker != nullptr) {
    worker->m_consecutiveFailures = 0;
    worker->m_needsProbe = false;
  }
}

void
WorkerTable::OnMisdirected(TimePoint aNow, const WorkerId& aWorker)
{
  WorkerState* worker = Find(aWorker);
  if (worker != nullptr) {
    worker->m_suspectUntil = aNow + kMaxListAge;
  }
}

void
WorkerTable::OnProbeSucceeded(const WorkerId& aWorker)
{
  WorkerState* worker = Find(aWorker);
  if (worker != nullptr) {
    worker->m_needsProbe = false;
  }
}

std::int64_t
WorkerTable::LatestVersion(const std::string& aModel) const
{
  const auto found = m_latestWeights.find(aModel);
  return found == m_latestWeights.end() ? -1 : found->second.m_version;
}

TimePoint
WorkerTable::LatestVersionSince(const std::string& aModel) const
{
  const auto found = m_latestWeights.find(aModel);
  return found == m_latestWeights.end() ? TimePoint() : found->second.m_since;
}

} // namespace fulmarquay
