#ifndef FULMARQUAY_CONTROL_CONTROLNODE_H
#define FULMARQUAY_CONTROL_CONTROLNODE_H

#include "fulmarquay/consensus/Replica.h"
#include "fulmarquay/control/ControlMessages.h"
#include "fulmarquay/control/ControlState.h"
#include "fulmarquay/control/EntryRegistry.h"
#include "fulmarquay/control/FleetDesk.h"
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

/// A message came from an entry or an operator.
struct ControlReceived
{
  ConnectionId m_connection;
  ControlMessage m_message;
};

/// A connection of an entry or an operator is gone.
struct ControlClosed
{
  ConnectionId m_connection;
};

/// The whole answer of a call to an engine.
struct EngineAnswered
{
  CallId m_call;
  CallEnd m_end = CallEnd::Whole;
  int m_status = 0;
  std::string m_body;
};

/// A decoded call of the operators' HTTP interface.
struct OperatorCalled
{
  CallerId m_caller;
  OperatorRequest m_request;
};

using ControlEvent = std::variant<ReplicaEvent,
                                  ControlReceived,
                                  ControlClosed,
                                  EngineAnswered,
                                  OperatorCalled>;

/// Send a message to an entry or an operator.
struct SendControl
{
  ConnectionId m_connection;
  ControlMessage m_message;
};

/// Save the state machine; then report SnapshotSaved.
struct SaveSnapshot
{
  Snapshot m_snapshot;
};

/// Call an engine; then report EngineAnswered.
struct CallEngine
{
  HttpCall m_call;
};

/// Answer a call of the operators' HTTP interface.
struct AnswerOperator
{
  CallerId m_caller;
  OperatorAnswer m_answer;
};

using ControlEffect = std::variant<SendConsensus,
                                   PersistBatch,
                                   PersistSnapshot,
                                   SaveSnapshot,
                                   SendControl,
                                   CallEngine,
                                   AnswerOperator,
                                   LogLine>;
using ControlEffects = std::vector<ControlEffect>;

/// How a control node behaves.
struct ControlOptions
{
  Duration m_entryLease = Duration(5'000'000);
  /// Applied entries between two snapshots.
  std::uint64_t m_snapshotEntries = 20'000;
};

/// The reducer of fulmarquay-control: a replica, the state machine over its
/// log, and what the leader does for entries and operators.
///
/// Pure like Replica. Not thread-safe.
class ControlNode : private FleetDeskOwner
{
public:
  /// Starts from the replica's snapshot.
  ControlNode(ControlOptions aOptions, std::unique_ptr<Replica> aReplica);

  /// Serves published routes and a VM list as well. Call it before the first
  /// event.
  void AddFleet(FleetOptions aOptions,
                std::unique_ptr<FleetProtocol> aProtocol,
                std::unique_ptr<PartStoreProtocol> aStores);

  /// Takes one event; returns effects in the order to carry them out.
  /// `aWall` is used for retention only.
  ControlEffects Reduce(TimePoint aNow,
                        WallTime aWall,
                        const ControlEvent& aEvent);

  const Replica& Consensus() const { return *m_replica; }
  const ControlState& State() const { return m_state; }

  /// The state as JSON, bounded in size, without secrets.
  std::string Dump(TimePoint aNow) const;

private:
  static constexpr Duration kPruneInterval = Duration(60'000'000);

  struct Pending
  {
    Term m_term;
    ConnectionId m_connection;
    RequestId m_request;
    CallerId m_caller; ///< of an operator's HTTP call; 0: none
  };

  struct Waiter
  {
    ConnectionId m_connection;
    RequestId m_request;
  };

  void On(const ReplicaEvent& aEvent);
  void On(const ControlReceived& aEvent);
  void On(const ControlClosed& aEvent);
  void On(const EngineAnswered& aEvent);
  void On(const OperatorCalled& aEvent);

  // FleetDeskOwner.
  TimePoint Now() const override { return m_now; }
  bool MayLead() const override { return m_replica->HoldsLease(m_now); }
  bool IsLeading() const override;
  std::uint64_t CurrentTerm() const override;
  std::string LeaderAddress() const override;
  const PublishTable& Published() const override;
  EntryRegistry& Entries() override { return m_entries; }
  void ProposeFor(CallerId aCaller, const ControlCommand& aCommand) override;
  CallId CallUpstream(HttpCall aCall) override;
  void Answer(CallerId aCaller, OperatorAnswer aAnswer) override;
  void Push(ConnectionId aTo, ControlMessage aMessage) override;
  void Log(LogEvent aEvent,
           std::vector<std::pair<std::string, std::string>> aFields) override;

