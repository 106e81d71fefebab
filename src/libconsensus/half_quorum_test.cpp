// Tests of groups of an even number of voters, in which half of the voters is a
// quorum once a disk is known to be lost.
#include "replica_group_test.h"

#include <algorithm>
#include <optional>

// Included last because its macros clash with names in other headers.
#include <criterion/criterion.h>

using namespace fulmarquay;
using namespace fulmarquay::testing;

namespace {

constexpr Duration kMillisecond(1'000);
constexpr Duration kSecond(1'000'000);
constexpr std::uint32_t kOlderLevel = kHalfQuorumFeatureLevel - 1;

/// A group that keeps a voter that is cut off beside one that is gone, whose
/// successor has joined.
struct AmbiguousGroup
{
  explicit AmbiguousGroup(int aVms, std::uint64_t aSeed = 1)
    : m_losses((aVms - 1) / 2)
    , m_group(aVms, aSeed)
  {
    m_group.Run(3 * kSecond);
    m_leader = m_group.Leader();
    for (int vm = 1; vm <= aVms; ++vm) {
      if (vm != m_leader) {
        m_others.push_back(vm);
      }
    }
    m_cut = m_others[0];
    m_gone = m_others[1];
    m_others.erase(m_others.begin(), m_others.begin() + 2);
  }

  /// Loses the VMs, adds the successor and proposes a command.
  void LoseVoters()
  {
    m_group.SetIsolated(m_cut, true);
    m_group.Run(200 * kMillisecond);
    m_group.Stop(m_gone);
    m_group.Run(200 * kMillisecond);
    m_group.Join(m_successor);
    m_group.Run(6 * kSecond);
    cr_assert(m_group.Propose("acknowledged"));
    m_group.Run(200 * kMillisecond);
  }

  /// Loses as many disks as the deployment tolerates and connects the VM that
  /// was cut off.
  void LoseDisks(bool aWithLeader)
  {
    std::vector<int> lost(m_others.begin(), m_others.begin() + m_losses);
    if (aWithLeader) {
      lost.front() = m_leader;
    }
    for (const int vm : lost) {
      m_group.LoseDisk(vm);
      m_group.Start(vm);
    }
    m_group.SetIsolated(m_cut, false);
  }

  bool HasLeaderAndCommand() const
  {
    return m_group.Leader() != 0 &&
           m_group.Applied(m_group.Leader()) ==
             std::vector<std::string>{ "acknowledged" };
  }

  int m_losses;
  ReplicaGroup m_group;
  int m_leader = 0;
  int m_cut = 0;
  int m_gone = 0;
  int m_successor = 100;
  std::vector<int> m_others; ///< sound ones beside the leader
};

constexpr std::uint64_t kVoters = 6;

TimePoint
At(std::int64_t aMs)
{
  return TimePoint(aMs * kMillisecond);
}

/// Replica 1 of six voters, of which 5 and 6 are light, with half quorums.
Replica
MakeReplica()
{
  RecoveredState state;
  Membership& members = state.m_snapshot.m_membership;
  for (std::uint64_t id = 1; id <= kVoters; ++id) {
    members.m_voters.push_back(
      { ReplicaId(id), "vm" + std::to_string(id), "10.0.0.1:1" });
  }
  members.m_acceptsHalf = true;
  members.m_lightVoters = { ReplicaId(5), ReplicaId(6) };
  ReplicaOptions options;
  options.m_self = members.m_voters.front();
  return Replica(std::move(options), std::move(state), At(0));
}

void
SyncAll(Replica& aReplica, const ReplicaEffects& aEffects)
{
  for (const ReplicaEffect& effect : aEffects) {
    if (const auto* batch = std::get_if<PersistBatch>(&effect)) {
      SyncAll(aReplica,
              aReplica.Reduce(At(1'000), DiskSynced{ batch->m_number }));
    }
  }
}

void
Receive(Replica& aReplica, std::uint64_t aFrom, ConsensusBody aBody)
{
  const ConsensusMessage message{
    ReplicaId(aFrom), aReplica.Id(), aReplica.CurrentTerm(), std::move(aBody)
  };
  SyncAll(aReplica, aReplica.Reduce(At(1'000), ConsensusReceived{ message }));
}

/// Starts an election of a replica that knows that the disk of voter 3 is
/// lost, and lets voters 2 and 5 vote, each with what it knows: five of ten
/// votes with its own.
void
Elect(Replica& aReplica,
      const LostVoters& aKnownTo2,
      const LostVoters& aKnownTo5)
{
  Receive(aReplica,
          30,
          JoinRequest{ { ReplicaId(30), "vm3", "10.0.0.1:1" }, ReplicaId(3) });
  SyncAll(aReplica, aReplica.Reduce(At(1'000), ReplicaTick{}));
  for (const bool isPreVote : { true, false }) {
    Receive(aReplica, 2, VoteReply{ true, isPreVote, aKnownTo2 });
    Receive(aReplica, 5, VoteReply{ true, isPreVote, aKnownTo5 });
  }
}

} // namespace

// Guards against a successor that takes the place of a silent voter whose disk
// is whole: then the group counts on a disk that is gone.
Test(half_quorum, lost_disks_leave_a_leader_beside_a_vm_that_is_gone)
{
  for (const int vms : { 5, 7, 9 }) {
    for (const bool withLeader : { false, true }) {
      for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        AmbiguousGroup group(vms, seed);
        group.LoseVoters();
        group.LoseDisks(withLeader);
        group.m_group.Run(20 * kSecond);
        cr_assert(group.HasLeaderAndCommand(),
                  "%d VMs, leader lost: %d, seed %d\n%s",
                  vms,
                  static_cast<int>(withLeader),
                  static_cast<int>(seed),
                  group.m_group.Describe().c_str());
        cr_assert_eq(group.m_group.Violation(), "");
        cr_assert_eq(group.m_group.Members().m_voters.size(),
                     static_cast<std::size_t>(vms));
      }
    }
  }
}

// The same when all VMs restart after the losses: what allows half of the
// voters is in the log.
Test(half_quorum, lost_disks_and_a_restart_of_all_leave_a_leader)
{
  for (const int vms : { 5, 7, 9 }) {
    AmbiguousGroup group(vms);
    group.LoseVoters();
    for (int vm = 1; vm <= vms; ++vm) {
      group.m_group.Stop(vm);
    }
    group.m_group.Stop(group.m_successor);
    group.LoseDisks(true);
    for (int vm = 1; vm <= vms; ++vm) {
      if (vm != group.m_gone) {
        group.m_group.Start(vm);
      }
    }
    group.m_group.Start(group.m_successor);
    group.m_group.Run(20 * kSecond);
    cr_assert(group.HasLeaderAndCommand(), "%d VMs", vms);
  }
}

// Once the voter that was cut off is back, the one that is gone is removed.
Test(half_quorum, voter_that_is_gone_is_removed_once_the_other_is_back)
{
  AmbiguousGroup group(5);
  group.LoseVoters();
  cr_assert_eq(group.m_group.Members().m_voters.size(), 6U);
  cr_assert(group.m_group.Members().m_acceptsHalf);
  group.m_group.SetIsolated(group.m_cut, false);
  group.m_group.Run(5 * kSecond);
  const Membership& members = group.m_group.Members();
  cr_assert_eq(members.m_voters.size(), 5U);
  cr_assert(group.m_group.IsVoter(group.m_cut));
  cr_assert(group.m_group.IsVoter(group.m_successor));
  cr_assert_not(members.m_acceptsHalf);
}

// A voter that never comes back leaves with its own successor.
Test(half_quorum, second_successor_resolves_two_voters_that_are_gone)
{
  AmbiguousGroup group(5);
  group.LoseVoters();
  group.m_group.Join(101);
  group.m_group.Run(6 * kSecond);
  cr_assert_eq(group.m_group.Members().m_voters.size(), 5U);
  cr_assert(group.m_group.IsVoter(101));
  cr_assert_not(group.m_group.IsVoter(group.m_cut));
}

// Guards against the rule coming into force before all voters know it. Without
// it the voter that was silent for longest leaves, as in older builds.
Test(half_quorum, older_build_in_the_group_keeps_the_majority_rule)
{
  AmbiguousGroup group(5);
  const int older = group.m_others[0];
  group.m_group.Stop(older);
  group.m_group.SetFeatureLevel(older, kOlderLevel);
  group.m_group.Start(older);
  group.m_group.Run(2 * kSecond);
  group.LoseVoters();
  cr_assert_not(group.m_group.Members().m_acceptsHalf);
  cr_assert_eq(group.m_group.Members().m_voters.size(), 5U);
}

// A voter that returns with an older build ends the rule.
Test(half_quorum, older_build_that_returns_ends_the_rule)
{
  AmbiguousGroup group(5);
  group.LoseVoters();
  cr_assert(group.m_group.Members().m_acceptsHalf);
  const int older = group.m_others[0];
  group.m_group.Stop(older);
  group.m_group.SetFeatureLevel(older, kOlderLevel);
  group.m_group.Start(older);
  group.m_group.Run(2 * kSecond);
  cr_assert_not(group.m_group.Members().m_acceptsHalf);
}

// Guards against taking a voter's disk for lost because of another VM that has
// its name by mistake, or of a late report about an earlier replica of a VM.
Test(half_quorum, only_the_vm_of_a_voter_shows_that_its_disk_is_lost)
{
  ReplicaGroup group(5);
  group.Run(3 * kSecond);
  const Member voter = group.Members().m_voters[2];
  const int receiver = 2;
  const auto report = [&](const Member& aMember, ReplicaId aFormer) {
    ConsensusMessage message;
    message.m_from = aMember.m_id;
    message.m_body = JoinRequest{ aMember, aFormer };
    group.Inject(receiver, message);
    return group.ReplicaOn(receiver).LostDisks().size();
  };
  cr_assert_eq(report({ ReplicaId(50), voter.m_vm, "10.0.0.9:1" }, voter.m_id),
               0U);
  cr_assert_eq(report({ ReplicaId(50), "vm9", voter.m_address }, voter.m_id),
               0U);
  cr_assert_eq(report(voter, ReplicaId(49)), 0U, "an earlier replica");
  cr_assert_eq(report(voter, voter.m_id), 0U);
  cr_assert_eq(
    report({ ReplicaId(50), voter.m_vm, voter.m_address }, voter.m_id), 1U);
}

// Cuts, lost disks and slow links in a group of even size: whoever leads, no
// two replicas commit different entries, and no two hold the lease.
Test(half_quorum, replicas_agree_while_disks_are_lost_behind_slow_links)
{
  std::size_t halves = 0;
  for (std::uint64_t seed = 1; seed <= 300; ++seed) {
    std::mt19937_64 random(seed);
    const auto below = [&](std::uint64_t aBound) {
      return static_cast<int>(random() % aBound);
    };
    const int vms = 4 + 2 * below(3);
    GroupDelays delays{ 60 * kMillisecond, 5 * kMillisecond };
    delays.m_toleratedLosses = static_cast<std::size_t>(vms) / 2 - 1;
    ReplicaGroup group(vms, seed, delays);
    group.Run(2 * kSecond);
    int lost = 0;
    for (int step = 0; step < 60 && group.Violation().empty(); ++step) {
      const int vm = 1 + below(static_cast<std::uint64_t>(vms));
      switch (below(6)) {
        case 0:
        case 1: {
          std::set<int> half;
          for (int each = 1; each <= vms; ++each) {
            if (below(2) == 0) {
              half.insert(each);
            }
          }
          group.Split(half);
          break;
        }
        case 2:
          group.Split({});
          break;
        case 3:
          group.Stop(vm);
          group.Start(vm);
          break;
        case 4:
          if (lost < static_cast<int>(delays.m_toleratedLosses)) {
            group.LoseDisk(vm);
            group.Start(vm);
            ++lost;
          }
          break;
        default:
          group.SetIsolated(vm, below(2) == 0);
      }
      group.Run(below(900) * kMillisecond);
      group.Propose("c" + std::to_string(step));
      if (group.Leader() != 0 && group.Members().m_acceptsHalf) {
        ++halves;
      }
    }
    cr_assert_eq(group.Violation(), "", "seed %d", static_cast<int>(seed));
  }
  cr_assert_gt(halves, 100U, "the rule was in force at times");
}

// Guards against votes that are counted towards a half by what the candidate
// knows: their voters may have lost their own disks since.
Test(half_quorum, votes_count_towards_a_half_with_what_their_voters_knew)
{
  Replica knowing = MakeReplica();
  Elect(knowing, { ReplicaId(3) }, { ReplicaId(3) });
  cr_assert_eq(knowing.Role(), ReplicaRole::Leader);
  Replica one = MakeReplica();
  Elect(one, { ReplicaId(3) }, {});
  cr_assert_neq(one.Role(), ReplicaRole::Leader);
  Replica none = MakeReplica();
  Elect(none, {}, {});
  cr_assert_neq(none.Role(), ReplicaRole::Leader);
}

// The same for acknowledgements of entries and of heartbeat rounds.
Test(half_quorum, acknowledgements_count_towards_a_half_in_the_same_way)
{
  for (const bool isKnown : { false, true }) {
    Replica leader = MakeReplica();
    Elect(leader, { ReplicaId(3) }, { ReplicaId(3) });
    const LogIndex last = leader.Log().LastIndex();
    const LostVoters known =
      isKnown ? LostVoters{ ReplicaId(3) } : LostVoters{};
    for (const std::uint64_t voter : { 2, 5 }) {
      Receive(leader, voter, HeartbeatAck{ 1, kFeatureLevel, known });
      Receive(leader, voter, AppendReply{ true, last, 1, known });
    }
    cr_assert_eq(leader.Commit() == last, isKnown);
    cr_assert_eq(leader.HoldsLease(At(1'001)), isKnown);
  }
}

// Majorities of light and other votes need no lost disk.
Test(half_quorum, three_of_the_other_voters_are_a_majority)
{
  for (const std::uint64_t third : { 4, 6 }) {
    Replica replica = MakeReplica();
    SyncAll(replica, replica.Reduce(At(1'000), ReplicaTick{}));
    for (const bool isPreVote : { true, false }) {
      for (const std::uint64_t voter : { std::uint64_t{ 2 }, third }) {
        Receive(replica, voter, VoteReply{ true, isPreVote, {} });
      }
    }
    cr_assert_eq(replica.Role() == ReplicaRole::Leader, third == 4);
  }
}

// Older builds read all messages and memberships, and newer ones theirs.
namespace {
struct OldMembership
{
  std::vector<Member> m_voters;
  std::vector<Member> m_learners;
  MSGPACK_DEFINE(m_voters, m_learners)
};
struct OldVoteReply
{
  bool m_isGranted = false;
  bool m_isPreVote = false;
  MSGPACK_DEFINE(m_isGranted, m_isPreVote)
};
struct OldJoinRequest
{
  Member m_member;
  MSGPACK_DEFINE(m_member)
};
} // namespace

Test(half_quorum, fields_are_optional_in_messages_and_memberships)
{
  const Membership members = MakeReplica().Members();
  const auto old = Unpack<OldMembership>(Pack(members));
  cr_assert_eq(old.m_voters.size(), kVoters);
  const auto read = Unpack<Membership>(Pack(old));
  cr_assert_not(read.m_acceptsHalf);
  cr_assert(read.m_lightVoters.empty());
  const VoteReply reply{ true, false, { ReplicaId(3) } };
  cr_assert(Unpack<OldVoteReply>(Pack(reply)).m_isGranted);
  cr_assert(
    Unpack<VoteReply>(Pack(OldVoteReply{ true, false })).m_lostVoters.empty());
  const JoinRequest join{ members.m_voters.front(), ReplicaId(3) };
  cr_assert_eq(Unpack<OldJoinRequest>(Pack(join)).m_member, join.m_member);
  cr_assert_eq(
    Unpack<JoinRequest>(Pack(OldJoinRequest{ join.m_member })).m_former,
    ReplicaId(0));
}
