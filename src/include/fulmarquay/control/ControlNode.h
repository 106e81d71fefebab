#ifndef FULMARQUAY_CONTROL_CONTROLNODE_H
#define FULMARQUAY_CONTROL_CONTROLNODE_H

#include "fulmarquay/consensus/Replica.h"
#include "fulmarquay/control/ControlMessages.h"
#include "fulmarquay/control/ControlState.h"
#include "fulmarquay/control/EntryRegistry.h"
#include "fulmarquay/control/FleetManager.h"
#include "fulmarquay/control/GroupMonitor.h"
#include "fulmarquay/control/Rollout.h"
#include "fulmarquay/upstream/EngineProtocol.h"
#include "fulmarquay/wire/HttpClient.h"
#include "fulmarquay/core/LogEvent.h"

#include <map>
#include <set>
#include <memory>
#include <string>
#include <variant>
#include <vector>

namespace fulmarquay {

/// A message arrived from an entry or an operator.
struct ControlMessageReceived
{
  ConnectionId m_connection;
  ControlMessage m_message;
};

/// The connection of an entry or an operator closed.
struct ControlConnectionClosed
{
  ConnectionId m_connection;
};

/// A call to an upstream ended with a response or a failure.
struct UpstreamCallEnded
{
  CallId m_call;
  CallResult m_end = CallResult::Complete;
  int m_status = 0;
  std::string m_body;
};

/// A decoded request of the operators' HTTP interface.
struct OperatorRequestReceived
{
  CallerId m_caller;
  OperatorRequest m_request;
};

using ControlEvent = std::variant<ReplicaEvent,
                                  ControlMessageReceived,
                                  ControlConnectionClosed,
                                  UpstreamCallEnded,
                                  OperatorRequestReceived>;

/// Sends a message to an entry or an operator.
struct SendControl
{
  ConnectionId m_connection;
  ControlMessage m_message;
};

/// Saves a snapshot of the state machine. SnapshotSaved must follow.
struct SaveSnapshot
{
  Snapshot m_snapshot;
};

/// Starts a call to an upstream. UpstreamCallEnded reports its result.
struct StartUpstreamCall
{
  HttpCall m_call;
};

/// Answers a request of the operators' HTTP interface.
struct RespondToOperator
{
  CallerId m_caller;
  OperatorAnswer m_answer;
};

using ControlEffect = std::variant<SendConsensus,
                                   PersistBatch,
                                   PersistSnapshot,
                                   SaveSnapshot,
                                   SendControl,
                                   StartUpstreamCall,
                                   RespondToOperator,
                                   LogLine>;
using ControlEffects = std::vector<ControlEffect>;

/// Options of a ControlNode.
struct ControlOptions
{
  /// An entry counts as live for this long after its last heartbeat.
  Duration m_entryLease = Duration(5'000'000);
  /// Log entries applied between two snapshots.
  std::uint64_t m_snapshotEntries = 20'000;
};

/// The reducer of fulmarquay-control: a consensus replica, the state machine
/// over its log, and the leader's work for entries and operators.
///
/// Pure like Replica: the time is passed with each event, effects are returned
/// as data. Not thread-safe.
class ControlNode : private FleetContext
{
public:
  /// Restores the state machine from the replica's snapshot, if it has one.
  ControlNode(ControlOptions aOptions, std::unique_ptr<Replica> aReplica);

  /// Adds the part that serves published routes and a VM list. To be called
  /// before the first event.
  void AddFleet(FleetOptions aOptions,
                std::unique_ptr<FleetProtocol> aProtocol,
                std::unique_ptr<PartStoreProtocol> aStores);

  /// Handles one event; returns the effects in the order of their execution.
  /// `aWall` is used only for the retention and the age of once-only records.
  ControlEffects Reduce(TimePoint aNow,
                        WallTime aWall,
                        const ControlEvent& aEvent);

  const Replica& Consensus() const { return *m_replica; }
  const ControlState& State() const { return m_state; }

