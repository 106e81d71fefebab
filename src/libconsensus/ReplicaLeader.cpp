#include "fulmarquay/consensus/Replica.h"

#include <algorithm>
#include <functional>
#include <utility>

namespace fulmarquay {

namespace {

/// Entries that may be on their way to one member.
constexpr std::uint64_t kWindowEntries = 2048;
/// Payload bytes of one AppendRequest.
constexpr std::size_t kAppendBytes = 256U << 10U;
constexpr std::size_t kSnapshotPartBytes = 256U << 10U;
/// A learner this close to the end of the log has caught up.
constexpr std::uint64_t kCaughtUpEntries = 64;
/// A voter that was not heard for this long gives its place to a learner that
/// has caught up, and leaves a group that is larger than kLeastVoters.
constexpr Duration kVoterLostAfter(2'500'000);
/// A group that tolerates one lost voter; it is never made smaller.
constexpr std::size_t kLeastVoters = 3;

} // namespace

void
Replica::BecomeLeader()
{
  m_role = ReplicaRole::Leader;
  m_leader = Id();
  m_progress.clear();
  m_round = 0;
  m_roundSent.clear();
  m_leaseEnd = m_now;
  m_leaderSince = m_now;
  SyncProgress();
  m_termStart = Next(m_log.LastIndex());
  m_effects.emplace_back(LeadershipChanged{ true, m_hard.m_term });
  AppendOwn(EntryKind::Noop, "");
  BroadcastHeartbeat();
}

void
Replica::SyncProgress()
{
  std::map<ReplicaId, Progress> progress;
  const auto keep = [&](const std::vector<Member>& aMembers) {
    for (const Member& member : aMembers) {
      if (member.m_id == Id()) {
        continue;
      }
      const auto known = m_progress.find(member.m_id);
      if (known != m_progress.end()) {
        progress[member.m_id] = std::move(known->second);
      } else {
        progress[member.m_id].m_next = Next(m_log.LastIndex());
        progress[member.m_id].m_heard = m_now;
      }
    }
  };
  keep(m_membership.m_voters);
  keep(m_membership.m_learners);
  m_progress = std::move(progress);
}

void
Replica::TickLeader()
{
  if (m_now >= m_nextHeartbeat) {
    BroadcastHeartbeat();
  }
  UpdateLease();
  ReviewMembership();
  const Duration grace = m_options.m_timing.m_election;
  const bool isAlone = m_now > std::max(m_leaseEnd, m_leaderSince) + grace;
  const bool isTransferOver = m_isTransferring && m_now >= m_transferDue;
  if (isAlone || isTransferOver) {
    BecomeFollower(m_hard.m_term, ReplicaId(0));
  }
}

void
Replica::BroadcastHeartbeat()
{
  m_nextHeartbeat = m_now + m_options.m_timing.m_heartbeat;
  ++m_round;
  m_roundSent[m_round] = m_now;
  for (const auto& [id, progress] : m_progress) {
    SendAppend(id, true);
  }
  UpdateLease();
}

void
Replica::SendAppend(ReplicaId aTo, bool aIsHeartbeat)
{
  Progress& progress = m_progress.at(aTo);
  AppendRequest request;
  request.m_round = m_round;
  const LogIndex prev = Previous(progress.m_next);
  if (!m_log.Knows(prev)) {
    if (progress.m_snapshot.empty()) {
      progress.m_snapshot = Pack(m_log.Base());
      progress.m_snapshotIndex = m_log.Base().m_index;
      progress.m_snapshotOffset = 0;
    }
    if (aIsHeartbeat) {
      // Index 0 fits every log: it keeps the lease while a snapshot is sent.
      Send(aTo, request);
      SendSnapshotPart(aTo);
    }
    return;
  }
  request.m_prevIndex = prev;
  request.m_prevTerm = m_log.TermAt(prev);
  request.m_commit = m_commit;
  const std::uint64_t flying =
    progress.m_next.Value() - progress.m_match.Value() - 1;
  if (!progress.m_isProbing && flying < kWindowEntries) {
    request.m_entries = m_log.Slice(progress.m_next, kAppendBytes);
  }
  if (request.m_entries.empty() && !aIsHeartbeat) {
    return;
  }
  progress.m_next = Next(progress.m_next, request.m_entries.size());
  Send(aTo, std::move(request));
}

void
Replica::SendSnapshotPart(ReplicaId aTo)
{
  Progress& progress = m_progress.at(aTo);
  SnapshotPart part;
  part.m_index = progress.m_snapshotIndex;
  part.m_offset = progress.m_snapshotOffset;
  part.m_total = progress.m_snapshot.size();
  part.m_bytes = progress.m_snapshot.substr(part.m_offset, kSnapshotPartBytes);
  Send(aTo, std::move(part));
}

void
Replica::On(ReplicaId aFrom, const AppendReply& aReply)
{
  const auto place = m_progress.find(aFrom);
  if (m_role != ReplicaRole::Leader || place == m_progress.end()) {
    return;
  }
  Progress& progress = place->second;
  progress.m_heard = m_now;
  if (!aReply.m_isAccepted) {
    const LogIndex next = std::min(progress.m_next, Next(aReply.m_index));
    progress.m_next = std::max(Next(progress.m_match), next);
    progress.m_isProbing = true;
    SendAppend(aFrom, true);
    return;
  }
  if (!progress.m_snapshot.empty()) {
    return;
  }
  progress.m_isProbing = false;
  progress.m_match = std::max(progress.m_match, aReply.m_index);
  progress.m_next = std::max(progress.m_next, Next(progress.m_match));
  AdvanceCommit();
  SendAppend(aFrom, false);
  ContinueTransfer();
}

void
Replica::On(ReplicaId aFrom, const RoundReply& aReply)
{
  const auto place = m_progress.find(aFrom);
  if (m_role != ReplicaRole::Leader || place == m_progress.end()) {
    return;
  }
  place->second.m_heard = m_now;
  place->second.m_round = std::max(place->second.m_round, aReply.m_round);
  UpdateLease();
}

void
Replica::On(ReplicaId aFrom, const SnapshotReply& aReply)
{
  const auto place = m_progress.find(aFrom);
  if (m_role != ReplicaRole::Leader || place == m_progress.end()) {
    return;
  }
  Progress& progress = place->second;
  progress.m_heard = m_now;
  const bool isCurrent =
    !progress.m_snapshot.empty() && aReply.m_index == progress.m_snapshotIndex;
  if (!isCurrent) {
    return;
  }
  if (!aReply.m_isInstalled) {
    progress.m_snapshotOffset = aReply.m_offset;
    SendSnapshotPart(aFrom);
    return;
  }
  progress.m_snapshot.clear();
  progress.m_match = std::max(progress.m_match, aReply.m_index);
  progress.m_next = Next(progress.m_match);
  progress.m_isProbing = true;
  SendAppend(aFrom, true);
}

void
Replica::AdvanceCommit()
{
  std::vector<LogIndex> matches;
  for (const Member& voter : m_membership.m_voters) {
    if (voter.m_id == Id()) {
      matches.push_back(AwaitsSync() ? m_syncedIndex : m_log.LastIndex());
    } else {
      matches.push_back(m_progress.at(voter.m_id).m_match);
    }
  }
  std::sort(matches.begin(), matches.end(), std::greater<>());
  for (std::size_t i = 0; i < matches.size(); ++i) {
    const bool isNew = matches[i] > m_commit && m_log.Knows(matches[i]);
    if (IsQuorum(i + 1) && isNew && MayCommit(matches[i])) {
      m_commit = matches[i];
      return;
    }
  }
}

void
Replica::UpdateLease()
{
  std::vector<std::uint64_t> rounds;
  for (const Member& voter : m_membership.m_voters) {
    const bool isSelf = voter.m_id == Id();
    rounds.push_back(isSelf ? m_round : m_progress.at(voter.m_id).m_round);
  }
  std::sort(rounds.begin(), rounds.end(), std::greater<>());
  const std::uint64_t agreed = rounds[rounds.size() / 2];
  const auto sent = m_roundSent.find(agreed);
  if (sent == m_roundSent.end()) {
    return;
  }
  m_leaseEnd = std::max(m_leaseEnd, sent->second + LeaseLength());
  m_roundSent.erase(m_roundSent.begin(), sent);
}

void
Replica::On(const ProposeCommand& aEvent)
{
  if (m_role != ReplicaRole::Leader || m_isTransferring) {
    m_effects.emplace_back(ProposalRefused{ aEvent.m_request });
    return;
  }
  AppendOwn(EntryKind::Command, aEvent.m_payload);
  m_effects.emplace_back(
    ProposalAppended{ aEvent.m_request, m_log.LastIndex(), m_hard.m_term });
}

void
Replica::AppendOwn(EntryKind aKind, std::string aPayload)
{
  LogEntry entry;
  entry.m_index = Next(m_log.LastIndex());
  entry.m_term = m_hard.m_term;
  entry.m_kind = static_cast<std::uint8_t>(aKind);
  entry.m_payload = std::move(aPayload);
  m_log.Append(entry);
  Persist({ std::move(entry) }, false);
  if (aKind == EntryKind::Membership) {
    AdoptMembership();
  }
  for (const auto& [id, progress] : m_progress) {
    SendAppend(id, false);
  }
}

bool
Replica::MayChangeMembership() const
{
  const LogIndex last = m_log.MembershipIndex(m_log.LastIndex());
  return m_role == ReplicaRole::Leader && !m_isTransferring &&
         last <= m_commit && m_commit >= m_termStart;
}

void
Replica::ProposeMembership(const Membership& aMembership)
{
  AppendOwn(EntryKind::Membership, Pack(aMembership));
}

void
Replica::On(ReplicaId, const JoinRequest& aRequest)
{
  const Member& joiner = aRequest.m_member;
  if (!MayChangeMembership() || m_membership.Contains(joiner.m_id)) {
    return;
  }
  Membership membership = m_membership;
  std::erase_if(membership.m_learners,
                [&](const Member& aEach) { return aEach.m_vm == joiner.m_vm; });
  membership.m_learners.push_back(joiner);
  ProposeMembership(membership);
}

bool
Replica::IsCaughtUp(ReplicaId aId) const
{
  const Progress& progress = m_progress.at(aId);
  const bool isNear =
    progress.m_match.Value() + kCaughtUpEntries >= m_log.LastIndex().Value();
  const bool isLive = m_now < progress.m_heard + m_options.m_timing.m_election;
  return isNear && isLive && progress.m_match >= m_termStart;
}

void
Replica::ReviewMembership()
{
  if (!MayChangeMembership()) {
    return;
  }
  for (const Member& learner : m_membership.m_learners) {
    if (IsCaughtUp(learner.m_id)) {
      const Member candidate = learner;
      ReviewLearner(candidate);
      return;
    }
  }
  if (m_membership.m_voters.size() > kLeastVoters) {
    if (const std::optional<Member> lost = FindLostVoter()) {
      RemoveVoter(*lost);
    }
  }
}

std::optional<Member>
Replica::FindLostVoter() const
{
  for (const Member& voter : m_membership.m_voters) {
    const bool isLost =
      voter.m_id != Id() &&
      m_now >= m_progress.at(voter.m_id).m_heard + kVoterLostAfter;
    if (isLost) {
      return voter;
    }
  }
  return std::nullopt;
}

void
Replica::RemoveVoter(const Member& aVoter)
{
  Membership membership = m_membership;
  std::erase(membership.m_voters, aVoter);
  m_effects.emplace_back(VoterLost{ aVoter });
  ProposeMembership(membership);
}

void
Replica::ReviewLearner(const Member& aLearner)
{
  Membership membership = m_membership;
  const auto isReplaced = [&](const Member& aEach) {
    return aEach.m_vm == aLearner.m_vm && aEach.m_id != Id();
  };
  // One step at a time: first the lost incarnation goes, then its successor
  // gets the vote.
  if (std::erase_if(membership.m_voters, isReplaced) == 0) {
    if (const std::optional<Member> lost = FindLostVoter()) {
      RemoveVoter(*lost);
      return;
    }
    std::erase(membership.m_learners, aLearner);
    membership.m_voters.push_back(aLearner);
  }
  ProposeMembership(membership);
}

void
Replica::On(const TransferLeadership&)
{
  if (m_role != ReplicaRole::Leader || m_membership.m_voters.size() < 2) {
    return;
  }
  m_isTransferring = true;
  m_transferDue = m_now + m_options.m_timing.m_election;
  ContinueTransfer();
}

void
Replica::ContinueTransfer()
{
  if (!m_isTransferring || m_isTransferSent) {
    return;
  }
  for (const auto& [id, progress] : m_progress) {
    const bool isLive =
      m_now < progress.m_heard + m_options.m_timing.m_election;
    const bool isWhole = progress.m_match == m_log.LastIndex();
    if (m_membership.IsVoter(id) && isLive && isWhole) {
      m_isTransferSent = true;
      Send(id, TimeoutNow{});
      return;
    }
  }
}

} // namespace fulmarquay
