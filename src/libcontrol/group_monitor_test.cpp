#include "fulmarquay/control/GroupMonitor.h"

#include "fulmarquay/consensus/Replica.h"

// Included last because its macros clash with names in other headers.
#include <criterion/criterion.h>

using namespace fulmarquay;

namespace {

Member
MakeMember(std::uint64_t aId)
{
  return { ReplicaId(aId), "vm" + std::to_string(aId), "10.0.0.1:1" };
}

std::string
FieldOf(const LogLine& aLine, const std::string& aName)
{
  for (const auto& [name, value] : aLine.m_fields) {
    if (name == aName) {
      return value;
    }
  }
  return "";
}

} // namespace

Test(group_monitor, members_are_logged_once_for_each_change)
{
  GroupMonitor monitor;
  Membership members;
  members.m_voters = { MakeMember(1), MakeMember(2), MakeMember(3) };
  const auto first = monitor.OnMembership(members);
  cr_assert(first.has_value());
  cr_assert_eq(first->m_event, LogEvent::GroupChanged);
  cr_assert_eq(FieldOf(*first, "voters"), "vm1 vm2 vm3");
  cr_assert_eq(FieldOf(*first, "needed"), "2");
  cr_assert_not(monitor.OnMembership(members).has_value());
  members.m_learners = { MakeMember(4) };
  const auto second = monitor.OnMembership(members);
  cr_assert(second.has_value());
  cr_assert_eq(FieldOf(*second, "learners"), "vm4");
}

Test(group_monitor, join_requests_are_logged_once_for_each_outcome)
{
  GroupMonitor monitor;
  JoinHandled join{ MakeMember(4), JoinOutcome::NotLeader };
  const auto first = monitor.OnJoin(join);
  cr_assert(first.has_value());
  cr_assert_eq(FieldOf(*first, "outcome"), "not leader");
  cr_assert_not(monitor.OnJoin(join).has_value());
  join.m_outcome = JoinOutcome::Added;
  cr_assert(monitor.OnJoin(join).has_value());
}

Test(group_monitor, replica_without_a_leader_tells_which_voters_are_missing)
{
  ReplicaOptions options;
  options.m_self = MakeMember(1);
  RecoveredState state;
  state.m_snapshot.m_membership.m_voters = { MakeMember(1),
                                             MakeMember(2),
                                             MakeMember(3) };
  const TimePoint start{ Duration(1'000'000'000) };
  Replica replica(options, state, start);
  GroupMonitor monitor;
  const TimePoint late = start + Duration(8'000'000);
  cr_assert_not(
    monitor.OnTick(start + Duration(1'000'000), replica).has_value());
  const auto warning = monitor.OnTick(late, replica);
  cr_assert(warning.has_value());
  cr_assert_eq(warning->m_event, LogEvent::NoLeader);
  cr_assert_eq(FieldOf(*warning, "role"), "voter");
  cr_assert_eq(FieldOf(*warning, "reached"), "1");
  cr_assert_eq(FieldOf(*warning, "needed"), "2");
  cr_assert_not(
    monitor.OnTick(late + Duration(1'000'000), replica).has_value());
  // A heartbeat of a leader ends the time without one.
  ConsensusMessage heartbeat;
  heartbeat.m_from = ReplicaId(2);
  heartbeat.m_to = ReplicaId(1);
  heartbeat.m_term = Term(1);
  heartbeat.m_body = AppendRequest{};
  replica.Reduce(late + Duration(1'100'000), ConsensusReceived{ heartbeat });
  const auto end = monitor.OnTick(late + Duration(1'100'000), replica);
  cr_assert(end.has_value());
  cr_assert_eq(end->m_event, LogEvent::LeaderFound);
  cr_assert_eq(replica.VotersReached(late + Duration(1'100'000)), 2U);
}
