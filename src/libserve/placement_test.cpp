#include <utility>

#include "fulmarquay/serve/LoadExchange.h"
#include "fulmarquay/serve/Placement.h"

#include <algorithm>
#include <map>
#include <string>
#include <vector>

// Last: its macros clash with names in other headers.
#include <criterion/criterion.h>

using namespace fulmarquay;

namespace {

constexpr Duration kMillisecond(1'000);

WorkerList
Workers(int aCount)
{
  WorkerList list;
  list.m_number = 1;
  for (int i = 0; i < aCount; ++i) {
    WorkerInfo info;
    info.m_id = WorkerId("w" + std::to_string(i));
    info.m_pool = PoolId("p");
    info.m_address = "10.0.0." + std::to_string(i + 1) + ":1";
    list.m_workers.push_back(info);
  }
  return list;
}

/// A whole share.
WorkerLoads
Loads(const std::string& aVm, std::vector<WorkerLoad> aLoads)
{
  return { VmId(aVm), 1, true, std::move(aLoads) };
}

/// Entries that place prompts of 10,000 tokens on nine workers, one every
/// 100 ms; each is read 700 ms later.
class Play
{
public:
  explicit Play(bool aTell)
    : m_tell(aTell)
  {
    std::vector<EntryPeer> peers;
    peers.reserve(kEntries);
    for (int i = 0; i < kEntries; ++i) {
      peers.push_back({ VmId("e" + std::to_string(i)),
                        BootId(1),
                        "10.0.1." + std::to_string(i + 1) + ":1" });
    }
    for (const EntryPeer& peer : peers) {
      Entry& entry = m_entries.emplace_back(peer.m_vm);
      entry.m_workers.Apply(m_now, Workers(9));
      entry.m_exchange.SetPartners(peers);
      entry.m_exchange.SetEntries(kEntries);
    }
  }

  /// The most tokens that waited at one worker.
  std::int64_t MostWaiting()
  {
    std::int64_t most = 0;
    for (int tick = 0; tick < 1'000; ++tick) {
      m_now += 10 * kMillisecond;
      Finish();
      Tell();
      if (tick % 10 == 0) {
        Place(static_cast<std::size_t>(tick / 10 * 5 % kEntries), tick);
      }
      for (const auto& [worker, tokens] : m_waiting) {
        most = std::max(most, tokens);
      }
    }
    return most;
  }

private:
  static constexpr int kEntries = 6;
  static constexpr std::int64_t kTokens = 10'000;

  struct Entry
  {
    explicit Entry(VmId aVm)
      : m_exchange(std::move(aVm))
    {
    }
    WorkerTable m_workers;
    LoadExchange m_exchange;
    Placement m_placement;
  };

  struct Run
  {
    std::size_t m_entry;
    WorkerId m_worker;
    TimePoint m_read;
  };

  void Change(std::size_t aEntry, const WorkerId& aWorker, int aSign)
  {
    WorkerState& state = *m_entries[aEntry].m_workers.Find(aWorker);
    state.m_running += aSign;
    state.m_waitingTokens += aSign * kTokens;
    m_waiting[aWorker] += aSign * kTokens;
  }

  void Finish()
  {
    while (!m_runs.empty() && m_runs.front().m_read <= m_now) {
      Change(m_runs.front().m_entry, m_runs.front().m_worker, -1);
      m_runs.erase(m_runs.begin());
    }
  }

  void Tell()
  {
    for (Entry& entry : m_entries) {
      const auto share = entry.m_exchange.TakeShare(m_now, entry.m_workers);
      for (std::size_t i = 0; m_tell && share && i < m_entries.size(); ++i) {
        m_entries[i].m_exchange.OnLoads(m_now, *share);
      }
    }
  }

  void Place(std::size_t aEntry, int aNumber)
  {
    Entry& entry = m_entries[aEntry];
    RelayRequest request;
    request.m_parts = { { "s" + std::to_string(aNumber), 9'000 },
                        { "own" + std::to_string(aNumber), 1'000 } };
    request.m_promptTokens = kTokens;
    Placement::Question question;
    question.m_now = m_now;
    question.m_pool = PoolId("p");
    question.m_request = &request;
    question.m_hasPrompt = true;
    question.m_entries = kEntries;
    question.m_others =
      entry.m_exchange.IsKnown() ? &entry.m_exchange : nullptr;
    const Placement::Choice choice =
      entry.m_placement.Choose(entry.m_workers, question);
    const WorkerId worker = choice.m_worker->m_info.m_id;
    Change(aEntry, worker, 1);
    m_runs.push_back({ aEntry, worker, m_now + 700 * kMillisecond });
  }

  bool m_tell;
  TimePoint m_now{ Duration(1'000'000'000) };
  std::vector<Entry> m_entries;
  std::vector<Run> m_runs;
  std::map<WorkerId, std::int64_t> m_waiting;
};

} // namespace

Test(placement, entries_that_tell_each_other_don_t_collide)
{
  cr_assert_geq(Play(false).MostWaiting(), 20'000, "the load shows the fault");
  cr_assert_eq(Play(true).MostWaiting(), 10'000);
}

Test(load_exchange, each_picture_takes_the_place_of_the_last_one)
{
  LoadExchange exchange(VmId("self"));
  exchange.SetEntries(3);
  const TimePoint now(Duration(1'000'000'000));
  cr_assert_not(exchange.IsKnown());
  exchange.OnLoads(now, Loads("a", { { "w", 2, 300, 900 } }));
  exchange.OnLoads(now, Loads("b", { { "w", 1, 50, 100 }, { "v", 1, 0, 7 } }));
  exchange.OnLoads(now, Loads("self", { { "w", 9, 9, 9 } }));
  cr_assert(exchange.IsKnown());
  cr_assert_eq(exchange.OthersAt(WorkerId("w")).m_running, 3);
  cr_assert_eq(exchange.OthersAt(WorkerId("w")).m_waitingTokens, 350);
  exchange.OnLoads(now, Loads("a", {}));
  cr_assert_eq(exchange.OthersAt(WorkerId("w")).m_heldTokens, 100);
  cr_assert_eq(exchange.OthersAt(WorkerId("v")).m_heldTokens, 7);
  exchange.SetEntries(5);
  cr_assert_eq(
    exchange.OthersAt(WorkerId("v")).m_heldTokens, 14, "two did not tell");
}

Test(load_exchange, a_silent_entry_counts_no_longer)
{
  LoadExchange exchange(VmId("self"));
  exchange.SetEntries(2);
  TimePoint now(Duration(1'000'000'000));
  exchange.OnLoads(now, Loads("a", { { "w", 2, 300, 900 } }));
  now += 900 * kMillisecond;
  exchange.OnTick(now);
  cr_assert_eq(exchange.OthersAt(WorkerId("w")).m_running, 2);
  now += 200 * kMillisecond;
  exchange.OnTick(now);
  cr_assert_eq(exchange.OthersAt(WorkerId("w")).m_running, 0);
  cr_assert_not(exchange.IsKnown(), "the own load says more than nothing");
  exchange.SetEntries(1);
  cr_assert(exchange.IsKnown(), "there are no others");
}

Test(load_exchange, a_change_counts_only_after_the_share_before_it)
{
  LoadExchange exchange(VmId("self"));
  exchange.SetEntries(2);
  const TimePoint now(Duration(1'000'000'000));
  const auto tell = [&](std::uint64_t aNumber, std::int64_t aRunning) {
    exchange.OnLoads(
      now, { VmId("a"), aNumber, false, { { "w", aRunning, 0, 10 } } });
    return exchange.OthersAt(WorkerId("w")).m_running;
  };
  cr_assert_eq(tell(1, 5), 0, "nothing whole yet");
  exchange.OnLoads(now, Loads("a", { { "w", 2, 0, 10 }, { "v", 1, 0, 1 } }));
  cr_assert_eq(tell(2, 3), 3);
  cr_assert_eq(exchange.OthersAt(WorkerId("v")).m_running, 1, "unchanged");
  cr_assert_eq(tell(4, 7), 3, "one is missing");
  cr_assert_eq(tell(3, 0), 0);
  cr_assert_eq(exchange.OthersAt(WorkerId("w")).m_heldTokens, 0);
}

Test(load_exchange, shares_tell_what_changed_and_now_and_then_all)
{
  LoadExchange from(VmId("from"));
  LoadExchange to(VmId("to"));
  to.SetEntries(2);
  from.SetPartners({ { VmId("to"), BootId(1), "10.0.1.1:1" } });
  WorkerTable workers;
  TimePoint now(Duration(1'000'000'000));
  workers.Apply(now, Workers(4));
  std::size_t loads = 0;
  int wholes = 0;
  for (int tick = 0; tick < 300; ++tick) {
    now += 10 * kMillisecond;
    // One worker after the other changes.
    WorkerState& worker =
      *workers.Find(WorkerId("w" + std::to_string(tick / 7 % 4)));
    worker.m_running = tick % 5;
    worker.m_heldTokens = worker.m_running * 100;
    if (const auto share = from.TakeShare(now, workers)) {
      loads += share->m_loads.size();
      wholes += share->m_isWhole ? 1 : 0;
      to.OnLoads(now, *share);
      for (const auto& [id, state] : workers.All()) {
        cr_assert_eq(to.OthersAt(id).m_running, state.m_running);
        cr_assert_eq(to.OthersAt(id).m_heldTokens, state.m_heldTokens);
      }
    }
  }
  cr_assert_eq(wholes, 8);
  cr_assert_leq(loads, 200U, "%zu", loads);
}

Test(load_exchange, shares_are_bounded)
{
  LoadExchange exchange(VmId("self"));
  WorkerTable workers;
  TimePoint now(Duration(1'000'000'000));
  workers.Apply(now, Workers(1));
  bool isBusy = false;
  const auto sharesInSecond = [&] {
    int shares = 0;
    for (int tick = 0; tick < 100; ++tick) {
      now += 10 * kMillisecond;
      workers.Find(WorkerId("w0"))->m_running += isBusy ? 1 : 0;
      shares += exchange.TakeShare(now, workers) ? 1 : 0;
    }
    return shares;
  };
  cr_assert_eq(sharesInSecond(), 0, "nobody to tell");
  std::vector<EntryPeer> partners;
  partners.reserve(40);
  for (int i = 0; i < 40; ++i) {
    partners.push_back(
      { VmId("e" + std::to_string(i)), BootId(1), "10.0.1.1:1" });
  }
  exchange.SetPartners({ partners.front() });
  cr_assert_leq(sharesInSecond(), 3, "an idle entry");
  isBusy = true;
  cr_assert_geq(sharesInSecond(), 20);
  exchange.SetPartners(partners);
  cr_assert_leq(exchange.Partners().size(), 20U);
  // Each of the partners sends as many.
  cr_assert_leq(sharesInSecond() * 20, 200);
}
