#ifndef FULMARQUAY_CACHE_LINKSCHEDULE_H
#define FULMARQUAY_CACHE_LINKSCHEDULE_H

#include "fulmarquay/core/Units.h"

#include <cstdint>
#include <optional>

namespace fulmarquay {

/// Who waits for a transfer.
enum class LinkClass : std::uint8_t
{
  Person = 0,     ///< a caller waits for its first token
  Background = 1, ///< write-back and prefetch
};

/// When a transfer may start and how fast it may go.
struct LinkGrant
{
  Duration m_delay{};
  std::int64_t m_bytesPerSecond = 0;
};

/// The budget of one store link, kept by the entry that owns the link.
///
/// Transfers get slots one after the other at the budget's full rate, so the
/// granted bytes of any second never exceed it. Background transfers get a
/// slot only on an idle link and a short one, so that a person waits at most
/// kBackgroundSlot for them. Pure; not thread-safe.
class LinkSchedule
{
public:
  /// Longest slot of a background transfer.
  static constexpr Duration kBackgroundSlot = Duration(50'000);

  explicit LinkSchedule(std::int64_t aBytesPerSecond);

  /// Takes a slot that begins within aPatience, or nothing.
  std::optional<LinkGrant> Reserve(TimePoint aNow,
                                   LinkClass aClass,
                                   std::int64_t aBytes,
                                   Duration aPatience);

  /// Until a new transfer could begin.
  Duration Backlog(TimePoint aNow) const;

  /// Bytes granted so far, for metrics.
  std::uint64_t Granted() const { return m_granted; }

  void SetRate(std::int64_t aBytesPerSecond);

private:
  std::int64_t m_bytesPerSecond;
  TimePoint m_busyUntil;
  std::uint64_t m_granted = 0;
};

} // namespace fulmarquay

#endif
