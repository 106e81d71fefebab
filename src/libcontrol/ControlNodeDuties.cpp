// What the leader does by itself: lost entries, retention, configuration
// pushes, weight rollouts.
#include "fulmarquay/control/ControlNode.h"

#include "fulmarquay/core/Settings.h"
#include "fulmarquay/wire/HttpStatus.h"

#include <set>
#include <utility>

namespace fulmarquay {

namespace {

/// A push that was not followed by a heartbeat is repeated after this.
constexpr Duration kPushRepeat(1'000'000);
/// A call that runs for longer may have been given up by its entry.
constexpr Duration kProbeAge(3'000'000);
constexpr std::size_t kMostProbes = 64;
constexpr const char* kLoadOrder = "load";
constexpr Duration kDefaultRetention(72LL * 3'600'000'000);

} // namespace

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
  call.m_idleTimeout = m_rollout.Options().m_orderTimeout;
  call.m_freshConnection = aIsOrder;
  m_engineCalls[call.m_call] = { aEngine, aIsOrder };
  Emit(CallEngine{ std::move(call) });
}

void
ControlNode::On(const EngineAnswered& aEvent)
{
  if (m_fleet && m_fleet->OnAnswered(aEvent)) {
    return;
  }
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
      EngineObservation observation;
      observation.m_weights =
        m_engineProtocol->ParseReport(aEvent.m_body).m_weights;
      m_rollout.OnObserved(m_now, call.m_engine, observation);
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

} // namespace fulmarquay
