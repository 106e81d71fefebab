#ifndef FULMARQUAY_SERVE_LOADEXCHANGE_H
#define FULMARQUAY_SERVE_LOADEXCHANGE_H

#include "fulmarquay/cache/CacheMessages.h"
#include "fulmarquay/control/ControlMessages.h"
#include "fulmarquay/core/Endpoint.h"
#include "fulmarquay/core/Units.h"
#include "fulmarquay/serve/WorkerTable.h"

#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace fulmarquay {

/// What the entries tell each other of their own requests at workers.
///
/// The load that it answers: long prompts that several entries place on the
/// same worker within a second, because each sees only its own. Every entry
/// tells its partners many times a second what changed of its load, and now
/// and then all of it; one that is silent for long no longer counts. Where an
/// entry hears a part of the others only, the rest is taken to be like them.
/// Pure; not thread-safe.
class LoadExchange
{
public:
  explicit LoadExchange(VmId aSelf);

  /// The entries that loads go to: of many, as many as the traffic allows.
  void SetPartners(const std::vector<EntryPeer>& aPartners);

  /// How many entries there are in all.
  void SetEntries(std::uint32_t aEntries) { m_entries = aEntries; }

  /// Takes another entry's load. A change that does not follow on the share
  /// before is left; the next whole one mends it.
  void OnLoads(TimePoint aNow, const WorkerLoads& aLoads);

  /// What the partners are to hear of the own load now, if anything.
  std::optional<WorkerLoads> TakeShare(TimePoint aNow,
                                       const WorkerTable& aWorkers);
  const std::vector<Endpoint>& Partners() const { return m_partners; }

  /// Forgets entries that were silent for too long.
  void OnTick(TimePoint aNow);

  /// Whether loads of other entries are known, or there are no others.
  bool IsKnown() const;

  /// The other entries' load at a worker, as told and scaled to all of them.
  WorkerLoad OthersAt(const WorkerId& aWorker) const;

private:
  using Loads = std::map<std::string, WorkerLoad>; ///< by worker

  struct Told
  {
    TimePoint m_at;
    std::uint64_t m_number = 0;
    Loads m_loads;
  };

  void Count(const WorkerLoad& aLoad, std::int64_t aSign);
  void Forget(Told& aTold);
  static Loads OwnLoads(const WorkerTable& aWorkers);

  VmId m_self;
  std::uint32_t m_entries = 1;
  std::vector<Endpoint> m_partners;
  std::map<VmId, Told> m_told;
  std::unordered_map<std::string, WorkerLoad> m_sums; ///< by worker
  std::uint64_t m_number = 0;                         ///< of the last share
  Loads m_shared; ///< as the partners know it
  TimePoint m_nextShare;
  TimePoint m_nextWhole;
};

} // namespace fulmarquay

#endif
