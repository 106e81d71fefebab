#include "fulmarquay/consensus/Replica.h"

#include "fulmarquay/core/Error.h"

#include <algorithm>
#include <utility>

namespace fulmarquay {

namespace {

constexpr Duration kJoinInterval(300'000);
/// A member without a leader for this long may have been removed while it was
/// cut off, and asks to join again.
constexpr Duration kRejoinAfter(2'000'000);

} // namespace

void
Replica::AskToJoin()
{
  const bool isLed =
    m_membership.Contains(Id()) && m_now < m_leaderHeard + kRejoinAfter;
  if (isLed || !m_options.m_wantsVote || m_now < m_nextJoin) {
    return;
  }
  m_nextJoin = m_now + kJoinInterval;
  // Id 0: the shell sends it to every configured address.
  Send(ReplicaId(0), JoinRequest{ m_options.m_self });
}

void
Replica::On(ReplicaId aFrom, const AppendRequest& aRequest)
{
  BecomeFollower(m_hard.m_term, aFrom);
  m_leaderHeard = m_now;
  ResetElectionTimer();
  Send(aFrom, RoundReply{ aRequest.m_round });
  const bool isGap = aRequest.m_prevIndex > m_log.LastIndex();
  const bool isConflict =
    m_log.Knows(aRequest.m_prevIndex) &&
    m_log.TermAt(aRequest.m_prevIndex) != aRequest.m_prevTerm;
  if (isGap || isConflict) {
    RefuseAppend(aFrom, aRequest);
    return;
  }
  StoreEntries(aRequest);
  const LogIndex last = Next(aRequest.m_prevIndex, aRequest.m_entries.size());
  m_commit = std::max(m_commit, std::min(aRequest.m_commit, last));
  SendAfterSync(aFrom, AppendReply{ true, last, aRequest.m_round });
}

void
Replica::RefuseAppend(ReplicaId aLeader, const AppendRequest& aRequest)
{
  const LogIndex hint =
    std::min(Previous(aRequest.m_prevIndex), m_log.LastIndex());
  SendAfterSync(aLeader, AppendReply{ false, hint, aRequest.m_round });
}

void
Replica::StoreEntries(const AppendRequest& aRequest)
{
  std::vector<LogEntry> added;
  bool hasMembership = false;
  for (const LogEntry& entry : aRequest.m_entries) {
    if (entry.m_index <= m_log.Base().m_index) {
      continue;
    }
    if (m_log.Knows(entry.m_index)) {
      if (m_log.TermAt(entry.m_index) == entry.m_term) {
        continue;
      }
      TruncateFrom(entry.m_index);
      hasMembership = true;
    }
    hasMembership = hasMembership || entry.Kind() == EntryKind::Membership;
    m_log.Append(entry);
    added.push_back(entry);
  }
  if (!added.empty()) {
    Persist(std::move(added), false);
  }
  if (hasMembership) {
    AdoptMembership();
  }
}

void
Replica::TruncateFrom(LogIndex aIndex)
{
  if (aIndex <= m_commit) {
    throw Error("truncate replica log", "", "a committed entry would be lost");
  }
  m_log.TruncateFrom(aIndex);
  const LogIndex last = Previous(aIndex);
  m_syncedIndex = std::min(m_syncedIndex, last);
  for (auto& [number, index] : m_persistedLast) {
    index = std::min(index, last);
  }
}

void
Replica::On(ReplicaId aFrom, const SnapshotPart& aPart)
{
  BecomeFollower(m_hard.m_term, aFrom);
  m_leaderHeard = m_now;
  ResetElectionTimer();
  if (aPart.m_index <= m_commit) {
    SendAfterSync(aFrom, SnapshotReply{ aPart.m_index, aPart.m_total, true });
    return;
  }
  if (aPart.m_index != m_incomingIndex || aPart.m_offset == 0) {
    m_incoming.clear();
    m_incomingIndex = aPart.m_index;
  }
  if (aPart.m_offset == m_incoming.size()) {
    m_incoming += aPart.m_bytes;
  }
  if (m_incoming.size() < aPart.m_total) {
    Send(aFrom, SnapshotReply{ aPart.m_index, m_incoming.size(), false });
    return;
  }
  InstallSnapshot(Unpack<Snapshot>(m_incoming));
  m_incoming.clear();
  m_incomingIndex = LogIndex(0);
  SendAfterSync(aFrom, SnapshotReply{ aPart.m_index, aPart.m_total, true });
}

void
Replica::InstallSnapshot(Snapshot aSnapshot)
{
  const bool isKnown = m_log.Knows(aSnapshot.m_index) &&
                       m_log.TermAt(aSnapshot.m_index) == aSnapshot.m_term;
  if (isKnown) {
    // The log already holds the entry: keep what follows it.
    m_commit = std::max(m_commit, aSnapshot.m_index);
    return;
  }
  m_log.Reset(aSnapshot);
  m_commit = aSnapshot.m_index;
  m_applied = aSnapshot.m_index;
  m_syncedIndex = LogIndex(0);
  for (auto& [number, index] : m_persistedLast) {
    index = LogIndex(0);
  }
  m_effects.emplace_back(RestoreMachine{ aSnapshot.m_index, aSnapshot.m_data });
  PersistSnapshot persist;
  persist.m_number = ++m_persistNumber;
  persist.m_hard = m_hard;
  persist.m_snapshot = std::move(aSnapshot);
  m_persistedLast[persist.m_number] = m_log.LastIndex();
  m_effects.emplace_back(std::move(persist));
  AdoptMembership();
}

} // namespace fulmarquay
