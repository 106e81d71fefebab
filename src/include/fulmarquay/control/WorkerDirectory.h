#ifndef FULMARQUAY_CONTROL_WORKERDIRECTORY_H
#define FULMARQUAY_CONTROL_WORKERDIRECTORY_H

#include "fulmarquay/control/WorkerList.h"

#include <cstddef>
#include <set>
#include <string>
#include <vector>

namespace fulmarquay {

/// The workers of the VM list, collected page by page, combined with newer
/// observed weight versions. Pure; not thread-safe.
class WorkerDirectory
{
public:
  static constexpr std::size_t kMaxPages = 256;

  /// Discards the pages of an unfinished refresh and starts a new one.
  void BeginRefresh();

  /// Adds a page; the last one completes the refresh. Returns whether the
  /// workers differ from the previous list. A page whose token was given before
  /// in this refresh is the last one, as is page kMaxPages.
  bool AddPage(WorkerPage aPage);

  /// Whether further pages belong to the refresh.
  bool IsRefreshing() const { return m_isRefreshing; }
  /// Whether the last refresh ended at a page that named a further one.
  bool IsCut() const { return m_isCut; }

  /// Records an observed weight version of a worker. Returns whether it
  /// differs from the known one.
  bool OnObserved(const WorkerId& aWorker,
                  const std::string& aModel,
                  std::int64_t aVersion);

  const std::vector<WorkerInfo>& Workers() const { return m_workers; }
  std::size_t Skipped() const { return m_skipped; }

private:
  /// A version that was observed and is not in the VM list yet.
  struct ObservedVersion
  {
    WorkerId m_worker;
    std::int64_t m_createdMs = 0;
    std::string m_model;
    std::int64_t m_version = 0;
  };

  /// Replaces listed versions by newer observed ones.
  void ApplyObservedVersions(std::vector<WorkerInfo>& aWorkers);

  std::vector<WorkerInfo> m_workers;
  std::vector<WorkerInfo> m_refreshed;
  std::set<std::string> m_tokens; ///< of this refresh's further pages
  bool m_isRefreshing = false;
  bool m_isCut = false;
  std::vector<ObservedVersion> m_observedVersions;
  std::size_t m_skipped = 0;
  std::size_t m_refreshedSkipped = 0;
};

} // namespace fulmarquay

#endif
