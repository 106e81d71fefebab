#ifndef FULMARQUAY_TOOL_CONTROLCLIENT_H
#define FULMARQUAY_TOOL_CONTROLCLIENT_H

#include "fulmarquay/control/ControlMessages.h"
#include "fulmarquay/core/Endpoint.h"
#include "fulmarquay/core/Units.h"

#include <vector>

namespace fulmarquay {

/// A blocking client of the control group. Finds the leader and retries until a
/// timeout; all operator requests are safe to repeat.
class ControlClient
{
public:
  ControlClient(std::vector<Endpoint> aReplicas, Duration aTimeout);

  /// Sends a request to the leader and returns its reply. Throws Error when no
  /// leader replied before the timeout.
  ControlMessage Call(const ControlMessage& aRequest);

private:
  std::vector<Endpoint> m_replicas;
  Duration m_timeout{};
};

} // namespace fulmarquay

#endif
