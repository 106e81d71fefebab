#ifndef FULMARQUAY_CORE_CLOCK_H
#define FULMARQUAY_CORE_CLOCK_H

#include "fulmarquay/core/Units.h"

#include <cstdint>

namespace fulmarquay {

// Only the I/O layers of the programs read clocks and random devices. Reducers
// receive times and seeds as inputs.

/// The time of this VM's monotonic clock, which includes the time during which
/// the VM is suspended.
TimePoint
MonotonicNow();

/// The time of the wall clock.
WallTime
WallNow();

/// A random number from the system's random device, never 0.
std::uint64_t
RandomNumber();

} // namespace fulmarquay

#endif
