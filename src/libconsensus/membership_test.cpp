// Membership changes: replacement and removal of unresponsive voters, and
// rejoining, in a simulated group without message or disk latency.
#include "replica_group_test.h"

#include <algorithm>

// Included last because its macros clash with names in other headers.
#include <criterion/criterion.h>

using namespace fulmarquay;
using namespace fulmarquay::testing;

namespace {

constexpr Duration kSecond(1'000'000);

/// The VMs from 1 to aVms that do not lead.
std::vector<int>
Followers(const ReplicaGroup& aGroup, int aVms)
{
  std::vector<int> followers;
  for (int vm = 1; vm <= aVms; ++vm) {
    if (vm != aGroup.Leader()) {
      followers.push_back(vm);
    }
  }
  return followers;
}

} // namespace

Test(membership, joining_vm_becomes_a_voter)
{
  ReplicaGroup group(3);
  group.Join(4);
  group.Run(5 * kSecond);
  cr_assert(group.IsVoter(4));
  cr_assert_eq(group.Members().m_voters.size(), 4U);
}

Test(membership, unresponsive_voter_is_replaced_by_joining_replica)
{
  for (int isolated = 1; isolated <= 3; ++isolated) {
    ReplicaGroup group(3);
    group.Run(3 * kSecond);
    group.SetIsolated(isolated, true);
    group.Run(4 * kSecond);
    cr_assert_eq(
      group.Members().m_voters.size(), 3U, "removed without a replacement");
    group.Join(4);
    group.Run(4 * kSecond);
    cr_assert(group.IsVoter(4));
    cr_assert_not(group.IsVoter(isolated));
    cr_assert_eq(group.Members().m_voters.size(), 3U);
  }
}

Test(membership, unresponsive_voter_is_removed_from_group_of_four)
{
  ReplicaGroup group(3);
  group.Join(4);
  group.Run(4 * kSecond);
  group.SetIsolated(2, true);
  group.Run(5 * kSecond);
  cr_assert_not(group.IsVoter(2));
  cr_assert_eq(group.Members().m_voters.size(), 3U);
  // The group tolerates the loss of another voter.
  group.SetIsolated(1, true);
  group.Run(4 * kSecond);
  cr_assert_neq(group.Leader(), 0);
}

Test(membership, removed_voter_rejoins_after_reconnecting)
{
  ReplicaGroup group(4);
  group.Run(3 * kSecond);
  group.SetIsolated(3, true);
  group.Run(5 * kSecond);
  cr_assert_not(group.IsVoter(3));
  group.SetIsolated(3, false);
  group.Run(5 * kSecond);
  cr_assert(group.IsVoter(3));
}

Test(membership, group_of_three_keeps_unresponsive_voter)
{
  ReplicaGroup group(3);
  group.Run(3 * kSecond);
  group.SetIsolated(3, true);
  group.Run(20 * kSecond);
  cr_assert(group.IsVoter(3));
}

Test(membership, disks_lost_after_a_cut_of_other_vms_leave_a_leader)
{
  for (int vms = 3; vms <= 9; ++vms) {
    ReplicaGroup group(vms);
    group.Run(3 * kSecond);
    const int borne = (vms - 1) / 2;
    for (int cut = 1; cut <= borne; ++cut) {
      group.SetIsolated(cut, true);
    }
    group.Run(7 * kSecond);
    cr_assert(group.Propose("acknowledged"), "%d VMs", vms);
    group.Run(kSecond);
    for (int lost = borne + 1; lost <= 2 * borne; ++lost) {
      group.LoseDisk(lost);
    }
    for (int vm = 1; vm <= 2 * borne; ++vm) {
      vm <= borne ? group.SetIsolated(vm, false) : group.Start(vm);
    }
    group.Run(15 * kSecond);
    cr_assert_neq(group.Leader(), 0, "%d VMs", vms);
    cr_assert_eq(group.Applied(group.Leader()),
                 std::vector<std::string>{ "acknowledged" });
  }
}

Test(membership, vm_joins_without_a_seed_that_leads)
{
  ReplicaGroup group(5);
  group.Run(3 * kSecond);
  std::set<int> followers;
  for (int vm = 1; vm <= 5; ++vm) {
    if (vm != group.Leader()) {
      followers.insert(vm);
    }
  }
  group.Join(6, { *followers.begin(), *followers.rbegin() });
  group.Run(5 * kSecond);
  cr_assert(group.IsVoter(6));
}

