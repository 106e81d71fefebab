#ifndef FULMARQUAY_SERVE_NEIGHBOURS_H
#define FULMARQUAY_SERVE_NEIGHBOURS_H

#include "fulmarquay/control/ControlMessages.h"
#include "fulmarquay/core/Endpoint.h"
#include "fulmarquay/core/Units.h"
#include "fulmarquay/serve/DataCentreFilter.h"

#include <map>
#include <set>
#include <vector>

namespace fulmarquay {

/// The entries that this one may pass requests to, with the outcome of recent
/// requests. No state is exchanged in advance: a neighbour that reaches no
/// worker of a pool refuses the request, and is then left out for that pool for
/// a short time. Pure; not thread-safe.
class Neighbours
{
public:
  /// Sets the entries; what is known of those that stay is kept.
  void Set(const std::vector<RelayPeer>& aPeers,
           const DataCentreId& aOwnDataCentre);

  /// Chooses a neighbour for a request of a pool. Neighbours that recently
  /// served the pool are preferred, then those with fewer running requests of
  /// this entry and those in its own data centre; data centres that have only
  /// refused are avoided. Returns null if no neighbour outside `aTried` and in
  /// an allowed data centre is available.
  const RelayPeer* Choose(TimePoint aNow,
                          const PoolId& aPool,
                          const std::set<VmId>& aTried,
                          std::uint64_t aRandom,
                          const DataCentreFilter& aAllowed = {}) const;

  void OnPassed(const VmId& aVm);
  /// The neighbour has answered with a worker's success.
  void OnServed(TimePoint aNow, const VmId& aVm, const PoolId& aPool);
  void OnEnded(const VmId& aVm);

  /// The connection to the neighbour failed, or ended without a response.
  void OnFailed(TimePoint aNow, const VmId& aVm);
  /// The neighbour reaches no worker of the pool, or does not serve it now.
  void OnUnreached(TimePoint aNow, const VmId& aVm, const PoolId& aPool);
  /// The neighbour has no room for requests of the pool.
  void OnBusy(TimePoint aNow, const VmId& aVm, const PoolId& aPool);

  std::size_t Size() const { return m_entries.size(); }

private:
  /// State of a neighbour for one pool.
  struct PoolState
  {
    TimePoint m_pausedUntil;
    TimePoint m_servedUntil;  ///< counts as serving the pool
    TimePoint m_refusedUntil; ///< counts as not reaching it
  };

  struct Entry
  {
    RelayPeer m_peer;
    bool m_isLocal = false;
    std::int64_t m_running = 0; ///< requests passed to it
    TimePoint m_failedUntil;
    std::map<PoolId, PoolState> m_pools;
  };

  /// Recent outcomes of a data centre's neighbours for one pool.
  struct Outcome
  {
    bool m_hasServed = false;
    bool m_hasRefused = false;
  };

  Entry* Find(const VmId& aVm);
  PoolState* StateOf(const VmId& aVm, const PoolId& aPool);
  std::map<DataCentreId, Outcome> OutcomesOf(TimePoint aNow,
                                             const PoolId& aPool) const;

  std::map<VmId, Entry> m_entries;
};

} // namespace fulmarquay

#endif
