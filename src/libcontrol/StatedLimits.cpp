#include "fulmarquay/control/StatedLimits.h"

namespace fulmarquay {

namespace {

/// Longer than a list omits a worker that still runs.
constexpr Duration kUnlistedTtl(600'000'000);

} // namespace

bool
StatedLimits::Update(const WorkerId& aWorker,
                     std::int64_t aCreatedMs,
                     std::optional<double> aPerSecond,
                     TimePoint aAt)
{
  const auto known = m_statements.find(aWorker);
  if (known == m_statements.end()) {
    if (aPerSecond) {
      m_statements[aWorker] = { aCreatedMs, aPerSecond, aAt, aAt };
    }
    return aPerSecond.has_value();
  }
  Statement& statement = known->second;
  const bool isSuccessor = aCreatedMs > statement.m_createdMs;
  const bool isNewer =
    aCreatedMs == statement.m_createdMs && aAt > statement.m_at;
  if (!isSuccessor && !isNewer) {
    return false;
  }
  const bool isChanged = isSuccessor || aPerSecond != statement.m_perSecond;
  statement.m_createdMs = aCreatedMs;
  statement.m_perSecond = aPerSecond;
  statement.m_at = aAt;
  return isChanged;
}

std::optional<double>
StatedLimits::LimitOf(const WorkerId& aWorker, std::int64_t aCreatedMs) const
{
  const auto known = m_statements.find(aWorker);
  const bool isKnown =
    known != m_statements.end() && known->second.m_createdMs == aCreatedMs;
  return isKnown ? known->second.m_perSecond : std::nullopt;
}

void
StatedLimits::Expire(TimePoint aNow, const std::vector<WorkerInfo>& aListed)
{
  if (m_statements.empty()) {
    return;
  }
  for (const WorkerInfo& worker : aListed) {
    const auto known = m_statements.find(worker.m_id);
    if (known != m_statements.end()) {
      known->second.m_listedAt = aNow;
    }
  }
  std::erase_if(m_statements, [&](const auto& aEach) {
    return aNow >= aEach.second.m_listedAt + kUnlistedTtl;
  });
}

} // namespace fulmarquay
