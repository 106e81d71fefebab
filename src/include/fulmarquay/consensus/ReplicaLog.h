#ifndef FULMARQUAY_CONSENSUS_REPLICALOG_H
#define FULMARQUAY_CONSENSUS_REPLICALOG_H

#include "fulmarquay/consensus/ConsensusTypes.h"

#include <cstddef>
#include <deque>
#include <vector>

namespace fulmarquay {

/// In-memory log: the last snapshot and the entries after it.
class ReplicaLog
{
public:
  ReplicaLog() = default;
  explicit ReplicaLog(RecoveredState aState);

  LogIndex LastIndex() const;
  Term LastTerm() const;
  /// The snapshot that precedes the entries.
  const Snapshot& BaseSnapshot() const { return m_base; }

  /// Whether TermAt is defined for an index: that of the snapshot or of an
  /// entry.
  bool HasTermAt(LogIndex aIndex) const;

  /// The term of the snapshot or entry at an index; 0 for index 0 (term 0 of
  /// the initial snapshot). Throws Error if HasTermAt is false.
  Term TermAt(LogIndex aIndex) const;

  /// The entry at an index after the snapshot. Throws Error if there is none.
  const LogEntry& At(LogIndex aIndex) const;

  /// Throws Error unless the entry's index follows the last one.
  void Append(LogEntry aEntry);

  /// Removes every entry at or after an index.
  void TruncateFrom(LogIndex aIndex);

  /// Entries from `aFrom` on until their size reaches `aSoftLimitBytes`; at
  /// least one if there is any.
  std::vector<LogEntry> Slice(LogIndex aFrom,
                              std::size_t aSoftLimitBytes) const;

  /// Replaces the base by a newer snapshot of this replica's state machine and
  /// removes the entries that it covers.
  void Compact(Snapshot aSnapshot);

  /// Replaces the base by a snapshot from the leader and removes all entries.
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
