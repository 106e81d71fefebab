#include "fulmarquay/serve/Placement.h"

#include "fulmarquay/cache/Rendezvous.h"
#include "fulmarquay/core/Digest.h"

#include <algorithm>
#include <limits>

namespace fulmarquay {

namespace {

/// What a running request delays another one, in prompt tokens: it takes part
/// in every step of the batch.
constexpr std::int64_t kRunningTokens = 150;
/// A home worker holds a returning conversation in about every second case:
/// engines' caches are smaller than all conversations.
constexpr std::int64_t kHomeDivisor = 2;
/// Fetching a token from a store against reading it, in percent: a link
/// carries one quicker than an engine reads it, and leaves the engine free.
/// Links between data centres are slower and paid for.
constexpr std::int64_t kNearPercent = 25;
constexpr std::int64_t kFarPercent = 50;
/// A read part is trusted to be cached for this long.
constexpr Duration kPartLife(6'000'000);
constexpr Duration kSweepInterval(2'000'000);
/// From this long after newer weights were named, a request on older ones is
/// worth less to its caller.
constexpr Duration kOldWeightsFree(1'000'000);
/// Prompt tokens that a caller would rather wait for than get old weights.
constexpr std::int64_t kOldWeightsTokens = 1'000;
constexpr std::int64_t kLateWeightsTokens = 30'000;
/// Part of an engine's memory that running requests may hold. Prompts that
/// share parts hold those once, so that all of it may be counted on.
constexpr std::int64_t kMemoryPercent = 100;
/// One more running request at a plain service.
constexpr std::int64_t kServiceCost = 1'000;
constexpr std::int64_t kExcluded = std::numeric_limits<std::int64_t>::max();

/// What entries agree on: the last part that a prompt shares with others.
std::uint64_t
AffinityItem(const Placement::Question& aQuestion)
{
  const std::vector<PromptPart>& parts = aQuestion.m_request->m_parts;
  if (parts.empty()) {
    return Checksum64(aQuestion.m_request->m_id);
  }
  const std::size_t last = parts.size() < 2 ? 0 : parts.size() - 2;
  return Checksum64(parts[last].m_id, Checksum64(aQuestion.m_account));
}

} // namespace

bool
Placement::HasRoom(const WorkerState& aWorker,
                   const Question& aQuestion,
                   const WorkerLoad& aOthers)
{
  // What is not told may be wrong: an own request must not wait for it alone.
  const bool isEmpty =
    aWorker.m_heldTokens == 0 &&
    (aQuestion.m_others == nullptr || aOthers.m_running == 0);
  if (aQuestion.m_memory <= 0 || isEmpty) {
    return true;
  }
  const std::int64_t held =
    aWorker.m_heldTokens + aOthers.m_heldTokens + aQuestion.m_needed;
  return held * 100 <= aQuestion.m_memory * kMemoryPercent;
}

WorkerLoad
Placement::OthersAt(const WorkerState& aWorker,
                    const Question& aQuestion,
                    std::size_t aWorkers)
{
  if (aQuestion.m_others != nullptr) {
    return aQuestion.m_others->OthersAt(aWorker.m_info.m_id);
  }
  // Callers are spread by a hash: the others' load is like the own one. On
  // which workers they hold memory is not known; each counts alike.
  const std::int64_t others = aQuestion.m_entries - 1;
  const auto workers =
    static_cast<std::int64_t>(std::max<std::size_t>(1, aWorkers));
  return { aWorker.m_info.m_id.Value(),
           aWorker.m_running * others,
           aWorker.m_waitingTokens * others,
           aQuestion.m_othersHold / workers };
}

std::int64_t
Placement::UnreadTokens(const WorkerState& aWorker,
                        const Question& aQuestion,
                        Keys& aKeys) const
{
  const RelayRequest& request = *aQuestion.m_request;
  const std::int64_t version = aWorker.m_info.VersionOf(request.m_model);
  const auto [keys, isNew] = aKeys.try_emplace(version);
  if (isNew) {
    keys->second =
      PartKeys(MakeCacheScope(version, aQuestion.m_account), request.m_parts);
  }
  std::int64_t cached = 0;
  const auto known = m_known.find(aWorker.m_info.m_id.Value());
  for (std::size_t i = 0; known != m_known.end() && i < keys->second.size();
       ++i) {
    const auto read = known->second.find(keys->second[i]);
    if (read == known->second.end() ||
        aQuestion.m_now >= read->second + kPartLife) {
      break;
    }
    cached += request.m_parts[i].m_tokens;
  }
  PartMap::Stored stored;
  if (aQuestion.m_parts != nullptr && version >= 0) {
    stored = aQuestion.m_parts->StoredTokens(aQuestion.m_now,
                                             request.m_parts,
                                             keys->second,
                                             aWorker.m_info.m_dataCentre);
  }
  // What the worker keeps itself is not fetched.
  const std::int64_t kept = std::min(cached, stored.m_near + stored.m_far);
  const std::int64_t far = std::max<std::int64_t>(0, stored.m_far - kept);
  const std::int64_t near = std::max<std::int64_t>(
    0, stored.m_near - std::max<std::int64_t>(0, kept - stored.m_far));
  return std::max<std::int64_t>(0,
                                request.m_promptTokens - cached - near - far) +
         (near * kNearPercent + far * kFarPercent) / 100;
}

std::int64_t
Placement::LoadCost(const WorkerState& aWorker,
                    const Question& aQuestion,
                    const WorkerLoad& aOthers,
                    std::uint64_t aItem) const
{
  const std::int64_t running = aWorker.m_running + aOthers.m_running;
  if (!aQuestion.m_hasPrompt) {
    const auto spread = static_cast<std::int64_t>(
      RendezvousWeight(aWorker.m_info.m_id.Value(), aItem) % kServiceCost);
    return running * kServiceCost + spread;
  }
  return aWorker.m_waitingTokens + aOthers.m_waitingTokens +
         running * kRunningTokens;
}

std::int64_t
Placement::AgeCost(const WorkerTable& aWorkers,
                   const WorkerState& aWorker,
                   const Question& aQuestion) const
{
  const std::string& model = aQuestion.m_request->m_model;
  const std::int64_t named = aWorkers.NamedVersion(model);
  const std::int64_t version = aWorker.m_info.VersionOf(model);
  if (version < 0 || version >= named) {
    return 0;
  }
  const Duration age = aQuestion.m_now - aWorkers.NamedSince(model);
  if (age >= aQuestion.m_oldWeightsLimit) {
    return kExcluded;
  }
  return age < kOldWeightsFree ? kOldWeightsTokens : kLateWeightsTokens;
}

Placement::Choice
Placement::Choose(WorkerTable& aWorkers, const Question& aQuestion) const
{
  std::vector<WorkerState*> usable =
    aWorkers.Usable(aQuestion.m_now, aQuestion.m_pool);
  std::erase_if(usable, [&](const WorkerState* aEach) {
    return aQuestion.m_tried.count(aEach->m_info.m_id) != 0;
  });
  const std::uint64_t item = AffinityItem(aQuestion);
  const auto weightOf = [&](const WorkerState* aWorker) {
    return RendezvousWeight(aWorker->m_info.m_id.Value(), item);
  };
  const auto home = std::max_element(
    usable.begin(), usable.end(), [&](const auto* aLeft, const auto* aRight) {
      return weightOf(aLeft) < weightOf(aRight);
    });
  Choice choice;
  Keys keys;
  std::int64_t bestCost = kExcluded;
  for (WorkerState* worker : usable) {
    const std::int64_t age = AgeCost(aWorkers, *worker, aQuestion);
    if (age == kExcluded) {
      continue;
    }
    const WorkerLoad others = OthersAt(*worker, aQuestion, usable.size());
    if (!HasRoom(*worker, aQuestion, others)) {
      choice.m_isFull = true;
      continue;
    }
    const std::int64_t unread =
      aQuestion.m_hasPrompt ? UnreadTokens(*worker, aQuestion, keys) : 0;
    const std::int64_t own =
      worker == *home
        ? std::min(unread, aQuestion.m_request->m_promptTokens / kHomeDivisor)
        : unread;
    const std::int64_t cost =
      own + LoadCost(*worker, aQuestion, others, item) + age;
    if (cost < bestCost) {
      choice.m_worker = worker;
      choice.m_unread = unread;
      bestCost = cost;
    }
  }
  return choice;
}

void
Placement::OnRead(TimePoint aNow,
                  const WorkerState& aWorker,
                  const RelayRequest& aRequest,
                  const std::string& aAccount)
{
  Known& known = m_known[aWorker.m_info.m_id.Value()];
  const std::string scope =
    MakeCacheScope(aWorker.m_info.VersionOf(aRequest.m_model), aAccount);
  for (const std::uint64_t key : PartKeys(scope, aRequest.m_parts)) {
    known[key] = aNow;
  }
  Sweep(aNow);
}

void
Placement::Sweep(TimePoint aNow)
{
  if (aNow < m_nextSweep) {
    return;
  }
  m_nextSweep = aNow + kSweepInterval;
  for (auto& [worker, parts] : m_known) {
    std::erase_if(parts, [&](const auto& aEach) {
      return aNow >= aEach.second + kPartLife;
    });
  }
  std::erase_if(m_known,
                [](const auto& aEach) { return aEach.second.empty(); });
}

} // namespace fulmarquay
