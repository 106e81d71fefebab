// Quorums of a replica. A majority of the votes always is one. Half of an even
// number is one if all its voters knew, when they voted or acknowledged, that
// the same other voter has lost its disk.
//
// Two such halves have a voter in common. If they had none, each would contain
// the lost voter of the other, and each of the two lost voters would have sent
// its message after the other one had lost its disk and before it lost its own.
#include "fulmarquay/consensus/Replica.h"

#include <algorithm>
#include <functional>
#include <utility>
#include <vector>

namespace fulmarquay {

namespace {

constexpr Duration kFormerReportInterval(300'000);

} // namespace

bool
Replica::IsQuorum(std::size_t aVotes) const
{
  return aVotes * 2 > m_membership.TotalVotes();
}

std::size_t
Replica::HalfQuorum() const
{
  const std::size_t votes = m_membership.TotalVotes();
  return m_membership.m_acceptsHalf && votes % 2 == 0 ? votes / 2 : 0;
}

std::size_t
Replica::VotersNeeded() const
{
  const bool isHalfEnough = HalfQuorum() != 0 && !m_lostVoters.empty();
  const std::size_t votes =
    isHalfEnough ? HalfQuorum() : m_membership.TotalVotes() / 2 + 1;
  return m_membership.m_lightVoters.empty() ? votes : (votes + 1) / 2;
}

bool
Replica::HasHalfOfVotes() const
{
  return HalfQuorumValue<bool>([this](ReplicaId aVoter, ReplicaId aLost) {
    const auto vote = m_votes.find(aVoter);
    return vote != m_votes.end() &&
           (aVoter == Id() || vote->second.contains(aLost));
  });
}

template<typename Value>
Value
Replica::ReachedBy(std::size_t aVotes,
                   std::vector<std::pair<Value, std::size_t>> aValues)
{
  std::sort(aValues.begin(), aValues.end(), std::greater<>());
  std::size_t votes = 0;
  for (const auto& [value, each] : aValues) {
    votes += each;
    if (votes >= aVotes) {
      return value;
    }
  }
  return Value{};
}

template<typename Value, typename Reached>
Value
Replica::HalfQuorumValue(const Reached& aReached) const
{
  Value highest{};
  if (HalfQuorum() == 0) {
    return highest;
  }
  for (const ReplicaId lost : m_lostVoters) {
    std::vector<std::pair<Value, std::size_t>> values;
    for (const Member& voter : m_membership.m_voters) {
      if (voter.m_id != lost) {
        values.emplace_back(aReached(voter.m_id, lost),
                            m_membership.VotesOf(voter.m_id));
      }
    }
    highest = std::max<Value>(
      highest, ReachedBy<Value>(HalfQuorum(), std::move(values)));
  }
  return highest;
}

bool
Replica::CommitUpTo(LogIndex aIndex)
{
  // Acknowledgements from before a membership do not count under it: their
  // senders may have lost their disks before it was proposed.
  const bool mayCommit = aIndex > m_commit && aIndex >= m_membershipIndex &&
                         m_log.HasTermAt(aIndex) && MayCommit(aIndex);
  m_commit = mayCommit ? aIndex : m_commit;
  return mayCommit;
}

void
Replica::AdvanceCommit()
{
  const LogIndex own = AwaitsSync() ? m_syncedIndex : m_log.LastIndex();
  std::vector<std::pair<LogIndex, std::size_t>> matches;
  for (const Member& voter : m_membership.m_voters) {
    const bool isSelf = voter.m_id == Id();
    matches.emplace_back(isSelf ? own : m_progress.at(voter.m_id).m_match,
                         m_membership.VotesOf(voter.m_id));
  }
  std::sort(matches.begin(), matches.end(), std::greater<>());
  std::size_t votes = 0;
  for (const auto& [match, each] : matches) {
    votes += each;
    if (IsQuorum(votes) && CommitUpTo(match)) {
      break;
    }
  }
  CommitUpTo(HalfQuorumValue<LogIndex>([&](ReplicaId aVoter, ReplicaId aLost) {
    return aVoter == Id() ? own : AcknowledgedBy(aVoter, aLost).m_match;
  }));
}

Replica::Acknowledged
Replica::AcknowledgedBy(ReplicaId aVoter, ReplicaId aLost) const
{
  const auto& knowing = m_progress.at(aVoter).m_knowing;
  const auto found = knowing.find(aLost);
  return found == knowing.end() ? Acknowledged() : found->second;
}

void
Replica::UpdateLease()
{
  std::vector<std::pair<std::uint64_t, std::size_t>> rounds;
  for (const Member& voter : m_membership.m_voters) {
    const bool isSelf = voter.m_id == Id();
    rounds.emplace_back(isSelf ? m_round : m_progress.at(voter.m_id).m_round,
                        m_membership.VotesOf(voter.m_id));
  }
  const auto halfRound = HalfQuorumValue<std::uint64_t>(
    [&](ReplicaId aVoter, ReplicaId aLost) -> std::uint64_t {
      return aVoter == Id() ? m_round : AcknowledgedBy(aVoter, aLost).m_round;
    });
  const std::uint64_t quorumRound =
    std::max(ReachedBy<std::uint64_t>(m_membership.TotalVotes() / 2 + 1,
                                      std::move(rounds)),
             halfRound);
  const auto sent = m_roundSentAt.find(quorumRound);
  if (sent == m_roundSentAt.end() || quorumRound <= m_membershipRound) {
    return;
  }
  m_leaseEnd = std::max(m_leaseEnd, sent->second + LeaseLength());
  m_roundSentAt.erase(m_roundSentAt.begin(), sent);
}

void
Replica::LearnLostVoters(const LostVoters& aLost)
{
  for (const Member& voter : m_membership.m_voters) {
    if (voter.m_id != Id() && aLost.contains(voter.m_id) &&
        m_lostVoters.insert(voter.m_id).second) {
      m_effects.emplace_back(VoterDiskLost{ voter });
    }
  }
}

void
Replica::LearnFormerReplica(const JoinRequest& aRequest)
{
  // The address distinguishes VMs that have the same name by mistake.
  const Member& present = aRequest.m_member;
  for (const Member& voter : m_membership.m_voters) {
    if (voter.m_id == aRequest.m_former && voter.m_id != present.m_id &&
        voter.m_vm == present.m_vm && voter.m_address == present.m_address) {
      LearnLostVoters({ voter.m_id });
      return;
    }
  }
}

void
Replica::ReportFormerReplica(ReplicaId aTo, ReplicaId aFormer)
{
  TimePoint& next = m_nextFormerReport[aTo];
  if (m_options.m_requestsMembership && m_now >= next) {
    next = m_now + kFormerReportInterval;
    Send(aTo, JoinRequest{ m_options.m_self, aFormer });
  }
}

} // namespace fulmarquay
