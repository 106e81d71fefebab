#include "EngineModel.h"

#include <algorithm>
#include <random>
#include <utility>

namespace fulmarquay {

namespace {

constexpr std::size_t kMaxRetainedEvents = 4096;
constexpr std::int64_t kMicrosPerSecond = 1'000'000;

} // namespace

EngineModel::EngineModel(EngineModelOptions aOptions)
  : m_options(std::move(aOptions))
{
}

bool
EngineModel::Holds(const BlockKey& aKey) const
{
  return m_cache.count(aKey) != 0;
}

std::size_t
EngineModel::CachedPrefixBlocks(const std::vector<BlockKey>& aKeys) const
{
  std::size_t count = 0;
  while (count < aKeys.size() && Holds(aKeys[count])) {
    ++count;
  }
  return count;
}

void
EngineModel::RecordEvent(TimePoint aNow,
                         bool aIsAdded,
                         const BlockKey& aKey,
                         const BlockKey& aRoot)
{
  m_events.push_back(
    { m_nextSequence++, aIsAdded, aKey, aRoot, aNow + m_options.m_eventLag });
  if (m_events.size() > kMaxRetainedEvents) {
    m_events.pop_front();
  }
}

void
EngineModel::Insert(TimePoint aNow, const BlockKey& aKey, const BlockKey& aRoot)
{
  const auto cached = m_cache.find(aKey);
  if (cached != m_cache.end()) {
    m_lruOrder.splice(
      m_lruOrder.end(), m_lruOrder, cached->second.m_lruPosition);
    return;
  }
  m_cache[aKey] = { aRoot, m_lruOrder.insert(m_lruOrder.end(), aKey) };
  RecordEvent(aNow, true, aKey, aRoot);
  while (m_cache.size() > m_options.m_maxCachedBlocks) {
    const BlockKey evicted = m_lruOrder.front();
    m_lruOrder.pop_front();
    RecordEvent(aNow, false, evicted, m_cache.at(evicted).m_root);
    m_cache.erase(evicted);
  }
}

void
EngineModel::Clear(TimePoint aNow)
{
  for (const auto& [key, cached] : m_cache) {
    RecordEvent(aNow, false, key, cached.m_root);
  }
  m_cache.clear();
  m_lruOrder.clear();
}

TimePoint
EngineModel::QueuePrefill(TimePoint aNow, std::int64_t aTokens)
{
  const Duration duration(aTokens * kMicrosPerSecond /
                          m_options.m_prefillTokensPerSecond);
  m_prefillBusyUntil = std::max(m_prefillBusyUntil, aNow) + duration;
  return m_prefillBusyUntil;
}

std::int64_t
EngineModel::QueuedTokens(TimePoint aNow) const
{
  const std::int64_t busyUs =
    std::max<std::int64_t>(0, (m_prefillBusyUntil - aNow).count());
  return busyUs * m_options.m_prefillTokensPerSecond / kMicrosPerSecond;
}

std::string
EngineModel::BlockBytes(const BlockKey& aKey) const
{
  std::mt19937_64 random(aKey.High() ^ aKey.Low());
  const auto size = static_cast<std::size_t>(m_options.m_pieceTokens *
                                             m_options.m_bytesPerToken);
  std::string bytes;
  bytes.reserve(size + sizeof(std::uint64_t));
  while (bytes.size() < size) {
    const std::uint64_t value = random();
    bytes.append(reinterpret_cast<const char*>(&value), sizeof(value));
  }
  bytes.resize(size);
  return bytes;
}

std::vector<ModelCacheEvent>
EngineModel::EventsAfter(TimePoint aNow, std::uint64_t aSequence) const
{
  std::vector<ModelCacheEvent> events;
  for (const ModelCacheEvent& event : m_events) {
    if (event.m_visibleAt > aNow) {
      break;
    }
    if (event.m_sequence > aSequence) {
      events.push_back(event);
    }
  }
  return events;
}

std::uint64_t
EngineModel::LastDroppedSequence() const
{
  return m_events.empty() ? m_nextSequence - 1
                          : m_events.front().m_sequence - 1;
}

void
EngineModel::SetWeights(TimePoint aNow, std::string aWeights)
{
  Clear(aNow);
  m_options.m_weights = std::move(aWeights);
}

} // namespace fulmarquay
