#ifndef FULMARQUAY_SERVE_POSSIBLERESTARTS_H
#define FULMARQUAY_SERVE_POSSIBLERESTARTS_H

#include "fulmarquay/cache/CacheMessages.h"
#include "fulmarquay/control/WorkerList.h"
#include "fulmarquay/core/Units.h"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace fulmarquay {

/// Workers that may have restarted under their old id, and may be cold without
/// being listed so.
///
/// A worker that accepted no connection or broke off an answer counts as such
/// until a VM list that was read afterwards shows it, or until an answer on a
/// connection that was opened before proves that the same process runs.
/// Entries tell each other. Pure; not thread-safe.
class PossibleRestarts
{
public:
  /// A worker failed at this entry; it ran as listed at aRanAt.
  /// Returns whether that was unknown.
  bool OnFailure(TimePoint aNow, const WorkerInfo& aWorker, TimePoint aRanAt);
  /// A failed worker accepts connections again: the process that accepts them
  /// may have started just now.
  void OnAcceptedAgain(TimePoint aNow, const WorkerInfo& aWorker);
  /// Another entry reports a worker. Returns whether that was unknown.
  bool OnReport(TimePoint aNow, const WorkerInfo& aWorker, const Restart& aOne);
  /// A call that was sent at aSentAt was answered on a connection that was
  /// opened at aConnectedAt.
  void OnAnswered(const WorkerInfo& aWorker,
                  TimePoint aConnectedAt,
                  TimePoint aSentAt);
  /// Data that arrived after aReadAfter belongs to a call that was sent at
  /// aSentAt.
  void OnData(const WorkerInfo& aWorker,
              TimePoint aSentAt,
              TimePoint aReadAfter);
  /// This entry has no connection that was opened before the failure.
  void OnNoOldConnection(const WorkerInfo& aWorker);

  /// The workers are listed as in a VM list that was requested at aReadAt.
  /// Returns those that a list clears.
  std::vector<WorkerId> OnListRead(TimePoint aReadAt);
  /// Without a leader, no list comes: clears workers that failed before a time.
  void ClearBefore(TimePoint aTime);

  /// Connections that were opened before this time lead to the process that is
  /// listed; no value: the worker has not failed.
  std::optional<TimePoint> OldConnectionsUntil(const WorkerInfo& aWorker) const;
  /// Whether requests can't be sent at all.
  bool IsExcluded(const WorkerInfo& aWorker) const;
  std::size_t Count() const { return m_openCount; }

  /// What other entries are to know.
  std::vector<Restart> MakeReports(TimePoint aNow) const;

  /// Forgets workers that are not listed.
  void Expire(const std::vector<WorkerInfo>& aListed);

private:
  struct State
  {
    std::int64_t m_createdMs = 0;
    bool m_isOpen = false; ///< neither proved nor listed since the failure
    TimePoint m_failedAt;  ///< or accepted connections again; the last time
    TimePoint m_ranAt;     ///< the listed process ran then
    bool m_hasNoOldConnection = false;
  };

  State* Find(const WorkerInfo& aWorker);
  const State* FindOpen(const WorkerInfo& aWorker) const;
  void Close(State& aState);

  std::map<WorkerId, State> m_states;
  std::size_t m_openCount = 0;
};

} // namespace fulmarquay

#endif