Test(membership, disks_lost_after_all_vms_were_replaced_leave_a_leader)
{
  ReplicaGroup group(5);
  group.Run(3 * kSecond);
  cr_assert(group.Propose("acknowledged"));
  // Each successor knows the three newest VMs only.
  for (int vm = 1; vm <= 5; ++vm) {
    group.Stop(vm);
    group.Run(2 * kSecond);
    group.Join(vm + 5, { vm + 2, vm + 3, vm + 4 });
    group.Run(8 * kSecond);
  }
  cr_assert_eq(group.Members().m_voters.size(), 5U);
  for (const int lost : { 7, 9 }) {
    group.LoseDisk(lost);
    group.Start(lost);
  }
  group.Run(15 * kSecond);
  cr_assert_neq(group.Leader(), 0);
  cr_assert_eq(group.Applied(group.Leader()),
               std::vector<std::string>{ "acknowledged" });
}

Test(membership, voters_that_are_gone_leave_a_group_that_was_larger_for_a_time)
{
  ReplicaGroup group(5, 1, { {}, {}, 2 });
  group.Join(6);
  group.Join(7);
  group.Run(5 * kSecond);
  cr_assert_eq(group.Members().m_voters.size(), 7U);
  group.Stop(1);
  group.Stop(2);
  group.Run(8 * kSecond);
  cr_assert_eq(group.Members().m_voters.size(), 5U);
}

Test(membership, silent_voter_that_the_tolerated_losses_require_stays)
{
  ReplicaGroup group(3, 1, { {}, {}, 2 });
  group.Join(4);
  group.Run(5 * kSecond);
  group.SetIsolated(4, true);
  group.Run(10 * kSecond);
  cr_assert(group.IsVoter(4));
}

Test(membership, voter_that_is_cut_off_stays_while_another_vm_loses_its_disk)
{
  for (const int vms : { 5, 7, 9 }) {
    ReplicaGroup group(vms);
    group.Run(3 * kSecond);
    const std::vector<int> others = Followers(group, vms);
    group.SetIsolated(others[0], true);
    group.Run(5 * kSecond);
    group.LoseDisk(others[1]);
    group.Start(others[1]);
    group.Run(60 * kSecond);
    cr_assert_eq(group.Members().m_voters.size(),
                 static_cast<std::size_t>(vms));
    for (int lost = 2; lost < 2 + (vms - 1) / 2; ++lost) {
      group.LoseDisk(others[static_cast<std::size_t>(lost)]);
      group.Start(others[static_cast<std::size_t>(lost)]);
    }
    group.SetIsolated(others[0], false);
    group.Run(20 * kSecond);
    cr_assert_neq(group.Leader(), 0, "%d VMs", vms);
  }
}

