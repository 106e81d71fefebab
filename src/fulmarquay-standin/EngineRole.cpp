#include <utility>

#include "EngineRole.h"

#include "fulmarquay/core/Clock.h"
#include "fulmarquay/core/Digest.h"
#include "fulmarquay/core/Settings.h"
#include "fulmarquay/upstream/StandinAnswer.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace fulmarquay {

namespace {

using Json = nlohmann::json;

constexpr Duration kStoreIdleTimeout(3'000'000);

std::string
Dump(const Json& aJson)
{
  return aJson.dump(-1, ' ', false, Json::error_handler_t::replace);
}

EngineModelOptions
MakeModelOptions(const std::string& aSection, const Settings& aSettings)
{
  EngineModelOptions options;
  options.m_maxCachedBlocks =
    static_cast<std::size_t>(aSettings.Integer(aSection, "cache_pieces"));
  options.m_prefillTokensPerSecond =
    aSettings.Integer(aSection, "prefill_per_second");
  options.m_pieceTokens = aSettings.Integer(aSection, "piece_tokens");
  options.m_bytesPerToken = aSettings.Integer(aSection, "bytes_per_token");
  options.m_slots = aSettings.Integer(aSection, "slots");
  options.m_eventLag = aSettings.Time(aSection, "event_lag");
  options.m_weights = aSettings.Text(aSection, "weights");
  return options;
}

Duration
TransferTime(std::uint64_t aBytes, std::int64_t aBytesPerSecond)
{
  constexpr std::int64_t kMicrosPerSecond = 1'000'000;
  if (aBytesPerSecond <= 0) {
    return Duration(0);
  }
  return Duration(static_cast<std::int64_t>(aBytes) * kMicrosPerSecond /
                  aBytesPerSecond);
}

} // namespace

struct EngineRole::Prompt
{
  CallerId m_caller;
  std::string m_request;
  std::uint32_t m_attempt = 0;
  std::string m_text;
  std::uint32_t m_nextToken = 0; ///< index in the answer
  std::uint32_t m_maxTokens = 0;
  BlockKey m_root;
  std::vector<BlockKey> m_keys;
  std::size_t m_cachedBlocks = 0;
  // Import.
  std::vector<ImportBlock> m_blocksToImport;
  Endpoint m_store;
  std::int64_t m_bytesPerSecond = 0;
  TimePoint m_nextImportAt;
  std::size_t m_importedBlocks = 0; ///< imported with valid content
  std::vector<std::string> m_invalidImports;
  bool m_isImporting = false;
  // Prefill.
  std::int64_t m_promptTokens = 0;
  std::int64_t m_prefillTokens = 0;
  int m_pendingPrefills = 0;      ///< prefills that have not completed
  std::uint32_t m_sentTokens = 0; ///< by this attempt
};

struct EngineRole::Export
{
  CallerId m_caller;
  Endpoint m_store;
  AccountId m_account;
  std::string m_weights;
  BlockKey m_root;
  std::int64_t m_bytesPerSecond = 0;
  std::vector<ExportBlock> m_blocks;
  std::size_t m_nextBlock = 0;
  Json m_results = Json::array();
  // The block being transferred.
  std::uint64_t m_currentLength = 0;
  std::uint64_t m_currentChecksum = 0;
};

EngineRole::EngineRole(boost::asio::io_context& aContext,
                       const std::string& aSection,
                       const Settings& aSettings)
  : StandinRole(aContext, aSettings.Address(aSection, "listen"))
  , m_model(MakeModelOptions(aSection, aSettings))
  , m_client(aContext, *this)
  , m_storeProtocol(MakeHttpStoreProtocol())
  , m_tokenInterval(aSettings.Time(aSection, "token_interval"))
  , m_loadTime(aSettings.Time(aSection, "load_time"))
  , m_checksFencing(aSettings.Flag(aSection, "checks_fencing"))
{
}

void
EngineRole::OnFaultSet(const std::string& aName, const std::string&)
{
  if (aName == "evict") {
    m_model.Clear(MonotonicNow());
  }
}

void
EngineRole::HandleRequest(CallerId aCaller, const HttpRequest& aRequest)
{
  const std::string& target = aRequest.m_target;
  try {
    if (target == "/generate") {
      HandleGenerate(aCaller, aRequest);
    } else if (target == "/export") {
      HandleExport(aCaller, aRequest);
    } else if (target.starts_with("/report")) {
      HandleReport(aCaller, target);
    } else if (target == "/order") {
      HandleOrder(aCaller, aRequest);
    } else {
      Respond(aCaller, 404, "{}");
    }
  } catch (const std::exception& e) {
    Respond(aCaller, 400, Dump({ { "error", e.what() } }));
  }
}

