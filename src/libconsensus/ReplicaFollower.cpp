#include "fulmarquay/consensus/Replica.h"

#include "fulmarquay/core/Error.h"

#include <algorithm>
#include <utility>

namespace fulmarquay {

namespace {

constexpr Duration kJoinRequestInterval(300'000);
/// A member without leader contact for this long may have been removed while
/// it was partitioned, so it sends join requests again.
constexpr Duration kRejoinTimeout(2'000'000);

} // namespace

void
Replica::RequestMembership()
{
  const bool isActiveMember =
    m_membership.Contains(Id()) && m_now < m_lastLeaderContact + kRejoinTimeout;
  if (isActiveMember || !m_options.m_requestsMembership ||
      m_now < m_nextJoinRequest) {
    return;
  }
  m_nextJoinRequest = m_now + kJoinRequestInterval;
  // Recipient 0: the message is sent to every configured replica address.
  Send(ReplicaId(0), JoinRequest{ m_options.m_self, ReplicaId(0) });
  if (m_memberContact != ReplicaId(0)) {
    // None of the configured replicas may be left.
    Send(m_memberContact, JoinRequest{ m_options.m_self, ReplicaId(0) });
  }
}

void
Replica::On(ReplicaId aFrom, const AppendRequest& aRequest)
{
  BecomeFollower(m_hardState.m_term, aFrom);
  m_lastLeaderContact = m_now;
  ResetElectionTimer();
  m_featureLevels = aRequest.m_featureLevels;
  LearnLostVoters(aRequest.m_lostVoters);
  Send(
    aFrom,
    HeartbeatAck{ aRequest.m_round, m_options.m_featureLevel, m_lostVoters });
  const bool isGap = aRequest.m_prevIndex > m_log.LastIndex();
  const bool isConflict =
    m_log.HasTermAt(aRequest.m_prevIndex) &&
    m_log.TermAt(aRequest.m_prevIndex) != aRequest.m_prevTerm;
  if (isGap || isConflict) {
    RejectAppend(aFrom, aRequest);
    return;
  }
  StoreEntries(aRequest);
  const LogIndex last = Next(aRequest.m_prevIndex, aRequest.m_entries.size());
  m_commit = std::max(m_commit, std::min(aRequest.m_commit, last));
  SendAfterSync(aFrom,
                AppendReply{ true, last, aRequest.m_round, m_lostVoters });
}

void
Replica::RejectAppend(ReplicaId aLeader, const AppendRequest& aRequest)
{
  const LogIndex hint =
    std::min(Previous(aRequest.m_prevIndex), m_log.LastIndex());
  SendAfterSync(aLeader, AppendReply{ false, hint, aRequest.m_round, {} });
}

void
Replica::StoreEntries(const AppendRequest& aRequest)
{
  std::vector<LogEntry> appended;
  bool isMembershipAffected = false;
  for (const LogEntry& entry : aRequest.m_entries) {
    if (entry.m_index <= m_log.BaseSnapshot().m_index) {
      continue;
    }
    if (m_log.HasTermAt(entry.m_index)) {
      if (m_log.TermAt(entry.m_index) == entry.m_term) {
        continue;
      }
      TruncateFrom(entry.m_index);
      isMembershipAffected = true;
    }
    isMembershipAffected =
      isMembershipAffected || entry.Kind() == EntryKind::Membership;
    m_log.Append(entry);
    appended.push_back(entry);
  }
  if (!appended.empty()) {
    Persist(std::move(appended), false);
  }
  if (isMembershipAffected) {
    RefreshMembership();
  }
}

void
Replica::TruncateFrom(LogIndex aIndex)
{
  if (aIndex <= m_commit) {
    throw Error(
      "truncate replica log", "", "it would remove a committed entry");
  }
  m_log.TruncateFrom(aIndex);
  const LogIndex last = Previous(aIndex);
  m_syncedIndex = std::min(m_syncedIndex, last);
  for (auto& [number, index] : m_lastIndexByPersist) {
    index = std::min(index, last);
  }
}

void
Replica::On(ReplicaId aFrom, const SnapshotPart& aPart)
{
  BecomeFollower(m_hardState.m_term, aFrom);
  m_lastLeaderContact = m_now;
  ResetElectionTimer();
  if (aPart.m_index <= m_commit) {
    SendAfterSync(aFrom, SnapshotReply{ aPart.m_index, aPart.m_total, true });
    return;
  }
  if (aPart.m_index != m_incomingSnapshotIndex || aPart.m_offset == 0) {
    m_incomingSnapshot.clear();
    m_incomingSnapshotIndex = aPart.m_index;
  }
  if (aPart.m_offset == m_incomingSnapshot.size()) {
    m_incomingSnapshot += aPart.m_bytes;
  }
  if (m_incomingSnapshot.size() < aPart.m_total) {
    Send(aFrom,
         SnapshotReply{ aPart.m_index, m_incomingSnapshot.size(), false });
    return;
  }
  InstallSnapshot(Unpack<Snapshot>(m_incomingSnapshot));
  m_incomingSnapshot.clear();
  m_incomingSnapshotIndex = LogIndex(0);
  SendAfterSync(aFrom, SnapshotReply{ aPart.m_index, aPart.m_total, true });
}

void
Replica::InstallSnapshot(Snapshot aSnapshot)
{
  const bool isInLog = m_log.HasTermAt(aSnapshot.m_index) &&
                       m_log.TermAt(aSnapshot.m_index) == aSnapshot.m_term;
  if (isInLog) {
    // The log already contains the snapshot's last entry: keep the entries
    // after it.
    m_commit = std::max(m_commit, aSnapshot.m_index);
    return;
  }
  m_log.Reset(aSnapshot);
  m_commit = aSnapshot.m_index;
  m_applied = aSnapshot.m_index;
  m_syncedIndex = LogIndex(0);
  for (auto& [number, index] : m_lastIndexByPersist) {
    index = LogIndex(0);
  }
  m_effects.emplace_back(
    RestoreStateMachine{ aSnapshot.m_index, aSnapshot.m_data });
  PersistSnapshot persist;
  persist.m_number = ++m_lastPersistNumber;
  persist.m_hardState = m_hardState;
  persist.m_snapshot = std::move(aSnapshot);
  m_lastIndexByPersist[persist.m_number] = m_log.LastIndex();
  m_effects.emplace_back(std::move(persist));
  RefreshMembership();
}

} // namespace fulmarquay
