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

/// An engine as a plan sees it.
struct EngineView
{
  EngineId m_engine;
  std::size_t m_cachedPieces = 0; ///< leading pieces that it holds
  Duration m_queue{};             ///< until it can begin with this prompt
  std::int64_t m_prefillPerSecond = 1;
};

/// A link to a store as a plan sees it.
struct LinkView
{
  StoreId m_store;
  Duration m_backlog{}; ///< until it can begin with new bytes
  std::int64_t m_bytesPerSecond = 1;
};

/// What a plan is made for.
struct RestoreQuestion
{
  Tokens m_promptTokens;
  Tokens m_pieceTokens;
  /// For each whole piece: its bytes in a store, 0 when no store has it.
  std::vector<std::int64_t> m_copyBytes;
  LinkView m_link;
  std::vector<EngineView> m_engines;
  /// 1: time to first token only; 0: link use and recomputed share only.
  double m_firstTokenWeight = 0.5;
};

/// Where to run a prompt, and how its head gets there.
struct RestorePlan
{
  std::size_t m_engine = 0;     ///< index into the question's engines
  std::size_t m_importFrom = 0; ///< pieces [from, to) are imported
  std::size_t m_importTo = 0;
  std::int64_t m_importBytes = 0;
  Tokens m_recompute;
  Duration m_firstToken{}; ///< expected
  double m_cost = 0;
};

/// A way to choose a plan. Implementations are pure.
class RestorePolicy
{
public:
  virtual ~RestorePolicy() = default;
  virtual std::string Name() const = 0;
  /// The question holds at least one engine.
  virtual RestorePlan Choose(const RestoreQuestion& aQuestion) const = 0;
};

/// Weighs time to first token against link bytes and recomputed tokens over
/// every engine and every split of the chain into cached, imported and
/// recomputed pieces. Import and the tail's prefill run side by side.
class CostPolicy : public RestorePolicy
{
public:
  std::string Name() const override { return "cost"; }
  RestorePlan Choose(const RestoreQuestion& aQuestion) const override;
};

/// Baseline: least expected queue, never imports, ignores cached pieces.
class RecomputePolicy : public RestorePolicy
{
public:
  std::string Name() const override { return "always-recompute"; }
  RestorePlan Choose(const RestoreQuestion& aQuestion) const override;
};

/// Baseline: least expected queue, imports every piece that a store has.
class ImportPolicy : public RestorePolicy
{
public:
  std::string Name() const override { return "always-import"; }
  RestorePlan Choose(const RestoreQuestion& aQuestion) const override;
};

/// Baseline: the engine with most cached pieces, never imports.
class AffinityPolicy : public RestorePolicy
{
public:
  std::string Name() const override { return "engine-affinity"; }
  RestorePlan Choose(const RestoreQuestion& aQuestion) const override;
};

/// The policy of a name: `cost`, `always-recompute`, `always-import` or
/// `engine-affinity`. Throws Error for another name.
std::unique_ptr<RestorePolicy>
MakeRestorePolicy(const std::string& aName);

/// The plan of one engine and one split: pieces before `aImportTo` that the
/// engine lacks are imported, the rest is recomputed.
RestorePlan
EvaluatePlan(const RestoreQuestion& aQuestion,
             std::size_t aEngine,
             std::size_t aImportTo);

} // namespace fulmarquay

#endif
