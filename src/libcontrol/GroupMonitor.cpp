#include "fulmarquay/control/GroupMonitor.h"

#include "fulmarquay/consensus/Replica.h"
#include "fulmarquay/core/Digest.h"

namespace fulmarquay {

namespace {

/// A replica that has known no leader for this long says so.
constexpr Duration kNoLeaderWarning(3'000'000);
constexpr Duration kWarningInterval(10'000'000);
/// Bound on the replicas whose join requests are remembered.
constexpr std::size_t kMaxJoins = 64;

std::string
JoinNames(const std::vector<Member>& aMembers)
{
  std::string names;
  for (const Member& member : aMembers) {
    names += (names.empty() ? "" : " ") + member.m_vm;
  }
  return names;
}

const char*
OutcomeName(JoinOutcome aOutcome)
{
  switch (aOutcome) {
    case JoinOutcome::Added:
      return "added";
    case JoinOutcome::KnownMember:
      return "known member";
    case JoinOutcome::ChangeInProgress:
      return "change in progress";
    case JoinOutcome::Forwarded:
      return "forwarded";
    case JoinOutcome::NotLeader:
      return "not leader";
  }
  return "";
}

const char*
RoleOf(const Replica& aReplica)
{
  const Membership& members = aReplica.Members();
  if (members.IsVoter(aReplica.Id())) {
    return "voter";
  }
  return members.IsLearner(aReplica.Id()) ? "learner" : "none";
}

} // namespace

std::optional<LogLine>
GroupMonitor::OnMembership(const Membership& aMembership)
{
  if (m_logged == aMembership) {
    return std::nullopt;
  }
  m_logged = aMembership;
  const std::size_t voters = aMembership.m_voters.size();
  return LogLine{ LogEvent::GroupChanged,
                  { { "voters", JoinNames(aMembership.m_voters) },
                    { "learners", JoinNames(aMembership.m_learners) },
                    { "needed", std::to_string(voters / 2 + 1) },
                    { "accepts_half",
                      aMembership.m_acceptsHalf ? "yes" : "no" } } };
}

std::optional<LogLine>
GroupMonitor::OnJoin(const JoinHandled& aJoin)
{
  const ReplicaId replica = aJoin.m_member.m_id;
  const auto known = m_joins.find(replica);
  if (known != m_joins.end() && known->second == aJoin.m_outcome) {
    return std::nullopt;
  }
  if (known == m_joins.end() && m_joins.size() >= kMaxJoins) {
    m_joins.clear();
  }
  m_joins[replica] = aJoin.m_outcome;
  return LogLine{ LogEvent::JoinReceived,
                  { { "vm", aJoin.m_member.m_vm },
                    { "replica", HexOf(replica.Value()) },
                    { "outcome", OutcomeName(aJoin.m_outcome) } } };
}

std::optional<LogLine>
GroupMonitor::OnTick(TimePoint aNow, const Replica& aReplica)
{
  const Duration silence = aReplica.TimeWithoutLeader(aNow);
  if (silence < kNoLeaderWarning) {
    const bool isRecovered = m_hasWarned && silence == Duration(0);
    m_hasWarned = m_hasWarned && !isRecovered;
    return isRecovered ? std::optional(LogLine{ LogEvent::LeaderFound, {} })
                       : std::nullopt;
  }
  if (m_hasWarned && aNow < m_nextWarning) {
    return std::nullopt;
  }
  m_hasWarned = true;
  m_nextWarning = aNow + kWarningInterval;
  return LogLine{ LogEvent::NoLeader,
                  { { "silent_ms", std::to_string(ToMillis(silence)) },
                    { "role", RoleOf(aReplica) },
                    { "voters", JoinNames(aReplica.Members().m_voters) },
                    { "reached", std::to_string(aReplica.VotersReached(aNow)) },
                    { "needed", std::to_string(aReplica.VotersNeeded()) } } };
}

} // namespace fulmarquay
