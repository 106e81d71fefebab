#include "fulmarquay/serve/PossibleRestarts.h"

#include <algorithm>
#include <set>

namespace fulmarquay {

namespace {

/// The VM list shows a worker's state with up to this delay.
constexpr Duration kListLag(1'000'000);
/// Data that was on its way when a process ended may arrive this much after the
/// end of another of its connections.
constexpr Duration kDataDelay(50'000);
/// The age in a report is that of its sending; it may arrive this much later.
constexpr Duration kReportDelay(300'000);
/// A report of a failure that is later than the known one by at most this is
/// ignored.
constexpr Duration kReportTolerance(100'000);

} // namespace

PossibleRestarts::State*
PossibleRestarts::Find(const WorkerInfo& aWorker)
{
  const auto found = m_states.find(aWorker.m_id);
  const bool isSame =
    found != m_states.end() && found->second.m_createdMs == aWorker.m_createdMs;
  return isSame ? &found->second : nullptr;
}

const PossibleRestarts::State*
PossibleRestarts::FindOpen(const WorkerInfo& aWorker) const
{
  const auto found = m_states.find(aWorker.m_id);
  const bool isOpen = found != m_states.end() && found->second.m_isOpen &&
                      found->second.m_createdMs == aWorker.m_createdMs;
  return isOpen ? &found->second : nullptr;
}

void
PossibleRestarts::Close(State& aState)
{
  m_openCount -= aState.m_isOpen ? 1 : 0;
  aState.m_isOpen = false;
}

bool
PossibleRestarts::OnFailure(TimePoint aNow,
                            const WorkerInfo& aWorker,
                            TimePoint aRanAt)
{
  State* known = Find(aWorker);
  if (known == nullptr) {
    State& old = m_states[aWorker.m_id];
    Close(old);
    old = State();
    old.m_createdMs = aWorker.m_createdMs;
    known = &old;
  }
  known->m_failedAt = std::max(known->m_failedAt, aNow);
  if (known->m_isOpen) {
    return false;
  }
  known->m_ranAt = std::max(known->m_ranAt, aRanAt);
  known->m_hasNoOldConnection = false;
  known->m_isOpen = true;
  ++m_openCount;
  return true;
}

void
PossibleRestarts::OnAcceptedAgain(TimePoint aNow, const WorkerInfo& aWorker)
{
  // Connections that were opened since the failure prove nothing.
  if (const State* known = Find(aWorker)) {
    OnFailure(aNow, aWorker, known->m_ranAt);
  }
}

bool
PossibleRestarts::OnReport(TimePoint aNow,
                           const WorkerInfo& aWorker,
                           const Restart& aOne)
{
  const TimePoint failedAt = aNow - Duration(aOne.m_failedAgoUs);
  const State* known = Find(aWorker);
  if (known != nullptr && failedAt <= known->m_failedAt + kReportTolerance) {
    return false;
  }
  return OnFailure(
    failedAt, aWorker, aNow - Duration(aOne.m_ranAgoUs) - kReportDelay);
}

void
PossibleRestarts::OnAnswered(const WorkerInfo& aWorker,
                             TimePoint aConnectedAt,
                             TimePoint aSentAt)
{
  State* known = Find(aWorker);
  const bool isProof = known != nullptr && aConnectedAt != TimePoint() &&
                       aConnectedAt < known->m_ranAt &&
                       aSentAt > known->m_failedAt;
  if (isProof) {
    Close(*known);
  }
}

void
PossibleRestarts::OnData(const WorkerInfo& aWorker,
                         TimePoint aSentAt,
                         TimePoint aReadAfter)
{
  State* known = Find(aWorker);
  if (known != nullptr && aSentAt < known->m_ranAt &&
      aReadAfter > known->m_failedAt + kDataDelay) {
    Close(*known);
  }
}

void
PossibleRestarts::OnNoOldConnection(const WorkerInfo& aWorker)
{
  if (State* known = Find(aWorker)) {
    known->m_hasNoOldConnection = true;
  }
}

std::vector<WorkerId>
PossibleRestarts::OnListRead(TimePoint aReadAt)
{
  std::vector<WorkerId> cleared;
  for (auto& [worker, state] : m_states) {
    if (state.m_isOpen && aReadAt >= state.m_failedAt + kListLag) {
      Close(state);
      cleared.push_back(worker);
    }
  }
  return cleared;
}

void
PossibleRestarts::ClearBefore(TimePoint aTime)
{
  for (auto& [worker, state] : m_states) {
    if (state.m_failedAt < aTime) {
      Close(state);
    }
  }
}

std::optional<TimePoint>
PossibleRestarts::OldConnectionsUntil(const WorkerInfo& aWorker) const
{
  const State* open = FindOpen(aWorker);
  return open == nullptr ? std::nullopt : std::optional(open->m_ranAt);
}

bool
PossibleRestarts::IsExcluded(const WorkerInfo& aWorker) const
{
  const State* open = FindOpen(aWorker);
  return open != nullptr && open->m_hasNoOldConnection;
}

std::vector<Restart>
PossibleRestarts::MakeReports(TimePoint aNow) const
{
  std::vector<Restart> reports;
  for (const auto& [worker, state] : m_states) {
    if (state.m_isOpen) {
      reports.push_back({ worker.Value(),
                          state.m_createdMs,
                          (aNow - state.m_failedAt).count(),
                          (aNow - state.m_ranAt).count() });
    }
  }
  return reports;
}

void
PossibleRestarts::Expire(const std::vector<WorkerInfo>& aListed)
{
  std::set<WorkerId> listed;
  for (const WorkerInfo& worker : aListed) {
    listed.insert(worker.m_id);
  }
  for (auto each = m_states.begin(); each != m_states.end();) {
    if (listed.count(each->first) != 0) {
      ++each;
      continue;
    }
    Close(each->second);
    each = m_states.erase(each);
  }
}

} // namespace fulmarquay
