#include "Report.h"

#include "ControlLoad.h"
#include "fulmarquay/core/Error.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <sstream>

namespace fulmarquay {

namespace {

using Json = nlohmann::ordered_json;

constexpr int kBarHeight = 16;
constexpr int kChartWidth = 420;
constexpr int kLabelWidth = 230;
constexpr int kGroupGap = 40;

double
ToMilliseconds(Duration aTime)
{
  return static_cast<double>(aTime.count()) / 1000;
}

/// Draws one metric with a bar for each run, starting at aTop, and moves aTop
/// below the chart.
void
RenderBarChart(std::ostream& aOut,
               const std::vector<RunSummary>& aRuns,
               const std::string& aTitle,
               double RunSummary::*aMetric,
               int& aTop)
{
  double maxValue = 1e-9;
  for (const RunSummary& run : aRuns) {
    maxValue = std::max(maxValue, run.*aMetric);
  }
  aOut << "<text x=\"8\" y=\"" << aTop << "\" font-weight=\"bold\">" << aTitle
       << "</text>\n";
  aTop += 8;
  for (const RunSummary& run : aRuns) {
    const int width = static_cast<int>(kChartWidth * (run.*aMetric) / maxValue);
    const int textY = aTop + kBarHeight - 4;
    aOut << "<text x=\"8\" y=\"" << textY << "\">" << run.m_name << ", "
         << run.m_requestsPerSecond << "/s</text><rect x=\"" << kLabelWidth
         << "\" y=\"" << aTop << "\" width=\"" << width << "\" height=\""
         << kBarHeight - 3 << "\" fill=\"#4477aa\"/><text x=\""
         << kLabelWidth + width + 6 << "\" y=\"" << textY << "\">"
         << run.*aMetric << "</text>\n";
    aTop += kBarHeight;
  }
  aTop += kGroupGap;
}

} // namespace

RunSummary
Summarize(const std::string& aName,
          double aRequestsPerSecond,
          const std::vector<LoadSample>& aSamples)
{
  RunSummary summary;
  summary.m_name = aName;
  summary.m_requestsPerSecond = aRequestsPerSecond;
  summary.m_requests = aSamples.size();
  std::vector<Duration> times;
  double tokens = 0;
  double recomputed = 0;
  for (const LoadSample& sample : aSamples) {
    summary.m_failed += sample.m_isSuccess ? 0 : 1;
    if (!sample.m_isSuccess || !sample.m_isReturning) {
      continue;
    }
    times.push_back(sample.m_firstData);
    tokens += static_cast<double>(sample.m_turn.m_promptTokens);
    recomputed += static_cast<double>(sample.m_turn.m_recomputed);
  }
  summary.m_firstTokenP50Ms = ToMilliseconds(Percentile(times, 0.5));
  summary.m_firstTokenP95Ms = ToMilliseconds(Percentile(times, 0.95));
  summary.m_firstTokenP99Ms = ToMilliseconds(Percentile(times, 0.99));
  summary.m_recomputedShare = tokens > 0 ? recomputed / tokens : 0;
  return summary;
}

std::string
RenderJson(const RunSummary& aSummary)
{
  return Json{
    { "name", aSummary.m_name },
    { "per_second", aSummary.m_requestsPerSecond },
    { "requests", aSummary.m_requests },
    { "failed", aSummary.m_failed },
    { "first_token_p50_ms", aSummary.m_firstTokenP50Ms },
    { "first_token_p95_ms", aSummary.m_firstTokenP95Ms },
    { "first_token_p99_ms", aSummary.m_firstTokenP99Ms },
    { "recomputed_share", aSummary.m_recomputedShare },
    { "link_bytes_per_second", aSummary.m_linkBytesPerSecond }
  }.dump();
}

std::string
CsvHeader()
{
  return "name,per_second,requests,failed,first_token_p50_ms,"
         "first_token_p95_ms,first_token_p99_ms,recomputed_share,"
         "link_bytes_per_second";
}

std::string
RenderCsv(const RunSummary& aSummary)
{
  std::ostringstream out;
  out << aSummary.m_name << "," << aSummary.m_requestsPerSecond << ","
      << aSummary.m_requests << "," << aSummary.m_failed << ","
      << aSummary.m_firstTokenP50Ms << "," << aSummary.m_firstTokenP95Ms << ","
      << aSummary.m_firstTokenP99Ms << "," << aSummary.m_recomputedShare << ","
      << aSummary.m_linkBytesPerSecond;
  return out.str();
}

std::vector<RunSummary>
ReadSummaries(const std::string& aText)
{
  std::vector<RunSummary> runs;
  std::istringstream in(aText);
  try {
    for (std::string line; std::getline(in, line);) {
      const Json json = Json::parse(line);
      RunSummary run;
      run.m_name = json.at("name");
      run.m_requestsPerSecond = json.at("per_second");
      run.m_requests = json.at("requests");
      run.m_failed = json.at("failed");
      run.m_firstTokenP50Ms = json.at("first_token_p50_ms");
      run.m_firstTokenP95Ms = json.at("first_token_p95_ms");
      run.m_firstTokenP99Ms = json.at("first_token_p99_ms");
      run.m_recomputedShare = json.at("recomputed_share");
      run.m_linkBytesPerSecond = json.at("link_bytes_per_second");
      runs.push_back(std::move(run));
    }
  } catch (const std::exception& e) {
    throw Error("read run summaries", "", e.what());
  }
  return runs;
}

std::string
RenderSvg(const std::vector<RunSummary>& aRuns)
{
  std::ostringstream body;
  int top = 24;
  RenderBarChart(body,
                 aRuns,
                 "Time to first token of returning prompts, p95 (ms)",
                 &RunSummary::m_firstTokenP95Ms,
                 top);
  RenderBarChart(body,
                 aRuns,
                 "Share of context recomputed",
                 &RunSummary::m_recomputedShare,
                 top);
  RenderBarChart(
    body, aRuns, "Link use (bytes/s)", &RunSummary::m_linkBytesPerSecond, top);
  std::ostringstream out;
  out << "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\""
      << kLabelWidth + kChartWidth + 120 << "\" height=\"" << top
      << "\" font-family=\"sans-serif\" font-size=\"12\">\n"
      << "<rect width=\"100%\" height=\"100%\" fill=\"white\"/>\n"
      << body.str() << "</svg>\n";
  return out.str();
}

} // namespace fulmarquay