Test(membership, new_leader_adds_no_voter_before_the_others_have_replied)
{
  for (std::uint64_t seed = 1; seed <= 50; ++seed) {
    ReplicaGroup group(5, seed, { Duration(2'000), Duration(5'000) });
    group.Run(3 * kSecond);
    const int leader = group.Leader();
    group.Stop(Followers(group, 5).front());
    group.Stop(leader);
    group.Join(6);
    group.Join(7);
    std::size_t most = 0;
    for (int i = 0; i < 1'000; ++i) {
      group.Run(Duration(20'000));
      if (group.Leader() != 0) {
        most = std::max(most, group.Members().m_voters.size());
      }
    }
    cr_assert_leq(most, 6U, "seed %d", static_cast<int>(seed));
    cr_assert_eq(group.Members().m_voters.size(), 5U);
  }
}

Test(membership, freeze_of_all_vms_removes_no_voter)
{
  ReplicaGroup group(4);
  group.Run(3 * kSecond);
  group.FreezeAll(3 * kSecond);
  group.Run(10 * kSecond);
  cr_assert(group.RemovedVms().empty());
}

Test(membership, former_leader_counts_time_without_leader_from_its_lease)
{
  ReplicaGroup group(3);
  group.Run(60 * kSecond);
  const int former = group.Leader();
  group.SetIsolated(former, true);
  group.Run(2 * kSecond);
  cr_assert_neq(group.Leader(), former);
  cr_assert_lt(group.TimeWithoutLeader(former), 3 * kSecond);
}

Test(membership, vm_without_its_disk_whose_seeds_are_gone_joins)
{
  ReplicaGroup group(5);
  group.Run(3 * kSecond);
  group.Join(6, { 1, 2, 3 });
  group.Run(3 * kSecond);
  for (int vm = 1; vm <= 3; ++vm) {
    group.Stop(vm);
    group.Run(2 * kSecond);
    group.Join(vm + 6);
    group.Run(5 * kSecond);
  }
  group.LoseDisk(6);
  group.Start(6);
  group.Run(5 * kSecond);
  cr_assert(group.IsVoter(6));
}

Test(membership, snapshot_parts_do_not_multiply_on_a_slow_link)
{
  ReplicaGroup group(3, 1, { Duration(100'000), Duration(0) });
  group.Run(5 * kSecond);
  constexpr std::size_t kMegabytes = 8;
  for (std::size_t i = 0; i < kMegabytes; ++i) {
    cr_assert(
      group.Propose(std::string(1'000'000, static_cast<char>('a' + i))));
    group.Run(kSecond);
  }
  group.SaveSnapshot(group.Leader());
  group.Run(kSecond);
  group.Join(4);
  group.Run(15 * kSecond);
  cr_assert(group.IsVoter(4));
  // About four parts a megabyte, and as many that are repeated.
  cr_assert_leq(group.SnapshotParts(), 8 * kMegabytes);
}

Test(membership, successor_replaces_the_vm_that_is_gone_not_the_one_cut_off)
{
  ReplicaGroup group(5);
  group.Run(3 * kSecond);
  const std::vector<int> others = Followers(group, 5);
  group.SetIsolated(others[0], true);
  group.Run(4 * kSecond);
  group.Stop(others[1]);
  group.Run(4 * kSecond);
  group.Join(6);
  group.Run(20 * kSecond);
  for (const int lost : { others[2], others[3] }) {
    group.LoseDisk(lost);
    group.Start(lost);
  }
  group.SetIsolated(others[0], false);
  group.Run(20 * kSecond);
  cr_assert_neq(group.Leader(), 0);
}

Test(membership, delayed_join_request_of_a_former_replica_adds_nobody)
{
  ReplicaGroup group(5);
  group.Run(3 * kSecond);
  const std::vector<int> others = Followers(group, 5);
  const Member former =
    *std::find_if(group.Members().m_voters.begin(),
                  group.Members().m_voters.end(),
                  [&](const Member& aEach) {
                    return aEach.m_vm == "vm" + std::to_string(others[0]);
                  });
  group.LoseDisk(others[0]);
  group.Start(others[0]);
  group.Run(5 * kSecond);
  ConsensusMessage late;
  late.m_from = former.m_id;
  late.m_body = JoinRequest{ former };
  group.Inject(others[1], late);
  group.Run(60 * kSecond);
  cr_assert(group.Members().m_learners.empty());
}

Test(membership, learner_that_is_gone_is_removed)
{
  ReplicaGroup group(5);
  group.Run(3 * kSecond);
  group.Join(6);
  for (int i = 0; i < 100 && group.Members().m_learners.empty(); ++i) {
    group.Run(Duration(20'000));
  }
  group.Stop(6);
  group.Run(60 * kSecond);
  cr_assert(group.Members().m_learners.empty());
}

Test(membership, feature_level_is_known_after_a_restart_beside_a_lost_vm)
{
  ReplicaGroup group(5);
  group.Run(3 * kSecond);
  const int lost = Followers(group, 5).front();
  group.Stop(lost);
  group.Run(5 * kSecond);
  const std::uint32_t before = group.LowestFeatureLevel();
  for (int vm = 1; vm <= 5; ++vm) {
    group.Stop(vm);
  }
  for (int vm = 1; vm <= 5; ++vm) {
    if (vm != lost) {
      group.Start(vm);
    }
  }
  group.Run(60 * kSecond);
  cr_assert_eq(group.LowestFeatureLevel(), before);
}

// Guards against leaders that each wait for another silent voter anew before
// they give a replica without its disk a vote again.
Test(membership, replica_without_its_disk_votes_again_although_leaders_change)
{
  for (const int vms : { 5, 7, 9 }) {
    ReplicaGroup group(vms);
    group.Run(3 * kSecond);
    cr_assert(group.Propose("acknowledged"));
    group.Run(kSecond);
    const std::vector<int> others = Followers(group, vms);
    const int losses = (vms - 1) / 2;
    group.SetIsolated(others[0], true);
    group.Run(kSecond / 2);
    group.LoseDisk(others[1]);
    group.Start(others[1]);
    for (int i = 0; i < 2; ++i) {
      group.Run(kSecond * 17 / 10);
      const int leader = group.Leader();
      cr_assert_neq(leader, 0);
      group.Stop(leader);
      group.Run(kSecond);
      group.Start(leader);
    }
    group.Run(kSecond);
    // As many as the deployment tolerates, now that the other has caught up.
    int lost = 0;
    for (std::size_t i = 2; lost < losses; ++i) {
      group.LoseDisk(others[i]);
      group.Start(others[i]);
      ++lost;
    }
    group.SetIsolated(others[0], false);
    group.Run(20 * kSecond);
    cr_assert_neq(group.Leader(), 0, "%d VMs", vms);
    cr_assert_eq(group.Applied(group.Leader()),
                 std::vector<std::string>{ "acknowledged" });
  }
}
