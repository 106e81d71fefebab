#ifndef FULMARQUAY_SERVE_PLACEMENT_H
#define FULMARQUAY_SERVE_PLACEMENT_H

#include "fulmarquay/serve/LoadExchange.h"
#include "fulmarquay/serve/PartMap.h"
#include "fulmarquay/serve/RelayRequest.h"
#include "fulmarquay/serve/WorkerTable.h"

#include <cstdint>
#include <map>
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
    std::string m_account; ///< whose cache is isolated; empty: shared
    std::set<WorkerId> m_tried;
    const PartMap* m_parts = nullptr; ///< what stores hold; null: none
    std::uint32_t m_entries = 1;      ///< that share the workers
    Duration m_oldWeightsLimit{};
    /// Tokens of memory that the request needs, and that a worker has for all
    /// entries; 0: memory is no bound.
    std::int64_t m_needed = 0;
    std::int64_t m_memory = 0;
    /// What the other entries told of their load; null: nothing of late.
    const LoadExchange* m_others = nullptr;
    /// Else, memory that their requests hold at all workers together.
    std::int64_t m_othersHold = 0;
  };

  /// What was chosen.
  struct Choice
  {
    WorkerState* m_worker = nullptr;
    std::int64_t m_unread = 0; ///< prompt tokens that it has to read or fetch
    bool m_isFull = false;     ///< some worker may get it and has no room
  };

  /// The worker for a request, if any may get it and has room.
  Choice Choose(WorkerTable& aWorkers, const Question& aQuestion) const;

  /// The prompt of a request has been read by a worker.
  void OnRead(TimePoint aNow,
              const WorkerState& aWorker,
              const RelayRequest& aRequest,
              const std::string& aAccount);

private:
  static bool HasRoom(const WorkerState& aWorker,
                      const Question& aQuestion,
                      const WorkerLoad& aOthers);
  /// What the others have at a worker of some that they share, by what they
  /// told or else by the own load.
  static WorkerLoad OthersAt(const WorkerState& aWorker,
                             const Question& aQuestion,
                             std::size_t aWorkers);

  /// Parts that a worker has read, and when.
  using Known = std::unordered_map<std::uint64_t, TimePoint>;
  /// The keys of a prompt's parts under each weight version.
  using Keys = std::map<std::int64_t, std::vector<std::uint64_t>>;

  std::int64_t UnreadTokens(const WorkerState& aWorker,
                            const Question& aQuestion,
                            Keys& aKeys) const;
  std::int64_t LoadCost(const WorkerState& aWorker,
                        const Question& aQuestion,
                        const WorkerLoad& aOthers,
                        std::uint64_t aItem) const;
  std::int64_t AgeCost(const WorkerTable& aWorkers,
                       const WorkerState& aWorker,
                       const Question& aQuestion) const;
  void Sweep(TimePoint aNow);

  std::unordered_map<std::string, Known> m_known; ///< by worker
  TimePoint m_nextSweep;
};

} // namespace fulmarquay

#endif
