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

/// Timing of a replica. All replicas of a group must use the same values.
struct ReplicaTiming
{
  /// Without leader contact, a follower starts an election after a random time
  /// of one to two times this.
  Duration m_electionTimeout = Duration(400'000);
  Duration m_heartbeatInterval = Duration(60'000);
  /// Bound on how much slower one clock runs than another, in parts per 1,000.
  std::int64_t m_maxClockDriftPerMille = 50;
};

/// Identity and configuration of a replica.
struct ReplicaOptions
{
  Member m_self;
  /// Whether the replica may send join requests.
  bool m_requestsMembership = true;
  ReplicaTiming m_timing;
  /// VMs whose disks may be lost at the same time; at least one. No silent
  /// voter is removed that this number requires.
  std::size_t m_toleratedLosses = 1;
  std::uint64_t m_seed = 1;
  std::uint32_t m_featureLevel = kFeatureLevel; ///< lower only in tests
};

/// Consensus logic of one replica: elections with pre-vote and check-quorum,
/// log replication, snapshots, membership changes and the leader lease.
///
/// Does no I/O and reads no clock: the time is passed with each event, and
/// effects are returned as data. After an exception the object must not be
/// used again. Not thread-safe.
class Replica
{
public:
  Replica(ReplicaOptions aOptions, RecoveredState aState, TimePoint aNow);
  virtual ~Replica() = default;

  /// Processes one event and returns the effects in the order in which they
  /// must be carried out.
  ReplicaEffects Reduce(TimePoint aNow, const ReplicaEvent& aEvent);

  ReplicaId Id() const { return m_options.m_self.m_id; }
  ReplicaRole Role() const { return m_role; }
  Term CurrentTerm() const { return m_hardState.m_term; }
  ReplicaId Vote() const { return m_hardState.m_vote; }
  LogIndex Commit() const { return m_commit; }
  const ReplicaLog& Log() const { return m_log; }
  const Membership& Members() const { return m_membership; }

  /// The leader of the current term; 0 if unknown.
  ReplicaId Leader() const { return m_leader; }

  /// Whether this replica is the leader, its lease has not expired and it has
  /// applied an entry of its term. Only then may it answer reads and issue
  /// orders.
  bool HoldsLease(TimePoint aNow) const;

  /// Longest time, on the clock of a new leader, for which a previous leader
  /// may still treat its lease as valid after the new leader's election.
  Duration LeaseLength() const;

  /// The feature level that a member reported last to this leader or to an
  /// earlier one; 0 if unknown.
  std::uint32_t FeatureLevelOf(ReplicaId aMember) const;

  /// The lowest feature level of all voters and learners, absent ones included.
  /// Valid on the leader.
  std::uint32_t LowestFeatureLevel() const;

  /// The number of voters that a commit or an election requires at present.
  std::size_t VotersNeeded() const;

  /// Voters whose disks are known to be lost.
  const LostVoters& LostDisks() const { return m_lostVoters; }

  /// The voters that this replica heard from within the voter timeout, itself
  /// included if it is one. A follower hears from its leader only.
  std::size_t VotersReached(TimePoint aNow) const;

  /// How long this replica has known no leader; 0 while it knows one.
  Duration TimeWithoutLeader(TimePoint aNow) const;

  /// A snapshot of the state machine at the last applied entry.
  Snapshot MakeSnapshot(std::string aData) const;

protected:
  /// A voter without a reply for this long counts as silent.
  static constexpr Duration kVoterTimeout = Duration(2'500'000);

  // Virtual so that tests can inject known defects.
  virtual bool MayGrantVote(const VoteRequest& aRequest, ReplicaId aFrom) const;
  virtual bool IsQuorum(std::size_t aVotes) const;
  virtual bool MayCommit(LogIndex aIndex) const;
  virtual bool AwaitsSync() const { return true; }

  ReplicaLog m_log;
  HardState m_hardState;
  Membership m_membership;

private:
  /// What a member has acknowledged.
  struct Acknowledged
  {
    LogIndex m_match;          ///< last index known to be synced there
    std::uint64_t m_round = 0; ///< last heartbeat round
  };

  /// The leader's replication state for another member.
  struct Progress
  {
    LogIndex m_match;          ///< last index known to be synced there
    LogIndex m_next;           ///< index of the next entry to send
    std::uint64_t m_round = 0; ///< last acknowledged heartbeat round
    bool m_isProbing = true;   ///< m_next is unconfirmed: send no entries
    TimePoint m_lastReplyAt;   ///< since this replica leads, if none came yet
    bool m_hasReplied = false;
    /// Acknowledged while it knew that a voter's disk is lost, by that voter.
    std::map<ReplicaId, Acknowledged> m_knowing;
    std::string m_snapshot; ///< packed snapshot while it is being sent
    LogIndex m_snapshotIndex;
    std::uint64_t m_snapshotOffset = 0;
    TimePoint m_snapshotSentAt; ///< time of the last part
  };

  /// A message that is sent once a PersistBatch or PersistSnapshot is synced.
  struct DeferredMessage
  {
    std::uint64_t m_number = 0; ///< number of that batch or snapshot
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
  void On(ReplicaId aFrom, const HeartbeatAck& aReply);
  void On(ReplicaId aFrom, const SnapshotPart& aPart);
  void On(ReplicaId aFrom, const SnapshotReply& aReply);
  void On(ReplicaId aFrom, const TimeoutNow& aRequest);
  void On(ReplicaId aFrom, const JoinRequest& aRequest);

  // Elections.
  bool IsDisruptiveVoteRequest(const ConsensusMessage& aMessage) const;
  void RejectStaleMessage(const ConsensusMessage& aMessage);
  void StartElection(bool aIsPreVote, bool aIsTransfer);
  void TallyVotes();
  void BecomeFollower(Term aTerm, ReplicaId aLeader);
  void BecomeLeader();
  void ResetElectionTimer();
  bool HasRecentLeaderContact() const;
  bool IsUpToDate(const VoteRequest& aRequest) const;

  // Quorums.
  /// The half of the votes that may be a quorum; 0 if a majority is required.
  std::size_t HalfQuorum() const;
  bool HasHalfOfVotes() const;
  /// The highest value that voters with this number of votes have reached; each
  /// value comes with the votes of its voter.
  template<typename Value>
  static Value ReachedBy(std::size_t aVotes,
                         std::vector<std::pair<Value, std::size_t>> aValues);
  /// The highest value that the voters of some half quorum have reached.
  /// aReached(voter, lost) returns what a voter has acknowledged since it knew
  /// that the disk of another one is lost.
  template<typename Value, typename Reached>
  Value HalfQuorumValue(const Reached& aReached) const;
  /// What a voter has acknowledged since it knew that aLost has no disk.
  Acknowledged AcknowledgedBy(ReplicaId aVoter, ReplicaId aLost) const;
  void LearnLostVoters(const LostVoters& aLost);
  void LearnFormerReplica(const JoinRequest& aRequest);
  /// Reports to a sender that the replica it addressed has lost its disk.
  void ReportFormerReplica(ReplicaId aTo, ReplicaId aFormer);

  // Leader.
  void TickLeader();
  void BroadcastHeartbeat();
  void SendAppend(ReplicaId aTo, bool aIsHeartbeat);
  void SendSnapshotPart(ReplicaId aTo);
  void AdvanceCommit();
  /// Commits if an entry may be committed under the present membership.
  bool CommitUpTo(LogIndex aIndex);
  void UpdateLease();
  void AppendLeaderEntry(EntryKind aKind, std::string aPayload);
  void AdjustMembership();
  bool MayChangeMembership() const;
  bool IsCaughtUp(ReplicaId aId) const;
  void PromoteLearner(const Member& aLearner);
  const Member* FindVoterOn(const std::string& aVm) const;
  bool IsResponsive(ReplicaId aId) const;
  /// Whether the VM of a voter is back with a new replica.
  bool HasSuccessor(const Member& aVoter) const;
  /// Whether a voter's disk is lost for certain.
  bool HasLostDisk(const Member& aVoter) const;
  /// The number of voters that the losses to be tolerated require.
  std::size_t VotersRequired() const;
  /// The voter that has been silent for longest, if the losses to be tolerated
  /// do not require it.
  std::optional<Member> FindDispensableVoter() const;
  /// Voters that are not responsive, other than those without their disks.
  std::size_t CountUnresponsiveVoters() const;
  /// Whether all members, absent ones included, know half quorums.
  bool KnowsHalfQuorums() const;
  /// Whether a member is known not to.
  bool HasOlderBuild() const;
  bool MayAddVoter() const;
  /// Whether a learner on a VM without a voter has caught up.
  bool IsNewVoter(const Member& aLearner) const;
  std::size_t CountNewLearners() const;
  /// A learner that may become a voter now.
  std::optional<Member> FindPromotableLearner() const;
  /// A voter without its disk, the successor of which has caught up.
  std::optional<Member> FindReplacedVoter() const;
  /// Two silent voters that are to have fewer votes than the others; empty if
  /// none need to.
  std::vector<ReplicaId> FindLightVoters() const;
  /// Whether more voters are silent than successors have come.
  bool IsAmbiguous() const;
  /// Changes a membership that accepts half of the votes, or has light voters.
  void AdjustSpecialQuorums();
  void SetQuorums(bool aAcceptsHalf, std::vector<ReplicaId> aLightVoters);
  void RemoveVoter(const Member& aVoter, bool aIsDiskLost);
  JoinOutcome AddLearner(const Member& aMember);
  void ProposeMembership(const Membership& aMembership);
  void ContinueTransfer();
  void ReconcileProgress();

  // Follower.
  void RequestMembership();
  void StoreEntries(const AppendRequest& aRequest);
  void TruncateFrom(LogIndex aIndex);
  void InstallSnapshot(Snapshot aSnapshot);
  void RejectAppend(ReplicaId aLeader, const AppendRequest& aRequest);

  // Effects.
  void Send(ReplicaId aTo, ConsensusBody aBody);
  void SendAfterSync(ReplicaId aTo, ConsensusBody aBody);
  void Persist(std::vector<LogEntry> aEntries, bool aIsHardStateChanged);
  void ApplyCommitted();
  void RefreshMembership();
  std::size_t CountVotes() const;

  ReplicaOptions m_options;
  std::mt19937_64 m_random;
  TimePoint m_now;
  ReplicaEffects m_effects;

  ReplicaRole m_role = ReplicaRole::Follower;
  ReplicaId m_leader;
  LogIndex m_commit;
  LogIndex m_applied;

  TimePoint m_electionDeadline;
  TimePoint m_lastLeaderContact;
  std::map<ReplicaId, TimePoint> m_lastHeard; ///< of the other voters
  TimePoint m_nextJoinRequest;
  ReplicaId m_memberContact; ///< a replica that knows this VM; 0: none
  std::map<ReplicaId, LostVoters> m_votes; ///< and what each voter knew
  LostVoters m_lostVoters;
  std::map<ReplicaId, TimePoint> m_nextFormerReport; ///< by recipient

  std::uint64_t m_lastPersistNumber = 0;
  std::uint64_t m_lastSyncedNumber = 0;
  std::map<std::uint64_t, LogIndex> m_lastIndexByPersist;
  std::deque<DeferredMessage> m_deferred;
  LogIndex m_syncedIndex;

  std::map<ReplicaId, Progress> m_progress;
  FeatureLevels m_featureLevels; ///< of the other members
  std::uint64_t m_round = 0;
  std::uint64_t m_membershipRound = 0; ///< last one before the membership
  std::map<std::uint64_t, TimePoint> m_roundSentAt;
  TimePoint m_nextHeartbeat;
  TimePoint m_leaseEnd;
  TimePoint m_leaderSince;
  LogIndex m_membershipIndex; ///< of the entry of m_membership; 0: snapshot
  LogIndex m_termStartIndex;  ///< index of the no-op that began this term
  bool m_isTransferring = false;
  bool m_isTimeoutNowSent = false;
  TimePoint m_transferDeadline;

  std::string m_incomingSnapshot; ///< parts received so far, packed
  LogIndex m_incomingSnapshotIndex;
};

} // namespace fulmarquay

#endif
