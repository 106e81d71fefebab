#ifndef FULMARQUAY_CONSENSUS_REPLICALOG_H
#define FULMARQUAY_CONSENSUS_REPLICALOG_H

#include "fulmarquay/consensus/ConsensusTypes.h"

#include <cstddef>
#include <deque>
#include <vector>

namespace fulmarquay {

/// The entries after the last snapshot, in memory.
class ReplicaLog
{
public:
  ReplicaLog() = default;
  explicit ReplicaLog(RecoveredState aState);

  LogIndex LastIndex() const;
  Term LastTerm() const;
  const Snapshot& Base() const { return m_base; }

  /// Whether the term of an index is known: the snapshot's or an entry's.
  bool Knows(LogIndex aIndex) const;

  /// The term of a known index; 0 for index 0.
  Term TermAt(LogIndex aIndex) const;

  /// The entry of an index after the snapshot.
  const LogEntry& At(LogIndex aIndex) const;

  void Append(LogEntry aEntry);

  /// Drops every entry at or after an index.
  void TruncateFrom(LogIndex aIndex);

  /// Entries from an index on, up to about aBytes but at least one.
  std::vector<LogEntry> Slice(LogIndex aFrom, std::size_t aBytes) const;

  /// Takes a snapshot of the own state machine; entries it covers go.
  void Compact(Snapshot aSnapshot);

  /// Replaces everything by a snapshot from the leader.
  void Reset(Snapshot aSnapshot);

  /// The membership in force at an index: that of the newest Membership entry
  /// up to there, else the snapshot's.
  Membership MembershipAt(LogIndex aIndex) const;

  /// The index of the newest Membership entry up to an index; 0 when the
  /// snapshot's membership is in force there.
  LogIndex MembershipIndex(LogIndex aIndex) const;

private:
  Snapshot m_base;
  std::deque<LogEntry> m_entries;
};

} // namespace fulmarquay

#endif
