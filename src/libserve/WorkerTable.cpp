#include "fulmarquay/serve/WorkerTable.h"

#include "fulmarquay/core/AddressText.h"

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
/// Time for which an announcement of an unlisted worker is kept: longer than a
/// list omits a worker that still runs.
constexpr Duration kAnnouncementTtl(600'000'000);

} // namespace

bool
WorkerTable::Apply(TimePoint aNow, const WorkerList& aList)
{
  if (aList.m_number < m_number) {
    return false;
  }
  m_number = aList.m_number;
  m_evacuated = aList.m_evacuated;
  std::erase_if(m_announcements, [&](const auto& aEach) {
    return aNow >= aEach.second.m_expiresAt;
  });
  std::map<WorkerId, WorkerState> workers;
  for (const WorkerInfo& info : aList.m_workers) {
    const std::optional<Endpoint> address = ReadAddress(info.m_address);
    if (!address) {
      // The leader leaves these out and logs them.
      continue;
    }
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
    state.m_isEvacuated = m_evacuated.count(info.m_dataCentre) != 0;
    const auto announced = m_announcements.find(info.m_id);
    if (announced != m_announcements.end() &&
        announced->second.m_createdMs == info.m_createdMs) {
      announced->second.m_expiresAt = aNow + kAnnouncementTtl;
      state.m_hasAnnouncedLeaving = announced->second.m_isLeaving;
      state.m_pausedUntil = announced->second.m_pausedUntil;
    }
    state.m_address = *address;
    workers[info.m_id] = std::move(state);
  }
  m_workers = std::move(workers);
  return true;
}

bool
WorkerTable::IsUsable(const WorkerState& aWorker, TimePoint aNow)
{
  return !aWorker.m_info.m_isLeaving && !aWorker.m_hasAnnouncedLeaving &&
         !aWorker.m_isEvacuated && !aWorker.m_needsProbe &&
         aNow >= aWorker.m_suspectUntil;
}

WorkerTable::Announcement&
WorkerTable::AnnouncementOf(TimePoint aNow, const WorkerState& aWorker)
{
  Announcement& announcement = m_announcements[aWorker.m_info.m_id];
  if (announcement.m_createdMs != aWorker.m_info.m_createdMs) {
    announcement = Announcement();
    announcement.m_createdMs = aWorker.m_info.m_createdMs;
  }
  announcement.m_expiresAt = aNow + kAnnouncementTtl;
  return announcement;
}

bool
WorkerTable::OnLeavingAnnounced(TimePoint aNow, const WorkerId& aWorker)
{
  WorkerState* worker = Find(aWorker);
  if (worker == nullptr || worker->m_hasAnnouncedLeaving) {
    return false;
  }
  worker->m_hasAnnouncedLeaving = true;
  AnnouncementOf(aNow, *worker).m_isLeaving = true;
  return true;
}

bool
WorkerTable::OnLeavingReported(TimePoint aNow,
                               const WorkerId& aWorker,
                               std::int64_t aCreatedMs)
{
  const WorkerState* worker = Find(aWorker);
  return worker != nullptr && worker->m_info.m_createdMs == aCreatedMs &&
         OnLeavingAnnounced(aNow, aWorker);
}

void
WorkerTable::OnPauseRequested(TimePoint aNow,
                              const WorkerId& aWorker,
                              Duration aPause)
{
  WorkerState* worker = Find(aWorker);
  if (worker != nullptr) {
    worker->m_pausedUntil = std::max(worker->m_pausedUntil, aNow + aPause);
    AnnouncementOf(aNow, *worker).m_pausedUntil = worker->m_pausedUntil;
  }
}

Duration
WorkerTable::ShortestPause(TimePoint aNow, const PoolId& aPool) const
{
  Duration shortest(0);
  for (const auto& [id, worker] : m_workers) {
    const Duration left = worker.m_pausedUntil - aNow;
    const bool isPaused = worker.m_info.m_pool == aPool &&
                          IsUsable(worker, aNow) && left > Duration(0);
    if (isPaused && (shortest == Duration(0) || left < shortest)) {
      shortest = left;
    }
  }
  return shortest;
}

