#ifndef FULMARQUAY_SERVE_REGIONMAP_H
#define FULMARQUAY_SERVE_REGIONMAP_H

#include "fulmarquay/serve/AllowedRegions.h"
#include "fulmarquay/serve/DataCentreFilter.h"

#include <map>
#include <utility>

namespace fulmarquay {

/// The region of each data centre, as the settings define it. A data centre
/// without one is outside every list of regions. Pure.
class RegionMap
{
public:
  RegionMap() = default;
  explicit RegionMap(std::map<DataCentreId, RegionId> aRegions)
    : m_regions(std::move(aRegions))
  {
  }

  /// The data centres that may handle a request with these regions.
  DataCentreFilter FilterFor(const AllowedRegions& aAllowed) const;

  /// Data centres with a region.
  std::size_t Size() const { return m_regions.size(); }

private:
  std::map<DataCentreId, RegionId> m_regions;
};

} // namespace fulmarquay

#endif
