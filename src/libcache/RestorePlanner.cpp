#include "fulmarquay/cache/RestorePlanner.h"

#include "fulmarquay/core/Error.h"

#include <algorithm>

namespace fulmarquay {

namespace {

constexpr double kMicrosPerSecond = 1e6;

Duration
TimeFor(std::int64_t aAmount, std::int64_t aPerSecond)
{
  const double seconds =
    static_cast<double>(aAmount) /
    static_cast<double>(std::max<std::int64_t>(aPerSecond, 1));
  return Duration(static_cast<std::int64_t>(seconds * kMicrosPerSecond));
}

/// Pieces that an unbroken import of the chain could bring from one point on.
std::size_t
ImportableTo(const RestoreQuestion& aQuestion, std::size_t aFrom)
{
  std::size_t to = aFrom;
  while (to < aQuestion.m_copyBytes.size() && aQuestion.m_copyBytes[to] > 0) {
    ++to;
  }
  return to;
}

std::size_t
LeastQueue(const RestoreQuestion& aQuestion)
{
  const auto& engines = aQuestion.m_engines;
  const auto best = std::min_element(
    engines.begin(), engines.end(), [](const auto& aLeft, const auto& aRight) {
      return aLeft.m_queue < aRight.m_queue;
    });
  return static_cast<std::size_t>(best - engines.begin());
}

} // namespace

RestorePlan
EvaluatePlan(const RestoreQuestion& aQuestion,
             std::size_t aEngine,
             std::size_t aImportTo)
{
  const EngineView& engine = aQuestion.m_engines[aEngine];
  RestorePlan plan;
  plan.m_engine = aEngine;
  plan.m_importFrom = engine.m_cachedPieces;
  plan.m_importTo = std::max(aImportTo, engine.m_cachedPieces);
  for (std::size_t i = plan.m_importFrom; i < plan.m_importTo; ++i) {
    plan.m_importBytes += aQuestion.m_copyBytes[i];
  }
  const auto there = static_cast<std::int64_t>(plan.m_importTo);
  plan.m_recompute = Tokens(aQuestion.m_promptTokens.Count() -
                            there * aQuestion.m_pieceTokens.Count());
  const Duration compute =
    TimeFor(plan.m_recompute.Count(), engine.m_prefillPerSecond);
  const Duration transfer =
    TimeFor(plan.m_importBytes, aQuestion.m_link.m_bytesPerSecond);
  const Duration arrival = plan.m_importBytes == 0
                             ? Duration(0)
                             : aQuestion.m_link.m_backlog + transfer;
  plan.m_firstToken = std::max(arrival, engine.m_queue + compute);
  const double weight = aQuestion.m_firstTokenWeight;
  const auto seconds = [](Duration aTime) {
    return static_cast<double>(aTime.count()) / kMicrosPerSecond;
  };
  // Link and engine time both delay others; they count in the same unit.
  plan.m_cost = weight * seconds(plan.m_firstToken) +
                (1 - weight) * (seconds(transfer) + seconds(compute));
  return plan;
}

RestorePlan
CostPolicy::Choose(const RestoreQuestion& aQuestion) const
{
  RestorePlan best;
  bool hasBest = false;
  for (std::size_t i = 0; i < aQuestion.m_engines.size(); ++i) {
    const std::size_t from = aQuestion.m_engines[i].m_cachedPieces;
    const std::size_t last = ImportableTo(aQuestion, from);
    for (std::size_t to = from; to <= last; ++to) {
      const RestorePlan plan = EvaluatePlan(aQuestion, i, to);
      if (!hasBest || plan.m_cost < best.m_cost) {
        best = plan;
        hasBest = true;
      }
    }
  }
  return best;
}

RestorePlan
RecomputePolicy::Choose(const RestoreQuestion& aQuestion) const
{
  const std::size_t engine = LeastQueue(aQuestion);
  return EvaluatePlan(
    aQuestion, engine, aQuestion.m_engines[engine].m_cachedPieces);
}

RestorePlan
ImportPolicy::Choose(const RestoreQuestion& aQuestion) const
{
  const std::size_t engine = LeastQueue(aQuestion);
  const std::size_t from = aQuestion.m_engines[engine].m_cachedPieces;
  return EvaluatePlan(aQuestion, engine, ImportableTo(aQuestion, from));
}

RestorePlan
AffinityPolicy::Choose(const RestoreQuestion& aQuestion) const
{
  const auto& engines = aQuestion.m_engines;
  std::size_t best = LeastQueue(aQuestion);
  for (std::size_t i = 0; i < engines.size(); ++i) {
    if (engines[i].m_cachedPieces > engines[best].m_cachedPieces) {
      best = i;
    }
  }
  return EvaluatePlan(aQuestion, best, engines[best].m_cachedPieces);
}

std::unique_ptr<RestorePolicy>
MakeRestorePolicy(const std::string& aName)
{
  std::unique_ptr<RestorePolicy> known[] = {
    std::make_unique<CostPolicy>(),
    std::make_unique<RecomputePolicy>(),
    std::make_unique<ImportPolicy>(),
    std::make_unique<AffinityPolicy>(),
  };
  for (std::unique_ptr<RestorePolicy>& policy : known) {
    if (policy->Name() == aName) {
      return std::move(policy);
    }
  }
  throw Error("choose restore policy", "", "no policy is called " + aName);
}

} // namespace fulmarquay
