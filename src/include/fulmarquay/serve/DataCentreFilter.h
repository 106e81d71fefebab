#ifndef FULMARQUAY_SERVE_DATACENTREFILTER_H
#define FULMARQUAY_SERVE_DATACENTREFILTER_H

#include "fulmarquay/core/StrongId.h"

#include <set>
#include <utility>

namespace fulmarquay {

/// The data centres that may handle a request; all unless constructed from a
/// set. Pure.
class DataCentreFilter
{
public:
  DataCentreFilter() = default;
  explicit DataCentreFilter(std::set<DataCentreId> aAllowed)
    : m_isRestricted(true)
    , m_allowed(std::move(aAllowed))
  {
  }

  bool IsRestricted() const { return m_isRestricted; }
  bool Allows(const DataCentreId& aDataCentre) const
  {
    return !m_isRestricted || m_allowed.count(aDataCentre) != 0;
  }

private:
  bool m_isRestricted = false;
  std::set<DataCentreId> m_allowed;
};

} // namespace fulmarquay

#endif
