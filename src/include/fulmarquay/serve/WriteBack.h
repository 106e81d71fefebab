#ifndef FULMARQUAY_SERVE_WRITEBACK_H
#define FULMARQUAY_SERVE_WRITEBACK_H

#include "fulmarquay/upstream/EngineProtocol.h"
#include "fulmarquay/serve/CacheFlow.h"

#include <map>
#include <string>
#include <vector>

namespace fulmarquay {

/// Blocks of a finished prompt to copy to a store.
struct WriteBackJob
{
  EngineId m_engine;
  Endpoint m_engineAddress;
  AccountId m_account;
  std::string m_weights;
  std::vector<BlockKey> m_keys;    ///< of the whole chain
  std::vector<BlockKey> m_missing; ///< those without a copy in a store
  std::int64_t m_blockBytes = 0;   ///< estimated size of a block; 0: a default
};

/// Copies blocks from engines to stores while their links are idle. The steps
/// of a job: reserve the writes at the chain's owner, reserve a background slot
/// of the link, export the blocks, report each write to the owner. Part of the
/// entry's reducer; not thread-safe.
class WriteBack : public CallSink
{
public:
  WriteBack(EntryContext& aContext,
            const ConfigHolder& aConfig,
            CacheFlow& aCache,
            const EngineProtocol& aProtocol);

  /// Starts a job; ignored when the data centre has no store.
  void Start(WriteBackJob aJob);
  void OnTick();

  void OnHead(CallId aCall, const HttpResponse& aHead) override;
  void OnData(CallId aCall, const std::string& aData) override;
  void OnEnd(CallId aCall,
             CallResult aEnd,
             const std::string& aReason) override;

  /// Number of jobs in progress.
  std::size_t Running() const { return m_jobs.size(); }

private:
  using JobId = std::uint64_t;

  struct Job
  {
    WriteBackJob m_spec;
    StoreId m_store;
    std::vector<ExportBlock> m_granted;
    std::size_t m_next = 0;           ///< first granted block not yet exported
    std::size_t m_blocksInExport = 0; ///< blocks in the running export
    TimePoint m_retryAt;              ///< next request for a link slot
    int m_linkRetries = 0;
    bool m_isInFlight = false; ///< a reply or an export is awaited
    CallId m_call;
    int m_status = 0;
    std::string m_body;
  };

  void OnReserved(JobId aId, const ReserveReply& aReply);
  void ReserveLinkSlot(JobId aId);
  void OnLink(JobId aId, const LinkReply& aReply);
  void OnExported(JobId aId, const std::vector<ExportedBlock>& aBlocks);
  void AbandonJob(JobId aId);

  EntryContext& m_context;
  const ConfigHolder& m_config;
  CacheFlow& m_cache;
  const EngineProtocol& m_protocol;
  std::map<JobId, Job> m_jobs;
  std::map<CallId, JobId> m_byCall;
};

} // namespace fulmarquay

#endif
