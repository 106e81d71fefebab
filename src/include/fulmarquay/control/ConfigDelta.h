#ifndef FULMARQUAY_CONTROL_CONFIGDELTA_H
#define FULMARQUAY_CONTROL_CONFIGDELTA_H

#include "fulmarquay/control/Configuration.h"
#include "fulmarquay/wire/Codec.h"

#include <string>
#include <vector>

namespace fulmarquay {

/// The difference between two accepted configurations, by whole sections.
struct ConfigDelta
{
  Revision m_from; ///< 0: from an empty configuration
  Revision m_to;
  std::string m_digest; ///< of the configuration after the delta
  ConfigSections m_changed;
  std::vector<std::string> m_removed;
  MSGPACK_DEFINE(m_from, m_to, m_digest, m_changed, m_removed)
};

/// What leads from one configuration to another.
ConfigDelta
MakeDelta(const ConfigSections& aFrom, const ConfigSections& aTo);

/// Changes sections by a delta. Throws Error, leaving them as they were, when
/// the digest afterwards is not the delta's.
void
ApplyDelta(ConfigSections& aSections, const ConfigDelta& aDelta);

} // namespace fulmarquay

#endif
