#ifndef FULMARQUAY_SERVE_LOADEXCHANGE_H
#define FULMARQUAY_SERVE_LOADEXCHANGE_H

#include "fulmarquay/cache/CacheMessages.h"
#include "fulmarquay/control/ControlMessages.h"
#include "fulmarquay/core/Endpoint.h"
#include "fulmarquay/core/Units.h"
#include "fulmarquay/serve/WorkerTable.h"

#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace fulmarquay {

/// Exchange of worker loads between entries.
///
/// Without it, several entries place long prompts on the same worker within a
/// second, because each sees only its own requests. Every entry sends its
/// recipients load changes many times a second and periodic snapshots; the
/// loads of an entry expire when it stops sending. If only some of the other
/// entries send their loads, the sum is scaled up to all of them. Updates also
/// carry the workers that announced their leaving and, if they reach all other
/// entries, the parts that workers have read and the link time that is
/// reserved. Pure; not thread-safe.
class LoadExchange
{
public:
  explicit LoadExchange(VmId aSelf);

  /// Chooses the recipients of loads from the other entries, as many as the
  /// traffic limit allows.
  void SetPeers(const std::vector<EntryPeer>& aPeers);

  /// Sets the number of all entries, this one included.
  void SetEntryCount(std::uint32_t aEntryCount) { m_entryCount = aEntryCount; }

  /// Applies another entry's load. A change with a gap in the sequence is
  /// dropped; the next snapshot repairs it.
  void OnLoads(TimePoint aNow, const WorkerLoads& aLoads);

  /// Whether all other entries receive the updates of this one. If not, reads
  /// and link use are not exchanged, to bound the traffic of large deployments.
  bool ReachesAll() const { return m_recipients.size() + 1 >= m_entryCount; }

  /// Adds parts that a worker has read to the next update.
  void OnRead(WorkerReads aReads);
  /// Adds reserved link time to the next update.
  void OnLinkReserved(const std::string& aAddress, Duration aTime);

  /// Returns the update to send to the recipients, if one is due.
  /// It contains the possible restarts of workers that the recipients may not
  /// know yet.
  std::optional<WorkerLoads> TakeUpdate(TimePoint aNow,
                                        const WorkerTable& aWorkers,
                                        std::vector<Restart> aRestarts = {});
  const std::vector<Endpoint>& Recipients() const { return m_recipients; }

  /// Removes expired loads.
  void OnTick(TimePoint aNow);

  /// Whether loads of other entries are known, or there are no others.
  bool HasLoads() const;

  /// Part of the other entries whose loads are known.
  double ReportingPart() const;

  /// Load of the other entries at a worker, scaled from the received reports to
  /// all entries.
  WorkerLoad OtherEntriesLoad(const WorkerId& aWorker) const;

private:
  using Loads = std::map<std::string, WorkerLoad>; ///< by worker

  struct Peer
  {
    TimePoint m_receivedAt;
    std::uint64_t m_sequence = 0;
    Loads m_loads;
  };

  void AddToSums(const WorkerLoad& aLoad, std::int64_t aSign);
  void RemoveFromSums(Peer& aPeer);
  static Loads OwnLoads(const WorkerTable& aWorkers);

  VmId m_self;
  std::uint32_t m_entryCount = 1;
  std::vector<Endpoint> m_recipients;
  std::map<VmId, Peer> m_peers;
  std::unordered_map<std::string, WorkerLoad> m_sums; ///< by worker
  std::uint64_t m_sequence = 0; ///< of the last update sent
  Loads m_sentLoads;            ///< as the recipients have them
  std::map<std::string, TimePoint> m_sentRestarts; ///< failure times, by worker
  std::vector<WorkerReads> m_unsentReads;
  std::map<std::string, std::int64_t> m_unsentLinkUse; ///< us by address
  TimePoint m_nextUpdate;
  TimePoint m_nextSnapshot;
};

} // namespace fulmarquay

#endif
