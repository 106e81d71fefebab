#ifndef FULMARQUAY_CONTROL_FLEETPROTOCOL_H
#define FULMARQUAY_CONTROL_FLEETPROTOCOL_H

#include "fulmarquay/control/Rollout.h"
#include "fulmarquay/control/WorkerList.h"
#include "fulmarquay/wire/HttpMessage.h"

#include <cstdint>
#include <string>

namespace fulmarquay {

/// An order to a worker to load a weight version.
struct LoadOrder
{
  WorkerId m_worker;
  std::string m_model;
  std::int64_t m_version = 0;
  std::uint64_t m_number = 0;   ///< fencing number
  std::string m_holder;         ///< the VM that issues the order
  std::int64_t m_sequence = -1; ///< orders the worker has accepted; -1: any
};

/// Encodes requests to the platform's VM list and its workers and parses the
/// responses; performs no I/O. Parsers throw Error on malformed bodies.
class FleetProtocol
{
public:
  virtual ~FleetProtocol() = default;

  /// Requests a page of the VM list; an empty token selects the first one.
  virtual HttpRequest ListPage(const std::string& aToken) const = 0;
  virtual WorkerPage ParsePage(const std::string& aBody) const = 0;

  virtual HttpRequest Observe() const = 0;
  virtual EngineObservation ParseObservation(
    const std::string& aBody) const = 0;

  virtual HttpRequest Load(const LoadOrder& aOrder) const = 0;
  /// Maps the HTTP status of the answer to an order to an outcome.
  virtual OrderOutcome ReadOrderStatus(int aStatus) const = 0;

  /// Parses a published route document. Throws an Error that lists every
  /// problem.
  virtual RouteDocument ParseRoutes(const std::string& aSource) const = 0;
};

} // namespace fulmarquay

#endif
