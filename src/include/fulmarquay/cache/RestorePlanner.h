#ifndef FULMARQUAY_CACHE_RESTOREPLANNER_H
#define FULMARQUAY_CACHE_RESTOREPLANNER_H

#include "fulmarquay/core/StrongId.h"
#include "fulmarquay/core/Units.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace fulmarquay {

/// An engine as a candidate of a restore plan.
struct EngineCandidate
{
  EngineId m_engine;
  std::size_t m_cachedPieces = 0; ///< leading pieces in its cache
  Duration m_queueDelay{};        ///< time until it can begin this prompt
  std::int64_t m_prefillPerSecond = 1;
};

/// State of the link to a store, as input of a restore plan.
struct LinkState
{
  StoreId m_store;
  Duration m_backlog{}; ///< time until a new transfer can begin
  std::int64_t m_bytesPerSecond = 1;
};

/// Input of a restore plan: the prompt, its stored pieces, the link and the
/// candidate engines.
struct RestoreInput
{
  Tokens m_promptTokens;
  Tokens m_pieceTokens;
  /// For each complete piece, the bytes of its copy; 0 if no store has one.
  std::vector<std::int64_t> m_copyBytes;
  LinkState m_link;
  std::vector<EngineCandidate> m_engines;
  /// Weight of the time to first token in the cost. 1: only this time counts;
  /// 0: only link time and recomputation time count.
  double m_firstTokenWeight = 0.5;
};

/// The engine that runs a prompt, and which leading pieces of the prompt are
/// imported or recomputed.
struct RestorePlan
{
  std::size_t m_engine = 0;     ///< index into the input's engines
  std::size_t m_importFrom = 0; ///< pieces [from, to) are imported
  std::size_t m_importTo = 0;
  std::int64_t m_importBytes = 0;
  Tokens m_recomputedTokens;
  Duration m_timeToFirstToken{}; ///< expected time to first token
  double m_cost = 0;             ///< weighted seconds
};

/// Policy that chooses a restore plan. Implementations are pure functions.
class RestorePolicy
{
public:
  virtual ~RestorePolicy() = default;
  virtual std::string Name() const = 0;
  /// `aInput` must contain at least one engine.
  virtual RestorePlan Choose(const RestoreInput& aInput) const = 0;
};

/// Minimizes the weighted cost of time to first token, link time and
/// recomputation time over every engine and every split of the chain into
/// cached, imported and recomputed pieces. Import and the prefill of the
/// recomputed part run in parallel.
class CostPolicy : public RestorePolicy
{
public:
  std::string Name() const override { return "cost"; }
  RestorePlan Choose(const RestoreInput& aInput) const override;
};

/// Baseline: the engine with the shortest expected queue, regardless of its
/// cached pieces; never imports.
class RecomputePolicy : public RestorePolicy
{
public:
  std::string Name() const override { return "always-recompute"; }
  RestorePlan Choose(const RestoreInput& aInput) const override;
};

/// Baseline: the engine with the shortest expected queue; imports every
/// consecutive stored piece after its cached ones.
class ImportPolicy : public RestorePolicy
{
public:
  std::string Name() const override { return "always-import"; }
  RestorePlan Choose(const RestoreInput& aInput) const override;
};

/// Baseline: the engine with the most cached pieces; never imports.
class AffinityPolicy : public RestorePolicy
{
public:
  std::string Name() const override { return "engine-affinity"; }
  RestorePlan Choose(const RestoreInput& aInput) const override;
};

/// Creates the policy with a given name: `cost`, `always-recompute`,
/// `always-import` or `engine-affinity`. Throws Error for any other name.
std::unique_ptr<RestorePolicy>
MakeRestorePolicy(const std::string& aName);

/// Computes the plan for one engine and one split: pieces before `aImportTo`
/// that the engine does not hold are imported, the rest is recomputed.
RestorePlan
EvaluatePlan(const RestoreInput& aInput,
             std::size_t aEngine,
             std::size_t aImportTo);

} // namespace fulmarquay

#endif
