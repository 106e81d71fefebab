#ifndef FULMARQUAY_LOAD_REPORT_H
#define FULMARQUAY_LOAD_REPORT_H

#include "LoadRun.h"

#include <string>
#include <vector>

namespace fulmarquay {

/// The figures of one run of returning callers.
struct RunSummary
{
  std::string m_name; ///< the policy
  double m_perSecond = 0;
  std::size_t m_requests = 0;
  std::size_t m_failed = 0;   ///< refused, broken or not the caller's own
  double m_firstTokenP50 = 0; ///< ms, of returning prompts
  double m_firstTokenP95 = 0;
  double m_firstTokenP99 = 0;
  double m_recomputedShare = 0; ///< of the tokens of returning prompts
  double m_linkBytesPerSecond = 0;
};

RunSummary
Summarize(const std::string& aName,
          double aPerSecond,
          const std::vector<LoadSample>& aSamples);

/// One line of JSON, and the same as a CSV line.
std::string
RenderJson(const RunSummary& aSummary);
std::string
CsvHeader();
std::string
RenderCsv(const RunSummary& aSummary);

/// Reads lines of RenderJson. Throws Error on malformed input.
std::vector<RunSummary>
ReadSummaries(const std::string& aText);

/// A bar chart: for each run time to first token, recomputed share, link use.
std::string
RenderSvg(const std::vector<RunSummary>& aRuns);

} // namespace fulmarquay

#endif
