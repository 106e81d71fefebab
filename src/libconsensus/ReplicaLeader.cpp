#include "fulmarquay/consensus/Replica.h"

#include <algorithm>
#include <utility>

namespace fulmarquay {

namespace {

/// Limit on unacknowledged entries per member; checked before each request.
constexpr std::uint64_t kMaxInFlightEntries = 2048;
/// An AppendRequest takes no further entries once it has this many bytes.
constexpr std::size_t kAppendSoftLimitBytes = 256U << 10U;
constexpr std::size_t kSnapshotPartBytes = 256U << 10U;

} // namespace

void
Replica::BecomeLeader()
{
  m_role = ReplicaRole::Leader;
  m_leader = Id();
  m_progress.clear();
  m_round = 0;
  m_membershipRound = 0;
  m_roundSentAt.clear();
  m_leaseEnd = m_now;
  m_leaderSince = m_now;
  ReconcileProgress();
  m_termStartIndex = Next(m_log.LastIndex());
  m_effects.emplace_back(LeadershipChanged{ true, m_hardState.m_term });
  AppendLeaderEntry(EntryKind::Noop, "");
  BroadcastHeartbeat();
}

void
Replica::ReconcileProgress()
{
  std::map<ReplicaId, Progress> progress;
  const auto addMembers = [&](const std::vector<Member>& aMembers) {
    for (const Member& member : aMembers) {
      if (member.m_id == Id()) {
        continue;
      }
      const auto existing = m_progress.find(member.m_id);
      if (existing != m_progress.end()) {
        progress[member.m_id] = std::move(existing->second);
      } else {
        progress[member.m_id].m_next = Next(m_log.LastIndex());
        progress[member.m_id].m_lastReplyAt = m_now;
      }
    }
  };
  addMembers(m_membership.m_voters);
  addMembers(m_membership.m_learners);
  m_progress = std::move(progress);
  std::erase_if(m_featureLevels, [this](const auto& aEach) {
    return !m_membership.Contains(aEach.first);
  });
}

std::uint32_t
Replica::FeatureLevelOf(ReplicaId aMember) const
{
  if (aMember == Id()) {
    return m_options.m_featureLevel;
  }
  const auto known = m_featureLevels.find(aMember);
  return known == m_featureLevels.end() ? 0 : known->second;
}

std::uint32_t
Replica::LowestFeatureLevel() const
{
  std::uint32_t lowest = m_options.m_featureLevel;
  for (const auto* members :
       { &m_membership.m_voters, &m_membership.m_learners }) {
    for (const Member& member : *members) {
      lowest = std::min(lowest, FeatureLevelOf(member.m_id));
    }
  }
  return lowest;
}

void
Replica::TickLeader()
{
  if (m_now >= m_nextHeartbeat) {
    BroadcastHeartbeat();
  }
  UpdateLease();
  AdjustMembership();
  const Duration grace = m_options.m_timing.m_electionTimeout;
  const bool hasLostQuorum =
    m_now > std::max(m_leaseEnd, m_leaderSince) + grace;
  const bool hasTransferTimedOut =
    m_isTransferring && m_now >= m_transferDeadline;
  if (hasLostQuorum || hasTransferTimedOut) {
    BecomeFollower(m_hardState.m_term, ReplicaId(0));
  }
}

void
Replica::BroadcastHeartbeat()
{
  m_nextHeartbeat = m_now + m_options.m_timing.m_heartbeatInterval;
  ++m_round;
  m_roundSentAt[m_round] = m_now;
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
  request.m_featureLevels = m_featureLevels;
  request.m_featureLevels[Id()] = m_options.m_featureLevel;
  request.m_lostVoters = m_lostVoters;
  const LogIndex prev = Previous(progress.m_next);
  if (!m_log.HasTermAt(prev)) {
    if (progress.m_snapshot.empty()) {
      progress.m_snapshot = Pack(m_log.BaseSnapshot());
      progress.m_snapshotIndex = m_log.BaseSnapshot().m_index;
      progress.m_snapshotOffset = 0;
      progress.m_snapshotSentAt = TimePoint();
    }
    if (aIsHeartbeat) {
      // Every log accepts a request at index 0. Its replies extend the lease
      // while the snapshot is being sent.
      Send(aTo, request);
      if (m_now >=
          progress.m_snapshotSentAt + m_options.m_timing.m_electionTimeout) {
        SendSnapshotPart(aTo);
      }
    }
    return;
  }
  request.m_prevIndex = prev;
  request.m_prevTerm = m_log.TermAt(prev);
  request.m_commit = m_commit;
  const std::uint64_t inFlightEntries =
    progress.m_next.Value() - progress.m_match.Value() - 1;
  if (!progress.m_isProbing && inFlightEntries < kMaxInFlightEntries) {
    request.m_entries = m_log.Slice(progress.m_next, kAppendSoftLimitBytes);
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
  progress.m_snapshotSentAt = m_now;
  part.m_index = progress.m_snapshotIndex;
  part.m_offset = progress.m_snapshotOffset;
  part.m_total = progress.m_snapshot.size();
  part.m_bytes = progress.m_snapshot.substr(part.m_offset, kSnapshotPartBytes);
  Send(aTo, std::move(part));
}

void
Replica::On(ReplicaId aFrom, const AppendReply& aReply)
{
  const auto it = m_progress.find(aFrom);
  if (m_role != ReplicaRole::Leader || it == m_progress.end()) {
    return;
  }
  Progress& progress = it->second;
  progress.m_lastReplyAt = m_now;
  progress.m_hasReplied = true;
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
  for (const ReplicaId lost : aReply.m_lostVoters) {
    LogIndex& match = progress.m_knowing[lost].m_match;
    match = std::max(match, aReply.m_index);
  }
  AdvanceCommit();
  SendAppend(aFrom, false);
  ContinueTransfer();
}

void
Replica::On(ReplicaId aFrom, const HeartbeatAck& aReply)
{
  const auto it = m_progress.find(aFrom);
  if (m_role != ReplicaRole::Leader || it == m_progress.end()) {
    return;
  }
  it->second.m_lastReplyAt = m_now;
  it->second.m_hasReplied = true;
  it->second.m_round = std::max(it->second.m_round, aReply.m_round);
  for (const ReplicaId lost : aReply.m_lostVoters) {
    std::uint64_t& round = it->second.m_knowing[lost].m_round;
    round = std::max(round, aReply.m_round);
  }
  // Not the maximum: a member may have returned with an older build.
  m_featureLevels[aFrom] = aReply.m_featureLevel;
  UpdateLease();
}

void
Replica::On(ReplicaId aFrom, const SnapshotReply& aReply)
{
  const auto it = m_progress.find(aFrom);
  if (m_role != ReplicaRole::Leader || it == m_progress.end()) {
    return;
  }
  Progress& progress = it->second;
  progress.m_lastReplyAt = m_now;
  progress.m_hasReplied = true;
  const bool isCurrent =
    !progress.m_snapshot.empty() && aReply.m_index == progress.m_snapshotIndex;
  if (!isCurrent) {
    return;
  }
  if (!aReply.m_isInstalled) {
    if (aReply.m_offset == progress.m_snapshotOffset) {
      // The reply to a repeated part: its successor has been sent already.
      return;
    }
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
Replica::On(const ProposeCommand& aEvent)
{
  if (m_role != ReplicaRole::Leader || m_isTransferring) {
    m_effects.emplace_back(ProposalRefused{ aEvent.m_request });
    return;
  }
  AppendLeaderEntry(EntryKind::Command, aEvent.m_payload);
  m_effects.emplace_back(ProposalAppended{
    aEvent.m_request, m_log.LastIndex(), m_hardState.m_term });
}

void
Replica::AppendLeaderEntry(EntryKind aKind, std::string aPayload)
{
  LogEntry entry;
  entry.m_index = Next(m_log.LastIndex());
  entry.m_term = m_hardState.m_term;
  entry.m_kind = static_cast<std::uint8_t>(aKind);
  entry.m_payload = std::move(aPayload);
  m_log.Append(entry);
  Persist({ std::move(entry) }, false);
  if (aKind == EntryKind::Membership) {
    m_membershipRound = m_round;
    RefreshMembership();
  }
  for (const auto& [id, progress] : m_progress) {
    SendAppend(id, false);
  }
}

void
Replica::On(const TransferLeadership&)
{
  if (m_role != ReplicaRole::Leader || m_membership.m_voters.size() < 2) {
    return;
  }
  m_isTransferring = true;
  m_transferDeadline = m_now + m_options.m_timing.m_electionTimeout;
  ContinueTransfer();
}

void
Replica::ContinueTransfer()
{
  if (!m_isTransferring || m_isTimeoutNowSent) {
    return;
  }
  for (const auto& [id, progress] : m_progress) {
    const bool hasFullLog = progress.m_match == m_log.LastIndex();
    if (m_membership.IsVoter(id) && IsResponsive(id) && hasFullLog) {
      m_isTimeoutNowSent = true;
      Send(id, TimeoutNow{});
      return;
    }
  }
}

} // namespace fulmarquay
