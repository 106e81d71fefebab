#ifndef FULMARQUAY_SERVE_WORKERCACHES_H
#define FULMARQUAY_SERVE_WORKERCACHES_H

#include "fulmarquay/cache/CacheMessages.h"
#include "fulmarquay/core/Units.h"
#include "fulmarquay/serve/WorkerTable.h"

#include <cstddef>
#include <cstdint>
#include <list>
#include <string>
#include <unordered_map>
#include <vector>

namespace fulmarquay {

/// Parts of prompts that the workers are assumed to cache.
///
/// Workers do not tell which parts they drop. Each cache is modelled as the
/// engines manage theirs: a use moves a part to the front, and the least
/// recently used ones leave when the parts exceed the memory that running
/// requests do not hold. Where only some of the other entries tell their reads,
/// parts expire sooner. Pure; not thread-safe.
class WorkerCaches
{
public:
  /// Sets whether the reads of all entries are recorded.
  void SetComplete(bool aIsComplete) { m_isComplete = aIsComplete; }

  /// Records that a worker has read or fetched the shared parts of a prompt.
  /// `aCapacityTokens` is the memory for cached parts; 0: unlimited.
  void OnRead(TimePoint aNow,
              const WorkerState& aWorker,
              const std::vector<PartRead>& aParts,
              std::int64_t aCapacityTokens);

  /// Whether an incarnation of a worker is assumed to cache a part.
  bool Holds(TimePoint aNow,
             const WorkerState& aWorker,
             std::uint64_t aKey) const;

  /// The listed workers that are assumed to cache a part and may be read from;
  /// valid until the table changes. Those of evacuated data centres are left
  /// out.
  std::vector<const WorkerState*> Holders(TimePoint aNow,
                                          const WorkerTable& aWorkers,
                                          std::uint64_t aKey) const;

  /// The number of parts that are known with a holder.
  std::size_t PartCount() const { return m_holders.size(); }

  /// Forgets the workers that are not in the table and expired parts.
  void Sweep(TimePoint aNow, const WorkerTable& aWorkers);

private:
  struct CachedPart
  {
    std::uint64_t m_key = 0;
    std::int64_t m_tokens = 0;
    TimePoint m_usedAt;
  };
  using Order = std::list<CachedPart>; ///< most recently used first

  struct Cache
  {
    std::int64_t m_createdMs = 0; ///< of the worker's incarnation
    std::int64_t m_tokens = 0;
    Order m_order;
    std::unordered_map<std::uint64_t, Order::iterator> m_parts;
  };

  Duration Ttl() const;
  void DropLast(const std::string& aWorker, Cache& aCache);
  void Clear(const std::string& aWorker, Cache& aCache);
  void RemoveHolder(std::uint64_t aKey, const std::string& aWorker);

  bool m_isComplete = true;
  std::unordered_map<std::string, Cache> m_caches; ///< by worker
  std::unordered_map<std::uint64_t, std::vector<std::string>> m_holders;
};

} // namespace fulmarquay

#endif
