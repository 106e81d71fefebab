#include "fulmarquay/serve/AllowedRegions.h"

#include "fulmarquay/core/Digest.h"

#include <utility>

namespace fulmarquay {

void
AllowedRegions::AddRule(const std::vector<RegionId>& aRegions)
{
  if (!aRegions.empty()) {
    Intersect(aRegions);
  }
}

void
AllowedRegions::Intersect(const std::vector<RegionId>& aRegions)
{
  std::set<RegionId> common;
  for (const RegionId& region : aRegions) {
    if (!m_isRestricted || m_regions.count(region) != 0) {
      common.insert(region);
    }
  }
  m_regions = std::move(common);
  m_isRestricted = true;
  // The lengths keep the regions "a" and "b" apart from one named "a,b".
  std::string text;
  for (const RegionId& region : m_regions) {
    text += std::to_string(region.Value().size()) + ":" + region.Value();
  }
  m_key = Sha256Hex(text);
}

std::string
AllowedRegions::LimitScope(std::string aScope) const
{
  // Between the weight version, which WeightsOfScope reads, and the colon that
  // begins the model: other scopes have no hex digit there. A digest has a
  // bounded length and no character that a header can't hold.
  return aScope.insert(aScope.find('.') + 1, m_key);
}

} // namespace fulmarquay
