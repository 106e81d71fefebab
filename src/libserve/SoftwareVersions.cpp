#include "fulmarquay/serve/SoftwareVersions.h"

#include <algorithm>

namespace fulmarquay {

namespace {

/// Age of a confirmed list at which entries begin to send origins: longer than
/// the interval of heartbeats.
constexpr Duration kShareAge(2'400'000);
/// Age up to which a confirmed list proves that there is no other version: by
/// then entries with a list that was confirmed up to an interval of heartbeats
/// later send origins too.
constexpr Duration kMaxListAge(4'500'000);
/// Time after which all entries that may rely on an earlier list know a
/// version: their lists' maximum age, and that of the message with this one.
constexpr Duration kNewVersionPeriod = kMaxListAge + Duration(1'000'000);

} // namespace

std::vector<PoolId>
SoftwareVersions::Apply(TimePoint aNow, const WorkerList& aList)
{
  const bool isFirst = m_listNumber == 0;
  m_listNumber = aList.m_number;
  std::map<PoolId, Versions> pools;
  std::vector<PoolId> mixed;
  for (const auto& [pool, listed] : aList.m_software) {
    const Versions& known = m_pools[pool];
    Versions& versions = pools[pool];
    for (const SoftwareVersion& version : listed) {
      const auto found = known.find(version);
      versions[version] = found != known.end()       ? found->second
                          : isFirst || known.empty() ? TimePoint()
                                                     : aNow;
    }
    if (known.size() < 2 && versions.size() >= 2) {
      mixed.push_back(pool);
    }
  }
  m_pools = std::move(pools);
  return mixed;
}

void
SoftwareVersions::OnConfirmed(std::uint64_t aListNumber, TimePoint aSentAt)
{
  m_confirmedNumber = aListNumber;
  m_confirmedAt = aSentAt;
}

bool
SoftwareVersions::IsConfirmed(TimePoint aNow, Duration aMaxAge) const
{
  return m_confirmedNumber != 0 && m_listNumber >= m_confirmedNumber &&
         aNow - m_confirmedAt <= aMaxAge;
}

bool
SoftwareVersions::MayExpire(TimePoint aNow) const
{
  return !IsConfirmed(aNow, kShareAge);
}

std::vector<PoolId>
SoftwareVersions::Pools() const
{
  std::vector<PoolId> pools;
  for (const auto& [pool, versions] : m_pools) {
    pools.push_back(pool);
  }
  return pools;
}

bool
SoftwareVersions::IsMixed(const PoolId& aPool) const
{
  const auto found = m_pools.find(aPool);
  return found != m_pools.end() && found->second.size() >= 2;
}

std::optional<SoftwareVersion>
SoftwareVersions::OnlyVersion(TimePoint aNow, const PoolId& aPool) const
{
  const auto found = m_pools.find(aPool);
  if (!IsConfirmed(aNow, kMaxListAge) || found == m_pools.end() ||
      found->second.size() != 1) {
    return std::nullopt;
  }
  return found->second.begin()->first;
}

bool
SoftwareVersions::IsNew(TimePoint aNow,
                        const PoolId& aPool,
                        const SoftwareVersion& aVersion) const
{
  const auto pool = m_pools.find(aPool);
  if (pool == m_pools.end()) {
    return false;
  }
  const auto version = pool->second.find(aVersion);
  return version != pool->second.end() && version->second != TimePoint() &&
         aNow < version->second + kNewVersionPeriod;
}

} // namespace fulmarquay
