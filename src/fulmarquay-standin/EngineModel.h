#ifndef FULMARQUAY_STANDIN_ENGINEMODEL_H
#define FULMARQUAY_STANDIN_ENGINEMODEL_H

#include "fulmarquay/cache/BlockKey.h"
#include "fulmarquay/core/Units.h"

#include <cstdint>
#include <deque>
#include <list>
#include <string>
#include <unordered_map>
#include <vector>

namespace fulmarquay {

/// How an emulated engine behaves.
struct EngineModelOptions
{
  std::size_t m_cachePieces = 64;
  std::int64_t m_prefillPerSecond = 20'000;
  std::int64_t m_pieceTokens = 2048;
  std::int64_t m_bytesPerToken = 64;
  std::int64_t m_slots = 8;
  Duration m_eventLag{};
  std::string m_weights;
};

/// A cache event with the time at which a report may show it.
struct ModelCacheEvent
{
  std::uint64_t m_sequence = 0;
  bool m_isAdded = false;
  BlockKey m_key;
  BlockKey m_root;
  TimePoint m_visible;
};

/// The parts of an engine that decide timing and cache content, without I/O:
/// a prefix cache with least-recently-used eviction and one prefill queue.
class EngineModel
{
public:
  explicit EngineModel(EngineModelOptions aOptions);

  const EngineModelOptions& Options() const { return m_options; }

  /// Leading blocks of a chain that the cache holds.
  std::size_t CachedPieces(const std::vector<BlockKey>& aKeys) const;
  bool Holds(const BlockKey& aKey) const;

  /// Puts a block into the cache, evicting the least recently used ones.
  void Insert(TimePoint aNow, const BlockKey& aKey, const BlockKey& aRoot);

  /// Empties the cache, as new weights do.
  void Clear(TimePoint aNow);

  /// Queues prompt tokens; returns when their prefill is finished.
  TimePoint QueuePrefill(TimePoint aNow, std::int64_t aTokens);

  /// Tokens whose prefill is not finished.
  std::int64_t QueuedTokens(TimePoint aNow) const;

  /// The content of a block, the same in every engine.
  std::string BlockBytes(const BlockKey& aKey) const;

  /// Events after a sequence number that are visible now.
  std::vector<ModelCacheEvent> EventsAfter(TimePoint aNow,
                                           std::uint64_t aAfter) const;
  /// The sequence number before the oldest event that is still kept.
  std::uint64_t FirstKnown() const;

  void SetWeights(TimePoint aNow, std::string aWeights);

private:
  struct Cached
  {
    BlockKey m_root;
    std::list<BlockKey>::iterator m_age;
  };

  void Note(TimePoint aNow,
            bool aIsAdded,
            const BlockKey& aKey,
            const BlockKey& aRoot);

  EngineModelOptions m_options;
  std::unordered_map<BlockKey, Cached> m_cache;
  std::list<BlockKey> m_byAge;
  std::deque<ModelCacheEvent> m_events;
  std::uint64_t m_nextSequence = 1;
  TimePoint m_prefillBusyUntil;
};

} // namespace fulmarquay

#endif
