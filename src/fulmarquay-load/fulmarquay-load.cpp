#include <utility>

#include "Caller.h"
#include "ControlLoad.h"
#include "Conversation.h"
#include "LoadRun.h"
#include "Report.h"

#include "fulmarquay/core/CommandLine.h"
#include "fulmarquay/core/Error.h"
#include "fulmarquay/core/Settings.h"

#include <boost/asio/ip/tcp.hpp>
#include <chrono>
#include <fstream>
#include <iostream>
#include <list>
#include <nlohmann/json.hpp>
#include <thread>

using namespace fulmarquay;

namespace {

using Json = nlohmann::ordered_json;

CommandSpec
MakeSpec()
{
  CommandSpec spec;
  spec.m_program = "fulmarquay-load";
  spec.m_summary = "load generator, single calls and measurements";
  spec.m_positionals = "COMMAND [ARG ...]";
  spec.m_options = {
    { "entry", "HTTP listener of an entry or upstream, IP:PORT", true, "" },
    { "key", "bearer key", true, "" },
    { "model", "model name", true, "m" },
    { "conversation", "name of the conversation", true, "c1" },
    { "seed", "seed of synthetic text", true, "1" },
    { "turns", "prompt: turns of the conversation", true, "1" },
    { "tokens", "prompt: tokens of each user message", true, "4096" },
    { "later-tokens",
      "prompt: tokens of user messages after the first; default: --tokens",
      true,
      "" },
    { "max-tokens", "prompt: tokens of each answer", true, "16" },
    { "pause",
      "prompt: pause between turns, twice with --between",
      true,
      "0ms" },
    { "between",
      "prompt: target of a POST to --fault between turns",
      true,
      "" },
    { "fault", "prompt: IP:PORT that --between is sent to", true, "" },
    { "idempotency-key", "post: the Idempotency-Key", true, "" },
    { "body", "post: the body", true, "{}" },
    { "rate", "run, returning: requests per second", true, "50" },
    { "name", "returning: name of the run in reports", true, "run" },
    { "store",
      "returning: HTTP listener of the store whose link use is reported",
      true,
      "" },
    { "conversations", "returning: concurrent conversations", true, "40" },
    { "svg", "report: write the plot to this file", true, "" },
    { "csv", "report: write the table to this file", true, "" },
    { "control",
      "commits: control replicas, IP:PORT, space-separated",
      true,
      "" },
    { "in-flight", "commits, run: concurrent requests", true, "1" },
    { "length", "commits, run, returning: duration", true, "3s" },
    { "folder", "commits: also measure single syncs in this folder", true, "" },
  };
  spec.m_details =
    "Commands:\n"
    "  prompt           run a conversation; prints a JSON line per turn\n"
    "  post TARGET      send one POST; prints a JSON line\n"
    "  get TARGET       send one GET; prints the body\n"
    "  run TARGET       POST --body at --rate, or keep --in-flight at rate 0\n"
    "  returning        run conversations at --rate; --key takes "
    "several\n"
    "                   bearer keys; prints a JSON line\n"
    "  report FILE      plot and table of the lines printed by `returning`\n"
    "  commits          measure commits; prints a JSON line\n"
    "  free-ports N     print N free ports of 127.0.0.1\n"
    "\nExamples:\n"
    "  fulmarquay-load prompt --entry 127.0.0.1:8080 --key k --turns 2\n"
    "  fulmarquay-load post /v1/services/till/deposit --entry 127.0.0.1:8080 "
    "--key k --idempotency-key d1\n";
  return spec;
}

Endpoint
EntryEndpoint(const CommandLine& aLine)
{
  return Endpoint::Parse(aLine.Value("entry"));
}

Json
RenderTurn(const Exchange& aExchange, const TurnResult& aTurn)
{
  return { { "status", aTurn.m_status },
           { "whole", aTurn.m_isComplete },
           { "own", aTurn.m_isExpectedText },
           { "first_token_ms",
             static_cast<double>(aExchange.m_firstData.count()) / 1000 },
           { "total_ms",
             static_cast<double>(aExchange.m_total.count()) / 1000 },
           { "prompt_tokens", aTurn.m_promptTokens },
           { "cached_tokens", aTurn.m_cached },
           { "imported_tokens", aTurn.m_imported },
           { "recomputed_tokens", aTurn.m_recomputed } };
}

ExitCode
RunPrompt(const CommandLine& aLine)
{
  Conversation conversation(aLine.Value("conversation"),
                            aLine.Value("model"),
                            std::stoull(aLine.Value("seed")));
  const int turns = std::stoi(aLine.Value("turns"));
  const Duration pause = ParseDuration(aLine.Value("pause"));
  const std::string firstTokens = aLine.Value("tokens");
  const std::string laterTokens =
    aLine.Has("later-tokens") ? aLine.Value("later-tokens") : firstTokens;
  bool isSuccess = true;
  for (int i = 0; i < turns; ++i) {
    if (i > 0) {
      std::this_thread::sleep_for(pause);
      if (!aLine.Value("between").empty()) {
        HttpRequest fault;
        fault.m_method = "POST";
        fault.m_target = aLine.Value("between");
        CallOnce(Endpoint::Parse(aLine.Value("fault")), std::move(fault));
        std::this_thread::sleep_for(pause);
      }
    }
    const Exchange exchange = CallOnce(
      EntryEndpoint(aLine),
      conversation.NextTurn(
        aLine.Value("key"),
        std::stoll(i == 0 ? firstTokens : laterTokens),
        static_cast<std::uint32_t>(std::stoul(aLine.Value("max-tokens")))));
    const TurnResult turn = conversation.AddAnswer(exchange.m_response);
    Json line = RenderTurn(exchange, turn);
    if (turn.m_status != 200) {
      line["body"] = exchange.m_response.m_body;
    }
    std::cout << line.dump() << "\n";
    isSuccess = isSuccess && turn.m_isComplete && turn.m_isExpectedText;
  }
  return isSuccess ? ExitCode::Ok : ExitCode::Failed;
}

ExitCode
RunExchange(const CommandLine& aLine, const std::string& aMethod)
{
  HttpRequest request;
  request.m_method = aMethod;
  request.m_target = aLine.Positionals().at(1);
  request.m_headers = CallerHeaders(aLine.Value("key"));
  const std::string key = aLine.Value("idempotency-key");
  if (!key.empty()) {
    request.m_headers.push_back({ "Idempotency-Key", key });
  }
  if (aMethod == "POST") {
    request.m_body = aLine.Value("body");
  }
  const Exchange exchange = CallOnce(EntryEndpoint(aLine), std::move(request));
  if (aMethod == "GET") {
    std::cout << exchange.m_response.m_body;
  } else {
    const auto& headers = exchange.m_response.m_headers;
    std::cout << Json{
      { "status", exchange.m_response.m_status },
      { "earlier", !FindHeader(headers, "Fulmarquay-Outcome").empty() },
      { "retry_after", FindHeader(headers, "Retry-After") },
      { "body", exchange.m_response.m_body }
    }.dump() << "\n";
  }
  const bool isComplete = exchange.m_result == CallResult::Complete;
  return isComplete && exchange.m_response.m_status == 200 ? ExitCode::Ok
                                                           : ExitCode::Failed;
}

double
ToMilliseconds(Duration aTime)
{
  return static_cast<double>(aTime.count()) / 1000;
}

ExitCode
RunCommits(const CommandLine& aLine)
{
  std::vector<Endpoint> replicas;
  for (const std::string& word : SplitWords(aLine.Value("control"))) {
    replicas.push_back(Endpoint::Parse(word));
  }
  const Duration length = ParseDuration(aLine.Value("length"));
  ControlLoad load(std::move(replicas), std::stoul(aLine.Value("in-flight")));
  Json line;
  if (aLine.Has("folder")) {
    const ControlLoadResult statusRun = load.Run(length / 3, true);
    const auto syncs = MeasureSyncs(aLine.Value("folder"), 500);
    line["round_trip_p50_ms"] =
      ToMilliseconds(Percentile(statusRun.m_latencies, 0.5));
    line["round_trip_p99_ms"] =
      ToMilliseconds(Percentile(statusRun.m_latencies, 0.99));
    line["sync_p50_ms"] = ToMilliseconds(Percentile(syncs, 0.5));
    line["sync_p99_ms"] = ToMilliseconds(Percentile(syncs, 0.99));
  }
  const ControlLoadResult commitRun = load.Run(length, false);
  const double seconds = static_cast<double>(length.count()) / 1e6;
  line["commit_p50_ms"] =
    ToMilliseconds(Percentile(commitRun.m_latencies, 0.5));
  line["commit_p99_ms"] =
    ToMilliseconds(Percentile(commitRun.m_latencies, 0.99));
  line["commits_per_second"] =
    static_cast<double>(commitRun.m_latencies.size()) / seconds;
  line["longest_gap_ms"] = ToMilliseconds(commitRun.m_longestGap);
  std::cout << line.dump() << "\n";
  return commitRun.m_latencies.empty() ? ExitCode::Failed : ExitCode::Ok;
}

ExitCode
RunRequests(const CommandLine& aLine)
{
  RepeatedRequestSource source(
    aLine.Positionals().at(1), aLine.Value("key"), aLine.Value("body"));
  LoadRun run(EntryEndpoint(aLine), source, std::stoull(aLine.Value("seed")));
  const double rate = std::stod(aLine.Value("rate"));
  const Duration length = ParseDuration(aLine.Value("length"));
  const std::vector<LoadSample> samples =
    rate > 0 ? run.RunOpenLoop(rate, length)
             : run.RunClosedLoop(std::stoul(aLine.Value("in-flight")), length);
  std::vector<Duration> firstData;
  std::size_t failed = 0;
  std::size_t cut = 0;
  for (const LoadSample& sample : samples) {
    firstData.push_back(sample.m_firstData);
    failed += sample.m_isSuccess ? 0 : 1;
    cut += sample.m_isCut ? 1 : 0;
  }
  const double seconds = static_cast<double>(length.count()) / 1e6;
  std::cout << Json{
    { "requests", samples.size() },
    { "failed", failed },
    { "cut", cut },
    { "per_second", static_cast<double>(samples.size()) / seconds },
    { "first_data_p50_ms", ToMilliseconds(Percentile(firstData, 0.5)) },
    { "first_data_p99_ms", ToMilliseconds(Percentile(firstData, 0.99)) }
  }.dump() << "\n";
  return failed == 0 ? ExitCode::Ok : ExitCode::Failed;
}

double
ReadLinkBytes(const CommandLine& aLine)
{
  if (aLine.Value("store").empty()) {
    return 0;
  }
  HttpRequest request;
  request.m_target = "/stats";
  const Exchange exchange =
    CallOnce(Endpoint::Parse(aLine.Value("store")), std::move(request));
  return Json::parse(exchange.m_response.m_body).at("link_bytes");
}

ExitCode
RunReturning(const CommandLine& aLine)
{
  ConversationLoad load;
  load.m_keys = SplitWords(aLine.Value("key"));
  load.m_model = aLine.Value("model");
  load.m_conversations = std::stoul(aLine.Value("conversations"));
  load.m_firstTokens = std::stoll(aLine.Value("tokens"));
  load.m_maxTokens =
    static_cast<std::uint32_t>(std::stoul(aLine.Value("max-tokens")));
  load.m_seed = std::stoull(aLine.Value("seed"));
  ConversationSource source(load);
  LoadRun run(EntryEndpoint(aLine), source, load.m_seed);
  const double rate = std::stod(aLine.Value("rate"));
  const Duration length = ParseDuration(aLine.Value("length"));
  const double linkBytesBefore = ReadLinkBytes(aLine);
  RunSummary summary =
    Summarize(aLine.Value("name"), rate, run.RunOpenLoop(rate, length));
  const double seconds = static_cast<double>(length.count()) / 1e6;
  summary.m_linkBytesPerSecond =
    (ReadLinkBytes(aLine) - linkBytesBefore) / seconds;
  std::cout << RenderJson(summary) << "\n";
  return ExitCode::Ok;
}

ExitCode
RunReport(const CommandLine& aLine)
{
  const std::vector<RunSummary> runs =
    ReadSummaries(ReadWholeFile(aLine.Positionals().at(1)));
  std::string csv = CsvHeader() + "\n";
  for (const RunSummary& run : runs) {
    csv += RenderCsv(run) + "\n";
  }
  if (aLine.Has("svg")) {
    std::ofstream(aLine.Value("svg")) << RenderSvg(runs);
  }
  if (aLine.Has("csv")) {
    std::ofstream(aLine.Value("csv")) << csv;
  }
  std::cout << csv;
  return ExitCode::Ok;
}

ExitCode
RunFreePorts(const CommandLine& aLine)
{
  using boost::asio::ip::tcp;
  const int count = std::stoi(aLine.Positionals().at(1));
  boost::asio::io_context context;
  // All stay open until the end, so that no port is printed twice.
  std::list<tcp::acceptor> acceptors;
  for (int i = 0; i < count; ++i) {
    acceptors.emplace_back(
      context, tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), 0));
    std::cout << acceptors.back().local_endpoint().port() << "\n";
  }
  return ExitCode::Ok;
}