  void OnMessage(ConnectionId aFrom, const EntryHeartbeat& aMessage);
  void OnMessage(ConnectionId aFrom, const BeginOnceRequest& aMessage);
  void OnMessage(ConnectionId aFrom, const FinishOnceRequest& aMessage);
  void OnMessage(ConnectionId aFrom, const SubmitRequest& aMessage);
  void OnMessage(ConnectionId aFrom, const StatusRequest& aMessage);
  template<typename Other>
  void OnMessage(ConnectionId aFrom, const Other& aMessage);

  void Carry(ReplicaEffects aEffects);
  void Carry(SendConsensus aEffect) { Emit(std::move(aEffect)); }
  void Carry(PersistBatch aEffect) { Emit(std::move(aEffect)); }
  void Carry(PersistSnapshot aEffect) { Emit(std::move(aEffect)); }
  void Carry(const ApplyEntry& aEffect);
  void Carry(const RestoreMachine& aEffect);
  void Carry(const ProposalAppended& aEffect);
  void Carry(const ProposalRefused& aEffect);
  void Carry(const LeadershipChanged& aEffect);
  void Carry(const VoterLost& aEffect);

  // What follows from an applied command, beside its answer.
  template<typename Other>
  void AfterApply(const LogEntry& aEntry,
                  const Other& aCommand,
                  const ControlResult& aResult);
  void AfterApply(const LogEntry& aEntry,
                  const FinishOnceCommand& aCommand,
                  const ControlResult& aResult);
  void AfterApply(const LogEntry& aEntry,
                  const LoseEntryCommand& aCommand,
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
  void Propose(const Pending& aPending, const ControlCommand& aCommand);
  void Propose(ConnectionId aFrom,
               RequestId aRequest,
               const ControlCommand& aCommand);
  void ProposeOwn(const ControlCommand& aCommand);
  void AnswerPending(const LogEntry& aEntry, const ControlResult& aResult);
  void AnswerResult(const Pending& aPending, const ControlResult& aResult);
  void AddWaiter(const OnceKey& aKey, const Waiter& aWaiter);
  void AnswerWaiters(const OnceKey& aKey);
  void ProbeOwner(const OnceKey& aKey);
  void RefuseAll();
  void Refuse(ConnectionId aTo, RequestId aRequest);
  void ReviewEntries();
  void ProbeRunning();
  void ReviewRetention();
  void StepRollout();
  void Carry(const std::vector<RolloutAction>& aActions);
  void Carry(const ObserveEngine& aAction);
  void Carry(const RequestOrder& aAction);
  void Carry(const SendOrder& aAction);
  void Carry(const SwitchWeights& aAction);
  void StartEngineCall(const EngineId& aEngine,
                       HttpRequest aRequest,
                       bool aIsOrder);
  void Push(EntrySession& aSession);
  void PushAll();
  bool IsRunningLost(const VmId& aVm, BootId aBoot) const;
  void MaybeSnapshot();
  void RefusePending(const Pending& aPending);
  StatusReply MakeStatus(RequestId aRequest) const;
  std::vector<ReplicaStatus> ReplicaList() const;

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

  std::map<RequestId, Pending> m_proposing;
  std::map<LogIndex, Pending> m_pending;
  std::map<OnceKey, std::vector<Waiter>> m_waiters;
  EntryRegistry m_entries;
  std::map<VmId, BootId> m_losing; ///< LoseEntry proposed and not applied
  std::unique_ptr<EngineProtocol> m_engineProtocol;
  Rollout m_rollout;
  Configuration m_configuration; ///< typed form of the accepted one
  Revision m_configurationRevision;
  struct EngineCall
  {
    EngineId m_engine;
    bool m_isOrder = false;
  };
  std::map<CallId, EngineCall> m_engineCalls;
  std::unique_ptr<FleetDesk> m_fleet; ///< null: no published routes
  std::uint64_t m_nextCall = 1;
  std::uint64_t m_nextProposal = 1;
  TimePoint m_leadingSince;
  TimePoint m_nextReview;
  TimePoint m_nextPrune;
  std::uint64_t m_appliedSinceSnapshot = 0;
  bool m_isSavingSnapshot = false;
};

} // namespace fulmarquay

#endif
