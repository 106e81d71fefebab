#include "fulmarquay/route/RouteTable.h"

#include "fulmarquay/route/RouteDelta.h"

namespace fulmarquay {

std::string
RouteTable::Place(std::string_view aHost, std::string_view aPrefix)
{
  std::string place;
  place.reserve(aHost.size() + aPrefix.size());
  place += aHost;
  place += aPrefix;
  return place;
}

void
RouteTable::Apply(const RouteDelta& aDelta)
{
  ApplyDelta(m_document, aDelta);
  Index();
}

void
RouteTable::Index()
{
  m_byPlace.clear();
  m_byKeyHash.clear();
  for (const auto& [name, rule] : m_document.m_routes) {
    m_byPlace[Place(rule.m_host, rule.m_prefix)] = { name, &rule };
  }
  for (const auto& [name, rule] : m_document.m_accounts) {
    for (const std::string& hash : rule.m_keyHashes) {
      m_byKeyHash[hash] = { name, &rule };
    }
  }
}

RouteTable::Route
RouteTable::Find(std::string_view aHost, std::string_view aPath) const
{
  std::string_view rest = aPath;
  for (;;) {
    const std::size_t slash = rest.rfind('/');
    if (slash == std::string_view::npos) {
      return {};
    }
    const auto place = m_byPlace.find(Place(aHost, rest.substr(0, slash + 1)));
    if (place != m_byPlace.end()) {
      return place->second;
    }
    rest = rest.substr(0, slash);
  }
}

RouteTable::Account
RouteTable::FindAccount(const std::string& aKeyHash) const
{
  const auto place = m_byKeyHash.find(aKeyHash);
  return place == m_byKeyHash.end() ? Account() : place->second;
}

const PoolRule*
RouteTable::FindPool(const PoolId& aPool) const
{
  const auto place = m_document.m_pools.find(aPool.Value());
  return place == m_document.m_pools.end() ? nullptr : &place->second;
}

} // namespace fulmarquay
