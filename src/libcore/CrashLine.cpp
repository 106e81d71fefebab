#include "CrashLine.h"

#include "fulmarquay/core/LogEvent.h"

#include <charconv>
#include <cstring>
#include <poll.h>
#include <unistd.h>

namespace fulmarquay {

namespace {

/// A line has some 100 bytes.
constexpr std::size_t kMaxLineBytes = 512;

/// A text in a buffer of fixed size, without allocations.
class FixedText
{
public:
  void Add(const std::string& aText)
  {
    const std::size_t size = std::min(aText.size(), Room());
    std::memcpy(m_end, aText.data(), size);
    m_end += size;
  }
  void Add(long long aNumber)
  {
    const auto result = std::to_chars(m_end, m_bytes + kMaxLineBytes, aNumber);
    m_end = result.ec == std::errc() ? result.ptr : m_end;
  }
  const char* Data() const { return m_bytes; }
  std::size_t Size() const { return static_cast<std::size_t>(m_end - m_bytes); }

private:
  std::size_t Room() const { return kMaxLineBytes - Size(); }

  char m_bytes[kMaxLineBytes] = {};
  char* m_end = m_bytes;
};

} // namespace

CrashLine::CrashLine(const std::string& aProgram,
                     const LogEventInfo& aEvent,
                     bool aIsJson)
{
  const std::string number = std::to_string(static_cast<int>(aEvent.m_event));
  const std::string name(aEvent.m_name);
  const std::string level(aEvent.m_level);
  if (aIsJson) {
    m_beforeTime = R"({"ms":)";
    m_beforeSignal = R"(,"program":")" + aProgram + R"(","event":)" + number +
                     R"(,"name":")" + name + R"(","level":")" + level +
                     R"(","signal":")";
    m_end = "\"}\n";
  } else {
    m_beforeTime = "ms=";
    m_beforeSignal = " program=" + aProgram + " event=" + number +
                     " name=" + name + " level=" + level + " signal=\"";
    m_end = "\"\n";
  }
}

void
CrashLine::Write(int aDescriptor,
                 long long aWallMillis,
                 int aSignal,
                 int aWaitMs) const
{
  // A blocked write would keep a crashed process and its connections.
  pollfd state{ aDescriptor, POLLOUT, 0 };
  if (::poll(&state, 1, aWaitMs) != 1 || (state.revents & POLLOUT) == 0) {
    return;
  }
  FixedText line;
  line.Add(m_beforeTime);
  line.Add(aWallMillis);
  line.Add(m_beforeSignal);
  line.Add(static_cast<long long>(aSignal));
  line.Add(m_end);
  [[maybe_unused]] const ssize_t written =
    ::write(aDescriptor, line.Data(), line.Size());
}

} // namespace fulmarquay
