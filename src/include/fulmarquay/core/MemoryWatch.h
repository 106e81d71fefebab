#ifndef FULMARQUAY_CORE_MEMORYWATCH_H
#define FULMARQUAY_CORE_MEMORYWATCH_H

#include "fulmarquay/core/Units.h"

#include <optional>

namespace fulmarquay {

/// Detects when the resident memory of a process reaches another step. A
/// process that is killed at its memory limit can't log it; the steps before
/// show it.
class MemoryWatch
{
public:
  /// Between two samples; reading the figure costs a few system calls.
  static constexpr Duration kInterval = Duration(500'000);
  /// Well below the memory of a VM, well above the changes of a steady load.
  static constexpr Bytes kStep = Bytes(16LL << 20U);

  /// Whether a sample is due.
  bool IsDue(TimePoint aNow) const { return aNow >= m_nextSample; }

  /// Records a sample. Returns the figure if it has reached a step that no
  /// earlier sample had reached.
  std::optional<Bytes> OnSample(TimePoint aNow, Bytes aResident);

  /// The last sample.
  Bytes Resident() const { return m_resident; }

private:
  TimePoint m_nextSample;
  Bytes m_resident{};
  std::int64_t m_steps = 0; ///< highest number of whole steps
};

} // namespace fulmarquay

#endif
