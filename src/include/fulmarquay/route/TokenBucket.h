#ifndef FULMARQUAY_ROUTE_TOKENBUCKET_H
#define FULMARQUAY_ROUTE_TOKENBUCKET_H

#include "fulmarquay/core/Units.h"

namespace fulmarquay {

/// A rate limit with a burst. Pure; not thread-safe.
class TokenBucket
{
public:
  /// Starts full. `aPerSecond` above 0.
  TokenBucket(double aPerSecond, double aBurst, TimePoint aNow);

  /// Takes an amount, or nothing when it is not there.
  bool Take(TimePoint aNow, double aAmount);

  /// Returns what was taken and not used.
  void Return(double aAmount);

  /// Until an amount will be there.
  Duration TimeUntil(TimePoint aNow, double aAmount);

  void SetRate(TimePoint aNow, double aPerSecond, double aBurst);

private:
  void Refill(TimePoint aNow);

  double m_perSecond;
  double m_burst;
  double m_level;
  TimePoint m_last;
};

} // namespace fulmarquay

#endif
