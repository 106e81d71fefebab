#include "fulmarquay/serve/PoolReach.h"

#include "RelayConstants.h"

#include <algorithm>

namespace fulmarquay {

namespace {

/// Workers in a row that accept no connection until the pool counts as
/// unreached. A single one may have crashed.
constexpr std::size_t kFailedWorkers = 2;
/// Time for which a pool counts as unreached after the first accepted
/// connection: the other workers are probed meanwhile.
constexpr Duration kSettleTime(250'000);
/// Interval of probes while a pool is unreached; new requests reach its workers
/// again within about this time after the end of a cut.
constexpr Duration kProbeInterval(500'000);

} // namespace

bool
PoolReach::OnUnreached(TimePoint aNow,
                       const PoolId& aPool,
                       const WorkerId& aWorker)
{
  State& state = m_pools[aPool];
  if (state.m_reachedAt != TimePoint()) {
    if (IsUnreached(aNow, aPool)) {
      // Of the workers that are probed now, some may have crashed meanwhile.
      return false;
    }
    state = State();
  }
  if (state.m_failed.empty()) {
    state.m_firstFailureAt = aNow;
  }
  state.m_failed.insert(aWorker);
  if (state.m_since != TimePoint() || state.m_failed.size() < kFailedWorkers) {
    return false;
  }
  state.m_since = aNow;
  state.m_nextProbes = aNow;
  return true;
}

void
PoolReach::OnAnswered(const PoolId& aPool, TimePoint aSentAt)
{
  const auto found = m_pools.find(aPool);
  if (found != m_pools.end() && found->second.m_since == TimePoint() &&
      aSentAt > found->second.m_firstFailureAt) {
    m_pools.erase(found);
  }
}

bool
PoolReach::OnReached(TimePoint aNow, const PoolId& aPool)
{
  const auto found = m_pools.find(aPool);
  if (found == m_pools.end()) {
    return false;
  }
  State& state = found->second;
  // Probes of a pool that is down take that long to fail: earlier, it was a
  // false alarm.
  if (state.m_since == TimePoint() || aNow < state.m_since + kConnectTimeout) {
    const bool wasUnreached = state.m_since != TimePoint();
    m_pools.erase(found);
    return wasUnreached;
  }
  if (state.m_reachedAt != TimePoint()) {
    return false;
  }
  state.m_reachedAt = aNow;
  return true;
}

bool
PoolReach::IsUnreached(TimePoint aNow, const PoolId& aPool) const
{
  const auto found = m_pools.find(aPool);
  if (found == m_pools.end() || found->second.m_since == TimePoint()) {
    return false;
  }
  const TimePoint reachedAt = found->second.m_reachedAt;
  return reachedAt == TimePoint() || aNow < reachedAt + kSettleTime;
}

bool
PoolReach::IsConfirmed(TimePoint aNow, const PoolId& aPool) const
{
  return IsUnreached(aNow, aPool) &&
         aNow >= m_pools.at(aPool).m_since + kConnectTimeout;
}

std::vector<PoolId>
PoolReach::TakeDueProbes(TimePoint aNow)
{
  std::vector<PoolId> due;
  for (auto& [pool, state] : m_pools) {
    const bool isCutOff =
      state.m_since != TimePoint() && state.m_reachedAt == TimePoint();
    if (isCutOff && aNow >= state.m_nextProbes) {
      state.m_nextProbes = aNow + kProbeInterval;
      due.push_back(pool);
    }
  }
  return due;
}

std::size_t
PoolReach::UnreachedPools(TimePoint aNow) const
{
  return static_cast<std::size_t>(
    std::count_if(m_pools.begin(), m_pools.end(), [&](const auto& aEach) {
      return IsUnreached(aNow, aEach.first);
    }));
}

} // namespace fulmarquay
