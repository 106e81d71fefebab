#ifndef FULMARQUAY_CONTROL_LIMITMANAGER_H
#define FULMARQUAY_CONTROL_LIMITMANAGER_H

#include "fulmarquay/control/RequestLimits.h"
#include "fulmarquay/control/ShareAllocation.h"
#include "fulmarquay/control/StatedLimits.h"

#include <map>
#include <string>
#include <utility>
#include <vector>

namespace fulmarquay {

class FleetContext;
struct EntrySession;

/// The leader's management of limits of workers for all entries together, those
/// that workers state and those of cold workers: collects the statements,
/// divides each limit between the entries with the most requests, and pushes
/// limits and shares. Pure; not thread-safe.
class LimitManager
{
public:
  explicit LimitManager(FleetContext& aContext);

  void OnLeadership();

  /// Applies an entry's report, and pushes to it what it lacks.
  void OnHeartbeat(const EntrySession& aSession);

  /// Divides the limits of the listed workers anew where needed.
  void OnTick(const std::vector<WorkerInfo>& aListed,
              const RouteDocument& aDocument);

private:
  struct Entry
  {
    BootId m_boot;
    /// Leader's clock minus the entry's, with the shortest delay seen.
    Duration m_clockOffset = Duration::max();
    TimePoint m_heartbeatAt;
    std::map<std::string, double> m_requestsPerSecond; ///< by pool
    std::uint64_t m_pushed = 0; ///< number of the last push; 0: none
    TimePoint m_pushedAt;
    bool m_isPushDue = false;
    bool m_mayUseShares = false; ///< got some since its lease last ended
  };
  using Incarnation = std::pair<WorkerId, std::int64_t>;
  /// Requests a second for one pool, without those that shares use already.
  using Demand = std::map<VmId, double>;

  void ApplyStatements(Entry& aEntry, const LimitReport& aReport);
  void Confirm(const VmId& aVm, const Entry& aEntry);
  void Release(const VmId& aVm);
  void ReleaseExpired();
  Demand DemandOf(const std::string& aPool) const;
  void UpdateLimits(const std::vector<WorkerInfo>& aListed,
                    const RouteDocument& aDocument);
  /// Takes back the shares of workers that have no limit any more.
  void ReleaseUnlimited();
  void Divide(const WorkerInfo& aWorker,
              const RequestLimit& aLimit,
              Demand& aDemand);
  double SavedRequests(const Incarnation& aWorker, std::size_t aEntries) const;
  void Push(const VmId& aVm, Entry& aEntry);

  FleetContext& m_context;
  StatedLimits m_limits;
  std::map<Incarnation, RequestLimit> m_inForce; ///< of listed workers
  std::map<VmId, Entry> m_entries;
  std::map<Incarnation, ShareAllocation> m_allocations;
  TimePoint m_leadingSince;
  TimePoint m_nextReview;
  TimePoint m_nextDivision;
  std::uint64_t m_number = 0; ///< of the last push
};

} // namespace fulmarquay

#endif
