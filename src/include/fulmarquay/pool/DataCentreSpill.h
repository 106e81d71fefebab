#ifndef FULMARQUAY_POOL_DATACENTRESPILL_H
#define FULMARQUAY_POOL_DATACENTRESPILL_H

#include "fulmarquay/core/StrongId.h"
#include "fulmarquay/core/Units.h"

#include <cstdint>
#include <map>
#include <string_view>
#include <vector>

namespace fulmarquay {

/// What an entry knows about a pool's workers in one data centre.
struct DataCentreLoad
{
  DataCentreId m_dataCentre;
  /// Requests a second that its workers can serve in total, without those that
  /// are cold, evacuated or unreached; 0: it can serve none.
  double m_capacity = 0;
  /// Expected time to the first event of a typical request there: queue and
  /// prefill, without the link.
  Duration m_wait{};
  /// Learned delay of the link from the entry's data centre; 0 for that one.
  Duration m_linkDelay{};
};

/// What sending one request to a data centre would take.
struct SpillOption
{
  DataCentreId m_dataCentre;
  /// Expected time to the first event there, with the link and with the memory
  /// that is moved.
  Duration m_time{};
  std::int64_t m_bytes = 0; ///< sent between data centres, both ways
};

/// Why a request leaves its data centre.
enum class SpillReason
{
  None,          ///< it stays
  NoLocalWorker, ///< the own data centre may not or can't serve it
  LocalLoad,     ///< others serve it sooner
};

/// Name for logs and metrics.
std::string_view
NameOf(SpillReason aReason);

/// Decides which requests of one pool leave the data centre of their entry.
///
/// Entries decide alone, from loads that are up to a second old. The result is
/// a share of the requests, which is the same for any number of entries that
/// see the same loads, and it changes gradually. Pure; not thread-safe.
class DataCentreSpill
{
public:
  struct Options
  {
    /// Waiting time that is as bad as sending a MiB between data centres.
    Duration m_costPerMebibyte = Duration(1'000);
  };

  DataCentreSpill(DataCentreId aLocal, Options aOptions);

  /// Updates the share of the requests that leave. Data centres that are not
  /// listed can serve none.
  void Update(TimePoint aNow,
              Duration aTargetLatency,
              const std::vector<DataCentreLoad>& aLoads);

  /// Part of the requests that may leave, from 0 to 1.
  double Share() const { return m_share; }
  /// Parts of the requests that leave by destination; their sum is 1 unless
  /// none is eligible.
  const std::map<DataCentreId, double>& Destinations() const
  {
    return m_destinations;
  }

  struct Decision
  {
    DataCentreId m_dataCentre; ///< empty: none of the options is eligible
    SpillReason m_reason = SpillReason::None;
    Duration m_saved{}; ///< expected time saved; 0 if it stays
  };

  /// Chooses a data centre for a request among those that may serve it.
  /// `aRandom` is a hash of the request, so that each attempt gives the same
  /// result. A request that would be late elsewhere, too, stays.
  Decision Decide(const std::vector<SpillOption>& aOptions,
                  Duration aTimeLeft,
                  std::uint64_t aRandom) const;

private:
  /// Expected time at the last update, and its growth in seconds a second.
  struct Trend
  {
    Duration m_wait{};
    double m_growth = 0;
  };

  void UpdateTrends(double aElapsed, const std::vector<DataCentreLoad>& aLoads);
  /// Sets destinations; returns the share that would now be right.
  double SetDestinations(Duration aTargetLatency,
                         const DataCentreLoad* aLocal,
                         const std::vector<DataCentreLoad>& aLoads);
  Duration CostOf(const SpillOption& aOption) const;

  DataCentreId m_local;
  Options m_options;
  TimePoint m_updatedAt;
  std::map<DataCentreId, Trend> m_trends;
  bool m_isLeaving = false; ///< hysteresis of SetDestinations
  bool m_hasLocal = true;
  double m_share = 0;
  std::map<DataCentreId, double> m_destinations;
  /// Weights of the other data centres for requests that can't stay, also of
  /// those that are no better than the own one.
  std::map<DataCentreId, double> m_others;
};

} // namespace fulmarquay

#endif
