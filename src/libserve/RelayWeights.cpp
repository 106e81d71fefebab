// Weight versions of relayed requests.
#include "fulmarquay/serve/RelayFlow.h"

#include "RelayConstants.h"

#include <vector>

namespace fulmarquay {

namespace {

constexpr Duration kRecallInterval(100'000);
/// Time in which a worker loads weights.
constexpr Duration kLoadPause(400'000);

} // namespace

std::int64_t
RelayFlow::RequiredWeights(const ActiveRequest& aActive,
                           const WorkerState& aWorker) const
{
  const std::string& model = aActive.m_request.m_model;
  return m_weights.RequiredVersion(model, aWorker.m_info.VersionOf(model));
}

void
RelayFlow::PauseLoadingWorker(const ActiveRequest& aActive)
{
  const TimePoint now = m_context.Now();
  const WeightsAge age =
    m_weights.AgeOf(now, aActive.m_request.m_model, aActive.m_sentWeights);
  const bool hasOwnPause = aActive.m_workerHead.m_pause > Duration(0);
  if (age == WeightsAge::Newest || hasOwnPause) {
    return;
  }
  // Without load, it would attract the next requests.
  m_workers.OnPauseRequested(now, aActive.m_worker, kLoadPause);
  m_context.Log(LogEvent::WorkerPaused,
                { { "worker", aActive.m_worker.Value() },
                  { "id", aActive.m_request.m_id },
                  { "pause_ms", FormatMillis(kLoadPause) } });
}

bool
RelayFlow::MustRecall(const ActiveRequest& aActive)
{
  const std::string& model = aActive.m_request.m_model;
  const TimePoint now = m_context.Now();
  const bool hasStarted =
    aActive.m_workerHead.m_status != 0 || aActive.m_hasFirstEvent;
  const bool isExpired =
    m_weights.AgeOf(now, model, aActive.m_sentWeights) == WeightsAge::Expired;
  if (hasStarted || !isExpired || !MayRepeat(aActive) || IsPassed(aActive)) {
    return false;
  }
  return m_weights.MustNotBegin(now, model, aActive.m_sentWeights) ||
         m_placement.Choose(m_workers, CriteriaFor(aActive)).m_worker !=
           nullptr;
}

void
RelayFlow::RecallExpired()
{
  const TimePoint now = m_context.Now();
  if (now < m_nextRecall || !m_weights.HasRecentlyExpired(now)) {
    return;
  }
  m_nextRecall = now + kRecallInterval;
  std::vector<CallId> calls;
  for (const auto& [call, active] : m_byCall) {
    calls.push_back(call);
  }
  for (const CallId call : calls) {
    ActiveRequest* active = Find(call);
    // Each one that is sent elsewhere takes room there from the next ones.
    if (active != nullptr && MustRecall(*active)) {
      Recall(*active);
    }
  }
}

void
RelayFlow::Recall(ActiveRequest& aActive)
{
  const bool mustNotBegin = m_weights.MustNotBegin(
    m_context.Now(), aActive.m_request.m_model, aActive.m_sentWeights);
  const bool isRetryTaken = TakeRetry(aActive);
  if (!isRetryTaken && !mustNotBegin) {
    return;
  }
  m_context.Cancel(aActive.m_call);
  ReleaseWorker(aActive);
  aActive.m_mayHaveRun = true;
  if (isRetryTaken) {
    Place(aActive);
  } else {
    Fail(aActive, kStatusBadGateway, "its weights expired before it began");
  }
}

} // namespace fulmarquay
