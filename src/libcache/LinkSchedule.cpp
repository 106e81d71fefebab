#include "fulmarquay/cache/LinkSchedule.h"

#include <algorithm>

namespace fulmarquay {

LinkSchedule::LinkSchedule(std::int64_t aBytesPerSecond)
  : m_bytesPerSecond(aBytesPerSecond)
{
}

Duration
LinkSchedule::Backlog(TimePoint aNow) const
{
  return std::max(Duration(0), m_busyUntil - aNow);
}

std::optional<LinkGrant>
LinkSchedule::Reserve(TimePoint aNow,
                      LinkClass aClass,
                      std::int64_t aBytes,
                      Duration aMaxDelay)
{
  const Duration slot(aBytes * 1'000'000 / m_bytesPerSecond + 1);
  const Duration backlog = Backlog(aNow);
  const bool isShort = slot <= kMaxBackgroundSlot;
  const bool isRejected = aClass == LinkClass::Background
                            ? backlog > Duration(0) || !isShort
                            : backlog > aMaxDelay;
  if (isRejected) {
    return std::nullopt;
  }
  m_busyUntil = aNow + backlog + slot;
  m_grantedBytes += static_cast<std::uint64_t>(aBytes);
  return LinkGrant{ backlog, m_bytesPerSecond };
}

void
LinkSchedule::SetRate(std::int64_t aBytesPerSecond)
{
  m_bytesPerSecond = aBytesPerSecond;
}

} // namespace fulmarquay
