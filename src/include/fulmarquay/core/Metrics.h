#ifndef FULMARQUAY_CORE_METRICS_H
#define FULMARQUAY_CORE_METRICS_H

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <string>

namespace fulmarquay {

/// The counters, gauges and histograms of a process, by metric name and labels.
///
/// Labels are given as text, such as `service="loans"`. Each name keeps at most
/// kMaxSeries label texts; values with further labels are added to the series
/// `other="yes"`. Not thread-safe.
class Metrics
{
public:
  static constexpr std::size_t kMaxSeries = 64;

  Metrics();
  ~Metrics();

  void Count(const std::string& aName,
             const std::string& aLabels = "",
             std::uint64_t aAmount = 1);
  void Gauge(const std::string& aName,
             double aValue,
             const std::string& aLabels = "");

  /// Adds a duration in seconds to a histogram with bins from 100 us to 100 s.
  void Observe(const std::string& aName,
               double aSeconds,
               const std::string& aLabels = "");

  /// The value of a counter; 0 if it was never counted.
  std::uint64_t Value(const std::string& aName,
                      const std::string& aLabels = "") const;

  /// Renders all metrics in the Prometheus text exposition format.
  std::string Render() const;

private:
  class Histogram;
  template<typename Item>
  using Series = std::map<std::string, std::map<std::string, Item>>;

  template<typename Item>
  static Item& FindOrAddSeries(Series<Item>& aFamilies,
                               const std::string& aName,
                               const std::string& aLabels);

  Series<std::uint64_t> m_counters;
  Series<double> m_gauges;
  Series<std::unique_ptr<Histogram>> m_histograms;
};

} // namespace fulmarquay

#endif
