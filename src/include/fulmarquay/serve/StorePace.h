#ifndef FULMARQUAY_SERVE_STOREPACE_H
#define FULMARQUAY_SERVE_STOREPACE_H

#include "fulmarquay/core/Units.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>

namespace fulmarquay {

/// How many fetches from each store are ordered.
///
/// The load that it answers: more fetches than a store's link carries, by its
/// told speed or because it has become slow, so that they wait behind one
/// another while the engines could read the prompts. Each entry takes its
/// share of a link's time and orders nothing that would wait for long. The
/// link counts as slower while first events of requests that fetch over it
/// come much later than others do. Load on the engines delays all alike and
/// changes nothing. Pure; not thread-safe.
class StorePace
{
public:
  /// The time from placing a request to its first event, and the stores that
  /// it fetched from; none for a request that fetched nothing.
  void OnFirstEvent(Duration aTime, const std::set<std::string>& aStores);

  /// Whether a transfer may be ordered now; it takes the link's time then.
  /// `aTime` is what it takes at the told speed, `aEntries` how many entries
  /// share the link.
  bool Take(TimePoint aNow,
            const std::string& aStore,
            Duration aTime,
            std::uint32_t aEntries);

  /// The speed that a store's link is trusted with, as a part of the told one.
  double SpeedOf(const std::string& aStore) const;

private:
  static constexpr std::size_t kRecent = 64;

  struct Pace
  {
    double m_speed = 1;
    double m_lateness = 0;       ///< moving share of late first events
    double m_othersLateness = 0; ///< of requests without this store
    double m_backlogUs = 0;
    TimePoint m_counted;
  };

  double Usual() const;

  std::map<std::string, Pace> m_paces;
  std::array<std::int64_t, kRecent> m_recent{}; ///< first events, us
  std::size_t m_next = 0;
  std::size_t m_count = 0;
};

} // namespace fulmarquay

#endif
