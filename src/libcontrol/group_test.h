#ifndef FULMARQUAY_LIBCONTROL_GROUP_TEST_H
#define FULMARQUAY_LIBCONTROL_GROUP_TEST_H

#include "fulmarquay/control/ControlNode.h"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace fulmarquay::testing {

/// Kinds of faults that a run injects.
struct GroupFaults
{
  bool m_crashes = true;
  bool m_freezes = true;
  bool m_partitions = true;
  bool m_lostDisks = true;
  bool m_lossyLinks = true;
  bool m_lostEntries = true;
  double m_crashChance = 0.0001;    ///< of a crash before each effect
  std::int64_t m_maxSyncUs = 4'000; ///< upper bound of a disk sync
};

/// Creates the replica under test, possibly a subclass with a defect.
using MakeReplica = std::function<
  std::unique_ptr<Replica>(ReplicaOptions, RecoveredState, TimePoint)>;

struct GroupOptions
{
  std::uint64_t m_seed = 1;
  int m_replicas = 3;
  GroupFaults m_faults;
  MakeReplica m_makeReplica;               ///< empty: creates a Replica
  Duration m_length = Duration(6'000'000); ///< of the part with faults
  /// The only invariant to report, as a seeded defect breaks several; empty:
  /// all.
  std::string m_watched;
};

/// A simulated control group with its entries and operators. One seed
/// determines message order, loss, duplicates, network partitions, process
/// freezes, crashes between any two effects, and lost disks. Invariants are
/// checked after every event of a replica.
class SimulatedGroup
{
public:
  explicit SimulatedGroup(GroupOptions aOptions);
  ~SimulatedGroup();

  /// Runs with faults, then without, then checks the final state. Returns the
  /// first violated invariant, or an empty string.
  std::string Run();

  /// Counts of once-only calls sent, configurations accepted and disks lost,
  /// for tests to check that a run covers them.
  std::size_t Sends() const { return m_sends.size(); }
  std::size_t Accepted() const { return m_accepted.size(); }
  std::size_t DiskLosses() const { return m_diskLosses; }

private:
  using Step = std::function<void()>;
  using DiskWrite = std::variant<PersistBatch, PersistSnapshot, SaveSnapshot>;

  /// A VM with a replica: the content of its disk, and its process.
  struct Vm
  {
    std::string m_name;
    ReplicaId m_id;
    HardState m_hardState;
    Snapshot m_snapshot;
    std::vector<LogEntry> m_entries;
    std::deque<DiskWrite> m_writes;
    bool m_isWriting = false;
    std::unique_ptr<ControlNode> m_node;
    int m_incarnation = 0; ///< counts starts and stops of the process
    bool m_isFrozen = false;
    std::deque<ControlEvent> m_frozenEvents; ///< delivered after the freeze
    double m_clockRate = 1;                  ///< relative to simulated time
    LogIndex m_checkedIndex;                 ///< end of the log checked so far
  };

  /// An entry: heartbeats and once-only calls.
  struct Client
  {
    VmId m_vm;
    BootId m_boot;
    std::size_t m_lastTarget = 0; ///< VM of the latest request
    std::uint64_t m_nextAttempt = 1;
  };

  /// A request of an entry or operator, resent until answered. All but reports
  /// of outcomes end at m_deadline.
  struct Request
  {
    std::size_t m_client = 0;
    BootId m_boot;
    ControlMessage m_message;
    TimePoint m_deadline;
    TimePoint m_due; ///< earliest time of the next resend
    std::size_t m_target = 0;
  };

  // Time and randomness.
  void Schedule(Duration aDelay, Step aStep);
  std::uint64_t Random(std::uint64_t aBelow);
  bool Chance(double aProbability);
  Duration RandomDuration(std::int64_t aMin, std::int64_t aMax);
  void RunUntil(TimePoint aEnd);
  TimePoint LocalTime(const Vm& aVm) const;

  // Replicas.
  void StartVm(std::size_t aVm);
  void StopVm(std::size_t aVm);
  void CrashVm(std::size_t aVm);
  void LoseDisk(std::size_t aVm);
  bool CanLoseDisk(std::size_t aVm) const;
  bool IsLossTolerated(std::size_t aVm) const;
  void DispatchEvent(std::size_t aVm, const ControlEvent& aEvent);
  void Execute(std::size_t aVm, const ControlEffect& aEffect);
  void SendToReplicas(std::size_t aFrom, const ConsensusMessage& aMessage);
  void EnqueueWrite(std::size_t aVm, DiskWrite aWrite);
  void SyncWrites(std::size_t aVm);
  void ApplyWrite(Vm& aVm, const DiskWrite& aWrite);
  void TickVm(std::size_t aVm);

  // Faults.
  void ScheduleFault();
  void InjectFault();
  void Unfreeze(std::size_t aVm);
  void EndFaults();

  // Entries and operators.
  void ScheduleClient(std::size_t aClient);
  void Heartbeat(std::size_t aClient);
  void BeginCall(std::size_t aClient, int aKey);
  void SubmitConfiguration(int aOperator);
  void StartRequest(std::size_t aClient, ControlMessage aMessage);
  void SendRequest(RequestId aId);
  void Deliver(std::size_t aVm, int aIncarnation, const SendControl& aEffect);
  void OnReply(const BeginOnceReply& aReply);
  void OnReply(const SubmitReply& aReply);
  void OnReply(const FinishOnceReply& aReply);
  void OnReply(const NotLeader& aReply);
  void OnReply(const OnceProbe& aReply);
  template<typename Other>
  void OnReply(const Other&)
  {
  }
  void FinishCall(std::size_t aClient,
                  const BeginOnceCommand& aBegin,
                  OnceOutcome aOutcome);

  // Invariants.
  void Check(std::size_t aVm);
  void CheckCommitted(Vm& aVm);
  void CheckEnd();
  void ReportViolation(const std::string& aWhat);

  GroupOptions m_options;
  std::mt19937_64 m_random;
  TimePoint m_now;
  std::multimap<TimePoint, Step> m_steps;
  std::vector<Vm> m_vms;
  std::vector<Client> m_clients;
  std::map<RequestId, Request> m_requests;
  std::uint64_t m_nextRequest = 1;
  std::uint64_t m_nextReplicaId = 1000;
  std::uint64_t m_nextBoot = 1;
  /// Sender and receiver of the links that drop all messages.
  std::set<std::pair<std::size_t, std::size_t>> m_cutLinks;
  bool m_hasFaults = true;
  std::size_t m_diskLosses = 0;
  std::set<std::size_t> m_lossyVms; ///< VMs that have lost a disk
  std::uint64_t m_submissions = 0;

  std::string m_violation;
  std::map<Term, ReplicaId> m_leaders;
  std::map<LogIndex, std::string> m_committed;
  std::map<OnceKey, std::pair<BootId, std::uint64_t>> m_sends;
  std::map<OnceKey, OnceAnswer> m_answers;
  std::map<Revision, std::string> m_accepted;
  std::set<std::pair<BootId, std::uint64_t>> m_active;
};

} // namespace fulmarquay::testing

#endif
