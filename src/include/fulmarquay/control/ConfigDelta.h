#ifndef FULMARQUAY_CONTROL_CONFIGDELTA_H
#define FULMARQUAY_CONTROL_CONFIGDELTA_H

#include "fulmarquay/control/Configuration.h"
#include "fulmarquay/wire/Codec.h"

#include <string>
#include <vector>

namespace fulmarquay {

/// The difference between two accepted configurations, in whole sections.
struct ConfigDelta
{
  Revision m_from; ///< 0: applies to an empty configuration
  Revision m_to;
  std::string m_digest; ///< of the configuration m_to
  ConfigSections m_changed;
  std::vector<std::string> m_removed;
  MSGPACK_DEFINE(m_from, m_to, m_digest, m_changed, m_removed)
};

/// Computes the delta between two configurations. The caller sets its
/// revisions.
ConfigDelta
MakeDelta(const ConfigSections& aFrom, const ConfigSections& aTo);

/// Applies a delta to sections. Throws Error and leaves them unchanged if the
/// result does not have the delta's digest.
void
ApplyDelta(ConfigSections& aSections, const ConfigDelta& aDelta);

} // namespace fulmarquay

#endif
