#ifndef FULMARQUAY_SERVE_ACCOUNTLIMITS_H
#define FULMARQUAY_SERVE_ACCOUNTLIMITS_H

#include "fulmarquay/control/Configuration.h"
#include "fulmarquay/route/TokenBucket.h"

#include <map>

namespace fulmarquay {

/// The token rate limit of each client account at this entry. Not thread-safe.
///
/// An account's rate is divided by the number of live entries in the leader's
/// last heartbeat reply. An entry without a connection to the leader keeps its
/// last share, so that all entries together never admit more than the account's
/// rate.
class AccountLimits
{
public:
  void SetLiveEntries(std::uint32_t aCount);

  /// Takes tokens from the account's rate and returns 0, or takes none and
  /// returns the time until they are available.
  Duration Take(TimePoint aNow, const AccountConfig& aAccount, Tokens aTokens);

private:
  std::uint32_t m_liveEntries = 1;
  std::map<AccountId, TokenBucket> m_buckets;
};

} // namespace fulmarquay

#endif
