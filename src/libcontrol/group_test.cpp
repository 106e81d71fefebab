#include "group_test.h"

#include "fulmarquay/core/Digest.h"
#include "fulmarquay/core/Settings.h"

#include <algorithm>
#include <utility>

namespace fulmarquay::testing {

namespace {

constexpr Duration kTickInterval(20'000);
constexpr Duration kResendInterval(250'000);
constexpr Duration kRefusedResendDelay(30'000);
constexpr Duration kRequestTimeout(3'000'000);
constexpr Duration kRecoveryTime(9'000'000);
constexpr int kClients = 3;
constexpr int kKeys = 40;

std::string
NameOf(const char* aPrefix, std::size_t aNumber)
{
  return aPrefix + std::to_string(aNumber);
}

std::string
MakeAnswers(std::uint64_t aNumber)
{
  return "[deployment]\nname = d" + std::to_string(aNumber) +
         "\n[account.a]\nkey_hash = " + Sha256Hex("key") + "\n";
}

} // namespace

SimulatedGroup::SimulatedGroup(GroupOptions aOptions)
  : m_options(std::move(aOptions))
  , m_random(m_options.m_seed)
  , m_now(Duration(1'000'000'000))
{
  if (!m_options.m_makeReplica) {
    m_options.m_makeReplica =
      [](ReplicaOptions aReplica, RecoveredState aState, TimePoint aNow) {
        return std::make_unique<Replica>(
          std::move(aReplica), std::move(aState), aNow);
      };
  }
  Snapshot first;
  for (int i = 0; i < m_options.m_replicas; ++i) {
    Vm& vm = m_vms.emplace_back();
    vm.m_name = NameOf("vm", static_cast<std::size_t>(i));
    vm.m_id = ReplicaId(static_cast<std::uint64_t>(i) + 1);
    // Clock rates stay within the drift that the lease allows for.
    vm.m_clockRate = 1 + (static_cast<double>(Random(41)) - 20) / 1000;
    first.m_membership.m_voters.push_back({ vm.m_id, vm.m_name, vm.m_name });
  }
  for (std::size_t i = 0; i < m_vms.size(); ++i) {
    m_vms[i].m_snapshot = first;
    StartVm(i);
    TickVm(i);
  }
  for (int i = 0; i < kClients; ++i) {
    Client& client = m_clients.emplace_back();
    client.m_vm = VmId(NameOf("entry", static_cast<std::size_t>(i)));
    client.m_boot = BootId(m_nextBoot++);
    ScheduleClient(static_cast<std::size_t>(i));
    Heartbeat(static_cast<std::size_t>(i));
  }
  ScheduleFault();
}

SimulatedGroup::~SimulatedGroup() = default;

// Time and randomness.

void
SimulatedGroup::Schedule(Duration aDelay, Step aStep)
{
  m_steps.emplace(m_now + aDelay, std::move(aStep));
}

std::uint64_t
SimulatedGroup::Random(std::uint64_t aBelow)
{
  return m_random() % aBelow;
}

bool
SimulatedGroup::Chance(double aProbability)
{
  return static_cast<double>(Random(1'000'000)) < aProbability * 1'000'000;
}

Duration
SimulatedGroup::RandomDuration(std::int64_t aMin, std::int64_t aMax)
{
  return Duration(aMin + static_cast<std::int64_t>(Random(
                           static_cast<std::uint64_t>(aMax - aMin + 1))));
}

TimePoint
SimulatedGroup::LocalTime(const Vm& aVm) const
{
  const auto elapsed = static_cast<double>(m_now.time_since_epoch().count());
  return TimePoint(
    Duration(static_cast<std::int64_t>(elapsed * aVm.m_clockRate)));
}

void
SimulatedGroup::RunUntil(TimePoint aEnd)
{
  while (m_violation.empty() && !m_steps.empty() &&
         m_steps.begin()->first <= aEnd) {
    const auto first = m_steps.begin();
    m_now = first->first;
    const Step step = std::move(first->second);
    m_steps.erase(first);
    step();
  }
}

std::string
SimulatedGroup::Run()
{
  try {
    RunUntil(m_now + m_options.m_length);
    EndFaults();
    RunUntil(m_now + kRecoveryTime);
    if (m_violation.empty()) {
      CheckEnd();
    }
  } catch (const std::exception& e) {
    ReportViolation(std::string("exception: ") + e.what());
  }
  return m_violation;
}

void
SimulatedGroup::ReportViolation(const std::string& aWhat)
{
  const bool isWatched =
    m_options.m_watched.empty() || m_options.m_watched == aWhat;
  if (m_violation.empty() && isWatched) {
    m_violation = aWhat;
  }
}

// Replicas.

void
SimulatedGroup::StartVm(std::size_t aVm)
{
  Vm& vm = m_vms[aVm];
  ++vm.m_incarnation;
  vm.m_isFrozen = false;
  vm.m_frozenEvents.clear();
  ReplicaOptions options;
  options.m_self = { vm.m_id, vm.m_name, vm.m_name };
  options.m_seed = m_random();
  RecoveredState state;
  state.m_hardState = vm.m_hardState;
  state.m_snapshot = vm.m_snapshot;
  state.m_entries = vm.m_entries;
  ControlOptions control;
  control.m_entryLease = Duration(1'500'000);
  control.m_snapshotEntries = 30;
  vm.m_checkedIndex = LogIndex(0);
  vm.m_node = std::make_unique<ControlNode>(
    control,
    m_options.m_makeReplica(
      std::move(options), std::move(state), LocalTime(vm)));
}

void
SimulatedGroup::StopVm(std::size_t aVm)
{
  Vm& vm = m_vms[aVm];
  // Some of the pending writes may have reached the disk.
  const std::uint64_t completedWrites = Random(vm.m_writes.size() + 1);
  for (std::uint64_t i = 0; i < completedWrites; ++i) {
    ApplyWrite(vm, vm.m_writes[i]);
  }
  vm.m_writes.clear();
  vm.m_isWriting = false;
  vm.m_node.reset();
  ++vm.m_incarnation;
}

void
SimulatedGroup::CrashVm(std::size_t aVm)
{
  StopVm(aVm);
  Schedule(RandomDuration(20'000, 900'000), [this, aVm] {
    if (!m_vms[aVm].m_node) {
      StartVm(aVm);
    }
  });
}

void
SimulatedGroup::LoseDisk(std::size_t aVm)
{
  ++m_diskLosses;
  m_lossyVms.insert(aVm);
  StopVm(aVm);
  Vm& vm = m_vms[aVm];
  vm.m_id = ReplicaId(m_nextReplicaId++);
  vm.m_hardState = HardState();
  vm.m_snapshot = Snapshot();
  vm.m_entries.clear();
}

bool
SimulatedGroup::IsLossTolerated(std::size_t aVm) const
{
  // The VMs and their disks alone decide. A run is too short for a VM to make
  // up for its lost disk, so that it counts to the end.
  std::set<std::size_t> lossyVms = m_lossyVms;
  lossyVms.insert(aVm);
  return lossyVms.size() <= (m_vms.size() - 1) / 2;
}

bool
SimulatedGroup::CanLoseDisk(std::size_t aVm) const
{
  if (IsLossTolerated(aVm)) {
    return true;
  }
  // Losses beyond that are survived if each membership in use keeps a majority
  // of voters with intact disks.
  for (const Vm& vm : m_vms) {
    if (!vm.m_node) {
      return false;
    }
    const auto& voters = vm.m_node->Consensus().Members().m_voters;
    std::size_t intact = 0;
    for (const Member& voter : voters) {
      const bool hasDisk =
        std::any_of(m_vms.begin(), m_vms.end(), [&](const Vm& aEach) {
          return aEach.m_id == voter.m_id && &aEach != &m_vms[aVm];
        });
      intact += hasDisk ? 1 : 0;
    }
    if (intact * 2 <= voters.size()) {
      return false;
    }
  }
  return true;
}

void
SimulatedGroup::TickVm(std::size_t aVm)
{
  Schedule(kTickInterval, [this, aVm] { TickVm(aVm); });
  if (m_vms[aVm].m_node && !m_vms[aVm].m_isFrozen) {
    DispatchEvent(aVm, ReplicaEvent(ReplicaTick{}));
  }
}

void
SimulatedGroup::DispatchEvent(std::size_t aVm, const ControlEvent& aEvent)
{
  Vm& vm = m_vms[aVm];
  if (!vm.m_node) {
    return;
  }
  if (vm.m_isFrozen) {
    vm.m_frozenEvents.push_back(aEvent);
    return;
  }
  const WallTime wall(m_now.time_since_epoch());
  ControlEffects effects;
  try {
    effects = vm.m_node->Reduce(LocalTime(vm), wall, aEvent);
  } catch (const Error& e) {
    // A replica that detects an inconsistency ends its process.
    ReportViolation(std::string("exception: ") + e.what());
    CrashVm(aVm);
    return;
  }
  Check(aVm);
  const bool mayCrash = m_hasFaults && m_options.m_faults.m_crashes;
  for (const ControlEffect& effect : effects) {
    if (mayCrash && Chance(m_options.m_faults.m_crashChance)) {
      CrashVm(aVm);
      return;
    }
    Execute(aVm, effect);
  }
}

void
SimulatedGroup::Execute(std::size_t aVm, const ControlEffect& aEffect)
{
  if (const auto* send = std::get_if<SendConsensus>(&aEffect)) {
    SendToReplicas(aVm, send->m_message);
  } else if (const auto* batch = std::get_if<PersistBatch>(&aEffect)) {
    EnqueueWrite(aVm, *batch);
  } else if (const auto* install = std::get_if<PersistSnapshot>(&aEffect)) {
    EnqueueWrite(aVm, *install);
  } else if (const auto* save = std::get_if<SaveSnapshot>(&aEffect)) {
    EnqueueWrite(aVm, *save);
  } else if (const auto* reply = std::get_if<SendControl>(&aEffect)) {
    const int incarnation = m_vms[aVm].m_incarnation;
    Schedule(RandomDuration(100, 2'000),
             [this, aVm, incarnation, send = *reply] {
               Deliver(aVm, incarnation, send);
             });
  }
}

void
SimulatedGroup::SendToReplicas(std::size_t aFrom,
                               const ConsensusMessage& aMessage)
{
  const bool isLossy = m_hasFaults && m_options.m_faults.m_lossyLinks;
  for (std::size_t to = 0; to < m_vms.size(); ++to) {
    const bool isRecipient =
      aMessage.m_to == ReplicaId(0) || aMessage.m_to == m_vms[to].m_id;
    if (!isRecipient || to == aFrom || m_cutLinks.count({ aFrom, to }) != 0) {
      continue;
    }
    if (isLossy && Chance(0.02)) {
      continue;
    }
    const int copies = isLossy && Chance(0.02) ? 2 : 1;
    for (int i = 0; i < copies; ++i) {
      const Duration delay = isLossy && Chance(0.02)
                               ? RandomDuration(5'000, 300'000)
                               : RandomDuration(300, 1'500);
      Schedule(delay, [this, to, aMessage] {
        DispatchEvent(to, ReplicaEvent(ConsensusReceived{ aMessage }));
      });
    }
  }
}

void
SimulatedGroup::EnqueueWrite(std::size_t aVm, DiskWrite aWrite)
{
  m_vms[aVm].m_writes.push_back(std::move(aWrite));
  if (!m_vms[aVm].m_isWriting) {
    SyncWrites(aVm);
  }
}

void
SimulatedGroup::SyncWrites(std::size_t aVm)
{
  Vm& vm = m_vms[aVm];
  vm.m_isWriting = true;
  const int incarnation = vm.m_incarnation;
  const std::size_t count = vm.m_writes.size();
  Schedule(RandomDuration(300, m_options.m_faults.m_maxSyncUs),
           [this, aVm, incarnation, count] {
             Vm& current = m_vms[aVm];
             if (current.m_incarnation != incarnation) {
               return;
             }
             std::vector<ReplicaEvent> done;
             for (std::size_t i = 0; i < count; ++i) {
               const DiskWrite diskWrite = std::move(current.m_writes.front());
               current.m_writes.pop_front();
               ApplyWrite(current, diskWrite);
               if (const auto* batch = std::get_if<PersistBatch>(&diskWrite)) {
                 done.emplace_back(DiskSynced{ batch->m_number });
               } else if (const auto* install =
                            std::get_if<PersistSnapshot>(&diskWrite)) {
                 done.emplace_back(DiskSynced{ install->m_number });
               } else {
                 done.emplace_back(SnapshotSaved{
                   std::get<SaveSnapshot>(diskWrite).m_snapshot });
               }
             }
             current.m_isWriting = false;
             if (!current.m_writes.empty()) {
               SyncWrites(aVm);
             }
             for (const ReplicaEvent& event : done) {
               if (m_vms[aVm].m_incarnation == incarnation) {
                 DispatchEvent(aVm, event);
               }
             }
           });
}

void
SimulatedGroup::ApplyWrite(Vm& aVm, const DiskWrite& aWrite)
{
  if (const auto* batch = std::get_if<PersistBatch>(&aWrite)) {
    if (batch->m_hardState) {
      aVm.m_hardState = *batch->m_hardState;
    }
    for (const LogEntry& entry : batch->m_entries) {
      std::erase_if(aVm.m_entries, [&](const LogEntry& aOld) {
        return aOld.m_index >= entry.m_index;
      });
      aVm.m_entries.push_back(entry);
    }
    return;
  }
  const auto* install = std::get_if<PersistSnapshot>(&aWrite);
  if (install != nullptr) {
    aVm.m_hardState = install->m_hardState;
    aVm.m_snapshot = install->m_snapshot;
    aVm.m_entries.clear();
    return;
  }
  aVm.m_snapshot = std::get<SaveSnapshot>(aWrite).m_snapshot;
  std::erase_if(aVm.m_entries, [&](const LogEntry& aOld) {
    return aOld.m_index <= aVm.m_snapshot.m_index;
  });
}

// Faults.

void
SimulatedGroup::ScheduleFault()
{
  Schedule(RandomDuration(100'000, 900'000), [this] {
    if (m_hasFaults) {
      InjectFault();
      ScheduleFault();
    }
  });
}

void
SimulatedGroup::InjectFault()
{
  const GroupFaults& faults = m_options.m_faults;
  const std::size_t vm = Random(m_vms.size());
  const std::size_t other = Random(m_vms.size());
  const std::uint64_t kind = Random(6);
  if (kind == 0 && faults.m_crashes && m_vms[vm].m_node) {
    CrashVm(vm);
  } else if (kind == 1 && faults.m_freezes && m_vms[vm].m_node) {
    m_vms[vm].m_isFrozen = true;
    const int incarnation = m_vms[vm].m_incarnation;
    Schedule(RandomDuration(50'000, 1'500'000), [this, vm, incarnation] {
      if (m_vms[vm].m_incarnation == incarnation) {
        Unfreeze(vm);
      }
    });
  } else if ((kind == 2 || kind == 3) && faults.m_partitions) {
    const bool isOneWay = kind == 2;
    for (std::size_t i = 0; i < m_vms.size(); ++i) {
      if (isOneWay && i != other) {
        continue;
      }
      m_cutLinks.insert({ vm, i });
      if (!isOneWay) {
        m_cutLinks.insert({ i, vm });
      }
    }
    Schedule(RandomDuration(200'000, 1'800'000),
             [this] { m_cutLinks.clear(); });
  } else if (kind == 4 && faults.m_lostDisks && CanLoseDisk(vm)) {
    LoseDisk(vm);
    Schedule(RandomDuration(20'000, 400'000), [this, vm] {
      if (!m_vms[vm].m_node) {
        StartVm(vm);
      }
    });
  } else if (kind == 5 && faults.m_lostEntries) {
    Client& client = m_clients[Random(m_clients.size())];
    client.m_boot = BootId(m_nextBoot++);
  }
}

void
SimulatedGroup::Unfreeze(std::size_t aVm)
{
  Vm& vm = m_vms[aVm];
  const int incarnation = vm.m_incarnation;
  vm.m_isFrozen = false;
  const std::deque<ControlEvent> waiting = std::move(vm.m_frozenEvents);
  vm.m_frozenEvents.clear();
  for (const ControlEvent& event : waiting) {
    if (vm.m_incarnation == incarnation) {
      DispatchEvent(aVm, event);
    }
  }
}

void
SimulatedGroup::EndFaults()
{
  m_hasFaults = false;
  m_cutLinks.clear();
  for (std::size_t i = 0; i < m_vms.size(); ++i) {
    if (!m_vms[i].m_node) {
      StartVm(i);
    } else {
      Unfreeze(i);
    }
  }
}

// Entries and operators.

void
SimulatedGroup::ScheduleClient(std::size_t aClient)
{
  Schedule(RandomDuration(20'000, 200'000), [this, aClient] {
    if (!m_hasFaults) {
      return;
    }
    if (Chance(0.15)) {
      SubmitConfiguration(static_cast<int>(Random(2)));
    } else {
      BeginCall(aClient, static_cast<int>(Random(kKeys)));
    }
    ScheduleClient(aClient);
  });
}

void
SimulatedGroup::Heartbeat(std::size_t aClient)
{
  Schedule(Duration(300'000), [this, aClient] { Heartbeat(aClient); });
  const Client& client = m_clients[aClient];
  EntryHeartbeat heartbeat;
  heartbeat.m_vm = client.m_vm;
  heartbeat.m_dataCentre = DataCentreId("dc");
  heartbeat.m_boot = client.m_boot;
  for (std::size_t i = 0; i < m_vms.size(); ++i) {
    DispatchEvent(
      i, ControlMessageReceived{ ConnectionId(aClient + 1), heartbeat });
  }
}

void
SimulatedGroup::BeginCall(std::size_t aClient, int aKey)
{
  Client& client = m_clients[aClient];
  BeginOnceCommand command;
  command.m_key = { AccountId("a"), "key" + std::to_string(aKey) };
  command.m_digest = "digest";
  command.m_service = ServiceId("till");
  command.m_entry = client.m_vm;
  command.m_boot = client.m_boot;
  command.m_attempt = client.m_nextAttempt++;
  m_active.insert({ command.m_boot, command.m_attempt });
  StartRequest(aClient, BeginOnceRequest{ RequestId(0), command });
}

void
SimulatedGroup::SubmitConfiguration(int aOperator)
{
  SubmitRequest request;
  request.m_submission = NameOf("submission", ++m_submissions);
  request.m_operator = NameOf("operator", static_cast<std::size_t>(aOperator));
  request.m_hasBase = true;
  request.m_base =
    m_accepted.empty() ? Revision(0) : m_accepted.rbegin()->first;
  request.m_answers = MakeAnswers(m_submissions);
  StartRequest(Random(m_clients.size()), request);
}

void
SimulatedGroup::StartRequest(std::size_t aClient, ControlMessage aMessage)
{
  const RequestId id(m_nextRequest++);
  std::visit(
    [&](auto& aAlternative) {
      if constexpr (requires { aAlternative.m_request; }) {
        aAlternative.m_request = id;
      }
    },
    aMessage);
  Request& request = m_requests[id];
  request.m_client = aClient;
  request.m_boot = m_clients[aClient].m_boot;
  request.m_message = std::move(aMessage);
  request.m_deadline = m_now + kRequestTimeout;
  request.m_target = m_clients[aClient].m_lastTarget;
  SendRequest(id);
}

void
SimulatedGroup::SendRequest(RequestId aId)
{
  const auto it = m_requests.find(aId);
  if (it == m_requests.end() || m_now < it->second.m_due) {
    return;
  }
  Request& request = it->second;
  request.m_due = m_now + kResendInterval;
  const bool isFinish =
    std::holds_alternative<FinishOnceRequest>(request.m_message);
  const bool isDead = request.m_boot != m_clients[request.m_client].m_boot;
  if (isDead || (!isFinish && m_now >= request.m_deadline)) {
    const auto* begin = std::get_if<BeginOnceRequest>(&request.m_message);
    if (begin != nullptr) {
      m_active.erase({ begin->m_command.m_boot, begin->m_command.m_attempt });
    }
    m_requests.erase(it);
    return;
  }
  const std::size_t target = request.m_target++ % m_vms.size();
  m_clients[request.m_client].m_lastTarget = target;
  const ControlMessageReceived event{ ConnectionId(request.m_client + 1),
                                      request.m_message };
  Schedule(RandomDuration(100, 2'000),
           [this, target, event] { DispatchEvent(target, event); });
  Schedule(kResendInterval, [this, aId] { SendRequest(aId); });
}

void
SimulatedGroup::Deliver(std::size_t aVm,
                        int aIncarnation,
                        const SendControl& aEffect)
{
  // A reply is lost with the process of its replica, or with a connection that
  // fails by itself.
  const bool isStopped = m_vms[aVm].m_incarnation != aIncarnation;
  if (isStopped || (m_hasFaults && Chance(0.02))) {
    return;
  }
  std::visit([this](const auto& aAlternative) { OnReply(aAlternative); },
             aEffect.m_message);
}

void
SimulatedGroup::OnReply(const NotLeader& aReply)
{
  const RequestId id = aReply.m_request;
  const auto it = m_requests.find(id);
  if (it != m_requests.end()) {
    it->second.m_due = m_now + kRefusedResendDelay;
    Schedule(kRefusedResendDelay, [this, id] { SendRequest(id); });
  }
}

void
SimulatedGroup::OnReply(const FinishOnceReply& aReply)
{
  const auto it = m_requests.find(aReply.m_request);
  if (it != m_requests.end()) {
    const auto finish = std::get<FinishOnceRequest>(it->second.m_message);
    m_active.erase({ finish.m_command.m_boot, finish.m_command.m_attempt });
    m_requests.erase(it);
  }
}

void
SimulatedGroup::OnReply(const OnceProbe& aReply)
{
  for (std::size_t i = 0; i < m_clients.size(); ++i) {
    const bool isOurs = m_clients[i].m_boot == aReply.m_boot;
    if (!isOurs || m_active.count({ aReply.m_boot, aReply.m_attempt }) != 0) {
      continue;
    }
    BeginOnceCommand begin;
    begin.m_key = aReply.m_key;
    begin.m_boot = aReply.m_boot;
    begin.m_attempt = aReply.m_attempt;
    FinishCall(i, begin, OnceOutcome::NotRun);
  }
}

void
SimulatedGroup::OnReply(const BeginOnceReply& aReply)
{
  const auto it = m_requests.find(aReply.m_request);
  if (it == m_requests.end()) {
    return;
  }
  const Request request = std::move(it->second);
  m_requests.erase(it);
  const BeginOnceCommand begin =
    std::get<BeginOnceRequest>(request.m_message).m_command;
  const auto verdict = aReply.m_result.Verdict();
  if (verdict == OnceVerdict::Completed) {
    m_active.erase({ begin.m_boot, begin.m_attempt });
    if (m_answers[begin.m_key] != aReply.m_result.m_answer) {
      ReportViolation("a stored answer differs from the one given");
    }
    return;
  }
  const bool isDead = begin.m_boot != m_clients[request.m_client].m_boot;
  if (verdict != OnceVerdict::Run || isDead) {
    m_active.erase({ begin.m_boot, begin.m_attempt });
    return;
  }
  if (Chance(0.1)) {
    // No connection to the service: the call was not sent.
    FinishCall(request.m_client, begin, OnceOutcome::NotRun);
    return;
  }
  if (!m_sends.emplace(begin.m_key, std::pair(begin.m_boot, begin.m_attempt))
         .second) {
    ReportViolation("a once-only call was sent twice");
    return;
  }
  const OnceOutcome outcome =
    Chance(0.85) ? OnceOutcome::Answered : OnceOutcome::Unknown;
  Schedule(RandomDuration(1'000, 400'000),
           [this, client = request.m_client, begin, outcome] {
             if (m_clients[client].m_boot == begin.m_boot) {
               FinishCall(client, begin, outcome);
             }
           });
}

void
SimulatedGroup::FinishCall(std::size_t aClient,
                           const BeginOnceCommand& aBegin,
                           OnceOutcome aOutcome)
{
  FinishOnceCommand command;
  command.m_key = aBegin.m_key;
  command.m_boot = aBegin.m_boot;
  command.m_attempt = aBegin.m_attempt;
  command.m_outcome = static_cast<std::uint8_t>(aOutcome);
  if (aOutcome == OnceOutcome::Answered) {
    command.m_answer.m_status = 200;
    command.m_answer.m_body = std::to_string(aBegin.m_boot.Value()) + "/" +
                              std::to_string(aBegin.m_attempt);
    m_answers[aBegin.m_key] = command.m_answer;
  }
  // As in an entry, the attempt stays active until its outcome is recorded.
  m_active.insert({ aBegin.m_boot, aBegin.m_attempt });
  StartRequest(aClient, FinishOnceRequest{ RequestId(0), command });
}

void
SimulatedGroup::OnReply(const SubmitReply& aReply)
{
  const auto it = m_requests.find(aReply.m_request);
  if (it == m_requests.end()) {
    return;
  }
  const auto submit = std::get<SubmitRequest>(it->second.m_message);
  m_requests.erase(it);
  const SubmitResult& result = aReply.m_result;
  if (!result.m_isAccepted) {
    return;
  }
  const auto [known, isNew] =
    m_accepted.emplace(result.m_revision, submit.m_submission);
  if (!isNew && known->second != submit.m_submission) {
    ReportViolation("two submissions were accepted under one revision");
  }
}

// Invariants.

void
SimulatedGroup::Check(std::size_t aVm)
{
  Vm& vm = m_vms[aVm];
  const Replica& replica = vm.m_node->Consensus();
  if (replica.Role() == ReplicaRole::Leader) {
    const auto [known, isNew] =
      m_leaders.emplace(replica.CurrentTerm(), replica.Id());
    if (!isNew && known->second != replica.Id()) {
      ReportViolation("two leaders in one term");
    }
  }
  if (replica.HoldsLease(LocalTime(vm))) {
    for (const Vm& other : m_vms) {
      const bool isOther = &other != &vm && other.m_node && !other.m_isFrozen;
      if (isOther && other.m_node->Consensus().HoldsLease(LocalTime(other))) {
        ReportViolation("two leaders hold the lease");
      }
    }
  }
  CheckCommitted(vm);
}

void
SimulatedGroup::CheckCommitted(Vm& aVm)
{
  const Replica& replica = aVm.m_node->Consensus();
  const LogIndex first =
    std::max(aVm.m_checkedIndex, replica.Log().BaseSnapshot().m_index);
  for (LogIndex i = Next(first); i <= replica.Commit(); i = Next(i)) {
    const LogEntry& entry = replica.Log().At(i);
    const std::string content =
      std::to_string(entry.m_term.Value()) + ":" + entry.m_payload;
    const auto [known, isNew] = m_committed.emplace(i, content);
    if (!isNew && known->second != content) {
      ReportViolation("a committed entry changed");
    }
  }
  aVm.m_checkedIndex = replica.Commit();
}

void
SimulatedGroup::CheckEnd()
{
  const LogIndex last =
    m_committed.empty() ? LogIndex(0) : m_committed.rbegin()->first;
  std::set<std::string> states;
  bool hasLeader = false;
  for (const Vm& vm : m_vms) {
    const Replica& replica = vm.m_node->Consensus();
    hasLeader = hasLeader || replica.HoldsLease(LocalTime(vm));
    if (replica.Commit() < last) {
      ReportViolation("a committed entry was lost");
    }
    if (!replica.Members().IsVoter(vm.m_id)) {
      ReportViolation("a replica did not become a voter again");
    }
    states.insert(vm.m_node->State().Encode());
    const Revision newest =
      m_accepted.empty() ? Revision(0) : m_accepted.rbegin()->first;
    if (vm.m_node->State().Config().Current() < newest) {
      ReportViolation("an accepted configuration was lost");
    }
    for (const auto& [key, sender] : m_sends) {
      if (vm.m_node->State().Once().Find(key) == nullptr) {
        ReportViolation("the record of a sent call was lost");
      }
    }
    if (!vm.m_node->State().Once().RunningCalls().empty()) {
      ReportViolation("a call stays without an outcome");
    }
  }
  if (!hasLeader) {
    ReportViolation("no leader after all faults ended");
  }
  if (states.size() != 1) {
    ReportViolation("replicas differ in state");
  }
}

} // namespace fulmarquay::testing
