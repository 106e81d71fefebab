#include "fulmarquay/core/Clock.h"

#include <random>

namespace fulmarquay {

TimePoint
MonotonicNow()
{
  return std::chrono::time_point_cast<Duration>(
    std::chrono::steady_clock::now());
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
