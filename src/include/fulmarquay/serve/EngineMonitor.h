#ifndef FULMARQUAY_SERVE_ENGINEMONITOR_H
#define FULMARQUAY_SERVE_ENGINEMONITOR_H

#include "fulmarquay/upstream/EngineProtocol.h"
#include "fulmarquay/route/EngineTable.h"
#include "fulmarquay/serve/CacheFlow.h"

#include <map>
#include <memory>
#include <string>

namespace fulmarquay {

/// Keeps the EngineTable of an entry up to date. Each engine of the data centre
/// is polled by one entry only, its owner by rendezvous hashing, which shares
/// the load reports with the other entries. Part of the entry's reducer; not
/// thread-safe.
class EngineMonitor : public CallSink
{
public:
  EngineMonitor(EntryContext& aContext,
                const ConfigHolder& aConfig,
                CacheFlow& aCache,
                const EngineProtocol& aProtocol);

  EngineTable& Table() { return m_table; }
  const EngineTable& Table() const { return m_table; }

  void OnConfiguration();
  void OnTick();
  void OnLoads(const EngineLoads& aLoads);

  void OnHead(CallId aCall, const HttpResponse& aHead) override;
  void OnData(CallId aCall, const std::string& aData) override;
  void OnEnd(CallId aCall,
             CallResult aEnd,
             const std::string& aReason) override;

private:
  struct MonitoredEngine
  {
    Endpoint m_address;
    TimePoint m_nextPoll;
    bool m_isPolling = false;
    std::uint64_t m_nextEvent = 0;
    bool m_needsResync = true; ///< read all cache events from the start
  };

  struct Poll
  {
    EngineId m_engine;
    int m_status = 0;
    std::string m_body;
  };

  void StartPoll(const EngineId& aEngine, MonitoredEngine& aMonitored);
  void OnReport(const EngineId& aEngine, const EngineReport& aReport);
  void ShareLoads();

  EntryContext& m_context;
  const ConfigHolder& m_config;
  CacheFlow& m_cache;
  const EngineProtocol& m_protocol;
  EngineTable m_table;
  std::map<EngineId, MonitoredEngine> m_monitored;
  std::map<CallId, Poll> m_polls;
  std::map<EngineId, EngineLoad> m_unsentLoads; ///< since the last report
  TimePoint m_nextLoadReport;
};

} // namespace fulmarquay

#endif
