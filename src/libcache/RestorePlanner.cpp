#include "fulmarquay/cache/RestorePlanner.h"

#include "fulmarquay/core/Error.h"

#include <algorithm>

namespace fulmarquay {

namespace {

constexpr double kMicrosPerSecond = 1e6;

Duration
ProcessingTime(std::int64_t aCount, std::int64_t aPerSecond)
{
  const double seconds =
    static_cast<double>(aCount) /
    static_cast<double>(std::max<std::int64_t>(aPerSecond, 1));
  return Duration(static_cast<std::int64_t>(seconds * kMicrosPerSecond));
}

/// End index of the consecutive pieces from `aFrom` on that have a copy.
std::size_t
ImportableEnd(const RestoreInput& aInput, std::size_t aFrom)
{
  std::size_t to = aFrom;
  while (to < aInput.m_copyBytes.size() && aInput.m_copyBytes[to] > 0) {
    ++to;
  }
  return to;
}

std::size_t
ShortestQueueEngine(const RestoreInput& aInput)
{
  const auto& engines = aInput.m_engines;
  const auto best = std::min_element(
    engines.begin(), engines.end(), [](const auto& aLeft, const auto& aRight) {
      return aLeft.m_queueDelay < aRight.m_queueDelay;
    });
  return static_cast<std::size_t>(best - engines.begin());
}

} // namespace

RestorePlan
EvaluatePlan(const RestoreInput& aInput,
             std::size_t aEngine,
             std::size_t aImportTo)
{
  const EngineCandidate& engine = aInput.m_engines[aEngine];
  RestorePlan plan;
  plan.m_engine = aEngine;
  plan.m_importFrom = engine.m_cachedPieces;
  plan.m_importTo = std::max(aImportTo, engine.m_cachedPieces);
  for (std::size_t i = plan.m_importFrom; i < plan.m_importTo; ++i) {
    plan.m_importBytes += aInput.m_copyBytes[i];
  }
  const auto availablePieces = static_cast<std::int64_t>(plan.m_importTo);
  plan.m_recomputedTokens =
    Tokens(aInput.m_promptTokens.Count() -
           availablePieces * aInput.m_pieceTokens.Count());
  const Duration compute =
    ProcessingTime(plan.m_recomputedTokens.Count(), engine.m_prefillPerSecond);
  const Duration transfer =
    ProcessingTime(plan.m_importBytes, aInput.m_link.m_bytesPerSecond);
  const Duration importDone =
    plan.m_importBytes == 0 ? Duration(0) : aInput.m_link.m_backlog + transfer;
  plan.m_timeToFirstToken = std::max(importDone, engine.m_queueDelay + compute);
  const double weight = aInput.m_firstTokenWeight;
  const auto seconds = [](Duration aTime) {
    return static_cast<double>(aTime.count()) / kMicrosPerSecond;
  };
  // Link time and engine time both delay other requests, so both are weighted
  // equally, in seconds.
  plan.m_cost = weight * seconds(plan.m_timeToFirstToken) +
                (1 - weight) * (seconds(transfer) + seconds(compute));
  return plan;
}

RestorePlan
CostPolicy::Choose(const RestoreInput& aInput) const
{
  RestorePlan best;
  bool hasBest = false;
  for (std::size_t i = 0; i < aInput.m_engines.size(); ++i) {
    const std::size_t from = aInput.m_engines[i].m_cachedPieces;
    const std::size_t last = ImportableEnd(aInput, from);
    for (std::size_t to = from; to <= last; ++to) {
      const RestorePlan plan = EvaluatePlan(aInput, i, to);
      if (!hasBest || plan.m_cost < best.m_cost) {
        best = plan;
        hasBest = true;
      }
    }
  }
  return best;
}

RestorePlan
RecomputePolicy::Choose(const RestoreInput& aInput) const
{
  const std::size_t engine = ShortestQueueEngine(aInput);
  return EvaluatePlan(aInput, engine, aInput.m_engines[engine].m_cachedPieces);
}

RestorePlan
ImportPolicy::Choose(const RestoreInput& aInput) const
{
  const std::size_t engine = ShortestQueueEngine(aInput);
  const std::size_t from = aInput.m_engines[engine].m_cachedPieces;
  return EvaluatePlan(aInput, engine, ImportableEnd(aInput, from));
}

RestorePlan
AffinityPolicy::Choose(const RestoreInput& aInput) const
{
  const auto& engines = aInput.m_engines;
  std::size_t best = ShortestQueueEngine(aInput);
  for (std::size_t i = 0; i < engines.size(); ++i) {
    if (engines[i].m_cachedPieces > engines[best].m_cachedPieces) {
      best = i;
    }
  }
  return EvaluatePlan(aInput, best, engines[best].m_cachedPieces);
}

std::unique_ptr<RestorePolicy>
MakeRestorePolicy(const std::string& aName)
{
  std::unique_ptr<RestorePolicy> policies[] = {
    std::make_unique<CostPolicy>(),
    std::make_unique<RecomputePolicy>(),
    std::make_unique<ImportPolicy>(),
    std::make_unique<AffinityPolicy>(),
  };
  for (std::unique_ptr<RestorePolicy>& policy : policies) {
    if (policy->Name() == aName) {
      return std::move(policy);
    }
  }
  throw Error("choose restore policy", "", "unknown policy " + aName);
}

} // namespace fulmarquay
