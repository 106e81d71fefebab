#ifndef FULMARQUAY_SERVE_PLACEMENT_H
#define FULMARQUAY_SERVE_PLACEMENT_H

#include "fulmarquay/serve/AllowedRegions.h"
#include "fulmarquay/serve/DataCentreFilter.h"
#include "fulmarquay/pool/PoolAdmission.h"
#include "fulmarquay/pool/PrefillRate.h"
#include "fulmarquay/serve/LoadExchange.h"
#include "fulmarquay/serve/PartMap.h"
#include "fulmarquay/serve/RelayRequest.h"
#include "fulmarquay/serve/RequestLimiter.h"
#include "fulmarquay/serve/SoftwareVersions.h"
#include "fulmarquay/serve/WeightsAdmission.h"
#include "fulmarquay/serve/WorkerCaches.h"
#include "fulmarquay/serve/WorkerTable.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace fulmarquay {

/// Chooses the worker for a request.
///
/// Conversations return to any of many entries, each entry sees only its own
/// requests, and each engine caches only a part of all conversations. A prompt
/// goes to the worker with the fewest tokens to compute before it and for it.
/// The last shared part of a prompt has a home worker by rendezvous hashing, so
/// that entries agree without coordination. Pure and stateless.
class Placement
{
public:
  /// Input of a placement decision.
  struct Criteria
  {
    TimePoint m_now;
    PoolId m_pool;
    const RelayRequest* m_request = nullptr;
    bool m_hasPrompt = false;
    CacheGroup m_cacheGroup;
    std::set<WorkerId> m_triedWorkers;
    /// The only software that may go on with the stream; no value: any.
    std::optional<SoftwareVersion> m_software;
    const SoftwareVersions* m_softwareVersions = nullptr; ///< or null
    const PartMap* m_partMap = nullptr;     ///< contents of the stores, or null
    const WorkerCaches* m_caches = nullptr; ///< of the workers, or null
    RequestLimiter* m_limiter = nullptr;    ///< null: no worker is limited
    DataCentreId m_dataCentre;              ///< of this entry
    /// Regions in which the request may be handled, or null, and the data
    /// centres there.
    const AllowedRegions* m_allowedRegions = nullptr;
    DataCentreFilter m_allowedDataCentres;
    std::uint32_t m_entryCount = 1; ///< entries that share the workers
    /// Null: all weight versions are treated as the newest ones.
    const WeightsAdmission* m_weights = nullptr;
    /// Memory, in tokens, that the request needs and that one worker has for
    /// the requests of all entries; capacity 0: unlimited.
    std::int64_t m_neededTokens = 0;
    std::int64_t m_capacityTokens = 0;
    /// Loads reported by other entries; null: no current reports.
    const LoadExchange* m_otherLoads = nullptr;
    /// Estimate used without reports: memory held by the requests of other
    /// entries at all workers of the pool together, in tokens.
    std::int64_t m_otherEntriesHeldTokens = 0;
    /// Limits prefill work and slots of the workers; null: they are not
    /// limited.
    const PrefillRate* m_prefillRate = nullptr;
    PrefillBudget m_prefillBudget;
  };

  /// Result of a placement decision.
  struct Choice
  {
    WorkerState* m_worker = nullptr;
    /// Prompt tokens to compute; fetched ones count in part. Without a worker,
    /// those at the worker with the fewest.
    std::int64_t m_prefillTokens = 0;
    /// Tokens pending at the worker before the request.
    std::int64_t m_tokensAhead = 0;
    /// Mean over the eligible workers, and their number.
    double m_meanPendingTokens = 0;
    std::size_t m_eligible = 0;
    bool m_isFull = false; ///< an eligible worker has no room
    /// An eligible worker may be sent nothing now because of its limit.
    bool m_isLimited = false;
  };

  /// Returns the eligible worker with room and the lowest cost; no worker if
  /// there is none.
  Choice Choose(WorkerTable& aWorkers, const Criteria& aCriteria) const;

private:
  /// The workers that may be sent the request, regardless of their load.
  static std::vector<WorkerState*> Eligible(WorkerTable& aWorkers,
                                            const Criteria& aCriteria);
  /// The same for a stream that only one software version may go on with. If no
  /// worker of it is proved, those that may be reached on open connections.
  static std::vector<WorkerState*> EligibleToResume(WorkerTable& aWorkers,
                                                    const Criteria& aCriteria);
  /// Whether the request was sent to the worker already, or the worker has
  /// expired weights or is outside the allowed regions.
  static bool IsExcluded(const WorkerState& aWorker, const Criteria& aCriteria);
  /// Room in the memory of a worker.
  static bool HasRoom(const WorkerState& aWorker,
                      const Criteria& aCriteria,
                      const WorkerLoad& aOthersLoad);
  /// Load of all entries at a worker.
  struct Load
  {
    double m_running = 0;
    double m_pendingTokens = 0;
  };
  /// Whether a worker has a free slot and time to read the prompt.
  static bool HasTime(const WorkerState& aWorker,
                      const Criteria& aCriteria,
                      const Load& aLoad,
                      std::int64_t aPrefillTokens);
  /// Loads of the workers: own requests, and with `aWeight` what the others
  /// report of one worker, otherwise the mean over the workers. The mean is
  /// reliable, while reports of one worker are outdated and incomplete.
  static std::vector<Load> LoadsOf(const std::vector<WorkerState*>& aWorkers,
                                   const std::vector<WorkerLoad>& aOthers,
                                   double aWeight);
  /// Load of the other entries at one of the `aWorkers` workers that they
  /// share: as reported, or else estimated from the load of this entry.
  static WorkerLoad OtherEntriesLoad(const WorkerState& aWorker,
                                     const Criteria& aCriteria,
                                     std::size_t aWorkers);

  /// A part of the prompt under one weight version.
  struct PartCopies
  {
    std::uint64_t m_key = 0;
    std::set<DataCentreId> m_holders; ///< of workers that cache it
  };
  using PartsByVersion = std::map<std::int64_t, std::vector<PartCopies>>;

  static std::vector<PartCopies> FindPartCopies(const WorkerTable& aWorkers,
                                                const Criteria& aCriteria,
                                                std::int64_t aVersion);
  /// Cost of fetching a part to a worker, in percent of computing it; 100 if it
  /// has no copy.
  static std::int64_t FetchPercent(const WorkerState& aWorker,
                                   const Criteria& aCriteria,
                                   const PartCopies& aPart);
  static std::int64_t PrefillTokens(const WorkerTable& aWorkers,
                                    const WorkerState& aWorker,
                                    const Criteria& aCriteria,
                                    PartsByVersion& aPartsByVersion);
  std::int64_t LoadCost(const WorkerState& aWorker,
                        const Criteria& aCriteria,
                        const WorkerLoad& aOthersLoad,
                        std::uint64_t aAffinityKey) const;
  static std::int64_t OldWeightsCost(const WorkerState& aWorker,
                                     const Criteria& aCriteria);
};

} // namespace fulmarquay

#endif
