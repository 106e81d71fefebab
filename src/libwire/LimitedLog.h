#ifndef FULMARQUAY_WIRE_LIMITEDLOG_H
#define FULMARQUAY_WIRE_LIMITEDLOG_H

#include "fulmarquay/core/Clock.h"
#include "fulmarquay/core/LogEvent.h"

#include <optional>

namespace fulmarquay {

/// Logs an event that may occur very often at most once in a second.
class LimitedLog
{
public:
  explicit LimitedLog(LogEvent aEvent)
    : m_event(aEvent)
  {
  }

  /// Counts an occurrence. Logs it with the fields and `count`, which covers
  /// the occurrences since the last line, unless that line is too recent.
  void Add(std::vector<LogField> aFields)
  {
    ++m_count;
    const TimePoint now = MonotonicNow();
    if (m_loggedAt && now < *m_loggedAt + kInterval) {
      return;
    }
    m_loggedAt = now;
    aFields.push_back({ "count", std::to_string(m_count) });
    m_count = 0;
    WriteLog(m_event, aFields);
  }

private:
  static constexpr Duration kInterval{ 1'000'000 };

  LogEvent m_event;
  std::uint64_t m_count = 0; ///< since the last line
  std::optional<TimePoint> m_loggedAt;
};

} // namespace fulmarquay

#endif
