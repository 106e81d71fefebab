#include "fulmarquay/control/Rollout.h"

#include <algorithm>

namespace fulmarquay {

namespace {

/// Interval between observations of an engine that accepted an order.
constexpr Duration kLoadPollInterval(150'000);
/// An accepted order has failed if the engine is idle without the target this
/// long after the order was sent. Covers the lag of engines' reports.
constexpr Duration kLoadReportLag(1'500'000);
/// The VM list may lag behind a load by this much.
constexpr Duration kListLag(3'000'000);
/// A number is issued within the time of a commit, or never if the proposal was
/// refused.
constexpr Duration kNumberTimeout(1'000'000);
/// Delay after a failed order to an engine that counts orders.
constexpr Duration kCountedRetryDelay(400'000);
/// The same once it has failed RolloutOptions::m_maxFailures orders in a row.
constexpr Duration kRepeatedFailureDelay(5'000'000);
/// Observation interval of engines that have their target and need no order.
constexpr Duration kIdleObserveInterval(30'000'000);
/// Older observations do not permit an order.
constexpr Duration kObservationTtl(3'000'000);
constexpr Duration kFencedRetryDelay(1'000'000);

} // namespace

Rollout::Rollout(RolloutOptions aOptions)
  : m_options(aOptions)
{
}

void
Rollout::Start(TimePoint aNow, Duration aOldLease)
{
  m_engines.clear();
  const bool hasOwnWait = m_options.m_takeoverWait > Duration(0);
  m_earliestUnfencedOrder =
    aNow + aOldLease +
    (hasOwnWait ? m_options.m_takeoverWait : m_options.m_orderTimeout);
}

void
Rollout::SyncEngines(TimePoint aNow, const Configuration& aConfiguration)
{
  std::erase_if(m_engines, [&](const auto& aEach) {
    return aConfiguration.m_engines.count(aEach.first) == 0;
  });
  for (const auto& [id, config] : aConfiguration.m_engines) {
    SyncEngine(aNow, config, aConfiguration);
  }
}

void
Rollout::SyncEngine(TimePoint aNow,
                    const EngineConfig& aConfig,
                    const Configuration& aConfiguration)
{
  const auto [found, isNew] = m_engines.try_emplace(aConfig.m_id);
  Engine& engine = found->second;
  engine.m_checksFencing = aConfig.m_checksFencing;
  const std::string& listed = aConfig.m_listedWeights;
  if (isNew) {
    engine.m_weights = listed;
  }
  const auto model = aConfiguration.m_models.find(aConfig.m_model);
  bool hasTarget = model != aConfiguration.m_models.end() &&
                   engine.m_weights == model->second.m_target;
  if (hasTarget && !engine.m_hasTarget) {
    engine.m_targetReachedAt = aNow;
    engine.m_nextObservation = aNow + kIdleObserveInterval;
  }
  // The VM list still contradicts the known version after its maximum lag: the
  // engine restarted.
  const bool isContradicted = hasTarget && !listed.empty() &&
                              listed != engine.m_weights &&
                              aNow >= engine.m_targetReachedAt + kListLag;
  if (isContradicted) {
    engine.m_weights.clear();
    engine.m_needsObservation = true;
    hasTarget = false;
  }
  if (engine.m_hasTarget && !hasTarget) {
    engine.m_nextObservation = aNow;
  } else if (!hasTarget) {
    // An observation permits an order for a short time only.
    const TimePoint latest =
      std::max(aNow, engine.m_earliestOrder) + m_options.m_observeInterval;
    engine.m_nextObservation = std::min(engine.m_nextObservation, latest);
  }
  engine.m_hasTarget = hasTarget;
}

std::vector<RolloutAction>
Rollout::Step(TimePoint aNow, const Configuration& aConfiguration)
{
  SyncEngines(aNow, aConfiguration);
  std::vector<RolloutAction> actions;
  for (auto& [id, engine] : m_engines) {
    if (engine.m_order == OrderState::Loading &&
        aNow >= engine.m_orderStarted + m_options.m_orderTimeout) {
      OnOrderEnded(aNow, id, OrderOutcome::Failed);
    }
    if (engine.m_order == OrderState::AwaitingNumber &&
        aNow >= engine.m_orderStarted + kNumberTimeout) {
      engine.m_order = OrderState::None;
    }
    const bool isLoading = engine.m_order == OrderState::Loading;
    const bool isIdle = engine.m_order == OrderState::None;
    if ((isIdle || isLoading) && aNow >= engine.m_nextObservation) {
      Duration interval =
        engine.m_hasTarget ? kIdleObserveInterval : m_options.m_observeInterval;
      interval = isLoading ? kLoadPollInterval : interval;
      engine.m_nextObservation = aNow + interval;
      actions.emplace_back(ObserveEngine{ id });
    }
  }
  for (const auto& [name, model] : aConfiguration.m_models) {
    StepModel(aNow, aConfiguration, model, actions);
  }
  return actions;
}

Rollout::EngineCounts
Rollout::CountEngines(const Configuration& aConfiguration,
                      const ModelConfig& aModel) const
{
  EngineCounts counts;
  for (const auto& [id, config] : aConfiguration.m_engines) {
    if (config.m_model != aModel.m_name) {
      continue;
    }
    const Engine& engine = m_engines.at(id);
    const bool isIdle = engine.m_order == OrderState::None;
    ++counts.m_total;
    counts.m_serving += isIdle && engine.m_weights == aModel.m_weights ? 1 : 0;
    counts.m_ready += isIdle && engine.m_weights == aModel.m_target ? 1 : 0;
  }
  return counts;
}

bool
Rollout::CanOrder(TimePoint aNow,
                  const Engine& aEngine,
                  const ModelConfig& aModel) const
{
  const bool isObserved = !aEngine.m_needsObservation &&
                          aNow < aEngine.m_observedAt + kObservationTtl;
  const bool isDue =
    aNow >= aEngine.m_earliestOrder &&
    (aEngine.m_checksFencing || aNow >= m_earliestUnfencedOrder);
  // An engine that counts orders executes none twice, so that it is safe to try
  // again.
  const bool isGivenUp = aEngine.m_sequence < 0 &&
                         aEngine.m_failures >= m_options.m_maxFailures &&
                         aEngine.m_orderedTarget == aModel.m_target;
  return isObserved && isDue && !isGivenUp &&
         aEngine.m_order == OrderState::None &&
         aEngine.m_weights != aModel.m_target;
}

void
Rollout::StepModel(TimePoint aNow,
                   const Configuration& aConfiguration,
                   const ModelConfig& aModel,
                   std::vector<RolloutAction>& aActions)
{
  EngineCounts counts = CountEngines(aConfiguration, aModel);
  const bool isSwitched = aModel.m_weights == aModel.m_target;
  if (!isSwitched && counts.m_total > 0 &&
      counts.m_ready * 2 >= counts.m_total) {
    aActions.emplace_back(SwitchWeights{ aModel.m_name, aModel.m_target });
    return;
  }
  for (const auto& [id, config] : aConfiguration.m_engines) {
    Engine& engine = m_engines.at(id);
    const bool isCandidate =
      config.m_model == aModel.m_name && CanOrder(aNow, engine, aModel);
    if (!isCandidate || ActiveOrders() >= MaxConcurrentLoads(counts)) {
      continue;
    }
    // A serving engine gets an order only if half of the engines continue to
    // serve. Half is rounded down: with an odd number of engines, no sequence
    // of loads can keep more serving.
    const bool isServing = engine.m_weights == aModel.m_weights;
    const bool isSpare =
      counts.m_total == 1 || counts.m_serving - 1 >= counts.m_total / 2;
    if (isServing && !isSpare) {
      continue;
    }
    counts.m_serving -= isServing ? 1 : 0;
    engine.m_order = OrderState::AwaitingNumber;
    engine.m_orderStarted = aNow;
    engine.m_orderedTarget = aModel.m_target;
    aActions.emplace_back(RequestOrderNumber{ id, aModel.m_target });
  }
}

int
Rollout::MaxConcurrentLoads(const EngineCounts& aCounts) const
{
  const int share = static_cast<int>(m_options.m_loadShare * aCounts.m_total);
  return std::max(m_options.m_maxConcurrentLoads, share);
}

int
Rollout::ActiveOrders() const
{
  return static_cast<int>(
    std::count_if(m_engines.begin(), m_engines.end(), [](const auto& aEach) {
      return aEach.second.m_order != OrderState::None;
    }));
}

void
Rollout::OnObserved(TimePoint aNow,
                    const EngineId& aEngine,
                    const EngineObservation& aObservation)
{
  const auto found = m_engines.find(aEngine);
  if (found == m_engines.end()) {
    return;
  }
  Engine& engine = found->second;
  if (engine.m_order == OrderState::Loading) {
    const bool hasTarget = aObservation.m_weights == engine.m_orderedTarget;
    const bool isOverdue = aNow >= engine.m_orderStarted + kLoadReportLag;
    if (aObservation.m_isBusy || (!hasTarget && !isOverdue)) {
      return;
    }
    engine.m_order = OrderState::None;
    engine.m_failures = hasTarget ? 0 : engine.m_failures + 1;
  }
  engine.m_weights = aObservation.m_weights;
  engine.m_sequence = aObservation.m_sequence;
  engine.m_observedAt = aNow;
  // An observation made while an order may be in flight does not permit
  // another order.
  if (aNow >= engine.m_earliestOrder && !aObservation.m_isBusy) {
    engine.m_needsObservation = false;
  }
}

std::vector<RolloutAction>
Rollout::OnOrderNumberAssigned(TimePoint aNow,
                               const EngineId& aEngine,
                               const std::string& aTarget,
                               std::uint64_t aNumber)
{
  const auto found = m_engines.find(aEngine);
  const bool isExpected = found != m_engines.end() &&
                          found->second.m_order == OrderState::AwaitingNumber;
  if (!isExpected) {
    return {};
  }
  found->second.m_order = OrderState::Sent;
  found->second.m_orderStarted = aNow;
  return { SendOrder{ aEngine, aNumber, aTarget, found->second.m_sequence } };
}

void
Rollout::OnOrderEnded(TimePoint aNow,
                      const EngineId& aEngine,
                      OrderOutcome aOutcome)
{
  const auto found = m_engines.find(aEngine);
  if (found == m_engines.end()) {
    return;
  }
  Engine& engine = found->second;
  if (aOutcome == OrderOutcome::Accepted) {
    engine.m_order = OrderState::Loading;
    engine.m_nextObservation = aNow + kLoadPollInterval;
    return;
  }
  engine.m_order = OrderState::None;
  engine.m_nextObservation = aNow;
  engine.m_needsObservation = true;
  engine.m_weights.clear();
  if (aOutcome == OrderOutcome::Done) {
    engine.m_failures = 0;
    engine.m_earliestOrder = aNow;
  } else if (aOutcome == OrderOutcome::Fenced) {
    engine.m_earliestOrder = aNow + kFencedRetryDelay;
  } else {
    ++engine.m_failures;
    // An engine that counts orders rejects a delayed one after a newer one.
    const bool isCounted = engine.m_sequence >= 0;
    const Duration countedDelay = engine.m_failures < m_options.m_maxFailures
                                    ? kCountedRetryDelay
                                    : kRepeatedFailureDelay;
    engine.m_earliestOrder =
      aNow + (isCounted ? countedDelay : m_options.m_orderTimeout);
    engine.m_nextObservation = engine.m_earliestOrder;
  }
}

std::vector<EngineId>
Rollout::GivenUpEngines() const
{
  std::vector<EngineId> engines;
  for (const auto& [id, engine] : m_engines) {
    if (engine.m_failures >= m_options.m_maxFailures) {
      engines.push_back(id);
    }
  }
  return engines;
}

} // namespace fulmarquay
