#include "fulmarquay/control/ControlNode.h"

#include "fulmarquay/core/Digest.h"
#include "fulmarquay/core/Settings.h"

#include <utility>

namespace fulmarquay {

namespace {

constexpr Duration kReviewInterval(500'000);
constexpr Duration kPruneInterval(60'000'000);
/// A push that was not followed by a heartbeat is repeated after this.
constexpr Duration kPushRepeat(1'000'000);
/// A call that runs for longer may have been given up by its entry.
constexpr Duration kProbeAge(3'000'000);
constexpr std::size_t kMostProbes = 64;
constexpr const char* kLoadOrder = "load";
constexpr int kStatusConflict = 409;
constexpr Duration kDefaultRetention(72LL * 3'600'000'000);
/// Marks a proposal of the node itself: nobody waits for its result.
constexpr ConnectionId::RepType kNoConnection = 0;

const char*
RoleName(ReplicaRole aRole)
{
  switch (aRole) {
    case ReplicaRole::Follower:
      return "follower";
    case ReplicaRole::PreCandidate:
      return "pre-candidate";
    case ReplicaRole::Candidate:
      return "candidate";
    case ReplicaRole::Leader:
      return "leader";
  }
  return "";
}

} // namespace

ControlNode::ControlNode(ControlOptions aOptions,
                         std::unique_ptr<Replica> aReplica)
  : m_options(aOptions)
  , m_replica(std::move(aReplica))
  , m_entries(aOptions.m_entryLease)
  , m_engineProtocol(MakeJsonEngineProtocol())
{
  const std::string& data = m_replica->Log().Base().m_data;
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
  std::visit([this](const auto& aBody) { On(aBody); }, aEvent);
  MaybeSnapshot();
  return std::move(m_effects);
}

void
ControlNode::On(const ReplicaEvent& aEvent)
{
  if (std::holds_alternative<SnapshotSaved>(aEvent)) {
    m_isSavingSnapshot = false;
  }
  Carry(m_replica->Reduce(m_now, aEvent));
  const bool isTick = std::holds_alternative<ReplicaTick>(aEvent);
  if (isTick && m_replica->HoldsLease(m_now) && m_now >= m_nextReview) {
    m_nextReview = m_now + kReviewInterval;
    m_entries.Review(m_now);
    ReviewEntries();
    ReviewRetention();
    StepRollout();
  }
}

void
ControlNode::On(const ControlReceived& aEvent)
{
  std::visit([&](const auto& aBody) { OnMessage(aEvent.m_connection, aBody); },
             aEvent.m_message);
}

void
ControlNode::On(const ControlClosed& aEvent)
{
  m_entries.OnClosed(aEvent.m_connection);
  for (auto place = m_waiters.begin(); place != m_waiters.end();) {
    std::erase_if(place->second, [&](const Waiter& aEach) {
      return aEach.m_connection == aEvent.m_connection;
    });
    place = place->second.empty() ? m_waiters.erase(place) : std::next(place);
  }
}

template<typename Other>
void
ControlNode::OnMessage(ConnectionId, const Other&)
{
  // A reply: only entries and operators take those.
}

void
ControlNode::OnMessage(ConnectionId aFrom, const EntryHeartbeat& aMessage)
{
  if (!m_replica->HoldsLease(m_now)) {
    Refuse(aFrom, RequestId(0));
    return;
  }
  EntrySession& session = m_entries.OnHeartbeat(m_now, aFrom, aMessage);
  HeartbeatReply reply = m_entries.MakeReply(aMessage);
  reply.m_revision = m_state.Config().Current();
  Emit(SendControl{ aFrom, std::move(reply) });
  Push(session);
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
ControlNode::Carry(ReplicaEffects aEffects)
{
  for (ReplicaEffect& effect : aEffects) {
    std::visit([this](auto& aBody) { Carry(std::move(aBody)); }, effect);
  }
}

void
ControlNode::Carry(const ApplyEntry& aEffect)
{
  ++m_appliedSinceSnapshot;
  const LogEntry& entry = aEffect.m_entry;
  ControlResult result;
  if (entry.Kind() == EntryKind::Command) {
    const auto command = UnpackMessage<ControlCommand>(entry.m_payload);
    result = m_state.Apply(command);
    if (const auto* finish = std::get_if<FinishOnceCommand>(&command)) {
      AnswerWaiters(finish->m_key);
    } else if (const auto* lose = std::get_if<LoseEntryCommand>(&command)) {
      m_losing.erase(lose->m_entry);
      std::vector<OnceKey> waited;
      for (const auto& [key, waiters] : m_waiters) {
        waited.push_back(key);
      }
      for (const OnceKey& key : waited) {
        AnswerWaiters(key);
      }
    } else if (std::holds_alternative<SubmitCommand>(command) ||
               std::holds_alternative<SwitchWeightsCommand>(command)) {
      PushAll();
    } else if (const auto* order = std::get_if<IssueOrderCommand>(&command)) {
      // Only the leader that asked for the number, in the same term, uses it.
      const auto pending = m_pending.find(entry.m_index);
      const bool isOurs =
        pending != m_pending.end() && pending->second.m_term == entry.m_term;
      if (isOurs && m_replica->HoldsLease(m_now)) {
        Carry(m_rollout.OnNumber(m_now,
                                 order->m_engine,
                                 order->m_target,
                                 std::get<DoneResult>(result).m_value));
      }
    }
  }
  AnswerPending(entry, result);
}

void
ControlNode::Carry(const RestoreMachine& aEffect)
{
  m_state.Decode(aEffect.m_data);
  m_appliedSinceSnapshot = 0;
}

void
ControlNode::Carry(const ProposalAppended& aEffect)
{
  const auto place = m_proposing.find(aEffect.m_request);
  Pending pending = place->second;
  m_proposing.erase(place);
  pending.m_term = aEffect.m_term;
  m_pending[aEffect.m_index] = pending;
}

void
ControlNode::Carry(const ProposalRefused& aEffect)
{
  const auto place = m_proposing.find(aEffect.m_request);
  const Pending pending = place->second;
  m_proposing.erase(place);
  Refuse(pending.m_connection, pending.m_request);
}

void
ControlNode::Carry(const LeadershipChanged& aEffect)
{
  Emit(LogLine{ aEffect.m_isLeader ? LogEvent::BecameLeader
                                   : LogEvent::LostLeadership,
                { { "term", std::to_string(aEffect.m_term.Value()) } } });
  m_leadingSince = m_now;
  m_nextPrune = m_now + kPruneInterval;
  m_entries.Clear();
  m_engineCalls.clear();
  m_rollout.Start(m_now, m_replica->LeaseLength());
  m_losing.clear();
  if (!aEffect.m_isLeader) {
    RefuseAll();
  }
}

void
ControlNode::Propose(ConnectionId aFrom,
                     RequestId aRequest,
                     const ControlCommand& aCommand)
{
  const RequestId proposal(m_nextProposal++);
  m_proposing[proposal] = { Term(0), aFrom, aRequest };
  Carry(m_replica->Reduce(m_now,
                          ProposeCommand{ proposal, PackMessage(aCommand) }));
}

void
ControlNode::ProposeOwn(const ControlCommand& aCommand)
{
  Propose(ConnectionId(kNoConnection), RequestId(0), aCommand);
}

void
ControlNode::AnswerPending(const LogEntry& aEntry, const ControlResult& aResult)
{
  const auto place = m_pending.find(aEntry.m_index);
  if (place == m_pending.end()) {
    return;
  }
  const Pending pending = place->second;
  m_pending.erase(place);
  if (pending.m_term != aEntry.m_term) {
    Refuse(pending.m_connection, pending.m_request);
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
    AnswerResult(pending, aResult);
  }
}

void
ControlNode::AddWaiter(const OnceKey& aKey, const Waiter& aWaiter)
{
  // A repeated request waits once.
  std::vector<Waiter>& waiters = m_waiters[aKey];
  std::erase_if(waiters, [&](const Waiter& aEach) {
    return aEach.m_connection == aWaiter.m_connection &&
           aEach.m_request == aWaiter.m_request;
  });
  waiters.push_back(aWaiter);
}

void
ControlNode::AnswerResult(const Pending& aPending, const ControlResult& aResult)
{
  const RequestId request = aPending.m_request;
  ControlMessage reply = FinishOnceReply{ request };
  if (const auto* submit = std::get_if<SubmitResult>(&aResult)) {
    reply = SubmitReply{ request, *submit };
  } else if (const auto* begin = std::get_if<BeginOnceResult>(&aResult)) {
    reply = BeginOnceReply{ request, *begin };
  }
  Emit(SendControl{ aPending.m_connection, std::move(reply) });
}

void
ControlNode::AnswerWaiters(const OnceKey& aKey)
{
  const auto place = m_waiters.find(aKey);
  const OnceRecord* record = m_state.Once().Find(aKey);
  const bool isRunning =
    record != nullptr && record->State() == OnceState::Intent;
  if (place == m_waiters.end() || isRunning) {
    return;
  }
  const std::vector<Waiter> waiters = std::move(place->second);
  m_waiters.erase(place);
  for (const Waiter& waiter : waiters) {
    if (record == nullptr) {
      // The call did not run after all: the waiter's entry asks again.
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
ControlNode::RefuseAll()
{
  for (const auto& [index, pending] : m_pending) {
    Refuse(pending.m_connection, pending.m_request);
  }
  m_pending.clear();
  for (const auto& [key, waiters] : m_waiters) {
    for (const Waiter& waiter : waiters) {
      Refuse(waiter.m_connection, waiter.m_request);
    }
  }
  m_waiters.clear();
}

void
ControlNode::Refuse(ConnectionId aTo, RequestId aRequest)
{
  if (aTo != ConnectionId(kNoConnection)) {
    Emit(SendControl{ aTo, NotLeader{ aRequest, LeaderAddress() } });
  }
}

bool
ControlNode::IsRunningLost(const VmId& aVm, BootId aBoot) const
{
  const EntrySession* session = m_entries.Find(aVm);
  if (session != nullptr && m_entries.IsLive(m_now, *session)) {
    return session->m_last.m_boot != aBoot;
  }
  // A new leader first gives every entry the time to find it.
  return m_now > m_leadingSince + m_options.m_entryLease;
}

void
ControlNode::ReviewEntries()
{
  std::vector<LoseEntryCommand> lost;
  for (const auto& [vm, boots] : m_state.Once().Running()) {
    for (const auto& [boot, keys] : boots) {
      if (m_losing.count(vm) != 0 || !IsRunningLost(vm, boot)) {
        continue;
      }
      LoseEntryCommand command;
      command.m_entry = vm;
      const EntrySession* session = m_entries.Find(vm);
      if (session != nullptr && m_entries.IsLive(m_now, *session)) {
        command.m_alive = session->m_last.m_boot;
      }
      m_losing[vm] = boot;
      lost.push_back(command);
    }
  }
  for (const LoseEntryCommand& command : lost) {
    Emit(
      LogLine{ LogEvent::EntryLost, { { "entry", command.m_entry.Value() } } });
    ProposeOwn(command);
  }
  ProbeRunning();
}

void
ControlNode::ProbeRunning()
{
  std::set<OnceKey> asked;
  for (const auto& [key, waiters] : m_waiters) {
    asked.insert(key);
  }
  const std::int64_t old = (m_wall - kProbeAge).time_since_epoch().count();
  for (const auto& [vm, boots] : m_state.Once().Running()) {
    for (const auto& [boot, keys] : boots) {
      for (const OnceKey& key : keys) {
        if (asked.size() < kMostProbes &&
            m_state.Once().Find(key)->m_touchedUs < old) {
          asked.insert(key);
        }
      }
    }
  }
  for (const OnceKey& key : asked) {
    ProbeOwner(key);
  }
}

void
ControlNode::ReviewRetention()
{
  if (m_now < m_nextPrune || m_state.Once().Size() == 0) {
    return;
  }
  m_nextPrune = m_now + kPruneInterval;
  Duration retention = kDefaultRetention;
  const ConfigSections& sections = m_state.Config().Sections();
  const auto deployment = sections.find("deployment");
  if (deployment != sections.end()) {
    retention = ParseDuration(deployment->second.at("once_retention"));
  }
  PruneOnceCommand command;
  command.m_beforeWallUs = (m_wall - retention).time_since_epoch().count();
  ProposeOwn(command);
}

void
ControlNode::StepRollout()
{
  if (m_configurationRevision != m_state.Config().Current()) {
    m_configurationRevision = m_state.Config().Current();
    m_configuration = BuildConfiguration(m_state.Config().Sections());
  }
  Carry(m_rollout.Step(m_now, m_configuration));
}

void
ControlNode::Carry(const std::vector<RolloutAction>& aActions)
{
  for (const RolloutAction& action : aActions) {
    std::visit([this](const auto& aBody) { Carry(aBody); }, action);
  }
}

void
ControlNode::Carry(const ObserveEngine& aAction)
{
  // No cache events are wanted: ask from the end of all.
  StartEngineCall(
    aAction.m_engine, m_engineProtocol->Report(UINT64_MAX), false);
}

void
ControlNode::Carry(const RequestOrder& aAction)
{
  IssueOrderCommand command;
  command.m_engine = aAction.m_engine;
  command.m_kind = kLoadOrder;
  command.m_target = aAction.m_target;
  ProposeOwn(command);
}

void
ControlNode::Carry(const SendOrder& aAction)
{
  Emit(LogLine{ LogEvent::OrderIssued,
                { { "engine", aAction.m_engine.Value() },
                  { "number", std::to_string(aAction.m_number) },
                  { "target", aAction.m_target } } });
  StartEngineCall(
    aAction.m_engine,
    m_engineProtocol->Order({ aAction.m_number, kLoadOrder, aAction.m_target }),
    true);
}

void
ControlNode::Carry(const SwitchWeights& aAction)
{
  ProposeOwn(SwitchWeightsCommand{ aAction.m_model, aAction.m_weights });
}

void
ControlNode::StartEngineCall(const EngineId& aEngine,
                             HttpRequest aRequest,
                             bool aIsOrder)
{
  const auto engine = m_configuration.m_engines.find(aEngine);
  if (engine == m_configuration.m_engines.end()) {
    return;
  }
  HttpCall call;
  call.m_call = CallId(m_nextCall++);
  call.m_peer = engine->second.m_address;
  call.m_request = std::move(aRequest);
  call.m_idleTimeout = Rollout::kOrderTimeout;
  call.m_freshConnection = aIsOrder;
  m_engineCalls[call.m_call] = { aEngine, aIsOrder };
  Emit(CallEngine{ std::move(call) });
}

void
ControlNode::On(const EngineAnswered& aEvent)
{
  const auto place = m_engineCalls.find(aEvent.m_call);
  if (place == m_engineCalls.end()) {
    return;
  }
  const EngineCall call = place->second;
  m_engineCalls.erase(place);
  const bool isGood = aEvent.m_end == CallEnd::Whole && aEvent.m_status == 200;
  if (call.m_isOrder) {
    const bool isFenced =
      aEvent.m_end == CallEnd::Whole && aEvent.m_status == kStatusConflict;
    OrderEnd end = isGood ? OrderEnd::Done : OrderEnd::Failed;
    end = isFenced ? OrderEnd::Fenced : end;
    m_rollout.OnOrderEnded(m_now, call.m_engine, end);
    return;
  }
  try {
    if (isGood) {
      m_rollout.OnObserved(
        m_now,
        call.m_engine,
        m_engineProtocol->ParseReport(aEvent.m_body).m_weights);
    }
  } catch (const Error& e) {
    Emit(LogLine{
      LogEvent::UpstreamFailed,
      { { "engine", call.m_engine.Value() }, { "why", e.Reason() } } });
  }
}

void
ControlNode::Push(EntrySession& aSession)
{
  const Revision current = m_state.Config().Current();
  const bool isFresh =
    aSession.m_pushed == current && m_now < aSession.m_pushedAt + kPushRepeat;
  if (aSession.m_last.m_held >= current || isFresh) {
    return;
  }
  aSession.m_pushed = current;
  aSession.m_pushedAt = m_now;
  ConfigPush push;
  push.m_delta = m_state.Config().DeltaFrom(aSession.m_last.m_held);
  Emit(SendControl{ aSession.m_connection, std::move(push) });
}

void
ControlNode::PushAll()
{
  if (!m_replica->HoldsLease(m_now)) {
    return;
  }
  Emit(LogLine{
    LogEvent::ConfigurationAccepted,
    { { "revision", std::to_string(m_state.Config().Current().Value()) },
      { "digest", m_state.Config().Digest() } } });
  for (auto& [vm, session] : m_entries.All()) {
    Push(session);
  }
}

void
ControlNode::MaybeSnapshot()
{
  const bool isDue = m_appliedSinceSnapshot >= m_options.m_snapshotEntries;
  if (!isDue || m_isSavingSnapshot) {
    return;
  }
  m_appliedSinceSnapshot = 0;
  m_isSavingSnapshot = true;
  Emit(SaveSnapshot{ m_replica->MakeSnapshot(m_state.Encode()) });
}

std::string
ControlNode::LeaderAddress() const
{
  for (const Member& voter : m_replica->Members().m_voters) {
    if (voter.m_id == m_replica->Leader()) {
      return voter.m_address;
    }
  }
  return "";
}

std::vector<ReplicaStatus>
ControlNode::ReplicaList() const
{
  std::vector<ReplicaStatus> list;
  const Membership& members = m_replica->Members();
  for (const Member& voter : members.m_voters) {
    const bool isLeader = voter.m_id == m_replica->Leader();
    list.push_back({ voter.m_id.Value(),
                     voter.m_vm,
                     voter.m_address,
                     isLeader ? "leader" : "voter" });
  }
  for (const Member& learner : members.m_learners) {
    list.push_back(
      { learner.m_id.Value(), learner.m_vm, learner.m_address, "learner" });
  }
  return list;
}

StatusReply
ControlNode::MakeStatus(RequestId aRequest) const
{
  StatusReply reply;
  reply.m_request = aRequest;
  reply.m_revision = m_state.Config().Current();
  reply.m_digest = m_state.Config().Digest();
  reply.m_term = m_replica->CurrentTerm().Value();
  reply.m_commit = m_replica->Commit().Value();
  reply.m_onceRecords = m_state.Once().Size();
  reply.m_replicas = ReplicaList();
  for (const auto& [vm, session] : m_entries.All()) {
    EntryStatus entry;
    entry.m_vm = vm;
    entry.m_dataCentre = session.m_last.m_dataCentre;
    entry.m_inForce = session.m_last.m_inForce;
    entry.m_heardAgoUs = (m_now - session.m_heard).count();
    entry.m_isLive = m_entries.IsLive(m_now, session);
    reply.m_entries.push_back(std::move(entry));
  }
  return reply;
}

std::string
ControlNode::Dump(TimePoint aNow) const
{
  const Snapshot& base = m_replica->Log().Base();
  std::string text = "{\"program\":\"fulmarquay-control\"";
  const auto number = [&](const char* aName, std::uint64_t aValue) {
    text += std::string(",\"") + aName + "\":" + std::to_string(aValue);
  };
  const auto word = [&](const char* aName, const std::string& aValue) {
    text += std::string(",\"") + aName + "\":\"" + aValue + "\"";
  };
  word("replica", HexOf(m_replica->Id().Value()));
  word("role", RoleName(m_replica->Role()));
  number("term", m_replica->CurrentTerm().Value());
  word("leader", HexOf(m_replica->Leader().Value()));
  text += std::string(",\"holds_lease\":") +
          (m_replica->HoldsLease(aNow) ? "true" : "false");
  number("commit", m_replica->Commit().Value());
  number("last_index", m_replica->Log().LastIndex().Value());
  number("snapshot_index", base.m_index.Value());
  number("voters", m_replica->Members().m_voters.size());
  number("learners", m_replica->Members().m_learners.size());
  number("revision", m_state.Config().Current().Value());
  word("digest", m_state.Config().Digest());
  number("once_records", m_state.Once().Size());
  number("entries", m_entries.All().size());
  number("pending", m_pending.size());
  number("waiters", m_waiters.size());
  number("last_order", m_state.LastOrder());
  number("engines_given_up", m_rollout.GivenUp().size());
  return text + "}";
}

} // namespace fulmarquay
