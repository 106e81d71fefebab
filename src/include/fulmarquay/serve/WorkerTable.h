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

/// A worker and what this entry knows of it.
struct WorkerState
{
  WorkerInfo m_info;
  Endpoint m_address;
  std::int64_t m_running = 0;       ///< own requests at it
  std::int64_t m_heldTokens = 0;    ///< of memory, by own requests
  std::int64_t m_waitingTokens = 0; ///< own prompts without a first event
  TimePoint m_suspectUntil;         ///< gets nothing new before
  int m_failures = 0;               ///< in a row
  bool m_needsProbe = false;        ///< before it gets anything new
  TimePoint m_heard;       ///< last byte, or the first request after a pause
  bool m_isProbed = false; ///< a connection is being tried
};

/// The workers of an entry, by pool. Keeps what is known of a worker across
/// lists while its incarnation stays. Pure; not thread-safe.
class WorkerTable
{
public:
  /// Takes a list from the leader.
  void Apply(TimePoint aNow, const WorkerList& aList);

  std::uint64_t Number() const { return m_number; }

  /// Workers of a pool that may get new requests, leaving ones excluded.
  std::vector<WorkerState*> Usable(TimePoint aNow, const PoolId& aPool);

  /// Memory that own requests hold at a pool's workers, in tokens.
  std::int64_t HeldTokens(const PoolId& aPool) const;

  WorkerState* Find(const WorkerId& aWorker);

  /// A worker failed before a request could run there. It gets nothing new
  /// for a while, and then only after it has taken a connection.
  void OnFailure(TimePoint aNow, const WorkerId& aWorker);
  void OnSuccess(const WorkerId& aWorker);
  /// A worker is no longer the one that was listed: it gets nothing new until
  /// it is listed anew, or a list should have shown it.
  void OnMisdirected(TimePoint aNow, const WorkerId& aWorker);
  void OnReachable(const WorkerId& aWorker);

  /// The newest version of a model and since when; -1: none was named.
  std::int64_t NamedVersion(const std::string& aModel) const;
  TimePoint NamedSince(const std::string& aModel) const;

  const std::map<WorkerId, WorkerState>& All() const { return m_workers; }

private:
  struct Named
  {
    std::int64_t m_version = -1;
    TimePoint m_since;
  };

  std::uint64_t m_number = 0;
  std::map<WorkerId, WorkerState> m_workers;
  std::map<std::string, Named> m_named;
};

} // namespace fulmarquay

#endif
