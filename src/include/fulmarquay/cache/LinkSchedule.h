#ifndef FULMARQUAY_CACHE_LINKSCHEDULE_H
#define FULMARQUAY_CACHE_LINKSCHEDULE_H

#include "fulmarquay/core/Units.h"

#include <cstdint>
#include <optional>

namespace fulmarquay {

/// Priority class of a transfer.
enum class LinkClass : std::uint8_t
{
  Interactive = 0, ///< a caller waits for its first token
  Background = 1,  ///< write-back and prefetch
};

/// Start delay and rate of a granted transfer.
struct LinkGrant
{
  Duration m_delay{};
  std::int64_t m_bytesPerSecond = 0;
};

/// Bandwidth budget of one store link, held by the entry that owns the link.
///
/// Transfers get consecutive slots at the full rate of the budget, so that the
/// bytes granted within any second never exceed it. A background transfer
/// gets a slot only on an idle link and of at most kMaxBackgroundSlot, which
/// bounds the delay that it adds to a transfer with a waiting caller. Does no
/// I/O and reads no clock. Not thread-safe.
class LinkSchedule
{
public:
  /// Longest slot of a background transfer.
  static constexpr Duration kMaxBackgroundSlot = Duration(50'000);

  explicit LinkSchedule(std::int64_t aBytesPerSecond);

  /// Reserves a slot that begins within `aMaxDelay`, or returns nullopt. A
  /// background transfer gets a slot only without delay.
  std::optional<LinkGrant> Reserve(TimePoint aNow,
                                   LinkClass aClass,
                                   std::int64_t aBytes,
                                   Duration aMaxDelay);

  /// Time until a new transfer could begin.
  Duration Backlog(TimePoint aNow) const;

  /// Total bytes granted so far, for metrics.
  std::uint64_t GrantedBytes() const { return m_grantedBytes; }

  void SetRate(std::int64_t aBytesPerSecond);

private:
  std::int64_t m_bytesPerSecond;
  TimePoint m_busyUntil;
  std::uint64_t m_grantedBytes = 0;
};

} // namespace fulmarquay

#endif
