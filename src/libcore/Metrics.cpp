#include "fulmarquay/core/Metrics.h"

#include <boost/histogram.hpp>
#include <sstream>

namespace fulmarquay {

namespace {

namespace bh = boost::histogram;

constexpr const char* kPrefix = "fulmarquay_";
constexpr unsigned kBinCount = 24;
constexpr double kMinSeconds = 1e-4;
constexpr double kMaxSeconds = 100;

std::string
Braced(const std::string& aLabels)
{
  return aLabels.empty() ? "" : "{" + aLabels + "}";
}

std::string
WithUpperBound(const std::string& aLabels, const std::string& aUpperBound)
{
  const std::string comma = aLabels.empty() ? "" : ",";
  return "{" + aLabels + comma + "le=\"" + aUpperBound + "\"}";
}

} // namespace

class Metrics::Histogram
{
public:
  void Add(double aSeconds)
  {
    m_bins(aSeconds);
    m_sum += aSeconds;
    ++m_count;
  }

  void Render(std::ostream& aOut,
              const std::string& aName,
              const std::string& aLabels) const
  {
    const auto& axis = m_bins.axis();
    std::uint64_t cumulative = static_cast<std::uint64_t>(m_bins.at(-1));
    for (int i = 0; i < axis.size(); ++i) {
      cumulative += static_cast<std::uint64_t>(m_bins.at(i));
      std::ostringstream upperBound;
      upperBound << axis.bin(i).upper();
      aOut << aName << "_bucket" << WithUpperBound(aLabels, upperBound.str())
           << " " << cumulative << "\n";
    }
    aOut << aName << "_bucket" << WithUpperBound(aLabels, "+Inf") << " "
         << m_count << "\n"
         << aName << "_sum" << Braced(aLabels) << " " << m_sum << "\n"
         << aName << "_count" << Braced(aLabels) << " " << m_count << "\n";
  }

private:
  using Axis = bh::axis::regular<double, bh::axis::transform::log>;
  decltype(bh::make_histogram(
    Axis(kBinCount, kMinSeconds, kMaxSeconds))) m_bins =
    bh::make_histogram(Axis(kBinCount, kMinSeconds, kMaxSeconds));
  double m_sum = 0;
  std::uint64_t m_count = 0;
};

Metrics::Metrics() = default;
Metrics::~Metrics() = default;

template<typename Item>
Item&
Metrics::FindOrAddSeries(Series<Item>& aFamilies,
                         const std::string& aName,
                         const std::string& aLabels)
{
  auto& series = aFamilies[aName];
  const bool isFull = series.size() >= kMaxSeries;
  if (isFull && series.count(aLabels) == 0) {
    return series["other=\"yes\""];
  }
  return series[aLabels];
}

void
Metrics::Count(const std::string& aName,
               const std::string& aLabels,
               std::uint64_t aAmount)
{
  FindOrAddSeries(m_counters, aName, aLabels) += aAmount;
}

void
Metrics::Gauge(const std::string& aName,
               double aValue,
               const std::string& aLabels)
{
  FindOrAddSeries(m_gauges, aName, aLabels) = aValue;
}

void
Metrics::Observe(const std::string& aName,
                 double aSeconds,
                 const std::string& aLabels)
{
  std::unique_ptr<Histogram>& histogram =
    FindOrAddSeries(m_histograms, aName, aLabels);
  if (!histogram) {
    histogram = std::make_unique<Histogram>();
  }
  histogram->Add(aSeconds);
}

std::uint64_t
Metrics::Value(const std::string& aName, const std::string& aLabels) const
{
  const auto series = m_counters.find(aName);
  if (series == m_counters.end()) {
    return 0;
  }
  const auto value = series->second.find(aLabels);
  return value == series->second.end() ? 0 : value->second;
}

std::string
Metrics::Render() const
{
  std::ostringstream out;
  for (const auto& [name, series] : m_counters) {
    out << "# TYPE " << kPrefix << name << " counter\n";
    for (const auto& [labels, value] : series) {
      out << kPrefix << name << Braced(labels) << " " << value << "\n";
    }
  }
  for (const auto& [name, series] : m_gauges) {
    out << "# TYPE " << kPrefix << name << " gauge\n";
    for (const auto& [labels, value] : series) {
      out << kPrefix << name << Braced(labels) << " " << value << "\n";
    }
  }
  for (const auto& [name, series] : m_histograms) {
    out << "# TYPE " << kPrefix << name << " histogram\n";
    for (const auto& [labels, histogram] : series) {
      histogram->Render(out, kPrefix + name, labels);
    }
  }
  return out.str();
}

} // namespace fulmarquay
