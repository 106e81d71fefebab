#ifndef FULMARQUAY_SERVE_SOFTWAREVERSIONS_H
#define FULMARQUAY_SERVE_SOFTWAREVERSIONS_H

#include "fulmarquay/control/WorkerList.h"
#include "fulmarquay/core/Units.h"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace fulmarquay {

/// The software versions on which streams of a pool may have begun, as the
/// control group publishes them with the worker list. No entry learns of a
/// worker before its version is in this set, and a version stays in it for as
/// long as its streams may last. Pure; not thread-safe.
class SoftwareVersions
{
public:
  /// Applies a worker list. Returns the pools that have got a second version.
  std::vector<PoolId> Apply(TimePoint aNow, const WorkerList& aList);

  /// The leader's list had this number, or a lower one, when this entry sent
  /// the heartbeat.
  void OnConfirmed(std::uint64_t aListNumber, TimePoint aSentAt);

  /// Whether the list of this entry or of another one may prove nothing soon,
  /// as it has not been confirmed for long.
  bool MayExpire(TimePoint aNow) const;

  /// The pools with listed versions.
  std::vector<PoolId> Pools() const;

  /// Whether streams of the pool may have begun on several versions.
  bool IsMixed(const PoolId& aPool) const;

  /// The only version on which a stream of the pool can have begun, if the list
  /// proves that there is no other.
  std::optional<SoftwareVersion> OnlyVersion(TimePoint aNow,
                                             const PoolId& aPool) const;

  /// Whether other entries may not know the version yet: they would take a
  /// stream that begins on it for one of the version known before.
  bool IsNew(TimePoint aNow,
             const PoolId& aPool,
             const SoftwareVersion& aVersion) const;

private:
  bool IsConfirmed(TimePoint aNow, Duration aMaxAge) const;

  /// Versions of a pool and when this entry learned of them.
  using Versions = std::map<SoftwareVersion, TimePoint>;

  std::uint64_t m_listNumber = 0;
  std::uint64_t m_confirmedNumber = 0;
  TimePoint m_confirmedAt;
  std::map<PoolId, Versions> m_pools;
};

} // namespace fulmarquay

#endif
