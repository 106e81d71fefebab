#include "fulmarquay/route/RouteDelta.h"

#include "fulmarquay/core/Error.h"

namespace fulmarquay {

namespace {

template<typename Rule>
void
Compare(const std::map<std::string, Rule>& aFrom,
        const std::map<std::string, Rule>& aTo,
        std::map<std::string, Rule>& aChanged,
        std::vector<std::string>& aGone)
{
  for (const auto& [name, rule] : aTo) {
    const auto old = aFrom.find(name);
    if (old == aFrom.end() || !(old->second == rule)) {
      aChanged[name] = rule;
    }
  }
  for (const auto& [name, rule] : aFrom) {
    if (aTo.count(name) == 0) {
      aGone.push_back(name);
    }
  }
}

template<typename Rule>
void
Change(std::map<std::string, Rule>& aRules,
       const std::map<std::string, Rule>& aChanged,
       const std::vector<std::string>& aGone)
{
  for (const std::string& name : aGone) {
    aRules.erase(name);
  }
  for (const auto& [name, rule] : aChanged) {
    aRules[name] = rule;
  }
}

} // namespace

RouteDelta
MakeDelta(const RouteDocument& aFrom, const RouteDocument& aTo)
{
  RouteDelta delta;
  delta.m_from = aFrom.m_revision;
  delta.m_to = aTo.m_revision;
  Compare(aFrom.m_routes, aTo.m_routes, delta.m_routes, delta.m_goneRoutes);
  Compare(aFrom.m_pools, aTo.m_pools, delta.m_pools, delta.m_gonePools);
  Compare(
    aFrom.m_accounts, aTo.m_accounts, delta.m_accounts, delta.m_goneAccounts);
  delta.m_needsKeys = aTo.m_needsKeys;
  delta.m_limits = aTo.m_limits;
  return delta;
}

void
ApplyDelta(RouteDocument& aDocument, const RouteDelta& aDelta)
{
  if (aDelta.m_from == Revision(0)) {
    aDocument = RouteDocument();
  } else if (aDelta.m_from != aDocument.m_revision) {
    throw Error("apply route delta",
                "revision " + std::to_string(aDelta.m_to.Value()),
                "it starts from another revision");
  }
  Change(aDocument.m_routes, aDelta.m_routes, aDelta.m_goneRoutes);
  Change(aDocument.m_pools, aDelta.m_pools, aDelta.m_gonePools);
  Change(aDocument.m_accounts, aDelta.m_accounts, aDelta.m_goneAccounts);
  aDocument.m_needsKeys = aDelta.m_needsKeys;
  aDocument.m_limits = aDelta.m_limits;
  aDocument.m_revision = aDelta.m_to;
}

} // namespace fulmarquay
