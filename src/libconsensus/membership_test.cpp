// Membership changes: replacement and removal of unresponsive voters, and
// rejoining, in a simulated group without message or disk latency.
#include "fulmarquay/consensus/Replica.h"
#include "fulmarquay/consensus/ReplicaEffects.h"

#include <deque>
#include <map>
#include <memory>
#include <set>

// Included last because its macros clash with names in other headers.
#include <criterion/criterion.h>

using namespace fulmarquay;

namespace {

constexpr std::int64_t kTickUs = 20'000;

class ReplicaGroup
{
public:
  explicit ReplicaGroup(int aVoters)
  {
    for (int i = 1; i <= aVoters; ++i) {
      m_initialSnapshot.m_membership.m_voters.push_back(MemberOf(i));
    }
    for (int i = 1; i <= aVoters; ++i) {
      Start(i, m_initialSnapshot);
    }
  }

  static Member MemberOf(int aNumber)
  {
    const std::string vm = "vm" + std::to_string(aNumber);
    return { ReplicaId(static_cast<std::uint64_t>(aNumber)), vm, "10.0.0.1:1" };
  }

  /// Starts a replica without state, which sends join requests.
  void Join(int aNumber) { Start(aNumber, Snapshot()); }

  void SetIsolated(int aNumber, bool aIsIsolated)
  {
    aIsIsolated ? (void)m_isolated.insert(Id(aNumber))
                : (void)m_isolated.erase(Id(aNumber));
  }

  void Run(Duration aTime)
  {
    const TimePoint end = m_now + aTime;
    while (m_now < end) {
      m_now += Duration(kTickUs);
      for (auto& [id, replica] : m_replicas) {
        Dispatch(id, ReplicaTick{});
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
      if (replica->HoldsLease(m_now) && m_isolated.count(id) == 0) {
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

  void Dispatch(ReplicaId aTo, const ReplicaEvent& aEvent)
  {
    HandleEffects(aTo, m_replicas.at(aTo)->Reduce(m_now, aEvent));
    while (!m_pendingEvents.empty()) {
      const auto [to, event] = std::move(m_pendingEvents.front());
      m_pendingEvents.pop_front();
      HandleEffects(to, m_replicas.at(to)->Reduce(m_now, event));
    }
  }

  void HandleEffects(ReplicaId aFrom, const ReplicaEffects& aEffects)
  {
    for (const ReplicaEffect& effect : aEffects) {
      if (const auto* send = std::get_if<SendConsensus>(&effect)) {
        Deliver(aFrom, send->m_message);
      } else if (const auto* batch = std::get_if<PersistBatch>(&effect)) {
        m_pendingEvents.emplace_back(aFrom, DiskSynced{ batch->m_number });
      } else if (const auto* snapshot = std::get_if<PersistSnapshot>(&effect)) {
        m_pendingEvents.emplace_back(aFrom, DiskSynced{ snapshot->m_number });
      }
    }
  }

  void Deliver(ReplicaId aFrom, const ConsensusMessage& aMessage)
  {
    for (const auto& [id, replica] : m_replicas) {
      const bool isAddressed =
        aMessage.m_to == id || (aMessage.m_to == ReplicaId(0) && id != aFrom);
      const bool isDropped =
        m_isolated.count(aFrom) != 0 || m_isolated.count(id) != 0;
      if (isAddressed && !isDropped) {
        m_pendingEvents.emplace_back(id, ConsensusReceived{ aMessage });
      }
    }
  }

  TimePoint m_now{ Duration(1'000'000'000) };
  Snapshot m_initialSnapshot;
  std::map<ReplicaId, std::unique_ptr<Replica>> m_replicas;
  std::set<ReplicaId> m_isolated;
  std::deque<std::pair<ReplicaId, ReplicaEvent>> m_pendingEvents;
};

constexpr Duration kSecond(1'000'000);

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
  cr_assert_neq(group.Leader(), ReplicaId(0));
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
