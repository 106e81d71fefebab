#include "fulmarquay/serve/StartupAdmission.h"

namespace fulmarquay {

namespace {

/// Time in which a process becomes ready after its start, including an
/// election.
constexpr Duration kStartupTimeout(2'000'000);
/// Time in which stores and loads become known after that, if available at all.
constexpr Duration kStoresAndLoadsTimeout(600'000);

} // namespace

void
StartupAdmission::Update(TimePoint aNow, const State& aState)
{
  if (m_startedAt == TimePoint()) {
    m_startedAt = aNow;
  }
  if (m_readySince == TimePoint() && aState.m_isReady) {
    m_readySince = aNow;
  }
  const bool isReady = m_readySince != TimePoint();
  const bool hasStoresAndLoads =
    aState.m_hasStoresAndLoads || aNow >= m_readySince + kStoresAndLoadsTimeout;
  m_isComplete = m_isComplete || (isReady && hasStoresAndLoads) ||
                 (!isReady && aNow >= m_startedAt + kStartupTimeout);
}

bool
StartupAdmission::MustWait(bool aHasPrompt) const
{
  const bool isReady = m_readySince != TimePoint();
  return !m_isComplete && (aHasPrompt || !isReady);
}

} // namespace fulmarquay
