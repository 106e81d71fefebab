#ifndef FULMARQUAY_CONTROL_GROUPMONITOR_H
#define FULMARQUAY_CONTROL_GROUPMONITOR_H

#include "fulmarquay/consensus/ReplicaEffects.h"
#include "fulmarquay/core/LogEvent.h"
#include "fulmarquay/core/Units.h"

#include <map>
#include <optional>

namespace fulmarquay {

class Replica;

/// Writes the log lines about the control group as one replica sees it:
/// members, join requests, and times without a leader. Pure; not thread-safe.
class GroupMonitor
{
public:
  /// The line that a change of the membership calls for; none if it is the
  /// one that was logged last.
  std::optional<LogLine> OnMembership(const Membership& aMembership);

  /// The line for a handled join request; none if the request of this replica
  /// had the same outcome before.
  std::optional<LogLine> OnJoin(const JoinHandled& aJoin);

  /// To be called every few tens of milliseconds.
  std::optional<LogLine> OnTick(TimePoint aNow, const Replica& aReplica);

private:
  std::optional<Membership> m_logged;
  std::map<ReplicaId, JoinOutcome> m_joins; ///< last outcome of each replica
  TimePoint m_nextWarning;
  bool m_hasWarned = false; ///< of the present time without a leader
};

} // namespace fulmarquay

#endif
