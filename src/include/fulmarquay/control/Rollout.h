#ifndef FULMARQUAY_CONTROL_ROLLOUT_H
#define FULMARQUAY_CONTROL_ROLLOUT_H

#include "fulmarquay/control/Configuration.h"

#include <cstdint>
#include <map>
#include <string>
#include <variant>
#include <vector>

namespace fulmarquay {

/// Query the weights loaded by an engine.
struct ObserveEngine
{
  EngineId m_engine;
};

/// Commit an order to the log to get its fencing number; then call
/// Rollout::OnOrderNumberAssigned.
struct RequestOrderNumber
{
  EngineId m_engine;
  std::string m_model;
  std::string m_target;
};

/// Send an order; then call Rollout::OnOrderEnded.
struct SendOrder
{
  EngineId m_engine;
  std::uint64_t m_number = 0;
  std::string m_model;
  std::string m_target;
  std::int64_t m_sequence = -1; ///< orders accepted before; -1: unknown
};

/// Set the weight version in force, which serves new requests of a model.
struct SwitchWeights
{
  std::string m_model;
  std::string m_weights;
};

using RolloutAction =
  std::variant<ObserveEngine, RequestOrderNumber, SendOrder, SwitchWeights>;

/// Outcome of an order.
enum class OrderOutcome
{
  Done,
  Fenced,   ///< the engine has seen a higher fencing number
  Failed,   ///< rejected, or its answer was lost and it may still be executed
  Accepted, ///< in progress; completion is detected by observations
};

/// State reported by an engine.
struct EngineObservation
{
  std::map<std::string, std::string> m_weights; ///< version by model
  bool m_isBusy = false;                        ///< an order is being executed
  /// Number of orders accepted; -1: not counted by the engine.
  std::int64_t m_sequence = -1;
};

/// Limits and intervals of a rollout.
struct RolloutOptions
{
  /// Limit of concurrent loads of a model: m_maxConcurrentLoads or m_loadShare
  /// of its engines, whichever is more. More concurrent loads slow each other
  /// down.
  int m_maxConcurrentLoads = 2;
  double m_loadShare = 0;
  /// Timeout of an order, and the delay after a failed one before the next, for
  /// engines that don't count orders.
  Duration m_orderTimeout = Duration(10'000'000);
  /// How long after the old leader's lease a new leader sends its first order
  /// to engines that ignore fencing numbers; 0: m_orderTimeout.
  Duration m_takeoverWait{};
  /// Interval between observations of an engine that lacks its target.
  Duration m_observeInterval = Duration(1'000'000);
  /// Consecutive failed orders for a model after which an engine is given up
  /// for it, or gets its orders less often if it counts them.
  int m_maxFailures = 3;
};

/// Brings the engines of each model to the configured weight version in stages:
/// RolloutOptions limits concurrent loads, half of the engines stay usable, and
/// the version in force changes once half of them have the new one. An engine
/// with several models executes one order at a time; its models take turns.
///
/// Only a leader that holds its lease may call Step. The first order to engines
/// that ignore fencing numbers is delayed until no order of an earlier leader
/// can be in flight; an order whose answer was lost is repeated only after the
/// engine was observed. Pure; not thread-safe.
class Rollout
{
public:
  explicit Rollout(RolloutOptions aOptions = {});

  const RolloutOptions& Options() const { return m_options; }

  /// Starts a term of leadership. `aOldLease` is how long an earlier leader may
  /// still have assumed that it holds its lease.
  void Start(TimePoint aNow, Duration aOldLease);

  std::vector<RolloutAction> Step(TimePoint aNow,
                                  const Configuration& aConfiguration);

  void OnObserved(TimePoint aNow,
                  const EngineId& aEngine,
                  const EngineObservation& aObservation);
  /// Sends the order whose number was committed, if it is still expected.
  std::vector<RolloutAction> OnOrderNumberAssigned(TimePoint aNow,
                                                   const EngineId& aEngine,
                                                   const std::string& aTarget,
                                                   std::uint64_t aNumber);
  void OnOrderEnded(TimePoint aNow,
                    const EngineId& aEngine,
                    OrderOutcome aOutcome);

  /// Engines with m_maxFailures consecutive failures for a model. Unless they
  /// count orders, they get no more orders for the target that failed.
  std::vector<EngineId> GivenUpEngines() const;

private:
  enum class OrderState
  {
    None,
    AwaitingNumber,
    Sent,
    Loading,
  };

  /// A model at an engine.
  struct LoadedModel
  {
    std::string m_weights; ///< listed or observed; empty: unknown
    bool m_hasTarget = false;
    TimePoint m_targetReachedAt;
    TimePoint m_lastOrder;
    TimePoint m_earliestOrder;
    int m_failures = 0;
    std::string m_orderedTarget;
  };

  struct Engine
  {
    std::map<std::string, LoadedModel> m_models;
    TimePoint m_observedAt;
    TimePoint m_nextObservation;
    OrderState m_order = OrderState::None;
    std::string m_orderedModel; ///< of m_order
    TimePoint m_orderStarted;
    TimePoint m_earliestOrder;
    bool m_checksFencing = false;
    bool m_needsObservation = true; ///< required before an order
    bool m_hasTargets = false;      ///< of all models
    std::int64_t m_sequence = -1;
  };

  /// An order that an engine may get now.
  struct Candidate
  {
    TimePoint m_lastOrder;
    const ModelConfig* m_model = nullptr;
    EngineId m_engine;
  };

  struct EngineCounts
  {
    int m_total = 0;
    int m_serving = 0; ///< not loading, with the version in force
    int m_ready = 0;   ///< not loading, with the target
    int m_active = 0;  ///< orders in progress
  };

  void SyncEngines(TimePoint aNow, const Configuration& aConfiguration);
  EngineCounts CountEngines(const Configuration& aConfiguration,
                            const ModelConfig& aModel) const;
  bool CanOrder(TimePoint aNow,
                const Engine& aEngine,
                const ModelConfig& aModel) const;
  void CollectCandidates(TimePoint aNow,
                         const Configuration& aConfiguration,
                         const ModelConfig& aModel,
                         std::vector<Candidate>& aCandidates) const;
  void RequestOrders(TimePoint aNow,
                     const Configuration& aConfiguration,
                     std::vector<Candidate> aCandidates,
                     std::vector<RolloutAction>& aActions);
  void SyncEngine(TimePoint aNow,
                  const EngineConfig& aConfig,
                  const Configuration& aConfiguration);
  /// Updates a model's record. Returns whether its known version is outdated
  /// and has to be observed.
  static bool SyncModel(TimePoint aNow,
                        const std::string& aListed,
                        const ModelConfig* aModel,
                        LoadedModel& aLoaded);
  /// Counts a failed order; delays the next one to an engine that counts
  /// orders.
  void RecordFailure(TimePoint aNow, Engine& aEngine) const;
  int MaxConcurrentLoads(const EngineCounts& aCounts) const;

  RolloutOptions m_options;
  std::map<EngineId, Engine> m_engines;
  /// Earliest order to engines that ignore fencing numbers.
  TimePoint m_earliestUnfencedOrder;
};

} // namespace fulmarquay

#endif
