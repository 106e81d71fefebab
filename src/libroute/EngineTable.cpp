#include "fulmarquay/route/EngineTable.h"

#include <algorithm>
#include <iterator>

namespace fulmarquay {

namespace {

/// Failures in a row after which an engine gets no new work for a while.
constexpr int kFailuresToBlock = 1;
constexpr Duration kFirstBlock(500'000);
constexpr Duration kLongestBlock(10'000'000);
constexpr Duration kBusyBlock(50'000);
constexpr std::size_t kRandomCandidates = 2;

Duration
BlockTime(int aFailures)
{
  const int doublings = std::min(aFailures - kFailuresToBlock, 5);
  return std::min(kLongestBlock, kFirstBlock * (1 << doublings));
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
  const auto place = m_engines.find(aEngine);
  if (place == m_engines.end()) {
    return;
  }
  EngineState& state = place->second;
  state.m_isKnown = true;
  state.m_reportedRunning = aRunning;
  state.m_reportedTokens = aQueuedTokens;
  state.m_reportedAt = aNow;
  state.m_weights = aWeights;
  state.m_isLeaving = aIsLeaving;
  state.m_ownNewTokens = 0;
}

void
EngineTable::OnStart(const EngineId& aEngine, std::int64_t aTokens)
{
  const auto place = m_engines.find(aEngine);
  if (place != m_engines.end()) {
    place->second.m_ownNewTokens += aTokens;
    ++place->second.m_ownRunning;
  }
}

void
EngineTable::OnEnd(TimePoint aNow,
                   const EngineId& aEngine,
                   AttemptResult aResult)
{
  const auto place = m_engines.find(aEngine);
  if (place == m_engines.end()) {
    return;
  }
  EngineState& state = place->second;
  state.m_ownRunning = std::max<std::int64_t>(0, state.m_ownRunning - 1);
  if (aResult == AttemptResult::Good) {
    state.m_failures = 0;
  } else if (aResult == AttemptResult::Busy) {
    state.m_blockedUntil = aNow + kBusyBlock;
  } else {
    ++state.m_failures;
    state.m_blockedUntil = aNow + BlockTime(state.m_failures);
  }
}

bool
EngineTable::IsUsable(TimePoint aNow,
                      const EngineId& aEngine,
                      const std::string& aWeights) const
{
  const EngineState* state = Find(aEngine);
  return state != nullptr && state->m_isKnown && !state->m_isLeaving &&
         state->m_weights == aWeights && aNow >= state->m_blockedUntil;
}

Duration
EngineTable::Queue(TimePoint aNow, const EngineId& aEngine) const
{
  constexpr std::int64_t kMicrosPerSecond = 1'000'000;
  const EngineState& state = m_engines.at(aEngine);
  // What was reported has been worked off at the prefill rate since.
  const std::int64_t since = (aNow - state.m_reportedAt).count();
  const std::int64_t done =
    since / 1000 * state.m_prefillPerSecond / (kMicrosPerSecond / 1000);
  const std::int64_t tokens =
    std::max<std::int64_t>(0, state.m_reportedTokens - done) +
    state.m_ownNewTokens;
  Duration queue(tokens * kMicrosPerSecond / state.m_prefillPerSecond);
  const std::int64_t running =
    std::max(state.m_reportedRunning, state.m_ownRunning);
  if (running >= state.m_slots) {
    // All slots taken: one is free after about one more answer.
    queue += Duration(kMicrosPerSecond / 4 * (running - state.m_slots + 1) /
                      state.m_slots);
  }
  return queue;
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
  const auto place = m_engines.find(aEngine);
  return place == m_engines.end() ? nullptr : &place->second;
}

} // namespace fulmarquay
