#ifndef FULMARQUAY_CONTROL_EVACUATIONMANAGER_H
#define FULMARQUAY_CONTROL_EVACUATIONMANAGER_H

#include "fulmarquay/control/ControlCommands.h"
#include "fulmarquay/control/OperatorProtocol.h"
#include "fulmarquay/core/Units.h"
#include "fulmarquay/wire/HttpMessage.h"

#include <map>
#include <set>
#include <string_view>

namespace fulmarquay {

class FleetContext;

/// Whether a text can name a data centre in an operator's order: 1 to 64
/// printable ASCII characters without a slash.
bool
IsDataCentreName(std::string_view aName);

/// Evacuation of data centres by order of operators: proposes the orders,
/// answers them once committed, and determines the data centres that the worker
/// list shows as evacuated.
///
/// After the end of an evacuation, a data centre stays listed until a VM list
/// was read that was requested kListLag later, so that entries learn of cold
/// workers with its release or before. Every replica records when it applied an
/// end, so that a new leader keeps to this as well. Pure; not thread-safe.
class EvacuationManager
{
public:
  explicit EvacuationManager(FleetContext& aContext);

  /// Proposes the order, or answers it if the group has members of an older
  /// build. To be called only while the leader holds its lease.
  void OnOrder(CallerId aCaller, const EvacuateDataCentre& aOrder);
  /// To be called when a caller's command is applied, before anything else is;
  /// returns whether the caller was answered, as its order had no effect.
  bool OnCommitted(CallerId aCaller);
  /// Forgets the order of a caller that gets another answer.
  void Forget(CallerId aCaller) { m_orders.erase(aCaller); }

  /// Processes an applied command that changed the state, on every replica.
  void OnApplied(const EvacuateCommand& aCommand);
  /// Processes a snapshot that replaced the state, on every replica.
  void OnRestored(const std::set<DataCentreId>& aEvacuatedBefore);

  /// Processes changes of the state since the previous call in this term;
  /// returns whether the listed data centres changed.
  bool OnStateApplied();
  /// A VM list was read whose first page was requested at aRequestedAt; returns
  /// whether a data centre is released.
  bool OnListRead(TimePoint aRequestedAt);
  void OnLeadership();

  /// The data centres that the worker list shows as evacuated.
  std::set<DataCentreId> Listed() const;

private:
  FleetContext& m_context;
  std::map<CallerId, EvacuateDataCentre> m_orders; ///< proposed, not answered
  /// Data centres whose evacuation ended, and when this replica applied that.
  std::map<DataCentreId, TimePoint> m_endedAt;
  std::set<DataCentreId> m_logged; ///< evacuated at the last OnStateApplied
  std::set<DataCentreId> m_listed; ///< listed at the last OnStateApplied
};

} // namespace fulmarquay

#endif
