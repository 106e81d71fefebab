#include "replica_group_test.h"

#include "fulmarquay/core/Error.h"
#include "fulmarquay/wire/Codec.h"

#include <algorithm>
#include <utility>

// Included last because its macros clash with names in other headers.
#include <criterion/criterion.h>

namespace fulmarquay::testing {

namespace {

constexpr Duration kTickInterval(20'000);

} // namespace

ReplicaGroup::ReplicaGroup(int aVoters,
                           std::uint64_t aSeed,
                           GroupDelays aDelays)
  : m_delays(aDelays)
  , m_random(aSeed)
{
  if (m_delays.m_toleratedLosses == 0) {
    m_delays.m_toleratedLosses = static_cast<std::size_t>(aVoters - 1) / 2;
  }
  Snapshot first;
  for (int i = 1; i <= aVoters; ++i) {
    first.m_membership.m_voters.push_back(
      { ReplicaId(static_cast<std::uint64_t>(i)), NameOf(i), "10.0.0.1:1" });
  }
  for (int i = 1; i <= aVoters; ++i) {
    m_vms[i].m_id = ReplicaId(static_cast<std::uint64_t>(i));
    m_vms[i].m_disk.m_snapshot = first;
    Start(i);
  }
}

void
ReplicaGroup::Join(int aVm, std::set<int> aSeeds)
{
  m_vms[aVm].m_id = ReplicaId(++m_nextId);
  m_vms[aVm].m_seeds = std::move(aSeeds);
  Start(aVm);
}

void
ReplicaGroup::SetIsolated(int aVm, bool aIsIsolated)
{
  m_vms.at(aVm).m_isIsolated = aIsIsolated;
}

void
ReplicaGroup::SetSeeds(int aVm, std::set<int> aSeeds)
{
  m_vms.at(aVm).m_seeds = std::move(aSeeds);
}

void
ReplicaGroup::Split(std::set<int> aHalf)
{
  m_half = std::move(aHalf);
}

void
ReplicaGroup::SetFrozen(int aVm, bool aIsFrozen)
{
  m_vms.at(aVm).m_isFrozen = aIsFrozen;
  for (PendingEvent& held : std::exchange(m_held, {})) {
    if (m_vms.at(held.m_vm).m_isFrozen) {
      m_held.push_back(std::move(held));
    } else {
      m_pending.emplace(m_now, std::move(held));
    }
  }
}

void
ReplicaGroup::SaveSnapshot(int aVm)
{
  const Vm& vm = m_vms.at(aVm);
  if (!vm.m_replica || vm.m_isFrozen) {
    return;
  }
  const Snapshot saved = vm.m_replica->MakeSnapshot(Pack(vm.m_applied));
  if (saved.m_index > vm.m_replica->Log().BaseSnapshot().m_index) {
    Sync(aVm, { aVm, 0, SnapshotSaved{ saved }, {}, {} });
  }
}

void
ReplicaGroup::Transfer(int aVm)
{
  if (m_vms.at(aVm).m_replica && !m_vms.at(aVm).m_isFrozen) {
    Dispatch(aVm, TransferLeadership{});
  }
}

void
ReplicaGroup::Stop(int aVm)
{
  m_vms.at(aVm).m_replica.reset();
  m_vms.at(aVm).m_isFrozen = false;
  ++m_vms.at(aVm).m_incarnation;
}

void
ReplicaGroup::Start(int aVm)
{
  Vm& vm = m_vms.at(aVm);
  ReplicaOptions options;
  options.m_self = { vm.m_id, NameOf(aVm), "10.0.0.1:1" };
  options.m_seed = m_random();
  options.m_toleratedLosses = m_delays.m_toleratedLosses;
  options.m_featureLevel = vm.m_featureLevel;
  vm.m_replica = std::make_unique<Replica>(options, vm.m_disk, m_now);
  m_vmOfReplica[vm.m_id] = aVm;
  ++vm.m_incarnation;
  vm.m_diskFreeAt = m_now;
  const std::string& state = vm.m_disk.m_snapshot.m_data;
  vm.m_applied = state.empty() ? std::vector<std::string>()
                               : Unpack<std::vector<std::string>>(state);
}

void
ReplicaGroup::LoseDisk(int aVm)
{
  Stop(aVm);
  m_vms.at(aVm).m_disk = RecoveredState();
  m_vms.at(aVm).m_id = ReplicaId(++m_nextId);
}

Duration
ReplicaGroup::TimeWithoutLeader(int aVm) const
{
  return m_vms.at(aVm).m_replica->TimeWithoutLeader(m_now);
}

void
ReplicaGroup::Run(Duration aTime)
{
  const TimePoint end = m_now + aTime;
  while (m_now < end) {
    DispatchUntil(m_now + kTickInterval);
    for (const auto& [number, vm] : m_vms) {
      if (vm.m_replica && !vm.m_isFrozen) {
        Dispatch(number, ReplicaTick{});
      }
    }
    DispatchUntil(m_now);
  }
}

void
ReplicaGroup::DispatchUntil(TimePoint aEnd)
{
  while (!m_pending.empty() && m_pending.begin()->first <= aEnd) {
    const auto first = m_pending.begin();
    m_now = std::max(m_now, first->first);
    PendingEvent pending = std::move(first->second);
    m_pending.erase(first);
    Vm& vm = m_vms.at(pending.m_vm);
    if (vm.m_incarnation != pending.m_incarnation) {
      continue;
    }
    if (vm.m_isFrozen) {
      m_held.push_back(std::move(pending));
      continue;
    }
    if (pending.m_batch) {
      Store(vm.m_disk, *pending.m_batch);
    } else if (pending.m_snapshot) {
      vm.m_disk.m_hardState = pending.m_snapshot->m_hardState;
      vm.m_disk.m_snapshot = pending.m_snapshot->m_snapshot;
      vm.m_disk.m_entries.clear();
    } else if (const auto* save =
                 std::get_if<SnapshotSaved>(&pending.m_event)) {
      Store(vm.m_disk, save->m_snapshot);
    }
    Dispatch(pending.m_vm, pending.m_event);
  }
  m_now = aEnd;
}

void
ReplicaGroup::Store(RecoveredState& aDisk, const PersistBatch& aBatch)
{
  if (aBatch.m_hardState) {
    aDisk.m_hardState = *aBatch.m_hardState;
  }
  for (const LogEntry& entry : aBatch.m_entries) {
    std::erase_if(aDisk.m_entries, [&](const LogEntry& aEach) {
      return aEach.m_index >= entry.m_index;
    });
    aDisk.m_entries.push_back(entry);
  }
}

void
ReplicaGroup::Store(RecoveredState& aDisk, const Snapshot& aSaved)
{
  aDisk.m_snapshot = aSaved;
  std::erase_if(aDisk.m_entries, [&](const LogEntry& aEach) {
    return aEach.m_index <= aSaved.m_index;
  });
}

Duration
ReplicaGroup::RandomDelay(Duration aMax)
{
  std::uniform_int_distribution<std::int64_t> spread(0, aMax.count());
  return Duration(spread(m_random));
}

void
ReplicaGroup::Dispatch(int aVm, const ReplicaEvent& aEvent)
{
  Replica& replica = *m_vms.at(aVm).m_replica;
  try {
    HandleEffects(aVm, replica.Reduce(m_now, aEvent));
  } catch (const Error& e) {
    m_violation = m_violation.empty() ? e.what() : m_violation;
    Stop(aVm);
    return;
  }
  if (replica.HoldsLease(m_now)) {
    CheckLease(aVm);
  }
}

void
ReplicaGroup::CheckLease(int aVm)
{
  for (const auto& [number, vm] : m_vms) {
    if (number != aVm && vm.m_replica && vm.m_replica->HoldsLease(m_now) &&
        m_violation.empty()) {
      m_violation = "two leases: " + NameOf(aVm) + " and " + NameOf(number);
    }
  }
}

void
ReplicaGroup::Apply(Vm& aVm, const LogEntry& aEntry)
{
  const std::string content =
    std::to_string(aEntry.m_term.Value()) + ":" + aEntry.m_payload;
  const auto [known, isNew] = m_committed.emplace(aEntry.m_index, content);
  if (!isNew && known->second != content && m_violation.empty()) {
    m_violation =
      "a committed entry changed: " + known->second + " to " + content;
  }
  if (aEntry.Kind() != EntryKind::Command) {
    return;
  }
  aVm.m_applied.push_back(aEntry.m_payload);
  if (aVm.m_replica->Role() == ReplicaRole::Leader) {
    m_acknowledged.insert(aEntry.m_payload);
  }
}

void
ReplicaGroup::HandleEffects(int aVm, const ReplicaEffects& aEffects)
{
  Vm& vm = m_vms.at(aVm);
  for (const ReplicaEffect& effect : aEffects) {
    if (const auto* send = std::get_if<SendConsensus>(&effect)) {
      m_snapshotParts +=
        std::holds_alternative<SnapshotPart>(send->m_message.m_body) ? 1 : 0;
      Deliver(aVm, send->m_message);
    } else if (const auto* batch = std::get_if<PersistBatch>(&effect)) {
      Sync(aVm, { aVm, 0, DiskSynced{ batch->m_number }, *batch, {} });
    } else if (const auto* saved = std::get_if<PersistSnapshot>(&effect)) {
      Sync(aVm, { aVm, 0, DiskSynced{ saved->m_number }, {}, *saved });
    } else if (const auto* apply = std::get_if<ApplyEntry>(&effect)) {
      Apply(vm, apply->m_entry);
    } else if (const auto* restore =
                 std::get_if<RestoreStateMachine>(&effect)) {
      vm.m_applied = restore->m_data.empty()
                       ? std::vector<std::string>()
                       : Unpack<std::vector<std::string>>(restore->m_data);
    } else if (const auto* removed = std::get_if<VoterRemoved>(&effect)) {
      m_removedVms.push_back(removed->m_voter.m_vm);
    }
  }
}

void
ReplicaGroup::Sync(int aVm, PendingEvent aWrite)
{
  Vm& vm = m_vms.at(aVm);
  vm.m_diskFreeAt =
    std::max(vm.m_diskFreeAt, m_now) + RandomDelay(m_delays.m_maxSync);
  aWrite.m_incarnation = vm.m_incarnation;
  m_pending.emplace(vm.m_diskFreeAt, std::move(aWrite));
}

bool
ReplicaGroup::IsRecipient(int aFrom,
                          int aTo,
                          const ConsensusMessage& aMessage) const
{
  const Vm& from = m_vms.at(aFrom);
  const Vm& to = m_vms.at(aTo);
  if (aMessage.m_to != ReplicaId(0)) {
    // Messages go to the address of a replica, also if its disk was lost.
    const auto vm = m_vmOfReplica.find(aMessage.m_to);
    return vm != m_vmOfReplica.end() && vm->second == aTo;
  }
  return aTo != aFrom && (from.m_seeds.empty() || from.m_seeds.contains(aTo) ||
                          from.m_replica->Members().Contains(to.m_id));
}

bool
ReplicaGroup::IsCut(int aFrom, int aTo) const
{
  return m_vms.at(aFrom).m_isIsolated || m_vms.at(aTo).m_isIsolated ||
         m_half.contains(aFrom) != m_half.contains(aTo);
}

void
ReplicaGroup::Deliver(int aFrom, const ConsensusMessage& aMessage)
{
  for (const auto& [number, vm] : m_vms) {
    if (!vm.m_replica || !IsRecipient(aFrom, number, aMessage) ||
        IsCut(aFrom, number)) {
      continue;
    }
    TimePoint& busyUntil = m_linkBusyUntil[{ aFrom, number }];
    busyUntil = std::max(busyUntil, m_now + RandomDelay(m_delays.m_maxMessage));
    m_pending.emplace(
      busyUntil,
      PendingEvent{
        number, vm.m_incarnation, ConsensusReceived{ aMessage }, {}, {} });
  }
}

bool
ReplicaGroup::Propose(const std::string& aCommand)
{
  const int leader = Leader();
  if (leader == 0) {
    return false;
  }
  Dispatch(leader, ProposeCommand{ RequestId(m_nextRequest++), aCommand });
  return true;
}

int
ReplicaGroup::Leader() const
{
  for (const auto& [number, vm] : m_vms) {
    if (vm.m_replica && !vm.m_isIsolated && !vm.m_isFrozen &&
        vm.m_replica->HoldsLease(m_now)) {
      return number;
    }
  }
  return 0;
}

const Membership&
ReplicaGroup::Members() const
{
  const int leader = Leader();
  cr_assert_neq(leader, 0, "no leader");
  return m_vms.at(leader).m_replica->Members();
}

std::uint32_t
ReplicaGroup::LowestFeatureLevel() const
{
  const int leader = Leader();
  cr_assert_neq(leader, 0, "no leader");
  return m_vms.at(leader).m_replica->LowestFeatureLevel();
}

bool
ReplicaGroup::IsVoter(int aVm) const
{
  return Members().IsVoter(m_vms.at(aVm).m_id);
}

const std::vector<std::string>&
ReplicaGroup::Applied(int aVm) const
{
  return m_vms.at(aVm).m_applied;
}

std::string
ReplicaGroup::Describe() const
{
  std::string text;
  for (const auto& [number, vm] : m_vms) {
    if (!vm.m_replica) {
      continue;
    }
    const Replica& replica = *vm.m_replica;
    text += NameOf(number) + " id " + std::to_string(vm.m_id.Value()) +
            " role " + std::to_string(static_cast<int>(replica.Role())) +
            " term " + std::to_string(replica.CurrentTerm().Value()) +
            " commit " + std::to_string(replica.Commit().Value()) + " last " +
            std::to_string(replica.Log().LastIndex().Value()) + " voters";
    for (const Member& voter : replica.Members().m_voters) {
      text += " " + voter.m_vm + "/" + std::to_string(voter.m_id.Value());
    }
    text += replica.Members().m_acceptsHalf ? " accept half," : "";
    text += " lost disks " + std::to_string(replica.LostDisks().size());
    text += " learners";
    for (const Member& learner : replica.Members().m_learners) {
      text += " " + learner.m_vm + "/" + std::to_string(learner.m_id.Value());
    }
    text += "\n";
  }
  return text;
}

} // namespace fulmarquay::testing
