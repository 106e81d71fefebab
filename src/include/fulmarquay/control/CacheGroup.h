#ifndef FULMARQUAY_CONTROL_CACHEGROUP_H
#define FULMARQUAY_CONTROL_CACHEGROUP_H

#include <string>

namespace fulmarquay {

/// The requests that share KV cache with each other: those of one isolated
/// account, or all that belong to no isolated account.
struct CacheGroup
{
  std::string m_account; ///< the isolated account; else empty
  /// RouteTable::IsolationKey, unless m_account is set.
  std::string m_isolationKey;
};

} // namespace fulmarquay

#endif
