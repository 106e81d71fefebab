// Tests of the knowledge of what workers cache, and of its use for placement.
#include <utility>

#include "fulmarquay/serve/LoadExchange.h"
#include "fulmarquay/serve/PartMap.h"
#include "fulmarquay/serve/Placement.h"
#include "fulmarquay/serve/StoreFetchLimiter.h"
#include "fulmarquay/serve/WorkerCaches.h"
#include "relay_test.h"

#include <algorithm>
#include <deque>
#include <list>
#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

// Included last because its macros clash with names in other headers.
#include <criterion/criterion.h>

using namespace fulmarquay;
using namespace fulmarquay::testing;

namespace {

const TimePoint kStart(Duration(1'000'000'000));
const std::string kScope = MakeCacheScope(1, "m", {});

WorkerInfo
WorkerIn(const std::string& aId, const std::string& aDataCentre)
{
  WorkerInfo worker = Worker(aId, 1);
  worker.m_dataCentre = DataCentreId(aDataCentre);
  return worker;
}

WorkerTable
Table(std::vector<WorkerInfo> aWorkers)
{
  WorkerList list;
  list.m_number = 1;
  list.m_workers = std::move(aWorkers);
  WorkerTable table;
  table.Apply(kStart, list);
  return table;
}

/// A worker that has read part 1 at the start.
struct OnePart
{
  OnePart() { m_caches.OnRead(kStart, m_worker, { { 1, 100 } }, 0); }

  WorkerTable m_table = Table({ WorkerIn("w1", "a") });
  const WorkerState& m_worker = *m_table.Find(WorkerId("w1"));
  WorkerCaches m_caches;
};

RelayRequest
PromptOf(const std::string& aSubject, std::int64_t aTokens)
{
  RelayRequest request;
  request.m_id = "r-" + aSubject;
  request.m_model = "m";
  request.m_parts = { { aSubject, aTokens }, { "own-" + aSubject, 100 } };
  request.m_promptTokens = aTokens + 100;
  return request;
}

} // namespace

Test(worker_caches, least_recently_used_parts_leave_a_full_cache)
{
  WorkerTable table = Table({ WorkerIn("w1", "a") });
  const WorkerState& worker = *table.Find(WorkerId("w1"));
  WorkerCaches caches;
  constexpr std::int64_t kCapacity = 250;
  caches.OnRead(kStart, worker, { { 1, 100 } }, kCapacity);
  caches.OnRead(kStart, worker, { { 2, 100 } }, kCapacity);
  caches.OnRead(kStart, worker, { { 1, 100 } }, kCapacity);
  caches.OnRead(kStart, worker, { { 3, 100 } }, kCapacity);
  cr_assert(caches.Holds(kStart, worker, 1));
  cr_assert_not(caches.Holds(kStart, worker, 2));
  cr_assert(caches.Holds(kStart, worker, 3));
  cr_assert(caches.Holders(kStart, table, 2).empty());
  cr_assert_eq(caches.Holders(kStart, table, 3).size(), 1U);
  cr_assert_eq(caches.PartCount(), 2U);
}

Test(worker_caches, the_first_part_of_a_prompt_leaves_last)
{
  WorkerTable table = Table({ WorkerIn("w1", "a") });
  const WorkerState& worker = *table.Find(WorkerId("w1"));
  WorkerCaches caches;
  caches.OnRead(kStart, worker, { { 1, 100 }, { 2, 100 } }, 200);
  caches.OnRead(kStart, worker, { { 3, 100 } }, 200);
  cr_assert(caches.Holds(kStart, worker, 1));
  cr_assert_not(caches.Holds(kStart, worker, 2));
}

Test(worker_caches, a_restarted_or_unlisted_worker_caches_nothing)
{
  WorkerTable table = Table({ WorkerIn("w1", "a"), WorkerIn("w2", "a") });
  WorkerCaches caches;
  for (const char* id : { "w1", "w2" }) {
    caches.OnRead(kStart, *table.Find(WorkerId(id)), { { 1, 100 } }, 0);
  }
  WorkerInfo restarted = WorkerIn("w1", "a");
  restarted.m_createdMs = 5;
  WorkerTable later = Table({ restarted });
  cr_assert_not(caches.Holds(kStart, *later.Find(WorkerId("w1")), 1));
  caches.Sweep(kStart, later);
  cr_assert(caches.Holders(kStart, later, 1).empty());
  cr_assert_eq(caches.PartCount(), 0U);
}

Test(worker_caches, parts_expire_after_their_last_use)
{
  OnePart one;
  const TimePoint later = kStart + Duration(60'000'000);
  cr_assert_not(one.m_caches.Holds(later, one.m_worker, 1));
  one.m_caches.Sweep(later, one.m_table);
  cr_assert(one.m_caches.Holders(later, one.m_table, 1).empty());
  cr_assert_eq(one.m_caches.PartCount(), 0U);
}

Test(worker_caches, parts_expire_sooner_if_reads_of_some_entries_are_unknown)
{
  OnePart one;
  const TimePoint later = kStart + Duration(10'000'000);
  cr_assert(one.m_caches.Holds(later, one.m_worker, 1));
  one.m_caches.SetComplete(false);
  cr_assert_not(one.m_caches.Holds(later, one.m_worker, 1));
}

Test(part_sources, a_part_is_fetched_from_another_worker_without_stores)
{
  PartMap map; // no lease: the stores may not be used
  PartMap::PlanInput input;
  input.m_now = kStart;
  input.m_peerCopies.resize(2);
  input.m_peerCopies[0].m_address = "10.0.0.7:1";
  DispatchParameters parameters;
  parameters.m_cacheScope = kScope;
  map.PlanTransfers(input, PromptOf("x", 500), parameters);
  cr_assert_eq(parameters.m_fetches.at(0).m_address, "10.0.0.7:1");
  cr_assert_eq(parameters.m_fetches.at(0).m_tokens, 0);
  cr_assert(parameters.m_fetches.at(1).m_address.empty());
  cr_assert_eq(parameters.m_fetchDeadlineMs, 0);
  cr_assert(parameters.m_saveAddresses.at(0).empty());
}

Test(part_sources, the_source_with_the_earlier_arrival_is_chosen)
{
  PartMap map;
  map.OnLeaseConfirmed(kStart + Duration(4'000'000), Duration(3'000'000));
  StorePush push;
  push.m_to = 1;
  push.m_hasStores = true;
  // 500 tokens of 100 bytes take 0.4 s at the store.
  push.m_stores = {
    { "s", "10.0.0.8:1", DataCentreId("a"), 10'000, 1'000'000, true, false }
  };
  push.m_changes = { { 0, PartKey(kScope, "x"), 500 } };
  cr_assert(map.Apply(push));
  std::vector<LinkUse> reserved;
  const auto sourceOf = [&](std::int64_t aPeerTimeUs, bool aIsHeld) {
    PartMap::PlanInput input;
    input.m_now = kStart;
    input.m_workersClockMs = 50'000;
    input.m_dataCentre = DataCentreId("a");
    input.m_kvBytesPerToken = 100;
    input.m_peerCopies.resize(2);
    input.m_peerCopies[0] = { aIsHeld, "10.0.0.7:1", Duration(aPeerTimeUs) };
    DispatchParameters parameters;
    parameters.m_cacheScope = kScope;
    reserved = map.PlanTransfers(input, PromptOf("x", 500), parameters);
    return parameters.m_fetches.at(0).m_address;
  };
  cr_assert_eq(sourceOf(100'000, false), "10.0.0.7:1");
  cr_assert_eq(reserved.size(), 1U);
  cr_assert_eq(sourceOf(900'000, false), "10.0.0.8:1");
  // The store's link is busy now.
  cr_assert_eq(sourceOf(500'000, false), "10.0.0.7:1");
  // A part that the worker holds takes no time of a link.
  cr_assert_not(sourceOf(100'000, true).empty());
  cr_assert(reserved.empty());
}

Test(part_sources, link_time_of_other_entries_counts_and_is_bounded)
{
  StoreFetchLimiter limiter;
  const Duration transfer(100'000);
  limiter.OnReservedByOther(kStart, "s", Duration(950'000));
  cr_assert_not(limiter.TryReserve(kStart, "s", transfer, 1));
  cr_assert(limiter.TryReserve(kStart, "t", transfer, 1));
  for (int i = 0; i < 100; ++i) {
    limiter.OnReservedByOther(kStart, "s", Duration(950'000));
  }
  cr_assert(limiter.TryReserve(kStart + Duration(1'000'000), "s", transfer, 1));
}

Test(part_sources, reads_of_other_entries_are_used)
{
  const auto fetchOf = [&](const std::string& aWorker,
                           std::int64_t aCreatedMs,
                           const std::string& aPartScope) {
    Entry reader;
    RouteDocument document = reader.m_flow.Routes().Document();
    document.m_revision = Revision(4);
    document.m_pools["p"].m_engines.m_linkBitsPerSecond = 1'000'000'000;
    reader.AdvanceClock(1);
    reader.m_flow.OnRoutes(
      MakeDelta(reader.m_flow.Routes().Document(), document));
    WorkerLoads loads;
    loads.m_vm = VmId("other");
    loads.m_number = 1;
    loads.m_isSnapshot = true;
    loads.m_reads = {
      { aWorker, aCreatedMs, { { PartKey(aPartScope, "shared"), 80 } } }
    };
    reader.m_flow.OnLoads(loads);
    // Load on its holder makes another worker the better one.
    loads.m_number = 2;
    loads.m_reads.clear();
    loads.m_loads = { { aWorker, 50, 100'000, 0 } };
    reader.m_flow.OnLoads(loads);
    reader.Confirm(2);
    reader.SendRequest("/resumable/x");
    cr_assert_neq(reader.LastWorker(), aWorker);
    const auto& fetches = reader.m_protocol.m_sentParameters.back().m_fetches;
    return fetches.empty() ? std::string() : fetches.at(0).m_address;
  };
  const std::string address = Worker("w2", 1).m_address;
  cr_assert_eq(fetchOf("w2", 0, kScope), address);
  cr_assert_eq(fetchOf("w2", 5, kScope), "", "another incarnation");
  cr_assert_eq(
    fetchOf("w2", 0, MakeCacheScope(2, "m", {})), "", "another weight version");
  cr_assert_eq(
    fetchOf("w2", 0, MakeCacheScope(1, "n", {})), "", "another model");
}

Test(placement, workers_of_the_own_data_centre_are_preferred_at_equal_load)
{
  for (const bool hasPrompt : { true, false }) {
    WorkerTable table =
      Table({ WorkerIn("w1", "a"), WorkerIn("w2", "b"), WorkerIn("w3", "c") });
    const auto chosen = [&](const std::string& aDataCentre) {
      const RelayRequest request = PromptOf("x", 100);
      Placement::Criteria criteria;
      criteria.m_now = kStart;
      criteria.m_pool = PoolId("p");
      criteria.m_request = &request;
      criteria.m_hasPrompt = hasPrompt;
      criteria.m_dataCentre = DataCentreId(aDataCentre);
      return Placement().Choose(table, criteria).m_worker->m_info.m_id;
    };
    cr_assert_eq(chosen("a"), WorkerId("w1"));
    cr_assert_eq(chosen("b"), WorkerId("w2"));
    cr_assert_eq(chosen("c"), WorkerId("w3"));
    table.Find(WorkerId("w2"))->m_running = 4;
    table.Find(WorkerId("w2"))->m_pendingPrefillTokens = 4'000;
    cr_assert_neq(chosen("b"), WorkerId("w2"));
  }
}

namespace {

/// Plays the load of an advice service whose subjects fit into the memory
/// of all engines, not into that of a few: entries place prompts on engines
/// that read them one after the other and drop the least recently used parts.
class CacheLoad
{
public:
  struct Result
  {
    std::int64_t m_firstTokens =
      0; ///< of shared parts, read for the first time
    std::int64_t m_againTokens = 0; ///< read though an engine had read them
    int m_late = 0;                 ///< first events after the target
    int m_requests = 0;
  };

  explicit CacheLoad(bool aExchanges)
    : m_exchanges(aExchanges)
    , m_entries(kEntries)
    , m_engines(kEngines)
  {
    WorkerList list;
    list.m_number = 1;
    for (int i = 0; i < kEngines; ++i) {
      WorkerInfo info =
        WorkerIn("w" + std::to_string(i),
                 std::string(1, static_cast<char>('a' + i % 3)));
      info.m_address = "10.0.0." + std::to_string(i + 1) + ":1";
      list.m_workers.push_back(info);
    }
    for (EntryState& entry : m_entries) {
      entry.m_workers.Apply(m_now, list);
    }
  }

  Result Play()
  {
    for (int tick = 0; tick < kTicks; ++tick) {
      m_now += kTick;
      FinishPrompts();
      for (int i = 0; i < kPromptsPerTick; ++i) {
        Place(m_random() % kEntries, m_random() % kSubjects);
      }
    }
    return m_result;
  }

private:
  static constexpr int kEntries = 6;
  static constexpr int kEngines = 18;
  static constexpr int kTicks = 1'000;
  static constexpr int kPromptsPerTick = 3;
  static constexpr int kSubjects = 60;
  static constexpr Duration kTick{ 20'000 };
  static constexpr std::int64_t kSubjectTokens = 5'000;
  static constexpr std::int64_t kOwnTokens = 1'500;
  static constexpr std::int64_t kEngineTokens = 80'000;
  static constexpr std::int64_t kTokensPerMs = 44;
  static constexpr Duration kFetchTime{ 12'000 };
  static constexpr Duration kTarget{ 600'000 };

  struct EntryState
  {
    WorkerTable m_workers;
    WorkerCaches m_caches;
    PartMap m_map;
    Placement m_placement;
  };

  struct Engine
  {
    std::list<std::uint64_t> m_order; ///< most recently used first
    TimePoint m_freeAt;
  };

  struct Prompt
  {
    std::size_t m_entry;
    WorkerId m_worker;
    std::int64_t m_pendingTokens;
    std::vector<PartRead> m_parts;
    TimePoint m_doneAt;
  };

  static bool Caches(const Engine& aEngine, std::uint64_t aKey)
  {
    return std::find(aEngine.m_order.begin(), aEngine.m_order.end(), aKey) !=
           aEngine.m_order.end();
  }

  Engine& EngineOf(const WorkerId& aWorker)
  {
    return m_engines[static_cast<std::size_t>(
      std::stoi(aWorker.Value().substr(1)))];
  }

  void FinishPrompts()
  {
    for (auto prompt = m_prompts.begin(); prompt != m_prompts.end();) {
      if (prompt->m_doneAt > m_now) {
        ++prompt;
        continue;
      }
      for (std::size_t i = 0; i < m_entries.size(); ++i) {
        EntryState& entry = m_entries[i];
        if (m_exchanges || i == prompt->m_entry) {
          WorkerState& state = *entry.m_workers.Find(prompt->m_worker);
          state.m_running -= 1;
          state.m_pendingPrefillTokens -= prompt->m_pendingTokens;
          entry.m_caches.OnRead(
            m_now, state, prompt->m_parts, kEngineTokens * 8 / 10);
        }
      }
      prompt = m_prompts.erase(prompt);
    }
  }

  void Place(std::size_t aEntry, std::uint64_t aSubject)
  {
    EntryState& entry = m_entries[aEntry];
    const std::string subject = "s" + std::to_string(aSubject);
    RelayRequest request = PromptOf(subject, kSubjectTokens);
    request.m_parts.back() = { "own" + std::to_string(++m_result.m_requests),
                               kOwnTokens };
    request.m_promptTokens = kSubjectTokens + kOwnTokens;
    Placement::Criteria criteria;
    criteria.m_now = m_now;
    criteria.m_pool = PoolId("p");
    criteria.m_request = &request;
    criteria.m_hasPrompt = true;
    criteria.m_entryCount = m_exchanges ? 1 : kEntries;
    criteria.m_caches = &entry.m_caches;
    const Placement::Choice choice =
      entry.m_placement.Choose(entry.m_workers, criteria);
    Run(aEntry, choice, request);
  }

  void Run(std::size_t aEntry,
           const Placement::Choice& aChoice,
           const RelayRequest& aRequest)
  {
    const WorkerId worker = aChoice.m_worker->m_info.m_id;
    const std::uint64_t key = PartKey(kScope, aRequest.m_parts[0].m_id);
    const std::uint64_t ownKey = PartKey(kScope, aRequest.m_parts[1].m_id);
    Engine& engine = EngineOf(worker);
    const bool isKnown = IsFetchable(aEntry, worker, key);
    std::int64_t tokens = kOwnTokens;
    Duration fetch(0);
    if (!Caches(engine, key)) {
      if (isKnown) {
        fetch = kFetchTime;
      } else {
        tokens += kSubjectTokens;
        (m_subjectsRead.insert(key).second ? m_result.m_firstTokens
                                           : m_result.m_againTokens) +=
          kSubjectTokens;
      }
    }
    const Duration reading(tokens * 1'000 / kTokensPerMs);
    engine.m_freeAt = std::max(engine.m_freeAt, m_now) + fetch + reading;
    Use(engine, key);
    Use(engine, ownKey);
    m_result.m_late += engine.m_freeAt - m_now > kTarget ? 1 : 0;
    m_prompts.push_back({ aEntry,
                          worker,
                          aChoice.m_prefillTokens,
                          { { key, kSubjectTokens }, { ownKey, kOwnTokens } },
                          engine.m_freeAt });
    for (std::size_t i = 0; i < m_entries.size(); ++i) {
      if (m_exchanges || i == aEntry) {
        WorkerState& state = *m_entries[i].m_workers.Find(worker);
        state.m_running += 1;
        state.m_pendingPrefillTokens += aChoice.m_prefillTokens;
      }
    }
  }

  /// Whether the entry names a source that still caches the part.
  bool IsFetchable(std::size_t aEntry,
                   const WorkerId& aWorker,
                   std::uint64_t aKey)
  {
    const EntryState& entry = m_entries[aEntry];
    const auto holders = entry.m_caches.Holders(m_now, entry.m_workers, aKey);
    return std::any_of(
      holders.begin(), holders.end(), [&](const WorkerState* aHolder) {
        const WorkerId& id = aHolder->m_info.m_id;
        return id != aWorker && Caches(EngineOf(id), aKey);
      });
  }

  static void Use(Engine& aEngine, std::uint64_t aKey)
  {
    aEngine.m_order.remove(aKey);
    aEngine.m_order.push_front(aKey);
    // A subject and an own part in turn.
    constexpr std::size_t kParts =
      2 * kEngineTokens / (kSubjectTokens + kOwnTokens);
    if (aEngine.m_order.size() > kParts) {
      aEngine.m_order.pop_back();
    }
  }

  bool m_exchanges;
  std::mt19937 m_random{ 7 };
  TimePoint m_now = kStart;
  std::vector<EntryState> m_entries;
  std::vector<Engine> m_engines;
  std::deque<Prompt> m_prompts;
  std::set<std::uint64_t> m_subjectsRead;
  Result m_result;
};

} // namespace

Test(placement, exchanged_reads_spare_callers_most_repeated_reading)
{
  const CacheLoad::Result alone = CacheLoad(false).Play();
  const CacheLoad::Result exchanged = CacheLoad(true).Play();
  cr_assert_lt(exchanged.m_againTokens * 5,
               alone.m_againTokens,
               "%lld of %lld",
               static_cast<long long>(exchanged.m_againTokens),
               static_cast<long long>(alone.m_againTokens));
  cr_assert_leq(exchanged.m_late, alone.m_late);
  cr_assert_lt(exchanged.m_late * 100,
               exchanged.m_requests,
               "%d late of %d",
               exchanged.m_late,
               exchanged.m_requests);
}
