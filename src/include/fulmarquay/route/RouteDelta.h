#ifndef FULMARQUAY_ROUTE_ROUTEDELTA_H
#define FULMARQUAY_ROUTE_ROUTEDELTA_H

#include "fulmarquay/route/RouteDocument.h"

#include <map>
#include <string>
#include <vector>

namespace fulmarquay {

/// The difference between two route documents. A changed route, pool or
/// account is sent whole.
struct RouteDelta
{
  Revision m_from; ///< 0: from an empty document
  Revision m_to;
  std::map<std::string, RouteRule> m_routes; ///< added and changed
  std::vector<std::string> m_removedRoutes;
  std::map<std::string, PoolRule> m_pools;
  std::vector<std::string> m_removedPools;
  std::map<std::string, AccountRule> m_accounts;
  std::vector<std::string> m_removedAccounts;
  bool m_needsKeys = false;
  CallerLimits m_limits;
  MSGPACK_DEFINE(m_from,
                 m_to,
                 m_routes,
                 m_removedRoutes,
                 m_pools,
                 m_removedPools,
                 m_accounts,
                 m_removedAccounts,
                 m_needsKeys,
                 m_limits)
};

/// Computes the delta that turns one document into the other.
RouteDelta
MakeDelta(const RouteDocument& aFrom, const RouteDocument& aTo);

/// Applies a delta to a document. Throws Error when the document does not have
/// the revision that the delta starts from; the document is unchanged then.
void
ApplyDelta(RouteDocument& aDocument, const RouteDelta& aDelta);

} // namespace fulmarquay

#endif
