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
  bool m_isHighPriority = false; ///< of the line being written
  LogBuffer m_buffer;
};

LogState&
State()
{
  static LogState state;
  return state;
}

/// Guards the log buffer, because the disk writer's thread logs as well.
std::mutex&
LogMutex()
{
  static std::mutex mutex;
  return mutex;
}

const LogEventInfo&
FindEventInfo(LogEvent aEvent)
{
  const std::vector<LogEventInfo>& all = LogCatalogue();
  const auto found =
    std::find_if(all.begin(), all.end(), [&](const LogEventInfo& aInfo) {
      return aInfo.m_event == aEvent;
    });
  return found == all.end() ? all.front() : *found;
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

/// Appends formatted lines to the process's LogBuffer.
class BufferBackend
  : public boost::log::sinks::basic_formatted_sink_backend<char>
{
public:
  void consume(const boost::log::record_view&, const std::string& aLine)
  {
    State().m_buffer.Add(aLine + "\n", State().m_isHighPriority);
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
      "The program has loaded its settings and opened its ports.",
      "None." },
    { LogEvent::ProcessStopping,
      "ProcessStopping",
      "info",
      "The program received SIGTERM or SIGINT.",
      "None." },
    { LogEvent::ProcessFailed,
      "ProcessFailed",
      "error",
      "The program exits because of an unrecoverable error.",
      "Read step and peer, fix the cause and restart the program." },
    { LogEvent::ListenFailed,
      "ListenFailed",
      "error",
      "A port of the settings is in use or not permitted.",
      "Free the port or change the setting." },
    { LogEvent::PeerConnected,
      "PeerConnected",
      "info",
      "A framed connection to another process is open.",
      "None." },
    { LogEvent::PeerLost,
      "PeerLost",
      "warning",
      "A framed connection was closed or could not be opened.",
      "Check the peer if the connection is not restored." },
    { LogEvent::BadFrame,
      "BadFrame",
      "warning",
      "A frame or message could not be decoded; its connection is closed.",
      "Check that both sides run compatible versions." },
    { LogEvent::SlowCallerClosed,
      "SlowCallerClosed",
      "warning",
      "A caller took its answer too slowly, and the bytes queued for it or for "
      "all callers reached their limit; its connection was closed.",
      "Find the worker whose answers have no end if it recurs." },
    { LogEvent::BecameLeader,
      "BecameLeader",
      "info",
      "This control replica became the leader of the control group.",
      "None." },
    { LogEvent::LostLeadership,
      "LostLeadership",
      "warning",
      "This control replica is no longer the leader.",
      "Check links and disks if it recurs." },
    { LogEvent::DiskFormatted,
      "DiskFormatted",
      "info",
      "An empty data folder was formatted for a replica of a new control "
      "group.",
      "Check that the folder was meant to be empty." },
    { LogEvent::DiskRecovered,
      "DiskRecovered",
      "info",
      "Snapshot and log were read at startup.",
      "None." },
    { LogEvent::DiskFull,
      "DiskFull",
      "error",
      "The state disk has no space for another log segment; nothing was "
      "written.",
      "Free space; the replica retries until it succeeds." },
    { LogEvent::DiskFailed,
      "DiskFailed",
      "error",
      "A write or sync of the state disk failed; the process exits.",
      "Replace the disk; see OPERATIONS.md, lost disk." },
    { LogEvent::SnapshotSaved,
      "SnapshotSaved",
      "info",
      "A snapshot was saved and old log segments were removed.",
      "None." },
    { LogEvent::ReplicaJoining,
      "ReplicaJoining",
      "info",
      "This replica is not a voter yet and requests to join the control group.",
      "Run `fulmarquay status` until it is a voter." },
    { LogEvent::ConfigurationAccepted,
      "ConfigurationAccepted",
      "info",
      "The control group accepted a configuration.",
      "None." },
    { LogEvent::ConfigurationInForce,
      "ConfigurationInForce",
      "info",
      "A new configuration is in force at this entry.",
      "None." },
    { LogEvent::EntryLost,
      "EntryLost",
      "warning",
      "An entry's lease expired; the outcomes of its running once-only calls "
      "became unknown.",
      "Check the entry's VM." },
    { LogEvent::OrderIssued,
      "OrderIssued",
      "info",
      "The leader sent an order to an engine.",
      "None." },
    { LogEvent::UpstreamFailed,
      "UpstreamFailed",
      "warning",
      "A call to an upstream failed.",
      "Check the upstream if it recurs." },
    { LogEvent::UpstreamLeaving,
      "UpstreamLeaving",
      "info",
      "An upstream is leaving and receives no new work.",
      "None." },
    { LogEvent::AnswerMismatch,
      "AnswerMismatch",
      "warning",
      "A late, misdirected or duplicate part of an answer was dropped.",
      "Check the upstream if it recurs." },
    { LogEvent::RequestNotEncoded,
      "RequestNotEncoded",
      "error",
      "A request to an upstream is larger or other than HTTP allows and was "
      "not sent.",
      "Find the field in `reason`; bound what produces it." },
    { LogEvent::OutcomeUnknown,
      "OutcomeUnknown",
      "warning",
      "A once-only call may have been executed, but its answer was lost.",
      "Query the outcome with the service's status call." },
    { LogEvent::OutcomePending,
      "OutcomePending",
      "warning",
      "A once-only call was executed, but its outcome is not recorded yet.",
      "Restore the control group's quorum." },
    { LogEvent::DrainStarted,
      "DrainStarted",
      "info",
      "The entry accepts no new requests and completes its running ones.",
      "None." },
    { LogEvent::DrainFinished,
      "DrainFinished",
      "info",
      "The last running request has ended.",
      "None." },
    { LogEvent::SettingsReloaded,
      "SettingsReloaded",
      "info",
      "The settings file was reloaded after SIGHUP.",
      "None." },
    { LogEvent::SettingsRefused,
      "SettingsRefused",
      "warning",
      "The settings file could not be loaded after SIGHUP; the old settings "
      "stay in use.",
      "Check the file with --check-settings." },
    { LogEvent::LogLinesLeftOut,
      "LogLinesLeftOut",
      "warning",
      "Log lines were dropped to bound the log volume.",
      "See the metrics for the counts by reason." },
    { LogEvent::VoterReplaced,
      "VoterReplaced",
      "warning",
      "A voter that was unreachable for too long was removed from the control "
      "group.",
      "Check its VM; the replica rejoins automatically." },
    { LogEvent::RoutesPublished,
      "RoutesPublished",
      "info",
      "The control group committed a route document.",
      "None." },
    { LogEvent::RoutesInForce,
      "RoutesInForce",
      "info",
      "A new route document is in force at this entry.",
      "None." },
    { LogEvent::RoutesRefused,
      "RoutesRefused",
      "warning",
      "A route document was rejected; nothing changed.",
      "Fix the problem given in the line and publish again." },
    { LogEvent::WeightsNamed,
      "WeightsNamed",
      "info",
      "A new weight version of a model was committed.",
      "None." },
    { LogEvent::OrderEnded,
      "OrderEnded",
      "info",
      "A worker answered an order, or its answer did not arrive.",
      "None; an order without an answer is observed and repeated." },
    { LogEvent::VmListChanged,
      "VmListChanged",
      "info",
      "The VM list added or removed workers or marked them as leaving, or the "
      "number of its entries that describe no worker changed.",
      "None." },
    { LogEvent::VmListFailed,
      "VmListFailed",
      "warning",
      "The VM list could not be read; the previous one stays in use.",
      "Check the platform's VM list if it recurs." },
    { LogEvent::VmListCut,
      "VmListCut",
      "warning",
      "The pages of the VM list repeat or are too many; the workers of the "
      "pages "
      "that were read are used.",
      "Check the page tokens of the platform's VM list." },
    { LogEvent::PartBlocked,
      "PartBlocked",
      "warning",
      "Several workers crashed under different prompts with this part; all "
      "entries refuse prompts with it.",
      "Find the part's text by its id in AnswerFailedAtStart lines and the "
      "callers that send it." },
    { LogEvent::PartReleased,
      "PartReleased",
      "info",
      "Prompts with this part are served again: a worker answered one, or the "
      "block has expired.",
      "None." },
    { LogEvent::LimitDivided,
      "LimitDivided",
      "info",
      "The limit that a worker states for all entries together is divided "
      "between other entries, or with other shares.",
      "None." },
    { LogEvent::SoftwareVersionAdded,
      "SoftwareVersionAdded",
      "info",
      "Workers of a pool have a software version that none of them had; their "
      "streams go on only at workers of the same version.",
      "None." },
    { LogEvent::SoftwareVersionRemoved,
      "SoftwareVersionRemoved",
      "info",
      "The VM list has contained no worker with this software version for a "
      "minute.",
      "None." },
    { LogEvent::KeyLeaseLost,
      "KeyLeaseLost",
      "warning",
      "The control group was unreachable for too long; requests with a key "
      "are refused.",
      "Check the links to the control replicas." },
    { LogEvent::KeyLeaseRegained,
      "KeyLeaseRegained",
      "info",
      "Requests with a key are served again.",
      "None." },
    { LogEvent::RequestSent,
      "RequestSent",
      "info",
      "A request was sent to a worker.",
      "None." },
    { LogEvent::RequestAnswered,
      "RequestAnswered",
      "info",
      "A worker's complete answer was forwarded.",
      "None." },
    { LogEvent::RequestRefused,
      "RequestRefused",
      "warning",
      "A request was refused without being executed.",
      "See OPERATIONS.md, refused requests." },
    { LogEvent::RequestFailed,
      "RequestFailed",
      "warning",
      "A request was sent, but its answer is missing or incomplete.",
      "See OPERATIONS.md, broken answers." },
    { LogEvent::RequestAbandoned,
      "RequestAbandoned",
      "info",
      "The caller disconnected; its request was cancelled at the worker.",
      "None." },
    { LogEvent::RequestRepeated,
      "RequestRepeated",
      "info",
      "A request is retried on another worker.",
      "Check the first worker if it recurs." },
    { LogEvent::StreamOriginFound,
      "StreamOriginFound",
      "info",
      "A caller resumes a stream, and the software version that it began on is "
      "known.",
      "None; for those refused see OPERATIONS.md, resumed streams." },
    { LogEvent::RequestPassed,
      "RequestPassed",
      "info",
      "The entry reaches no worker of the pool and passes the request to "
      "another entry, whose log has the same id.",
      "None; see PoolUnreached." },
    { LogEvent::PassedRequestReceived,
      "PassedRequestReceived",
      "info",
      "Another entry, which reaches no worker, has passed a request to this "
      "one.",
      "None; see PoolUnreached in the other entry's log." },
    { LogEvent::PassRefused,
      "PassRefused",
      "info",
      "The entry that a request was passed to has not run it.",
      "None; if all entries refuse, the workers are down or full." },
    { LogEvent::WorkerSuspected,
      "WorkerSuspected",
      "warning",
      "A worker failed and temporarily receives no new requests.",
      "Check the worker if it recurs." },
    { LogEvent::WorkerAnnouncedLeaving,
      "WorkerAnnouncedLeaving",
      "info",
      "A worker stated in an answer, or another entry reported, that it is "
      "leaving; it receives no new requests.",
      "None." },
    { LogEvent::WorkerPaused,
      "WorkerPaused",
      "info",
      "A worker refused a request and asked for a pause; it receives no new "
      "requests until the pause is over.",
      "Add workers if it recurs." },
    { LogEvent::WorkerLimitChanged,
      "WorkerLimitChanged",
      "info",
      "A worker states another limit of requests a second than before, or none "
      "any more.",
      "Add workers if limits recur." },
    { LogEvent::PoolUnreached,
      "PoolUnreached",
      "warning",
      "Workers of the pool accept no connection of this entry: it passes its "
      "requests to other entries from now on.",
      "Check the links from this VM to the workers; if other entries log the "
      "same, check the workers." },
    { LogEvent::PoolReached,
      "PoolReached",
      "info",
      "A worker of an unreached pool accepted a connection.",
      "None." },
    { LogEvent::AnswerFailedAtStart,
      "AnswerFailedAtStart",
      "warning",
      "The connection to a worker ended before the first event of a prompt's "
      "answer, or before a whole answer without events; with head=yes the "
      "worker had begun it. Equal values of request are the same request.",
      "If lines with one part or request recur for several workers, look for "
      "PartBlocked." },
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
  const std::uint64_t droppedLines = State().m_buffer.TakeDroppedCount();
  if (droppedLines > 0) {
    const LogEventInfo& info = FindEventInfo(LogEvent::LogLinesLeftOut);
    const std::vector<LogField> fields = { { "lines",
                                             std::to_string(droppedLines) } };
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
  const LogEventInfo& info = FindEventInfo(aEvent);
  const bool isJson = State().m_isJson;
  {
    const std::lock_guard lock(LogMutex());
    State().m_isHighPriority = info.m_level != "info";
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