  /// The state as JSON, of bounded size and without secrets.
  std::string Dump(TimePoint aNow) const;

private:
  static constexpr Duration kPruneInterval = Duration(60'000'000);

  /// A proposal, and the recipient of its result.
  struct PendingProposal
  {
    Term m_term;
    ConnectionId m_connection;
    RequestId m_request;
    CallerId m_caller; ///< of an operator's HTTP request; 0: none
  };

  /// A BeginOnceRequest that is answered when the running attempt ends.
  struct Waiter
  {
    ConnectionId m_connection;
    RequestId m_request;
  };

  void On(const ReplicaEvent& aEvent);
  void On(const ControlMessageReceived& aEvent);
  void On(const ControlConnectionClosed& aEvent);
  void On(const UpstreamCallEnded& aEvent);
  void On(const OperatorRequestReceived& aEvent);

  // FleetContext.
  TimePoint Now() const override { return m_now; }
  bool HoldsLeaderLease() const override
  {
    return m_replica->HoldsLease(m_now);
  }
  bool IsLeading() const override;
  std::uint64_t CurrentTerm() const override;
  std::uint32_t LowestFeatureLevel() const override
  {
    return m_replica->LowestFeatureLevel();
  }
  std::string LeaderAddress() const override;
  const PublishedState& Published() const override;
  EntryRegistry& Entries() override { return m_entries; }
  void ProposeFor(CallerId aCaller, const ControlCommand& aCommand) override;
  CallId CallUpstream(HttpCall aCall) override;
  void Answer(CallerId aCaller, OperatorAnswer aAnswer) override;
  void Push(ConnectionId aTo, ControlMessage aMessage) override;
  void Log(LogEvent aEvent,
           std::vector<std::pair<std::string, std::string>> aFields) override;

  void OnMessage(ConnectionId aFrom, const EntryHeartbeat& aMessage);
  /// Logs that another process of the entry sends heartbeats than before.
  void LogRestart(const EntryHeartbeat& aHeartbeat);
  void OnMessage(ConnectionId aFrom, const BeginOnceRequest& aMessage);
  void OnMessage(ConnectionId aFrom, const FinishOnceRequest& aMessage);
  void OnMessage(ConnectionId aFrom, const SubmitRequest& aMessage);
  void OnMessage(ConnectionId aFrom, const StatusRequest& aMessage);
  void OnMessage(ConnectionId aFrom, const PartReport& aMessage);
  template<typename Other>
  void OnMessage(ConnectionId aFrom, const Other& aMessage);

  void Execute(ReplicaEffects aEffects);
  void Execute(SendConsensus aEffect) { Emit(std::move(aEffect)); }
  void Execute(PersistBatch aEffect) { Emit(std::move(aEffect)); }
  void Execute(PersistSnapshot aEffect) { Emit(std::move(aEffect)); }
  void Execute(const ApplyEntry& aEffect);
  void Execute(const RestoreStateMachine& aEffect);
  void Execute(const ProposalAppended& aEffect);
  void Execute(const ProposalRefused& aEffect);
  void Execute(const LeadershipChanged& aEffect);
  void Execute(const VoterRemoved& aEffect);
  void Execute(const VoterDiskLost& aEffect);
  void Execute(const MembershipChanged& aEffect);
  void Execute(const JoinHandled& aEffect);

