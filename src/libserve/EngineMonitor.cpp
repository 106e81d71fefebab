#include "fulmarquay/serve/EngineMonitor.h"

#include "fulmarquay/core/Digest.h"
#include "fulmarquay/core/Error.h"

#include <utility>

namespace fulmarquay {

namespace {

constexpr Duration kPollInterval(200'000);
/// Interval between load reports, each of which is sent to every entry of the
/// data centre. A change that affects which engines may get work is sent at
/// once.
constexpr Duration kLoadReportInterval(2'000'000);
constexpr Duration kPollTimeout(1'000'000);

} // namespace

EngineMonitor::EngineMonitor(EntryContext& aContext,
                             const ConfigHolder& aConfig,
                             CacheFlow& aCache,
                             const EngineProtocol& aProtocol)
  : m_context(aContext)
  , m_config(aConfig)
  , m_cache(aCache)
  , m_protocol(aProtocol)
  , m_table(aContext.Self().m_boot.Value())
{
}

void
EngineMonitor::OnConfiguration()
{
  std::map<EngineId, MonitoredEngine> monitored;
  for (const auto& [id, engine] : m_config.Current()->m_engines) {
    if (engine.m_dataCentre != m_context.Self().m_dataCentre) {
      continue;
    }
    const auto known = m_monitored.find(id);
    if (known != m_monitored.end()) {
      monitored[id] = known->second;
    }
    monitored[id].m_address = engine.m_address;
    m_table.Set(id, engine.m_slots, engine.m_prefillPerSecond);
  }
  for (const auto& [id, old] : m_monitored) {
    if (monitored.count(id) == 0) {
      m_table.Remove(id);
    }
  }
  m_monitored = std::move(monitored);
}

void
EngineMonitor::OnTick()
{
  for (auto& [id, monitored] : m_monitored) {
    if (monitored.m_isPolling || m_context.Now() < monitored.m_nextPoll) {
      continue;
    }
    monitored.m_nextPoll = m_context.Now() + kPollInterval;
    const VmId owner = m_cache.OwnerOf(Checksum64(id.Value()));
    if (owner == m_context.Self().m_vm) {
      StartPoll(id, monitored);
    } else {
      // If this entry becomes the owner, it reads the engine's whole cache.
      monitored.m_needsResync = true;
    }
  }
  if (m_context.Now() >= m_nextLoadReport && !m_unsentLoads.empty()) {
    ShareLoads();
  }
}

void
EngineMonitor::StartPoll(const EngineId& aEngine, MonitoredEngine& aMonitored)
{
  aMonitored.m_isPolling = true;
  HttpCall call;
  call.m_peer = aMonitored.m_address;
  call.m_request =
    m_protocol.Report(aMonitored.m_needsResync ? 0 : aMonitored.m_nextEvent);
  call.m_idleTimeout = kPollTimeout;
  call.m_totalTimeout = kPollTimeout;
  Poll poll;
  poll.m_engine = aEngine;
  m_polls.emplace(m_context.Call(std::move(call), *this), std::move(poll));
}

void
EngineMonitor::OnHead(CallId aCall, const HttpResponse& aHead)
{
  m_polls.at(aCall).m_status = aHead.m_status;
}

void
EngineMonitor::OnData(CallId aCall, const std::string& aData)
{
  m_polls.at(aCall).m_body += aData;
}

void
EngineMonitor::OnEnd(CallId aCall, CallResult aEnd, const std::string& aReason)
{
  const auto found = m_polls.find(aCall);
  const Poll poll = std::move(found->second);
  m_polls.erase(found);
  const auto monitored = m_monitored.find(poll.m_engine);
  if (monitored == m_monitored.end()) {
    return;
  }
  monitored->second.m_isPolling = false;
  if (aEnd == CallResult::Complete && poll.m_status == 200) {
    try {
      OnReport(poll.m_engine, m_protocol.ParseReport(poll.m_body));
      return;
    } catch (const Error& e) {
      m_context.Log(
        LogEvent::UpstreamFailed,
        { { "engine", poll.m_engine.Value() }, { "why", e.Reason() } });
    }
  }
  m_context.Counters().Count("engine_poll_failures_total");
  m_table.OnEnd(m_context.Now(), poll.m_engine, AttemptResult::Failed);
  if (aEnd != CallResult::Complete) {
    m_context.Log(LogEvent::UpstreamFailed,
                  { { "engine", poll.m_engine.Value() }, { "why", aReason } });
  }
}

void
EngineMonitor::OnReport(const EngineId& aEngine, const EngineReport& aReport)
{
  MonitoredEngine& monitored = m_monitored.at(aEngine);
  const std::uint64_t expected =
    monitored.m_needsResync ? 0 : monitored.m_nextEvent;
  const bool isRestarted = aReport.m_next < expected;
  const bool isGap =
    monitored.m_needsResync || aReport.m_first > expected || isRestarted;
  monitored.m_needsResync = isRestarted;
  monitored.m_nextEvent = aReport.m_next;
  std::vector<std::pair<BlockKey, BlockKey>> added;
  std::vector<std::pair<BlockKey, BlockKey>> dropped;
  for (const EngineCacheEvent& event : aReport.m_events) {
    (event.m_isAdded ? added : dropped).emplace_back(event.m_key, event.m_root);
  }
  if (isGap || !aReport.m_events.empty()) {
    m_cache.ForwardEngineEvents(aEngine, isGap, added, dropped);
  }
  const EngineState* state = m_table.Find(aEngine);
  const bool isUrgent = !state->m_hasReported ||
                        aReport.m_isLeaving != state->m_isLeaving ||
                        aReport.m_weights != state->m_weights;
  if (isUrgent) {
    m_nextLoadReport = m_context.Now();
  }
  if (aReport.m_isLeaving && !state->m_isLeaving) {
    m_context.Log(LogEvent::UpstreamLeaving, { { "engine", aEngine.Value() } });
  }
  m_table.OnReport(m_context.Now(),
                   aEngine,
                   aReport.m_running,
                   aReport.m_queuedTokens,
                   aReport.m_weights,
                   aReport.m_isLeaving);
  EngineLoad& load = m_unsentLoads[aEngine];
  load.m_engine = aEngine;
  load.m_running = aReport.m_running;
  load.m_queuedTokens = aReport.m_queuedTokens;
  load.m_weights = aReport.m_weights;
  load.m_isLeaving = aReport.m_isLeaving;
}

void
EngineMonitor::ShareLoads()
{
  m_nextLoadReport = m_context.Now() + kLoadReportInterval;
  EngineLoads loads;
  for (const auto& [engine, load] : m_unsentLoads) {
    loads.m_loads.push_back(load);
  }
  m_unsentLoads.clear();
  for (const auto& [vm, address] : m_config.Peers()) {
    m_context.Emit(SendToPeer{ address, loads });
  }
}

void
EngineMonitor::OnLoads(const EngineLoads& aLoads)
{
  for (const EngineLoad& load : aLoads.m_loads) {
    m_table.OnReport(m_context.Now(),
                     load.m_engine,
                     load.m_running,
                     load.m_queuedTokens,
                     load.m_weights,
                     load.m_isLeaving);
  }
}

} // namespace fulmarquay
