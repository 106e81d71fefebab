#include "fulmarquay/core/LogEvent.h"

#include "fulmarquay/core/LogBuffer.h"

#include <algorithm>
#include <boost/log/core.hpp>
#include <boost/log/expressions/message.hpp>
#include <boost/log/sources/logger.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/log/sinks/basic_sink_backend.hpp>
#include <boost/log/sinks/sync_frontend.hpp>
#include <chrono>
#include <mutex>
#include <boost/make_shared.hpp>
#include <nlohmann/json.hpp>
#include <unistd.h>

namespace fulmarquay {

namespace {

struct LogState
{
  std::string m_program = "fulmarquay";
  bool m_isJson = false;
  bool m_isBuffered = false;
  bool m_isImportant = false; ///< level of the line that is being written
  LogBuffer m_buffer;
};

LogState&
State()
{
  static LogState state;
  return state;
}

/// Lines come from the disk thread too.
std::mutex&
LogMutex()
{
  static std::mutex mutex;
  return mutex;
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

/// Hands formatted lines to the process's LogBuffer.
class BufferBackend
  : public boost::log::sinks::basic_formatted_sink_backend<char>
{
public:
  void consume(const boost::log::record_view&, const std::string& aLine)
  {
    State().m_buffer.Add(aLine + "\n", State().m_isImportant);
  }
};

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
      "Replace the disk; see OPERATIONS.md, lost disk." },
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
    { LogEvent::SettingsReloaded,
      "SettingsReloaded",
      "info",
      "SIGHUP arrived and the settings file was read again.",
      "None." },
    { LogEvent::SettingsRefused,
      "SettingsRefused",
      "warning",
      "SIGHUP arrived and the settings file is wrong; the old ones stay.",
      "Check the file with --check-settings." },
    { LogEvent::LogLinesLeftOut,
      "LogLinesLeftOut",
      "warning",
      "Lines were left out to keep the log's volume bounded.",
      "Read the metrics for the counts by reason." },
    { LogEvent::VoterReplaced,
      "VoterReplaced",
      "warning",
      "A voter that was silent for too long left the control group.",
      "Look at its VM; it joins again by itself." },
    { LogEvent::RoutesPublished,
      "RoutesPublished",
      "info",
      "The control group committed a route document.",
      "None." },
    { LogEvent::RoutesInForce,
      "RoutesInForce",
      "info",
      "This entry uses a new route document.",
      "None." },
    { LogEvent::RoutesRefused,
      "RoutesRefused",
      "warning",
      "A route document was refused; nothing changed.",
      "Mend the problem named in the line and publish again." },
    { LogEvent::WeightsNamed,
      "WeightsNamed",
      "info",
      "A new weight version of a model was committed.",
      "None." },
    { LogEvent::OrderEnded,
      "OrderEnded",
      "info",
      "A worker answered an order, or the answer is missing.",
      "None; an order without an answer is observed and repeated." },
    { LogEvent::VmListChanged,
      "VmListChanged",
      "info",
      "Workers came, went or are leaving by the VM list.",
      "None." },
    { LogEvent::VmListFailed,
      "VmListFailed",
      "warning",
      "The VM list could not be read; the last one stays in use.",
      "Look at the platform's VM list when it repeats." },
    { LogEvent::KeyLeaseLost,
      "KeyLeaseLost",
      "warning",
      "The control group was not reached for too long: requests with a key "
      "are refused.",
      "Look at the links to the control replicas." },
    { LogEvent::KeyLeaseRegained,
      "KeyLeaseRegained",
      "info",
      "Requests with a key are served.",
      "None." },
    { LogEvent::RequestSent,
      "RequestSent",
      "info",
      "A request was placed on a worker.",
      "None." },
    { LogEvent::RequestAnswered,
      "RequestAnswered",
      "info",
      "A worker's whole answer was passed on.",
      "None." },
    { LogEvent::RequestRefused,
      "RequestRefused",
      "warning",
      "A request was refused and has not run.",
      "See OPERATIONS.md, refused requests." },
    { LogEvent::RequestFailed,
      "RequestFailed",
      "warning",
      "A request was sent and its answer is missing or incomplete.",
      "See OPERATIONS.md, broken answers." },
    { LogEvent::RequestAbandoned,
      "RequestAbandoned",
      "info",
      "The caller left; the work at its worker was cancelled.",
      "None." },
    { LogEvent::RequestRepeated,
      "RequestRepeated",
      "info",
      "A request is sent to another worker.",
      "Look at the first worker when it repeats." },
    { LogEvent::WorkerSuspected,
      "WorkerSuspected",
      "warning",
      "A worker failed and gets no new requests for a while.",
      "Look at the worker when it repeats." },
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
  using Sink = boost::log::sinks::synchronous_sink<BufferBackend>;
  const auto sink = boost::make_shared<Sink>();
  boost::log::core::get()->add_sink(sink);
  sink->set_formatter([](const boost::log::record_view& aRecord,
                         boost::log::formatting_ostream& aOut) {
    aOut << aRecord[boost::log::expressions::smessage];
  });
}

void
BufferLog()
{
  State().m_isBuffered = true;
}

void
FlushLog()
{
  const std::lock_guard lock(LogMutex());
  const std::uint64_t leftOut = State().m_buffer.TakeLeftOut();
  if (leftOut > 0) {
    const LogEventInfo& info = InfoOf(LogEvent::LogLinesLeftOut);
    const std::vector<LogField> fields = { { "lines",
                                             std::to_string(leftOut) } };
    State().m_buffer.Add(
      (State().m_isJson ? JsonLine(info, fields) : TextLine(info, fields)) +
        "\n",
      true);
  }
  State().m_buffer.Flush(STDOUT_FILENO);
}

void
WriteLog(LogEvent aEvent, const std::vector<LogField>& aFields)
{
  static boost::log::sources::logger_mt logger;
  const LogEventInfo& info = InfoOf(aEvent);
  const bool isJson = State().m_isJson;
  {
    const std::lock_guard lock(LogMutex());
    State().m_isImportant = info.m_level != "info";
    BOOST_LOG(logger) << (isJson ? JsonLine(info, aFields)
                                 : TextLine(info, aFields));
  }
  if (!State().m_isBuffered) {
    FlushLog();
  }
}

void
WriteLog(const LogLine& aLine)
{
  std::vector<LogField> fields;
  for (const auto& [name, value] : aLine.m_fields) {
    fields.push_back({ name, value });
  }
  WriteLog(aLine.m_event, fields);
}

} // namespace fulmarquay
