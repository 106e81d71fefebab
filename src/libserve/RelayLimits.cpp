// Limits of workers, and failures after which a worker may be cold.
#include "fulmarquay/serve/RelayFlow.h"

#include <algorithm>
#include <string>

namespace fulmarquay {

void
RelayFlow::LogLimit(const WorkerInfo& aWorker, const std::string& aSource)
{
  const std::optional<double> limit = m_limiter.LimitOf(aWorker);
  m_context.Log(LogEvent::WorkerLimitChanged,
                { { "worker", aWorker.m_id.Value() },
                  { "source", aSource },
                  { "per_second", limit ? std::to_string(*limit) : "none" } });
}

void
RelayFlow::LogPossibleRestart(const WorkerId& aWorker,
                              const std::string& aSource)
{
  m_context.Log(LogEvent::WorkerMayHaveRestarted,
                { { "worker", aWorker.Value() }, { "source", aSource } });
}

void
RelayFlow::RecordPossibleRestart(const WorkerId& aWorker, TimePoint aRanAt)
{
  const WorkerState* worker = m_workers.Find(aWorker);
  if (worker != nullptr &&
      m_limiter.OnFailure(m_context.Now(), worker->m_info, aRanAt)) {
    LogPossibleRestart(aWorker, "own failure");
  }
}

void
RelayFlow::RecordLimit(const ActiveRequest& aActive, const WorkerInfo& aWorker)
{
  const WorkerResponseHead& head = aActive.m_workerHead;
  // Without a signature or its own refusal, the missing limit may be due to an
  // answer that is not the worker's.
  const bool isOwnAnswer = head.m_isSigned || head.m_isNotExecuted;
  if (head.m_isLimitUnreadable || (!head.m_requestLimit && !isOwnAnswer)) {
    return;
  }
  // After a pause of this process, the answer may be as old as the pause.
  const TimePoint statedAt = std::max(aActive.m_sentAt, m_lastTickAt);
  if (m_limiter.OnStated(
        m_context.Now(), statedAt, aWorker, head.m_requestLimit)) {
    LogLimit(aWorker, "answer");
  }
}

void
RelayFlow::OnLimits(const LimitPush& aPush)
{
  for (const WorkerId& worker : m_limiter.OnPush(m_context.Now(), aPush)) {
    if (const WorkerState* known = m_workers.Find(worker)) {
      LogLimit(known->m_info, "leader");
    }
  }
}

} // namespace fulmarquay
