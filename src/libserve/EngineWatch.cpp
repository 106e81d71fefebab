#include "fulmarquay/serve/EngineWatch.h"

#include "fulmarquay/core/Digest.h"
#include "fulmarquay/core/Error.h"

#include <utility>

namespace fulmarquay {

namespace {

constexpr Duration kPollInterval(200'000);
/// Between two shares of loads; news that changes who may get work goes at
/// once. Each share goes to every entry of the data centre.
constexpr Duration kShareInterval(2'000'000);
constexpr Duration kPollTimeout(1'000'000);

} // namespace

EngineWatch::EngineWatch(EntryContext& aContext,
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
EngineWatch::OnConfiguration()
{
  std::map<EngineId, Watched> watched;
  for (const auto& [id, engine] : m_config.Current()->m_engines) {
    if (engine.m_dataCentre != m_context.Self().m_dataCentre) {
      continue;
    }
    const auto known = m_watched.find(id);
    if (known != m_watched.end()) {
      watched[id] = known->second;
    }
    watched[id].m_address = engine.m_address;
    m_table.Set(id, engine.m_slots, engine.m_prefillPerSecond);
  }
  for (const auto& [id, old] : m_watched) {
    if (watched.count(id) == 0) {
      m_table.Remove(id);
    }
  }
  m_watched = std::move(watched);
}

void
EngineWatch::OnTick()
{
  for (auto& [id, watched] : m_watched) {
    if (watched.m_isPolling || m_context.Now() < watched.m_nextPoll) {
      continue;
    }
    watched.m_nextPoll = m_context.Now() + kPollInterval;
    const VmId owner = m_cache.OwnerOf(Checksum64(id.Value()));
    if (owner == m_context.Self().m_vm) {
      StartPoll(id, watched);
    } else {
      // A later takeover starts from the engine's whole cache again.
      watched.m_isFirst = true;
    }
  }
  if (m_context.Now() >= m_nextShare && !m_news.empty()) {
    ShareLoads();
  }
}

void
EngineWatch::StartPoll(const EngineId& aEngine, Watched& aWatched)
{
  aWatched.m_isPolling = true;
  HttpCall call;
  call.m_peer = aWatched.m_address;
  call.m_request =
    m_protocol.Report(aWatched.m_isFirst ? 0 : aWatched.m_nextEvent);
  call.m_idleTimeout = kPollTimeout;
  Poll poll;
  poll.m_engine = aEngine;
  m_polls.emplace(m_context.Call(std::move(call), *this), std::move(poll));
}

void
EngineWatch::OnHead(CallId aCall, const HttpResponse& aHead)
{
  m_polls.at(aCall).m_status = aHead.m_status;
}

void
EngineWatch::OnData(CallId aCall, const std::string& aData)
{
  m_polls.at(aCall).m_body += aData;
}

void
EngineWatch::OnEnd(CallId aCall, CallEnd aEnd, const std::string& aWhy)
{
  const auto place = m_polls.find(aCall);
  const Poll poll = std::move(place->second);
  m_polls.erase(place);
  const auto watched = m_watched.find(poll.m_engine);
  if (watched == m_watched.end()) {
    return;
  }
  watched->second.m_isPolling = false;
  if (aEnd == CallEnd::Whole && poll.m_status == 200) {
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
  if (aEnd != CallEnd::Whole) {
    m_context.Log(LogEvent::UpstreamFailed,
                  { { "engine", poll.m_engine.Value() }, { "why", aWhy } });
  }
}

void
EngineWatch::OnReport(const EngineId& aEngine, const EngineReport& aReport)
{
  Watched& watched = m_watched.at(aEngine);
  const std::uint64_t wanted = watched.m_isFirst ? 0 : watched.m_nextEvent;
  const bool isRestarted = aReport.m_next < wanted;
  const bool isGap =
    watched.m_isFirst || aReport.m_first > wanted || isRestarted;
  watched.m_isFirst = isRestarted;
  watched.m_nextEvent = aReport.m_next;
  std::vector<std::pair<BlockKey, BlockKey>> added;
  std::vector<std::pair<BlockKey, BlockKey>> dropped;
  for (const EngineCacheEvent& event : aReport.m_events) {
    (event.m_isAdded ? added : dropped).emplace_back(event.m_key, event.m_root);
  }
  if (isGap || !aReport.m_events.empty()) {
    m_cache.NoteEngine(aEngine, isGap, added, dropped);
  }
  const EngineState* state = m_table.Find(aEngine);
  const bool isUrgent = !state->m_isKnown ||
                        aReport.m_isLeaving != state->m_isLeaving ||
                        aReport.m_weights != state->m_weights;
  if (isUrgent) {
    m_nextShare = m_context.Now();
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
  EngineLoad& load = m_news[aEngine];
  load.m_engine = aEngine;
  load.m_running = aReport.m_running;
  load.m_queuedTokens = aReport.m_queuedTokens;
  load.m_weights = aReport.m_weights;
  load.m_isLeaving = aReport.m_isLeaving;
}

void
EngineWatch::ShareLoads()
{
  m_nextShare = m_context.Now() + kShareInterval;
  EngineLoads loads;
  for (const auto& [engine, load] : m_news) {
    loads.m_loads.push_back(load);
  }
  m_news.clear();
  for (const auto& [vm, address] : m_config.Peers()) {
    m_context.Emit(SendToPeer{ address, loads });
  }
}

void
EngineWatch::OnLoads(const EngineLoads& aLoads)
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
