#ifndef FULMARQUAY_ROUTE_ROUTEDELTA_H
#define FULMARQUAY_ROUTE_ROUTEDELTA_H

#include "fulmarquay/route/RouteDocument.h"

#include <map>
#include <string>
#include <vector>

namespace fulmarquay {

/// The difference between two route documents, by whole rules.
struct RouteDelta
{
  Revision m_from; ///< 0: from an empty document
  Revision m_to;
  std::map<std::string, RouteRule> m_routes; ///< new and changed ones
  std::vector<std::string> m_goneRoutes;
  std::map<std::string, PoolRule> m_pools;
  std::vector<std::string> m_gonePools;
  std::map<std::string, AccountRule> m_accounts;
  std::vector<std::string> m_goneAccounts;
  bool m_needsKeys = false;
  CallerLimits m_limits;
  MSGPACK_DEFINE(m_from,
                 m_to,
                 m_routes,
                 m_goneRoutes,
                 m_pools,
                 m_gonePools,
                 m_accounts,
                 m_goneAccounts,
                 m_needsKeys,
                 m_limits)
};

/// What leads from one document to another.
RouteDelta
MakeDelta(const RouteDocument& aFrom, const RouteDocument& aTo);

/// Changes a document. Throws Error when it does not have the revision that
/// the delta starts from.
void
ApplyDelta(RouteDocument& aDocument, const RouteDelta& aDelta);

} // namespace fulmarquay

#endif