void
EngineRole::HandleGenerate(CallerId aCaller, const HttpRequest& aRequest)
{
  const Json body = Json::parse(aRequest.m_body);
  if (FaultValue("full") == "1" || FaultValue("leaving") == "1") {
    Respond(aCaller, 503, "{}");
    return;
  }
  if (body.at("weights") != m_model.Options().m_weights) {
    Respond(aCaller, 409, Dump({ { "weights", m_model.Options().m_weights } }));
    return;
  }
  auto prompt = std::make_shared<Prompt>();
  prompt->m_caller = aCaller;
  prompt->m_request = body.at("request");
  prompt->m_attempt = body.at("attempt");
  prompt->m_text = body.at("prompt");
  prompt->m_nextToken = body.at("offset");
  prompt->m_maxTokens = body.at("max_tokens");
  prompt->m_root = BlockKey::Parse(body.at("root").get<std::string>());
  for (const std::string key : body.at("keys")) {
    prompt->m_keys.push_back(BlockKey::Parse(key));
  }
  prompt->m_promptTokens = EstimateTokens(prompt->m_text).Count();
  prompt->m_cachedBlocks = m_model.CachedPrefixBlocks(prompt->m_keys);
  if (body.contains("import")) {
    const Json& import = body.at("import");
    prompt->m_store = Endpoint::Parse(import.at("store").get<std::string>());
    prompt->m_bytesPerSecond = import.at("bytes_per_second");
    prompt->m_nextImportAt =
      MonotonicNow() + Duration(import.at("delay_us").get<std::int64_t>());
    for (const Json& item : import.at("blocks")) {
      ImportBlock block;
      block.m_key = BlockKey::Parse(item.at("key").get<std::string>());
      block.m_copy.m_generation = Generation(item.at("generation"));
      block.m_copy.m_length = item.at("length");
      block.m_copy.m_checksum = item.at("checksum");
      if (!m_model.Holds(block.m_key)) {
        prompt->m_blocksToImport.push_back(block);
      }
    }
  }
  ++m_runningPrompts;
  HttpResponse head;
  head.m_headers = { { "Content-Type", "application/x-ndjson" } };
  Server().StreamHead(aCaller, head);
  PrefillMissingTokens(prompt);
  prompt->m_isImporting = !prompt->m_blocksToImport.empty();
  if (prompt->m_isImporting) {
    ImportNextBlock(prompt);
  }
}

void
EngineRole::PrefillMissingTokens(const PromptPtr& aPrompt)
{
  // Blocks that are neither cached nor to be imported are computed while the
  // import runs.
  const auto availableBlocks = static_cast<std::int64_t>(
    aPrompt->m_cachedBlocks + aPrompt->m_blocksToImport.size());
  const std::int64_t tokens =
    std::max<std::int64_t>(1,
                           aPrompt->m_promptTokens -
                             availableBlocks * m_model.Options().m_pieceTokens);
  StartPrefill(aPrompt, tokens);
}

void
EngineRole::StartPrefill(const PromptPtr& aPrompt, std::int64_t aTokens)
{
  ++aPrompt->m_pendingPrefills;
  aPrompt->m_prefillTokens += aTokens;
  const TimePoint now = MonotonicNow();
  const TimePoint done = m_model.QueuePrefill(now, aTokens);
  RunAfter(done - now, [this, aPrompt] {
    --aPrompt->m_pendingPrefills;
    DecodeIfReady(aPrompt);
  });
}

void
EngineRole::ImportNextBlock(const PromptPtr& aPrompt)
{
  const std::size_t index = aPrompt->m_importedBlocks;
  if (index >= aPrompt->m_blocksToImport.size()) {
    aPrompt->m_isImporting = false;
    DecodeIfReady(aPrompt);
    return;
  }
  const ImportBlock& block = aPrompt->m_blocksToImport[index];
  const TimePoint now = MonotonicNow();
  const Duration wait = std::max(Duration(0), aPrompt->m_nextImportAt - now);
  aPrompt->m_nextImportAt =
    now + wait + TransferTime(block.m_copy.m_length, aPrompt->m_bytesPerSecond);
  RunAfter(wait, [this, aPrompt, index] {
    const ImportBlock& nextBlock = aPrompt->m_blocksToImport[index];
    HttpCall call;
    call.m_call = CallId(m_nextCall++);
    call.m_peer = aPrompt->m_store;
    call.m_request =
      m_storeProtocol->Read(nextBlock.m_key, nextBlock.m_copy.m_generation);
    call.m_idleTimeout = kStoreIdleTimeout;
    Transfer transfer;
    transfer.m_prompt = aPrompt;
    transfer.m_index = index;
    m_transfers.emplace(call.m_call, transfer);
    m_client.Start(std::move(call));
  });
}

