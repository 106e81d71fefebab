#include "fulmarquay/control/WorkerDirectory.h"

#include <algorithm>
#include <utility>

namespace fulmarquay {

namespace {

/// Sorts workers by id and keeps the newest incarnation of each; of equal ones,
/// the one that was listed first.
void
SortAndRemoveDuplicates(std::vector<WorkerInfo>& aWorkers)
{
  std::stable_sort(aWorkers.begin(),
                   aWorkers.end(),
                   [](const WorkerInfo& aLeft, const WorkerInfo& aRight) {
                     return aLeft.m_id != aRight.m_id
                              ? aLeft.m_id < aRight.m_id
                              : aLeft.m_createdMs > aRight.m_createdMs;
                   });
  const auto isSame = [](const WorkerInfo& aLeft, const WorkerInfo& aRight) {
    return aLeft.m_id == aRight.m_id;
  };
  aWorkers.erase(std::unique(aWorkers.begin(), aWorkers.end(), isSame),
                 aWorkers.end());
}

} // namespace

void
WorkerDirectory::BeginRefresh()
{
  m_refreshed.clear();
  m_refreshedSkipped = 0;
  m_tokens.clear();
  m_isRefreshing = true;
}

bool
WorkerDirectory::AddPage(WorkerPage aPage)
{
  m_refreshedSkipped += aPage.m_skipped;
  for (WorkerInfo& worker : aPage.m_workers) {
    m_refreshed.push_back(std::move(worker));
  }
  const bool hasNext = !aPage.m_next.empty();
  m_isRefreshing = hasNext && m_tokens.size() + 1 < kMaxPages &&
                   m_tokens.insert(aPage.m_next).second;
  if (m_isRefreshing) {
    return false;
  }
  m_isCut = hasNext;
  m_skipped = m_refreshedSkipped;
  SortAndRemoveDuplicates(m_refreshed);
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
