#ifndef FULMARQUAY_ROUTE_ENGINETABLE_H
#define FULMARQUAY_ROUTE_ENGINETABLE_H

#include "fulmarquay/core/StrongId.h"
#include "fulmarquay/core/Units.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <random>
#include <string>
#include <vector>

namespace fulmarquay {

/// How an attempt at an engine ended, for its health.
enum class AttemptResult
{
  Good,
  Busy,   ///< it refused for lack of room
  Failed, ///< no connection, broken stream or timeout
};

/// One engine as an entry knows it.
struct EngineState
{
  std::int64_t m_slots = 1;
  std::int64_t m_prefillPerSecond = 1;
  std::string m_weights; ///< as last reported; empty before the first report
  bool m_isLeaving = false;
  bool m_isKnown = false; ///< reported at least once
  // As last reported.
  std::int64_t m_reportedTokens = 0;
  std::int64_t m_reportedRunning = 0;
  TimePoint m_reportedAt;
  // Own work that the last report can't include yet, and own work in all.
  std::int64_t m_ownNewTokens = 0;
  std::int64_t m_ownRunning = 0;
  // Health.
  int m_failures = 0;
  TimePoint m_blockedUntil;
};

/// The engines of a data centre: load, health, leaving state.
///
/// Queue estimates add the own work since the last report to the report, so
/// that one entry does not send everything to the engine that looked idle.
/// Choice among many engines looks at the ones named by cache hints and at
/// two random others, so that entries with the same report do not herd.
/// Pure; the random seed is given. Not thread-safe.
class EngineTable
{
public:
  explicit EngineTable(std::uint64_t aSeed);

  /// Adds or updates an engine from the configuration.
  void Set(const EngineId& aEngine,
           std::int64_t aSlots,
           std::int64_t aPrefillPerSecond);
  void Remove(const EngineId& aEngine);

  void OnReport(TimePoint aNow,
                const EngineId& aEngine,
                std::int64_t aRunning,
                std::int64_t aQueuedTokens,
                const std::string& aWeights,
                bool aIsLeaving);

  void OnStart(const EngineId& aEngine, std::int64_t aTokens);
  void OnEnd(TimePoint aNow, const EngineId& aEngine, AttemptResult aResult);

  /// Whether new work may go there now.
  bool IsUsable(TimePoint aNow,
                const EngineId& aEngine,
                const std::string& aWeights) const;

  /// Until a new prompt could begin, by estimate.
  Duration Queue(TimePoint aNow, const EngineId& aEngine) const;

  /// Usable engines to plan for: all of `aHinted` and two random others.
  std::vector<EngineId> Candidates(TimePoint aNow,
                                   const std::string& aWeights,
                                   const std::vector<EngineId>& aHinted);

  const EngineState* Find(const EngineId& aEngine) const;
  const std::map<EngineId, EngineState>& All() const { return m_engines; }

private:
  std::map<EngineId, EngineState> m_engines;
  std::mt19937_64 m_random;
};

} // namespace fulmarquay

#endif
