#include "ControlClient.h"
#include "Questionnaire.h"

#include "fulmarquay/control/Configuration.h"
#include "fulmarquay/control/ProgramSettings.h"
#include "fulmarquay/core/CommandLine.h"
#include "fulmarquay/core/Digest.h"
#include "fulmarquay/core/LogEvent.h"
#include "fulmarquay/core/Settings.h"
#include "fulmarquay/wire/FrameCall.h"

#include <cstdlib>
#include <fstream>
#include <iomanip>
#include <iostream>
#include <nlohmann/json.hpp>

using namespace fulmarquay;

namespace {

using Json = nlohmann::ordered_json;

constexpr Duration kDumpTimeout(3'000'000);

CommandSpec
MakeSpec()
{
  CommandSpec spec;
  spec.m_program = "fulmarquay";
  spec.m_summary = "command-line client for operators";
  spec.m_positionals = "COMMAND [ARG ...]";
  spec.m_options = {
    { "control", "control replicas, IP:PORT separated by spaces", true, "" },
    { "base", "submit: revision that the answers are based on", true, "" },
    { "id",
      "submit: submission id; default: hash of the submission",
      true,
      "" },
    { "operator", "submit: name of the operator", true, "operator" },
    { "out", "questionnaire: write the answers to this file", true, "" },
    { "timeout", "maximum time to find the leader", true, "10s" },
    { "json", "print JSON", false, "" }
  };
  spec.m_details =
    "Commands:\n"
    "  questionnaire            prompt for values, write an answers file\n"
    "  check FILE               validate an answers file\n"
    "  hash-key KEY             print the hash of a bearer key, for key_hash\n"
    "  submit FILE              submit answers, print the accepted revision\n"
    "  status                   print revision, replicas and entries\n"
    "  dump IP:PORT             print the state of a process\n"
    "  reference settings|log-events   print a generated page of docs/\n"
    "\nExamples:\n"
    "  fulmarquay questionnaire --out my.answers\n"
    "  fulmarquay submit my.answers --control '10.0.0.1:7000 10.0.0.2:7000'\n"
    "  fulmarquay status --json --control 10.0.0.1:7000\n"
    "\nFULMARQUAY_CONTROL is the default of --control.\n";
  return spec;
}

ControlClient
MakeClient(const CommandLine& aLine)
{
  std::string addresses = aLine.Value("control");
  const char* fromEnvironment = std::getenv("FULMARQUAY_CONTROL");
  if (addresses.empty() && fromEnvironment != nullptr) {
    addresses = fromEnvironment;
  }
  std::vector<Endpoint> replicas;
  for (const std::string& address : SplitWords(addresses)) {
    replicas.push_back(Endpoint::Parse(address));
  }
  return ControlClient(std::move(replicas),
                       ParseDuration(aLine.Value("timeout")));
}

std::string
Argument(const CommandLine& aLine, std::size_t aIndex, const char* aName)
{
  if (aLine.Positionals().size() <= aIndex) {
    throw Error("read command line", "", std::string(aName) + " is missing");
  }
  return aLine.Positionals()[aIndex];
}

ExitCode
RunQuestionnaire(const CommandLine& aLine)
{
  const std::string answers = ReadAnswers(std::cin, std::cerr);
  CheckAnswers(answers, "answers");
  const std::string file = aLine.Value("out");
  if (file.empty()) {
    std::cout << answers;
    return ExitCode::Ok;
  }
  std::ofstream out(file);
  out << answers;
  if (!out.flush()) {
    throw Error("write answers", file, "it can't be written");
  }
  return ExitCode::Ok;
}

void
PrintRejection(const SubmitResult& aResult)
{
  if (!aResult.m_problems.empty()) {
    std::cerr << "not accepted; wrong answers:\n";
    for (const std::string& problem : aResult.m_problems) {
      std::cerr << "  " << problem << "\n";
    }
    return;
  }
  std::cerr << "not accepted: revision " << aResult.m_revision.Value() << " by "
            << aResult.m_conflictingOperator << " came first; it changed:\n";
  for (const std::string& section : aResult.m_changed) {
    std::cerr << "  [" << section << "]\n";
  }
  std::cerr << "Merge your answers with it and submit again with --base "
            << aResult.m_revision.Value() << ".\n";
}

ExitCode
RunSubmit(const CommandLine& aLine)
{
  const std::string file = Argument(aLine, 1, "FILE");
  SubmitRequest request;
  request.m_answers = ReadWholeFile(file);
  CheckAnswers(request.m_answers, file);
  request.m_request = RequestId(1);
  request.m_operator = aLine.Value("operator");
  request.m_hasBase = aLine.Has("base");
  if (request.m_hasBase) {
    request.m_base = Revision(std::stoull(aLine.Value("base")));
  }
  request.m_submission = aLine.Value("id");
  if (request.m_submission.empty()) {
    // Derived from the content, so that a repeat of this command after a lost
    // reply submits the same id.
    request.m_submission =
      ContentHash(request.m_operator + "\n" + aLine.Value("base") + "\n" +
                  request.m_answers);
  }
  const ControlMessage reply = MakeClient(aLine).Call(request);
  const SubmitResult& result = std::get<SubmitReply>(reply).m_result;
  if (aLine.Has("json")) {
    std::cout << Json{
      { "accepted", result.m_isAccepted },
      { "revision", result.m_revision.Value() },
      { "winner", result.m_conflictingOperator },
      { "changed", result.m_changed },
      { "problems", result.m_problems }
    }.dump() << "\n";
  } else if (result.m_isAccepted) {
    std::cout << "accepted as revision " << result.m_revision.Value() << "\n";
  }
  if (!result.m_isAccepted) {
    PrintRejection(result);
    return ExitCode::Settings;
  }
  return ExitCode::Ok;
}

Json
StatusJson(const StatusReply& aStatus)
{
  Json json = { { "revision", aStatus.m_revision.Value() },
                { "digest", aStatus.m_digest },
                { "term", aStatus.m_term },
                { "commit", aStatus.m_commit },
                { "once_records", aStatus.m_onceRecords },
                { "feature_level", aStatus.m_featureLevel },
                { "voters_needed", aStatus.m_votersNeeded },
                { "voters_reached", aStatus.m_votersReached } };
  json["evacuated"] = Json::array();
  for (const DataCentreId& dataCentre : aStatus.m_evacuated) {
    json["evacuated"].push_back(dataCentre.Value());
  }
  json["replicas"] = Json::array();
  for (const ReplicaStatus& replica : aStatus.m_replicas) {
    json["replicas"].push_back({ { "id", HexOf(replica.m_id) },
                                 { "vm", replica.m_vm },
                                 { "address", replica.m_address },
                                 { "role", replica.m_role },
                                 { "feature_level", replica.m_featureLevel } });
  }
  json["entries"] = Json::array();
  for (const EntryStatus& entry : aStatus.m_entries) {
    json["entries"].push_back(
      { { "vm", entry.m_vm.Value() },
        { "data_centre", entry.m_dataCentre.Value() },
        { "revision_in_force", entry.m_inForce.Value() },
        { "heard_ago_ms", entry.m_lastHeartbeatAgoUs / 1000 },
        { "live", entry.m_isLive } });
  }
  return json;
}

void
PrintStatus(const StatusReply& aStatus)
{
  std::cout << "revision " << aStatus.m_revision.Value() << ", term "
            << aStatus.m_term << ", once-only records " << aStatus.m_onceRecords
            << ", feature level " << aStatus.m_featureLevel << "\n";
  if (aStatus.m_votersNeeded > 0) {
    std::cout << "the leader hears from " << aStatus.m_votersReached
              << " voters, itself included; a commit needs "
              << aStatus.m_votersNeeded << "\n";
  }
  for (const DataCentreId& dataCentre : aStatus.m_evacuated) {
    std::cout << "evacuated: " << dataCentre.Value() << "\n";
  }
  std::cout << "\nreplica           vm          "
            << "role     level  address\n";
  for (const ReplicaStatus& replica : aStatus.m_replicas) {
    std::cout << std::left << std::setw(18) << HexOf(replica.m_id)
              << std::setw(12) << replica.m_vm << std::setw(9) << replica.m_role
              << std::setw(7) << replica.m_featureLevel << replica.m_address
              << "\n";
  }
  std::cout << "\nentry       data centre  revision  heard ago  state\n";
  for (const EntryStatus& entry : aStatus.m_entries) {
    std::cout << std::left << std::setw(12) << entry.m_vm.Value()
              << std::setw(13) << entry.m_dataCentre.Value() << std::setw(10)
              << entry.m_inForce.Value() << std::setw(11)
              << std::to_string(entry.m_lastHeartbeatAgoUs / 1000) + "ms"
              << (entry.m_isLive ? "live" : "lost") << "\n";
  }
}

ExitCode
RunStatus(const CommandLine& aLine)
{
  const ControlMessage reply =
    MakeClient(aLine).Call(StatusRequest{ RequestId(1) });
  const auto& status = std::get<StatusReply>(reply);
  if (aLine.Has("json")) {
    std::cout << StatusJson(status).dump() << "\n";
  } else {
    PrintStatus(status);
  }
  return ExitCode::Ok;
}

ExitCode
RunDump(const CommandLine& aLine)
{
  const Endpoint peer = Endpoint::Parse(Argument(aLine, 1, "IP:PORT"));
  const Frame reply = CallPeer(peer, { Channel::Admin, "" }, kDumpTimeout);
  if (aLine.Has("json")) {
    std::cout << reply.m_body << "\n";
  } else {
    std::cout << Json::parse(reply.m_body).dump(2) << "\n";
  }
  return ExitCode::Ok;
}

ExitCode
RunReference(const CommandLine& aLine)
{
  const std::string page = Argument(aLine, 1, "settings or log-events");
  std::cout << (page == "settings" ? RenderSettingsPage() : RenderLogPage());
  return ExitCode::Ok;
}

ExitCode
RunCommand(const CommandLine& aLine)
{
  const std::string command = Argument(aLine, 0, "COMMAND");
  if (command == "questionnaire") {
    return RunQuestionnaire(aLine);
  }
  if (command == "check") {
    const std::string file = Argument(aLine, 1, "FILE");
    CheckAnswers(ReadWholeFile(file), file);
    std::cout << file << ": good\n";
    return ExitCode::Ok;
  }
  if (command == "hash-key") {
    std::cout << Sha256Hex(Argument(aLine, 1, "KEY")) << "\n";
    return ExitCode::Ok;
  }
  if (command == "submit") {
    return RunSubmit(aLine);
  }
  if (command == "status") {
    return RunStatus(aLine);
  }
  if (command == "dump") {
    return RunDump(aLine);
  }
  if (command == "reference") {
    return RunReference(aLine);
  }
  std::cerr << "fulmarquay: no command '" << command << "'; see --help\n";
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
  } catch (const SettingsError& e) {
    for (const std::string& problem : e.Problems()) {
      std::cerr << problem << "\n";
    }
    return static_cast<int>(ExitCode::Settings);
  } catch (const std::exception& e) {
    std::cerr << "fulmarquay: " << e.what() << "\n";
    return static_cast<int>(ExitCode::Failed);
  }
}
