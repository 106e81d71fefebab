#ifndef FULMARQUAY_CONSENSUS_REPLICAEFFECTS_H
#define FULMARQUAY_CONSENSUS_REPLICAEFFECTS_H

#include "fulmarquay/consensus/ConsensusMessages.h"

#include <optional>
#include <variant>
#include <vector>

namespace fulmarquay {

/// Send a message to the replica m_to; if m_to is 0, to every configured
/// replica address.
struct SendConsensus
{
  ConsensusMessage m_message;
};

/// Append to the log on disk and sync; then report DiskSynced with m_number.
/// An entry at or below the last stored index replaces the entry at its index
/// and all later ones.
struct PersistBatch
{
  std::uint64_t m_number = 0;
  std::optional<HardState> m_hardState;
  std::vector<LogEntry> m_entries;
};

/// Replace the log on disk by this snapshot; then report DiskSynced with
/// m_number.
struct PersistSnapshot
{
  std::uint64_t m_number = 0;
  HardState m_hardState;
  Snapshot m_snapshot;
};

/// Apply a committed entry to the state machine.
struct ApplyEntry
{
  LogEntry m_entry;
};

/// Replace the state of the state machine by a snapshot's data.
struct RestoreStateMachine
{
  LogIndex m_index;
  std::string m_data;
};

/// A proposal was appended to the leader's log at this index and term. It is
/// not committed yet and may still be lost.
struct ProposalAppended
{
  RequestId m_request;
  LogIndex m_index;
  Term m_term;
};

/// A proposal was not appended and never takes effect.
struct ProposalRefused
{
  RequestId m_request;
};

/// This replica became leader or stopped being leader.
struct LeadershipChanged
{
  bool m_isLeader = false;
  Term m_term;
};

/// The leader removes a voter.
struct VoterRemoved
{
  Member m_voter;
  bool m_isDiskLost = false; ///< its VM returned under a new id
  Duration m_silence;        ///< time since its last reply
};

/// A voter turned out to have lost its disk.
struct VoterDiskLost
{
  Member m_voter;
};

/// The membership in force at this replica has changed.
struct MembershipChanged
{
  Membership m_membership;
};

/// What a replica did with a join request.
enum class JoinOutcome
{
  Added,            ///< as a learner
  KnownMember,      ///< it is a member already
  ChangeInProgress, ///< the leader can't change the membership now
  Forwarded,        ///< to the leader
  NotLeader,        ///< dropped: no leader is known, or it was forwarded
};

/// A join request was received.
struct JoinHandled
{
  Member m_member;
  JoinOutcome m_outcome = JoinOutcome::NotLeader;
};

using ReplicaEffect = std::variant<SendConsensus,
                                   PersistBatch,
                                   PersistSnapshot,
                                   ApplyEntry,
                                   RestoreStateMachine,
                                   ProposalAppended,
                                   ProposalRefused,
                                   LeadershipChanged,
                                   VoterRemoved,
                                   VoterDiskLost,
                                   MembershipChanged,
                                   JoinHandled>;

/// Effects in the order in which they are to be carried out.
using ReplicaEffects = std::vector<ReplicaEffect>;

} // namespace fulmarquay

#endif
