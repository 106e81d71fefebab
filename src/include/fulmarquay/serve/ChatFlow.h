#ifndef FULMARQUAY_SERVE_CHATFLOW_H
#define FULMARQUAY_SERVE_CHATFLOW_H

#include "fulmarquay/cache/RestorePlanner.h"
#include "fulmarquay/upstream/EngineProtocol.h"
#include "fulmarquay/route/RetryBudget.h"
#include "fulmarquay/serve/CacheFlow.h"
#include "fulmarquay/serve/ChatRequest.h"
#include "fulmarquay/serve/EngineMonitor.h"
#include "fulmarquay/serve/WriteBack.h"

#include <map>
#include <memory>
#include <optional>
#include <string>

namespace fulmarquay {

/// Options for serving prompts.
struct ChatOptions
{
  /// A prompt is refused when its planned time to first token is longer.
  Duration m_firstTokenDeadline = Duration(10'000'000);
  int m_maxAttempts = 3;
  std::string m_policy = "cost"; ///< a policy name for MakeRestorePolicy
};

/// Runs prompts: looks up cached blocks, chooses a restore plan, calls an
/// engine and streams its tokens to the caller. When a stream breaks, another
/// attempt continues after the tokens already sent. Part of the entry's
/// reducer; not thread-safe.
class ChatFlow : public CallSink
{
public:
  ChatFlow(EntryContext& aContext,
           const ConfigHolder& aConfig,
           CacheFlow& aCache,
           EngineMonitor& aEngines,
           const EngineProtocol& aProtocol,
           WriteBack& aWriteBack,
           ChatOptions aOptions);
  ~ChatFlow() override;

  /// Starts a prompt that is authenticated and within its account's rate limit.
  void Start(CallerId aCaller, const AccountId& aAccount, ChatRequest aRequest);

  /// Ends the calls to engines that send no token in time, also if they send
  /// other bytes.
  void OnTick();

  /// Cancels the prompt of a caller that has disconnected.
  void OnCallerDisconnected(CallerId aCaller);

  void OnHead(CallId aCall, const HttpResponse& aHead) override;
  void OnData(CallId aCall, const std::string& aData) override;
  void OnEnd(CallId aCall,
             CallResult aEnd,
             const std::string& aReason) override;

  /// Number of prompts in flight.
  std::size_t Running() const { return m_runs.size(); }

private:
  struct Run
  {
    CallerId m_caller;
    AccountId m_account;
    ChatRequest m_request;
    ModelConfig m_model;
    std::string m_id;
    std::vector<BlockKey> m_keys;
    ChainReply m_chain;
    TimePoint m_startedAt;
    TimePoint m_lastTokenAt;
    TimePoint m_progressAt;     ///< start of the attempt or its last token
    bool m_isStreaming = false; ///< the head was sent to the caller
    EngineId m_engine;
    std::optional<EngineId> m_failedEngine; ///< of the last attempt
    CallId m_call;
    std::uint32_t m_attempt = 0;
    int m_status = 0;
    std::unique_ptr<EngineStream> m_stream;
    std::uint32_t m_sentTokens = 0; ///< in the answer, over all attempts
    std::string m_text;
    std::optional<EngineEnd> m_end;
    bool m_isMalformed = false;
    bool m_mayHaveRun = false;
  };

  Run* Find(CallerId aCaller);
  Run* FindByCall(CallId aCall);
  void OnChainReply(CallerId aCaller, const ChainReply& aReply);
  void Plan(Run& aRun);
  RestoreInput MakePlanInput(const Run& aRun,
                             const std::vector<EngineId>& aEngines) const;
  std::vector<EngineId> HintedEngines(const Run& aRun) const;
  std::size_t CachedPieces(const Run& aRun, const EngineId& aEngine) const;
  StoreId ImportStore(const Run& aRun) const;
  void RefuseOverload(Run& aRun, Duration aExcess);
  void ReserveLinkSlot(Run& aRun,
                       const EngineId& aEngine,
                       const RestorePlan& aPlan);
  void StartAttempt(Run& aRun,
                    const EngineId& aEngine,
                    const RestorePlan& aPlan,
                    const LinkReply& aLink);
  void OnToken(Run& aRun, const EngineToken& aToken);
  void OnEngineEnd(Run& aRun, const EngineEnd& aEnd);
  void FinishComplete(Run& aRun);
  void FinishFailed(Run& aRun, AttemptResult aResult);
  void AbandonRun(Run& aRun);
  void Release(Run& aRun);
  void SendToken(Run& aRun, const std::string& aText);
  void SendEnd(Run& aRun);
  void CountMismatch(const Run& aRun);

  EntryContext& m_context;
  const ConfigHolder& m_config;
  CacheFlow& m_cache;
  EngineMonitor& m_engines;
  const EngineProtocol& m_protocol;
  WriteBack& m_writeBack;
  ChatOptions m_options;
  std::unique_ptr<RestorePolicy> m_policy;
  RetryBudget m_retries;
  std::map<CallerId, std::unique_ptr<Run>> m_runs;
  std::map<CallId, CallerId> m_byCall;
};

} // namespace fulmarquay

#endif
