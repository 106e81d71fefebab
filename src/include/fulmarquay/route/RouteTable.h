#ifndef FULMARQUAY_ROUTE_ROUTETABLE_H
#define FULMARQUAY_ROUTE_ROUTETABLE_H

#include "fulmarquay/route/RouteDocument.h"

#include <string>
#include <string_view>
#include <unordered_map>

namespace fulmarquay {

struct RouteDelta;

/// A route document in force, with its indexes for requests.
///
/// A look-up costs one hash for each slash of the path, whatever the number
/// of routes. Pure; not thread-safe.
class RouteTable
{
public:
  /// A route by its name.
  struct Route
  {
    std::string_view m_name;
    const RouteRule* m_rule = nullptr;
  };

  /// An account by its name.
  struct Account
  {
    std::string_view m_name;
    const AccountRule* m_rule = nullptr;
  };

  /// Replaces or changes the document. Throws Error when the delta does not
  /// start from the document's revision; nothing changes then.
  void Apply(const RouteDelta& aDelta);

  /// The route of the host whose prefix is the longest that begins the path;
  /// a null rule when there is none. Valid until the next Apply.
  Route Find(std::string_view aHost, std::string_view aPath) const;

  /// The account that holds a key, by the key's hash.
  Account FindAccount(const std::string& aKeyHash) const;

  const PoolRule* FindPool(const PoolId& aPool) const;
  const RouteDocument& Document() const { return m_document; }

private:
  void Index();
  static std::string Place(std::string_view aHost, std::string_view aPrefix);

  RouteDocument m_document;
  std::unordered_map<std::string, Route> m_byPlace;
  std::unordered_map<std::string, Account> m_byKeyHash;
};

} // namespace fulmarquay

#endif
