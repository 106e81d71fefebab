#ifndef FULMARQUAY_SERVE_POOLREACH_H
#define FULMARQUAY_SERVE_POOLREACH_H

#include "fulmarquay/control/WorkerList.h"
#include "fulmarquay/core/Units.h"

#include <map>
#include <set>
#include <vector>

namespace fulmarquay {

/// Detects pools whose workers accept no connection from this entry. It cannot
/// distinguish a failed pool from a partition of this entry; the responses of
/// other entries to passed requests do. Pure; not thread-safe.
class PoolReach
{
public:
  /// A worker accepted no connection. Returns whether the pool has become
  /// unreached by that.
  bool OnUnreached(TimePoint aNow,
                   const PoolId& aPool,
                   const WorkerId& aWorker);

  /// A worker accepted a new connection. Returns whether the pool was
  /// unreached and no worker had accepted one since.
  bool OnReached(TimePoint aNow, const PoolId& aPool);

  /// A worker answered a call that was sent at a time: failures before that did
  /// not come in a row. An unreached pool needs an accepted connection, because
  /// kept connections may live on while new ones are refused.
  void OnAnswered(const PoolId& aPool, TimePoint aSentAt);

  /// Whether requests of the pool are to be passed to other entries. Stays true
  /// for a short time after the first worker accepts a connection, so that the
  /// other workers are probed before that one receives all requests.
  bool IsUnreached(TimePoint aNow, const PoolId& aPool) const;

  /// Whether the pool has been unreached for longer than a probe takes to
  /// fail.
  bool IsConfirmed(TimePoint aNow, const PoolId& aPool) const;

  /// Unreached pools some of whose workers are to be probed now.
  std::vector<PoolId> TakeDueProbes(TimePoint aNow);

  /// No worker of the pool is listed.
  void Forget(const PoolId& aPool) { m_pools.erase(aPool); }

  std::size_t UnreachedPools(TimePoint aNow) const;

private:
  struct State
  {
    std::set<WorkerId> m_failed; ///< in a row
    TimePoint m_firstFailureAt;  ///< of these
    TimePoint m_since;           ///< unreached since; not set: it is reached
    TimePoint m_reachedAt;       ///< of the first one accepted since then
    TimePoint m_nextProbes;
  };

  std::map<PoolId, State> m_pools;
};

} // namespace fulmarquay

#endif
