#ifndef FULMARQUAY_CONTROL_SOFTWAREVERSIONMANAGER_H
#define FULMARQUAY_CONTROL_SOFTWAREVERSIONMANAGER_H

#include "fulmarquay/control/WorkerList.h"
#include "fulmarquay/core/Units.h"

#include <map>
#include <utility>
#include <vector>

namespace fulmarquay {

class FleetContext;

/// The leader's management of the replicated set of software versions: proposes
/// to add a version before entries learn of its workers, and to remove one that
/// the VM list has not contained for longer than its streams may last. Pure;
/// not thread-safe.
class SoftwareVersionManager
{
public:
  explicit SoftwareVersionManager(FleetContext& aContext);

  /// Processes a VM list; one that is not whole removes no versions.
  void OnListed(const std::vector<WorkerInfo>& aWorkers, bool aIsWhole);

  /// Processes changes of the replicated set since the previous call; returns
  /// whether there were any.
  bool OnStateApplied();

  void OnLeadership();

  /// Whether entries may learn of a worker: its version is in the set, or the
  /// platform states none.
  bool IsPublishable(const WorkerInfo& aWorker) const;

private:
  using PoolVersion = std::pair<PoolId, SoftwareVersion>;

  FleetContext& m_context;
  /// Versions in the set, or proposed, and when a list last contained them.
  std::map<PoolVersion, TimePoint> m_listedAt;
  /// The set when it was last processed in this term.
  SoftwareByPool m_applied;
};

} // namespace fulmarquay

#endif
