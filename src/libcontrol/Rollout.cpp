#include "fulmarquay/control/Rollout.h"

#include <algorithm>
#include <utility>

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
/// The same for a model once it has failed RolloutOptions::m_maxFailures orders
/// in a row.
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
  Engine& engine = m_engines[aConfig.m_id];
  engine.m_checksFencing = aConfig.m_checksFencing;
  std::erase_if(engine.m_models, [&](const auto& aEach) {
    return aConfig.m_models.count(aEach.first) == 0;
  });
  bool hasTargets = true;
  for (const auto& [name, listed] : aConfig.m_models) {
    const auto [loaded, isNew] = engine.m_models.try_emplace(name);
    if (isNew) {
      loaded->second.m_weights = listed;
    }
    const auto model = aConfiguration.m_models.find(name);
    const bool isOutdated = SyncModel(
      aNow,
      listed,
      model == aConfiguration.m_models.end() ? nullptr : &model->second,
      loaded->second);
    engine.m_needsObservation |= isOutdated;
    hasTargets = hasTargets && loaded->second.m_hasTarget;
  }
  if (hasTargets && !engine.m_hasTargets) {
    engine.m_nextObservation = aNow + kIdleObserveInterval;
  } else if (engine.m_hasTargets && !hasTargets) {
    engine.m_nextObservation = aNow;
  } else if (!hasTargets) {
    // An observation permits an order for a short time only.
    const TimePoint latest =
      std::max(aNow, engine.m_earliestOrder) + m_options.m_observeInterval;
    engine.m_nextObservation = std::min(engine.m_nextObservation, latest);
  }
  engine.m_hasTargets = hasTargets;
}

bool
Rollout::SyncModel(TimePoint aNow,
                   const std::string& aListed,
                   const ModelConfig* aModel,
                   LoadedModel& aLoaded)
{
  const bool hadTarget = aLoaded.m_hasTarget;
  aLoaded.m_hasTarget =
    aModel != nullptr && aLoaded.m_weights == aModel->m_target;
  if (aLoaded.m_hasTarget && !hadTarget) {
    aLoaded.m_targetReachedAt = aNow;
  }
  // The VM list still contradicts the known version after its maximum lag: the
  // engine restarted.
  const bool isContradicted = aLoaded.m_hasTarget && !aListed.empty() &&
                              aListed != aLoaded.m_weights &&
                              aNow >= aLoaded.m_targetReachedAt + kListLag;
  if (isContradicted) {
    aLoaded.m_weights.clear();
    aLoaded.m_hasTarget = false;
  }
  return isContradicted;
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
      Duration interval = engine.m_hasTargets ? kIdleObserveInterval
                                              : m_options.m_observeInterval;
      interval = isLoading ? kLoadPollInterval : interval;
      engine.m_nextObservation = aNow + interval;
      actions.emplace_back(ObserveEngine{ id });
    }
  }
  std::vector<Candidate> candidates;
  for (const auto& [name, model] : aConfiguration.m_models) {
    const EngineCounts counts = CountEngines(aConfiguration, model);
    const bool isSwitched = model.m_weights == model.m_target;
    if (!isSwitched && counts.m_total > 0 &&
        counts.m_ready * 2 >= counts.m_total) {
      actions.emplace_back(SwitchWeights{ model.m_name, model.m_target });
      continue;
    }
    CollectCandidates(aNow, aConfiguration, model, candidates);
  }
  RequestOrders(aNow, aConfiguration, std::move(candidates), actions);
  return actions;
}

Rollout::EngineCounts
Rollout::CountEngines(const Configuration& aConfiguration,
                      const ModelConfig& aModel) const
{
  EngineCounts counts;
  for (const auto& [id, config] : aConfiguration.m_engines) {
    if (config.m_models.count(aModel.m_name) == 0) {
      continue;
    }
    const Engine& engine = m_engines.at(id);
    const std::string& weights = engine.m_models.at(aModel.m_name).m_weights;
    // An order does not affect the other models of its engine.
    const bool isOrdered = engine.m_order != OrderState::None &&
                           engine.m_orderedModel == aModel.m_name;
    ++counts.m_total;
    counts.m_active += isOrdered ? 1 : 0;
    counts.m_serving += !isOrdered && weights == aModel.m_weights ? 1 : 0;
    counts.m_ready += !isOrdered && weights == aModel.m_target ? 1 : 0;
  }
  return counts;
}

