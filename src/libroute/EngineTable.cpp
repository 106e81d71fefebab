#include "fulmarquay/route/EngineTable.h"

#include <algorithm>
#include <iterator>

namespace fulmarquay {

namespace {

/// Failures since the last success that give the initial backoff; each further
/// one doubles it.
constexpr int kFailuresAtInitialBackoff = 1;
constexpr Duration kInitialBackoff(500'000);
constexpr Duration kMaxBackoff(10'000'000);
constexpr Duration kBusyBackoff(50'000);
constexpr std::size_t kRandomCandidates = 2;

Duration
FailureBackoff(int aFailures)
{
  const int doublings = std::min(aFailures - kFailuresAtInitialBackoff, 5);
  return std::min(kMaxBackoff, kInitialBackoff * (1 << doublings));
}

} // namespace

EngineTable::EngineTable(std::uint64_t aSeed)
  : m_random(aSeed)
{
}

void
EngineTable::Set(const EngineId& aEngine,
                 std::int64_t aSlots,
                 std::int64_t aPrefillPerSecond)
{
  EngineState& state = m_engines[aEngine];
  state.m_slots = aSlots;
  state.m_prefillPerSecond = aPrefillPerSecond;
}

void
EngineTable::Remove(const EngineId& aEngine)
{
  m_engines.erase(aEngine);
}

void
EngineTable::OnReport(TimePoint aNow,
                      const EngineId& aEngine,
                      std::int64_t aRunning,
                      std::int64_t aQueuedTokens,
                      const std::string& aWeights,
                      bool aIsLeaving)
{
  const auto found = m_engines.find(aEngine);
  if (found == m_engines.end()) {
    return;
  }
  EngineState& state = found->second;
  state.m_hasReported = true;
  state.m_reportedRunning = aRunning;
  state.m_reportedQueuedTokens = aQueuedTokens;
  state.m_reportedAt = aNow;
  state.m_weights = aWeights;
  state.m_isLeaving = aIsLeaving;
  state.m_unreportedTokens = 0;
}

void
EngineTable::OnStart(const EngineId& aEngine, std::int64_t aTokens)
{
  const auto found = m_engines.find(aEngine);
  if (found != m_engines.end()) {
    found->second.m_unreportedTokens += aTokens;
    ++found->second.m_ownRunning;
  }
}

void
EngineTable::OnEnd(TimePoint aNow,
                   const EngineId& aEngine,
                   AttemptResult aResult)
{
  const auto found = m_engines.find(aEngine);
  if (found == m_engines.end()) {
    return;
  }
  EngineState& state = found->second;
  state.m_ownRunning = std::max<std::int64_t>(0, state.m_ownRunning - 1);
  if (aResult == AttemptResult::Succeeded) {
    state.m_failures = 0;
  } else if (aResult == AttemptResult::Busy) {
    state.m_backoffUntil = aNow + kBusyBackoff;
  } else {
    ++state.m_failures;
    state.m_backoffUntil = aNow + FailureBackoff(state.m_failures);
  }
}

bool
EngineTable::IsUsable(TimePoint aNow,
                      const EngineId& aEngine,
                      const std::string& aWeights) const
{
  const EngineState* state = Find(aEngine);
  return state != nullptr && state->m_hasReported && !state->m_isLeaving &&
         state->m_weights == aWeights && aNow >= state->m_backoffUntil;
}

Duration
EngineTable::Queue(TimePoint aNow, const EngineId& aEngine) const
{
  constexpr std::int64_t kMicrosPerSecond = 1'000'000;
  const EngineState& state = m_engines.at(aEngine);
  // Assumes that the engine has processed the reported tokens at its prefill
  // rate since the report.
  const std::int64_t sinceReportUs = (aNow - state.m_reportedAt).count();
  const std::int64_t processed =
    sinceReportUs / 1000 * state.m_prefillPerSecond / (kMicrosPerSecond / 1000);
  const std::int64_t queuedTokens =
    std::max<std::int64_t>(0, state.m_reportedQueuedTokens - processed) +
    state.m_unreportedTokens;
  Duration delay(queuedTokens * kMicrosPerSecond / state.m_prefillPerSecond);
  const std::int64_t running =
    std::max(state.m_reportedRunning, state.m_ownRunning);
  if (running >= state.m_slots) {
    // `running - slots + 1` answers must end before a slot is free. The slots
    // work in parallel, and an answer is assumed to hold its slot for 250 ms.
    delay += Duration(kMicrosPerSecond / 4 * (running - state.m_slots + 1) /
                      state.m_slots);
  }
  return delay;
}

std::vector<EngineId>
EngineTable::Candidates(TimePoint aNow,
                        const std::string& aWeights,
                        const std::vector<EngineId>& aHinted)
{
  std::vector<EngineId> chosen;
  const auto add = [&](const EngineId& aEngine) {
    const bool isNew =
      std::find(chosen.begin(), chosen.end(), aEngine) == chosen.end();
    if (isNew && IsUsable(aNow, aEngine, aWeights)) {
      chosen.push_back(aEngine);
    }
  };
  for (const EngineId& engine : aHinted) {
    add(engine);
  }
  std::vector<EngineId> usable;
  for (const auto& [engine, state] : m_engines) {
    if (IsUsable(aNow, engine, aWeights)) {
      usable.push_back(engine);
    }
  }
  std::vector<EngineId> sample;
  std::sample(usable.begin(),
              usable.end(),
              std::back_inserter(sample),
              kRandomCandidates,
              m_random);
  for (const EngineId& engine : sample) {
    add(engine);
  }
  return chosen;
}

const EngineState*
EngineTable::Find(const EngineId& aEngine) const
{
  const auto found = m_engines.find(aEngine);
  return found == m_engines.end() ? nullptr : &found->second;
}

} // namespace fulmarquay
