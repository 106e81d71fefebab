#ifndef FULMARQUAY_SERVE_ACCOUNTLIMITS_H
#define FULMARQUAY_SERVE_ACCOUNTLIMITS_H

#include "fulmarquay/control/Configuration.h"
#include "fulmarquay/route/TokenBucket.h"

#include <map>

namespace fulmarquay {

/// The token rate of each client account at this entry.
///
/// An account's rate is divided by the number of live entries, as last told
/// by the leader; a cut-off entry keeps its last share, so that all entries
/// together never allow more than the account's rate.
class AccountLimits
{
public:
  void SetLiveEntries(std::uint32_t aCount);

  /// 0 when the tokens may be used now, else the time until they may.
  Duration Take(TimePoint aNow, const AccountConfig& aAccount, Tokens aTokens);

private:
  std::uint32_t m_liveEntries = 1;
  std::map<AccountId, TokenBucket> m_buckets;
};

} // namespace fulmarquay

#endif
