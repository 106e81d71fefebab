#ifndef FULMARQUAY_CONSENSUS_CONSENSUSMESSAGES_H
#define FULMARQUAY_CONSENSUS_CONSENSUSMESSAGES_H

#include "fulmarquay/consensus/ConsensusTypes.h"

#include <variant>

namespace fulmarquay {

/// Asks for a vote, or (pre-vote) whether a vote would be given.
struct VoteRequest
{
  LogIndex m_lastIndex;
  Term m_lastTerm;
  bool m_isPreVote = false;
  bool m_isTransfer = false; ///< the old leader asked for this election
  MSGPACK_DEFINE(m_lastIndex, m_lastTerm, m_isPreVote, m_isTransfer)
};

/// Answers a VoteRequest.
struct VoteReply
{
  bool m_isGranted = false;
  bool m_isPreVote = false;
  MSGPACK_DEFINE(m_isGranted, m_isPreVote)
};

/// Entries after m_prevIndex; empty as a heartbeat.
struct AppendRequest
{
  LogIndex m_prevIndex;
  Term m_prevTerm;
  LogIndex m_commit;
  std::uint64_t m_round = 0; ///< heartbeat round, echoed for the lease
  std::vector<LogEntry> m_entries;
  MSGPACK_DEFINE(m_prevIndex, m_prevTerm, m_commit, m_round, m_entries)
};

/// Sent when everything up to m_index is synced, or the append did not fit.
struct AppendReply
{
  bool m_isAccepted = false;
  LogIndex m_index; ///< last synced index, or the last index to try again at
  std::uint64_t m_round = 0;
  MSGPACK_DEFINE(m_isAccepted, m_index, m_round)
};

/// Says that the sender is a live follower, before its disk has synced.
struct RoundReply
{
  std::uint64_t m_round = 0;
  MSGPACK_DEFINE(m_round)
};

/// A part of a packed Snapshot.
struct SnapshotPart
{
  LogIndex m_index;
  std::uint64_t m_offset = 0;
  std::uint64_t m_total = 0;
  std::string m_bytes;
  MSGPACK_DEFINE(m_index, m_offset, m_total, m_bytes)
};

/// Asks for the part at m_offset, or says that the snapshot is installed.
struct SnapshotReply
{
  LogIndex m_index;
  std::uint64_t m_offset = 0;
  bool m_isInstalled = false;
  MSGPACK_DEFINE(m_index, m_offset, m_isInstalled)
};

/// Tells a caught-up follower to start an election at once.
struct TimeoutNow
{
  bool m_isTransfer = true;
  MSGPACK_DEFINE(m_isTransfer)
};

/// A replica without a vote asks to become a member.
struct JoinRequest
{
  Member m_member;
  MSGPACK_DEFINE(m_member)
};

/// The body of a message between replicas.
using ConsensusBody = std::variant<VoteRequest,
                                   VoteReply,
                                   AppendRequest,
                                   AppendReply,
                                   RoundReply,
                                   SnapshotPart,
                                   SnapshotReply,
                                   TimeoutNow,
                                   JoinRequest>;

/// A message between replicas.
struct ConsensusMessage
{
  ReplicaId m_from;
  ReplicaId m_to;
  Term m_term;
  ConsensusBody m_body;
};

/// Encodes a message for a frame of Channel::Consensus.
std::string
PackConsensus(const ConsensusMessage& aMessage);

/// Decodes it. Throws Error on malformed input.
ConsensusMessage
UnpackConsensus(std::string_view aBytes);

} // namespace fulmarquay

#endif
