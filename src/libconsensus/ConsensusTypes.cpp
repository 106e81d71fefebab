#include "fulmarquay/consensus/ConsensusTypes.h"

#include <algorithm>

namespace fulmarquay {

namespace {

bool
ContainsId(const std::vector<Member>& aMembers, ReplicaId aId)
{
  return std::any_of(aMembers.begin(),
                     aMembers.end(),
                     [&](const Member& aEach) { return aEach.m_id == aId; });
}

} // namespace

std::size_t
Membership::VotesOf(ReplicaId aId) const
{
  if (!IsVoter(aId)) {
    return 0;
  }
  const bool isLight =
    m_lightVoters.empty() ||
    std::find(m_lightVoters.begin(), m_lightVoters.end(), aId) !=
      m_lightVoters.end();
  return isLight ? 1 : 2;
}

std::size_t
Membership::TotalVotes() const
{
  std::size_t votes = 0;
  for (const Member& voter : m_voters) {
    votes += VotesOf(voter.m_id);
  }
  return votes;
}

bool
Membership::IsVoter(ReplicaId aId) const
{
  return ContainsId(m_voters, aId);
}

bool
Membership::IsLearner(ReplicaId aId) const
{
  return ContainsId(m_learners, aId);
}

} // namespace fulmarquay
