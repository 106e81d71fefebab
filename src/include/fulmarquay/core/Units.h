#ifndef FULMARQUAY_CORE_UNITS_H
#define FULMARQUAY_CORE_UNITS_H

#include <chrono>
#include <compare>
#include <cstdint>

namespace fulmarquay {

/// A time span in microseconds, the unit of all timers and rates.
using Duration = std::chrono::microseconds;

/// Converts to whole milliseconds, the unit of wire formats and logs.
constexpr std::int64_t
ToMillis(Duration aTime)
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(aTime).count();
}

/// A time of a VM's monotonic clock, which includes the time during which the
/// VM is suspended. Comparable only within a process.
using TimePoint = std::chrono::time_point<std::chrono::steady_clock, Duration>;

/// A time of the wall clock, in microseconds since 1970-01-01 UTC.
/// Used for retention only, never for leases or timeouts.
using WallTime = std::chrono::time_point<std::chrono::system_clock, Duration>;

/// An integer count of a unit; does not convert to counts of other units.
template<typename Tag>
class Quantity
{
public:
  Quantity() = default;
  explicit constexpr Quantity(std::int64_t aCount)
    : m_count(aCount)
  {
  }

  constexpr std::int64_t Count() const { return m_count; }

  auto operator<=>(const Quantity&) const = default;
  Quantity& operator+=(Quantity aOther)
  {
    m_count += aOther.m_count;
    return *this;
  }
  Quantity& operator-=(Quantity aOther)
  {
    m_count -= aOther.m_count;
    return *this;
  }
  friend constexpr Quantity operator+(Quantity aLeft, Quantity aRight)
  {
    return Quantity(aLeft.m_count + aRight.m_count);
  }
  friend constexpr Quantity operator-(Quantity aLeft, Quantity aRight)
  {
    return Quantity(aLeft.m_count - aRight.m_count);
  }

  /// msgpack hook: packs only the count.
  template<typename Packer>
  void msgpack_pack(Packer& aPacker) const
  {
    aPacker.pack(m_count);
  }

  /// msgpack hook: unpacks the count; throws on a type mismatch.
  template<typename Object>
  void msgpack_unpack(Object aObject)
  {
    const std::int64_t value = aObject;
    m_count = value;
  }

private:
  std::int64_t m_count = 0;
};

/// A number of bytes.
using Bytes = Quantity<struct BytesTag>;
/// A number of model tokens.
using Tokens = Quantity<struct TokensTag>;

} // namespace fulmarquay

#endif
