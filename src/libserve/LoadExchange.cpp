#include "fulmarquay/serve/LoadExchange.h"

#include "fulmarquay/cache/Rendezvous.h"
#include "fulmarquay/core/Digest.h"

#include <algorithm>
#include <utility>

namespace fulmarquay {

namespace {

/// Between two shares: short against the time that a long prompt takes to
/// read, about as long as a few requests take to arrive.
constexpr Duration kShareInterval(30'000);
/// With more partners shares are fewer: an entry gets some 200 messages a
/// second at most, by which it stays within 15 KB/s.
constexpr Duration kIntervalOfPartner(5'000);
/// A partner that has missed a share waits no longer for a whole one.
constexpr Duration kWholeInterval(400'000);
/// An entry's load is believed for this long: a whole share may be lost, a
/// process that died holds nothing for much longer.
constexpr Duration kLoadLife(1'000'000);

} // namespace

LoadExchange::LoadExchange(VmId aSelf)
  : m_self(std::move(aSelf))
{
}

void
LoadExchange::SetPartners(const std::vector<EntryPeer>& aPartners)
{
  std::vector<std::pair<std::uint64_t, Endpoint>> partners;
  for (const EntryPeer& partner : aPartners) {
    if (partner.m_vm != m_self) {
      partners.emplace_back(
        RendezvousWeight(partner.m_vm.Value(), Checksum64(m_self.Value())),
        Endpoint::Parse(partner.m_address));
    }
  }
  // Every entry is heard by about as many.
  std::sort(partners.begin(), partners.end());
  partners.resize(std::min(partners.size(), kMostLoadPartners));
  m_partners.clear();
  for (const auto& [weight, address] : partners) {
    m_partners.push_back(address);
  }
  m_nextWhole = TimePoint();
}

void
LoadExchange::Count(const WorkerLoad& aLoad, std::int64_t aSign)
{
  WorkerLoad& sum = m_sums[aLoad.m_worker];
  sum.m_running += aSign * aLoad.m_running;
  sum.m_waitingTokens += aSign * aLoad.m_waitingTokens;
  sum.m_heldTokens += aSign * aLoad.m_heldTokens;
  if (sum.m_running == 0 && sum.m_heldTokens == 0) {
    m_sums.erase(aLoad.m_worker);
  }
}

void
LoadExchange::Forget(Told& aTold)
{
  for (const auto& [worker, load] : aTold.m_loads) {
    Count(load, -1);
  }
  aTold.m_loads.clear();
}

void
LoadExchange::OnLoads(TimePoint aNow, const WorkerLoads& aLoads)
{
  if (aLoads.m_vm == m_self) {
    return;
  }
  const auto place = m_told.find(aLoads.m_vm);
  const bool isNext =
    place != m_told.end() && aLoads.m_number == place->second.m_number + 1;
  if (!aLoads.m_isWhole && !isNext) {
    return;
  }
  Told& told = m_told[aLoads.m_vm];
  if (aLoads.m_isWhole) {
    Forget(told);
  }
  told.m_at = aNow;
  told.m_number = aLoads.m_number;
  for (const WorkerLoad& load : aLoads.m_loads) {
    const auto known = told.m_loads.find(load.m_worker);
    if (known != told.m_loads.end()) {
      Count(known->second, -1);
      told.m_loads.erase(known);
    }
    if (load.m_running > 0) {
      Count(load, 1);
      told.m_loads.emplace(load.m_worker, load);
    }
  }
}

LoadExchange::Loads
LoadExchange::OwnLoads(const WorkerTable& aWorkers)
{
  Loads loads;
  for (const auto& [id, worker] : aWorkers.All()) {
    if (worker.m_running > 0) {
      loads[id.Value()] = { id.Value(),
                            worker.m_running,
                            worker.m_waitingTokens,
                            worker.m_heldTokens };
    }
  }
  return loads;
}

std::optional<WorkerLoads>
LoadExchange::TakeShare(TimePoint aNow, const WorkerTable& aWorkers)
{
  if (aNow < m_nextShare || m_partners.empty()) {
    return std::nullopt;
  }
  Loads loads = OwnLoads(aWorkers);
  WorkerLoads share;
  share.m_vm = m_self;
  share.m_isWhole = aNow >= m_nextWhole;
  for (const auto& [worker, load] : loads) {
    const auto known = m_shared.find(worker);
    const bool isNew = known == m_shared.end() || known->second != load;
    if (share.m_isWhole || isNew) {
      share.m_loads.push_back(load);
    }
  }
  for (const auto& [worker, load] : m_shared) {
    if (!share.m_isWhole && loads.count(worker) == 0) {
      share.m_loads.push_back({ worker, 0, 0, 0 });
    }
  }
  if (!share.m_isWhole && share.m_loads.empty()) {
    return std::nullopt;
  }
  m_shared = std::move(loads);
  share.m_number = ++m_number;
  const auto partners = static_cast<std::int64_t>(m_partners.size());
  m_nextShare = aNow + std::max(kShareInterval, kIntervalOfPartner * partners);
  if (share.m_isWhole) {
    m_nextWhole = aNow + kWholeInterval;
  }
  return share;
}

void
LoadExchange::OnTick(TimePoint aNow)
{
  for (auto each = m_told.begin(); each != m_told.end();) {
    if (aNow < each->second.m_at + kLoadLife) {
      ++each;
      continue;
    }
    Forget(each->second);
    each = m_told.erase(each);
  }
}

bool
LoadExchange::IsKnown() const
{
  return m_entries <= 1 || !m_told.empty();
}

WorkerLoad
LoadExchange::OthersAt(const WorkerId& aWorker) const
{
  const auto place = m_sums.find(aWorker.Value());
  if (place == m_sums.end() || m_told.empty()) {
    return {};
  }
  const auto others = static_cast<std::int64_t>(m_entries) - 1;
  const auto told = static_cast<std::int64_t>(m_told.size());
  const auto scaled = [&](std::int64_t aValue) {
    // Entries that just went may still be among those that told.
    return others > told ? aValue * others / told : aValue;
  };
  return { aWorker.Value(),
           scaled(place->second.m_running),
           scaled(place->second.m_waitingTokens),
           scaled(place->second.m_heldTokens) };
}

} // namespace fulmarquay
