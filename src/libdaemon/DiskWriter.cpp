#include "fulmarquay/daemon/DiskWriter.h"

#include "fulmarquay/core/CommandLine.h"
#include "fulmarquay/core/LogEvent.h"

#include <chrono>
#include <cstdlib>
#include <utility>

namespace fulmarquay {

namespace {

constexpr std::chrono::milliseconds kDiskFullRetryInterval(500);

} // namespace

DiskWriter::DiskWriter(LogStore& aStore, CompletionHandler aOnCompletion)
  : m_store(aStore)
  , m_onCompletion(std::move(aOnCompletion))
  , m_thread([this] { Run(); })
{
}

DiskWriter::~DiskWriter()
{
  {
    const std::lock_guard lock(m_mutex);
    m_isStopping = true;
  }
  m_wake.notify_one();
  m_thread.join();
}

void
DiskWriter::Queue(Job aJob)
{
  {
    const std::lock_guard lock(m_mutex);
    m_jobs.push_back(std::move(aJob));
  }
  m_wake.notify_one();
}

bool
DiskWriter::IsStopping()
{
  const std::lock_guard lock(m_mutex);
  return m_isStopping;
}

void
DiskWriter::Run()
{
  for (;;) {
    std::deque<Job> jobs;
    {
      std::unique_lock lock(m_mutex);
      m_wake.wait(lock, [this] { return m_isStopping || !m_jobs.empty(); });
      if (m_jobs.empty()) {
        return;
      }
      jobs.swap(m_jobs);
    }
    try {
      Execute(std::move(jobs));
    } catch (const Error& e) {
      // After a failed sync it is unknown which pages reached the disk. Only a
      // restart, which reads the disk again, can recover.
      WriteLog(LogEvent::DiskFailed,
               { { "step", e.Step() },
                 { "peer", e.Peer() },
                 { "reason", e.Reason() } });
      CloseLog();
      std::_Exit(static_cast<int>(ExitCode::DiskLost));
    }
  }
}

void
DiskWriter::Execute(std::deque<Job> aJobs)
{
  while (!aJobs.empty()) {
    std::vector<PersistBatch> batches;
    while (!aJobs.empty() &&
           std::holds_alternative<PersistBatch>(aJobs.front())) {
      batches.push_back(std::get<PersistBatch>(std::move(aJobs.front())));
      aJobs.pop_front();
    }
    if (!batches.empty()) {
      RetryWhileFull([&] { m_store.Append(batches); });
      m_onCompletion(batches.back());
      continue;
    }
    const Job job = std::move(aJobs.front());
    aJobs.pop_front();
    if (const auto* snapshot = std::get_if<PersistSnapshot>(&job)) {
      RetryWhileFull([&] { m_store.Install(*snapshot); });
    } else {
      RetryWhileFull([&] { m_store.SaveSnapshot(std::get<Snapshot>(job)); });
    }
    m_onCompletion(job);
  }
}

void
DiskWriter::RetryWhileFull(const std::function<void()>& aStep)
{
  for (bool isReported = false; !IsStopping();) {
    try {
      aStep();
      return;
    } catch (const DiskFullError& e) {
      if (!isReported) {
        WriteLog(LogEvent::DiskFull,
                 { { "step", e.Step() }, { "peer", e.Peer() } });
      }
      isReported = true;
      std::this_thread::sleep_for(kDiskFullRetryInterval);
    }
  }
}

} // namespace fulmarquay
