#ifndef FULMARQUAY_CONTROL_BLOCKEDPARTMANAGER_H
#define FULMARQUAY_CONTROL_BLOCKEDPARTMANAGER_H

#include "fulmarquay/control/CrashAnalysis.h"
#include "fulmarquay/control/PartReports.h"
#include "fulmarquay/core/Units.h"

#include <map>

namespace fulmarquay {

class FleetContext;

/// The leader's management of parts that crash workers: queries entries about
/// suspected parts, proposes to block those found, and to release those that
/// are sound or have been blocked for long. Pure; not thread-safe.
class BlockedPartManager
{
public:
  explicit BlockedPartManager(FleetContext& aContext);

  /// Applies an entry's observations.
  void OnReport(const PartReport& aReport);

  /// Processes changes of the replicated set since the previous call; returns
  /// whether there were any.
  bool OnStateApplied();

  void OnLeadership();
  void OnTick();

private:
  void QueryEntries();
  void ProposeReleases();

  FleetContext& m_context;
  CrashAnalysis m_crashes;
  /// Blocked parts processed in this term, and since when.
  std::map<RequestPartId, TimePoint> m_blockedSince;
  TimePoint m_nextReview;
};

} // namespace fulmarquay

#endif
