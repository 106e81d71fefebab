#include "fulmarquay/serve/WorkerTable.h"

#include <algorithm>
#include <utility>

namespace fulmarquay {

namespace {

/// A worker that failed is left alone for this long, doubled with each
/// further failure up to the longest: a crashed one leaves the VM list within
/// seconds, a reset connection alone must not cost its capacity.
constexpr Duration kFirstSuspicion(300'000);
constexpr Duration kLongestSuspicion(2'400'000);
constexpr int kMostDoublings = 3;
/// A list is some seconds old at most: by then it shows the successor of a
/// worker, or what it serves.
constexpr Duration kListAge(3'000'000);

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
        known->second.m_info.m_bornMs == info.m_bornMs) {
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
    Named& known = m_named[named.m_model];
    if (named.m_version > known.m_version) {
      known.m_version = named.m_version;
      known.m_since = aNow - Duration(named.m_agoUs);
    }
  }
}

std::vector<WorkerState*>
WorkerTable::Usable(TimePoint aNow, const PoolId& aPool)
{
  std::vector<WorkerState*> usable;
  for (auto& [id, worker] : m_workers) {
    const bool isFit = worker.m_info.m_pool == aPool &&
                       !worker.m_info.m_isLeaving && !worker.m_needsProbe &&
                       aNow >= worker.m_suspectUntil;
    if (isFit) {
      usable.push_back(&worker);
    }
  }
  return usable;
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
  const auto place = m_workers.find(aWorker);
  return place == m_workers.end() ? nullptr : &place->second;
}

void
WorkerTable::OnFailure(TimePoint aNow, const WorkerId& aWorker)
{
  WorkerState* worker = Find(aWorker);
  if (worker == nullptr) {
    return;
  }
  const int doublings = std::min(worker->m_failures, kMostDoublings);
  ++worker->m_failures;
  // Without load it would draw all requests until the first one fails.
  worker->m_needsProbe = true;
  worker->m_suspectUntil =
    aNow + std::min(kFirstSuspicion * (1 << doublings), kLongestSuspicion);
}

void
WorkerTable::OnSuccess(const WorkerId& aWorker)
{
  WorkerState* worker = Find(aWorker);
  if (worker != nullptr) {
    worker->m_failures = 0;
    worker->m_needsProbe = false;
  }
}

void
WorkerTable::OnMisdirected(TimePoint aNow, const WorkerId& aWorker)
{
  WorkerState* worker = Find(aWorker);
  if (worker != nullptr) {
    worker->m_suspectUntil = aNow + kListAge;
  }
}

void
WorkerTable::OnReachable(const WorkerId& aWorker)
{
  WorkerState* worker = Find(aWorker);
  if (worker != nullptr) {
    worker->m_needsProbe = false;
  }
}

std::int64_t
WorkerTable::NamedVersion(const std::string& aModel) const
{
  const auto place = m_named.find(aModel);
  return place == m_named.end() ? -1 : place->second.m_version;
}

TimePoint
WorkerTable::NamedSince(const std::string& aModel) const
{
  const auto place = m_named.find(aModel);
  return place == m_named.end() ? TimePoint() : place->second.m_since;
}

} // namespace fulmarquay
