#ifndef FULMARQUAY_TOOL_CONTROLCLIENT_H
#define FULMARQUAY_TOOL_CONTROLCLIENT_H

#include "fulmarquay/control/ControlMessages.h"
#include "fulmarquay/core/Endpoint.h"
#include "fulmarquay/core/Units.h"

#include <vector>

namespace fulmarquay {

/// Asks the control group's leader, wherever it is; blocks. All requests of
/// operators are safe to repeat.
class ControlClient
{
public:
  ControlClient(std::vector<Endpoint> aReplicas, Duration aPatience);

  /// Throws Error when no leader answered in time.
  ControlMessage Ask(const ControlMessage& aRequest);

private:
  std::vector<Endpoint> m_replicas;
  Duration m_patience{};
};

} // namespace fulmarquay

#endif
