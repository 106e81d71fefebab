#include "fulmarquay/serve/LoadExchange.h"

#include <algorithm>
#include <utility>

namespace fulmarquay {

namespace {

/// Between two shares: short against the time that a long prompt takes to
/// read, about as long as a few requests take to arrive.
constexpr Duration kShareInterval(30'000);
/// With more partners shares are fewer, so that an entry gets some hundred
/// messages a second at most.
constexpr Duration kIntervalOfPartner(3'000);
/// An idle entry says so again only this often.
constexpr Duration kIdleInterval(200'000);
/// An entry's load is believed for this long: some shares may be lost, a
/// process that died holds nothing for much longer.
constexpr Duration kLoadLife(700'000);

} // namespace

LoadExchange::LoadExchange(VmId aSelf)
  : m_self(std::move(aSelf))
{
}

void
LoadExchange::SetPartners(const std::vector<EntryPeer>& aPartners)
{
  m_partners.clear();
  for (const EntryPeer& partner : aPartners) {
    if (partner.m_vm != m_self) {
      m_partners.push_back(Endpoint::Parse(partner.m_address));
    }
  }
}

void
LoadExchange::Count(const std::vector<WorkerLoad>& aLoads, std::int64_t aSign)
{
  for (const WorkerLoad& load : aLoads) {
    WorkerLoad& sum = m_sums[load.m_worker];
    sum.m_running += aSign * load.m_running;
    sum.m_waitingTokens += aSign * load.m_waitingTokens;
    sum.m_heldTokens += aSign * load.m_heldTokens;
    if (sum.m_running == 0 && sum.m_heldTokens == 0) {
      m_sums.erase(load.m_worker);
    }
  }
}

void
LoadExchange::OnLoads(TimePoint aNow, const WorkerLoads& aLoads)
{
  if (aLoads.m_vm == m_self) {
    return;
  }
  Told& told = m_told[aLoads.m_vm];
  Count(told.m_loads, -1);
  told = { aNow, aLoads.m_loads };
  Count(told.m_loads, 1);
}

std::optional<WorkerLoads>
LoadExchange::TakeShare(TimePoint aNow, const WorkerTable& aWorkers)
{
  if (aNow < m_nextShare || m_partners.empty()) {
    return std::nullopt;
  }
  WorkerLoads share;
  share.m_vm = m_self;
  for (const auto& [id, worker] : aWorkers.All()) {
    if (worker.m_running > 0) {
      share.m_loads.push_back({ id.Value(),
                                worker.m_running,
                                worker.m_waitingTokens,
                                worker.m_heldTokens });
    }
  }
  if (share.m_loads.empty() && m_wasIdle && aNow < m_nextIdleShare) {
    return std::nullopt;
  }
  m_wasIdle = share.m_loads.empty();
  const auto partners = static_cast<std::int64_t>(m_partners.size());
  m_nextShare = aNow + std::max(kShareInterval, kIntervalOfPartner * partners);
  m_nextIdleShare = aNow + kIdleInterval;
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
    Count(each->second.m_loads, -1);
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
