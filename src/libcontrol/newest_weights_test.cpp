#include "fulmarquay/control/NewestWeights.h"

// Included last because its macros clash with names in other headers.
#include <criterion/criterion.h>

using namespace fulmarquay;

namespace {

constexpr Duration kSecond(1'000'000);

TimePoint
At(int aSeconds)
{
  return TimePoint(1'000 * kSecond + aSeconds * kSecond);
}

} // namespace

Test(newest_weights, a_service_without_models_has_no_superseded_version)
{
  const NewestWeights weights;
  cr_assert(weights.SupersededFor(At(1), "", -1) == Duration(0));
  cr_assert(weights.SupersededFor(At(1), "m", 1) == Duration(0));
  cr_assert_eq(weights.NewestOf(""), 0);
}

Test(newest_weights, a_version_is_superseded_by_the_first_newer_one)
{
  NewestWeights weights;
  weights.OnConfirmed(At(0));
  cr_assert(weights.OnNamed("m", 2));
  weights.OnConfirmed(At(10));
  cr_assert(weights.OnNamed("m", 5));
  cr_assert_not(weights.OnNamed("m", 4));
  cr_assert(weights.SupersededFor(At(12), "m", 5) == Duration(0));
  for (const std::int64_t version : { 2, 3, 4 }) {
    cr_assert(weights.SupersededFor(At(12), "m", version) == 2 * kSecond);
  }
  cr_assert(weights.SupersededFor(At(12), "m", 1) == 12 * kSecond);
}

Test(newest_weights, what_is_not_proved_is_unknown)
{
  NewestWeights weights;
  weights.OnNamed("m", 3);
  cr_assert(weights.SupersededFor(At(1), "m", 2) == std::nullopt);
  weights.OnConfirmed(At(2));
  weights.OnNamed("m", 4);
  cr_assert(weights.SupersededFor(At(3), "m", 2) == std::nullopt);
  cr_assert(weights.SupersededFor(At(3), "m", 3) == kSecond);
}

Test(newest_weights, a_report_proves_no_more_than_its_sender_knows)
{
  NewestWeights leader;
  leader.OnConfirmed(At(0));
  leader.OnNamed("m", 2);
  NewestWeights entry;
  entry.OnReport(leader.MakeReport(At(3), entry.Revision()), At(100));
  cr_assert_eq(entry.NewestOf("m"), 2);
  cr_assert(entry.SupersededFor(At(101), "m", 1) == 4 * kSecond);
  cr_assert_eq(entry.Revision(), leader.Revision());
  // A sender that lacks a version confirms nothing.
  entry.OnNamed("m", 3);
  entry.OnReport(leader.MakeReport(At(4), entry.Revision()), At(105));
  entry.OnNamed("m", 4);
  cr_assert(entry.SupersededFor(At(106), "m", 3) == 6 * kSecond);
  // Nor does one that has not held its lease.
  NewestWeights starting;
  NewestWeights other;
  other.OnReport(starting.MakeReport(At(1), 0), At(200));
  other.OnNamed("m", 2);
  cr_assert(other.SupersededFor(At(201), "m", 1) == std::nullopt);
}
