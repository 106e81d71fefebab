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

constexpr Duration kStoreTimeout(3'000'000);

std::string
Dump(const Json& aJson)
{
  return aJson.dump(-1, ' ', false, Json::error_handler_t::replace);
}

EngineModelOptions
MakeModelOptions(const std::string& aSection, const Settings& aSettings)
{
  EngineModelOptions options;
  options.m_cachePieces =
    static_cast<std::size_t>(aSettings.Integer(aSection, "cache_pieces"));
  options.m_prefillPerSecond =
    aSettings.Integer(aSection, "prefill_per_second");
  options.m_pieceTokens = aSettings.Integer(aSection, "piece_tokens");
  options.m_bytesPerToken = aSettings.Integer(aSection, "bytes_per_token");
  options.m_slots = aSettings.Integer(aSection, "slots");
  options.m_eventLag = aSettings.Time(aSection, "event_lag");
  options.m_weights = aSettings.Text(aSection, "weights");
  return options;
}

Duration
TransferTime(std::uint64_t aBytes, std::int64_t aPerSecond)
{
  constexpr std::int64_t kMicrosPerSecond = 1'000'000;
  if (aPerSecond <= 0) {
    return Duration(0);
  }
  return Duration(static_cast<std::int64_t>(aBytes) * kMicrosPerSecond /
                  aPerSecond);
}

} // namespace

struct EngineRole::Prompt
{
  CallerId m_caller;
  std::string m_request;
  std::uint32_t m_attempt = 0;
  std::string m_text;
  std::uint32_t m_next = 0; ///< index of the next token
  std::uint32_t m_maxTokens = 0;
  BlockKey m_root;
  std::vector<BlockKey> m_keys;
  std::size_t m_cached = 0;
  // Import.
  std::vector<ImportBlock> m_import;
  Endpoint m_store;
  std::int64_t m_perSecond = 0;
  TimePoint m_importDue;
  std::size_t m_imported = 0; ///< blocks that arrived whole, in a row
  std::vector<std::string> m_invalidKeys;
  bool m_isImporting = false;
  // Prefill.
  std::int64_t m_promptTokens = 0;
  std::int64_t m_recomputed = 0;
  int m_prefills = 0; ///< parts of the prompt still being computed
  std::uint32_t m_sentNow = 0;
};

struct EngineRole::Export
{
  CallerId m_caller;
  Endpoint m_store;
  AccountId m_account;
  std::string m_weights;
  BlockKey m_root;
  std::int64_t m_perSecond = 0;
  std::vector<ExportBlock> m_blocks;
  std::size_t m_next = 0;
  Json m_done = Json::array();
  std::uint64_t m_length = 0;
  std::uint64_t m_checksum = 0;
};

EngineRole::EngineRole(boost::asio::io_context& aContext,
                       const std::string& aSection,
                       const Settings& aSettings)
  : StandinRole(aContext, aSettings.Address(aSection, "listen"))
  , m_model(MakeModelOptions(aSection, aSettings))
  , m_client(aContext, *this)
  , m_stores(MakeHttpStoreProtocol())
  , m_tokenInterval(aSettings.Time(aSection, "token_interval"))
  , m_loadTime(aSettings.Time(aSection, "load_time"))
  , m_checksFencing(aSettings.Flag(aSection, "checks_fencing"))
{
}

void
EngineRole::SetFault(const std::string& aName, const std::string&)
{
  if (aName == "evict") {
    m_model.Clear(MonotonicNow());
  }
}

void
EngineRole::Serve(CallerId aCaller, const HttpRequest& aRequest)
{
  const std::string& target = aRequest.m_target;
  try {
    if (target == "/generate") {
      Generate(aCaller, aRequest);
    } else if (target == "/export") {
      StartExport(aCaller, aRequest);
    } else if (target.starts_with("/report")) {
      Report(aCaller, target);
    } else if (target == "/order") {
      Order(aCaller, aRequest);
    } else {
      Respond(aCaller, 404, "{}");
    }
  } catch (const std::exception& e) {
    Respond(aCaller, 400, Dump({ { "error", e.what() } }));
  }
}

