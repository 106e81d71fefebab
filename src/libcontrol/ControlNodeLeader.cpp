// The leader's periodic work: lost entries, probes, retention, configuration
// pushes, weight rollouts.
#include "fulmarquay/control/ControlNode.h"

#include "fulmarquay/core/Settings.h"
#include "fulmarquay/wire/HttpStatus.h"

#include <set>
#include <utility>

namespace fulmarquay {

namespace {

/// A push is repeated after this time unless a heartbeat confirms its revision.
constexpr Duration kPushRetryInterval(1'000'000);
/// A call that has been running for longer may have been abandoned by its
/// entry.
constexpr Duration kMinProbeAge(3'000'000);
constexpr std::size_t kMaxProbes = 64;
constexpr const char* kLoadOrderKind = "load";
constexpr Duration kDefaultOnceRetention(72LL * 3'600'000'000);

} // namespace

bool
ControlNode::IsEntryBootLost(const VmId& aVm, BootId aBoot) const
{
  const EntrySession* session = m_entries.Find(aVm);
  if (session != nullptr && m_entries.IsLive(m_now, *session)) {
    return session->m_last.m_boot != aBoot;
  }
  // A new leader waits for one entry lease, so that each entry can reach it.
  return m_now > m_leadingSince + m_options.m_entryLease;
}

void
ControlNode::ProposeLostEntries()
{
  std::vector<MarkEntryLostCommand> lost;
  for (const auto& [vm, boots] : m_state.Once().RunningCalls()) {
    for (const auto& [boot, keys] : boots) {
      if (m_proposedLosses.count(vm) != 0 || !IsEntryBootLost(vm, boot)) {
        continue;
      }
      MarkEntryLostCommand command;
      command.m_entry = vm;
      const EntrySession* session = m_entries.Find(vm);
      if (session != nullptr && m_entries.IsLive(m_now, *session)) {
        command.m_liveBoot = session->m_last.m_boot;
      }
      m_proposedLosses[vm] = boot;
      lost.push_back(command);
    }
  }
  for (const MarkEntryLostCommand& command : lost) {
    Emit(
      LogLine{ LogEvent::EntryLost, { { "entry", command.m_entry.Value() } } });
    ProposeOwn(command);
  }
  ProbeRunningCalls();
}

void
ControlNode::ProbeRunningCalls()
{
  std::set<OnceKey> toProbe;
  for (const auto& [key, waiters] : m_waiters) {
    toProbe.insert(key);
  }
  const std::int64_t touchedBeforeUs =
    (m_wall - kMinProbeAge).time_since_epoch().count();
  for (const auto& [vm, boots] : m_state.Once().RunningCalls()) {
    for (const auto& [boot, keys] : boots) {
      for (const OnceKey& key : keys) {
        if (toProbe.size() < kMaxProbes &&
            m_state.Once().Find(key)->m_touchedUs < touchedBeforeUs) {
          toProbe.insert(key);
        }
      }
    }
  }
  for (const OnceKey& key : toProbe) {
    ProbeOwner(key);
  }
}

void
ControlNode::ProposePruning()
{
  if (m_now < m_nextPrune || m_state.Once().Size() == 0) {
    return;
  }
  m_nextPrune = m_now + kPruneInterval;
  Duration retention = kDefaultOnceRetention;
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
  Execute(m_rollout.Step(m_now, m_configuration));
}

void
ControlNode::Execute(const std::vector<RolloutAction>& aActions)
{
  for (const RolloutAction& action : aActions) {
    std::visit([this](const auto& aAlternative) { Execute(aAlternative); },
               action);
  }
}

void
ControlNode::Execute(const ObserveEngine& aAction)
{
  // Cache events are not needed: none follows the greatest sequence number.
  StartEngineCall(
    aAction.m_engine, m_engineProtocol->Report(UINT64_MAX), false);
}

void
ControlNode::Execute(const RequestOrderNumber& aAction)
{
  IssueOrderCommand command;
  command.m_engine = aAction.m_engine;
  command.m_kind = kLoadOrderKind;
  command.m_target = aAction.m_target;
  ProposeOwn(command);
}

void
ControlNode::Execute(const SendOrder& aAction)
{
  Emit(LogLine{ LogEvent::OrderIssued,
                { { "engine", aAction.m_engine.Value() },
                  { "number", std::to_string(aAction.m_number) },
                  { "target", aAction.m_target } } });
  StartEngineCall(aAction.m_engine,
                  m_engineProtocol->Order(
                    { aAction.m_number, kLoadOrderKind, aAction.m_target }),
                  true);
}

void
ControlNode::Execute(const SwitchWeights& aAction)
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
  call.m_totalTimeout = call.m_idleTimeout;
  m_engineCalls[call.m_call] = { aEngine, aIsOrder };
  Emit(StartUpstreamCall{ std::move(call) });
}

void
ControlNode::On(const UpstreamCallEnded& aEvent)
{
  if (m_fleet && m_fleet->OnAnswered(aEvent)) {
    return;
  }
  const auto it = m_engineCalls.find(aEvent.m_call);
  if (it == m_engineCalls.end()) {
    return;
  }
  const EngineCall call = it->second;
  m_engineCalls.erase(it);
  const bool isSuccess =
    aEvent.m_end == CallResult::Complete && aEvent.m_status == 200;
  if (call.m_isOrder) {
    const bool isFenced = aEvent.m_end == CallResult::Complete &&
                          aEvent.m_status == kStatusConflict;
    OrderOutcome end = isSuccess ? OrderOutcome::Done : OrderOutcome::Failed;
    end = isFenced ? OrderOutcome::Fenced : end;
    m_rollout.OnOrderEnded(m_now, call.m_engine, end);
    return;
  }
  try {
    if (isSuccess) {
      EngineObservation observation;
      const std::string weights =
        m_engineProtocol->ParseReport(aEvent.m_body).m_weights;
      const auto engine = m_configuration.m_engines.find(call.m_engine);
      if (engine != m_configuration.m_engines.end()) {
        for (const auto& [model, listed] : engine->second.m_models) {
          observation.m_weights[model] = weights;
        }
      }
      m_rollout.OnObserved(m_now, call.m_engine, observation);
    }
  } catch (const Error& e) {
    Emit(LogLine{
      LogEvent::UpstreamFailed,
      { { "engine", call.m_engine.Value() }, { "why", e.Reason() } } });
  }
}

void
ControlNode::PushConfiguration(EntrySession& aSession)
{
  const Revision current = m_state.Config().Current();
  const bool isRecentlyPushed =
    aSession.m_pushedRevision == current &&
    m_now < aSession.m_revisionPushedAt + kPushRetryInterval;
  if (aSession.m_last.m_held >= current || isRecentlyPushed) {
    return;
  }
  aSession.m_pushedRevision = current;
  aSession.m_revisionPushedAt = m_now;
  ConfigPush push;
  push.m_delta = m_state.Config().DeltaFrom(aSession.m_last.m_held);
  Emit(SendControl{ aSession.m_connection, std::move(push) });
}

void
ControlNode::PushConfigurationToAll()
{
  if (!m_replica->HoldsLease(m_now)) {
    return;
  }
  Emit(LogLine{
    LogEvent::ConfigurationAccepted,
    { { "revision", std::to_string(m_state.Config().Current().Value()) },
      { "digest", m_state.Config().Digest() } } });
  for (auto& [vm, session] : m_entries.All()) {
    PushConfiguration(session);
  }
}

} // namespace fulmarquay
