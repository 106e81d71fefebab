#include "fulmarquay/control/Rollout.h"

#include <algorithm>

namespace fulmarquay {

namespace {

/// An order that was accepted is looked after this often, and is given up
/// when the engine is idle without the weights after the second one, which
/// covers the lag of what engines report.
constexpr Duration kLoadingInterval(150'000);
constexpr Duration kLoadingPatience(1'500'000);
/// The VM list may be older than a load by this much.
constexpr Duration kListPatience(3'000'000);
/// Before another order to an engine that counts orders.
constexpr Duration kCountedPause(400'000);
/// For engines that have their target: nothing is to be done for them.
constexpr Duration kSettledInterval(30'000'000);
/// An observation older than this says nothing.
constexpr Duration kObservationLife(3'000'000);
constexpr Duration kFencedPause(1'000'000);

} // namespace

Rollout::Rollout(RolloutOptions aOptions)
  : m_options(aOptions)
{
}

void
Rollout::Start(TimePoint aNow, Duration aOldLease)
{
  m_engines.clear();
  const bool isOwn = m_options.m_takeoverWait > Duration(0);
  m_firstOrder = aNow + aOldLease +
                 (isOwn ? m_options.m_takeoverWait : m_options.m_orderTimeout);
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
  const auto [place, isNew] = m_engines.try_emplace(aConfig.m_id);
  Engine& engine = place->second;
  engine.m_checksFencing = aConfig.m_checksFencing;
  const std::string& listed = aConfig.m_listedWeights;
  if (isNew) {
    engine.m_weights = listed;
  }
  const auto model = aConfiguration.m_models.find(aConfig.m_model);
  bool isSettled = model != aConfiguration.m_models.end() &&
                   engine.m_weights == model->second.m_target;
  if (isSettled && !engine.m_isSettled) {
    engine.m_settledAt = aNow;
  }
  // A list that contradicts what was observed long ago: the engine restarted.
  const bool isDoubted = isSettled && !listed.empty() &&
                         listed != engine.m_weights &&
                         aNow >= engine.m_settledAt + kListPatience;
  if (isDoubted) {
    engine.m_weights.clear();
    engine.m_mustObserve = true;
    isSettled = false;
  }
  if (isNew) {
    engine.m_nextObserve =
      isSettled && !listed.empty() ? aNow + kSettledInterval : aNow;
  } else if (engine.m_isSettled && !isSettled) {
    engine.m_nextObserve = aNow;
  }
  engine.m_isSettled = isSettled;
}

std::vector<RolloutAction>
Rollout::Step(TimePoint aNow, const Configuration& aConfiguration)
{
  SyncEngines(aNow, aConfiguration);
  std::vector<RolloutAction> actions;
  for (auto& [id, engine] : m_engines) {
    if (engine.m_order == OrderState::Loading &&
        aNow >= engine.m_orderSince + m_options.m_orderTimeout) {
      OnOrderEnded(aNow, id, OrderEnd::Failed);
    }
    const bool isLoading = engine.m_order == OrderState::Loading;
    const bool isIdle = engine.m_order == OrderState::None;
    if ((isIdle || isLoading) && aNow >= engine.m_nextObserve) {
      Duration pause =
        engine.m_isSettled ? kSettledInterval : m_options.m_observeInterval;
      pause = isLoading ? kLoadingInterval : pause;
      engine.m_nextObserve = aNow + pause;
      actions.emplace_back(ObserveEngine{ id });
    }
  }
  for (const auto& [name, model] : aConfiguration.m_models) {
    StepModel(aNow, aConfiguration, model, actions);
  }
  return actions;
}

Rollout::Group
Rollout::CountGroup(const Configuration& aConfiguration,
                    const ModelConfig& aModel) const
{
  Group group;
  for (const auto& [id, config] : aConfiguration.m_engines) {
    if (config.m_model != aModel.m_name) {
      continue;
    }
    const Engine& engine = m_engines.at(id);
    const bool isIdle = engine.m_order == OrderState::None;
    ++group.m_size;
    group.m_serving += isIdle && engine.m_weights == aModel.m_weights ? 1 : 0;
    group.m_ready += isIdle && engine.m_weights == aModel.m_target ? 1 : 0;
  }
  return group;
}

bool
Rollout::MayOrder(TimePoint aNow,
                  const Engine& aEngine,
                  const ModelConfig& aModel) const
{
  const bool isKnown =
    !aEngine.m_mustObserve && aNow < aEngine.m_observed + kObservationLife;
  const bool isDue = aNow >= aEngine.m_notBefore &&
                     (aEngine.m_checksFencing || aNow >= m_firstOrder);
  const bool isGivenUp = aEngine.m_failures >= m_options.m_mostFailures &&
                         aEngine.m_failedTarget == aModel.m_target;
  return isKnown && isDue && !isGivenUp &&
         aEngine.m_order == OrderState::None &&
         aEngine.m_weights != aModel.m_target;
}

void
Rollout::StepModel(TimePoint aNow,
                   const Configuration& aConfiguration,
                   const ModelConfig& aModel,
                   std::vector<RolloutAction>& aActions)
{
  Group group = CountGroup(aConfiguration, aModel);
  const bool isSwitched = aModel.m_weights == aModel.m_target;
  if (!isSwitched && group.m_size > 0 && group.m_ready * 2 >= group.m_size) {
    aActions.emplace_back(SwitchWeights{ aModel.m_name, aModel.m_target });
    return;
  }
  for (const auto& [id, config] : aConfiguration.m_engines) {
    Engine& engine = m_engines.at(id);
    const bool isWanted =
      config.m_model == aModel.m_name && MayOrder(aNow, engine, aModel);
    if (!isWanted || Loading() >= MostLoading(group)) {
      continue;
    }
    // An engine that serves now is taken only while half of them (rounded
    // down: no order of loads can keep more of an odd number) remain.
    const bool isServing = engine.m_weights == aModel.m_weights;
    const bool isSpare =
      group.m_size == 1 || group.m_serving - 1 >= group.m_size / 2;
    if (isServing && !isSpare) {
      continue;
    }
    group.m_serving -= isServing ? 1 : 0;
    engine.m_order = OrderState::Numbering;
    engine.m_orderSince = aNow;
    engine.m_failedTarget = aModel.m_target;
    aActions.emplace_back(RequestOrder{ id, aModel.m_target });
  }
}

int
Rollout::MostLoading(const Group& aGroup) const
{
  const int share = static_cast<int>(m_options.m_loadShare * aGroup.m_size);
  return std::max(m_options.m_loadsAtOnce, share);
}

int
Rollout::Loading() const
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
  const auto place = m_engines.find(aEngine);
  if (place == m_engines.end()) {
    return;
  }
  Engine& engine = place->second;
  if (engine.m_order == OrderState::Loading) {
    const bool hasTarget = aObservation.m_weights == engine.m_failedTarget;
    const bool isOver = aNow >= engine.m_orderSince + kLoadingPatience;
    if (aObservation.m_isBusy || (!hasTarget && !isOver)) {
      return;
    }
    engine.m_order = OrderState::None;
    engine.m_failures = hasTarget ? 0 : engine.m_failures + 1;
    if (hasTarget) {
      engine.m_nextObserve = aNow + kSettledInterval;
    }
  }
  engine.m_weights = aObservation.m_weights;
  engine.m_sequence = aObservation.m_sequence;
  engine.m_observed = aNow;
  // What was observed while an order may be under way is no ground for
  // another one.
  if (aNow >= engine.m_notBefore && !aObservation.m_isBusy) {
    engine.m_mustObserve = false;
  }
}

std::vector<RolloutAction>
Rollout::OnNumber(TimePoint aNow,
                  const EngineId& aEngine,
                  const std::string& aTarget,
                  std::uint64_t aNumber)
{
  const auto place = m_engines.find(aEngine);
  const bool isWanted =
    place != m_engines.end() && place->second.m_order == OrderState::Numbering;
  if (!isWanted) {
    return {};
  }
  place->second.m_order = OrderState::Sent;
  place->second.m_orderSince = aNow;
  return { SendOrder{ aEngine, aNumber, aTarget, place->second.m_sequence } };
}

void
Rollout::OnOrderEnded(TimePoint aNow, const EngineId& aEngine, OrderEnd aEnd)
{
  const auto place = m_engines.find(aEngine);
  if (place == m_engines.end()) {
    return;
  }
  Engine& engine = place->second;
  if (aEnd == OrderEnd::Accepted) {
    engine.m_order = OrderState::Loading;
    engine.m_nextObserve = aNow + kLoadingInterval;
    return;
  }
  engine.m_order = OrderState::None;
  engine.m_nextObserve = aNow;
  engine.m_mustObserve = true;
  engine.m_weights.clear();
  if (aEnd == OrderEnd::Done) {
    engine.m_failures = 0;
    engine.m_notBefore = aNow;
  } else if (aEnd == OrderEnd::Fenced) {
    engine.m_notBefore = aNow + kFencedPause;
  } else {
    ++engine.m_failures;
    // An engine that counts orders takes no late one after a newer one.
    const bool isCounted = engine.m_sequence >= 0;
    engine.m_notBefore =
      aNow + (isCounted ? kCountedPause : m_options.m_orderTimeout);
    engine.m_nextObserve = engine.m_notBefore;
  }
}

std::vector<EngineId>
Rollout::GivenUp() const
{
  std::vector<EngineId> engines;
  for (const auto& [id, engine] : m_engines) {
    if (engine.m_failures >= m_options.m_mostFailures) {
      engines.push_back(id);
    }
  }
  return engines;
}

} // namespace fulmarquay
