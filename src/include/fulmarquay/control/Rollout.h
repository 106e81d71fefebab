#ifndef FULMARQUAY_CONTROL_ROLLOUT_H
#define FULMARQUAY_CONTROL_ROLLOUT_H

#include "fulmarquay/control/Configuration.h"

#include <cstdint>
#include <map>
#include <string>
#include <variant>
#include <vector>

namespace fulmarquay {

/// Ask an engine which weights it has.
struct ObserveEngine
{
  EngineId m_engine;
};

/// Take an order number from the log; then call OnNumber.
struct RequestOrder
{
  EngineId m_engine;
  std::string m_target;
};

/// Send an order; then call OnOrderEnded.
struct SendOrder
{
  EngineId m_engine;
  std::uint64_t m_number = 0;
  std::string m_target;
  std::int64_t m_sequence = -1; ///< orders the engine had accepted; -1: unknown
};

/// Make a weight version the one that new requests of a model run under.
struct SwitchWeights
{
  std::string m_model;
  std::string m_weights;
};

using RolloutAction =
  std::variant<ObserveEngine, RequestOrder, SendOrder, SwitchWeights>;

/// How an order ended.
enum class OrderEnd
{
  Done,
  Fenced,   ///< the engine has seen a higher number
  Failed,   ///< refused, or its answer was lost: it may still be carried out
  Accepted, ///< the engine is carrying it out; observing tells when it is done
};

/// What an engine says of itself.
struct EngineObservation
{
  std::string m_weights;
  bool m_isBusy = false;        ///< an order is being carried out
  std::int64_t m_sequence = -1; ///< orders accepted; -1: it does not count them
};

/// How engines are brought to their weights.
struct RolloutOptions
{
  /// Engines that load at once: this many, or this share of a model's
  /// engines, whichever is more. More at once load more slowly.
  int m_loadsAtOnce = 2;
  double m_loadShare = 0;
  /// Longest time for the answer of an order, and after a lost one until the
  /// next, where engines don't count orders.
  Duration m_orderTimeout = Duration(10'000'000);
  /// A new leader gives engines that ignore fencing numbers no order for this
  /// long beyond the old leader's lease; 0: m_orderTimeout.
  Duration m_takeoverWait{};
  /// Between two observations of an engine that is not settled.
  Duration m_observeInterval = Duration(1'000'000);
  /// Failed orders in a row after which an engine is left as it is.
  int m_mostFailures = 3;
};

/// Brings the engines of each model to the configured weights by stages: at
/// most so many as RolloutOptions allow load at a time, half of the engines
/// stay usable, and the version in force changes once half of them have the new
/// one.
///
/// Only the leader with its lease steps it. Before its first order to engines
/// that ignore fencing numbers it waits until no order of an earlier leader
/// can be under way; an order whose answer was lost is given again only after
/// the engine was observed. Pure; not thread-safe.
class Rollout
{
public:
  explicit Rollout(RolloutOptions aOptions = {});

  const RolloutOptions& Options() const { return m_options; }

  /// A new term of leadership; `aOldLease` is how long an earlier leader may
  /// still have believed in its own.
  void Start(TimePoint aNow, Duration aOldLease);

  std::vector<RolloutAction> Step(TimePoint aNow,
                                  const Configuration& aConfiguration);

  void OnObserved(TimePoint aNow,
                  const EngineId& aEngine,
                  const EngineObservation& aObservation);
  /// The order's number is in the log.
  std::vector<RolloutAction> OnNumber(TimePoint aNow,
                                      const EngineId& aEngine,
                                      const std::string& aTarget,
                                      std::uint64_t aNumber);
  void OnOrderEnded(TimePoint aNow, const EngineId& aEngine, OrderEnd aEnd);

  /// Engines that were given up: their version differs from the target.
  std::vector<EngineId> GivenUp() const;

private:
  enum class OrderState
  {
    None,
    Numbering,
    Sent,
    Loading,
  };

  struct Engine
  {
    std::string m_weights; ///< as observed; empty: not yet
    TimePoint m_observed;
    TimePoint m_nextObserve;
    OrderState m_order = OrderState::None;
    TimePoint m_orderSince;
    TimePoint m_notBefore; ///< no order before
    bool m_checksFencing = false;
    bool m_mustObserve = true; ///< before the next order
    bool m_isSettled = false;  ///< has its target
    std::int64_t m_sequence = -1;
    TimePoint m_settledAt;
    int m_failures = 0;
    std::string m_failedTarget;
  };

  struct Group
  {
    int m_size = 0;
    int m_serving = 0; ///< usable with the version in force
    int m_ready = 0;   ///< have the target
  };

  void SyncEngines(TimePoint aNow, const Configuration& aConfiguration);
  Group CountGroup(const Configuration& aConfiguration,
                   const ModelConfig& aModel) const;
  bool MayOrder(TimePoint aNow,
                const Engine& aEngine,
                const ModelConfig& aModel) const;
  void StepModel(TimePoint aNow,
                 const Configuration& aConfiguration,
                 const ModelConfig& aModel,
                 std::vector<RolloutAction>& aActions);
  void SyncEngine(TimePoint aNow,
                  const EngineConfig& aConfig,
                  const Configuration& aConfiguration);
  int Loading() const;
  int MostLoading(const Group& aGroup) const;

  RolloutOptions m_options;
  std::map<EngineId, Engine> m_engines;
  TimePoint m_firstOrder; ///< for engines that ignore fencing numbers
};

} // namespace fulmarquay

#endif
