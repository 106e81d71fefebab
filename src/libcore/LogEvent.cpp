#include "fulmarquay/core/LogEvent.h"

#include <algorithm>
#include <boost/log/core.hpp>
#include <boost/log/expressions/message.hpp>
#include <boost/log/sources/logger.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/log/utility/setup/console.hpp>
#include <chrono>
#include <iostream>
#include <nlohmann/json.hpp>

namespace fulmarquay {

namespace {

struct LogState
{
  std::string m_program = "fulmarquay";
  bool m_isJson = false;
};

LogState&
State()
{
  static LogState state;
  return state;
}

const LogEventInfo&
InfoOf(LogEvent aEvent)
{
  const std::vector<LogEventInfo>& all = LogCatalogue();
  const auto place =
    std::find_if(all.begin(), all.end(), [&](const LogEventInfo& aInfo) {
      return aInfo.m_event == aEvent;
    });
  return place == all.end() ? all.front() : *place;
}

long long
WallMillis()
{
  using std::chrono::duration_cast;
  using std::chrono::milliseconds;
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  return duration_cast<milliseconds>(now).count();
}

std::string
JsonLine(const LogEventInfo& aInfo, const std::vector<LogField>& aFields)
{
  nlohmann::ordered_json line;
  line["ms"] = WallMillis();
  line["program"] = State().m_program;
  line["event"] = static_cast<int>(aInfo.m_event);
  line["name"] = aInfo.m_name;
  line["level"] = aInfo.m_level;
  for (const LogField& field : aFields) {
    line[std::string(field.m_name)] = field.m_value;
  }
  return line.dump(
    -1, ' ', false, nlohmann::ordered_json::error_handler_t::replace);
}

std::string
TextLine(const LogEventInfo& aInfo, const std::vector<LogField>& aFields)
{
  std::string line =
    "ms=" + std::to_string(WallMillis()) + " program=" + State().m_program +
    " event=" + std::to_string(static_cast<int>(aInfo.m_event)) +
    " name=" + std::string(aInfo.m_name) +
    " level=" + std::string(aInfo.m_level);
  for (const LogField& field : aFields) {
    std::string value = field.m_value;
    std::replace(value.begin(), value.end(), '\n', ' ');
    line += " " + std::string(field.m_name) + "=\"" + value + "\"";
  }
  return line;
}

} // namespace

const std::vector<LogEventInfo>&
LogCatalogue()
{
  static const std::vector<LogEventInfo> catalogue = {
    { LogEvent::ProcessStarted,
      "ProcessStarted",
      "info",
      "A program has read its settings and opened its ports.",
      "None." },
    { LogEvent::ProcessStopping,
      "ProcessStopping",
      "info",
      "A program got SIGTERM or SIGINT.",
      "None." },
    { LogEvent::ProcessFailed,
      "ProcessFailed",
      "error",
      "A program ends because of an error it can't go on after.",
      "Read step and peer; mend the cause; start it again." },
    { LogEvent::ListenFailed,
      "ListenFailed",
      "error",
      "A port of the settings is taken or not allowed.",
      "Free the port or change the setting." },
    { LogEvent::PeerConnected,
      "PeerConnected",
      "info",
      "A framed connection to another process is open.",
      "None." },
    { LogEvent::PeerLost,
      "PeerLost",
      "warning",
      "A framed connection closed or could not be opened.",
      "Look at the peer when it stays away." },
    { LogEvent::BadFrame,
      "BadFrame",
      "warning",
      "A frame or message could not be decoded; its connection is closed.",
      "Check that both sides run compatible versions." },
    { LogEvent::BecameLeader,
      "BecameLeader",
      "info",
      "This control replica leads the control group.",
      "None." },
    { LogEvent::LostLeadership,
      "LostLeadership",
      "warning",
      "This control replica no longer leads.",
      "Look at links and disks when it repeats." },
    { LogEvent::DiskFormatted,
      "DiskFormatted",
      "info",
      "An empty data folder was given a new replica id.",
      "Check that the folder was meant to be empty." },
    { LogEvent::DiskRecovered,
      "DiskRecovered",
      "info",
      "Snapshot and log were read at the start.",
      "None." },
    { LogEvent::DiskFull,
      "DiskFull",
      "error",
      "The state disk has no room for another log segment; nothing was "
      "written.",
      "Free space; the replica goes on by itself." },
    { LogEvent::DiskFailed,
      "DiskFailed",
      "error",
      "A write or sync of the state disk failed; the process ends.",
      "Replace the disk; see OPERATING.md, lost disk." },
    { LogEvent::SnapshotSaved,
      "SnapshotSaved",
      "info",
      "The state was saved and old log segments were removed.",
      "None." },
    { LogEvent::ReplicaJoining,
      "ReplicaJoining",
      "info",
      "This replica has no vote yet and asks the group to let it join.",
      "Run `fulmarquay status` until it is a voter." },
    { LogEvent::ConfigurationAccepted,
      "ConfigurationAccepted",
      "info",
      "The control group accepted a configuration.",
      "None." },
    { LogEvent::ConfigurationInForce,
      "ConfigurationInForce",
      "info",
      "This entry uses a new configuration.",
      "None." },
    { LogEvent::EntryLost,
      "EntryLost",
      "warning",
      "An entry's lease ran out; its running once-only calls became unknown.",
      "Look at the entry VM." },
    { LogEvent::OrderIssued,
      "OrderIssued",
      "info",
      "The leader sent an engine order.",
      "None." },
    { LogEvent::UpstreamFailed,
      "UpstreamFailed",
      "warning",
      "A call to an upstream failed.",
      "Look at the upstream when it repeats." },
    { LogEvent::UpstreamLeaving,
      "UpstreamLeaving",
      "info",
      "An upstream gets no new work.",
      "None." },
    { LogEvent::AnswerMismatch,
      "AnswerMismatch",
      "warning",
      "A late, crossed or repeated part of an answer was dropped.",
      "Look at the upstream when it repeats." },
    { LogEvent::OutcomeUnknown,
      "OutcomeUnknown",
      "warning",
      "A once-only call may have run and its answer was lost.",
      "Ask the service by its status call." },
    { LogEvent::OutcomePending,
      "OutcomePending",
      "warning",
      "A once-only call ran and its outcome is not yet recorded.",
      "Restore the control group's quorum." },
    { LogEvent::DrainStarted,
      "DrainStarted",
      "info",
      "The entry takes no new requests and finishes its running ones.",
      "None." },
    { LogEvent::DrainFinished,
      "DrainFinished",
      "info",
      "The last running request has ended.",
      "None." },
  };
  return catalogue;
}

std::string
RenderLogPage()
{
  std::string page =
    "# Log events\n\nWritten by `make pages` from the code's catalogue; a test "
    "compares both. Every line has `ms` (wall clock), `program`, `event`, "
    "`name` and `level`, then the event's own fields.\n\n"
    "| event | name | level | cause | what to do |\n|---|---|---|---|---|\n";
  for (const LogEventInfo& info : LogCatalogue()) {
    page += "| " + std::to_string(static_cast<int>(info.m_event)) + " | " +
            std::string(info.m_name) + " | " + std::string(info.m_level) +
            " | " + std::string(info.m_cause) + " | " +
            std::string(info.m_action) + " |\n";
  }
  return page;
}

void
StartLog(const std::string& aProgram, const std::string& aFormat)
{
  State().m_program = aProgram;
  State().m_isJson = aFormat == "json";
  const auto sink = boost::log::add_console_log(
    std::cerr, boost::log::keywords::auto_flush = true);
  sink->set_formatter([](const boost::log::record_view& aRecord,
                         boost::log::formatting_ostream& aOut) {
    aOut << aRecord[boost::log::expressions::smessage];
  });
}

void
WriteLog(LogEvent aEvent, const std::vector<LogField>& aFields)
{
  static boost::log::sources::logger_mt logger;
  const LogEventInfo& info = InfoOf(aEvent);
  const bool isJson = State().m_isJson;
  BOOST_LOG(logger) << (isJson ? JsonLine(info, aFields)
                               : TextLine(info, aFields));
}

} // namespace fulmarquay
