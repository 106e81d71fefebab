#include "fulmarquay/control/ControlNode.h"

#include "fulmarquay/core/AddressText.h"
#include "fulmarquay/core/Digest.h"
#include "fulmarquay/core/Settings.h"

#include <utility>

namespace fulmarquay {

namespace {

constexpr Duration kMaintenanceInterval(500'000);
/// Marks a proposal of the node itself, whose result is sent to no connection.
constexpr ConnectionId::RepType kNoConnection = 0;

} // namespace

ControlNode::ControlNode(ControlOptions aOptions,
                         std::unique_ptr<Replica> aReplica)
  : m_options(aOptions)
  , m_replica(std::move(aReplica))
  , m_entries(aOptions.m_entryLease)
  , m_engineProtocol(MakeJsonEngineProtocol())
{
  const std::string& data = m_replica->Log().BaseSnapshot().m_data;
  if (!data.empty()) {
    m_state.Decode(data);
  }
}

ControlEffects
ControlNode::Reduce(TimePoint aNow, WallTime aWall, const ControlEvent& aEvent)
{
  m_now = aNow;
  m_wall = aWall;
  m_effects.clear();
  std::visit([this](const auto& aAlternative) { On(aAlternative); }, aEvent);
  if (m_fleet) {
    m_fleet->OnStateApplied();
  }
  SnapshotIfDue();
  return std::move(m_effects);
}

void
ControlNode::On(const ReplicaEvent& aEvent)
{
  if (std::holds_alternative<SnapshotSaved>(aEvent)) {
    m_isSavingSnapshot = false;
  }
  Execute(m_replica->Reduce(m_now, aEvent));
  if (m_fleet && std::holds_alternative<ReplicaTick>(aEvent)) {
    m_fleet->OnTick();
  }
  const bool isTick = std::holds_alternative<ReplicaTick>(aEvent);
  if (isTick) {
    EmitIfAny(m_group.OnMembership(m_replica->Members()));
    EmitIfAny(m_group.OnTick(m_now, *m_replica));
  }
  if (isTick && m_replica->HoldsLease(m_now) && m_now >= m_nextMaintenance) {
    m_nextMaintenance = m_now + kMaintenanceInterval;
    m_entries.Review(m_now);
    LogFeatureLevel();
    ProposeLostEntries();
    ProposePruning();
    StepRollout();
  }
}

void
ControlNode::On(const ControlMessageReceived& aEvent)
{
  std::visit(
    [&](const auto& aAlternative) {
      OnMessage(aEvent.m_connection, aAlternative);
    },
    aEvent.m_message);
}

void
ControlNode::On(const ControlConnectionClosed& aEvent)
{
  m_entries.OnClosed(aEvent.m_connection);
  for (auto it = m_waiters.begin(); it != m_waiters.end();) {
    std::erase_if(it->second, [&](const Waiter& aEach) {
      return aEach.m_connection == aEvent.m_connection;
    });
    it = it->second.empty() ? m_waiters.erase(it) : std::next(it);
  }
}

template<typename Other>
void
ControlNode::OnMessage(ConnectionId, const Other&)
{
  // Replies and pushes are addressed to entries and operators only.
}

void
ControlNode::OnMessage(ConnectionId aFrom, const EntryHeartbeat& aMessage)
{
  if (!m_replica->HoldsLease(m_now)) {
    Refuse(aFrom, RequestId(0));
    return;
  }
  for (const std::string* address :
       { &aMessage.m_address, &aMessage.m_relayAddress }) {
    if (!address->empty() && !ReadAddress(*address)) {
      // The other entries would get it as that of a peer.
      Emit(LogLine{
        LogEvent::BadFrame,
        { { "step", "read heartbeat" },
          { "reason",
            "an address of " + aMessage.m_vm.Value() + " is not IP:PORT" } } });
      return;
    }
  }
  LogRestart(aMessage);
  EntrySession& session = m_entries.OnHeartbeat(m_now, aFrom, aMessage);
  if (m_fleet) {
    // Before the reply, which renews the lease of the shares that are pushed.
    m_fleet->OnLimitReport(session);
  }
  HeartbeatReply reply = m_entries.MakeReply(aMessage);
  reply.m_revision = m_state.Config().Current();
  reply.m_term = CurrentTerm();
  if (m_fleet) {
    m_fleet->FillReply(aMessage, reply);
  }
  for (const Member& voter : m_replica->Members().m_voters) {
    reply.m_replicas.push_back(voter.m_address);
  }
  Emit(SendControl{ aFrom, std::move(reply) });
  PushConfiguration(session);
  if (m_fleet) {
    m_fleet->PushTo(session);
  }
}

void
ControlNode::LogRestart(const EntryHeartbeat& aHeartbeat)
{
  const EntrySession* session = m_entries.Find(aHeartbeat.m_vm);
  if (session == nullptr || session->m_last.m_boot == aHeartbeat.m_boot) {
    return;
  }
  const Duration silence = m_now - session->m_heartbeatAt;
  Emit(LogLine{ LogEvent::EntryRestarted,
                { { "entry", aHeartbeat.m_vm.Value() },
                  { "boot", HexOf(aHeartbeat.m_boot.Value()) },
                  { "previous_boot", HexOf(session->m_last.m_boot.Value()) },
                  { "silent_ms", std::to_string(ToMillis(silence)) } } });
}

void
ControlNode::OnMessage(ConnectionId aFrom, const BeginOnceRequest& aMessage)
{
  BeginOnceCommand command = aMessage.m_command;
  command.m_wallUs = m_wall.time_since_epoch().count();
  Propose(aFrom, aMessage.m_request, command);
}

void
ControlNode::OnMessage(ConnectionId aFrom, const FinishOnceRequest& aMessage)
{
  FinishOnceCommand command = aMessage.m_command;
  command.m_wallUs = m_wall.time_since_epoch().count();
  Propose(aFrom, aMessage.m_request, command);
}

void
ControlNode::OnMessage(ConnectionId aFrom, const SubmitRequest& aMessage)
{
  if (!m_replica->HoldsLease(m_now)) {
    Refuse(aFrom, aMessage.m_request);
    return;
  }
  try {
    const Settings answers = CheckAnswers(aMessage.m_answers, "answers");
    SubmitCommand command;
    command.m_submission = aMessage.m_submission;
    command.m_operator = aMessage.m_operator;
    command.m_base =
      aMessage.m_hasBase ? aMessage.m_base : m_state.Config().Current();
    command.m_sections = answers.All();
    Propose(aFrom, aMessage.m_request, command);
  } catch (const SettingsError& e) {
    SubmitResult result;
    result.m_revision = m_state.Config().Current();
    result.m_problems = e.Problems();
    Emit(SendControl{ aFrom, SubmitReply{ aMessage.m_request, result } });
  }
}

void
ControlNode::OnMessage(ConnectionId aFrom, const StatusRequest& aMessage)
{
  if (!m_replica->HoldsLease(m_now)) {
    Refuse(aFrom, aMessage.m_request);
    return;
  }
  Emit(SendControl{ aFrom, MakeStatus(aMessage.m_request) });
}

void
ControlNode::OnMessage(ConnectionId, const PartReport& aMessage)
{
  // Entries repeat their reports, so that a new leader gets them too.
  if (m_fleet && m_replica->HoldsLease(m_now)) {
    m_fleet->OnPartReport(aMessage);
  }
}

void
ControlNode::Execute(ReplicaEffects aEffects)
{
  for (ReplicaEffect& effect : aEffects) {
    std::visit([this](auto& aAlternative) { Execute(std::move(aAlternative)); },
               effect);
  }
}

void
ControlNode::Execute(const ApplyEntry& aEffect)
{
  ++m_appliedSinceSnapshot;
  const LogEntry& entry = aEffect.m_entry;
  ControlResult result;
  if (entry.Kind() == EntryKind::Command) {
    const auto command = UnpackMessage<ControlCommand>(entry.m_payload);
    result = m_state.Apply(command);
    std::visit(
      [&](const auto& aAlternative) {
        AfterApply(entry, aAlternative, result);
      },
      command);
  }
  ReplyToProposal(entry, result);
}

template<typename Other>
void
ControlNode::AfterApply(const LogEntry&, const Other&, const ControlResult&)
{
  // No side effects: only the reply to the proposer is sent.
}

void
ControlNode::AfterApply(const LogEntry&,
                        const FinishOnceCommand& aCommand,
                        const ControlResult&)
{
  ReplyToWaiters(aCommand.m_key);
}

void
ControlNode::AfterApply(const LogEntry&,
                        const MarkEntryLostCommand& aCommand,
                        const ControlResult&)
{
  m_proposedLosses.erase(aCommand.m_entry);
  std::vector<OnceKey> waitedKeys;
  for (const auto& [key, waiters] : m_waiters) {
    waitedKeys.push_back(key);
  }
  for (const OnceKey& key : waitedKeys) {
    ReplyToWaiters(key);
  }
}

void
ControlNode::AfterApply(const LogEntry&,
                        const SubmitCommand&,
                        const ControlResult&)
{
  PushConfigurationToAll();
}

void
ControlNode::AfterApply(const LogEntry&,
                        const SwitchWeightsCommand&,
                        const ControlResult&)
{
  PushConfigurationToAll();
}

void
ControlNode::AfterApply(const LogEntry& aEntry,
                        const IssueOrderCommand& aCommand,
                        const ControlResult& aResult)
{
  // Only the leader that proposed the command, still in the same term, may use
  // the number.
  const auto pending = m_appendedProposals.find(aEntry.m_index);
  const bool isOwn = pending != m_appendedProposals.end() &&
                     pending->second.m_term == aEntry.m_term;
  if (isOwn && m_replica->HoldsLease(m_now)) {
    const std::uint64_t number = std::get<ValueResult>(aResult).m_value;
    Execute(m_rollout.OnOrderNumberAssigned(
      m_now, aCommand.m_engine, aCommand.m_target, number));
    if (m_fleet) {
      m_fleet->OnOrderNumber(aCommand.m_engine, aCommand.m_target, number);
    }
  }
}

void
ControlNode::AfterApply(const LogEntry&,
                        const EvacuateCommand& aCommand,
                        const ControlResult& aResult)
{
  if (m_fleet && std::get<ValueResult>(aResult).m_value != 0) {
    m_fleet->OnEvacuation(aCommand);
  }
}

void
ControlNode::Execute(const RestoreStateMachine& aEffect)
{
  const std::set<DataCentreId> evacuatedBefore = Published().Evacuated();
  m_state.Decode(aEffect.m_data);
  if (m_fleet) {
    m_fleet->OnStateRestored(evacuatedBefore);
  }
  m_appliedSinceSnapshot = 0;
}

void
ControlNode::Execute(const ProposalAppended& aEffect)
{
  const auto it = m_submittedProposals.find(aEffect.m_request);
  PendingProposal pending = it->second;
  m_submittedProposals.erase(it);
  pending.m_term = aEffect.m_term;
  m_appendedProposals[aEffect.m_index] = pending;
}

void
ControlNode::Execute(const ProposalRefused& aEffect)
{
  const auto it = m_submittedProposals.find(aEffect.m_request);
  const PendingProposal pending = it->second;
  m_submittedProposals.erase(it);
  RefuseProposal(pending);
}

void
ControlNode::Execute(const LeadershipChanged& aEffect)
{
  Emit(LogLine{ aEffect.m_isLeader ? LogEvent::BecameLeader
                                   : LogEvent::LostLeadership,
                { { "term", std::to_string(aEffect.m_term.Value()) } } });
  m_leadingSince = m_now;
  m_nextPrune = m_now + kPruneInterval;
  m_entries.Clear();
  m_engineCalls.clear();
  m_rollout.Start(m_now, m_replica->LeaseLength());
  m_proposedLosses.clear();
  if (m_fleet) {
    m_fleet->OnLeadership(aEffect.m_isLeader, m_replica->LeaseLength());
  }
  if (!aEffect.m_isLeader) {
    RefuseOutstanding();
  }
}

void
ControlNode::Execute(const VoterRemoved& aEffect)
{
  // The members are already those after the removal.
  const std::size_t voters = m_replica->Members().m_voters.size();
  Emit(LogLine{ LogEvent::VoterReplaced,
                { { "vm", aEffect.m_voter.m_vm },
                  { "replica", HexOf(aEffect.m_voter.m_id.Value()) },
                  { "reason", aEffect.m_isDiskLost ? "disk lost" : "silent" },
                  { "silent_ms", std::to_string(ToMillis(aEffect.m_silence)) },
                  { "voters", std::to_string(voters) } } });
}

void
ControlNode::Execute(const MembershipChanged& aEffect)
{
  EmitIfAny(m_group.OnMembership(aEffect.m_membership));
}

void
ControlNode::Execute(const VoterDiskLost& aEffect)
{
  Emit(LogLine{ LogEvent::VoterDiskLost,
                { { "vm", aEffect.m_voter.m_vm },
                  { "replica", HexOf(aEffect.m_voter.m_id.Value()) } } });
}

void
ControlNode::Execute(const JoinHandled& aEffect)
{
  EmitIfAny(m_group.OnJoin(aEffect));
}

void
ControlNode::Propose(ConnectionId aFrom,
                     RequestId aRequest,
                     const ControlCommand& aCommand)
{
  Propose({ Term(0), aFrom, aRequest, CallerId(0) }, aCommand);
}

void
ControlNode::Propose(const PendingProposal& aProposal,
                     const ControlCommand& aCommand)
{
  const RequestId proposal(m_nextProposal++);
  m_submittedProposals[proposal] = aProposal;
  Execute(m_replica->Reduce(m_now,
                            ProposeCommand{ proposal, PackMessage(aCommand) }));
}

void
ControlNode::ProposeOwn(const ControlCommand& aCommand)
{
  Propose(ConnectionId(kNoConnection), RequestId(0), aCommand);
}

void
ControlNode::ReplyToProposal(const LogEntry& aEntry,
                             const ControlResult& aResult)
{
  const auto it = m_appendedProposals.find(aEntry.m_index);
  if (it == m_appendedProposals.end()) {
    return;
  }
  const PendingProposal pending = it->second;
  m_appendedProposals.erase(it);
  if (pending.m_term != aEntry.m_term) {
    RefuseProposal(pending);
    return;
  }
  if (pending.m_caller != CallerId(0)) {
    m_fleet->OnCommitted(pending.m_caller);
    return;
  }
  if (pending.m_connection != ConnectionId(kNoConnection)) {
    const auto* begin = std::get_if<BeginOnceResult>(&aResult);
    if (begin != nullptr && begin->Verdict() == OnceVerdict::Running) {
      const auto command = std::get<BeginOnceCommand>(
        UnpackMessage<ControlCommand>(aEntry.m_payload));
      AddWaiter(command.m_key, { pending.m_connection, pending.m_request });
      ProbeOwner(command.m_key);
      return;
    }
    SendResult(pending, aResult);
  }
}

void
ControlNode::AddWaiter(const OnceKey& aKey, const Waiter& aWaiter)
{
  // A resent request replaces its earlier copy.
  std::vector<Waiter>& waiters = m_waiters[aKey];
  std::erase_if(waiters, [&](const Waiter& aEach) {
    return aEach.m_connection == aWaiter.m_connection &&
           aEach.m_request == aWaiter.m_request;
  });
  waiters.push_back(aWaiter);
}

void
ControlNode::SendResult(const PendingProposal& aProposal,
                        const ControlResult& aResult)
{
  const RequestId request = aProposal.m_request;
  ControlMessage reply = FinishOnceReply{ request };
  if (const auto* submit = std::get_if<SubmitResult>(&aResult)) {
    reply = SubmitReply{ request, *submit };
  } else if (const auto* begin = std::get_if<BeginOnceResult>(&aResult)) {
    reply = BeginOnceReply{ request, *begin };
  }
  Emit(SendControl{ aProposal.m_connection, std::move(reply) });
}

void
ControlNode::ReplyToWaiters(const OnceKey& aKey)
{
  const auto it = m_waiters.find(aKey);
  const OnceRecord* record = m_state.Once().Find(aKey);
  const bool isRunning =
    record != nullptr && record->State() == OnceState::Intent;
  if (it == m_waiters.end() || isRunning) {
    return;
  }
  const std::vector<Waiter> waiters = std::move(it->second);
  m_waiters.erase(it);
  for (const Waiter& waiter : waiters) {
    if (record == nullptr) {
      // The attempt ended without running the call; the waiter's entry is to
      // resend its request.
      Refuse(waiter.m_connection, waiter.m_request);
      continue;
    }
    const bool isDone = record->State() == OnceState::Completed;
    BeginOnceResult result;
    result.m_verdict = static_cast<std::uint8_t>(isDone ? OnceVerdict::Completed
                                                        : OnceVerdict::Unknown);
    result.m_answer = record->m_answer;
    Emit(SendControl{ waiter.m_connection,
                      BeginOnceReply{ waiter.m_request, result } });
  }
}

void
ControlNode::ProbeOwner(const OnceKey& aKey)
{
  const OnceRecord* record = m_state.Once().Find(aKey);
  if (record == nullptr || record->State() != OnceState::Intent) {
    return;
  }
  const EntrySession* owner = m_entries.Find(record->m_entry);
  if (owner != nullptr && m_entries.IsLive(m_now, *owner)) {
    Emit(SendControl{ owner->m_connection,
                      OnceProbe{ aKey, record->m_boot, record->m_attempt } });
  }
}

void
ControlNode::RefuseOutstanding()
{
  for (const auto& [index, pending] : m_appendedProposals) {
    RefuseProposal(pending);
  }
  m_appendedProposals.clear();
  for (const auto& [key, waiters] : m_waiters) {
    for (const Waiter& waiter : waiters) {
      Refuse(waiter.m_connection, waiter.m_request);
    }
  }
  m_waiters.clear();
}

void
ControlNode::RefuseProposal(const PendingProposal& aProposal)
{
  if (aProposal.m_caller != CallerId(0)) {
    m_fleet->OnRefused(aProposal.m_caller);
    return;
  }
  Refuse(aProposal.m_connection, aProposal.m_request);
}

void
ControlNode::Refuse(ConnectionId aTo, RequestId aRequest)
{
  if (aTo != ConnectionId(kNoConnection)) {
    Emit(SendControl{ aTo, NotLeader{ aRequest, LeaderAddress() } });
  }
}

void
ControlNode::SnapshotIfDue()
{
  const bool isDue = m_appliedSinceSnapshot >= m_options.m_snapshotEntries;
  if (!isDue || m_isSavingSnapshot) {
    return;
  }
  m_appliedSinceSnapshot = 0;
  m_isSavingSnapshot = true;
  Emit(SaveSnapshot{ m_replica->MakeSnapshot(m_state.Encode()) });
}

} // namespace fulmarquay