void
EngineRole::OnHead(CallId aCall, const HttpResponse& aHead)
{
  m_transfers.at(aCall).m_status = aHead.m_status;
}

void
EngineRole::OnData(CallId aCall, std::string aData)
{
  m_transfers.at(aCall).m_body += aData;
}

void
EngineRole::OnEnd(CallId aCall, CallResult aEnd, const std::string&)
{
  const auto found = m_transfers.find(aCall);
  const Transfer transfer = std::move(found->second);
  m_transfers.erase(found);
  const bool isComplete =
    aEnd == CallResult::Complete && transfer.m_status == 200;
  if (transfer.m_prompt) {
    OnBlockImported(transfer, isComplete);
  } else {
    OnBlockExported(transfer, isComplete);
  }
}

void
EngineRole::OnBlockImported(const Transfer& aTransfer, bool aIsComplete)
{
  const PromptPtr& prompt = aTransfer.m_prompt;
  const ImportBlock& block = prompt->m_blocksToImport[aTransfer.m_index];
  // Checked after the transfer, because the store may free the block during
  // it.
  const bool isValid = aIsComplete &&
                       aTransfer.m_body.size() == block.m_copy.m_length &&
                       Checksum64(aTransfer.m_body) == block.m_copy.m_checksum;
  if (isValid) {
    m_model.Insert(MonotonicNow(), block.m_key, prompt->m_root);
    ++prompt->m_importedBlocks;
    ImportNextBlock(prompt);
    return;
  }
  // The remaining blocks of the chain are computed instead.
  prompt->m_invalidImports.push_back(block.m_key.ToString());
  prompt->m_isImporting = false;
  const auto missing = static_cast<std::int64_t>(
    prompt->m_blocksToImport.size() - prompt->m_importedBlocks);
  StartPrefill(prompt, missing * m_model.Options().m_pieceTokens);
}

void
EngineRole::DecodeIfReady(const PromptPtr& aPrompt)
{
  if (aPrompt->m_pendingPrefills == 0 && !aPrompt->m_isImporting) {
    for (const BlockKey& key : aPrompt->m_keys) {
      m_model.Insert(MonotonicNow(), key, aPrompt->m_root);
    }
    DecodeNextToken(aPrompt);
  }
}

void
EngineRole::WriteJsonLine(const PromptPtr& aPrompt, const Json& aLine)
{
  Server().StreamData(aPrompt->m_caller, Dump(aLine) + "\n");
}

void
EngineRole::DecodeNextToken(const PromptPtr& aPrompt)
{
  if (IsDisconnected(aPrompt->m_caller)) {
    --m_runningPrompts;
    return;
  }
  const std::string breakAfter = FaultValue("break_after");
  if (!breakAfter.empty() && aPrompt->m_sentTokens == std::stoul(breakAfter)) {
    --m_runningPrompts;
    Server().StreamEnd(aPrompt->m_caller, false);
    return;
  }
  if (aPrompt->m_nextToken >= aPrompt->m_maxTokens) {
    FinishPrompt(aPrompt);
    return;
  }
  if (FaultValue("cross") == "1") {
    WriteJsonLine(aPrompt,
                  { { "request", "another" },
                    { "attempt", 1 },
                    { "index", aPrompt->m_nextToken },
                    { "text", "crossed " } });
  }
  WriteJsonLine(
    aPrompt,
    { { "request", aPrompt->m_request },
      { "attempt", aPrompt->m_attempt },
      { "index", aPrompt->m_nextToken },
      { "text", StandinTokenText(aPrompt->m_text, aPrompt->m_nextToken) } });
  ++aPrompt->m_nextToken;
  ++aPrompt->m_sentTokens;
  RunAfter(m_tokenInterval, [this, aPrompt] { DecodeNextToken(aPrompt); });
}

void
EngineRole::FinishPrompt(const PromptPtr& aPrompt)
{
  --m_runningPrompts;
  const std::int64_t pieceTokens = m_model.Options().m_pieceTokens;
  WriteJsonLine(
    aPrompt,
    { { "request", aPrompt->m_request },
      { "attempt", aPrompt->m_attempt },
      { "end", true },
      { "tokens", aPrompt->m_nextToken },
      { "cached",
        static_cast<std::int64_t>(aPrompt->m_cachedBlocks) * pieceTokens },
      { "imported",
        static_cast<std::int64_t>(aPrompt->m_importedBlocks) * pieceTokens },
      { "recomputed", aPrompt->m_prefillTokens },
      { "wrong", aPrompt->m_invalidImports } });
  Server().StreamEnd(aPrompt->m_caller, true);
}

