#include "fulmarquay/core/Clock.h"

#include <ctime>
#include <random>

namespace fulmarquay {

TimePoint
MonotonicNow()
{
  // std::chrono::steady_clock stops while the VM is suspended, but leases must
  // keep running.
  timespec now{};
  ::clock_gettime(CLOCK_BOOTTIME, &now);
  constexpr std::int64_t kMicrosPerSecond = 1'000'000;
  constexpr std::int64_t kNanosPerMicro = 1'000;
  return TimePoint(
    Duration(now.tv_sec * kMicrosPerSecond + now.tv_nsec / kNanosPerMicro));
}

WallTime
WallNow()
{
  return std::chrono::time_point_cast<Duration>(
    std::chrono::system_clock::now());
}

std::uint64_t
RandomNumber()
{
  std::random_device device;
  const std::uint64_t high = device();
  const std::uint64_t number = (high << 32U) | device();
  return number == 0 ? 1 : number;
}

} // namespace fulmarquay
