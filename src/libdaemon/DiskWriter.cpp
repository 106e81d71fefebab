#include "fulmarquay/daemon/DiskWriter.h"

#include "fulmarquay/core/CommandLine.h"
#include "fulmarquay/core/LogEvent.h"

#include <chrono>
#include <cstdlib>
#include <utility>

namespace fulmarquay {

namespace {

constexpr std::chrono::milliseconds kFullRetry(500);

} // namespace

DiskWriter::DiskWriter(LogStore& aStore, DoneHandler aDone)
  : m_store(aStore)
  , m_done(std::move(aDone))
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
      Carry(std::move(jobs));
    } catch (const Error& e) {
      // After a failed sync nobody knows which pages reached the disk: only
      // a new start, reading the disk again, may go on.
      WriteLog(LogEvent::DiskFailed,
               { { "step", e.Step() },
                 { "peer", e.Peer() },
                 { "reason", e.Reason() } });
      FlushLog();
      std::_Exit(static_cast<int>(ExitCode::DiskLost));
    }
  }
}

void
DiskWriter::Carry(std::deque<Job> aJobs)
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
      m_done(batches.back());
      continue;
    }
    const Job job = std::move(aJobs.front());
    aJobs.pop_front();
    if (const auto* install = std::get_if<PersistSnapshot>(&job)) {
      RetryWhileFull([&] { m_store.Install(*install); });
    } else {
      RetryWhileFull([&] { m_store.SaveSnapshot(std::get<Snapshot>(job)); });
    }
    m_done(job);
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
      std::this_thread::sleep_for(kFullRetry);
    }
  }
}

} // namespace fulmarquay