void
EngineRole::HandleExport(CallerId aCaller, const HttpRequest& aRequest)
{
  const Json body = Json::parse(aRequest.m_body);
  auto job = std::make_shared<Export>();
  job->m_caller = aCaller;
  job->m_store = Endpoint::Parse(body.at("store").get<std::string>());
  job->m_account = AccountId(body.at("account").get<std::string>());
  job->m_weights = body.at("weights");
  job->m_root = BlockKey::Parse(body.at("root").get<std::string>());
  job->m_bytesPerSecond = body.at("bytes_per_second");
  for (const Json& item : body.at("blocks")) {
    job->m_blocks.push_back(
      { BlockKey::Parse(item.at("key").get<std::string>()),
        Generation(item.at("generation").get<std::uint64_t>()) });
  }
  RunAfter(Duration(body.at("delay_us").get<std::int64_t>()),
           [this, job] { ExportNextBlock(job); });
}

void
EngineRole::ExportNextBlock(const ExportPtr& aExport)
{
  if (aExport->m_nextBlock >= aExport->m_blocks.size()) {
    Respond(aExport->m_caller, 200, Dump({ { "blocks", aExport->m_results } }));
    return;
  }
  const ExportBlock& block = aExport->m_blocks[aExport->m_nextBlock];
  Transfer transfer;
  transfer.m_export = aExport;
  transfer.m_index = aExport->m_nextBlock;
  if (!m_model.Holds(block.m_key)) {
    OnBlockExported(transfer, false);
    return;
  }
  std::string bytes = m_model.BlockBytes(block.m_key);
  aExport->m_currentLength = bytes.size();
  aExport->m_currentChecksum = Checksum64(bytes);
  ListedBlock listed;
  listed.m_key = block.m_key;
  listed.m_root = aExport->m_root;
  listed.m_account = aExport->m_account;
  listed.m_weights = aExport->m_weights;
  listed.m_copy.m_generation = block.m_generation;
  listed.m_copy.m_checksum = aExport->m_currentChecksum;
  const Duration transferTime =
    TransferTime(bytes.size(), aExport->m_bytesPerSecond);
  HttpCall call;
  call.m_call = CallId(m_nextCall++);
  call.m_peer = aExport->m_store;
  call.m_request = m_storeProtocol->Write(listed, std::move(bytes));
  call.m_idleTimeout = kStoreIdleTimeout;
  m_transfers.emplace(call.m_call, transfer);
  RunAfter(transferTime,
           [this, call]() mutable { m_client.Start(std::move(call)); });
}

void
EngineRole::OnBlockExported(const Transfer& aTransfer, bool aIsComplete)
{
  const ExportPtr& job = aTransfer.m_export;
  const ExportBlock& block = job->m_blocks[aTransfer.m_index];
  job->m_results.push_back(
    { { "key", block.m_key.ToString() },
      { "generation", block.m_generation.Value() },
      { "whole", aIsComplete },
      { "length", aIsComplete ? job->m_currentLength : 0 },
      { "checksum", aIsComplete ? job->m_currentChecksum : 0 } });
  ++job->m_nextBlock;
  ExportNextBlock(job);
}

void
EngineRole::HandleReport(CallerId aCaller, const std::string& aTarget)
{
  const TimePoint now = MonotonicNow();
  const std::uint64_t after = std::stoull("0" + QueryValue(aTarget, "after"));
  Json events = Json::array();
  std::uint64_t next = after;
  for (const ModelCacheEvent& event : m_model.EventsAfter(now, after)) {
    events.push_back({ { "seq", event.m_sequence },
                       { "added", event.m_isAdded },
                       { "key", event.m_key.ToString() },
                       { "root", event.m_root.ToString() } });
    next = event.m_sequence;
  }
  const bool isGap = FaultValue("gap") == "1";
  Respond(aCaller,
          200,
          Dump({ { "next", next },
                 { "first", isGap ? next : m_model.LastDroppedSequence() },
                 { "events", isGap ? Json::array() : events },
                 { "running", m_runningPrompts },
                 { "queued_tokens", m_model.QueuedTokens(now) },
                 { "weights", m_model.Options().m_weights },
                 { "leaving", FaultValue("leaving") == "1" } }));
}

void
EngineRole::HandleOrder(CallerId aCaller, const HttpRequest& aRequest)
{
  const Json body = Json::parse(aRequest.m_body);
  const std::uint64_t number = body.at("number");
  if (m_checksFencing && number < m_highestFencingNumber) {
    Respond(aCaller, 409, Dump({ { "last", m_highestFencingNumber } }));
    return;
  }
  m_highestFencingNumber = std::max(m_highestFencingNumber, number);
  const std::string weights = body.at("target");
  RunAfter(m_loadTime, [this, aCaller, weights] {
    m_model.SetWeights(MonotonicNow(), weights);
    Respond(aCaller, 200, Dump({ { "weights", weights } }));
  });
}

} // namespace fulmarquay
