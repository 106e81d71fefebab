#include "fulmarquay/control/PublishedState.h"

#include <utility>

namespace fulmarquay {

namespace {

/// Bounds the memory of all replicas and entries.
constexpr std::size_t kMaxBlockedParts = 1'000;
constexpr std::size_t kMaxPools = 200;
constexpr std::size_t kMaxVersionsOfPool = 20;
constexpr std::size_t kMaxEvacuated = 100;

} // namespace

bool
PublishedState::Publish(const PublishRoutesCommand& aCommand)
{
  if (aCommand.m_revision <= m_content.m_revision) {
    return false;
  }
  m_content.m_revision = aCommand.m_revision;
  m_content.m_source = aCommand.m_source;
  return true;
}

bool
PublishedState::SetWeights(const NameWeightsCommand& aCommand)
{
  std::int64_t& version = m_content.m_weights[aCommand.m_model];
  if (aCommand.m_version <= version) {
    return false;
  }
  version = aCommand.m_version;
  return true;
}

bool
PublishedState::SetBlocked(const BlockPartCommand& aCommand)
{
  std::set<RequestPartId>& blocked = m_content.m_blockedParts;
  if (!aCommand.m_isBlocked) {
    return blocked.erase(aCommand.m_part) != 0;
  }
  return blocked.size() < kMaxBlockedParts &&
         blocked.insert(aCommand.m_part).second;
}

bool
PublishedState::SetListed(const ListSoftwareCommand& aCommand)
{
  SoftwareByPool& pools = m_content.m_software;
  const auto pool = pools.find(aCommand.m_pool);
  if (!aCommand.m_isListed) {
    const bool isRemoved =
      pool != pools.end() && pool->second.erase(aCommand.m_software) != 0;
    if (isRemoved && pool->second.empty()) {
      pools.erase(pool);
    }
    return isRemoved;
  }
  if (pool == pools.end()) {
    return pools.size() < kMaxPools &&
           pools[aCommand.m_pool].insert(aCommand.m_software).second;
  }
  return pool->second.size() < kMaxVersionsOfPool &&
         pool->second.insert(aCommand.m_software).second;
}

bool
PublishedState::SetEvacuated(const EvacuateCommand& aCommand)
{
  std::set<DataCentreId>& evacuated = m_content.m_evacuated;
  if (!aCommand.m_isEvacuated) {
    return evacuated.erase(aCommand.m_dataCentre) != 0;
  }
  return evacuated.size() < kMaxEvacuated &&
         evacuated.insert(aCommand.m_dataCentre).second;
}

void
PublishedState::Restore(Content aContent)
{
  m_content = std::move(aContent);
}

} // namespace fulmarquay
