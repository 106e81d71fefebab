#include "fulmarquay/serve/Neighbours.h"

#include "fulmarquay/cache/Rendezvous.h"

#include <algorithm>
#include <utility>

namespace fulmarquay {

namespace {

/// Time for which a neighbour that did not answer gets no requests: about that
/// of an entry's restart.
constexpr Duration kFailedPeriod(1'000'000);
/// Time for which a neighbour that reaches no worker of a pool gets no requests
/// of that pool. Bounds what entries pass in vain while a pool is down.
constexpr Duration kUnreachedPeriod(500'000);
/// The same for one whose workers are full, in which some requests end.
constexpr Duration kBusyPeriod(100'000);
/// Traffic between data centres is slower and paid for: a remote neighbour is
/// chosen if the local ones have this many more requests.
constexpr std::int64_t kRemoteCost = 4;
/// Lifetime of a recorded outcome: longer than the interval between two
/// requests of an entry for a pool.
constexpr Duration kMemory(10'000'000);
/// Cost, in requests, of a neighbour that has not served the pool lately; of
/// one in a data centre from which only refusals came; of one that refused.
constexpr std::int64_t kUnknownCost = 2;
constexpr std::int64_t kDoubtfulDataCentreCost = 16;
constexpr std::int64_t kRefusedCost = 1'000;

} // namespace

void
Neighbours::Set(const std::vector<RelayPeer>& aPeers,
                const DataCentreId& aOwnDataCentre)
{
  std::map<VmId, Entry> entries;
  for (const RelayPeer& peer : aPeers) {
    Entry entry;
    const auto known = m_entries.find(peer.m_vm);
    if (known != m_entries.end() && known->second.m_peer == peer) {
      entry = known->second;
    }
    entry.m_peer = peer;
    entry.m_isLocal = peer.m_dataCentre == aOwnDataCentre;
    entries.emplace(peer.m_vm, std::move(entry));
  }
  m_entries = std::move(entries);
}

std::map<DataCentreId, Neighbours::Outcome>
Neighbours::OutcomesOf(TimePoint aNow, const PoolId& aPool) const
{
  std::map<DataCentreId, Outcome> outcomes;
  for (const auto& [vm, entry] : m_entries) {
    const auto known = entry.m_pools.find(aPool);
    if (known != entry.m_pools.end()) {
      Outcome& outcome = outcomes[entry.m_peer.m_dataCentre];
      outcome.m_hasServed |= aNow < known->second.m_servedUntil;
      outcome.m_hasRefused |= aNow < known->second.m_refusedUntil;
    }
  }
  return outcomes;
}

const RelayPeer*
Neighbours::Choose(TimePoint aNow,
                   const PoolId& aPool,
                   const std::set<VmId>& aTried,
                   std::uint64_t aRandom,
                   const DataCentreFilter& aAllowed) const
{
  std::map<DataCentreId, Outcome> outcomes = OutcomesOf(aNow, aPool);
  const Entry* best = nullptr;
  std::pair<std::int64_t, std::uint64_t> bestCost;
  for (const auto& [vm, entry] : m_entries) {
    const auto known = entry.m_pools.find(aPool);
    const PoolState state =
      known == entry.m_pools.end() ? PoolState() : known->second;
    if (aNow < state.m_pausedUntil || aNow < entry.m_failedUntil ||
        aTried.count(vm) != 0 || !aAllowed.Allows(entry.m_peer.m_dataCentre)) {
      continue;
    }
    std::int64_t cost = entry.m_running + (entry.m_isLocal ? 0 : kRemoteCost);
    if (aNow < state.m_refusedUntil) {
      cost += kRefusedCost;
    } else if (aNow >= state.m_servedUntil) {
      const Outcome& outcome = outcomes[entry.m_peer.m_dataCentre];
      cost += outcome.m_hasRefused && !outcome.m_hasServed
                ? kDoubtfulDataCentreCost
                : kUnknownCost;
    }
    const std::pair ranked{ cost, RendezvousWeight(vm.Value(), aRandom) };
    if (best == nullptr || ranked < bestCost) {
      best = &entry;
      bestCost = ranked;
    }
  }
  return best == nullptr ? nullptr : &best->m_peer;
}

Neighbours::Entry*
Neighbours::Find(const VmId& aVm)
{
  const auto found = m_entries.find(aVm);
  return found == m_entries.end() ? nullptr : &found->second;
}

void
Neighbours::OnPassed(const VmId& aVm)
{
  if (Entry* entry = Find(aVm)) {
    ++entry->m_running;
  }
}

void
Neighbours::OnEnded(const VmId& aVm)
{
  if (Entry* entry = Find(aVm)) {
    entry->m_running = std::max<std::int64_t>(0, entry->m_running - 1);
  }
}

void
Neighbours::OnFailed(TimePoint aNow, const VmId& aVm)
{
  if (Entry* entry = Find(aVm)) {
    entry->m_failedUntil = aNow + kFailedPeriod;
  }
}

Neighbours::PoolState*
Neighbours::StateOf(const VmId& aVm, const PoolId& aPool)
{
  Entry* entry = Find(aVm);
  return entry == nullptr ? nullptr : &entry->m_pools[aPool];
}

void
Neighbours::OnServed(TimePoint aNow, const VmId& aVm, const PoolId& aPool)
{
  if (PoolState* state = StateOf(aVm, aPool)) {
    state->m_servedUntil = aNow + kMemory;
    state->m_refusedUntil = TimePoint();
  }
}

void
Neighbours::OnUnreached(TimePoint aNow, const VmId& aVm, const PoolId& aPool)
{
  if (PoolState* state = StateOf(aVm, aPool)) {
    state->m_pausedUntil = aNow + kUnreachedPeriod;
    state->m_refusedUntil = aNow + kMemory;
    state->m_servedUntil = TimePoint();
  }
}

void
Neighbours::OnBusy(TimePoint aNow, const VmId& aVm, const PoolId& aPool)
{
  if (PoolState* state = StateOf(aVm, aPool)) {
    state->m_pausedUntil = aNow + kBusyPeriod;
  }
}

} // namespace fulmarquay
