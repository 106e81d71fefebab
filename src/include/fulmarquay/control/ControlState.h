#ifndef FULMARQUAY_CONTROL_CONTROLSTATE_H
#define FULMARQUAY_CONTROL_CONTROLSTATE_H

#include "fulmarquay/control/ConfigTable.h"
#include "fulmarquay/control/OnceTable.h"
#include "fulmarquay/control/PublishedState.h"

#include <string>
#include <string_view>

namespace fulmarquay {

/// The state machine over the replicated log. Deterministic: replicas that
/// apply the same commands in the same order have the same state. Not
/// thread-safe.
class ControlState
{
public:
  /// Applies a committed command and returns its result.
  ControlResult Apply(const ControlCommand& aCommand);

  /// Encodes the whole state for a snapshot.
  std::string Encode() const;

  /// Replaces the state by an encoded one. Throws Error on malformed input.
  void Decode(std::string_view aBytes);

  const OnceTable& Once() const { return m_once; }
  const ConfigTable& Config() const { return m_config; }
  const PublishedState& Published() const { return m_published; }
  /// The highest order number issued; 0 before the first.
  std::uint64_t LastOrder() const { return m_lastOrder; }

private:
  ControlResult On(const SubmitCommand& aCommand);
  ControlResult On(const BeginOnceCommand& aCommand);
  ControlResult On(const FinishOnceCommand& aCommand);
  ControlResult On(const MarkEntryLostCommand& aCommand);
  ControlResult On(const PruneOnceCommand& aCommand);
  ControlResult On(const IssueOrderCommand& aCommand);
  ControlResult On(const SwitchWeightsCommand& aCommand);
  ControlResult On(const PublishRoutesCommand& aCommand);
  ControlResult On(const NameWeightsCommand& aCommand);
  ControlResult On(const BlockPartCommand& aCommand);
  ControlResult On(const ListSoftwareCommand& aCommand);
  ControlResult On(const EvacuateCommand& aCommand);

  OnceTable m_once;
  ConfigTable m_config;
  PublishedState m_published;
  std::uint64_t m_lastOrder = 0;
};

} // namespace fulmarquay

#endif
