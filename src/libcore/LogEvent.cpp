#include "fulmarquay/core/LogEvent.h"

#include "CrashLine.h"
#include "fulmarquay/core/LogBuffer.h"

#include <algorithm>
#include <array>
#include <boost/log/core.hpp>
#include <boost/log/expressions/message.hpp>
#include <boost/log/sources/logger.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/log/sinks/basic_sink_backend.hpp>
#include <boost/log/sinks/sync_frontend.hpp>
#include <chrono>
#include <csignal>
#include <exception>
#include <memory>
#include <mutex>
#include <boost/make_shared.hpp>
#include <nlohmann/json.hpp>
#include <unistd.h>

namespace fulmarquay {

namespace {

/// How long the last lines of a process may wait for a slow reader.
constexpr int kCloseWaitMs = 500;
/// Several times what the handler of a crash needs.
constexpr std::size_t kSignalStackBytes = 64U << 10U;

struct LogState
{
  std::string m_program = "fulmarquay";
  bool m_isJson = false;
  bool m_isBuffered = false;
  bool m_isHighPriority = false; ///< of the line being written
  int m_event = 0;               ///< of the line being written
  LogBuffer m_buffer;
  std::unique_ptr<CrashLine> m_crashLine; ///< set by ReportCrashes
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
    State().m_buffer.Add(
      aLine + "\n", State().m_isHighPriority, State().m_event);
  }
};

/// Signals that a fault of the process itself causes.
constexpr int kCrashSignals[] = { SIGSEGV, SIGBUS, SIGFPE, SIGILL, SIGABRT };

extern "C" void
OnCrashSignal(int aSignal)
{
  // A thread that is adding a line may have left the buffer half changed.
  std::unique_lock lock(LogMutex(), std::try_to_lock);
  if (lock.owns_lock()) {
    State().m_buffer.FlushWaiting(STDOUT_FILENO, kCloseWaitMs);
  }
  State().m_crashLine->Write(
    STDOUT_FILENO, WallMillis(), aSignal, kCloseWaitMs);
  std::signal(aSignal, SIG_DFL);
  std::raise(aSignal);
}

void
OnTerminate()
{
  std::string reason = "no exception";
  try {
    if (const std::exception_ptr current = std::current_exception()) {
      std::rethrow_exception(current);
    }
  } catch (const std::exception& e) {
    reason = e.what();
  } catch (...) {
    reason = "not a std::exception";
  }
  // The exception may have left WriteLog, whose lock is then still held.
  if (LogMutex().try_lock()) {
    LogMutex().unlock();
    WriteLog(LogEvent::ProcessFailed, { { "reason", reason } });
    CloseLog();
  }
  std::abort();
}

} // namespace

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
  const std::map<int, std::uint64_t> dropped = State().m_buffer.TakeDropped();
  if (!dropped.empty()) {
    const LogEventInfo& info = FindEventInfo(LogEvent::LogLinesLeftOut);
    std::uint64_t lines = 0;
    std::string events;
    for (const auto& [event, count] : dropped) {
      lines += count;
      events += (events.empty() ? "" : ",") + std::to_string(event) + ":" +
                std::to_string(count);
    }
    const std::vector<LogField> fields = { { "lines", std::to_string(lines) },
                                           { "events", events } };
    State().m_buffer.Add(
      (State().m_isJson ? JsonLine(info, fields) : TextLine(info, fields)) +
        "\n",
      true);
  }
  State().m_buffer.Flush(STDOUT_FILENO);
}

void
LogProcessStarted(const std::vector<LogField>& aFields)
{
  std::vector<LogField> fields = { { "version", FULMARQUAY_VERSION },
                                   { "build", FULMARQUAY_BUILD },
                                   { "pid", std::to_string(::getpid()) } };
  fields.insert(fields.end(), aFields.begin(), aFields.end());
  WriteLog(LogEvent::ProcessStarted, fields);
}

void
ReportCrashes()
{
  const LogEventInfo& info = FindEventInfo(LogEvent::ProcessCrashed);
  State().m_crashLine =
    std::make_unique<CrashLine>(State().m_program, info, State().m_isJson);
  // The handler of a stack overflow needs another stack.
  static std::array<char, kSignalStackBytes> stack;
  stack_t alternate{};
  alternate.ss_sp = stack.data();
  alternate.ss_size = stack.size();
  ::sigaltstack(&alternate, nullptr);
  struct sigaction action
  {};
  action.sa_handler = OnCrashSignal;
  action.sa_flags = SA_ONSTACK;
  for (const int signal : kCrashSignals) {
    ::sigaction(signal, &action, nullptr);
  }
  std::set_terminate(OnTerminate);
}

void
CloseLog()
{
  State().m_isBuffered = false;
  FlushLog();
  const std::lock_guard lock(LogMutex());
  State().m_buffer.FlushWaiting(STDOUT_FILENO, kCloseWaitMs);
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
    State().m_event = static_cast<int>(aEvent);
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
