#ifndef FULMARQUAY_CONSENSUS_REPLICAEFFECTS_H
#define FULMARQUAY_CONSENSUS_REPLICAEFFECTS_H

#include "fulmarquay/consensus/ConsensusMessages.h"

#include <optional>
#include <variant>
#include <vector>

namespace fulmarquay {

/// Send a message to the replica it names.
struct SendConsensus
{
  ConsensusMessage m_message;
};

/// Append to the disk and sync; then report DiskSynced with this number.
/// An entry at or below the last stored index replaces it and all after it.
struct PersistBatch
{
  std::uint64_t m_number = 0;
  std::optional<HardState> m_hard;
  std::vector<LogEntry> m_entries;
};

/// Replace the disk's log by this snapshot; then report DiskSynced.
struct PersistSnapshot
{
  std::uint64_t m_number = 0;
  HardState m_hard;
  Snapshot m_snapshot;
};

/// Hand a committed entry to the state machine.
struct ApplyEntry
{
  LogEntry m_entry;
};

/// Replace the state machine by a snapshot's data.
struct RestoreMachine
{
  LogIndex m_index;
  std::string m_data;
};

/// A proposal got this place in the log; it may still be lost.
struct ProposalAppended
{
  RequestId m_request;
  LogIndex m_index;
  Term m_term;
};

/// A proposal was not taken and never will be.
struct ProposalRefused
{
  RequestId m_request;
};

/// This replica began or ceased to lead.
struct LeadershipChanged
{
  bool m_isLeader = false;
  Term m_term;
};

/// The leader removes a voter that was silent for too long.
struct VoterLost
{
  Member m_voter;
};

using ReplicaEffect = std::variant<SendConsensus,
                                   PersistBatch,
                                   PersistSnapshot,
                                   ApplyEntry,
                                   RestoreMachine,
                                   ProposalAppended,
                                   ProposalRefused,
                                   LeadershipChanged,
                                   VoterLost>;

/// Effects in the order in which they are to be carried out.
using ReplicaEffects = std::vector<ReplicaEffect>;

} // namespace fulmarquay

#endif
