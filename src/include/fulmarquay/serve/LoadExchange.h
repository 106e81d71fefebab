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
/// sends its partners a whole picture of its load many times a second, so
/// that a lost message does no lasting harm; one that is silent for long no
/// longer counts. Where an entry has partners for a part of the other entries
/// only, the rest is taken to be like them. Pure; not thread-safe.
class LoadExchange
{
public:
  explicit LoadExchange(VmId aSelf);

  /// The entries that loads go to and come from.
  void SetPartners(const std::vector<EntryPeer>& aPartners);

  /// How many entries there are in all.
  void SetEntries(std::uint32_t aEntries) { m_entries = aEntries; }

  /// Takes another entry's load.
  void OnLoads(TimePoint aNow, const WorkerLoads& aLoads);

  /// The own load, when the partners are to hear of it now.
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
  struct Told
  {
    TimePoint m_at;
    std::vector<WorkerLoad> m_loads;
  };

  void Count(const std::vector<WorkerLoad>& aLoads, std::int64_t aSign);

  VmId m_self;
  std::uint32_t m_entries = 1;
  std::vector<Endpoint> m_partners;
  std::map<VmId, Told> m_told;
  std::unordered_map<std::string, WorkerLoad> m_sums; ///< by worker
  TimePoint m_nextShare;
  TimePoint m_nextIdleShare;
  bool m_wasIdle = false; ///< the last share told of no load
};

} // namespace fulmarquay

#endif
