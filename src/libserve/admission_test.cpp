#include <utility>

#include "fulmarquay/serve/AdmissionQueue.h"
#include "fulmarquay/serve/StartGate.h"

// Last: its macros clash with names in other headers.
#include <criterion/criterion.h>

using namespace fulmarquay;

namespace {

constexpr Duration kMillisecond(1'000);

AdmissionQueue::Item
Item(std::uint64_t aCaller,
     std::int64_t aRank,
     TimePoint aWanted,
     std::int64_t aTokens = 1'000)
{
  return {
    CallerId(aCaller), aRank, aWanted, aWanted + 5'000 * kMillisecond, aTokens
  };
}

} // namespace

Test(admission, who_can_still_be_in_time_goes_first)
{
  AdmissionQueue queue;
  const TimePoint now(Duration(1'000'000'000));
  queue.Push(now, Item(1, 2, now + 600 * kMillisecond));
  queue.Push(now, Item(2, 0, now + 400 * kMillisecond));
  queue.Push(now, Item(3, 0, now + 550 * kMillisecond));
  cr_assert_eq(queue.Next(now)->m_caller, CallerId(2));
  queue.Remove(CallerId(2));
  // A rank counts as some time: the first one is due sooner than that.
  cr_assert_eq(queue.Next(now)->m_caller, CallerId(3));
  const TimePoint later = now + 560 * kMillisecond;
  cr_assert_eq(queue.Next(later)->m_caller, CallerId(1), "3 is late anyhow");
  queue.Remove(CallerId(1));
  queue.Remove(CallerId(3));
  cr_assert_not(queue.Next(later).has_value());
}

Test(admission, what_can_not_start_in_time_is_refused_at_once)
{
  AdmissionQueue queue;
  TimePoint now(Duration(1'000'000'000));
  // Ten thousand tokens a second are sent for some seconds.
  for (int i = 0; i < 500; ++i) {
    now += 10 * kMillisecond;
    queue.OnSent(now, 100);
  }
  int taken = 0;
  for (int i = 0; i < 200; ++i) {
    taken += queue.Push(now, Item(10 + i, 1, now + 300 * kMillisecond)) ? 0 : 1;
  }
  // Some 53 thousand tokens can be sent until the last one is due.
  cr_assert_geq(taken, 45);
  cr_assert_leq(taken, 65);
  cr_assert_eq(queue.Size(), static_cast<std::size_t>(taken));
}

Test(admission, the_start_of_a_load_refuses_nobody)
{
  AdmissionQueue queue;
  const TimePoint now(Duration(1'000'000'000));
  for (int i = 0; i < 8; ++i) {
    cr_assert_not(queue.Push(now, Item(1 + i, 1, now)).has_value());
  }
}

Test(start_gate, only_prompts_wait_for_stores_and_loads)
{
  StartGate gate;
  TimePoint now(Duration(1'000'000'000));
  gate.Review(now, { false, false });
  cr_assert(gate.MustWait(false));
  now += 1'900 * kMillisecond;
  gate.Review(now, { true, false });
  cr_assert_not(gate.MustWait(false));
  cr_assert(gate.MustWait(true));
  now += 500 * kMillisecond;
  gate.Review(now, { true, false });
  cr_assert(gate.MustWait(true), "later than the patience, in the same order");
  now += 200 * kMillisecond;
  gate.Review(now, { true, false });
  cr_assert_not(gate.MustWait(true));
  gate.Review(now, { false, false });
  cr_assert_not(gate.MustWait(true), "a start comes once");
}
