// Weight versions of relayed requests.
#include "fulmarquay/serve/RelayFlow.h"

#include <vector>

namespace fulmarquay {

namespace {

constexpr Duration kRecallInterval(100'000);

} // namespace

std::int64_t
RelayFlow::RequiredWeights(const ActiveRequest& aActive,
                           const WorkerState& aWorker) const
{
  const std::string& model = aActive.m_request.m_model;
  return m_weights.RequiredVersion(model, aWorker.m_info.VersionOf(model));
}

bool
RelayFlow::MustRecall(const ActiveRequest& aActive)
{
  const WorkerState* worker = m_workers.Find(aActive.m_worker);
  const bool hasStarted =
    aActive.m_workerHead.m_status != 0 || aActive.m_hasFirstEvent;
  const bool isExpired =
    worker != nullptr &&
    m_weights.AgeOf(m_context.Now(),
                    aActive.m_request.m_model,
                    aActive.m_sentWeights) == WeightsAge::Expired;
  if (hasStarted || !isExpired || !MayRepeat(aActive)) {
    return false;
  }
  return m_placement.Choose(m_workers, CriteriaFor(aActive)).m_worker !=
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
  std::vector<ActiveRequest*> expired;
  for (const auto& [call, active] : m_byCall) {
    if (MustRecall(*active)) {
      expired.push_back(active);
    }
  }
  for (ActiveRequest* active : expired) {
    if (!TakeRetry(*active)) {
      continue;
    }
    m_context.Cancel(active->m_call);
    ReleaseWorker(*active);
    active->m_mayHaveRun = true;
    Place(*active);
  }
}

} // namespace fulmarquay