void
EngineRole::Generate(CallerId aCaller, const HttpRequest& aRequest)
{
  const Json body = Json::parse(aRequest.m_body);
  if (Fault("full") == "1" || Fault("leaving") == "1") {
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
  prompt->m_next = body.at("offset");
  prompt->m_maxTokens = body.at("max_tokens");
  prompt->m_root = BlockKey::Parse(body.at("root").get<std::string>());
  for (const std::string key : body.at("keys")) {
    prompt->m_keys.push_back(BlockKey::Parse(key));
  }
  prompt->m_promptTokens = EstimateTokens(prompt->m_text).Count();
  prompt->m_cached = m_model.CachedPieces(prompt->m_keys);
  if (body.contains("import")) {
    const Json& import = body.at("import");
    prompt->m_store = Endpoint::Parse(import.at("store").get<std::string>());
    prompt->m_perSecond = import.at("bytes_per_second");
    prompt->m_importDue =
      MonotonicNow() + Duration(import.at("delay_us").get<std::int64_t>());
    for (const Json& item : import.at("blocks")) {
      ImportBlock block;
      block.m_key = BlockKey::Parse(item.at("key").get<std::string>());
      block.m_copy.m_generation = Generation(item.at("generation"));
      block.m_copy.m_length = item.at("length");
      block.m_copy.m_checksum = item.at("checksum");
      if (!m_model.Holds(block.m_key)) {
        prompt->m_import.push_back(block);
      }
    }
  }
  ++m_running;
  HttpResponse head;
  head.m_headers = { { "Content-Type", "application/x-ndjson" } };
  Server().StreamHead(aCaller, head);
  ArrangePrefill(prompt);
  prompt->m_isImporting = !prompt->m_import.empty();
  if (prompt->m_isImporting) {
    ImportNext(prompt);
  }
}

void
EngineRole::ArrangePrefill(const PromptPtr& aPrompt)
{
  // What is neither cached nor about to arrive is computed meanwhile.
  const auto there =
    static_cast<std::int64_t>(aPrompt->m_cached + aPrompt->m_import.size());
  const std::int64_t tokens = std::max<std::int64_t>(
    1, aPrompt->m_promptTokens - there * m_model.Options().m_pieceTokens);
  StartPrefill(aPrompt, tokens);
}

void
EngineRole::StartPrefill(const PromptPtr& aPrompt, std::int64_t aTokens)
{
  ++aPrompt->m_prefills;
  aPrompt->m_recomputed += aTokens;
  const TimePoint now = MonotonicNow();
  const TimePoint done = m_model.QueuePrefill(now, aTokens);
  After(done - now, [this, aPrompt] {
    --aPrompt->m_prefills;
    MaybeDecode(aPrompt);
  });
}

void
EngineRole::ImportNext(const PromptPtr& aPrompt)
{
  const std::size_t index = aPrompt->m_imported;
  if (index >= aPrompt->m_import.size()) {
    aPrompt->m_isImporting = false;
    MaybeDecode(aPrompt);
    return;
  }
  const ImportBlock& block = aPrompt->m_import[index];
  const TimePoint now = MonotonicNow();
  const Duration wait = std::max(Duration(0), aPrompt->m_importDue - now);
  aPrompt->m_importDue =
    now + wait + TransferTime(block.m_copy.m_length, aPrompt->m_perSecond);
  After(wait, [this, aPrompt, index] {
    const ImportBlock& due = aPrompt->m_import[index];
    HttpCall call;
    call.m_call = CallId(m_nextCall++);
    call.m_peer = aPrompt->m_store;
    call.m_request = m_stores->Read(due.m_key, due.m_copy.m_generation);
    call.m_idleTimeout = kStoreTimeout;
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
EngineRole::OnEnd(CallId aCall, CallEnd aEnd, const std::string&)
{
  const auto place = m_transfers.find(aCall);
  const Transfer transfer = std::move(place->second);
  m_transfers.erase(place);
  const bool isWhole = aEnd == CallEnd::Whole && transfer.m_status == 200;
  if (transfer.m_prompt) {
    OnImported(transfer, isWhole);
  } else {
    OnExported(transfer, isWhole);
  }
}

void
EngineRole::OnImported(const Transfer& aTransfer, bool aIsWhole)
{
  const PromptPtr& prompt = aTransfer.m_prompt;
  const ImportBlock& block = prompt->m_import[aTransfer.m_index];
  // Checked after the copy: the store may have freed the block meanwhile.
  const bool isRight = aIsWhole &&
                       aTransfer.m_body.size() == block.m_copy.m_length &&
                       Checksum64(aTransfer.m_body) == block.m_copy.m_checksum;
  if (isRight) {
    m_model.Insert(MonotonicNow(), block.m_key, prompt->m_root);
    ++prompt->m_imported;
    ImportNext(prompt);
    return;
  }
  // The rest of the chain is computed instead.
  prompt->m_invalidKeys.push_back(block.m_key.ToString());
  prompt->m_isImporting = false;
  const auto missing =
    static_cast<std::int64_t>(prompt->m_import.size() - prompt->m_imported);
  StartPrefill(prompt, missing * m_model.Options().m_pieceTokens);
}

void
EngineRole::MaybeDecode(const PromptPtr& aPrompt)
{
  if (aPrompt->m_prefills == 0 && !aPrompt->m_isImporting) {
    for (const BlockKey& key : aPrompt->m_keys) {
      m_model.Insert(MonotonicNow(), key, aPrompt->m_root);
    }
    Decode(aPrompt);
  }
}

void
EngineRole::WriteLine(const PromptPtr& aPrompt, const Json& aLine)
{
  Server().StreamData(aPrompt->m_caller, Dump(aLine) + "\n");
}

void
EngineRole::Decode(const PromptPtr& aPrompt)
{
  if (IsGone(aPrompt->m_caller)) {
    --m_running;
    return;
  }
  const std::string cut = Fault("break_after");
  if (!cut.empty() && aPrompt->m_sentNow == std::stoul(cut)) {
    --m_running;
    Server().StreamEnd(aPrompt->m_caller, false);
    return;
  }
  if (aPrompt->m_next >= aPrompt->m_maxTokens) {
    FinishPrompt(aPrompt);
    return;
  }
  if (Fault("cross") == "1") {
    WriteLine(aPrompt,
              { { "request", "another" },
                { "attempt", 1 },
                { "index", aPrompt->m_next },
                { "text", "crossed " } });
  }
  WriteLine(aPrompt,
            { { "request", aPrompt->m_request },
              { "attempt", aPrompt->m_attempt },
              { "index", aPrompt->m_next },
              { "text", StandinTokenText(aPrompt->m_text, aPrompt->m_next) } });
  ++aPrompt->m_next;
  ++aPrompt->m_sentNow;
  After(m_tokenInterval, [this, aPrompt] { Decode(aPrompt); });
}

void
EngineRole::FinishPrompt(const PromptPtr& aPrompt)
{
  --m_running;
  const std::int64_t piece = m_model.Options().m_pieceTokens;
  WriteLine(
    aPrompt,
    { { "request", aPrompt->m_request },
      { "attempt", aPrompt->m_attempt },
      { "end", true },
      { "tokens", aPrompt->m_next },
      { "cached", static_cast<std::int64_t>(aPrompt->m_cached) * piece },
      { "imported", static_cast<std::int64_t>(aPrompt->m_imported) * piece },
      { "recomputed", aPrompt->m_recomputed },
      { "wrong", aPrompt->m_invalidKeys } });
  Server().StreamEnd(aPrompt->m_caller, true);
}

void
EngineRole::StartExport(CallerId aCaller, const HttpRequest& aRequest)
{
  const Json body = Json::parse(aRequest.m_body);
  auto job = std::make_shared<Export>();
  job->m_caller = aCaller;
  job->m_store = Endpoint::Parse(body.at("store").get<std::string>());
  job->m_account = AccountId(body.at("account").get<std::string>());
  job->m_weights = body.at("weights");
  job->m_root = BlockKey::Parse(body.at("root").get<std::string>());
  job->m_perSecond = body.at("bytes_per_second");
  for (const Json& item : body.at("blocks")) {
    job->m_blocks.push_back(
      { BlockKey::Parse(item.at("key").get<std::string>()),
        Generation(item.at("generation").get<std::uint64_t>()) });
  }
  After(Duration(body.at("delay_us").get<std::int64_t>()),
        [this, job] { ExportNext(job); });
}

void
EngineRole::ExportNext(const ExportPtr& aExport)
{
  if (aExport->m_next >= aExport->m_blocks.size()) {
    Respond(aExport->m_caller, 200, Dump({ { "blocks", aExport->m_done } }));
    return;
  }
  const ExportBlock& block = aExport->m_blocks[aExport->m_next];
  Transfer transfer;
  transfer.m_export = aExport;
  transfer.m_index = aExport->m_next;
  if (!m_model.Holds(block.m_key)) {
    OnExported(transfer, false);
    return;
  }
  std::string bytes = m_model.BlockBytes(block.m_key);
  aExport->m_length = bytes.size();
  aExport->m_checksum = Checksum64(bytes);
  ListedBlock listed;
  listed.m_key = block.m_key;
  listed.m_root = aExport->m_root;
  listed.m_account = aExport->m_account;
  listed.m_weights = aExport->m_weights;
  listed.m_copy.m_generation = block.m_generation;
  listed.m_copy.m_checksum = aExport->m_checksum;
  const Duration pace = TransferTime(bytes.size(), aExport->m_perSecond);
  HttpCall call;
  call.m_call = CallId(m_nextCall++);
  call.m_peer = aExport->m_store;
  call.m_request = m_stores->Write(listed, std::move(bytes));
  call.m_idleTimeout = kStoreTimeout;
  m_transfers.emplace(call.m_call, transfer);
  After(pace, [this, call]() mutable { m_client.Start(std::move(call)); });
}

void
EngineRole::OnExported(const Transfer& aTransfer, bool aIsWhole)
{
  const ExportPtr& job = aTransfer.m_export;
  const ExportBlock& block = job->m_blocks[aTransfer.m_index];
  job->m_done.push_back({ { "key", block.m_key.ToString() },
                          { "generation", block.m_generation.Value() },
                          { "whole", aIsWhole },
                          { "length", aIsWhole ? job->m_length : 0 },
                          { "checksum", aIsWhole ? job->m_checksum : 0 } });
  ++job->m_next;
  ExportNext(job);
}

void
EngineRole::Report(CallerId aCaller, const std::string& aTarget)
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
  const bool isGap = Fault("gap") == "1";
  Respond(aCaller,
          200,
          Dump({ { "next", next },
                 { "first", isGap ? next : m_model.FirstKnown() },
                 { "events", isGap ? Json::array() : events },
                 { "running", m_running },
                 { "queued_tokens", m_model.QueuedTokens(now) },
                 { "weights", m_model.Options().m_weights },
                 { "leaving", Fault("leaving") == "1" } }));
}

void
EngineRole::Order(CallerId aCaller, const HttpRequest& aRequest)
{
  const Json body = Json::parse(aRequest.m_body);
  const std::uint64_t number = body.at("number");
  if (m_checksFencing && number < m_lastOrder) {
    Respond(aCaller, 409, Dump({ { "last", m_lastOrder } }));
    return;
  }
  m_lastOrder = std::max(m_lastOrder, number);
  const std::string weights = body.at("target");
  After(m_loadTime, [this, aCaller, weights] {
    m_model.SetWeights(MonotonicNow(), weights);
    Respond(aCaller, 200, Dump({ { "weights", weights } }));
  });
}

} // namespace fulmarquay
