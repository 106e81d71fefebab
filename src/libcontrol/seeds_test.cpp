#include "group_test.h"

#include <cstdlib>
#include <sstream>

// Included last because its macros clash with names in other headers.
#include <criterion/criterion.h>

using namespace fulmarquay;
using namespace fulmarquay::testing;

namespace {

/// Runs a range of seeds; fails on the first one that violates an invariant.
void
RunSeeds(std::uint64_t aFirst, std::uint64_t aCount, int aReplicas)
{
  std::size_t sends = 0;
  std::size_t accepted = 0;
  std::size_t losses = 0;
  for (std::uint64_t seed = aFirst; seed < aFirst + aCount; ++seed) {
    GroupOptions options;
    options.m_seed = seed;
    options.m_replicas = aReplicas;
    SimulatedGroup group(std::move(options));
    const std::string violation = group.Run();
    cr_assert(violation.empty(),
              "seed %llu: %s",
              static_cast<unsigned long long>(seed),
              violation.c_str());
    sends += group.Sends();
    accepted += group.Accepted();
    losses += group.DiskLosses();
  }
  // Guards against runs that pass because they covered too little.
  cr_assert_gt(sends, aCount * 5);
  cr_assert_gt(accepted, aCount);
  cr_assert_gt(losses, aCount / 4);
}

/// Runs seeds with a seeded defect. Returns aInvariant if one of them violates
/// it, else an empty string.
std::string
FindViolation(const MakeReplica& aMake,
              const GroupFaults& aFaults,
              std::uint64_t aSeeds,
              const std::string& aInvariant)
{
  for (std::uint64_t seed = 1; seed <= aSeeds; ++seed) {
    GroupOptions options;
    options.m_watched = aInvariant;
    options.m_seed = seed;
    options.m_faults = aFaults;
    options.m_makeReplica = aMake;
    SimulatedGroup group(std::move(options));
    if (!group.Run().empty()) {
      return aInvariant;
    }
  }
  return "";
}

template<typename Defect>
MakeReplica
MakeFactory()
{
  return [](ReplicaOptions aOptions, RecoveredState aState, TimePoint aNow) {
    return std::make_unique<Defect>(
      std::move(aOptions), std::move(aState), aNow);
  };
}

/// Defect: grants every vote.
class DoubleVoter : public Replica
{
public:
  using Replica::Replica;

protected:
  bool MayGrantVote(const VoteRequest&, ReplicaId) const override
  {
    return true;
  }
};

/// Defect: accepts half of the voters as a quorum.
class HalfQuorum : public Replica
{
public:
  using Replica::Replica;

protected:
  bool IsQuorum(std::size_t aCount) const override
  {
    return aCount * 2 + 1 >= m_membership.m_voters.size();
  }
};

/// Defect: replies before the disk sync has finished.
class UnsyncedReplica : public Replica
{
public:
  using Replica::Replica;

protected:
  bool AwaitsSync() const override { return false; }
};

GroupFaults
CrashOnlyFaults()
{
  GroupFaults faults;
  faults.m_partitions = false;
  faults.m_freezes = false;
  faults.m_lostDisks = false;
  faults.m_crashChance = 0.003;
  faults.m_maxSyncUs = 100'000;
  return faults;
}

constexpr std::uint64_t kSeeds = 500;

} // namespace

Test(seeds, three_replicas_1)
{
  RunSeeds(1, kSeeds, 3);
}

Test(seeds, three_replicas_2)
{
  RunSeeds(100'001, kSeeds, 3);
}

Test(seeds, three_replicas_3)
{
  RunSeeds(200'001, kSeeds, 3);
}

Test(seeds, five_replicas)
{
  RunSeeds(300'001, kSeeds, 5);
}

Test(seeds, seven_replicas)
{
  RunSeeds(400'001, kSeeds / 2, 7);
}

// For longer manual runs: FULMARQUAY_SEEDS="FIRST COUNT REPLICAS".
Test(seeds, range_from_environment)
{
  const char* range = std::getenv("FULMARQUAY_SEEDS");
  if (range == nullptr) {
    return;
  }
  std::istringstream in(range);
  std::uint64_t first = 0;
  std::uint64_t count = 0;
  int replicas = 3;
  in >> first >> count >> replicas;
  RunSeeds(first, count, replicas);
}

Test(defects, two_votes_in_a_term_are_caught)
{
  const std::string invariant = "two leaders in one term";
  cr_assert_eq(
    FindViolation(MakeFactory<DoubleVoter>(), GroupFaults(), 100, invariant),
    invariant);
}

Test(defects, half_a_quorum_is_caught)
{
  const std::string invariant = "a committed entry changed";
  cr_assert_eq(
    FindViolation(MakeFactory<HalfQuorum>(), GroupFaults(), 200, invariant),
    invariant);
}

Test(defects, answers_before_the_sync_are_caught)
{
  const std::string invariant = "a once-only call was sent twice";
  cr_assert_eq(
    FindViolation(
      MakeFactory<UnsyncedReplica>(), CrashOnlyFaults(), 400, invariant),
    invariant);
}

Test(defects, lost_configuration_is_caught)
{
  const std::string invariant =
    "two submissions were accepted under one revision";
  cr_assert_eq(
    FindViolation(
      MakeFactory<UnsyncedReplica>(), CrashOnlyFaults(), 400, invariant),
    invariant);
}
