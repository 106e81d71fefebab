#include "fulmarquay/route/EngineTable.h"
#include "fulmarquay/route/RetryBudget.h"
#include "fulmarquay/route/TokenBucket.h"

#include <algorithm>
#include <memory>

// Included last because its macros clash with names in other headers.
#include <criterion/criterion.h>

using namespace fulmarquay;

namespace {

TimePoint
At(std::int64_t aMillis)
{
  return TimePoint(Duration(1'000'000'000 + aMillis * 1000));
}

EngineId
Engine(int aNumber)
{
  return EngineId("g" + std::to_string(aNumber));
}

EngineTable
MakeTable(int aEngines)
{
  EngineTable table(7);
  for (int i = 0; i < aEngines; ++i) {
    table.Set(Engine(i), 4, 10'000);
    table.OnReport(At(0), Engine(i), 0, 0, "w1", false);
  }
  return table;
}

} // namespace

Test(token_bucket, grants_its_rate_over_a_long_time)
{
  TokenBucket bucket(1000, 1000, At(0));
  double taken = 0;
  for (std::int64_t now = 0; now <= 10'000; now += 7) {
    taken += bucket.Take(At(now), 300) ? 300 : 0;
  }
  cr_assert_leq(taken, 1000 + 10 * 1000 + 300);
  cr_assert_geq(taken, 10 * 1000 - 300);
}

Test(token_bucket, time_until_gives_the_wait_for_an_amount)
{
  TokenBucket bucket(1000, 1000, At(0));
  cr_assert(bucket.Take(At(0), 1000));
  const Duration wait = bucket.TimeUntil(At(0), 500);
  cr_assert_not(bucket.Take(At(wait.count() / 1000 - 2), 500));
  cr_assert(bucket.Take(At(wait.count() / 1000 + 1), 500));
  // A full bucket grants more than the burst; its level is negative afterwards.
  TokenBucket small(10, 10, At(0));
  cr_assert(small.Take(At(0), 100));
  cr_assert_not(small.Take(At(5000), 1));
}

Test(retry_budget, bounds_retries_to_a_share_of_requests)
{
  RetryBudget budget;
  int retries = 0;
  for (int i = 0; i < 1000; ++i) {
    budget.OnRequest();
    retries += budget.Take() ? 1 : 0;
  }
  cr_assert_leq(retries, 100 + 21);
}

Test(engine_table, usable_engines)
{
  EngineTable table = MakeTable(1);
  cr_assert(table.IsUsable(At(1), Engine(0), "w1"));
  cr_assert_not(table.IsUsable(At(1), Engine(0), "w2"));
  cr_assert_not(table.IsUsable(At(1), Engine(9), "w1"));
  table.Set(Engine(1), 4, 10'000);
  cr_assert_not(table.IsUsable(At(1), Engine(1), "w1"), "never reported");
  table.OnReport(At(1), Engine(0), 0, 0, "w1", true);
  cr_assert_not(table.IsUsable(At(2), Engine(0), "w1"), "leaving");
}

Test(engine_table, a_failing_engine_backs_off_and_recovers)
{
  EngineTable table = MakeTable(1);
  Duration last(0);
  for (int i = 0; i < 4; ++i) {
    table.OnStart(Engine(0), 100);
    table.OnEnd(At(0), Engine(0), AttemptResult::Failed);
    const Duration backoff = table.Find(Engine(0))->m_backoffUntil - At(0);
    cr_assert_gt(backoff, last);
    cr_assert_not(table.IsUsable(At(0), Engine(0), "w1"));
    last = backoff;
  }
  cr_assert(table.IsUsable(At(10'001), Engine(0), "w1"));
  table.OnEnd(At(10'002), Engine(0), AttemptResult::Succeeded);
  cr_assert_eq(table.Find(Engine(0))->m_failures, 0);
}

Test(engine_table, own_requests_count_until_the_next_report)
{
  EngineTable table = MakeTable(1);
  cr_assert_eq(table.Queue(At(1), Engine(0)), Duration(0));
  table.OnStart(Engine(0), 5000);
  cr_assert_eq(table.Queue(At(1), Engine(0)), Duration(500'000));
  table.OnReport(At(2), Engine(0), 1, 4000, "w1", false);
  cr_assert_eq(table.Queue(At(2), Engine(0)), Duration(400'000));
  // The estimate falls as the engine processes tokens after its report.
  cr_assert_eq(table.Queue(At(202), Engine(0)), Duration(200'000));
}

Test(engine_table, entries_with_one_stale_report_do_not_herd)
{
  // 16 entries hold the same report: engine 0 is idle, the other 15 have a
  // small load. Each entry places 4 prompts before the next report.
  constexpr int kEngines = 16;
  constexpr int kEntries = 16;
  std::map<EngineId, int> load;
  for (int entry = 0; entry < kEntries; ++entry) {
    EngineTable table(static_cast<std::uint64_t>(entry) + 1);
    for (int i = 0; i < kEngines; ++i) {
      table.Set(Engine(i), 4, 10'000);
      table.OnReport(At(0), Engine(i), 0, i == 0 ? 0 : 200, "w1", false);
    }
    for (int prompt = 0; prompt < 4; ++prompt) {
      const auto candidates = table.Candidates(At(1), "w1", {});
      const auto best = std::min_element(
        candidates.begin(),
        candidates.end(),
        [&](const EngineId& aLeft, const EngineId& aRight) {
          return table.Queue(At(1), aLeft) < table.Queue(At(1), aRight);
        });
      table.OnStart(*best, 2000);
      ++load[*best];
    }
  }
  // 64 prompts over 16 engines are 4 each. Choosing the least loaded engine by
  // the report alone would send 16 or more to engine 0.
  int most = 0;
  for (const auto& [engine, count] : load) {
    most = std::max(most, count);
  }
  cr_assert_leq(most, 10, "%d", most);
}
