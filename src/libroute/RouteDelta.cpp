#include "fulmarquay/route/RouteDelta.h"

#include "fulmarquay/core/Error.h"

namespace fulmarquay {

namespace {

template<typename Rule>
void
CollectChanges(const std::map<std::string, Rule>& aFrom,
               const std::map<std::string, Rule>& aTo,
               std::map<std::string, Rule>& aChanged,
               std::vector<std::string>& aRemoved)
{
  for (const auto& [name, rule] : aTo) {
    const auto old = aFrom.find(name);
    if (old == aFrom.end() || !(old->second == rule)) {
      aChanged[name] = rule;
    }
  }
  for (const auto& [name, rule] : aFrom) {
    if (aTo.count(name) == 0) {
      aRemoved.push_back(name);
    }
  }
}

template<typename Rule>
void
ApplyChanges(std::map<std::string, Rule>& aRules,
             const std::map<std::string, Rule>& aChanged,
             const std::vector<std::string>& aRemoved)
{
  for (const std::string& name : aRemoved) {
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
  CollectChanges(
    aFrom.m_routes, aTo.m_routes, delta.m_routes, delta.m_removedRoutes);
  CollectChanges(
    aFrom.m_pools, aTo.m_pools, delta.m_pools, delta.m_removedPools);
  CollectChanges(aFrom.m_accounts,
                 aTo.m_accounts,
                 delta.m_accounts,
                 delta.m_removedAccounts);
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
                "the delta starts from another revision than the one held");
  }
  ApplyChanges(aDocument.m_routes, aDelta.m_routes, aDelta.m_removedRoutes);
  ApplyChanges(aDocument.m_pools, aDelta.m_pools, aDelta.m_removedPools);
  ApplyChanges(
    aDocument.m_accounts, aDelta.m_accounts, aDelta.m_removedAccounts);
  aDocument.m_needsKeys = aDelta.m_needsKeys;
  aDocument.m_limits = aDelta.m_limits;
  aDocument.m_revision = aDelta.m_to;
}

} // namespace fulmarquay
