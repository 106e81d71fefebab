#include "fulmarquay/control/WorkerDirectory.h"

#include <algorithm>
#include <utility>

namespace fulmarquay {

void
WorkerDirectory::BeginRefresh()
{
  m_refreshed.clear();
  m_refreshedSkipped = 0;
}

bool
WorkerDirectory::AddPage(WorkerPage aPage)
{
  m_refreshedSkipped += aPage.m_skipped;
  for (WorkerInfo& worker : aPage.m_workers) {
    m_refreshed.push_back(std::move(worker));
  }
  if (!aPage.m_next.empty()) {
    return false;
  }
  m_skipped = m_refreshedSkipped;
  std::sort(m_refreshed.begin(),
            m_refreshed.end(),
            [](const WorkerInfo& aLeft, const WorkerInfo& aRight) {
              return aLeft.m_id < aRight.m_id;
            });
  ApplyObservedVersions(m_refreshed);
  const bool isChanged = m_refreshed != m_workers;
  m_workers = std::move(m_refreshed);
  m_refreshed.clear();
  return isChanged;
}

void
WorkerDirectory::ApplyObservedVersions(std::vector<WorkerInfo>& aWorkers)
{
  // The list lags behind observations: an observed version overrides it until
  // the list contains that version or no longer contains the worker's
  // incarnation.
  std::erase_if(m_observedVersions, [&](const ObservedVersion& aObserved) {
    for (WorkerInfo& worker : aWorkers) {
      const bool isSame = worker.m_id == aObserved.m_worker &&
                          worker.m_createdMs == aObserved.m_createdMs;
      if (isSame) {
        std::int64_t& version = worker.m_weights[aObserved.m_model];
        const bool isListed = version >= aObserved.m_version;
        version = std::max(version, aObserved.m_version);
        return isListed;
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
    m_observedVersions.push_back(
      { aWorker, worker.m_createdMs, aModel, aVersion });
    return true;
  }
  return false;
}

} // namespace fulmarquay