bool
WorkerTable::IsReachedSuspect(const WorkerState& aWorker)
{
  return !aWorker.m_info.m_isLeaving && !aWorker.m_hasAnnouncedLeaving &&
         !aWorker.m_isEvacuated && aWorker.m_needsProbe &&
         !aWorker.m_isUnreached;
}

bool
WorkerTable::IsProved(const WorkerState& aWorker, TimePoint aNow)
{
  return IsUsable(aWorker, aNow) && aNow >= aWorker.m_unprovedUntil;
}

template<typename Predicate>
std::vector<WorkerState*>
WorkerTable::Select(TimePoint aNow, const PoolId& aPool, Predicate aIsIncluded)
{
  std::vector<WorkerState*> selected;
  for (auto& [id, worker] : m_workers) {
    if (worker.m_info.m_pool == aPool && aNow >= worker.m_pausedUntil &&
        aIsIncluded(worker)) {
      selected.push_back(&worker);
    }
  }
  return selected;
}

std::vector<WorkerState*>
WorkerTable::Available(TimePoint aNow, const PoolId& aPool)
{
  return Select(aNow, aPool, [&](const WorkerState& aEach) {
    return IsUsable(aEach, aNow);
  });
}

std::vector<WorkerState*>
WorkerTable::AvailableOnOpenConnections(TimePoint aNow, const PoolId& aPool)
{
  return Select(aNow, aPool, [&](const WorkerState& aEach) {
    return IsUsable(aEach, aNow) || IsReachedSuspect(aEach);
  });
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

WorkerTable::Counts
WorkerTable::CountsOf(TimePoint aNow, const PoolId& aPool) const
{
  Counts counts;
  for (const auto& [id, worker] : m_workers) {
    const bool isInUse =
      worker.m_info.m_pool == aPool && !worker.m_info.m_isLeaving;
    const bool isUsable = isInUse && !worker.m_isEvacuated;
    counts.m_evacuated += isInUse && worker.m_isEvacuated ? 1 : 0;
    counts.m_listed += isUsable ? 1 : 0;
    counts.m_unreached += isUsable && worker.m_needsProbe ? 1 : 0;
    counts.m_unproved += isUsable && aNow < worker.m_unprovedUntil ? 1 : 0;
  }
  return counts;
}

WorkerState*
WorkerTable::Find(const WorkerId& aWorker)
{
  const auto found = m_workers.find(aWorker);
  return found == m_workers.end() ? nullptr : &found->second;
}

void
WorkerTable::OnFailure(TimePoint aNow,
                       const WorkerId& aWorker,
                       WorkerFailure aFailure,
                       TimePoint aSentAt)
{
  WorkerState* worker = Find(aWorker);
  if (worker == nullptr) {
    return;
  }
  if (aNow >= worker->m_unprovedUntil) {
    worker->m_provedAt = std::max(worker->m_provedAt, aSentAt);
  }
  worker->m_unprovedUntil = aNow + kMaxListAge;
  worker->m_lastFailureAt = aNow;
  worker->m_isUnreached |= aFailure == WorkerFailure::Unreached;
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
    worker->m_isUnreached = false;
  }
}

void
WorkerTable::OnAnswered(TimePoint aNow,
                        const WorkerId& aWorker,
                        TimePoint aConnectedAt,
                        TimePoint aSentAt)
{
  WorkerState* worker = Find(aWorker);
  const bool isProof = worker != nullptr && aNow < worker->m_unprovedUntil &&
                       aConnectedAt != TimePoint() &&
                       aConnectedAt < worker->m_provedAt;
  if (!isProof) {
    return;
  }
  worker->m_provedAt = std::max(worker->m_provedAt, aSentAt);
  if (aSentAt > worker->m_lastFailureAt) {
    worker->m_unprovedUntil = aNow;
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
    worker->m_isUnreached = false;
  }
}

void
WorkerTable::ProbeSuspectsSoon(TimePoint aNow, const PoolId& aPool)
{
  for (auto& [id, worker] : m_workers) {
    if (worker.m_info.m_pool == aPool && worker.m_needsProbe) {
      worker.m_suspectUntil = std::min(worker.m_suspectUntil, aNow);
    }
  }
}

} // namespace fulmarquay
