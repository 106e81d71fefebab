#ifndef FULMARQUAY_CORE_LOGEVENT_H
#define FULMARQUAY_CORE_LOGEVENT_H

#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace fulmarquay {

/// The log events of all programs. Numbers are never reused.
enum class LogEvent
{
  ProcessStarted = 1001,
  ProcessStopping = 1002,
  ProcessFailed = 1003,
  ListenFailed = 1004,
  SettingsReloaded = 1005,
  LogLinesLeftOut = 1006,
  SettingsRefused = 1007,
  ProcessStopped = 1008,
  ProcessCrashed = 1009,
  MemoryGrew = 1010,
  PeerConnected = 1101,
  PeerLost = 1102,
  BadFrame = 1103,
  SlowCallerClosed = 1104,
  AcceptFailed = 1106,
  CallersTurnedAway = 1107,
  BodiesRefused = 1108,
  BecameLeader = 2001,
  LostLeadership = 2002,
  DiskFormatted = 2003,
  DiskRecovered = 2004,
  DiskFull = 2005,
  DiskFailed = 2006,
  SnapshotSaved = 2007,
  ReplicaJoining = 2008,
  VoterReplaced = 2009,
  GroupChanged = 2010,
  JoinReceived = 2011,
  NoLeader = 2012,
  LeaderFound = 2013,
  OperatorRefused = 2014,
  VoterDiskLost = 2015,
  ConfigurationAccepted = 2101,
  ConfigurationInForce = 2102,
  RoutesPublished = 2111,
  RoutesInForce = 2112,
  RoutesRefused = 2113,
  SharedCacheChanged = 2114,
  EntryLost = 2201,
  EntryRestarted = 2202,
  OrderIssued = 2301,
  WeightsNamed = 2302,
  OrderEnded = 2303,
  VmListChanged = 2401,
  VmListFailed = 2402,
  VmListCut = 2403,
  PartBlocked = 2411,
  PartReleased = 2412,
  LimitDivided = 2413,
  SoftwareVersionAdded = 2414,
  SoftwareVersionRemoved = 2415,
  EvacuationOrdered = 2416,
  EvacuationEnded = 2417,
  DataCentreReleased = 2418,
  EvacuationRefused = 2419,
  FeatureLevelChanged = 2420,
  KeyLeaseLost = 2501,
  KeyLeaseRegained = 2502,
  UpstreamFailed = 3001,
  UpstreamLeaving = 3002,
  AnswerMismatch = 3003,
  RequestNotEncoded = 3004,
  OutcomeUnknown = 3101,
  OutcomePending = 3102,
  DrainStarted = 3201,
  DrainFinished = 3202,
  RequestSent = 3301,
  RequestAnswered = 3302,
  RequestRefused = 3303,
  RequestFailed = 3304,
  RequestAbandoned = 3305,
  RequestRepeated = 3306,
  StreamOriginFound = 3307,
  RequestPassed = 3308,
  PassedRequestReceived = 3309,
  PassRefused = 3310,
  RequestCut = 3311,
  WorkerSuspected = 3401,
  WorkerAnnouncedLeaving = 3402,
  WorkerPaused = 3403,
  AnswerFailedAtStart = 3404,
  WorkerLimitChanged = 3405,
  PoolUnreached = 3406,
  PoolReached = 3407,
  PoolOverloaded = 3421,
  PoolRecovered = 3422,
  WorkerMayHaveRestarted = 3408,
};

/// The documentation of one event: a row of docs/LOG-EVENTS.md.
struct LogEventInfo
{
  LogEvent m_event;
  std::string_view m_name;
  std::string_view m_level; ///< info, warning or error
  std::string_view m_cause;
  std::string_view m_action; ///< what an operator should do
};

/// The catalogue of all log events.
const std::vector<LogEventInfo>&
LogCatalogue();

/// Renders the catalogue as the page docs/LOG-EVENTS.md.
std::string
RenderLogPage();

/// A field of a log line. Must not contain prompt text, keys or secrets.
struct LogField
{
  std::string_view m_name;
  std::string m_value;
};

/// Configures the log of this process. `aFormat` is `text` (key=value) or
/// `json`; lines go to standard output. To be called once, before the first
/// WriteLog.
void
StartLog(const std::string& aProgram, const std::string& aFormat);

/// Buffers further lines until FlushLog instead of writing each at once. For
/// processes that call FlushLog from a periodic timer.
void
BufferLog();

/// Writes as many buffered lines as standard output accepts without blocking.
/// If LogBuffer has dropped lines since the last flush, adds a LogLinesLeftOut
/// event with their count. Thread-safe.
void
FlushLog();

/// Ends the buffering and writes the buffered lines, waiting for a slow reader
/// for a limited time. To be called before the process ends, also after an
/// error.
void
CloseLog();

/// From now on logs ProcessCrashed, after the buffered lines, when the process
/// ends by a signal of its own fault or by std::terminate. To be called after
/// StartLog.
void
ReportCrashes();

/// Logs ProcessStarted with the build and the id of the process, then the given
/// fields.
void
LogProcessStarted(const std::vector<LogField>& aFields);

/// Logs an event. Thread-safe.
void
WriteLog(LogEvent aEvent, const std::vector<LogField>& aFields = {});

/// A log line that a reducer emits as one of its effects.
struct LogLine
{
  LogEvent m_event;
  std::vector<std::pair<std::string, std::string>> m_fields;
};

/// Logs the event of an effect. Thread-safe.
void
WriteLog(const LogLine& aLine);

} // namespace fulmarquay

#endif
