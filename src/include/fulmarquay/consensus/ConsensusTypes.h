#ifndef FULMARQUAY_CONSENSUS_CONSENSUSTYPES_H
#define FULMARQUAY_CONSENSUS_CONSENSUSTYPES_H

#include "fulmarquay/core/StrongId.h"
#include "fulmarquay/core/Units.h"
#include "fulmarquay/wire/Codec.h"

#include <cstdint>
#include <string>
#include <vector>

namespace fulmarquay {

/// Identifies one incarnation of a replica's disk. A disk that is formatted
/// again gets a new id.
using ReplicaId = StrongId<struct ReplicaTag>;
/// An election term.
using Term = StrongId<struct TermTag>;
/// An index into the replicated log; the first entry has index 1.
using LogIndex = StrongId<struct LogIndexTag>;

/// The index that is `aStep` positions after another.
inline LogIndex
Next(LogIndex aIndex, std::uint64_t aStep = 1)
{
  return LogIndex(aIndex.Value() + aStep);
}

/// The index before another; 0 stays 0.
inline LogIndex
Previous(LogIndex aIndex)
{
  return LogIndex(aIndex.Value() == 0 ? 0 : aIndex.Value() - 1);
}

/// A replica of the control group.
struct Member
{
  ReplicaId m_id;
  std::string m_vm;      ///< the VM's name in the settings
  std::string m_address; ///< IP:PORT of its framed listener
  MSGPACK_DEFINE(m_id, m_vm, m_address)
  bool operator==(const Member&) const = default;
};

/// The voters of the control group, and the learners, which only receive the
/// log.
struct Membership
{
  std::vector<Member> m_voters;
  std::vector<Member> m_learners;
  /// Half of the votes are a quorum if all their voters know of the same other
  /// voter that its disk is lost. Builds of feature level 1 ignore this.
  bool m_acceptsHalf = false;
  /// Voters with one vote each; all others have two. Empty: each voter has one.
  std::vector<ReplicaId> m_lightVoters;
  MSGPACK_DEFINE(m_voters, m_learners, m_acceptsHalf, m_lightVoters)
  bool operator==(const Membership&) const = default;

  /// Votes of a voter; 0 for others.
  std::size_t VotesOf(ReplicaId aId) const;
  std::size_t TotalVotes() const;
  bool IsVoter(ReplicaId aId) const;
  bool IsLearner(ReplicaId aId) const;
  bool Contains(ReplicaId aId) const { return IsVoter(aId) || IsLearner(aId); }
};

/// Type of a log entry.
enum class EntryKind : std::uint8_t
{
  Noop = 0,
  Command = 1,    ///< a command for the state machine
  Membership = 2, ///< a packed Membership
};

/// One entry of the replicated log.
struct LogEntry
{
  LogIndex m_index;
  Term m_term;
  std::uint8_t m_kind = 0;
  std::string m_payload;
  MSGPACK_DEFINE(m_index, m_term, m_kind, m_payload)

  EntryKind Kind() const { return static_cast<EntryKind>(m_kind); }
};

/// Election state that must be synced to disk before a reply with this term
/// or vote is sent.
struct HardState
{
  Term m_term;
  ReplicaId m_vote;
  MSGPACK_DEFINE(m_term, m_vote)
  bool operator==(const HardState&) const = default;
};

/// The state machine at one index, with the membership in force there.
struct Snapshot
{
  LogIndex m_index;
  Term m_term;
  Membership m_membership;
  std::string m_data;
  MSGPACK_DEFINE(m_index, m_term, m_membership, m_data)
};

/// State read from the state disk when the process starts.
struct RecoveredState
{
  HardState m_hardState;
  Snapshot m_snapshot;
  std::vector<LogEntry> m_entries;
};

} // namespace fulmarquay

#endif
