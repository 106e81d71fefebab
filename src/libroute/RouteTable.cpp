#include "fulmarquay/route/RouteTable.h"

#include "fulmarquay/core/Digest.h"
#include "fulmarquay/route/RouteDelta.h"

namespace fulmarquay {

std::string
RouteTable::IndexKey(std::string_view aHost, std::string_view aPrefix)
{
  std::string key;
  key.reserve(aHost.size() + aPrefix.size());
  key += aHost;
  key += aPrefix;
  return key;
}

void
RouteTable::Apply(const RouteDelta& aDelta)
{
  ApplyDelta(m_document, aDelta);
  RebuildIndexes();
}

void
RouteTable::RebuildIndexes()
{
  m_byHostAndPrefix.clear();
  m_byKeyHash.clear();
  for (const auto& [name, rule] : m_document.m_routes) {
    m_byHostAndPrefix[IndexKey(rule.m_host, rule.m_prefix)] = { name, &rule };
  }
  std::string isolated;
  for (const auto& [name, rule] : m_document.m_accounts) {
    if (rule.m_isIsolated) {
      // The length keeps the names "a" and "b" apart from one named "ab".
      isolated += std::to_string(name.size()) + ":" + name;
    }
    for (const std::string& hash : rule.m_keyHashes) {
      m_byKeyHash[hash] = { name, &rule };
    }
  }
  m_isolationKey = isolated.empty() ? "" : Sha256Hex(isolated);
}

RouteTable::Route
RouteTable::Find(std::string_view aHost, std::string_view aPath) const
{
  std::string_view prefix = aPath;
  for (;;) {
    const std::size_t slash = prefix.rfind('/');
    if (slash == std::string_view::npos) {
      return {};
    }
    const auto found =
      m_byHostAndPrefix.find(IndexKey(aHost, prefix.substr(0, slash + 1)));
    if (found != m_byHostAndPrefix.end()) {
      return found->second;
    }
    prefix = prefix.substr(0, slash);
  }
}

RouteTable::Account
RouteTable::FindAccount(const std::string& aKeyHash) const
{
  const auto found = m_byKeyHash.find(aKeyHash);
  return found == m_byKeyHash.end() ? Account() : found->second;
}

const PoolRule*
RouteTable::FindPool(const PoolId& aPool) const
{
  const auto found = m_document.m_pools.find(aPool.Value());
  return found == m_document.m_pools.end() ? nullptr : &found->second;
}

} // namespace fulmarquay
