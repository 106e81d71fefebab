// First tries of callers while entries are cut off from all workers.
#include "reach_fleet_test.h"

// Included last because its macros clash with names in other headers.
#include <criterion/criterion.h>
#include <criterion/logging.h>

using namespace fulmarquay;
using namespace fulmarquay::testing;

namespace {

constexpr std::int64_t kStabilityWindowMs = 3'000;

/// Which entries are cut off.
enum class CutExtent
{
  One,
  Half,
  DataCentre,
};

struct Size
{
  FleetSize m_fleet;
  int m_perSecond = 0;
};

const Size kSmall = { { 6, 12, 6, false, 3 }, 150 };
const Size kMedium = { { 60, 40, 10, false, 3 }, 600 };
const Size kLarge = { { 300, 60, 20, false, 3 }, 1'500 };

std::vector<std::size_t>
EntriesOf(CutExtent aExtent, std::size_t aEntryCount)
{
  std::vector<std::size_t> entries;
  for (std::size_t i = 0; i < aEntryCount; ++i) {
    const bool isCut = aExtent == CutExtent::One    ? i == 1
                       : aExtent == CutExtent::Half ? i < aEntryCount / 2
                                                    : i % 3 == 0;
    if (isCut) {
      entries.push_back(i);
    }
  }
  return entries;
}

/// Checks that first tries at cut-off entries are served as often as those at
/// the others, for each kind of request, and the others as often as before.
void
CheckBothSides(ReachFleet& aFleet, double aBefore, int aCutKind)
{
  for (const std::string& kind : kRequestKinds) {
    const Served cut = aFleet.Of(kind, true);
    const Served others = aFleet.Of(kind, false);
    cr_expect_geq(cut.Share(),
                  0.97 * others.Share(),
                  "%s, cut %d: %d of %d at cut-off entries, %d of %d at others",
                  kind.c_str(),
                  aCutKind,
                  cut.m_served,
                  cut.m_sent,
                  others.m_served,
                  others.m_sent);
  }
  cr_expect_geq(aFleet.All(false).Share(), aBefore - 0.01);
  cr_expect_eq(aFleet.FalseRefusals(), 0);
  cr_expect_eq(aFleet.Repeated(), 0);
}

void
PlayCut(const Size& aSize, CutExtent aExtent, CutKind aKind)
{
  ReachFleet fleet(aSize.m_fleet);
  fleet.Play(1'500, aSize.m_perSecond);
  fleet.ResetCounts();
  fleet.Play(1'000, aSize.m_perSecond);
  fleet.Advance(200);
  const double before = fleet.All(false).Share();
  for (const std::size_t entry : EntriesOf(aExtent, aSize.m_fleet.m_entries)) {
    fleet.Cut(entry, aKind);
  }
  fleet.Play(kStabilityWindowMs, aSize.m_perSecond);
  fleet.ResetCounts();
  fleet.Play(2'000, aSize.m_perSecond);
  fleet.Advance(500);
  CheckBothSides(fleet, before, static_cast<int>(aKind));
}

} // namespace

Test(reach, callers_of_six_entries_are_served_while_some_reach_no_worker)
{
  for (const CutExtent extent :
       { CutExtent::One, CutExtent::Half, CutExtent::DataCentre }) {
    for (const CutKind kind : kAllCutKinds) {
      PlayCut(kSmall, extent, kind);
    }
  }
}

Test(reach, callers_of_sixty_entries_are_served_while_some_reach_no_worker)
{
  for (const CutKind kind : kAllCutKinds) {
    PlayCut(kMedium, CutExtent::Half, kind);
  }
  PlayCut(kMedium, CutExtent::DataCentre, CutKind::Silent);
  PlayCut(kMedium, CutExtent::One, CutKind::Silent);
}

Test(reach, callers_of_300_entries_are_served_while_some_reach_no_worker)
{
  PlayCut(kLarge, CutExtent::Half, CutKind::Silent);
  PlayCut(kLarge, CutExtent::DataCentre, CutKind::Refused);
}

Test(reach, without_a_cut_nothing_is_passed_and_nothing_more_is_probed)
{
  ReachFleet fleet(kSmall.m_fleet);
  fleet.Play(5'000, kSmall.m_perSecond);
  fleet.Advance(500);
  cr_assert_eq(fleet.Passes(), 0U);
  cr_assert_eq(fleet.Probes(), 0);
  cr_assert_eq(fleet.All(false).m_served, fleet.All(false).m_sent);
}

Test(reach, requests_are_refused_at_once_while_no_entry_reaches_a_worker)
{
  for (const CutKind kind : { CutKind::Silent, CutKind::Reset }) {
    ReachFleet fleet(kSmall.m_fleet);
    fleet.Play(1'500, kSmall.m_perSecond);
    for (std::size_t i = 0; i < fleet.EntryCount(); ++i) {
      fleet.Cut(i, kind);
    }
    fleet.Play(kStabilityWindowMs, kSmall.m_perSecond);
    fleet.ResetCounts();
    const std::size_t passes = fleet.Passes();
    const int probes = fleet.Probes();
    fleet.Play(2'000, kSmall.m_perSecond);
    fleet.Advance(500);
    const Served all = fleet.All(true);
    cr_assert_gt(all.m_sent, 250);
    cr_assert_eq(all.m_served, 0);
    cr_assert_leq(ToMillis(all.m_longestRefusal), 30);
    cr_assert_eq(fleet.FalseRefusals(), 0);
    // Of two pools, one request of six entries to each of five neighbours in
    // each half second.
    cr_assert_leq(fleet.Passes() - passes, 360U);
    cr_assert_leq(fleet.Probes() - probes, 6 * 2 * 4 * 6 + 6 * 18 * 2);
  }
}

Test(reach, entries_serve_their_requests_themselves_soon_after_a_cut)
{
  for (const CutKind kind : kAllCutKinds) {
    ReachFleet fleet(kSmall.m_fleet);
    fleet.Play(1'500, kSmall.m_perSecond);
    fleet.Cut(0, kind);
    fleet.Cut(3, kind);
    fleet.Play(kStabilityWindowMs, kSmall.m_perSecond);
    cr_assert_gt(fleet.Passes(), 0U);
    fleet.Heal(0);
    fleet.Heal(3);
    fleet.ResetCounts();
    fleet.Play(kStabilityWindowMs / 2, kSmall.m_perSecond);
    const std::size_t newPasses = fleet.NewPasses();
    // A worker that failed resumes no streams for the longest age of a list.
    fleet.Play(kStabilityWindowMs, kSmall.m_perSecond);
    cr_assert_eq(fleet.NewPasses(), newPasses);
    const std::size_t passes = fleet.Passes();
    fleet.Play(1'000, kSmall.m_perSecond);
    fleet.Advance(500);
    cr_assert_eq(fleet.Passes(), passes);
    const Served all = fleet.All(false);
    cr_assert_geq(all.Share(),
                  0.99,
                  "cut %d: %d of %d",
                  static_cast<int>(kind),
                  all.m_served,
                  all.m_sent);
  }
}

Test(reach, requests_go_on_while_the_entries_that_serve_them_are_killed)
{
  ReachFleet fleet(kMedium.m_fleet);
  fleet.Play(1'500, kMedium.m_perSecond);
  for (std::size_t i = 0; i < 30; ++i) {
    fleet.Cut(i, CutKind::Silent);
  }
  fleet.Play(kStabilityWindowMs, kMedium.m_perSecond);
  fleet.ResetCounts();
  for (std::size_t i = 30; i < 50; i += 2) {
    fleet.KillEntry(i);
    fleet.Play(100, kMedium.m_perSecond);
  }
  fleet.Advance(500);
  cr_assert_geq(fleet.All(true).Share(), 0.95);
  cr_assert_eq(fleet.FalseRefusals(), 0);
  cr_assert_eq(fleet.Repeated(), 0);
}
