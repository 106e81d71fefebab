#include "fulmarquay/serve/ChatFlow.h"

#include "fulmarquay/core/Digest.h"
#include "fulmarquay/core/Error.h"
#include "fulmarquay/wire/HttpStatus.h"

#include <algorithm>
#include <utility>

namespace fulmarquay {

namespace {

/// Longest time without a token from the engine.
constexpr Duration kTokenTimeout(15'000'000);
constexpr Duration kRetryAfter(1'000'000);
constexpr double kMicrosPerSecond = 1e6;

double
Seconds(Duration aTime)
{
  return static_cast<double>(aTime.count()) / kMicrosPerSecond;
}

} // namespace

ChatFlow::ChatFlow(EntryContext& aContext,
                   const ConfigHolder& aConfig,
                   CacheFlow& aCache,
                   EngineMonitor& aEngines,
                   const EngineProtocol& aProtocol,
                   WriteBack& aWriteBack,
                   ChatOptions aOptions)
  : m_context(aContext)
  , m_config(aConfig)
  , m_cache(aCache)
  , m_engines(aEngines)
  , m_protocol(aProtocol)
  , m_writeBack(aWriteBack)
  , m_options(std::move(aOptions))
  , m_policy(MakeRestorePolicy(m_options.m_policy))
{
}

ChatFlow::~ChatFlow() = default;

ChatFlow::Run*
ChatFlow::Find(CallerId aCaller)
{
  const auto found = m_runs.find(aCaller);
  return found == m_runs.end() ? nullptr : found->second.get();
}

ChatFlow::Run*
ChatFlow::FindByCall(CallId aCall)
{
  const auto found = m_byCall.find(aCall);
  return found == m_byCall.end() ? nullptr : Find(found->second);
}

void
ChatFlow::Start(CallerId aCaller,
                const AccountId& aAccount,
                ChatRequest aRequest)
{
  const Configuration& configuration = *m_config.Current();
  const auto model = configuration.m_models.find(aRequest.m_model);
  if (model == configuration.m_models.end()) {
    m_context.Refuse(
      aCaller,
      { 404, "not_run", "choose model", "no such model", Duration(0) });
    return;
  }
  m_retries.OnRequest();
  auto run = std::make_unique<Run>();
  run->m_caller = aCaller;
  run->m_account = aAccount;
  run->m_request = std::move(aRequest);
  run->m_model = model->second;
  run->m_startedAt = m_context.Now();
  run->m_id = HexOf(m_context.Self().m_boot.Value()) + "-" +
              std::to_string(m_context.NextId());
  const BlockScope scope{ aAccount,
                          run->m_model.m_weights,
                          run->m_model.m_adapter };
  const auto pieceTokens =
    static_cast<std::size_t>(configuration.m_pieceTokens.Count());
  run->m_keys =
    PrefixKeys(scope, run->m_request.m_prompt, pieceTokens * kBytesPerToken);
  ChainLookup lookup;
  lookup.m_account = aAccount;
  lookup.m_weights = run->m_model.m_weights;
  lookup.m_keys = run->m_keys;
  m_runs[aCaller] = std::move(run);
  if (lookup.m_keys.empty()) {
    OnChainReply(aCaller, ChainReply());
    return;
  }
  m_cache.Lookup(std::move(lookup), [this, aCaller](const ChainReply& aReply) {
    OnChainReply(aCaller, aReply);
  });
}

void
ChatFlow::OnChainReply(CallerId aCaller, const ChainReply& aReply)
{
  Run* run = Find(aCaller);
  if (run == nullptr) {
    return;
  }
  run->m_chain = aReply;
  run->m_chain.m_blocks.resize(run->m_keys.size());
  Plan(*run);
}

std::size_t
ChatFlow::CachedPieces(const Run& aRun, const EngineId& aEngine) const
{
  std::size_t count = 0;
  for (const CopyInfo& block : aRun.m_chain.m_blocks) {
    const auto& engines = block.m_engines;
    if (std::find(engines.begin(), engines.end(), aEngine) == engines.end()) {
      break;
    }
    ++count;
  }
  return count;
}

std::vector<EngineId>
ChatFlow::HintedEngines(const Run& aRun) const
{
  if (aRun.m_chain.m_blocks.empty()) {
    return {};
  }
  return aRun.m_chain.m_blocks.front().m_engines;
}

StoreId
ChatFlow::ImportStore(const Run& aRun) const
{
  for (const CopyInfo& block : aRun.m_chain.m_blocks) {
    if (!block.m_store.Value().empty()) {
      return block.m_store;
    }
  }
  return StoreId();
}

RestoreInput
ChatFlow::MakePlanInput(const Run& aRun,
                        const std::vector<EngineId>& aEngines) const
{
  const Configuration& configuration = *m_config.Current();
  RestoreInput input;
  input.m_promptTokens = EstimateTokens(aRun.m_request.m_prompt);
  input.m_pieceTokens = configuration.m_pieceTokens;
  input.m_firstTokenWeight = configuration.m_firstTokenWeight;
  const StoreId store = ImportStore(aRun);
  const auto storeConfig = configuration.m_stores.find(store);
  for (const CopyInfo& block : aRun.m_chain.m_blocks) {
    const bool isInStore =
      storeConfig != configuration.m_stores.end() && block.m_store == store;
    input.m_copyBytes.push_back(
      isInStore ? static_cast<std::int64_t>(block.m_length) : 0);
  }
  if (storeConfig != configuration.m_stores.end()) {
    input.m_link.m_store = store;
    input.m_link.m_backlog = m_cache.LinkBacklog(store);
    input.m_link.m_bytesPerSecond = storeConfig->second.m_linkPerSecond.Count();
  }
  for (const EngineId& engine : aEngines) {
    EngineCandidate candidate;
    candidate.m_engine = engine;
    candidate.m_cachedPieces = CachedPieces(aRun, engine);
    candidate.m_queueDelay = m_engines.Table().Queue(m_context.Now(), engine);
    candidate.m_prefillPerSecond =
      m_engines.Table().Find(engine)->m_prefillPerSecond;
    input.m_engines.push_back(std::move(candidate));
  }
  return input;
}

void
ChatFlow::Plan(Run& aRun)
{
  std::vector<EngineId> engines = m_engines.Table().Candidates(
    m_context.Now(), aRun.m_model.m_weights, HintedEngines(aRun));
  if (aRun.m_failedEngine && engines.size() > 1) {
    std::erase(engines, *aRun.m_failedEngine);
  }
  std::erase_if(engines, [&](const EngineId& aEach) {
    const auto& all = m_config.Current()->m_engines;
    const auto engine = all.find(aEach);
    return engine == all.end() ||
           engine->second.m_models.count(aRun.m_model.m_name) == 0;
  });
  if (engines.empty()) {
    AbandonRun(aRun);
    return;
  }
  const RestoreInput input = MakePlanInput(aRun, engines);
  const RestorePlan plan = m_policy->Choose(input);
  const EngineId engine = engines[plan.m_engine];
  if (plan.m_timeToFirstToken > m_options.m_firstTokenDeadline &&
      !aRun.m_isStreaming) {
    RefuseOverload(aRun,
                   plan.m_timeToFirstToken - m_options.m_firstTokenDeadline);
    return;
  }
  if (plan.m_importBytes > 0) {
    ReserveLinkSlot(aRun, engine, plan);
  } else {
    StartAttempt(aRun, engine, plan, LinkReply());
  }
}

void
ChatFlow::RefuseOverload(Run& aRun, Duration aExcess)
{
  m_context.Refuse(aRun.m_caller,
                   { 503,
                     aRun.m_mayHaveRun ? "unknown" : "not_run",
                     "admit prompt",
                     "its first token would come after the deadline",
                     std::max(aExcess, kRetryAfter) });
  Release(aRun);
}

void
ChatFlow::ReserveLinkSlot(Run& aRun,
                          const EngineId& aEngine,
                          const RestorePlan& aPlan)
{
  LinkRequest request;
  request.m_store = ImportStore(aRun);
  request.m_class = static_cast<std::uint8_t>(LinkClass::Interactive);
  request.m_bytes = aPlan.m_importBytes;
  // Beyond this wait, recomputing gives the first token sooner than an import.
  const RestorePlan recomputePlan =
    EvaluatePlan(MakePlanInput(aRun, { aEngine }), 0, aPlan.m_importFrom);
  request.m_maxDelayUs = recomputePlan.m_timeToFirstToken.count();
  const CallerId caller = aRun.m_caller;
  m_cache.ReserveLinkSlot(
    request, [this, caller, aEngine, aPlan](const LinkReply& aReply) {
      Run* run = Find(caller);
      if (run != nullptr) {
        StartAttempt(*run, aEngine, aPlan, aReply);
      }
    });
}

void
ChatFlow::StartAttempt(Run& aRun,
                       const EngineId& aEngine,
                       const RestorePlan& aPlan,
                       const LinkReply& aLink)
{
  const Configuration& configuration = *m_config.Current();
  const auto engine = configuration.m_engines.find(aEngine);
  if (engine == configuration.m_engines.end()) {
    AbandonRun(aRun);
    return;
  }
  ++aRun.m_attempt;
  aRun.m_engine = aEngine;
  aRun.m_stream = m_protocol.OpenStream();
  aRun.m_status = 0;
  aRun.m_isMalformed = false;
  GenerateRequest request;
  request.m_request = aRun.m_id;
  request.m_attempt = aRun.m_attempt;
  request.m_account = aRun.m_account;
  request.m_weights = aRun.m_model.m_weights;
  request.m_adapter = aRun.m_model.m_adapter;
  request.m_prompt = aRun.m_request.m_prompt;
  request.m_sentText = aRun.m_text;
  request.m_offset = aRun.m_sentTokens;
  request.m_maxTokens = aRun.m_request.m_maxTokens;
  request.m_keys = aRun.m_keys;
  if (!aRun.m_keys.empty()) {
    request.m_root = aRun.m_keys.front();
  }
  if (aLink.m_isGranted) {
    request.m_storeAddress =
      configuration.m_stores.at(aLink.m_store).m_address.ToString();
    request.m_importDelay = Duration(aLink.m_delayUs);
    request.m_importBytesPerSecond = aLink.m_bytesPerSecond;
    for (std::size_t i = aPlan.m_importFrom; i < aPlan.m_importTo; ++i) {
      const CopyInfo& info = aRun.m_chain.m_blocks[i];
      BlockCopy copy;
      copy.m_store = info.m_store;
      copy.m_generation = Generation(info.m_generation);
      copy.m_length = info.m_length;
      copy.m_checksum = info.m_checksum;
      request.m_import.push_back({ aRun.m_keys[i], copy });
    }
  }
  HttpCall call;
  call.m_peer = engine->second.m_address;
  call.m_request = m_protocol.Generate(request);
  call.m_idleTimeout = kTokenTimeout;
  m_engines.Table().OnStart(aEngine, aPlan.m_recomputedTokens.Count());
  aRun.m_progressAt = m_context.Now();
  aRun.m_call = m_context.Call(std::move(call), *this);
  m_byCall[aRun.m_call] = aRun.m_caller;
}

void
ChatFlow::OnTick()
{
  std::vector<CallId> stalled;
  for (const auto& [call, caller] : m_byCall) {
    const Run* run = Find(caller);
    if (run != nullptr &&
        m_context.Now() >= run->m_progressAt + kTokenTimeout) {
      stalled.push_back(call);
    }
  }
  for (const CallId call : stalled) {
    m_context.Cancel(call);
    OnEnd(call, CallResult::TimedOut, "no token in time");
  }
}

void
ChatFlow::OnHead(CallId aCall, const HttpResponse& aHead)
{
  if (Run* run = FindByCall(aCall)) {
    run->m_status = aHead.m_status;
    run->m_mayHaveRun = run->m_mayHaveRun || aHead.m_status == kStatusOk;
  }
}

void
ChatFlow::OnData(CallId aCall, const std::string& aData)
{
  Run* run = FindByCall(aCall);
  if (run == nullptr || run->m_status != kStatusOk || run->m_isMalformed) {
    return;
  }
  try {
    for (const EngineStreamItem& item : run->m_stream->Feed(aData)) {
      if (const auto* token = std::get_if<EngineToken>(&item)) {
        OnToken(*run, *token);
      } else {
        OnEngineEnd(*run, std::get<EngineEnd>(item));
      }
    }
  } catch (const Error&) {
    run->m_isMalformed = true;
  }
}

void
ChatFlow::CountMismatch(const Run& aRun)
{
  m_context.Counters().Count("answer_mismatches_total");
  m_context.Log(LogEvent::AnswerMismatch,
                { { "engine", aRun.m_engine.Value() } });
}

void
ChatFlow::OnToken(Run& aRun, const EngineToken& aToken)
{
  const bool isCurrentAttempt =
    aToken.m_request == aRun.m_id && aToken.m_attempt == aRun.m_attempt;
  if (!isCurrentAttempt || aToken.m_index < aRun.m_sentTokens || aRun.m_end) {
    CountMismatch(aRun);
    return;
  }
  if (aToken.m_index > aRun.m_sentTokens) {
    // A token is missing, so the rest of this stream can't be used.
    CountMismatch(aRun);
    aRun.m_isMalformed = true;
    return;
  }
  const TimePoint now = m_context.Now();
  if (aRun.m_sentTokens == 0) {
    m_context.Counters().Observe("first_token_seconds",
                                 Seconds(now - aRun.m_startedAt),
                                 "model=\"" + aRun.m_model.m_name + "\"");
  } else {
    m_context.Counters().Observe("between_tokens_seconds",
                                 Seconds(now - aRun.m_lastTokenAt));
  }
  aRun.m_lastTokenAt = now;
  aRun.m_progressAt = now;
  ++aRun.m_sentTokens;
  aRun.m_text += aToken.m_text;
  SendToken(aRun, aToken.m_text);
}

void
ChatFlow::OnEngineEnd(Run& aRun, const EngineEnd& aEnd)
{
  const bool isCurrentAttempt =
    aEnd.m_request == aRun.m_id && aEnd.m_attempt == aRun.m_attempt;
  if (!isCurrentAttempt) {
    CountMismatch(aRun);
    return;
  }
  if (aEnd.m_tokens != aRun.m_sentTokens) {
    aRun.m_isMalformed = true;
    return;
  }
  aRun.m_end = aEnd;
}

void
ChatFlow::SendToken(Run& aRun, const std::string& aText)
{
  if (!aRun.m_request.m_isStream) {
    return;
  }
  if (!aRun.m_isStreaming) {
    aRun.m_isStreaming = true;
    HttpResponse head;
    head.m_headers = { { "Content-Type", "text/event-stream" },
                       { "Cache-Control", "no-cache" } };
    m_context.Emit(BeginCallerStream{ aRun.m_caller, std::move(head) });
  }
  m_context.Emit(WriteCallerStream{
    aRun.m_caller, RenderChatChunk(aRun.m_id, aRun.m_model.m_name, aText) });
}

void
ChatFlow::SendEnd(Run& aRun)
{
  ChatUsage usage;
  usage.m_prompt = EstimateTokens(aRun.m_request.m_prompt);
  usage.m_completion = aRun.m_sentTokens;
  usage.m_cached = aRun.m_end->m_cached;
  usage.m_imported = aRun.m_end->m_imported;
  usage.m_recomputed = aRun.m_end->m_recomputed;
  Metrics& metrics = m_context.Counters();
  const auto count = [&](const char* aName, Tokens aTokens) {
    metrics.Count(aName, "", static_cast<std::uint64_t>(aTokens.Count()));
  };
  count("prompt_tokens_total", usage.m_prompt);
  count("cached_tokens_total", usage.m_cached);
  count("imported_tokens_total", usage.m_imported);
  count("recomputed_tokens_total", usage.m_recomputed);
  metrics.Count("prompts_total", "account=\"" + aRun.m_account.Value() + "\"");
  if (aRun.m_isStreaming) {
    m_context.Emit(WriteCallerStream{
      aRun.m_caller, RenderChatEnd(aRun.m_id, aRun.m_model.m_name, usage) });
    m_context.Emit(EndCallerStream{ aRun.m_caller, true });
    return;
  }
  HttpResponse response;
  response.m_headers = { { "Content-Type", "application/json" } };
  response.m_body =
    RenderChatAnswer(aRun.m_id, aRun.m_model.m_name, aRun.m_text, usage);
  m_context.Emit(RespondCaller{ aRun.m_caller, std::move(response) });
}

void
ChatFlow::OnEnd(CallId aCall, CallResult aEnd, const std::string& aReason)
{
  Run* run = FindByCall(aCall);
  m_byCall.erase(aCall);
  if (run == nullptr) {
    return;
  }
  if (aEnd == CallResult::Complete && run->m_end && !run->m_isMalformed) {
    FinishComplete(*run);
    return;
  }
  const bool isRefused =
    aEnd == CallResult::Complete && run->m_status != kStatusOk;
  // An engine that was reached has not run the prompt only if it refused it.
  const bool isNotRun =
    IsNotSent(aEnd) || (isRefused && (run->m_status < kStatusServerError ||
                                      run->m_status == kStatusUnavailable));
  run->m_mayHaveRun = run->m_mayHaveRun || !isNotRun;
  m_context.Log(LogEvent::UpstreamFailed,
                { { "engine", run->m_engine.Value() },
                  { "why", aReason },
                  { "status", std::to_string(run->m_status) } });
  FinishFailed(*run, isRefused ? AttemptResult::Busy : AttemptResult::Failed);
}

void
ChatFlow::FinishComplete(Run& aRun)
{
  m_engines.Table().OnEnd(
    m_context.Now(), aRun.m_engine, AttemptResult::Succeeded);
  SendEnd(aRun);
  WriteBackJob job;
  for (std::size_t i = 0; i < aRun.m_keys.size(); ++i) {
    if (aRun.m_chain.m_blocks[i].m_store.Value().empty()) {
      job.m_missing.push_back(aRun.m_keys[i]);
    }
  }
  // Without a named conversation, no later prompt is expected to reuse the
  // blocks.
  const bool mustWriteBack =
    !aRun.m_request.m_conversation.empty() && !job.m_missing.empty();
  const auto& engines = m_config.Current()->m_engines;
  const auto engine = engines.find(aRun.m_engine);
  if (mustWriteBack && engine != engines.end()) {
    job.m_engine = aRun.m_engine;
    job.m_engineAddress = engine->second.m_address;
    job.m_account = aRun.m_account;
    job.m_weights = aRun.m_model.m_weights;
    job.m_keys = aRun.m_keys;
    m_writeBack.Start(std::move(job));
  }
  Release(aRun);
}

void
ChatFlow::FinishFailed(Run& aRun, AttemptResult aResult)
{
  m_engines.Table().OnEnd(m_context.Now(), aRun.m_engine, aResult);
  aRun.m_failedEngine = aRun.m_engine;
  aRun.m_end.reset();
  const bool mayRetry =
    static_cast<int>(aRun.m_attempt) < m_options.m_maxAttempts;
  if (mayRetry && m_retries.Take()) {
    m_context.Counters().Count("prompt_retries_total");
    Plan(aRun);
    return;
  }
  AbandonRun(aRun);
}

void
ChatFlow::AbandonRun(Run& aRun)
{
  if (aRun.m_isStreaming) {
    // The caller detects the failure by the missing end of the stream.
    m_context.Counters().Count("broken_answers_total");
    m_context.Emit(EndCallerStream{ aRun.m_caller, false });
  } else {
    m_context.Refuse(aRun.m_caller,
                     { 503,
                       aRun.m_mayHaveRun ? "unknown" : "not_run",
                       "run prompt",
                       "no engine could run it",
                       kRetryAfter });
  }
  Release(aRun);
}

void
ChatFlow::Release(Run& aRun)
{
  if (aRun.m_chain.m_pin != 0) {
    ChainRelease release;
    release.m_pin = aRun.m_chain.m_pin;
    if (aRun.m_end) {
      for (const BlockKey& key : aRun.m_end->m_invalidKeys) {
        const auto found =
          std::find(aRun.m_keys.begin(), aRun.m_keys.end(), key);
        if (found != aRun.m_keys.end()) {
          const std::size_t i =
            static_cast<std::size_t>(found - aRun.m_keys.begin());
          release.m_invalidKeys.push_back(key);
          release.m_invalidGenerations.push_back(
            aRun.m_chain.m_blocks[i].m_generation);
        }
      }
    }
    m_cache.ReleaseChain(aRun.m_keys.front(), release);
  }
  m_runs.erase(aRun.m_caller);
}

void
ChatFlow::OnCallerDisconnected(CallerId aCaller)
{
  Run* run = Find(aCaller);
  if (run == nullptr) {
    return;
  }
  if (m_byCall.erase(run->m_call) != 0) {
    m_context.Cancel(run->m_call);
    m_engines.Table().OnEnd(
      m_context.Now(), run->m_engine, AttemptResult::Succeeded);
  }
  Release(*run);
}

} // namespace fulmarquay
