#ifndef FULMARQUAY_SERVE_WORKERTABLE_H
#define FULMARQUAY_SERVE_WORKERTABLE_H

#include "fulmarquay/control/WorkerList.h"
#include "fulmarquay/core/Endpoint.h"
#include "fulmarquay/core/Units.h"

#include <cstdint>
#include <map>
#include <set>
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
  bool m_isUnreached = false;     ///< accepted no connection when it failed
  TimePoint m_lastActivityAt;     ///< last byte received or end of idle time
  bool m_isProbeInFlight = false; ///< a probe is in progress
  bool m_isEvacuated = false;     ///< its data centre gets no new requests
  bool m_hasAnnouncedLeaving = false; ///< in an answer, before the VM list
  TimePoint m_pausedUntil; ///< accepts no requests of this entry before
  /// After a failure, another incarnation may have this address and id until a
  /// later list shows it: before this time it resumes streams only on
  /// connections that were opened before m_provedAt.
  TimePoint m_unprovedUntil;
  TimePoint m_provedAt; ///< the listed incarnation ran then
  TimePoint m_lastFailureAt;
};

/// How a worker failed.
enum class WorkerFailure
{
  Unreached,    ///< it accepted no connection
  BrokenAnswer, ///< an answer was lost or is not a whole one
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

  /// As Available, with those that are suspected because of broken answers:
  /// they may be sent requests on connections that are open already.
  std::vector<WorkerState*> AvailableOnOpenConnections(TimePoint aNow,
                                                       const PoolId& aPool);

  /// Whether new connections to a worker lead to the listed incarnation.
  static bool IsProved(const WorkerState& aWorker, TimePoint aNow);

  /// Memory held by the requests of this entry at a pool's workers, in tokens.
  std::int64_t HeldTokens(const PoolId& aPool) const;

  WorkerState* Find(const WorkerId& aWorker);

  /// Records the failure of a call that was sent at aSentAt, or of a probe. The
  /// worker receives no new requests for a while, and then only after a
  /// successful probe.
  void OnFailure(TimePoint aNow,
                 const WorkerId& aWorker,
                 WorkerFailure aFailure,
                 TimePoint aSentAt);
  void OnSuccess(const WorkerId& aWorker);
  /// Records an answer to a call that was sent at aSentAt, on a connection that
  /// was opened at aConnectedAt: both ends of that time had the same process.
  void OnAnswered(TimePoint aNow,
                  const WorkerId& aWorker,
                  TimePoint aConnectedAt,
                  TimePoint aSentAt);
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

  /// Workers of a pool that are listed and not leaving. Those of evacuated data
  /// centres count only as such.
  struct Counts
  {
    std::size_t m_listed = 0;
    std::size_t m_evacuated = 0; ///< in evacuated data centres; not in m_listed
    std::size_t m_unreached = 0; ///< failed, and have accepted no probe since
    std::size_t m_unproved = 0;  ///< may be another incarnation since a failure
  };
  Counts CountsOf(TimePoint aNow, const PoolId& aPool) const;

  /// Data centres whose workers get no new requests.
  const std::set<DataCentreId>& Evacuated() const { return m_evacuated; }

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
  /// Whether the worker has a broken answer, but was reached.
  static bool IsReachedSuspect(const WorkerState& aWorker);
  template<typename Predicate>
  std::vector<WorkerState*> Select(TimePoint aNow,
                                   const PoolId& aPool,
                                   Predicate aIsIncluded);

  std::uint64_t m_number = 0;
  std::set<DataCentreId> m_evacuated;
  std::map<WorkerId, WorkerState> m_workers;
  std::map<WorkerId, Announcement> m_announcements;
};

} // namespace fulmarquay

#endif
