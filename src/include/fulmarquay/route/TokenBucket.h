#ifndef FULMARQUAY_ROUTE_TOKENBUCKET_H
#define FULMARQUAY_ROUTE_TOKENBUCKET_H

#include "fulmarquay/core/Units.h"

namespace fulmarquay {

/// A rate limit with a burst. Does no I/O and reads no clock; not thread-safe.
class TokenBucket
{
public:
  /// Starts full. `aPerSecond` must not be negative; at 0 it is never
  /// refilled.
  TokenBucket(double aPerSecond, double aBurst, TimePoint aNow);

  /// Takes the whole amount, or nothing and returns false. A full bucket also
  /// grants an amount above the burst; its level is negative until refilled.
  bool Take(TimePoint aNow, double aAmount);

  /// Gives back an amount that was taken but not used, up to the burst.
  void Refund(double aAmount);

  /// Time until Take succeeds for an amount. The rate must be above 0.
  Duration TimeUntil(TimePoint aNow, double aAmount);

  /// The amount that is available; negative after an amount above the burst.
  double Level(TimePoint aNow);

  void SetRate(TimePoint aNow, double aPerSecond, double aBurst);

private:
  void Refill(TimePoint aNow);

  double m_perSecond;
  double m_burst;
  double m_level;
  TimePoint m_lastRefill;
};

} // namespace fulmarquay

#endif
