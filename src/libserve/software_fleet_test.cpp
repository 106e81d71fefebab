// Streams over several entries before workers with several software versions.
#include "software_fleet_test.h"

// Included last because its macros clash with names in other headers.
#include <criterion/criterion.h>

using namespace fulmarquay;
using namespace fulmarquay::testing;

namespace {

/// Upgrades every second worker.
void
UpgradeHalf(SoftwareFleet& aFleet)
{
  for (std::size_t i = 0; i < aFleet.WorkerCount(); i += 2) {
    aFleet.SetSoftware(i, "s2");
  }
  aFleet.Play(6'000, 40);
}

/// Checks that no stream is mixed, and that resumed ones go on as often as new
/// ones begin.
void
CheckStreams(const SoftwareFleet& aFleet)
{
  cr_assert_eq(aFleet.MixedStreams(), 0, "%d", aFleet.MixedStreams());
  cr_assert_geq(aFleet.Resumed().m_sent, 12);
  cr_assert_geq(aFleet.Resumed().Share(),
                aFleet.New().Share(),
                "%.3f of %d resumed, %.3f of %d new",
                aFleet.Resumed().Share(),
                aFleet.Resumed().m_sent,
                aFleet.New().Share(),
                aFleet.New().m_sent);
}

} // namespace

Test(software_fleet, streams_resumed_at_other_entries_keep_their_version)
{
  for (const std::uint64_t seed : { 1U, 2U, 3U }) {
    SoftwareFleet fleet({ 6, 12, 0 }, seed);
    UpgradeHalf(fleet);
    for (std::size_t i = 0; i < 6; ++i) {
      fleet.ResetCallers(i);
      fleet.Play(700, 60);
    }
    CheckStreams(fleet);
  }
}
