#include "fulmarquay/daemon/MemoryLog.h"

#include "fulmarquay/core/LogEvent.h"
#include "fulmarquay/core/ProcessMemory.h"

namespace fulmarquay {

void
MemoryLog::Sample(TimePoint aNow)
{
  if (!m_watch.IsDue(aNow)) {
    return;
  }
  if (const auto resident = m_watch.OnSample(aNow, ResidentMemory())) {
    WriteLog(LogEvent::MemoryGrew,
             { { "resident_bytes", std::to_string(resident->Count()) } });
  }
}

} // namespace fulmarquay
