// Lost voters, successors and removed voters that return, in a group whose
// messages arrive at once and whose disks sync at once.
#include "fulmarquay/consensus/Replica.h"
#include "fulmarquay/consensus/ReplicaEffects.h"

#include <deque>
#include <map>
#include <memory>
#include <set>

// Last: its macros clash with names in other headers.
#include <criterion/criterion.h>

using namespace fulmarquay;

namespace {

constexpr std::int64_t kTickUs = 20'000;

class Group
{
public:
  explicit Group(int aVoters)
  {
    for (int i = 1; i <= aVoters; ++i) {
      m_first.m_membership.m_voters.push_back(MemberOf(i));
    }
    for (int i = 1; i <= aVoters; ++i) {
      Start(i, m_first);
    }
  }

  static Member MemberOf(int aNumber)
  {
    const std::string vm = "vm" + std::to_string(aNumber);
    return { ReplicaId(static_cast<std::uint64_t>(aNumber)), vm, "10.0.0.1:1" };
  }

  /// An empty VM that asks to join.
  void Join(int aNumber) { Start(aNumber, Snapshot()); }

  void Silence(int aNumber, bool aIsSilent)
  {
    aIsSilent ? (void)m_silent.insert(Id(aNumber))
              : (void)m_silent.erase(Id(aNumber));
  }

  void Run(Duration aTime)
  {
    const TimePoint end = m_now + aTime;
    while (m_now < end) {
      m_now += Duration(kTickUs);
      for (auto& [id, replica] : m_replicas) {
        Feed(id, ReplicaTick{});
      }
    }
  }

  const Membership& Members() const
  {
    const ReplicaId leader = Leader();
    cr_assert_neq(leader, ReplicaId(0), "no leader");
    return m_replicas.at(leader)->Members();
  }

  ReplicaId Leader() const
  {
    for (const auto& [id, replica] : m_replicas) {
      if (replica->HoldsLease(m_now) && m_silent.count(id) == 0) {
        return id;
      }
    }
    return ReplicaId(0);
  }

  bool IsVoter(int aNumber) const { return Members().IsVoter(Id(aNumber)); }
  static ReplicaId Id(int aNumber) { return MemberOf(aNumber).m_id; }

private:
  void Start(int aNumber, const Snapshot& aSnapshot)
  {
    ReplicaOptions options;
    options.m_self = MemberOf(aNumber);
    options.m_seed = static_cast<std::uint64_t>(aNumber);
    RecoveredState state;
    state.m_snapshot = aSnapshot;
    m_replicas[Id(aNumber)] =
      std::make_unique<Replica>(options, std::move(state), m_now);
  }

  void Feed(ReplicaId aTo, const ReplicaEvent& aEvent)
  {
    Take(aTo, m_replicas.at(aTo)->Reduce(m_now, aEvent));
    while (!m_events.empty()) {
      const auto [to, event] = std::move(m_events.front());
      m_events.pop_front();
      Take(to, m_replicas.at(to)->Reduce(m_now, event));
    }
  }

  void Take(ReplicaId aFrom, const ReplicaEffects& aEffects)
  {
    for (const ReplicaEffect& effect : aEffects) {
      if (const auto* send = std::get_if<SendConsensus>(&effect)) {
        Deliver(aFrom, send->m_message);
      } else if (const auto* batch = std::get_if<PersistBatch>(&effect)) {
        m_events.emplace_back(aFrom, DiskSynced{ batch->m_number });
      } else if (const auto* whole = std::get_if<PersistSnapshot>(&effect)) {
        m_events.emplace_back(aFrom, DiskSynced{ whole->m_number });
      }
    }
  }

  void Deliver(ReplicaId aFrom, const ConsensusMessage& aMessage)
  {
    for (const auto& [id, replica] : m_replicas) {
      const bool isMeant =
        aMessage.m_to == id || (aMessage.m_to == ReplicaId(0) && id != aFrom);
      const bool isCut = m_silent.count(aFrom) != 0 || m_silent.count(id) != 0;
      if (isMeant && !isCut) {
        m_events.emplace_back(id, ConsensusReceived{ aMessage });
      }
    }
  }

  TimePoint m_now{ Duration(1'000'000'000) };
  Snapshot m_first;
  std::map<ReplicaId, std::unique_ptr<Replica>> m_replicas;
  std::set<ReplicaId> m_silent;
  std::deque<std::pair<ReplicaId, ReplicaEvent>> m_events;
};

constexpr Duration kSeconds(1'000'000);

} // namespace

Test(membership, a_further_vm_becomes_a_voter)
{
  Group group(3);
  group.Join(4);
  group.Run(5 * kSeconds);
  cr_assert(group.IsVoter(4));
  cr_assert_eq(group.Members().m_voters.size(), 4U);
}

Test(membership, a_silent_voter_gives_its_place_to_a_successor)
{
  for (int lost = 1; lost <= 3; ++lost) {
    Group group(3);
    group.Run(3 * kSeconds);
    group.Silence(lost, true);
    group.Run(4 * kSeconds);
    cr_assert_eq(group.Members().m_voters.size(), 3U, "nobody takes its place");
    group.Join(4);
    group.Run(4 * kSeconds);
    cr_assert(group.IsVoter(4));
    cr_assert_not(group.IsVoter(lost));
    cr_assert_eq(group.Members().m_voters.size(), 3U);
  }
}

Test(membership, a_successor_that_came_first_outlives_the_lost_voter)
{
  Group group(3);
  group.Join(4);
  group.Run(4 * kSeconds);
  group.Silence(2, true);
  group.Run(5 * kSeconds);
  cr_assert_not(group.IsVoter(2));
  cr_assert_eq(group.Members().m_voters.size(), 3U);
  // Another one may now be lost.
  group.Silence(1, true);
  group.Run(4 * kSeconds);
  cr_assert_neq(group.Leader(), ReplicaId(0));
}

Test(membership, a_removed_voter_that_returns_joins_again)
{
  Group group(4);
  group.Run(3 * kSeconds);
  group.Silence(3, true);
  group.Run(5 * kSeconds);
  cr_assert_not(group.IsVoter(3));
  group.Silence(3, false);
  group.Run(5 * kSeconds);
  cr_assert(group.IsVoter(3));
}

Test(membership, a_group_of_three_keeps_a_silent_voter)
{
  Group group(3);
  group.Run(3 * kSeconds);
  group.Silence(3, true);
  group.Run(20 * kSeconds);
  cr_assert(group.IsVoter(3));
}
