#ifndef FULMARQUAY_CORE_CLOCK_H
#define FULMARQUAY_CORE_CLOCK_H

#include "fulmarquay/core/Units.h"

#include <cstdint>

namespace fulmarquay {

// Only the programs' shells read clocks and random devices; reducers get
// their values in events.

/// The monotonic clock of this VM, which goes on while the VM is suspended.
TimePoint
MonotonicNow();

/// The calendar clock.
WallTime
WallNow();

/// A number from the system's random device, never 0.
std::uint64_t
RandomNumber();

} // namespace fulmarquay

#endif
