#ifndef FULMARQUAY_CORE_METRICS_H
#define FULMARQUAY_CORE_METRICS_H

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <string>

namespace fulmarquay {

/// Counters, gauges and histograms of a process, by name and label text.
///
/// Labels look like `service="loans"`. At most kMaxSeries label texts are
/// kept for each name; further ones count under `other="yes"`. Not
/// thread-safe.
class Metrics
{
public:
  static constexpr std::size_t kMaxSeries = 64;

  Metrics();
  ~Metrics();

  void Count(const std::string& aName,
             const std::string& aLabels = "",
             std::uint64_t aAmount = 1);
  void Gauge(const std::string& aName, double aValue);

  /// Adds a time in seconds to a histogram with bins from 100 us to 100 s.
  void Observe(const std::string& aName,
               double aSeconds,
               const std::string& aLabels = "");

  std::uint64_t Value(const std::string& aName,
                      const std::string& aLabels = "") const;

  /// All of them in the text exposition format.
  std::string Render() const;

private:
  class Histogram;
  template<typename Item>
  using Series = std::map<std::string, std::map<std::string, Item>>;

  template<typename Item>
  static Item& SeriesOf(Series<Item>& aAll,
                        const std::string& aName,
                        const std::string& aLabels);

  Series<std::uint64_t> m_counters;
  std::map<std::string, double> m_gauges;
  Series<std::unique_ptr<Histogram>> m_histograms;
};

} // namespace fulmarquay

#endif
