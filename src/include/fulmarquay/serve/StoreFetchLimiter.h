#ifndef FULMARQUAY_SERVE_STOREFETCHLIMITER_H
#define FULMARQUAY_SERVE_STOREFETCHLIMITER_H

#include "fulmarquay/core/Units.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>

namespace fulmarquay {

/// Limits the fetches from each source, a store or a worker, to the capacity of
/// its link.
///
/// Too many fetches for a link, or a link slower than configured, would queue
/// up while the engines could compute the prompts instead. Each entry uses its
/// share of a link's time and starts no fetch that would wait for long. The
/// assumed bandwidth of a link drops while first events of requests that fetch
/// over it come much later than others. Load on the engines delays all requests
/// alike and does not change it. Pure; not thread-safe.
class StoreFetchLimiter
{
public:
  /// Records the time from sending a request to its first event, and the
  /// sources that it fetched from; empty if it fetched nothing.
  void OnFirstEvent(Duration aTime, const std::set<std::string>& aStores);

  /// Reserves link time for a transfer; returns false if the backlog is too
  /// long. `aTime` is the transfer time at the configured bandwidth,
  /// `aEntryCount` the number of entries that share the link and do not tell
  /// their reservations, this one included; they are assumed to use the link as
  /// much as this one.
  bool TryReserve(TimePoint aNow,
                  const std::string& aStore,
                  Duration aTime,
                  std::uint32_t aEntryCount);

  /// Adds link time that another entry has reserved.
  void OnReservedByOther(TimePoint aNow,
                         const std::string& aStore,
                         Duration aTime);

  /// Expected time until a transfer ends, given the backlog and the assumed
  /// bandwidth of the link.
  Duration ExpectedTime(TimePoint aNow,
                        const std::string& aStore,
                        Duration aTime) const;

  /// Assumed bandwidth of a store's link, as a fraction of the configured one.
  double BandwidthRatio(const std::string& aStore) const;

private:
  static constexpr std::size_t kSampleCount = 64;

  struct StoreState
  {
    double m_bandwidthRatio = 1;
    double m_lateShare = 0;      ///< moving average of late first events
    double m_otherLateShare = 0; ///< of requests that did not use this store
    double m_backlogUs = 0;
    TimePoint m_updatedAt;

    /// The rest of the backlog at a time after m_updatedAt.
    double BacklogUsAt(TimePoint aNow) const;
  };

  double LowerQuartileUs() const;
  StoreState& UpdateBacklog(TimePoint aNow, const std::string& aStore);

  std::map<std::string, StoreState> m_states;
  std::array<std::int64_t, kSampleCount> m_firstEventTimesUs{};
  std::size_t m_nextSample = 0;
  std::size_t m_sampleCount = 0;
};

} // namespace fulmarquay

#endif
