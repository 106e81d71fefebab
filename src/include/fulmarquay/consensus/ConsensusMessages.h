#ifndef FULMARQUAY_CONSENSUS_CONSENSUSMESSAGES_H
#define FULMARQUAY_CONSENSUS_CONSENSUSMESSAGES_H

#include "fulmarquay/consensus/ConsensusTypes.h"

#include <cstdint>
#include <map>
#include <set>
#include <variant>

namespace fulmarquay {

/// The feature level of this build. It rises with each build that adds a
/// command or a rule to the log, so that a leader proposes it only when every
/// member of the group knows it. Level 1 adds EvacuateCommand, level 2
/// Membership::m_acceptsHalf; builds that report no level have level 0.
constexpr std::uint32_t kFeatureLevel = 2;
/// The first level that knows Membership::m_acceptsHalf.
constexpr std::uint32_t kHalfQuorumFeatureLevel = 2;

/// Feature levels of the members that reported one.
using FeatureLevels = std::map<ReplicaId, std::uint32_t>;

/// Voters that have lost their disks, as known to the sender of a message when
/// it sent it. Such an id votes and acknowledges no more, for good.
using LostVoters = std::set<ReplicaId>;

/// Requests a vote or, as a pre-vote, whether a vote would be granted.
struct VoteRequest
{
  LogIndex m_lastIndex;
  Term m_lastTerm;
  bool m_isPreVote = false;
  bool m_isTransfer = false; ///< election started by a leadership transfer
  LostVoters m_lostVoters{};
  MSGPACK_DEFINE(m_lastIndex,
                 m_lastTerm,
                 m_isPreVote,
                 m_isTransfer,
                 m_lostVoters)
};

/// Reply to a VoteRequest.
struct VoteReply
{
  bool m_isGranted = false;
  bool m_isPreVote = false;
  LostVoters m_lostVoters{};
  MSGPACK_DEFINE(m_isGranted, m_isPreVote, m_lostVoters)
};

/// Log entries that follow m_prevIndex; a heartbeat may have none.
struct AppendRequest
{
  LogIndex m_prevIndex;
  Term m_prevTerm;
  LogIndex m_commit;
  std::uint64_t m_round = 0; ///< heartbeat round; its replies extend the lease
  std::vector<LogEntry> m_entries;
  /// As known to the leader. A follower that is elected next knows from them
  /// the levels of members that are absent then.
  FeatureLevels m_featureLevels;
  LostVoters m_lostVoters{};
  MSGPACK_DEFINE(m_prevIndex,
                 m_prevTerm,
                 m_commit,
                 m_round,
                 m_entries,
                 m_featureLevels,
                 m_lostVoters)
};

/// Reply to an AppendRequest: accepted once its entries are synced, or
/// rejected because the log does not match at m_prevIndex.
struct AppendReply
{
  bool m_isAccepted = false;
  /// Accepted: the index of the last synced entry of the request. Rejected:
  /// the leader tries again with the entry after this index.
  LogIndex m_index;
  std::uint64_t m_round = 0;
  LostVoters m_lostVoters{};
  MSGPACK_DEFINE(m_isAccepted, m_index, m_round, m_lostVoters)
};

/// Acknowledges an AppendRequest's heartbeat round at once, before the
/// follower's disk has synced. Extends the leader's lease.
struct HeartbeatAck
{
  std::uint64_t m_round = 0;
  std::uint32_t m_featureLevel = 0; ///< of the follower's build
  LostVoters m_lostVoters{};
  MSGPACK_DEFINE(m_round, m_featureLevel, m_lostVoters)
};

/// A part of a packed Snapshot. Offsets and sizes are in bytes.
struct SnapshotPart
{
  LogIndex m_index;
  std::uint64_t m_offset = 0;
  std::uint64_t m_total = 0;
  std::string m_bytes;
  MSGPACK_DEFINE(m_index, m_offset, m_total, m_bytes)
};

/// Requests the part at m_offset, or reports that the snapshot is installed.
struct SnapshotReply
{
  LogIndex m_index;
  std::uint64_t m_offset = 0;
  bool m_isInstalled = false;
  MSGPACK_DEFINE(m_index, m_offset, m_isInstalled)
};

/// Makes a follower with a complete log start an election at once.
struct TimeoutNow
{
  bool m_isTransfer = true;
  MSGPACK_DEFINE(m_isTransfer)
};

/// Requests that m_member be added to the control group as a learner. A replica
/// that does not lead forwards the request of that member to its leader.
struct JoinRequest
{
  Member m_member;
  /// The replica that a message was addressed to which reached m_member: a
  /// former one of the same VM, whose disk is lost; 0: none.
  ReplicaId m_former{};
  MSGPACK_DEFINE(m_member, m_former)
};

/// The body of a message between replicas.
using ConsensusBody = std::variant<VoteRequest,
                                   VoteReply,
                                   AppendRequest,
                                   AppendReply,
                                   HeartbeatAck,
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

/// Decodes a message from PackConsensus. Throws Error on malformed input.
ConsensusMessage
UnpackConsensus(std::string_view aBytes);

} // namespace fulmarquay

#endif
