#include "fulmarquay/serve/AccountLimits.h"

#include <algorithm>

namespace fulmarquay {

void
AccountLimits::SetLiveEntries(std::uint32_t aCount)
{
  m_liveEntries = std::max<std::uint32_t>(1, aCount);
}

Duration
AccountLimits::Take(TimePoint aNow,
                    const AccountConfig& aAccount,
                    Tokens aTokens)
{
  const double rate = static_cast<double>(aAccount.m_tokensPerSecond) /
                      static_cast<double>(m_liveEntries);
  const auto [found, isNew] =
    m_buckets.try_emplace(aAccount.m_id, rate, rate, aNow);
  TokenBucket& bucket = found->second;
  bucket.SetRate(aNow, rate, rate);
  const auto amount = static_cast<double>(aTokens.Count());
  if (bucket.Take(aNow, amount)) {
    return Duration(0);
  }
  return bucket.TimeUntil(aNow, amount);
}

} // namespace fulmarquay
