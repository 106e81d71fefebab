#ifndef FULMARQUAY_SERVE_PLACEMENT_H
#define FULMARQUAY_SERVE_PLACEMENT_H

#include "fulmarquay/serve/PartMap.h"
#include "fulmarquay/serve/RelayRequest.h"
#include "fulmarquay/serve/WorkerTable.h"

#include <cstdint>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace fulmarquay {

/// Chooses the worker of a request.
///
/// The load that it answers: conversations that return to many entries, each
/// of which sees only its own requests, before engines whose caches hold a
/// part of all conversations. A prompt goes to the worker with the fewest
/// tokens to compute before it and for it; the last shared part of a prompt
/// has a home worker by rendezvous hashing, so that entries which know
/// nothing of one another agree. Pure; not thread-safe.
class Placement
{
public:
  /// What a choice rests on.
  struct Question
  {
    TimePoint m_now;
    PoolId m_pool;
    const RelayRequest* m_request = nullptr;
    bool m_hasPrompt = false;
    std::string m_cacheScope; ///< account, where its cache is isolated
    std::set<WorkerId> m_tried;
    const PartMap* m_parts = nullptr; ///< what stores hold; null: none
    std::uint32_t m_entries = 1;      ///< that share the workers
    Duration m_oldWeightsLimit{};
    /// Tokens of memory that the request needs, and that a worker has for all
    /// entries; 0: memory is no bound.
    std::int64_t m_needed = 0;
    std::int64_t m_memory = 0;
    /// Memory that the other entries' requests hold at all workers together.
    std::int64_t m_othersHold = 0;
  };

  /// The chosen worker, or null when none may get the request.
  WorkerState* Choose(WorkerTable& aWorkers, const Question& aQuestion);

  /// The prompt of a request has been read by a worker.
  void OnRead(TimePoint aNow,
              const WorkerState& aWorker,
              const RelayRequest& aRequest,
              const std::string& aCacheScope);

  /// Prompt tokens that a worker would have to read, as far as known.
  std::int64_t UncachedTokens(const WorkerState& aWorker,
                              const Question& aQuestion) const;

private:
  static bool HasRoom(const WorkerState& aWorker,
                      const Question& aQuestion,
                      std::int64_t aOthersHold);

  /// Parts that a worker has read, and when.
  using Known = std::unordered_map<std::string, TimePoint>;

  void Sweep(TimePoint aNow);

  std::int64_t Cost(const WorkerState& aWorker,
                    const Question& aQuestion,
                    std::uint64_t aItem,
                    const WorkerState* aHome) const;
  std::int64_t AgeCost(const WorkerTable& aWorkers,
                       const WorkerState& aWorker,
                       const Question& aQuestion) const;
  static std::string PartKey(const std::string& aPart,
                             const std::string& aCacheScope,
                             std::int64_t aVersion);

  std::unordered_map<std::string, Known> m_known; ///< by worker
  TimePoint m_nextSweep;
};

} // namespace fulmarquay

#endif
