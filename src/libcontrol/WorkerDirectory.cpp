#include "fulmarquay/control/WorkerDirectory.h"

#include <algorithm>
#include <utility>

namespace fulmarquay {

void
WorkerDirectory::BeginReading()
{
  m_reading.clear();
  m_readingSkipped = 0;
}

bool
WorkerDirectory::AddPage(WorkerPage aPage)
{
  m_readingSkipped += aPage.m_skipped;
  for (WorkerInfo& worker : aPage.m_workers) {
    m_reading.push_back(std::move(worker));
  }
  if (!aPage.m_next.empty()) {
    return false;
  }
  m_skipped = m_readingSkipped;
  std::sort(m_reading.begin(),
            m_reading.end(),
            [](const WorkerInfo& aLeft, const WorkerInfo& aRight) {
              return aLeft.m_id < aRight.m_id;
            });
  Overlay(m_reading);
  const bool isNew = m_reading != m_workers;
  m_workers = std::move(m_reading);
  m_reading.clear();
  return isNew;
}

void
WorkerDirectory::Overlay(std::vector<WorkerInfo>& aWorkers)
{
  // The list is older than what was observed: an observed version stands
  // until the list shows it too or the worker's incarnation is gone.
  std::erase_if(m_observed, [&](const Observed& aEach) {
    for (WorkerInfo& worker : aWorkers) {
      const bool isSame =
        worker.m_id == aEach.m_worker && worker.m_bornMs == aEach.m_bornMs;
      if (isSame) {
        std::int64_t& version = worker.m_weights[aEach.m_model];
        const bool isShown = version >= aEach.m_version;
        version = std::max(version, aEach.m_version);
        return isShown;
      }
    }
    return true;
  });
}

bool
WorkerDirectory::OnObserved(const WorkerId& aWorker,
                            const std::string& aModel,
                            std::int64_t aVersion)
{
  for (WorkerInfo& worker : m_workers) {
    if (worker.m_id != aWorker || worker.m_weights[aModel] == aVersion) {
      continue;
    }
    worker.m_weights[aModel] = aVersion;
    m_observed.push_back({ aWorker, worker.m_bornMs, aModel, aVersion });
    return true;
  }
  return false;
}

} // namespace fulmarquay
