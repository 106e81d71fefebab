#ifndef FULMARQUAY_DAEMON_DISKWRITER_H
#define FULMARQUAY_DAEMON_DISKWRITER_H

#include "fulmarquay/consensus/LogStore.h"
#include "fulmarquay/consensus/ReplicaEffects.h"

#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>
#include <thread>
#include <variant>
#include <vector>

namespace fulmarquay {

/// Carries out disk effects on a thread of its own, in order; batches that
/// wait together share one write and one sync.
class DiskWriter
{
public:
  using Job = std::variant<PersistBatch, PersistSnapshot, Snapshot>;
  /// Called on the writer's thread with the job that is synced; of batches
  /// that shared a sync, with the last one.
  using DoneHandler = std::function<void(const Job&)>;

  DiskWriter(LogStore& aStore, DoneHandler aDone);
  /// Finishes what is queued.
  ~DiskWriter();

  void Queue(Job aJob);

private:
  void Run();
  void Carry(std::deque<Job> aJobs);
  void RetryWhileFull(const std::function<void()>& aStep);
  bool IsStopping();

  LogStore& m_store;
  DoneHandler m_done;
  std::mutex m_mutex;
  std::condition_variable m_wake;
  std::deque<Job> m_jobs;
  bool m_isStopping = false;
  std::thread m_thread;
};

} // namespace fulmarquay

#endif
