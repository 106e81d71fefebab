#include "fulmarquay/control/SoftwareVersionManager.h"

#include "fulmarquay/control/FleetManager.h"

namespace fulmarquay {

namespace {

/// Longer than a stream with all attempts of its caller lasts.
constexpr Duration kRemovalDelay(60'000'000);

} // namespace

SoftwareVersionManager::SoftwareVersionManager(FleetContext& aContext)
  : m_context(aContext)
{
}

bool
SoftwareVersionManager::IsPublishable(const WorkerInfo& aWorker) const
{
  const SoftwareByPool& pools = m_context.Published().Software();
  const auto pool = pools.find(aWorker.m_pool);
  return aWorker.m_software == SoftwareVersion() ||
         (pool != pools.end() && pool->second.count(aWorker.m_software) != 0);
}

void
SoftwareVersionManager::OnListed(const std::vector<WorkerInfo>& aWorkers,
                                 bool aIsWhole)
{
  const TimePoint now = m_context.Now();
  std::set<PoolVersion> missing;
  for (const WorkerInfo& worker : aWorkers) {
    m_listedAt[{ worker.m_pool, worker.m_software }] = now;
    if (!IsPublishable(worker)) {
      missing.insert({ worker.m_pool, worker.m_software });
    }
  }
  for (const auto& [pool, version] : missing) {
    m_context.ProposeFor(CallerId(0),
                         ListSoftwareCommand{ pool, version, true });
  }
  for (const auto& [pool, versions] : m_context.Published().Software()) {
    for (const SoftwareVersion& version : versions) {
      TimePoint& listedAt =
        m_listedAt.try_emplace({ pool, version }, now).first->second;
      listedAt = aIsWhole ? listedAt : now;
      if (now >= listedAt + kRemovalDelay) {
        m_context.ProposeFor(CallerId(0),
                             ListSoftwareCommand{ pool, version, false });
      }
    }
  }
  std::erase_if(m_listedAt, [&](const auto& aEach) {
    return now >= aEach.second + 2 * kRemovalDelay;
  });
}

bool
SoftwareVersionManager::OnStateApplied()
{
  const SoftwareByPool& pools = m_context.Published().Software();
  if (pools == m_applied) {
    return false;
  }
  for (const auto& [pool, versions] : pools) {
    for (const SoftwareVersion& version : versions) {
      if (m_applied[pool].count(version) == 0) {
        m_context.Log(
          LogEvent::SoftwareVersionAdded,
          { { "pool", pool.Value() }, { "software", version.Value() } });
      }
    }
  }
  for (const auto& [pool, versions] : m_applied) {
    const auto current = pools.find(pool);
    for (const SoftwareVersion& version : versions) {
      if (current == pools.end() || current->second.count(version) == 0) {
        m_context.Log(
          LogEvent::SoftwareVersionRemoved,
          { { "pool", pool.Value() }, { "software", version.Value() } });
      }
    }
  }
  m_applied = pools;
  return true;
}

void
SoftwareVersionManager::OnLeadership()
{
  m_listedAt.clear();
  m_applied.clear();
}

} // namespace fulmarquay