bool
Rollout::CanOrder(TimePoint aNow,
                  const Engine& aEngine,
                  const ModelConfig& aModel) const
{
  const LoadedModel& loaded = aEngine.m_models.at(aModel.m_name);
  const bool isObserved = !aEngine.m_needsObservation &&
                          aNow < aEngine.m_observedAt + kObservationTtl;
  const bool isDue =
    aNow >= aEngine.m_earliestOrder && aNow >= loaded.m_earliestOrder &&
    (aEngine.m_checksFencing || aNow >= m_earliestUnfencedOrder);
  // An engine that counts orders executes none twice, so that it is safe to try
  // again.
  const bool isGivenUp = aEngine.m_sequence < 0 &&
                         loaded.m_failures >= m_options.m_maxFailures &&
                         loaded.m_orderedTarget == aModel.m_target;
  return isObserved && isDue && !isGivenUp &&
         aEngine.m_order == OrderState::None &&
         loaded.m_weights != aModel.m_target;
}

void
Rollout::CollectCandidates(TimePoint aNow,
                           const Configuration& aConfiguration,
                           const ModelConfig& aModel,
                           std::vector<Candidate>& aCandidates) const
{
  for (const auto& [id, config] : aConfiguration.m_engines) {
    const Engine& engine = m_engines.at(id);
    if (config.m_models.count(aModel.m_name) != 0 &&
        CanOrder(aNow, engine, aModel)) {
      const LoadedModel& loaded = engine.m_models.at(aModel.m_name);
      aCandidates.push_back({ loaded.m_lastOrder, &aModel, id });
    }
  }
}

void
Rollout::RequestOrders(TimePoint aNow,
                       const Configuration& aConfiguration,
                       std::vector<Candidate> aCandidates,
                       std::vector<RolloutAction>& aActions)
{
  // The least recently ordered first, so that failing loads of one model do not
  // hold up the others of an engine.
  std::stable_sort(aCandidates.begin(),
                   aCandidates.end(),
                   [](const Candidate& aLeft, const Candidate& aRight) {
                     return aLeft.m_lastOrder < aRight.m_lastOrder;
                   });
  std::map<std::string, EngineCounts> countsByModel;
  for (const Candidate& candidate : aCandidates) {
    const ModelConfig& model = *candidate.m_model;
    const auto [entry, isNew] = countsByModel.try_emplace(model.m_name);
    EngineCounts& counts = entry->second;
    if (isNew) {
      counts = CountEngines(aConfiguration, model);
    }
    Engine& engine = m_engines.at(candidate.m_engine);
    LoadedModel& loaded = engine.m_models.at(model.m_name);
    if (engine.m_order != OrderState::None ||
        counts.m_active >= MaxConcurrentLoads(counts)) {
      continue;
    }
    // A serving engine gets an order only if half of the engines continue to
    // serve. Half is rounded down: with an odd number of engines, no sequence
    // of loads can keep more serving.
    const bool isServing = loaded.m_weights == model.m_weights;
    const bool isSpare =
      counts.m_total == 1 || counts.m_serving - 1 >= counts.m_total / 2;
    if (isServing && !isSpare) {
      continue;
    }
    counts.m_serving -= isServing ? 1 : 0;
    ++counts.m_active;
    engine.m_order = OrderState::AwaitingNumber;
    engine.m_orderedModel = model.m_name;
    engine.m_orderStarted = aNow;
    loaded.m_orderedTarget = model.m_target;
    loaded.m_lastOrder = aNow;
    aActions.emplace_back(
      RequestOrderNumber{ candidate.m_engine, model.m_name, model.m_target });
  }
}

