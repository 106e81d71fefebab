#include "fulmarquay/route/TokenBucket.h"

#include <algorithm>

namespace fulmarquay {

namespace {

constexpr double kMicrosPerSecond = 1e6;

} // namespace

TokenBucket::TokenBucket(double aPerSecond, double aBurst, TimePoint aNow)
  : m_perSecond(aPerSecond)
  , m_burst(aBurst)
  , m_level(aBurst)
  , m_lastRefill(aNow)
{
}

void
TokenBucket::Refill(TimePoint aNow)
{
  const double seconds =
    static_cast<double>((aNow - m_lastRefill).count()) / kMicrosPerSecond;
  if (seconds > 0) {
    m_level = std::min(m_burst, m_level + seconds * m_perSecond);
    m_lastRefill = aNow;
  }
}

bool
TokenBucket::Take(TimePoint aNow, double aAmount)
{
  Refill(aNow);
  // A full bucket grants an amount above the burst; the level goes negative.
  if (m_level < std::min(aAmount, m_burst)) {
    return false;
  }
  m_level -= aAmount;
  return true;
}

void
TokenBucket::Refund(double aAmount)
{
  m_level = std::min(m_burst, m_level + aAmount);
}

Duration
TokenBucket::TimeUntil(TimePoint aNow, double aAmount)
{
  Refill(aNow);
  const double missing = std::min(aAmount, m_burst) - m_level;
  if (missing <= 0) {
    return Duration(0);
  }
  return Duration(
    static_cast<std::int64_t>(missing / m_perSecond * kMicrosPerSecond) + 1);
}

double
TokenBucket::Level(TimePoint aNow)
{
  Refill(aNow);
  return m_level;
}

void
TokenBucket::SetRate(TimePoint aNow, double aPerSecond, double aBurst)
{
  Refill(aNow);
  m_perSecond = aPerSecond;
  m_burst = aBurst;
  m_level = std::min(m_level, m_burst);
}

} // namespace fulmarquay
