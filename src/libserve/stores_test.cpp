#include <utility>

#include "fulmarquay/serve/PartMap.h"
#include "fulmarquay/serve/StorePace.h"

// Last: its macros clash with names in other headers.
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

PartMap::Reader
ReaderAt(TimePoint aNow, std::int64_t aClockMs)
{
  PartMap::Reader reader;
  reader.m_now = aNow;
  reader.m_clockMs = aClockMs;
  reader.m_dataCentre = DataCentreId("d1");
  return reader;
}

RelayRequest
Prompt()
{
  RelayRequest request;
  request.m_parts = { { "x", 500 }, { "y", 300 }, { "own", 50 } };
  return request;
}

} // namespace

Test(part_map, a_part_is_saved_once_and_fetched_then)
{
  PartMap map;
  const TimePoint now(Duration(1'000'000'000));
  map.OnConfirmed(now + 4'000 * kMillisecond, 3'000 * kMillisecond);
  cr_assert(map.Apply(Push(0, 1, {})));
  RelayOrder order;
  order.m_cacheScope = "w1";
  map.Plan(ReaderAt(now, 50'000), Prompt(), order);
  cr_assert_not(order.m_saves.at(0).empty());
  cr_assert(order.m_saves.at(2).empty(), "the last part is its request's own");
  cr_assert_eq(order.m_fetchUntilMs, 53'000);
  RelayOrder again;
  again.m_cacheScope = "w1";
  map.Plan(ReaderAt(now, 50'000), Prompt(), again);
  cr_assert(again.m_saves.at(0).empty(), "a save is under way");
  cr_assert(map.Apply(Push(1, 2, { { 1, PartKey("w1", "x"), 500 } })));
  RelayOrder fetch;
  fetch.m_cacheScope = "w1";
  map.Plan(ReaderAt(now, 50'000), Prompt(), fetch);
  cr_assert_eq(fetch.m_fetches.at(0).m_address, "10.0.0.9:1");
  cr_assert_eq(fetch.m_fetches.at(0).m_tokens, 500);
  cr_assert(fetch.m_fetches.at(1).m_address.empty());
  RelayOrder other;
  other.m_cacheScope = "w2";
  map.Plan(ReaderAt(now, 50'000), Prompt(), other);
  cr_assert(other.m_fetches.at(0).m_address.empty(), "another scope");
}

Test(part_map, nothing_is_read_beyond_the_lease_or_from_what_is_gone)
{
  PartMap map;
  const TimePoint now(Duration(1'000'000'000));
  map.OnConfirmed(now + 4'000 * kMillisecond, 3'000 * kMillisecond);
  map.Apply(Push(0, 1, { { 0, PartKey("w1", "x"), 500 } }));
  const auto isFetched = [&](TimePoint aNow, std::int64_t aClock) {
    RelayOrder order;
    order.m_cacheScope = "w1";
    map.Plan(ReaderAt(aNow, aClock), Prompt(), order);
    return !order.m_fetches.empty() && !order.m_fetches[0].m_address.empty();
  };
  cr_assert(isFetched(now, 50'000));
  cr_assert_not(isFetched(now + 4'000 * kMillisecond, 50'000), "lease over");
  cr_assert_not(isFetched(now, 0), "no end could be named");
  cr_assert_not(map.Apply(Push(7, 8, {})), "a change for another state");
  map.Apply(Push(1, 2, { { 0, PartKey("w1", "x"), 0 } }));
  cr_assert_not(isFetched(now, 50'000));
  StorePush down = Push(2, 3, { { 0, PartKey("w1", "x"), 500 } });
  down.m_hasStores = true;
  down.m_stores = Push(0, 0, {}).m_stores;
  down.m_stores[0].m_isUp = false;
  map.Apply(down);
  cr_assert_not(isFetched(now, 50'000), "the store is down");
}

Test(part_map, saves_under_way_take_room)
{
  PartMap map;
  const TimePoint now(Duration(1'000'000'000));
  map.OnConfirmed(now + 4'000 * kMillisecond, 3'000 * kMillisecond);
  StorePush push = Push(0, 1, {});
  push.m_stores.resize(1);
  push.m_stores[0].m_capacity = 1'000;
  map.Apply(push);
  PartMap::Reader reader = ReaderAt(now, 50'000);
  reader.m_entries = 2;
  const auto isSaved = [&](const std::string& aId) {
    RelayRequest request;
    request.m_parts = { { aId, 400 }, { "own", 50 } };
    RelayOrder order;
    order.m_cacheScope = "w1";
    map.Plan(reader, request, order);
    return !order.m_saves.at(0).empty();
  };
  cr_assert(isSaved("x"));
  cr_assert_not(isSaved("y"), "the other entry saves as much");
  map.Apply(Push(1, 2, { { 0, PartKey("w1", "x"), 400 } }));
  cr_assert(isSaved("y"), "the first one shows in the map");
}

Test(part_map, a_stores_link_carries_more_than_one_workers_link)
{
  PartMap map;
  const TimePoint now(Duration(1'000'000'000));
  map.OnConfirmed(now + 4'000 * kMillisecond, 3'000 * kMillisecond);
  StorePush push = Push(0, 1, { { 0, PartKey("w1", "x"), 500 } });
  // A part takes 0.4 s of the store's link.
  push.m_stores[0].m_linkBitsPerSecond = 1'000'000;
  map.Apply(push);
  PartMap::Reader reader = ReaderAt(now, 50'000);
  reader.m_tokenBytes = 100;
  const auto isFetched = [&] {
    RelayOrder order;
    order.m_cacheScope = "w1";
    map.Plan(reader, Prompt(), order);
    return !order.m_fetches.empty() && !order.m_fetches[0].m_address.empty();
  };
  cr_assert(isFetched());
  cr_assert(isFetched(), "a second one waits for less than a second");
  cr_assert_not(isFetched(), "a third one waits for too long");
}

Test(store_pace, a_slow_store_gets_less_and_load_alone_changes_nothing)
{
  StorePace pace;
  const auto serve = [&](std::int64_t aSlowMs, std::int64_t aOtherMs) {
    for (int i = 0; i < 30; ++i) {
      pace.OnFirstEvent(aSlowMs * kMillisecond, { "a" });
      pace.OnFirstEvent(aOtherMs * kMillisecond, { "b" });
      pace.OnFirstEvent(aOtherMs * kMillisecond, {});
    }
  };
  serve(100, 80);
  cr_assert_float_eq(pace.SpeedOf("a"), 1, 1e-9);
  serve(1'500, 1'400);
  serve(1'500, 1'400);
  cr_assert_float_eq(pace.SpeedOf("a"), 1, 1e-9, "all are late alike");
  serve(100, 80);
  serve(1'500, 100);
  cr_assert_lt(pace.SpeedOf("a"), 0.2);
  cr_assert_float_eq(pace.SpeedOf("b"), 1, 1e-9);
  serve(100, 80);
  cr_assert_gt(pace.SpeedOf("a"), 0.5, "it recovers");
  // Half of all first events are late, whatever they fetch.
  serve(100, 80);
  for (int i = 0; i < 60; ++i) {
    const std::int64_t time = i % 2 == 0 ? 100 : 900;
    pace.OnFirstEvent(time * kMillisecond, { "a" });
    pace.OnFirstEvent(time * kMillisecond, { "b" });
  }
  cr_assert_gt(pace.SpeedOf("a"), 0.9, "load is not its doing");
}

Test(store_pace, a_link_carries_no_more_than_its_time)
{
  // Transfers of 40 ms, five times as many as one link carries in ten
  // seconds, asked for by two entries that share it.
  StorePace pace;
  TimePoint now(Duration(1'000'000'000));
  int taken = 0;
  for (int i = 0; i < 625; ++i) {
    now += 16 * kMillisecond;
    taken += pace.Take(now, "a", 40 * kMillisecond, 2) ? 1 : 0;
  }
  // At most a second of waiting is ordered ahead.
  cr_assert_leq(taken, 125 + 13);
  cr_assert_geq(taken, 120);
  cr_assert(pace.Take(now, "b", 5'000 * kMillisecond, 2), "an idle link");
}
