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

/// Executes disk effects in order on a dedicated thread. Consecutive queued
/// batches share one write and one sync.
class DiskWriter
{
public:
  using Job = std::variant<PersistBatch, PersistSnapshot, Snapshot>;
  /// Called on the writer's thread with each job once it is synced; for
  /// batches that shared a sync, with the last one only.
  using CompletionHandler = std::function<void(const Job&)>;

  DiskWriter(LogStore& aStore, CompletionHandler aOnCompletion);
  /// Waits for the job in progress. Jobs not yet started are not executed, but
  /// the handler is still called for them.
  ~DiskWriter();

  /// Adds a job. Thread-safe.
  void Queue(Job aJob);

private:
  void Run();
  void Execute(std::deque<Job> aJobs);
  void RetryWhileFull(const std::function<void()>& aStep);
  bool IsStopping();

  LogStore& m_store;
  CompletionHandler m_onCompletion;
  std::mutex m_mutex;
  std::condition_variable m_wake;
  std::deque<Job> m_jobs;
  bool m_isStopping = false;
  std::thread m_thread;
};

} // namespace fulmarquay

#endif