int
Rollout::MaxConcurrentLoads(const EngineCounts& aCounts) const
{
  const int share = static_cast<int>(m_options.m_loadShare * aCounts.m_total);
  return std::max(m_options.m_maxConcurrentLoads, share);
}

void
Rollout::RecordFailure(TimePoint aNow, Engine& aEngine) const
{
  const auto ordered = aEngine.m_models.find(aEngine.m_orderedModel);
  if (ordered != aEngine.m_models.end()) {
    ++ordered->second.m_failures;
  }
  // An engine that counts orders rejects a delayed one after a newer one.
  if (aEngine.m_sequence < 0) {
    return;
  }
  aEngine.m_earliestOrder = aNow + kCountedRetryDelay;
  if (ordered != aEngine.m_models.end() &&
      ordered->second.m_failures >= m_options.m_maxFailures) {
    ordered->second.m_earliestOrder = aNow + kRepeatedFailureDelay;
  }
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
  const auto versionOf = [&](const std::string& aModel) {
    const auto weights = aObservation.m_weights.find(aModel);
    return weights == aObservation.m_weights.end() ? std::string()
                                                   : weights->second;
  };
  if (engine.m_order == OrderState::Loading) {
    const auto ordered = engine.m_models.find(engine.m_orderedModel);
    const bool hasTarget =
      ordered != engine.m_models.end() &&
      versionOf(ordered->first) == ordered->second.m_orderedTarget;
    const bool isOverdue = aNow >= engine.m_orderStarted + kLoadReportLag;
    if (aObservation.m_isBusy || (!hasTarget && !isOverdue)) {
      return;
    }
    engine.m_order = OrderState::None;
    if (!hasTarget) {
      RecordFailure(aNow, engine);
    }
  }
  for (auto& [model, loaded] : engine.m_models) {
    loaded.m_weights = versionOf(model);
    if (loaded.m_weights == loaded.m_orderedTarget) {
      // Also if the load took longer than the timeout of its order.
      loaded.m_failures = 0;
    }
  }
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
  if (found == m_engines.end()) {
    return {};
  }
  Engine& engine = found->second;
  const auto ordered = engine.m_models.find(engine.m_orderedModel);
  // The number of an earlier order may be committed after its timeout, when the
  // engine waits for another one.
  const bool isExpected = engine.m_order == OrderState::AwaitingNumber &&
                          ordered != engine.m_models.end() &&
                          ordered->second.m_orderedTarget == aTarget;
  if (!isExpected) {
    return {};
  }
  engine.m_order = OrderState::Sent;
  engine.m_orderStarted = aNow;
  return { SendOrder{
    aEngine, aNumber, engine.m_orderedModel, aTarget, engine.m_sequence } };
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
  const auto ordered = engine.m_models.find(engine.m_orderedModel);
  if (ordered != engine.m_models.end()) {
    ordered->second.m_weights.clear();
    if (aOutcome == OrderOutcome::Done) {
      ordered->second.m_failures = 0;
    }
  }
  if (aOutcome == OrderOutcome::Done) {
    engine.m_earliestOrder = aNow;
  } else if (aOutcome == OrderOutcome::Fenced) {
    engine.m_earliestOrder = aNow + kFencedRetryDelay;
  } else {
    RecordFailure(aNow, engine);
    if (engine.m_sequence < 0) {
      engine.m_earliestOrder = aNow + m_options.m_orderTimeout;
    }
    engine.m_nextObservation = engine.m_earliestOrder;
  }
}

std::vector<EngineId>
Rollout::GivenUpEngines() const
{
  std::vector<EngineId> engines;
  for (const auto& [id, engine] : m_engines) {
    const bool isGivenUp = std::any_of(
      engine.m_models.begin(), engine.m_models.end(), [&](const auto& aEach) {
        return aEach.second.m_failures >= m_options.m_maxFailures;
      });
    if (isGivenUp) {
      engines.push_back(id);
    }
  }
  return engines;
}

} // namespace fulmarquay
