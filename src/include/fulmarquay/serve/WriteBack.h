#ifndef FULMARQUAY_SERVE_WRITEBACK_H
#define FULMARQUAY_SERVE_WRITEBACK_H

#include "fulmarquay/upstream/EngineProtocol.h"
#include "fulmarquay/serve/CacheFlow.h"

#include <map>
#include <string>
#include <vector>

namespace fulmarquay {

/// Blocks of a finished prompt that are worth keeping in a store.
struct WriteBackJob
{
  EngineId m_engine;
  Endpoint m_engineAddress;
  AccountId m_account;
  std::string m_weights;
  std::vector<BlockKey> m_keys;    ///< of the whole chain
  std::vector<BlockKey> m_missing; ///< those without a copy
  std::int64_t m_blockBytes = 0;   ///< estimate of one block
};

/// Copies blocks from engines to stores when links are idle: reserve at the
/// chain's owner, get a background slot of the link, export, seal.
class WriteBack : public CallSink
{
public:
  WriteBack(EntryContext& aContext,
            const ConfigHolder& aConfig,
            CacheFlow& aCache,
            const EngineProtocol& aProtocol);

  void Start(WriteBackJob aJob);
  void OnTick();

  void OnHead(CallId aCall, const HttpResponse& aHead) override;
  void OnData(CallId aCall, const std::string& aData) override;
  void OnEnd(CallId aCall, CallEnd aEnd, const std::string& aWhy) override;

  std::size_t Running() const { return m_jobs.size(); }

private:
  using JobId = std::uint64_t;

  struct Job
  {
    WriteBackJob m_work;
    StoreId m_store;
    std::vector<ExportBlock> m_granted;
    std::size_t m_next = 0;    ///< first granted block not yet exported
    std::size_t m_sending = 0; ///< blocks in the running export
    TimePoint m_tryAt;
    int m_tries = 0;
    bool m_isBusy = false;
    CallId m_call;
    int m_status = 0;
    std::string m_body;
  };

  void OnReserved(JobId aId, const ReserveReply& aReply);
  void AskLink(JobId aId);
  void OnLink(JobId aId, const LinkReply& aReply);
  void OnExported(JobId aId, const std::vector<ExportedBlock>& aBlocks);
  void GiveUp(JobId aId);

  EntryContext& m_context;
  const ConfigHolder& m_config;
  CacheFlow& m_cache;
  const EngineProtocol& m_protocol;
  std::map<JobId, Job> m_jobs;
  std::map<CallId, JobId> m_byCall;
};

} // namespace fulmarquay

#endif
