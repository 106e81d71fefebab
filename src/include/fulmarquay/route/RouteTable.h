#ifndef FULMARQUAY_ROUTE_ROUTETABLE_H
#define FULMARQUAY_ROUTE_ROUTETABLE_H

#include "fulmarquay/route/RouteDocument.h"

#include <string>
#include <string_view>
#include <unordered_map>

namespace fulmarquay {

struct RouteDelta;

/// The route document in force, indexed by host and path prefix and by key
/// hash.
///
/// A route look-up costs at most one hash look-up for each slash of the path,
/// independent of the number of routes. Does no I/O; not thread-safe.
class RouteTable
{
public:
  /// A route and its name; a null rule: no route.
  struct Route
  {
    std::string_view m_name;
    const RouteRule* m_rule = nullptr;
  };

  /// An account and its name; a null rule: no account.
  struct Account
  {
    std::string_view m_name;
    const AccountRule* m_rule = nullptr;
  };

  /// Applies a delta to the document; a delta from revision 0 replaces it.
  /// Throws Error when the delta does not start from the document's revision;
  /// nothing changes then.
  void Apply(const RouteDelta& aDelta);

  /// Finds the host's route with the longest prefix of the path. The result is
  /// valid until the next Apply.
  Route Find(std::string_view aHost, std::string_view aPath) const;

  /// Finds the account that a key belongs to, by the key's hash. The result is
  /// valid until the next Apply.
  Account FindAccount(const std::string& aKeyHash) const;

  /// Text that is equal only for equal sets of isolated accounts; empty if no
  /// account is isolated.
  ///
  /// As part of the name of a cache that all other accounts share, it keeps
  /// them from what an account cached before it became isolated: under one key,
  /// only accounts outside its set have cached anything. It is the same at all
  /// entries and needs no history of the document.
  const std::string& IsolationKey() const { return m_isolationKey; }

  const PoolRule* FindPool(const PoolId& aPool) const;
  const RouteDocument& Document() const { return m_document; }

private:
  void RebuildIndexes();
  static std::string IndexKey(std::string_view aHost, std::string_view aPrefix);

  RouteDocument m_document;
  std::unordered_map<std::string, Route> m_byHostAndPrefix;
  std::unordered_map<std::string, Account> m_byKeyHash;
  std::string m_isolationKey;
};

} // namespace fulmarquay

#endif
