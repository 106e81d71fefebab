#ifndef FULMARQUAY_LOAD_REPORT_H
#define FULMARQUAY_LOAD_REPORT_H

#include "LoadRun.h"

#include <string>
#include <vector>

namespace fulmarquay {

/// Summary of one run of concurrent conversations.
struct RunSummary
{
  std::string m_name; ///< of the run, e.g. its restore policy
  double m_requestsPerSecond = 0;
  std::size_t m_requests = 0;
  std::size_t m_failed = 0; ///< refused, incomplete or with a wrong text
  // Time to first token of successful turns after a conversation's first one.
  double m_firstTokenP50Ms = 0;
  double m_firstTokenP95Ms = 0;
  double m_firstTokenP99Ms = 0;
  double m_recomputedShare = 0; ///< of the prompt tokens of these turns
  double m_linkBytesPerSecond = 0;
};

/// Summarizes the samples of a run, except the link use.
RunSummary
Summarize(const std::string& aName,
          double aRequestsPerSecond,
          const std::vector<LoadSample>& aSamples);

/// Renders a summary as a line of JSON, without the newline.
std::string
RenderJson(const RunSummary& aSummary);
/// The column names of RenderCsv, without the newline.
std::string
CsvHeader();
/// Renders a summary as a line of CSV, without the newline.
std::string
RenderCsv(const RunSummary& aSummary);

/// Parses lines written by RenderJson. Throws Error on malformed input.
std::vector<RunSummary>
ReadSummaries(const std::string& aText);

/// An SVG with bar charts of the time to first token (p95), the recomputed
/// share and the link use of each run.
std::string
RenderSvg(const std::vector<RunSummary>& aRuns);

} // namespace fulmarquay

#endif
