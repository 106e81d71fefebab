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

/// Parameters of an emulated engine.
struct EngineModelOptions
{
  std::size_t m_maxCachedBlocks = 64;
  std::int64_t m_prefillTokensPerSecond = 20'000;
  std::int64_t m_pieceTokens = 2048; ///< tokens of a block
  std::int64_t m_bytesPerToken = 64; ///< of a block in a store
  std::int64_t m_slots = 8;
  Duration m_eventLag{}; ///< from a cache change to its first report
  std::string m_weights;
};

/// A change of the cache and the time from which reports include it.
struct ModelCacheEvent
{
  std::uint64_t m_sequence = 0;
  bool m_isAdded = false;
  BlockKey m_key;
  BlockKey m_root;
  TimePoint m_visibleAt;
};

/// Timing and cache content of an emulated engine, without I/O: a prefix cache
/// with least-recently-used eviction and one prefill queue.
///
/// Not thread-safe.
class EngineModel
{
public:
  explicit EngineModel(EngineModelOptions aOptions);

  const EngineModelOptions& Options() const { return m_options; }

  /// Number of leading blocks of a chain that are cached.
  std::size_t CachedPrefixBlocks(const std::vector<BlockKey>& aKeys) const;
  bool Holds(const BlockKey& aKey) const;

  /// Inserts a block, or marks it as the most recently used one. Evicts the
  /// least recently used blocks while the cache is over its capacity.
  void Insert(TimePoint aNow, const BlockKey& aKey, const BlockKey& aRoot);

  /// Evicts every block.
  void Clear(TimePoint aNow);

  /// Queues prompt tokens for prefill; returns the time of its completion.
  TimePoint QueuePrefill(TimePoint aNow, std::int64_t aTokens);

  /// Tokens whose prefill has not completed.
  std::int64_t QueuedTokens(TimePoint aNow) const;

  /// Content of a block. It depends on the key and the block size only, so
  /// engines with equal settings produce the same bytes.
  std::string BlockBytes(const BlockKey& aKey) const;

  /// Retained events after a sequence number that reports may include at aNow.
  std::vector<ModelCacheEvent> EventsAfter(TimePoint aNow,
                                           std::uint64_t aSequence) const;
  /// Sequence number of the newest event that is no longer retained; 0 if there
  /// is none.
  std::uint64_t LastDroppedSequence() const;

  /// Changes the weight version and evicts every block.
  void SetWeights(TimePoint aNow, std::string aWeights);

private:
  struct CachedBlock
  {
    BlockKey m_root;
    std::list<BlockKey>::iterator m_lruPosition;
  };

  void RecordEvent(TimePoint aNow,
                   bool aIsAdded,
                   const BlockKey& aKey,
                   const BlockKey& aRoot);

  EngineModelOptions m_options;
  std::unordered_map<BlockKey, CachedBlock> m_cache;
  std::list<BlockKey> m_lruOrder; ///< least recently used block first
  std::deque<ModelCacheEvent> m_events;
  std::uint64_t m_nextSequence = 1;
  TimePoint m_prefillBusyUntil;
};

} // namespace fulmarquay

#endif