ExitCode
RunCommand(const CommandLine& aLine)
{
  const auto& arguments = aLine.Positionals();
  const std::string command = arguments.empty() ? "" : arguments.front();
  if (command == "prompt") {
    return RunPrompt(aLine);
  }
  if (command == "post" && arguments.size() == 2) {
    return RunExchange(aLine, "POST");
  }
  if (command == "get" && arguments.size() == 2) {
    return RunExchange(aLine, "GET");
  }
  if (command == "run" && arguments.size() == 2) {
    return RunRequests(aLine);
  }
  if (command == "returning") {
    return RunReturning(aLine);
  }
  if (command == "report" && arguments.size() == 2) {
    return RunReport(aLine);
  }
  if (command == "commits") {
    return RunCommits(aLine);
  }
  if (command == "free-ports" && arguments.size() == 2) {
    return RunFreePorts(aLine);
  }
  std::cerr << "fulmarquay-load: unknown command or wrong number of arguments; "
               "see --help\n";
  return ExitCode::Usage;
}

} // namespace

int
main(int aArgc, char** aArgv)
{
  const CommandLine line(aArgc, aArgv, MakeSpec());
  if (line.ShouldExit()) {
    return line.ExitStatus();
  }
  try {
    return static_cast<int>(RunCommand(line));
  } catch (const std::exception& e) {
    std::cerr << "fulmarquay-load: " << e.what() << "\n";
    return static_cast<int>(ExitCode::Failed);
  }
}
