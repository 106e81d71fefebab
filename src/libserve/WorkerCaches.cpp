#include "fulmarquay/serve/WorkerCaches.h"

#include <algorithm>

namespace fulmarquay {

namespace {

/// Parts are assumed to be dropped this long after their last use. Reads of
/// unknown entries displace them within seconds on busy engines.
constexpr Duration kCachedPartTtl(20'000'000);
constexpr Duration kPartialKnowledgeTtl(6'000'000);

} // namespace

Duration
WorkerCaches::Ttl() const
{
  return m_isComplete ? kCachedPartTtl : kPartialKnowledgeTtl;
}

void
WorkerCaches::RemoveHolder(std::uint64_t aKey, const std::string& aWorker)
{
  const auto holders = m_holders.find(aKey);
  std::erase(holders->second, aWorker);
  if (holders->second.empty()) {
    m_holders.erase(holders);
  }
}

void
WorkerCaches::DropLast(const std::string& aWorker, Cache& aCache)
{
  const CachedPart& last = aCache.m_order.back();
  RemoveHolder(last.m_key, aWorker);
  aCache.m_tokens -= last.m_tokens;
  aCache.m_parts.erase(last.m_key);
  aCache.m_order.pop_back();
}

void
WorkerCaches::Clear(const std::string& aWorker, Cache& aCache)
{
  while (!aCache.m_order.empty()) {
    DropLast(aWorker, aCache);
  }
}

void
WorkerCaches::OnRead(TimePoint aNow,
                     const WorkerState& aWorker,
                     const std::vector<PartRead>& aParts,
                     std::int64_t aCapacityTokens)
{
  const std::string& id = aWorker.m_info.m_id.Value();
  Cache& cache = m_caches[id];
  if (cache.m_createdMs != aWorker.m_info.m_createdMs) {
    Clear(id, cache);
    cache.m_createdMs = aWorker.m_info.m_createdMs;
  }
  // The engine uses the parts in the order of the prompt, so that the first one
  // is the last to be dropped of those read together.
  for (auto part = aParts.rbegin(); part != aParts.rend(); ++part) {
    const auto known = cache.m_parts.find(part->m_key);
    if (known != cache.m_parts.end()) {
      known->second->m_usedAt = aNow;
      cache.m_order.splice(cache.m_order.begin(), cache.m_order, known->second);
      continue;
    }
    cache.m_order.push_front({ part->m_key, part->m_tokens, aNow });
    cache.m_parts[part->m_key] = cache.m_order.begin();
    cache.m_tokens += part->m_tokens;
    m_holders[part->m_key].push_back(id);
  }
  while (aCapacityTokens > 0 && cache.m_tokens > aCapacityTokens) {
    DropLast(id, cache);
  }
}

bool
WorkerCaches::Holds(TimePoint aNow,
                    const WorkerState& aWorker,
                    std::uint64_t aKey) const
{
  const auto cache = m_caches.find(aWorker.m_info.m_id.Value());
  if (cache == m_caches.end() ||
      cache->second.m_createdMs != aWorker.m_info.m_createdMs) {
    return false;
  }
  const auto part = cache->second.m_parts.find(aKey);
  return part != cache->second.m_parts.end() &&
         aNow < part->second->m_usedAt + Ttl();
}

std::vector<const WorkerState*>
WorkerCaches::Holders(TimePoint aNow,
                      const WorkerTable& aWorkers,
                      std::uint64_t aKey) const
{
  std::vector<const WorkerState*> holders;
  const auto ids = m_holders.find(aKey);
  if (ids == m_holders.end()) {
    return holders;
  }
  for (const std::string& id : ids->second) {
    const auto holder = aWorkers.All().find(WorkerId(id));
    if (holder != aWorkers.All().end() && !holder->second.m_isEvacuated &&
        Holds(aNow, holder->second, aKey)) {
      holders.push_back(&holder->second);
    }
  }
  return holders;
}

void
WorkerCaches::Sweep(TimePoint aNow, const WorkerTable& aWorkers)
{
  for (auto each = m_caches.begin(); each != m_caches.end();) {
    auto& [id, cache] = *each;
    const auto listed = aWorkers.All().find(WorkerId(id));
    const bool isGone = listed == aWorkers.All().end() ||
                        listed->second.m_info.m_createdMs != cache.m_createdMs;
    while (!cache.m_order.empty() &&
           (isGone || aNow >= cache.m_order.back().m_usedAt + Ttl())) {
      DropLast(id, cache);
    }
    each = isGone ? m_caches.erase(each) : std::next(each);
  }
}

} // namespace fulmarquay
