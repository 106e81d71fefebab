#ifndef FULMARQUAY_LIBCONSENSUS_REPLICA_GROUP_TEST_H
#define FULMARQUAY_LIBCONSENSUS_REPLICA_GROUP_TEST_H

#include "fulmarquay/consensus/Replica.h"
#include "fulmarquay/consensus/ReplicaEffects.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace fulmarquay::testing {

/// Delays of a ReplicaGroup. Messages of one link keep their order.
struct GroupDelays
{
  Duration m_maxMessage = Duration(0);
  Duration m_maxSync = Duration(0);
  /// Of the replicas' options; 0: what the number of voters at the start
  /// allows.
  std::size_t m_toleratedLosses = 0;
};

/// Replicas on simulated VMs, numbered from 1, with their disks and links.
class ReplicaGroup
{
public:
  /// Starts VMs 1 to aVoters, the voters of a new group.
  explicit ReplicaGroup(int aVoters,
                        std::uint64_t aSeed = 1,
                        GroupDelays aDelays = {});

  /// Starts a VM with an empty disk. Its replica sends its join requests to
  /// the VMs in aSeeds; empty: to all VMs.
  void Join(int aVm, std::set<int> aSeeds = {});

  /// Replaces the VMs that a VM sends its join requests to.
  void SetSeeds(int aVm, std::set<int> aSeeds);

  /// Cuts all links of a VM, or connects them again.
  void SetIsolated(int aVm, bool aIsIsolated);

  /// Lets all VMs stand still, as a host that is suspended does.
  void FreezeAll(Duration aTime) { m_now += aTime; }

  /// Of the replica on a VM.
  Duration TimeWithoutLeader(int aVm) const;

  /// The lowest feature level as known to the leader; there must be one.
  std::uint32_t LowestFeatureLevel() const;

  /// Delivers a message to a VM at once.
  void Inject(int aVm, const ConsensusMessage& aMessage)
  {
    Dispatch(aVm, ConsensusReceived{ aMessage });
  }

  /// Cuts all links between these VMs and all others; empty: none.
  void Split(std::set<int> aHalf);

  /// Suspends a VM, or resumes it with the events it has missed.
  void SetFrozen(int aVm, bool aIsFrozen);

  /// Kills the process of a VM; its disk keeps what was synced.
  void Stop(int aVm);

  /// Gives a VM a build of another feature level from its next start on.
  void SetFeatureLevel(int aVm, std::uint32_t aLevel)
  {
    m_vms.at(aVm).m_featureLevel = aLevel;
  }

  /// The replica on a VM that is started.
  const Replica& ReplicaOn(int aVm) const { return *m_vms.at(aVm).m_replica; }

  /// Starts a stopped VM; after LoseDisk as a joining replica.
  void Start(int aVm);

  /// Kills the process of a VM and empties its disk.
  void LoseDisk(int aVm);

  /// Saves a snapshot of a running VM, so that its log starts after it.
  void SaveSnapshot(int aVm);

  /// Makes a VM that leads transfer the leadership.
  void Transfer(int aVm);

  /// Simulates the group for aTime, with one tick of each replica in 20 ms.
  void Run(Duration aTime);

  /// Proposes a command to the leader; false if there is none.
  bool Propose(const std::string& aCommand);

  /// The number of the VM that leads and holds the lease; 0 if there is none.
  int Leader() const;

  /// The membership as known to the leader; there must be one.
  const Membership& Members() const;

  /// Whether the present replica of a VM is a voter.
  bool IsVoter(int aVm) const;

  /// Commands that a leader reported as committed.
  const std::set<std::string>& Acknowledged() const { return m_acknowledged; }

  /// Commands in the state machine of a VM.
  const std::vector<std::string>& Applied(int aVm) const;

  /// Effects of a replica that change the membership, newest last.
  const std::vector<std::string>& RemovedVms() const { return m_removedVms; }

  /// Parts of snapshots that replicas have sent.
  std::size_t SnapshotParts() const { return m_snapshotParts; }

  /// The first violated invariant: two leases at once, replicas that differ in
  /// a committed entry, or an exception; else empty.
  const std::string& Violation() const { return m_violation; }

  /// Role, term, log and membership of each VM, for failure messages.
  std::string Describe() const;

private:
  struct Vm
  {
    ReplicaId m_id;
    std::set<int> m_seeds; ///< recipients of join requests; empty: all VMs
    RecoveredState m_disk; ///< what was synced
    std::unique_ptr<Replica> m_replica; ///< none while the VM is stopped
    int m_incarnation = 0;              ///< counts starts and stops
    bool m_isIsolated = false;
    bool m_isFrozen = false;
    std::uint32_t m_featureLevel = kFeatureLevel;
    TimePoint m_diskFreeAt;
    std::vector<std::string> m_applied;
  };

  /// An event that is due for one incarnation of a VM.
  struct PendingEvent
  {
    int m_vm = 0;
    int m_incarnation = 0;
    ReplicaEvent m_event;
    std::optional<PersistBatch> m_batch;       ///< synced by this event
    std::optional<PersistSnapshot> m_snapshot; ///< synced by this event
  };

  static void Store(RecoveredState& aDisk, const Snapshot& aSaved);

  static std::string NameOf(int aVm) { return "vm" + std::to_string(aVm); }
  Duration RandomDelay(Duration aMax);
  void DispatchUntil(TimePoint aEnd);
  void Dispatch(int aVm, const ReplicaEvent& aEvent);
  void HandleEffects(int aVm, const ReplicaEffects& aEffects);
  void Sync(int aVm, PendingEvent aWrite);
  void Apply(Vm& aVm, const LogEntry& aEntry);
  void CheckLease(int aVm);
  bool IsCut(int aFrom, int aTo) const;
  void Deliver(int aFrom, const ConsensusMessage& aMessage);
  bool IsRecipient(int aFrom, int aTo, const ConsensusMessage& aMessage) const;
  static void Store(RecoveredState& aDisk, const PersistBatch& aBatch);

  GroupDelays m_delays;
  std::mt19937_64 m_random;
  TimePoint m_now{ Duration(1'000'000'000) };
  std::map<int, Vm> m_vms;
  std::map<ReplicaId, int> m_vmOfReplica; ///< former replicas included
  std::multimap<TimePoint, PendingEvent> m_pending;
  std::vector<PendingEvent> m_held; ///< of frozen VMs
  std::set<int> m_half;             ///< separated from all others
  std::map<LogIndex, std::string> m_committed;
  std::string m_violation;
  std::size_t m_snapshotParts = 0;
  std::map<std::pair<int, int>, TimePoint> m_linkBusyUntil;
  std::set<std::string> m_acknowledged;
  std::vector<std::string> m_removedVms;
  std::uint64_t m_nextRequest = 1;
  std::uint64_t m_nextId = 1'000; ///< of replicas that lost their disk
};

} // namespace fulmarquay::testing

#endif
