#include <utility>

#include "fulmarquay/serve/PartMap.h"
#include "fulmarquay/serve/StoreFetchLimiter.h"

#include <algorithm>
#include <string>

// Included last because its macros clash with names in other headers.
#include <criterion/criterion.h>

using namespace fulmarquay;

namespace {

constexpr Duration kMillisecond(1'000);

StorePush
Push(std::uint64_t aFrom, std::uint64_t aTo, std::vector<PartChange> aChanges)
{
  StorePush push;
  push.m_from = aFrom;
  push.m_to = aTo;
  push.m_changes = std::move(aChanges);
  if (aFrom == 0) {
    push.m_hasStores = true;
    push.m_stores = {
      { "a", "10.0.0.8:1", DataCentreId("d1"), 10'000, 1'000, true, false },
      { "b", "10.0.0.9:1", DataCentreId("d2"), 10'000, 1'000, true, false },
    };
  }
  return push;
}

PartMap::PlanInput
MakePlanInput(TimePoint aNow, std::int64_t aClockMs)
{
  PartMap::PlanInput input;
  input.m_now = aNow;
  input.m_workersClockMs = aClockMs;
  input.m_dataCentre = DataCentreId("d1");
  return input;
}

RelayRequest
Prompt()
{
  RelayRequest request;
  request.m_parts = { { "x", 500 }, { "y", 300 }, { "own", 50 } };
  return request;
}

} // namespace

// Guards against lists of stores that are larger than a header field: an
// address is longer than the part that it is listed for.
Test(part_map, transfers_of_a_prompt_of_many_parts_are_bounded)
{
  for (const std::size_t parts : { 2'737UL, 16'384UL, 60'000UL }) {
    PartMap map;
    const TimePoint now(Duration(1'000'000'000));
    map.OnLeaseConfirmed(now + 4'000 * kMillisecond, 3'000 * kMillisecond);
    RelayRequest request;
    std::vector<PartChange> changes;
    for (std::size_t i = 0; i < parts; ++i) {
      request.m_parts.push_back({ std::to_string(i), 1 });
      if (i % 2 == 0) {
        changes.push_back({ 0, PartKey("w1", std::to_string(i)), 1 });
      }
    }
    cr_assert(map.Apply(Push(0, 1, {})));
    cr_assert(map.Apply(Push(1, 2, changes)));
    DispatchParameters parameters;
    parameters.m_cacheScope = "w1";
    map.PlanTransfers(MakePlanInput(now, 50'000), request, parameters);
    const auto hasAddress = [](const auto& aEach) {
      return !aEach.m_address.empty();
    };
    const auto fetches = std::count_if(
      parameters.m_fetches.begin(), parameters.m_fetches.end(), hasAddress);
    const auto saves =
      std::count_if(parameters.m_saveAddresses.begin(),
                    parameters.m_saveAddresses.end(),
                    [](const std::string& aEach) { return !aEach.empty(); });
    cr_assert_leq(fetches, 512);
    cr_assert_leq(saves, 512);
    cr_assert_leq(parameters.m_fetches.size(), 16'384U);
    if (parts < 16'384) {
      cr_assert_eq(parameters.m_fetches.size(), parts, "a place for each part");
      cr_assert(hasAddress(parameters.m_fetches.at(0)), "the first parts");
    }
  }
}

Test(part_map, a_part_is_saved_once_and_then_fetched)
{
  PartMap map;
  const TimePoint now(Duration(1'000'000'000));
  map.OnLeaseConfirmed(now + 4'000 * kMillisecond, 3'000 * kMillisecond);
  cr_assert(map.Apply(Push(0, 1, {})));
  DispatchParameters parameters;
  parameters.m_cacheScope = "w1";
  map.PlanTransfers(MakePlanInput(now, 50'000), Prompt(), parameters);
  cr_assert_not(parameters.m_saveAddresses.at(0).empty());
  cr_assert(parameters.m_saveAddresses.at(2).empty(),
            "the last part is not shared");
  cr_assert_eq(parameters.m_fetchDeadlineMs, 53'000);
  DispatchParameters again;
  again.m_cacheScope = "w1";
  map.PlanTransfers(MakePlanInput(now, 50'000), Prompt(), again);
  cr_assert(again.m_saveAddresses.at(0).empty(), "a save is pending");
  cr_assert(map.Apply(Push(1, 2, { { 1, PartKey("w1", "x"), 500 } })));
  DispatchParameters fetch;
  fetch.m_cacheScope = "w1";
  map.PlanTransfers(MakePlanInput(now, 50'000), Prompt(), fetch);
  cr_assert_eq(fetch.m_fetches.at(0).m_address, "10.0.0.9:1");
  cr_assert_eq(fetch.m_fetches.at(0).m_tokens, 500);
  cr_assert(fetch.m_fetches.at(1).m_address.empty());
  DispatchParameters other;
  other.m_cacheScope = "w2";
  map.PlanTransfers(MakePlanInput(now, 50'000), Prompt(), other);
  cr_assert(other.m_fetches.at(0).m_address.empty(), "another scope");
}

Test(part_map, no_fetch_after_the_lease_or_of_removed_parts)
{
  PartMap map;
  const TimePoint now(Duration(1'000'000'000));
  map.OnLeaseConfirmed(now + 4'000 * kMillisecond, 3'000 * kMillisecond);
  map.Apply(Push(0, 1, { { 0, PartKey("w1", "x"), 500 } }));
  const auto isFetched = [&](TimePoint aNow, std::int64_t aClock) {
    DispatchParameters parameters;
    parameters.m_cacheScope = "w1";
    map.PlanTransfers(MakePlanInput(aNow, aClock), Prompt(), parameters);
    return !parameters.m_fetches.empty() &&
           !parameters.m_fetches[0].m_address.empty();
  };
  cr_assert(isFetched(now, 50'000));
  cr_assert_not(isFetched(now + 4'000 * kMillisecond, 50'000),
                "the lease has expired");
  cr_assert_not(isFetched(now, 0), "the workers' clock is unknown");
  cr_assert_not(map.Apply(Push(7, 8, {})), "the base state does not match");
  map.Apply(Push(1, 2, { { 0, PartKey("w1", "x"), 0 } }));
  cr_assert_not(isFetched(now, 50'000));
  StorePush down = Push(2, 3, { { 0, PartKey("w1", "x"), 500 } });
  down.m_hasStores = true;
  down.m_stores = Push(0, 0, {}).m_stores;
  down.m_stores[0].m_isUp = false;
  map.Apply(down);
  cr_assert_not(isFetched(now, 50'000), "the store is down");
}

Test(part_map, pending_saves_count_against_capacity)
{
  PartMap map;
  const TimePoint now(Duration(1'000'000'000));
  map.OnLeaseConfirmed(now + 4'000 * kMillisecond, 3'000 * kMillisecond);
  StorePush push = Push(0, 1, {});
  push.m_stores.resize(1);
  push.m_stores[0].m_capacity = 1'000;
  map.Apply(push);
  PartMap::PlanInput input = MakePlanInput(now, 50'000);
  input.m_entryCount = 2;
  const auto isSaved = [&](const std::string& aId) {
    RelayRequest request;
    request.m_parts = { { aId, 400 }, { "own", 50 } };
    DispatchParameters parameters;
    parameters.m_cacheScope = "w1";
    map.PlanTransfers(input, request, parameters);
    return !parameters.m_saveAddresses.at(0).empty();
  };
  cr_assert(isSaved("x"));
  cr_assert_not(isSaved("y"), "room is reserved for the other entry's saves");
  map.Apply(Push(1, 2, { { 0, PartKey("w1", "x"), 400 } }));
  cr_assert(isSaved("y"), "the first save is complete");
}

Test(part_map, fetches_are_bounded_by_the_backlog_of_a_stores_link)
{
  PartMap map;
  const TimePoint now(Duration(1'000'000'000));
  map.OnLeaseConfirmed(now + 4'000 * kMillisecond, 3'000 * kMillisecond);
  StorePush push = Push(0, 1, { { 0, PartKey("w1", "x"), 500 } });
  // A part occupies the store's link for 0.4 s.
  push.m_stores[0].m_linkBitsPerSecond = 1'000'000;
  map.Apply(push);
  PartMap::PlanInput input = MakePlanInput(now, 50'000);
  input.m_kvBytesPerToken = 100;
  const auto isFetched = [&] {
    DispatchParameters parameters;
    parameters.m_cacheScope = "w1";
    map.PlanTransfers(input, Prompt(), parameters);
    return !parameters.m_fetches.empty() &&
           !parameters.m_fetches[0].m_address.empty();
  };
  cr_assert(isFetched());
  cr_assert(isFetched(), "the backlog stays below a second");
  cr_assert_not(isFetched(), "the backlog would exceed a second");
}

Test(store_pace, only_a_slow_store_reduces_the_bandwidth)
{
  StoreFetchLimiter limiter;
  const auto serve = [&](std::int64_t aSlowMs, std::int64_t aOtherMs) {
    for (int i = 0; i < 30; ++i) {
      limiter.OnFirstEvent(aSlowMs * kMillisecond, { "a" });
      limiter.OnFirstEvent(aOtherMs * kMillisecond, { "b" });
      limiter.OnFirstEvent(aOtherMs * kMillisecond, {});
    }
  };
  serve(100, 80);
  cr_assert_float_eq(limiter.BandwidthRatio("a"), 1, 1e-9);
  serve(1'500, 1'400);
  serve(1'500, 1'400);
  cr_assert_float_eq(
    limiter.BandwidthRatio("a"), 1, 1e-9, "all requests are late");
  serve(100, 80);
  serve(1'500, 100);
  cr_assert_lt(limiter.BandwidthRatio("a"), 0.2);
  cr_assert_float_eq(limiter.BandwidthRatio("b"), 1, 1e-9);
  serve(100, 80);
  cr_assert_gt(limiter.BandwidthRatio("a"), 0.5, "the bandwidth recovers");
  // Half of all first events are late, regardless of the fetches.
  serve(100, 80);
  for (int i = 0; i < 60; ++i) {
    const std::int64_t time = i % 2 == 0 ? 100 : 900;
    limiter.OnFirstEvent(time * kMillisecond, { "a" });
    limiter.OnFirstEvent(time * kMillisecond, { "b" });
  }
  cr_assert_gt(limiter.BandwidthRatio("a"),
               0.9,
               "engine load must not reduce the bandwidth");
}

Test(store_pace, transfers_are_bounded_by_the_capacity_of_a_link)
{
  // Transfers of 40 ms requested by two entries that share a link: five times
  // as many as it carries in ten seconds.
  StoreFetchLimiter limiter;
  TimePoint now(Duration(1'000'000'000));
  int accepted = 0;
  for (int i = 0; i < 625; ++i) {
    now += 16 * kMillisecond;
    accepted += limiter.TryReserve(now, "a", 40 * kMillisecond, 2) ? 1 : 0;
  }
  // The backlog is bounded by one second.
  cr_assert_leq(accepted, 125 + 13);
  cr_assert_geq(accepted, 120);
  cr_assert(limiter.TryReserve(now, "b", 5'000 * kMillisecond, 2),
            "an idle link");
}
