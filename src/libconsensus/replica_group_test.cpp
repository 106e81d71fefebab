#include "replica_group_test.h"

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
ReplicaGroup::Stop(int aVm)
{
  m_vms.at(aVm).m_replica.reset();
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
  vm.m_replica = std::make_unique<Replica>(options, vm.m_disk, m_now);
  m_vmOfReplica[vm.m_id] = aVm;
  ++vm.m_incarnation;
  vm.m_diskFreeAt = m_now;
  vm.m_applied.clear();
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
      if (vm.m_replica) {
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
    const PendingEvent pending = std::move(first->second);
    m_pending.erase(first);
    Vm& vm = m_vms.at(pending.m_vm);
    if (vm.m_incarnation != pending.m_incarnation) {
      continue;
    }
    if (pending.m_batch) {
      Store(vm.m_disk, *pending.m_batch);
    } else if (pending.m_snapshot) {
      vm.m_disk.m_hardState = pending.m_snapshot->m_hardState;
      vm.m_disk.m_snapshot = pending.m_snapshot->m_snapshot;
      vm.m_disk.m_entries.clear();
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

Duration
ReplicaGroup::RandomDelay(Duration aMax)
{
  std::uniform_int_distribution<std::int64_t> spread(0, aMax.count());
  return Duration(spread(m_random));
}

void
ReplicaGroup::Dispatch(int aVm, const ReplicaEvent& aEvent)
{
  HandleEffects(aVm, m_vms.at(aVm).m_replica->Reduce(m_now, aEvent));
}

void
ReplicaGroup::HandleEffects(int aVm, ReplicaEffects aEffects)
{
  Vm& vm = m_vms.at(aVm);
  for (const ReplicaEffect& effect : aEffects) {
    if (const auto* send = std::get_if<SendConsensus>(&effect)) {
      Deliver(aVm, send->m_message);
    } else if (const auto* batch = std::get_if<PersistBatch>(&effect)) {
      Sync(aVm, { aVm, 0, DiskSynced{ batch->m_number }, *batch, {} });
    } else if (const auto* saved = std::get_if<PersistSnapshot>(&effect)) {
      Sync(aVm, { aVm, 0, DiskSynced{ saved->m_number }, {}, *saved });
    } else if (const auto* apply = std::get_if<ApplyEntry>(&effect)) {
      if (apply->m_entry.Kind() == EntryKind::Command) {
        vm.m_applied.push_back(apply->m_entry.m_payload);
        if (vm.m_replica->Role() == ReplicaRole::Leader) {
          m_acknowledged.insert(apply->m_entry.m_payload);
        }
      }
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

void
ReplicaGroup::Deliver(int aFrom, const ConsensusMessage& aMessage)
{
  for (const auto& [number, vm] : m_vms) {
    const bool isCut = vm.m_isIsolated || m_vms.at(aFrom).m_isIsolated;
    if (!vm.m_replica || isCut || !IsRecipient(aFrom, number, aMessage)) {
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
    if (vm.m_replica && !vm.m_isIsolated && vm.m_replica->HoldsLease(m_now)) {
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

} // namespace fulmarquay::testing
