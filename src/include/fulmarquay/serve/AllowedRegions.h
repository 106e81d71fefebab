#ifndef FULMARQUAY_SERVE_ALLOWEDREGIONS_H
#define FULMARQUAY_SERVE_ALLOWEDREGIONS_H

#include "fulmarquay/route/RouteDocument.h"

#include <set>
#include <string>
#include <vector>

namespace fulmarquay {

/// The regions in which a request may be handled: all of them, or those that
/// every list that applies to it has in common, which may be none. Pure.
class AllowedRegions
{
public:
  /// Adds the list of a route or an account; an empty one allows all regions.
  void AddRule(const std::vector<RegionId>& aRegions);
  /// Allows only these regions of those that are allowed now; an empty list
  /// allows none.
  void Intersect(const std::vector<RegionId>& aRegions);

  /// Whether some list applies.
  bool IsRestricted() const { return m_isRestricted; }
  /// Sorted; of use only if restricted.
  const std::set<RegionId>& Regions() const { return m_regions; }

  /// Limits a cache scope of MakeCacheScope to requests with the same regions;
  /// unchanged if all are allowed.
  std::string LimitScope(std::string aScope) const;

  /// Text that is equal only for equal regions; empty if all are allowed.
  const std::string& Key() const { return m_key; }

  bool operator==(const AllowedRegions&) const = default;

private:
  bool m_isRestricted = false;
  std::set<RegionId> m_regions;
  std::string m_key;
};

} // namespace fulmarquay

#endif
