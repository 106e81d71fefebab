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
};

/// The workers of all pools. Keeps the state of a worker across lists while its
/// incarnation stays the same. Pure; not thread-safe.
class WorkerTable
{
public:
  /// Applies a worker list from the leader.
  void Apply(TimePoint aNow, const WorkerList& aList);

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

  /// The newest weight version of a model and its release time; -1: none is
  /// known.
  std::int64_t LatestVersion(const std::string& aModel) const;
  TimePoint LatestVersionSince(const std::string& aModel) const;

  const std::map<WorkerId, WorkerState>& All() const { return m_workers; }

private:
  struct LatestWeights
  {
    std::int64_t m_version = -1;
    TimePoint m_since;
  };

  std::uint64_t m_number = 0;
  std::map<WorkerId, WorkerState> m_workers;
  std::map<std::string, LatestWeights> m_latestWeights;
};

} // namespace fulmarquay

#endif