  // Side effects of an applied command, beside its reply.
  template<typename Other>
  void AfterApply(const LogEntry& aEntry,
                  const Other& aCommand,
                  const ControlResult& aResult);
  void AfterApply(const LogEntry& aEntry,
                  const FinishOnceCommand& aCommand,
                  const ControlResult& aResult);
  void AfterApply(const LogEntry& aEntry,
                  const MarkEntryLostCommand& aCommand,
                  const ControlResult& aResult);
  void AfterApply(const LogEntry& aEntry,
                  const SubmitCommand& aCommand,
                  const ControlResult& aResult);
  void AfterApply(const LogEntry& aEntry,
                  const SwitchWeightsCommand& aCommand,
                  const ControlResult& aResult);
  void AfterApply(const LogEntry& aEntry,
                  const IssueOrderCommand& aCommand,
                  const ControlResult& aResult);
  void AfterApply(const LogEntry& aEntry,
                  const EvacuateCommand& aCommand,
                  const ControlResult& aResult);
  void Propose(const PendingProposal& aProposal,
               const ControlCommand& aCommand);
  void Propose(ConnectionId aFrom,
               RequestId aRequest,
               const ControlCommand& aCommand);
  void ProposeOwn(const ControlCommand& aCommand);
  void ReplyToProposal(const LogEntry& aEntry, const ControlResult& aResult);
  void SendResult(const PendingProposal& aProposal,
                  const ControlResult& aResult);
  void AddWaiter(const OnceKey& aKey, const Waiter& aWaiter);
  void ReplyToWaiters(const OnceKey& aKey);
  void ProbeOwner(const OnceKey& aKey);
  void RefuseOutstanding();
  void Refuse(ConnectionId aTo, RequestId aRequest);
  void ProposeLostEntries();
  void ProbeRunningCalls();
  void ProposePruning();
  void StepRollout();
  void Execute(const std::vector<RolloutAction>& aActions);
  void Execute(const ObserveEngine& aAction);
  void Execute(const RequestOrderNumber& aAction);
  void Execute(const SendOrder& aAction);
  void Execute(const SwitchWeights& aAction);
  void StartEngineCall(const EngineId& aEngine,
                       HttpRequest aRequest,
                       bool aIsOrder);
  void PushConfiguration(EntrySession& aSession);
  void PushConfigurationToAll();
  bool IsEntryBootLost(const VmId& aVm, BootId aBoot) const;
  void SnapshotIfDue();
  void LogFeatureLevel();
  void RefuseProposal(const PendingProposal& aProposal);
  StatusReply MakeStatus(RequestId aRequest) const;
  std::vector<ReplicaStatus> ListReplicas() const;

  void EmitIfAny(std::optional<LogLine> aLine)
  {
    if (aLine) {
      Emit(std::move(*aLine));
    }
  }

  template<typename Effect>
  void Emit(Effect aEffect)
  {
    m_effects.emplace_back(std::move(aEffect));
  }

  ControlOptions m_options;
  std::unique_ptr<Replica> m_replica;
  ControlState m_state;
  TimePoint m_now;
  WallTime m_wall;
  ControlEffects m_effects;

  /// Handed to the replica, without a log index yet.
  std::map<RequestId, PendingProposal> m_submittedProposals;
  /// In the log, not applied yet.
  std::map<LogIndex, PendingProposal> m_appendedProposals;
  std::map<OnceKey, std::vector<Waiter>> m_waiters;
  EntryRegistry m_entries;
  /// Entries whose MarkEntryLostCommand is proposed and not applied yet.
  std::map<VmId, BootId> m_proposedLosses;
  std::unique_ptr<EngineProtocol> m_engineProtocol;
  Rollout m_rollout;
  Configuration m_configuration; ///< typed form of m_configurationRevision
  Revision m_configurationRevision;
  struct EngineCall
  {
    EngineId m_engine;
    bool m_isOrder = false;
  };
  std::map<CallId, EngineCall> m_engineCalls;
  std::unique_ptr<FleetManager> m_fleet; ///< null without AddFleet
  std::uint32_t m_loggedFeatureLevel = 0;
  GroupMonitor m_group;
  std::uint64_t m_nextCall = 1;
  std::uint64_t m_nextProposal = 1;
  TimePoint m_leadingSince;
  TimePoint m_nextMaintenance;
  TimePoint m_nextPrune;
  std::uint64_t m_appliedSinceSnapshot = 0;
  bool m_isSavingSnapshot = false;
};

} // namespace fulmarquay

#endif
