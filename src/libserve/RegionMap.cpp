#include "fulmarquay/serve/RegionMap.h"

namespace fulmarquay {

DataCentreFilter
RegionMap::FilterFor(const AllowedRegions& aAllowed) const
{
  if (!aAllowed.IsRestricted()) {
    return {};
  }
  std::set<DataCentreId> dataCentres;
  for (const auto& [dataCentre, region] : m_regions) {
    if (aAllowed.Regions().count(region) != 0) {
      dataCentres.insert(dataCentre);
    }
  }
  return DataCentreFilter(std::move(dataCentres));
}

} // namespace fulmarquay
