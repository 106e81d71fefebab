#include "fulmarquay/serve/StartGate.h"

namespace fulmarquay {

namespace {

/// A process is ready within this long after its start, an election included.
constexpr Duration kStartPatience(2'000'000);
/// After that it hears of stores and loads within this, if they are there.
constexpr Duration kSettleTime(600'000);

} // namespace

void
StartGate::Review(TimePoint aNow, const Progress& aProgress)
{
  if (m_startedAt == TimePoint()) {
    m_startedAt = aNow;
  }
  if (m_readySince == TimePoint() && aProgress.m_isReady) {
    m_readySince = aNow;
  }
  const bool isReady = m_readySince != TimePoint();
  const bool isSettled =
    aProgress.m_isSettled || aNow >= m_readySince + kSettleTime;
  m_isOpen = m_isOpen || (isReady && isSettled) ||
             (!isReady && aNow >= m_startedAt + kStartPatience);
}

bool
StartGate::MustWait(bool aHasPrompt) const
{
  const bool isReady = m_readySince != TimePoint();
  return !m_isOpen && (aHasPrompt || !isReady);
}

} // namespace fulmarquay
