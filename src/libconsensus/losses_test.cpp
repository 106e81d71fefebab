// Random losses of VMs, links and disks that keep to the promise of a
// deployment. What may be lost follows from the VMs and their disks alone, so
// that a fault of the membership can't excuse itself.
#include "replica_group_test.h"

#include <algorithm>
#include <cstdlib>
#include <sstream>

// Included last because its macros clash with names in other headers.
#include <criterion/criterion.h>

using namespace fulmarquay;
using namespace fulmarquay::testing;

namespace {

constexpr Duration kMillisecond(1'000);
constexpr Duration kSecond(1'000'000);
constexpr Duration kStep = 20 * kMillisecond;
/// A lost disk counts until its VM, or the successor, had this long.
constexpr Duration kCatchUpTime = 6 * kSecond;
constexpr Duration kRecoveryTime = 20 * kSecond;
constexpr Duration kLength = 45 * kSecond;

/// A deployment of a fixed number of VMs, with faults drawn from a seed.
class Deployment
{
public:
  Deployment(int aVms, std::uint64_t aSeed);

  /// Runs with faults, then without. Returns what was violated, or an empty
  /// string.
  std::string Run();

  std::size_t DiskLosses() const { return m_diskLosses; }
  std::size_t Commands() const { return m_group.Acknowledged().size(); }

  /// The faults of this run, for failure messages.
  std::string History() const { return m_history.str(); }

private:
  /// A place for one VM: the VM that is there now.
  struct Place
  {
    int m_vm = 0;
    std::set<int> m_seeds;
    /// VMs of this place whose disks are lost and not made up for yet.
    std::set<int> m_lost;
    Duration m_connected = Duration(0); ///< since when it could catch up
    bool m_isStarted = true;
    bool m_isNew = false; ///< a successor that has not been started
    bool m_isFrozen = false;
    bool m_isCut = false;
    Duration m_startAt; ///< end of the time without a process
    Duration m_thawAt;
    Duration m_connectAt;
  };

  std::int64_t Random(std::int64_t aMin, std::int64_t aMax);
  Duration RandomTime(std::int64_t aMinMs, std::int64_t aMaxMs);
  Place& RandomPlace();
  void Log(const std::string& aWhat, const Place& aPlace);

  int Tolerated() const { return (m_vms - 1) / 2; }
  int LostDisks() const;
  bool MayLoseDisk(const Place& aPlace) const;
  bool IsReachable(const Place& aFrom, const Place& aTo) const;
  void CountLostDisk(Place& aPlace);
  void CountConnectedTime();
  void ChooseSeeds(Place& aPlace);
  void RenewSeeds();

  void Step();
  void LogMembership();
  void EndDueFaults(Duration aNow);
  void Propose();
  void InjectFault();
  void Cut(Place& aPlace);
  void Freeze(Place& aPlace);
  void Kill(Place& aPlace, Duration aTime);
  void KillAll();
  void LoseDisk(Place& aPlace);
  void Replace(Place& aPlace);
  void Split();
  std::string Check();

  int m_vms;
  std::mt19937_64 m_random;
  ReplicaGroup m_group;
  std::vector<Place> m_places;
  int m_lastVm;
  std::set<int> m_half;
  Duration m_joinHalvesAt = Duration(0);
  Duration m_now = Duration(0);
  Duration m_nextFault = Duration(0);
  std::vector<Member> m_lastVoters; ///< in the history
  std::size_t m_diskLosses = 0;
  int m_commands = 0;
  std::ostringstream m_history;
};

Deployment::Deployment(int aVms, std::uint64_t aSeed)
  : m_vms(aVms)
  , m_random(aSeed)
  , m_group(aVms, aSeed, { 3 * kMillisecond, 6 * kMillisecond })
  , m_places(static_cast<std::size_t>(aVms))
  , m_lastVm(aVms)
{
  for (std::size_t i = 0; i < m_places.size(); ++i) {
    m_places[i].m_vm = static_cast<int>(i) + 1;
  }
  for (Place& place : m_places) {
    ChooseSeeds(place);
  }
  m_nextFault = RandomTime(1'000, 3'000);
}

std::int64_t
Deployment::Random(std::int64_t aMin, std::int64_t aMax)
{
  return std::uniform_int_distribution<std::int64_t>(aMin, aMax)(m_random);
}

Duration
Deployment::RandomTime(std::int64_t aMinMs, std::int64_t aMaxMs)
{
  return Random(aMinMs, aMaxMs) * kMillisecond;
}

Deployment::Place&
Deployment::RandomPlace()
{
  if (Random(0, 2) == 0) {
    const int leader = m_group.Leader();
    for (Place& place : m_places) {
      if (place.m_vm == leader) {
        return place;
      }
    }
  }
  return m_places[static_cast<std::size_t>(Random(0, m_vms - 1))];
}

void
Deployment::Log(const std::string& aWhat, const Place& aPlace)
{
  m_history << m_now.count() / 1'000 << " ms: " << aWhat << " vm" << aPlace.m_vm
            << (aPlace.m_vm == m_group.Leader() ? " (leader)" : "") << "\n";
}

// The promise.

int
Deployment::LostDisks() const
{
  std::size_t count = 0;
  for (const Place& place : m_places) {
    count += place.m_lost.size();
  }
  return static_cast<int>(count);
}

bool
Deployment::MayLoseDisk(const Place& aPlace) const
{
  return aPlace.m_lost.contains(aPlace.m_vm) || LostDisks() < Tolerated();
}

bool
Deployment::IsReachable(const Place& aFrom, const Place& aTo) const
{
  const auto isUp = [](const Place& aPlace) {
    return aPlace.m_isStarted && !aPlace.m_isFrozen && !aPlace.m_isCut;
  };
  return isUp(aFrom) && isUp(aTo) &&
         m_half.contains(aFrom.m_vm) == m_half.contains(aTo.m_vm);
}

void
Deployment::CountLostDisk(Place& aPlace)
{
  ++m_diskLosses;
  aPlace.m_lost.insert(aPlace.m_vm);
  aPlace.m_connected = Duration(0);
}

void
Deployment::CountConnectedTime()
{
  // A VM catches up while it reaches as many VMs with their disks as the
  // deployment keeps when all that it tolerates is lost.
  for (Place& place : m_places) {
    const auto reached =
      std::count_if(m_places.begin(), m_places.end(), [&](const Place& aEach) {
        return aEach.m_lost.empty() && IsReachable(place, aEach);
      });
    place.m_connected =
      reached >= m_vms - Tolerated() ? place.m_connected + kStep : Duration(0);
  }
  for (Place& place : m_places) {
    if (place.m_connected >= kCatchUpTime) {
      place.m_lost.clear();
    }
  }
}

void
Deployment::ChooseSeeds(Place& aPlace)
{
  // One of three is a VM with its disk. The others may have been removed.
  std::vector<int> sound;
  for (const Place& place : m_places) {
    if (place.m_lost.empty() && place.m_vm != aPlace.m_vm) {
      sound.push_back(place.m_vm);
    }
  }
  std::set<int> seeds = { sound[static_cast<std::size_t>(
    Random(0, static_cast<std::int64_t>(sound.size()) - 1))] };
  while (seeds.size() < 3) {
    seeds.insert(static_cast<int>(Random(1, m_lastVm)));
  }
  aPlace.m_seeds = seeds;
  if (!aPlace.m_isNew) {
    m_group.SetSeeds(aPlace.m_vm, std::move(seeds));
  }
}

void
Deployment::RenewSeeds()
{
  // The operator changes the settings of a VM that knows removed VMs only.
  for (Place& place : m_places) {
    const bool knowsAny =
      std::any_of(m_places.begin(), m_places.end(), [&](const Place& aEach) {
        return &aEach != &place && place.m_seeds.contains(aEach.m_vm);
      });
    if (!knowsAny) {
      ChooseSeeds(place);
    }
  }
}

// Faults.

void
Deployment::Cut(Place& aPlace)
{
  if (aPlace.m_isNew) {
    return;
  }
  Log("cut", aPlace);
  m_group.SetIsolated(aPlace.m_vm, true);
  aPlace.m_isCut = true;
  aPlace.m_connectAt = m_now + RandomTime(300, 9'000);
}

void
Deployment::Freeze(Place& aPlace)
{
  if (aPlace.m_isStarted) {
    Log("freeze", aPlace);
    m_group.SetFrozen(aPlace.m_vm, true);
    aPlace.m_isFrozen = true;
    aPlace.m_thawAt = m_now + RandomTime(100, 6'000);
  }
}

void
Deployment::Kill(Place& aPlace, Duration aTime)
{
  if (aPlace.m_isStarted) {
    Log("kill", aPlace);
    m_group.Stop(aPlace.m_vm);
    aPlace.m_isStarted = false;
    aPlace.m_isFrozen = false;
    aPlace.m_startAt = m_now + aTime;
  }
}

void
Deployment::KillAll()
{
  for (Place& place : m_places) {
    Kill(place, RandomTime(20, 1'000));
  }
}

void
Deployment::LoseDisk(Place& aPlace)
{
  if (aPlace.m_isNew || !MayLoseDisk(aPlace)) {
    return;
  }
  Kill(aPlace, RandomTime(20, 3'000));
  Log("lost disk of", aPlace);
  m_group.LoseDisk(aPlace.m_vm);
  CountLostDisk(aPlace);
  ChooseSeeds(aPlace);
}

void
Deployment::Replace(Place& aPlace)
{
  if (aPlace.m_isNew || !MayLoseDisk(aPlace)) {
    return;
  }
  if (Random(0, 1) == 0) {
    m_group.Transfer(aPlace.m_vm);
    m_group.Run(RandomTime(1, 5) * 20);
  }
  Kill(aPlace, RandomTime(20, 4'000));
  Log("removed", aPlace);
  m_group.Stop(aPlace.m_vm);
  CountLostDisk(aPlace);
  aPlace.m_isCut = false;
  aPlace.m_vm = ++m_lastVm;
  aPlace.m_isNew = true;
  ChooseSeeds(aPlace);
  RenewSeeds();
  Log("successor is", aPlace);
}

void
Deployment::Split()
{
  m_half.clear();
  for (const Place& place : m_places) {
    if (Random(0, 1) == 0) {
      m_half.insert(place.m_vm);
      Log("in one half:", place);
    }
  }
  m_group.Split(m_half);
  m_joinHalvesAt = m_now + RandomTime(300, 9'000);
}

void
Deployment::InjectFault()
{
  Place& place = RandomPlace();
  switch (Random(0, 11)) {
    case 0:
      Cut(place);
      break;
    case 1:
      for (auto i = Random(1, m_vms - 1); i > 0; --i) {
        Cut(RandomPlace());
      }
      break;
    case 2:
      Freeze(place);
      break;
    case 3:
      Kill(place, RandomTime(20, Random(0, 3) == 0 ? 9'000 : 1'000));
      break;
    case 4:
    case 5:
      LoseDisk(place);
      break;
    case 6:
    case 7:
      Replace(place);
      break;
    case 8:
      // Right after an acknowledgement, the leader among the first.
      for (int i = Tolerated(); i > 0; --i) {
        LoseDisk(RandomPlace());
      }
      if (Random(0, 1) == 0) {
        KillAll();
      }
      break;
    case 9:
      KillAll();
      break;
    case 10:
      Split();
      break;
    default:
      for (int i = Tolerated(); i > 0; --i) {
        Replace(RandomPlace());
      }
  }
  m_nextFault = m_now + (Random(0, 3) == 0 ? RandomTime(6'000, 9'000)
                                           : RandomTime(20, 3'000));
}

void
Deployment::EndDueFaults(Duration aNow)
{
  for (Place& place : m_places) {
    if (place.m_isCut && place.m_connectAt <= aNow) {
      place.m_isCut = false;
      m_group.SetIsolated(place.m_vm, false);
    }
    if (place.m_isFrozen && place.m_thawAt <= aNow) {
      place.m_isFrozen = false;
      m_group.SetFrozen(place.m_vm, false);
    }
    if (!place.m_isStarted && place.m_startAt <= aNow) {
      place.m_isStarted = true;
      if (place.m_isNew) {
        m_group.Join(place.m_vm, place.m_seeds);
        place.m_isNew = false;
      } else {
        m_group.Start(place.m_vm);
      }
    }
  }
  if (!m_half.empty() && m_joinHalvesAt <= aNow) {
    m_half.clear();
    m_group.Split({});
  }
}

void
Deployment::Propose()
{
  for (auto i = Random(0, 1); i > 0; --i) {
    if (m_group.Propose("c" + std::to_string(m_commands))) {
      ++m_commands;
    }
  }
  const Place& place = RandomPlace();
  if (Random(0, 9) == 0 && place.m_isStarted) {
    m_group.SaveSnapshot(place.m_vm);
  }
}

void
Deployment::Step()
{
  EndDueFaults(m_now);
  m_group.Run(kStep);
  m_now += kStep;
  CountConnectedTime();
  LogMembership();
}

void
Deployment::LogMembership()
{
  const int leader = m_group.Leader();
  if (leader == 0 || m_group.Members().m_voters == m_lastVoters) {
    return;
  }
  m_lastVoters = m_group.Members().m_voters;
  m_history << m_now.count() / 1'000 << " ms: vm" << leader << " has voters";
  for (const Member& voter : m_lastVoters) {
    m_history << " " << voter.m_vm << "/" << voter.m_id.Value();
  }
  m_history << "\n";
}

std::string
Deployment::Run()
{
  while (m_now < kLength && m_group.Violation().empty()) {
    Step();
    if (Random(0, 4) == 0) {
      Propose();
    }
    if (m_now >= m_nextFault) {
      InjectFault();
    }
  }
  EndDueFaults(Duration::max());
  m_history << "the faults have ended\n";
  const Duration end = m_now + kRecoveryTime;
  std::string violation = Check();
  while (m_now < end && !violation.empty() && m_group.Violation().empty()) {
    for (int i = 0; i < 5; ++i) {
      Step();
    }
    violation = Check();
  }
  if (!m_group.Violation().empty()) {
    violation = m_group.Violation();
  }
  if (!violation.empty()) {
    m_history << m_group.Describe();
  }
  return violation;
}

std::string
Deployment::Check()
{
  const int leader = m_group.Leader();
  if (leader == 0) {
    return "no leader after all faults ended";
  }
  const std::vector<std::string>& applied = m_group.Applied(leader);
  const std::set<std::string> unique(applied.begin(), applied.end());
  if (unique.size() != applied.size()) {
    return "a command was applied twice";
  }
  if (!std::includes(unique.begin(),
                     unique.end(),
                     m_group.Acknowledged().begin(),
                     m_group.Acknowledged().end())) {
    return "an acknowledged command was lost";
  }
  for (const Place& place : m_places) {
    if (!m_group.IsVoter(place.m_vm)) {
      return "vm" + std::to_string(place.m_vm) + " is no voter";
    }
    if (m_group.Applied(place.m_vm) != applied) {
      return "vm" + std::to_string(place.m_vm) + " differs from the leader";
    }
  }
  // Voters without a VM must leave a majority after the tolerated losses.
  const std::size_t voters = m_group.Members().m_voters.size();
  const auto left = static_cast<std::size_t>(m_vms - Tolerated());
  return left * 2 > voters ? "" : "too many voters that are gone";
}

struct Range
{
  std::uint64_t m_first = 1;
  std::uint64_t m_count = 1;
};

constexpr Range kSeeds = { 1, 100 };

/// Runs a range of seeds; fails with the number of those that violate an
/// invariant and with the history of the first.
void
RunSeeds(int aVms, const Range& aRange)
{
  std::size_t losses = 0;
  std::size_t commands = 0;
  std::string failures;
  std::string history;
  std::size_t failed = 0;
  for (std::uint64_t i = 0; i < aRange.m_count; ++i) {
    const std::uint64_t seed = aRange.m_first + i;
    Deployment deployment(aVms, seed);
    const std::string violation = deployment.Run();
    if (!violation.empty()) {
      ++failed;
      failures += std::to_string(seed) + " " + violation + "\n";
      history = history.empty() ? deployment.History() : history;
    }
    losses += deployment.DiskLosses();
    commands += deployment.Commands();
  }
  cr_assert_eq(failed,
               0U,
               "%d VMs, %zu of %llu seeds:\n%s%s",
               aVms,
               failed,
               static_cast<unsigned long long>(aRange.m_count),
               failures.c_str(),
               history.c_str());
  // Guards against runs that pass because they covered too little.
  cr_assert_gt(losses, aRange.m_count * 2);
  cr_assert_gt(commands, aRange.m_count * 50);
}

} // namespace

Test(losses, three_vms_have_a_leader_and_all_acknowledged_commands)
{
  RunSeeds(3, kSeeds);
}

Test(losses, four_vms_have_a_leader_and_all_acknowledged_commands)
{
  RunSeeds(4, kSeeds);
}

Test(losses, five_vms_have_a_leader_and_all_acknowledged_commands)
{
  RunSeeds(5, kSeeds);
}

Test(losses, six_vms_have_a_leader_and_all_acknowledged_commands)
{
  RunSeeds(6, kSeeds);
}

Test(losses, seven_vms_have_a_leader_and_all_acknowledged_commands)
{
  RunSeeds(7, kSeeds);
}

Test(losses, eight_vms_have_a_leader_and_all_acknowledged_commands)
{
  RunSeeds(8, kSeeds);
}

Test(losses, nine_vms_have_a_leader_and_all_acknowledged_commands)
{
  RunSeeds(9, kSeeds);
}

Test(losses, group_keeps_its_size_when_a_new_leader_adds_two_successors)
{
  // The times between the start of the successors and of the new leader vary.
  for (int pause = 0; pause < 300; pause += 20) {
    ReplicaGroup group(5);
    group.Run(3 * kSecond);
    const int leader = group.Leader();
    std::vector<int> followers;
    for (int vm = 1; vm <= 5; ++vm) {
      if (vm != leader) {
        followers.push_back(vm);
      }
    }
    group.Stop(followers[2]);
    group.Stop(followers[3]);
    group.Stop(leader);
    group.Join(6);
    group.Run(pause * kMillisecond);
    group.Join(7);
    group.Run(4 * kSecond);
    group.Start(leader);
    group.Run(10 * kSecond);
    cr_assert_eq(group.Members().m_voters.size(), 5U, "%d ms", pause);
  }
}

Test(losses, group_keeps_its_size_when_two_successors_start_at_once)
{
  for (int pause = 0; pause < 300; pause += 20) {
    ReplicaGroup group(5);
    group.Run(3 * kSecond);
    std::vector<int> gone;
    for (int vm = 1; gone.size() < 2; ++vm) {
      if (vm != group.Leader()) {
        gone.push_back(vm);
      }
    }
    group.Stop(gone[0]);
    group.Stop(gone[1]);
    group.Join(6);
    group.Run(pause * kMillisecond);
    group.Join(7);
    group.Run(10 * kSecond);
    cr_assert_eq(group.Members().m_voters.size(), 5U, "%d ms", pause);
  }
}

Test(losses, silent_voter_stays_while_another_rejoins_with_an_empty_disk)
{
  for (int vms = 4; vms <= 9; ++vms) {
    ReplicaGroup group(vms);
    group.Run(3 * kSecond);
    group.SetIsolated(1, true);
    group.Run(4 * kSecond);
    cr_assert(group.Propose("acknowledged"), "%d VMs", vms);
    group.Run(kSecond);
    group.LoseDisk(2);
    group.Start(2);
    group.Run(kCatchUpTime + kSecond);
    for (int vm = 3; vm <= 2 + (vms - 1) / 2; ++vm) {
      group.LoseDisk(vm);
      group.Start(vm);
    }
    group.SetIsolated(1, false);
    group.Run(15 * kSecond);
    cr_assert_neq(group.Leader(), 0, "%d VMs", vms);
    cr_assert_eq(group.Applied(group.Leader()),
                 std::vector<std::string>{ "acknowledged" });
  }
}

Test(losses, five_vms_have_a_leader_after_one_is_lost_during_a_change)
{
  RunSeeds(5, { 553, 1 });
}

Test(losses, five_vms_have_a_leader_after_many_elections_beside_lost_disks)
{
  RunSeeds(5, { 908, 1 });
}

// For longer manual runs: FULMARQUAY_LOSSES="FIRST COUNT VMS".
Test(losses, range_from_environment)
{
  const char* range = std::getenv("FULMARQUAY_LOSSES");
  if (range == nullptr) {
    return;
  }
  std::istringstream in(range);
  Range seeds;
  int vms = 3;
  in >> seeds.m_first >> seeds.m_count >> vms;
  RunSeeds(vms, seeds);
}
