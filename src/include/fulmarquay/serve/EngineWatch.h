#ifndef FULMARQUAY_SERVE_ENGINEWATCH_H
#define FULMARQUAY_SERVE_ENGINEWATCH_H

#include "fulmarquay/upstream/EngineProtocol.h"
#include "fulmarquay/route/EngineTable.h"
#include "fulmarquay/serve/CacheFlow.h"

#include <map>
#include <memory>
#include <string>

namespace fulmarquay {

/// Keeps the EngineTable of an entry: polls the engines that this entry owns
/// and shares their loads with the other entries of the data centre, so that
/// an engine is polled by one entry only.
class EngineWatch : public CallSink
{
public:
  EngineWatch(EntryContext& aContext,
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
  void OnEnd(CallId aCall, CallEnd aEnd, const std::string& aWhy) override;

private:
  struct Watched
  {
    Endpoint m_address;
    TimePoint m_nextPoll;
    bool m_isPolling = false;
    std::uint64_t m_nextEvent = 0;
    bool m_isFirst = true;
  };

  struct Poll
  {
    EngineId m_engine;
    int m_status = 0;
    std::string m_body;
  };

  void StartPoll(const EngineId& aEngine, Watched& aWatched);
  void OnReport(const EngineId& aEngine, const EngineReport& aReport);
  void ShareLoads();

  EntryContext& m_context;
  const ConfigHolder& m_config;
  CacheFlow& m_cache;
  const EngineProtocol& m_protocol;
  EngineTable m_table;
  std::map<EngineId, Watched> m_watched;
  std::map<CallId, Poll> m_polls;
  std::map<EngineId, EngineLoad> m_news;
  TimePoint m_nextShare;
};

} // namespace fulmarquay

#endif
