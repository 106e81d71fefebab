#ifndef FULMARQUAY_CONTROL_FLEETPROTOCOL_H
#define FULMARQUAY_CONTROL_FLEETPROTOCOL_H

#include "fulmarquay/control/Rollout.h"
#include "fulmarquay/control/WorkerList.h"
#include "fulmarquay/wire/HttpMessage.h"

#include <cstdint>
#include <string>

namespace fulmarquay {

/// An order to load a weight version.
struct LoadOrder
{
  WorkerId m_worker;
  std::string m_model;
  std::int64_t m_version = 0;
  std::uint64_t m_number = 0;   ///< fencing number
  std::string m_holder;         ///< the VM that gives the order
  std::int64_t m_sequence = -1; ///< orders accepted before; -1: any
};

/// The control group's contract with the platform's VM list and its workers:
/// requests out, answers in, no I/O. Parsers throw Error on bodies that can't
/// be read.
class FleetProtocol
{
public:
  virtual ~FleetProtocol() = default;

  /// A page of the VM list; the first one by an empty token.
  virtual HttpRequest ListPage(const std::string& aToken) const = 0;
  virtual WorkerPage ParsePage(const std::string& aBody) const = 0;

  virtual HttpRequest Observe() const = 0;
  virtual EngineObservation ParseObservation(
    const std::string& aBody,
    const std::string& aModel) const = 0;

  virtual HttpRequest Load(const LoadOrder& aOrder) const = 0;
  /// What the status of an order's answer means.
  virtual OrderEnd ReadOrderStatus(int aStatus) const = 0;

  /// Reads a published route document. Throws Error that names each problem.
  virtual RouteDocument ParseRoutes(const std::string& aSource) const = 0;
};

} // namespace fulmarquay

#endif
