#include "fulmarquay/control/ConfigDelta.h"

#include "fulmarquay/core/Error.h"

#include <utility>

namespace fulmarquay {

ConfigDelta
MakeDelta(const ConfigSections& aFrom, const ConfigSections& aTo)
{
  ConfigDelta delta;
  for (const auto& [name, values] : aTo) {
    const auto old = aFrom.find(name);
    if (old == aFrom.end() || old->second != values) {
      delta.m_changed[name] = values;
    }
  }
  for (const auto& [name, values] : aFrom) {
    if (aTo.count(name) == 0) {
      delta.m_removed.push_back(name);
    }
  }
  delta.m_digest = DigestOf(aTo);
  return delta;
}

void
ApplyDelta(ConfigSections& aSections, const ConfigDelta& aDelta)
{
  ConfigSections result;
  if (aDelta.m_from != Revision(0)) {
    result = aSections;
  }
  for (const auto& [name, values] : aDelta.m_changed) {
    result[name] = values;
  }
  for (const std::string& name : aDelta.m_removed) {
    result.erase(name);
  }
  if (DigestOf(result) != aDelta.m_digest) {
    throw Error("apply configuration delta",
                "revision " + std::to_string(aDelta.m_to.Value()),
                "the digest of the result differs from the delta's");
  }
  aSections = std::move(result);
}

} // namespace fulmarquay
