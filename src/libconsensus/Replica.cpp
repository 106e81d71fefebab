#include "fulmarquay/consensus/Replica.h"

#include <algorithm>
#include <utility>

namespace fulmarquay {

Replica::Replica(ReplicaOptions aOptions, RecoveredState aState, TimePoint aNow)
  : m_hardState(aState.m_hardState)
  , m_options(std::move(aOptions))
  , m_random(m_options.m_seed)
  , m_now(aNow)
  , m_lastLeaderContact(aNow)
  , m_nextJoinRequest(aNow)
{
  m_log = ReplicaLog(std::move(aState));
  m_commit = m_log.BaseSnapshot().m_index;
  m_applied = m_commit;
  m_syncedIndex = m_log.LastIndex();
  m_membership = m_log.MembershipAt(m_log.LastIndex());
  m_membershipIndex = m_log.MembershipIndex(m_log.LastIndex());
  ResetElectionTimer();
}

ReplicaEffects
Replica::Reduce(TimePoint aNow, const ReplicaEvent& aEvent)
{
  m_now = aNow;
  m_effects.clear();
  std::visit([this](const auto& aBody) { On(aBody); }, aEvent);
  ApplyCommitted();
  return std::move(m_effects);
}

Duration
Replica::LeaseLength() const
{
  const ReplicaTiming& timing = m_options.m_timing;
  return timing.m_electionTimeout * (1000 - timing.m_maxClockDriftPerMille) /
         1000;
}

bool
Replica::HoldsLease(TimePoint aNow) const
{
  return m_role == ReplicaRole::Leader && !m_isTransferring &&
         aNow < m_leaseEnd && m_applied >= m_termStartIndex;
}

Snapshot
Replica::MakeSnapshot(std::string aData) const
{
  Snapshot snapshot;
  snapshot.m_index = m_applied;
  snapshot.m_term = m_log.TermAt(m_applied);
  snapshot.m_membership = m_log.MembershipAt(m_applied);
  snapshot.m_data = std::move(aData);
  return snapshot;
}

bool
Replica::MayGrantVote(const VoteRequest& aRequest, ReplicaId aFrom) const
{
  const bool canVoteForCandidate =
    m_hardState.m_vote == ReplicaId(0) || m_hardState.m_vote == aFrom;
  return canVoteForCandidate && IsUpToDate(aRequest);
}

bool
Replica::MayCommit(LogIndex aIndex) const
{
  return m_log.TermAt(aIndex) == m_hardState.m_term;
}

std::size_t
Replica::VotersReached(TimePoint aNow) const
{
  std::size_t count = m_membership.IsVoter(Id()) ? 1 : 0;
  for (const auto& [id, heardAt] : m_lastHeard) {
    count += aNow < heardAt + kVoterTimeout ? 1 : 0;
  }
  return count;
}

Duration
Replica::TimeWithoutLeader(TimePoint aNow) const
{
  // A former leader knew itself as the leader until its lease ended.
  const TimePoint contactEnd =
    m_lastLeaderContact + m_options.m_timing.m_electionTimeout;
  const TimePoint knownUntil = m_role == ReplicaRole::Leader
                                 ? std::max(m_leaseEnd, m_leaderSince)
                                 : std::max(m_leaseEnd, contactEnd);
  return std::max(Duration(0), aNow - knownUntil);
}

void
Replica::On(const ReplicaTick&)
{
  if (m_role == ReplicaRole::Leader) {
    TickLeader();
    return;
  }
  RequestMembership();
  if (m_now >= m_electionDeadline) {
    StartElection(true, false);
  }
}

void
Replica::On(const ConsensusReceived& aEvent)
{
  const ConsensusMessage& message = aEvent.m_message;
  if (m_membership.IsVoter(message.m_from)) {
    m_lastHeard[message.m_from] = m_now;
  }
  if (const auto* join = std::get_if<JoinRequest>(&message.m_body)) {
    On(message.m_from, *join);
    return;
  }
  if (message.m_to != Id()) {
    // For the replica that lost the disk of this VM: its sender is a member.
    m_memberContact = message.m_from;
    ReportFormerReplica(message.m_from, message.m_to);
    return;
  }
  if (IsDisruptiveVoteRequest(message)) {
    return;
  }
  if (message.m_term > m_hardState.m_term) {
    BecomeFollower(message.m_term, ReplicaId(0));
  }
  if (message.m_term < m_hardState.m_term) {
    RejectStaleMessage(message);
    return;
  }
  std::visit([&](const auto& aBody) { On(message.m_from, aBody); },
             message.m_body);
}

void
Replica::RejectStaleMessage(const ConsensusMessage& aMessage)
{
  const ReplicaId from = aMessage.m_from;
  if (const auto* vote = std::get_if<VoteRequest>(&aMessage.m_body)) {
    SendAfterSync(from, VoteReply{ false, vote->m_isPreVote, m_lostVoters });
  } else if (const auto* append =
               std::get_if<AppendRequest>(&aMessage.m_body)) {
    SendAfterSync(from, AppendReply{ false, LogIndex(0), append->m_round, {} });
  } else if (std::holds_alternative<SnapshotPart>(aMessage.m_body)) {
    SendAfterSync(from, AppendReply{ false, LogIndex(0), 0, {} });
  }
}

void
Replica::On(const DiskSynced& aEvent)
{
  m_lastSyncedNumber = std::max(m_lastSyncedNumber, aEvent.m_number);
  while (!m_lastIndexByPersist.empty() &&
         m_lastIndexByPersist.begin()->first <= m_lastSyncedNumber) {
    m_syncedIndex = m_lastIndexByPersist.begin()->second;
    m_lastIndexByPersist.erase(m_lastIndexByPersist.begin());
  }
  while (!m_deferred.empty() &&
         m_deferred.front().m_number <= m_lastSyncedNumber) {
    m_effects.emplace_back(
      SendConsensus{ std::move(m_deferred.front().m_message) });
    m_deferred.pop_front();
  }
  if (m_role == ReplicaRole::Leader) {
    AdvanceCommit();
  }
}

void
Replica::On(const SnapshotSaved& aEvent)
{
  m_log.Compact(aEvent.m_snapshot);
}

void
Replica::Send(ReplicaId aTo, ConsensusBody aBody)
{
  ConsensusMessage message{ Id(), aTo, m_hardState.m_term, std::move(aBody) };
  m_effects.emplace_back(SendConsensus{ std::move(message) });
}

void
Replica::SendAfterSync(ReplicaId aTo, ConsensusBody aBody)
{
  if (m_lastPersistNumber == m_lastSyncedNumber || !AwaitsSync()) {
    Send(aTo, std::move(aBody));
    return;
  }
  ConsensusMessage message{ Id(), aTo, m_hardState.m_term, std::move(aBody) };
  m_deferred.push_back({ m_lastPersistNumber, std::move(message) });
}

void
Replica::Persist(std::vector<LogEntry> aEntries, bool aIsHardStateChanged)
{
  PersistBatch batch;
  batch.m_number = ++m_lastPersistNumber;
  if (aIsHardStateChanged) {
    batch.m_hardState = m_hardState;
  }
  batch.m_entries = std::move(aEntries);
  m_lastIndexByPersist[batch.m_number] = m_log.LastIndex();
  m_effects.emplace_back(std::move(batch));
}

void
Replica::ApplyCommitted()
{
  while (m_applied < m_commit) {
    m_applied = Next(m_applied);
    m_effects.emplace_back(ApplyEntry{ m_log.At(m_applied) });
  }
}

void
Replica::RefreshMembership()
{
  m_membership = m_log.MembershipAt(m_log.LastIndex());
  m_membershipIndex = m_log.MembershipIndex(m_log.LastIndex());
  std::erase_if(m_lostVoters, [this](ReplicaId aEach) {
    return !m_membership.IsVoter(aEach);
  });
  std::erase_if(m_lastHeard, [this](const auto& aEach) {
    return !m_membership.IsVoter(aEach.first);
  });
  m_effects.emplace_back(MembershipChanged{ m_membership });
  if (m_role == ReplicaRole::Leader) {
    ReconcileProgress();
  }
}

std::size_t
Replica::CountVotes() const
{
  std::size_t votes = 0;
  for (const auto& [id, lostVoters] : m_votes) {
    votes += m_membership.VotesOf(id);
  }
  return votes;
}

} // namespace fulmarquay
