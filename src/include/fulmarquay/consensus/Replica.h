#ifndef FULMARQUAY_CONSENSUS_REPLICA_H
#define FULMARQUAY_CONSENSUS_REPLICA_H

#include "fulmarquay/consensus/ReplicaEffects.h"
#include "fulmarquay/consensus/ReplicaEvents.h"
#include "fulmarquay/consensus/ReplicaLog.h"

#include <deque>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>

namespace fulmarquay {

enum class ReplicaRole
{
  Follower,
  PreCandidate,
  Candidate,
  Leader,
};

/// The timing of a replica. All replicas of a group use the same values.
struct ReplicaTiming
{
  /// A follower waits between one and two of these for its leader.
  Duration m_election = Duration(400'000);
  Duration m_heartbeat = Duration(60'000);
  /// How much slower one clock may run than another, in parts of 1,000.
  std::int64_t m_driftPerMille = 50;
};

/// Who this replica is.
struct ReplicaOptions
{
  Member m_self;
  /// Asks for a vote in the group when it has none.
  bool m_wantsVote = true;
  ReplicaTiming m_timing;
  std::uint64_t m_seed = 1;
};

/// The consensus reducer of one replica: elections with pre-vote and
/// check-quorum, log replication, snapshots, membership changes, lease.
///
/// Pure: time comes with each event, effects are returned as data. After an
/// exception the object must not be used again. Not thread-safe.
class Replica
{
public:
  Replica(ReplicaOptions aOptions, RecoveredState aState, TimePoint aNow);
  virtual ~Replica() = default;

  /// Takes one event and returns what is to be done, in order.
  ReplicaEffects Reduce(TimePoint aNow, const ReplicaEvent& aEvent);

  ReplicaId Id() const { return m_options.m_self.m_id; }
  ReplicaRole Role() const { return m_role; }
  Term CurrentTerm() const { return m_hard.m_term; }
  ReplicaId Vote() const { return m_hard.m_vote; }
  LogIndex Commit() const { return m_commit; }
  const ReplicaLog& Log() const { return m_log; }
  const Membership& Members() const { return m_membership; }

  /// The leader as far as known; 0 when unknown.
  ReplicaId Leader() const { return m_leader; }

  /// Whether this replica leads, holds its lease and has applied an entry of
  /// its own term: it may then answer reads and issue orders.
  bool HoldsLease(TimePoint aNow) const;

  /// The longest time for which a leader may still believe in its lease after
  /// another could have been elected, seen from the new leader.
  Duration LeaseLength() const;

  /// A snapshot of the state machine at the last applied entry.
  Snapshot MakeSnapshot(std::string aData) const;

protected:
  // Points at which a test subclass seeds a known defect.
  virtual bool MayGrant(const VoteRequest& aRequest, ReplicaId aFrom) const;
  virtual bool IsQuorum(std::size_t aCount) const;
  virtual bool MayCommit(LogIndex aIndex) const;
  virtual bool AwaitsSync() const { return true; }

  ReplicaLog m_log;
  HardState m_hard;
  Membership m_membership;

private:
  /// What the leader knows of another member.
  struct Progress
  {
    LogIndex m_match;
    LogIndex m_next;
    std::uint64_t m_round = 0;
    bool m_isProbing = true; ///< m_next is a guess; send no entries yet
    TimePoint m_heard;
    std::string m_snapshot; ///< packed, while it is being sent
    LogIndex m_snapshotIndex;
    std::uint64_t m_snapshotOffset = 0;
  };

  struct HeldMessage
  {
    std::uint64_t m_number = 0;
    ConsensusMessage m_message;
  };

  // Event handlers.
  void On(const ReplicaTick&);
  void On(const ConsensusReceived& aEvent);
  void On(const DiskSynced& aEvent);
  void On(const ProposeCommand& aEvent);
  void On(const SnapshotSaved& aEvent);
  void On(const TransferLeadership&);

  // Message handlers.
  void On(ReplicaId aFrom, const VoteRequest& aRequest);
  void On(ReplicaId aFrom, const VoteReply& aReply);
  void On(ReplicaId aFrom, const AppendRequest& aRequest);
  void On(ReplicaId aFrom, const AppendReply& aReply);
  void On(ReplicaId aFrom, const RoundReply& aReply);
  void On(ReplicaId aFrom, const SnapshotPart& aPart);
  void On(ReplicaId aFrom, const SnapshotReply& aReply);
  void On(ReplicaId aFrom, const TimeoutNow& aOrder);
  void On(ReplicaId aFrom, const JoinRequest& aRequest);

  // Elections.
  bool IsIgnored(const ConsensusMessage& aMessage) const;
  void AnswerStale(const ConsensusMessage& aMessage);
  void StartElection(bool aIsPreVote, bool aIsTransfer);
  void CountVotes();
  void BecomeFollower(Term aTerm, ReplicaId aLeader);
  void BecomeLeader();
  void ResetElectionTimer();
  bool HeardLeaderLately() const;
  bool IsUpToDate(const VoteRequest& aRequest) const;

  // Leader.
  void TickLeader();
  void BroadcastHeartbeat();
  void SendAppend(ReplicaId aTo, bool aIsHeartbeat);
  void SendSnapshotPart(ReplicaId aTo);
  void AdvanceCommit();
  void UpdateLease();
  void AppendOwn(EntryKind aKind, std::string aPayload);
  void ReviewMembership();
  bool MayChangeMembership() const;
  bool IsCaughtUp(ReplicaId aId) const;
  void ReviewLearner(const Member& aLearner);
  std::optional<Member> FindLostVoter() const;
  void RemoveVoter(const Member& aVoter);
  void ProposeMembership(const Membership& aMembership);
  void ContinueTransfer();
  void SyncProgress();

  // Follower.
  void AskToJoin();
  void StoreEntries(const AppendRequest& aRequest);
  void TruncateFrom(LogIndex aIndex);
  void InstallSnapshot(Snapshot aSnapshot);
  void RefuseAppend(ReplicaId aLeader, const AppendRequest& aRequest);

  // Effects.
  void Send(ReplicaId aTo, ConsensusBody aBody);
  void SendAfterSync(ReplicaId aTo, ConsensusBody aBody);
  void Persist(std::vector<LogEntry> aEntries, bool aHardChanged);
  void ApplyCommitted();
  void AdoptMembership();
  std::size_t CountVoters(const std::set<ReplicaId>& aIds) const;

  ReplicaOptions m_options;
  std::mt19937_64 m_random;
  TimePoint m_now;
  ReplicaEffects m_effects;

  ReplicaRole m_role = ReplicaRole::Follower;
  ReplicaId m_leader;
  LogIndex m_commit;
  LogIndex m_applied;

  TimePoint m_electionDue;
  TimePoint m_leaderHeard;
  TimePoint m_nextJoin;
  std::set<ReplicaId> m_votes;

  std::uint64_t m_persistNumber = 0;
  std::uint64_t m_syncedNumber = 0;
  std::map<std::uint64_t, LogIndex> m_persistedLast;
  std::deque<HeldMessage> m_held;
  LogIndex m_syncedIndex;

  std::map<ReplicaId, Progress> m_progress;
  std::uint64_t m_round = 0;
  std::map<std::uint64_t, TimePoint> m_roundSent;
  TimePoint m_nextHeartbeat;
  TimePoint m_leaseEnd;
  TimePoint m_leaderSince;
  LogIndex m_termStart; ///< the no-op that opened the own term
  bool m_isTransferring = false;
  bool m_isTransferSent = false;
  TimePoint m_transferDue;

  std::string m_incoming; ///< parts of a snapshot being received
  LogIndex m_incomingIndex;
};

} // namespace fulmarquay

#endif
