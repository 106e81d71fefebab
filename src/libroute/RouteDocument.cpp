#include "fulmarquay/route/RouteDocument.h"

#include "fulmarquay/core/Endpoint.h"

#include <set>
#include <stdexcept>
#include <utility>

namespace fulmarquay {

namespace {

void
CheckRoute(const RouteDocument& aDocument,
           const std::string& aName,
           const RouteRule& aRoute,
           std::vector<std::string>& aProblems)
{
  const std::string where = "route " + aName + ": ";
  std::int64_t weights = 0;
  for (const PoolShare& share : aRoute.m_pools) {
    weights += share.m_weight;
    const auto pool = aDocument.m_pools.find(share.m_pool.Value());
    if (pool == aDocument.m_pools.end() ||
        !pool->second.m_storeAddress.empty()) {
      aProblems.push_back(where + "unknown pool " + share.m_pool.Value());
    }
    if (share.m_weight < 0) {
      aProblems.push_back(where + "a weight is negative");
    }
  }
  if (weights <= 0) {
    aProblems.push_back(where + "the weights add up to 0");
  }
  if (aRoute.m_timeoutUs <= 0) {
    aProblems.push_back(where + "the timeout is 0");
  }
  const bool isPrefix = !aRoute.m_prefix.empty() &&
                        aRoute.m_prefix.front() == '/' &&
                        aRoute.m_prefix.back() == '/';
  if (!isPrefix) {
    aProblems.push_back(where + "the path prefix has no slash at both ends");
  }
}

bool
IsUsableAddress(const std::string& aText)
{
  try {
    return Endpoint::Parse(aText).Port() != 0;
  } catch (const std::invalid_argument&) {
    return false;
  }
}

} // namespace

std::vector<std::string>
FindProblems(const RouteDocument& aDocument)
{
  std::vector<std::string> problems;
  std::map<std::pair<std::string, std::string>, std::string> routesByPrefix;
  for (const auto& [name, route] : aDocument.m_routes) {
    CheckRoute(aDocument, name, route, problems);
    const auto [first, isNew] = routesByPrefix.emplace(
      std::make_pair(route.m_host, route.m_prefix), name);
    if (!isNew) {
      problems.push_back("route " + name + ": same host and prefix as route " +
                         first->second);
    }
  }
  for (const auto& [name, pool] : aDocument.m_pools) {
    if (!pool.m_storeAddress.empty() && !IsUsableAddress(pool.m_storeAddress)) {
      problems.push_back("store " + name + ": the address is not IP:PORT");
    }
  }
  std::map<std::string, std::string> owners;
  for (const auto& [name, account] : aDocument.m_accounts) {
    for (const std::string& hash : account.m_keyHashes) {
      const auto [owner, isNew] = owners.emplace(hash, name);
      if (!isNew && owner->second != name) {
        problems.push_back("account " + name + ": shares a key with account " +
                           owner->second);
      }
    }
  }
  return problems;
}

} // namespace fulmarquay
