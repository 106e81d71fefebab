#ifndef FULMARQUAY_CONTROL_WORKERDIRECTORY_H
#define FULMARQUAY_CONTROL_WORKERDIRECTORY_H

#include "fulmarquay/control/WorkerList.h"

#include <cstddef>
#include <string>
#include <vector>

namespace fulmarquay {

/// The workers of the VM list, collected page by page, with the weight
/// versions that were observed since. Pure; not thread-safe.
class WorkerDirectory
{
public:
  /// Starts a new reading of the list.
  void BeginReading();

  /// Adds a page; the last one ends the reading. Returns whether the workers
  /// differ from the reading before.
  bool AddPage(WorkerPage aPage);

  /// A worker was observed with a version. Returns whether that is news.
  bool OnObserved(const WorkerId& aWorker,
                  const std::string& aModel,
                  std::int64_t aVersion);

  const std::vector<WorkerInfo>& Workers() const { return m_workers; }
  std::size_t Skipped() const { return m_skipped; }

private:
  /// A version that was observed after the list was made.
  struct Observed
  {
    WorkerId m_worker;
    std::int64_t m_bornMs = 0;
    std::string m_model;
    std::int64_t m_version = 0;
  };

  void Overlay(std::vector<WorkerInfo>& aWorkers);

  std::vector<WorkerInfo> m_workers;
  std::vector<WorkerInfo> m_reading;
  std::vector<Observed> m_observed;
  std::size_t m_skipped = 0;
  std::size_t m_readingSkipped = 0;
};

} // namespace fulmarquay

#endif
