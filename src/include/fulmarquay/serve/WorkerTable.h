#ifndef FULMARQUAY_SERVE_WORKERTABLE_H
#define FULMARQUAY_SERVE_WORKERTABLE_H

#include "fulmarquay/control/WorkerList.h"
#include "fulmarquay/core/Endpoint.h"
#include "fulmarquay/core/Units.h"

#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

namespace fulmarquay {

/// A worker and its state as seen by this entry.
struct WorkerState
{
  WorkerInfo m_info;
  Endpoint m_address;
  std::int64_t m_running = 0;    ///< requests of this entry at the worker
  std::int64_t m_heldTokens = 0; ///< memory held by these requests
  std::int64_t m_pendingPrefillTokens = 0; ///< of prompts without a first event
  TimePoint m_suspectUntil;                ///< receives no new requests before
  int m_consecutiveFailures = 0;           ///< since the last success
  bool m_needsProbe = false;      ///< must accept a probe before new requests
  TimePoint m_lastActivityAt;     ///< last byte received or end of idle time
  bool m_isProbeInFlight = false; ///< a probe is in progress
  bool m_hasAnnouncedLeaving = false; ///< in an answer, before the VM list
  TimePoint m_pausedUntil; ///< accepts no requests of this entry before
  /// After a failure, another incarnation may have this address and id until a
  /// later list shows it: before this time it resumes no streams.
  TimePoint m_unprovedUntil;
};

/// The workers of all pools. Keeps the state of a worker across lists while its
/// incarnation stays the same. Pure; not thread-safe.
class WorkerTable
{
public:
  /// Applies a worker list from the leader. A list with a lower number than the
  /// current one comes from an earlier leader and is ignored; returns whether
  /// it was applied.
  bool Apply(TimePoint aNow, const WorkerList& aList);

  std::uint64_t Number() const { return m_number; }

  /// Returns the workers of a pool that may receive new requests; draining and
  /// suspected ones are excluded.
  std::vector<WorkerState*> Available(TimePoint aNow, const PoolId& aPool);

  /// Memory held by the requests of this entry at a pool's workers, in tokens.
  std::int64_t HeldTokens(const PoolId& aPool) const;

  WorkerState* Find(const WorkerId& aWorker);

  /// Records a failed call or probe. The worker receives no new requests for a
  /// while, and then only after a successful probe.
  void OnFailure(TimePoint aNow, const WorkerId& aWorker);
  void OnSuccess(const WorkerId& aWorker);
  /// The worker's incarnation or weights differ from the list: it receives no
  /// new requests until a list updates it or should have done so.
  void OnMisdirected(TimePoint aNow, const WorkerId& aWorker);
  void OnProbeSucceeded(const WorkerId& aWorker);
  /// Makes the suspected workers of a pool due for a probe.
  void ProbeSuspectsSoon(TimePoint aNow, const PoolId& aPool);

  /// The worker stated that it is about to stop: this incarnation receives no
  /// more new requests, also if a later list contains it. Returns whether this
  /// was unknown.
  bool OnLeavingAnnounced(TimePoint aNow, const WorkerId& aWorker);
  /// As before, reported by another entry about an incarnation.
  bool OnLeavingReported(TimePoint aNow,
                         const WorkerId& aWorker,
                         std::int64_t aCreatedMs);
  /// The worker accepts no requests of this entry for a time.
  void OnPauseRequested(TimePoint aNow,
                        const WorkerId& aWorker,
                        Duration aPause);
  /// Time until the first paused worker of a pool accepts requests again; 0 if
  /// none is paused.
  Duration ShortestPause(TimePoint aNow, const PoolId& aPool) const;

  /// Workers of a pool that are listed and not leaving.
  struct Counts
  {
    std::size_t m_listed = 0;
    std::size_t m_unreached = 0; ///< failed, and have accepted no probe since
    std::size_t m_unproved = 0;  ///< resume no streams yet after a failure
  };
  Counts CountsOf(TimePoint aNow, const PoolId& aPool) const;

  const std::map<WorkerId, WorkerState>& All() const { return m_workers; }

private:
  /// What an incarnation stated about itself. Kept apart from the list, because
  /// a list may omit a worker for a while.
  struct Announcement
  {
    std::int64_t m_createdMs = 0;
    bool m_isLeaving = false;
    TimePoint m_pausedUntil;
    TimePoint m_expiresAt;
  };

  Announcement& AnnouncementOf(TimePoint aNow, const WorkerState& aWorker);
  static bool IsUsable(const WorkerState& aWorker, TimePoint aNow);

  std::uint64_t m_number = 0;
  std::map<WorkerId, WorkerState> m_workers;
  std::map<WorkerId, Announcement> m_announcements;
};

} // namespace fulmarquay

#endif
