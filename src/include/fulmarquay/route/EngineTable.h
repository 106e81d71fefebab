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

/// Outcome of an attempt on an engine, used to track the engine's health.
enum class AttemptResult
{
  Succeeded,
  Busy,   ///< refused for lack of capacity
  Failed, ///< no connection, broken stream or timeout
};

/// State of one engine as tracked by one entry.
struct EngineState
{
  std::int64_t m_slots = 1;
  std::int64_t m_prefillPerSecond = 1; ///< tokens
  std::string m_weights; ///< as last reported; empty before the first report
  bool m_isLeaving = false;
  bool m_hasReported = false; ///< has reported at least once
  // Load in the last report.
  std::int64_t m_reportedQueuedTokens = 0;
  std::int64_t m_reportedRunning = 0;
  TimePoint m_reportedAt;
  /// Tokens to compute for requests that this entry sent after the last report,
  /// which does not include them.
  std::int64_t m_unreportedTokens = 0;
  std::int64_t m_ownRunning = 0; ///< running requests sent by this entry
  // Health.
  int m_failures = 0; ///< since the last success
  TimePoint m_backoffUntil;
};

/// Load, health and drain state of the engines of a data centre.
///
/// A queue estimate is the reported load plus the work that this entry started
/// since the report, so that one entry does not send all requests to the engine
/// that was idle in its last report. Candidates are the engines named by cache
/// hints and two chosen at random, so that entries with the same reports do not
/// herd on one engine. Does no I/O and reads no clock; deterministic for a
/// given seed. Not thread-safe.
class EngineTable
{
public:
  explicit EngineTable(std::uint64_t aSeed);

  /// Adds an engine of the configuration, or updates its slots and prefill rate
  /// (tokens per second).
  void Set(const EngineId& aEngine,
           std::int64_t aSlots,
           std::int64_t aPrefillPerSecond);
  void Remove(const EngineId& aEngine);

  /// Replaces the reported state; ignored for an unknown engine.
  void OnReport(TimePoint aNow,
                const EngineId& aEngine,
                std::int64_t aRunning,
                std::int64_t aQueuedTokens,
                const std::string& aWeights,
                bool aIsLeaving);

  /// Counts a request that this entry sends, with the tokens to be computed.
  void OnStart(const EngineId& aEngine, std::int64_t aTokens);
  /// Ends a request and updates the engine's health. Busy and Failed start a
  /// backoff.
  void OnEnd(TimePoint aNow, const EngineId& aEngine, AttemptResult aResult);

  /// Whether an engine may get new requests for these weights now: it has
  /// reported, is not leaving, has the weights loaded and is not in backoff.
  bool IsUsable(TimePoint aNow,
                const EngineId& aEngine,
                const std::string& aWeights) const;

  /// Estimates the time until a new prompt could start.
  Duration Queue(TimePoint aNow, const EngineId& aEngine) const;

  /// Returns the usable engines of `aHinted`, then two chosen at random among
  /// all usable engines, without duplicates.
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
