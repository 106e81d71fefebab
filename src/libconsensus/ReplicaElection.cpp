#include "fulmarquay/consensus/Replica.h"

namespace fulmarquay {

void
Replica::ResetElectionTimer()
{
  const std::int64_t base = m_options.m_timing.m_electionTimeout.count();
  std::uniform_int_distribution<std::int64_t> spread(base, 2 * base);
  m_electionDeadline = m_now + Duration(spread(m_random));
}

bool
Replica::HasRecentLeaderContact() const
{
  if (m_role == ReplicaRole::Leader) {
    return m_now < m_leaseEnd;
  }
  return m_now < m_lastLeaderContact + m_options.m_timing.m_electionTimeout;
}

bool
Replica::IsDisruptiveVoteRequest(const ConsensusMessage& aMessage) const
{
  // A replica with recent leader contact ignores vote requests unless they
  // belong to a leadership transfer. The leader lease depends on this.
  const auto* request = std::get_if<VoteRequest>(&aMessage.m_body);
  return request != nullptr && !request->m_isTransfer &&
         HasRecentLeaderContact();
}

bool
Replica::IsUpToDate(const VoteRequest& aRequest) const
{
  if (aRequest.m_lastTerm != m_log.LastTerm()) {
    return aRequest.m_lastTerm > m_log.LastTerm();
  }
  return aRequest.m_lastIndex >= m_log.LastIndex();
}

void
Replica::StartElection(bool aIsPreVote, bool aIsTransfer)
{
  ResetElectionTimer();
  m_leader = ReplicaId(0);
  if (!m_membership.IsVoter(Id())) {
    return;
  }
  m_role = aIsPreVote ? ReplicaRole::PreCandidate : ReplicaRole::Candidate;
  if (!aIsPreVote) {
    m_hardState.m_term = Term(m_hardState.m_term.Value() + 1);
    m_hardState.m_vote = Id();
    Persist({}, true);
  }
  m_votes = { { Id(), {} } };
  VoteRequest request;
  request.m_lastIndex = m_log.LastIndex();
  request.m_lastTerm = m_log.LastTerm();
  request.m_isPreVote = aIsPreVote;
  request.m_isTransfer = aIsTransfer;
  request.m_lostVoters = m_lostVoters;
  for (const Member& voter : m_membership.m_voters) {
    if (voter.m_id != Id()) {
      SendAfterSync(voter.m_id, request);
    }
  }
  TallyVotes();
}

void
Replica::TallyVotes()
{
  if (!IsQuorum(CountVotes()) && !HasHalfOfVotes()) {
    return;
  }
  if (m_role == ReplicaRole::PreCandidate) {
    StartElection(false, false);
  } else if (m_role == ReplicaRole::Candidate) {
    BecomeLeader();
  }
}

void
Replica::BecomeFollower(Term aTerm, ReplicaId aLeader)
{
  if (aTerm > m_hardState.m_term) {
    m_hardState.m_term = aTerm;
    m_hardState.m_vote = ReplicaId(0);
    Persist({}, true);
  }
  if (m_role == ReplicaRole::Leader) {
    m_effects.emplace_back(LeadershipChanged{ false, m_hardState.m_term });
    m_progress.clear();
  }
  if (m_role != ReplicaRole::Follower) {
    ResetElectionTimer();
  }
  m_role = ReplicaRole::Follower;
  m_leader = aLeader;
  m_isTransferring = false;
  m_isTimeoutNowSent = false;
  m_votes.clear();
}

void
Replica::On(ReplicaId aFrom, const VoteRequest& aRequest)
{
  LearnLostVoters(aRequest.m_lostVoters);
  if (aRequest.m_isPreVote) {
    const bool isGranted = IsUpToDate(aRequest);
    SendAfterSync(aFrom, VoteReply{ isGranted, true, m_lostVoters });
    return;
  }
  const bool isGranted = MayGrantVote(aRequest, aFrom);
  if (isGranted && m_hardState.m_vote != aFrom) {
    m_hardState.m_vote = aFrom;
    Persist({}, true);
  }
  if (isGranted) {
    ResetElectionTimer();
  }
  SendAfterSync(aFrom, VoteReply{ isGranted, false, m_lostVoters });
}

void
Replica::On(ReplicaId aFrom, const VoteReply& aReply)
{
  const bool isExpected = aReply.m_isPreVote
                            ? m_role == ReplicaRole::PreCandidate
                            : m_role == ReplicaRole::Candidate;
  LearnLostVoters(aReply.m_lostVoters);
  if (isExpected && aReply.m_isGranted) {
    m_votes[aFrom].insert(aReply.m_lostVoters.begin(),
                          aReply.m_lostVoters.end());
    TallyVotes();
  }
}

void
Replica::On(ReplicaId aFrom, const TimeoutNow& aRequest)
{
  if (m_role == ReplicaRole::Follower && m_leader == aFrom) {
    StartElection(false, aRequest.m_isTransfer);
  }
}

} // namespace fulmarquay
