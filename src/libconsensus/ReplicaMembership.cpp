// Changes of the control group's membership, one voter or learner a proposal.
#include "fulmarquay/consensus/Replica.h"

#include <algorithm>
#include <utility>

namespace fulmarquay {

namespace {

/// A learner with at most this lag behind the end of the log has caught up.
constexpr std::uint64_t kMaxLearnerLagEntries = 64;

} // namespace

bool
Replica::MayChangeMembership() const
{
  const LogIndex last = m_log.MembershipIndex(m_log.LastIndex());
  return m_role == ReplicaRole::Leader && !m_isTransferring &&
         last <= m_commit && m_commit >= m_termStartIndex;
}

void
Replica::ProposeMembership(const Membership& aMembership)
{
  AppendLeaderEntry(EntryKind::Membership, Pack(aMembership));
}

void
Replica::On(ReplicaId aFrom, const JoinRequest& aRequest)
{
  JoinOutcome outcome = AddLearner(aRequest.m_member);
  const bool isForwarded = aFrom != aRequest.m_member.m_id;
  if (outcome == JoinOutcome::NotLeader && !isForwarded &&
      m_leader != ReplicaId(0)) {
    // The sender knows only a few replicas, and the leader may be none of them.
    Send(m_leader, aRequest);
    outcome = JoinOutcome::Forwarded;
  }
  m_effects.emplace_back(JoinHandled{ aRequest.m_member, outcome });
}

JoinOutcome
Replica::AddLearner(const Member& aMember)
{
  if (m_role != ReplicaRole::Leader) {
    return JoinOutcome::NotLeader;
  }
  if (m_membership.Contains(aMember.m_id)) {
    return JoinOutcome::KnownMember;
  }
  if (!MayChangeMembership()) {
    return JoinOutcome::ChangeInProgress;
  }
  Membership membership = m_membership;
  std::erase_if(membership.m_learners, [&](const Member& aEach) {
    return aEach.m_vm == aMember.m_vm;
  });
  membership.m_learners.push_back(aMember);
  ProposeMembership(membership);
  return JoinOutcome::Added;
}

bool
Replica::IsCaughtUp(ReplicaId aId) const
{
  const Progress& progress = m_progress.at(aId);
  const bool isWithinMaxLag =
    progress.m_match.Value() + kMaxLearnerLagEntries >=
    m_log.LastIndex().Value();
  return isWithinMaxLag && IsResponsive(aId) &&
         progress.m_match >= m_termStartIndex;
}

void
Replica::AdjustMembership()
{
  // Each proposal changes one voter. A leader that was frozen has heard from
  // nobody; without its lease it may have been replaced.
  if (!MayChangeMembership() || !HoldsLease(m_now)) {
    return;
  }
  if (const std::optional<Member> dispensable = FindDispensableVoter()) {
    RemoveVoter(*dispensable, false);
    return;
  }
  std::optional<Member> replaced;
  for (const Member& learner : m_membership.m_learners) {
    if (!IsCaughtUp(learner.m_id)) {
      continue;
    }
    const Member* const former = FindVoterOn(learner.m_vm);
    if (former != nullptr && former->m_id == Id()) {
      continue; // another VM has the name of this one
    }
    if (former != nullptr) {
      replaced = *former;
    } else if (MayAddVoter()) {
      const Member candidate = learner;
      PromoteLearner(candidate);
      return;
    }
  }
  if (replaced) {
    RemoveVoter(*replaced, true);
  }
}

const Member*
Replica::FindVoterOn(const std::string& aVm) const
{
  for (const Member& voter : m_membership.m_voters) {
    if (voter.m_vm == aVm) {
      return &voter;
    }
  }
  return nullptr;
}

bool
Replica::IsResponsive(ReplicaId aId) const
{
  const Progress& progress = m_progress.at(aId);
  return progress.m_hasReplied &&
         m_now < progress.m_lastReplyAt + m_options.m_timing.m_electionTimeout;
}

bool
Replica::HasLostDisk(const Member& aVoter) const
{
  // A VM has a replica with a new id only if the disk of the former is lost.
  for (const Member& learner : m_membership.m_learners) {
    if (learner.m_vm == aVoter.m_vm && IsResponsive(learner.m_id)) {
      return true;
    }
  }
  return false;
}

std::size_t
Replica::VotersRequired() const
{
  return std::max<std::size_t>(m_options.m_toleratedLosses, 1) * 2 + 1;
}

std::optional<Member>
Replica::FindDispensableVoter() const
{
  // A silent voter may return with its disk. It stays as long as the losses to
  // be tolerated require it.
  if (m_membership.m_voters.size() <= VotersRequired()) {
    return std::nullopt;
  }
  std::optional<Member> silent;
  TimePoint lastReplyAt = m_now - kVoterTimeout;
  for (const Member& voter : m_membership.m_voters) {
    if (voter.m_id != Id() && !HasLostDisk(voter) &&
        m_progress.at(voter.m_id).m_lastReplyAt <= lastReplyAt) {
      lastReplyAt = m_progress.at(voter.m_id).m_lastReplyAt;
      silent = voter;
    }
  }
  return silent;
}

bool
Replica::MayAddVoter() const
{
  const std::size_t voters = m_membership.m_voters.size() + 1;
  const bool isRequired = voters <= VotersRequired();
  std::size_t responsive = 2; // this replica and the learner
  for (const Member& voter : m_membership.m_voters) {
    if (voter.m_id == Id()) {
      continue;
    }
    const TimePoint lastReplyAt = m_progress.at(voter.m_id).m_lastReplyAt;
    const bool isSilent = m_now >= lastReplyAt + kVoterTimeout;
    if (IsResponsive(voter.m_id)) {
      ++responsive;
    } else if (!isRequired && !isSilent && !HasLostDisk(voter)) {
      // It may be silent soon. Then it is to be removed right after the
      // addition, as an even number of voters needs one voter more for a
      // commit and tolerates no more losses. A voter that the losses to be
      // tolerated require does not wait for that.
      return false;
    }
  }
  return responsive > voters / 2;
}

void
Replica::RemoveVoter(const Member& aVoter, bool aIsDiskLost)
{
  Membership membership = m_membership;
  std::erase(membership.m_voters, aVoter);
  const Duration silence = m_now - m_progress.at(aVoter.m_id).m_lastReplyAt;
  m_effects.emplace_back(VoterRemoved{ aVoter, aIsDiskLost, silence });
  ProposeMembership(membership);
}

void
Replica::PromoteLearner(const Member& aLearner)
{
  Membership membership = m_membership;
  std::erase(membership.m_learners, aLearner);
  membership.m_voters.push_back(aLearner);
  ProposeMembership(membership);
}

} // namespace fulmarquay
