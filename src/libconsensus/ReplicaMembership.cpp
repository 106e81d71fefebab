// Changes of the control group's membership, one voter or learner a proposal.
#include "fulmarquay/consensus/Replica.h"

#include <algorithm>
#include <utility>

namespace fulmarquay {

namespace {

/// A learner with at most this lag behind the end of the log has caught up.
constexpr std::uint64_t kMaxLearnerLagEntries = 64;
/// Two, so that the number of votes is even and can be halved.
constexpr std::size_t kLightVoters = 2;

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
  LearnFormerReplica(aRequest);
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
  if (m_membership.m_acceptsHalf || !m_membership.m_lightVoters.empty()) {
    AdjustSpecialQuorums();
    return;
  }
  if (const auto dispensable = FindDispensableVoter()) {
    RemoveVoter(*dispensable, false);
  } else if (const auto learner = FindPromotableLearner()) {
    PromoteLearner(*learner);
  } else if (const auto replaced = FindReplacedVoter()) {
    RemoveVoter(*replaced, true);
  } else if (m_membership.m_voters.size() % 2 == 0 && KnowsHalfQuorums() &&
             CountUnresponsiveVoters() > 0) {
    SetQuorums(true, FindLightVoters());
  }
}

// Every change keeps each quorum before it and each one after it in touch:
// - Light voters and half quorums are set after the voters are committed by a
//   majority, one vote each, and are cleared before the voters change.
// - A voter without its disk may be removed at once: two halves around the
//   removal have a voter in common for the reason given in ReplicaQuorum.cpp.
//   The light voters stay light for this change, but half is enough no more.
void
Replica::AdjustSpecialQuorums()
{
  if (!m_membership.m_acceptsHalf) {
    SetQuorums(false, {});
    return;
  }
  const auto replaced = FindReplacedVoter();
  const auto dispensable = FindDispensableVoter();
  const std::vector<ReplicaId> light = FindLightVoters();
  if (replaced && m_lostVoters.contains(replaced->m_id)) {
    RemoveVoter(*replaced, true);
  } else if (dispensable && m_lostVoters.contains(dispensable->m_id)) {
    RemoveVoter(*dispensable, false);
  } else if (replaced || dispensable || FindPromotableLearner() ||
             HasOlderBuild() ||
             (!light.empty() && light != m_membership.m_lightVoters)) {
    SetQuorums(false, {});
  }
}

void
Replica::SetQuorums(bool aAcceptsHalf, std::vector<ReplicaId> aLightVoters)
{
  Membership membership = m_membership;
  membership.m_acceptsHalf = aAcceptsHalf;
  membership.m_lightVoters = std::move(aLightVoters);
  ProposeMembership(membership);
}

bool
Replica::IsAmbiguous() const
{
  const std::size_t voters = m_membership.m_voters.size();
  return KnowsHalfQuorums() && CountUnresponsiveVoters() + VotersRequired() >
                                 voters + CountNewLearners();
}

std::vector<ReplicaId>
Replica::FindLightVoters() const
{
  std::vector<ReplicaId> light;
  for (const Member& voter : m_membership.m_voters) {
    if (voter.m_id != Id() && !IsResponsive(voter.m_id) &&
        !HasLostDisk(voter)) {
      light.push_back(voter.m_id);
    }
  }
  if (!IsAmbiguous() || light.size() < kLightVoters ||
      m_membership.m_voters.size() <= VotersRequired()) {
    return {};
  }
  std::stable_sort(
    light.begin(), light.end(), [this](ReplicaId aLeft, ReplicaId aRight) {
      return m_progress.at(aLeft).m_lastReplyAt <
             m_progress.at(aRight).m_lastReplyAt;
    });
  light.resize(kLightVoters);
  std::sort(light.begin(), light.end());
  return light;
}

bool
Replica::HasOlderBuild() const
{
  // The level of a learner that was just added is unknown.
  return std::any_of(
    m_featureLevels.begin(), m_featureLevels.end(), [](const auto& aEach) {
      return aEach.second < kHalfQuorumFeatureLevel;
    });
}

bool
Replica::KnowsHalfQuorums() const
{
  return LowestFeatureLevel() >= kHalfQuorumFeatureLevel;
}

bool
Replica::IsNewVoter(const Member& aLearner) const
{
  return IsCaughtUp(aLearner.m_id) && FindVoterOn(aLearner.m_vm) == nullptr;
}

std::optional<Member>
Replica::FindPromotableLearner() const
{
  const std::vector<Member>& learners = m_membership.m_learners;
  const auto found =
    std::find_if(learners.begin(), learners.end(), [this](const auto& aEach) {
      return IsNewVoter(aEach);
    });
  return found != learners.end() && MayAddVoter() ? std::optional(*found)
                                                  : std::nullopt;
}

std::optional<Member>
Replica::FindReplacedVoter() const
{
  for (const Member& learner : m_membership.m_learners) {
    const Member* const former = FindVoterOn(learner.m_vm);
    // Another VM may have the name of this one.
    if (former != nullptr && former->m_id != Id() && IsCaughtUp(learner.m_id)) {
      return *former;
    }
  }
  return std::nullopt;
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
Replica::HasSuccessor(const Member& aVoter) const
{
  for (const Member& learner : m_membership.m_learners) {
    if (learner.m_vm == aVoter.m_vm && IsResponsive(learner.m_id)) {
      return true;
    }
  }
  return false;
}

bool
Replica::HasLostDisk(const Member& aVoter) const
{
  // A VM has a replica with a new id only if the disk of the former is lost.
  return m_lostVoters.contains(aVoter.m_id) || HasSuccessor(aVoter);
}

std::size_t
Replica::VotersRequired() const
{
  return std::max<std::size_t>(m_options.m_toleratedLosses, 1) * 2 + 1;
}

std::size_t
Replica::CountUnresponsiveVoters() const
{
  return static_cast<std::size_t>(
    std::count_if(m_membership.m_voters.begin(),
                  m_membership.m_voters.end(),
                  [this](const Member& aEach) {
                    return aEach.m_id != Id() && !IsResponsive(aEach.m_id) &&
                           !HasLostDisk(aEach);
                  }));
}

std::size_t
Replica::CountNewLearners() const
{
  return static_cast<std::size_t>(
    std::count_if(m_membership.m_learners.begin(),
                  m_membership.m_learners.end(),
                  [this](const Member& aEach) { return IsNewVoter(aEach); }));
}

std::optional<Member>
Replica::FindDispensableVoter() const
{
  // A silent voter may return with its disk. It stays as long as the losses to
  // be tolerated require it.
  const std::size_t voters = m_membership.m_voters.size();
  if (voters <= VotersRequired()) {
    return std::nullopt;
  }
  // If more voters are silent than successors have come, nothing tells which
  // ones return. Then all stay, with fewer votes than the others.
  const bool isAmbiguous = IsAmbiguous();
  std::optional<Member> silent;
  TimePoint lastReplyAt = m_now - kVoterTimeout;
  for (const Member& voter : m_membership.m_voters) {
    const bool isLost = m_lostVoters.contains(voter.m_id);
    if (voter.m_id == Id() || HasSuccessor(voter) || (isAmbiguous && !isLost) ||
        m_progress.at(voter.m_id).m_lastReplyAt > lastReplyAt) {
      continue;
    }
    if (isLost) {
      return voter;
    }
    lastReplyAt = m_progress.at(voter.m_id).m_lastReplyAt;
    silent = voter;
  }
  return silent;
}

bool
Replica::MayAddVoter() const
{
  const std::size_t voters = m_membership.m_voters.size() + 1;
  // One more than required is as good if half of them may be a quorum.
  const bool isRequired =
    voters <= VotersRequired() + (KnowsHalfQuorums() ? 1 : 0);
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
  membership.m_acceptsHalf = false;
  std::erase(membership.m_lightVoters, aVoter.m_id);
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
