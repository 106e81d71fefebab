#ifndef FULMARQUAY_CONTROL_STATEDLIMITS_H
#define FULMARQUAY_CONTROL_STATEDLIMITS_H

#include "fulmarquay/control/WorkerList.h"
#include "fulmarquay/core/Units.h"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace fulmarquay {

/// The newest limit that each worker stated, in the order in which the worker
/// spoke and not in which its statements arrived. Pure; not thread-safe.
class StatedLimits
{
public:
  struct Statement
  {
    std::int64_t m_createdMs = 0;      ///< incarnation of the worker
    std::optional<double> m_perSecond; ///< no value: it states none any more
    TimePoint m_at;
    TimePoint m_listedAt; ///< when the worker was last known to exist
  };

  /// Records a statement unless a newer one is known. Returns whether the
  /// worker's limit is another one now.
  bool Update(const WorkerId& aWorker,
              std::int64_t aCreatedMs,
              std::optional<double> aPerSecond,
              TimePoint aAt);

  /// The limit of an incarnation; no value: none is known.
  std::optional<double> LimitOf(const WorkerId& aWorker,
                                std::int64_t aCreatedMs) const;

  /// Forgets workers that have not been listed for long. A list may omit a
  /// worker for a while.
  void Expire(TimePoint aNow, const std::vector<WorkerInfo>& aListed);

  const std::map<WorkerId, Statement>& All() const { return m_statements; }

private:
  std::map<WorkerId, Statement> m_statements;
};

} // namespace fulmarquay

#endif
