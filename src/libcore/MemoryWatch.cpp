#include "fulmarquay/core/MemoryWatch.h"

namespace fulmarquay {

std::optional<Bytes>
MemoryWatch::OnSample(TimePoint aNow, Bytes aResident)
{
  m_nextSample = aNow + kInterval;
  m_resident = aResident;
  const std::int64_t steps = aResident.Count() / kStep.Count();
  if (steps <= m_steps) {
    return std::nullopt;
  }
  m_steps = steps;
  return aResident;
}

} // namespace fulmarquay
