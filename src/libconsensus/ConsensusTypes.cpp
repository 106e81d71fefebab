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
