#include "fulmarquay/control/NewestWeights.h"

#include <algorithm>

namespace fulmarquay {

namespace {

/// Bounds the memory of a model whose versions are named again and again. A
/// dropped one counts as superseded long ago.
constexpr std::size_t kMaxSupersededVersions = 16;
/// Versions superseded for longer are not reported: the receiver assumes that
/// unreported ones were superseded long ago.
constexpr Duration kMaxReportedAge(30'000'000);

} // namespace

bool
NewestWeights::OnNamed(const std::string& aModel, std::int64_t aVersion)
{
  if (aVersion <= NewestOf(aModel)) {
    return false;
  }
  if (m_confirmedAt != TimePoint()) {
    OnNotSuperseded(aModel, NewestOf(aModel), m_confirmedAt);
  }
  Model& model = m_models[aModel];
  m_revision += static_cast<std::uint64_t>(aVersion - model.m_newest);
  model.m_newest = aVersion;
  return true;
}

void
NewestWeights::OnConfirmed(TimePoint aAt)
{
  m_confirmedAt = std::max(m_confirmedAt, aAt);
}

void
NewestWeights::OnNotSuperseded(const std::string& aModel,
                               std::int64_t aVersion,
                               TimePoint aAt)
{
  auto& times = m_models[aModel].m_notSupersededBefore;
  TimePoint& time = times[aVersion];
  time = std::max(time, aAt);
  if (times.size() > kMaxSupersededVersions) {
    times.erase(times.begin());
  }
}

std::int64_t
NewestWeights::NewestOf(const std::string& aModel) const
{
  const auto found = m_models.find(aModel);
  return found == m_models.end() ? 0 : found->second.m_newest;
}

std::optional<Duration>
NewestWeights::SupersededFor(TimePoint aNow,
                             const std::string& aModel,
                             std::int64_t aVersion) const
{
  const auto found = m_models.find(aModel);
  if (found == m_models.end() || aVersion >= found->second.m_newest) {
    return Duration(0);
  }
  std::optional<Duration> shortest;
  for (const auto& [version, time] : found->second.m_notSupersededBefore) {
    if (version <= aVersion) {
      const Duration age = std::max(aNow - time, Duration(0));
      shortest = std::min(shortest.value_or(age), age);
    }
  }
  return shortest;
}

std::vector<SupersededWeights>
NewestWeights::SupersededWithin(TimePoint aNow, Duration aTime) const
{
  std::vector<SupersededWeights> superseded;
  for (const auto& [name, model] : m_models) {
    for (const auto& [version, time] : model.m_notSupersededBefore) {
      const Duration age = std::max(aNow - time, Duration(0));
      if (version < model.m_newest && age < aTime) {
        superseded.push_back({ name, version, age.count() });
      }
    }
  }
  return superseded;
}

WeightsReport
NewestWeights::MakeReport(TimePoint aNow, std::uint64_t aKnownRevision) const
{
  WeightsReport report;
  report.m_isComplete = m_confirmedAt != TimePoint();
  report.m_revision = m_revision;
  report.m_superseded = SupersededWithin(aNow, kMaxReportedAge);
  if (aKnownRevision != m_revision) {
    for (const auto& [name, model] : m_models) {
      report.m_newest.push_back({ name, model.m_newest });
    }
  }
  return report;
}

void
NewestWeights::OnReport(const WeightsReport& aReport, TimePoint aAskedAt)
{
  for (const SupersededWeights& old : aReport.m_superseded) {
    OnNotSuperseded(
      old.m_model, old.m_version, aAskedAt - Duration(old.m_ageUs));
  }
  for (const NamedWeights& named : aReport.m_newest) {
    OnNamed(named.m_model, named.m_version);
  }
  if (aReport.m_isComplete && aReport.m_revision == m_revision) {
    OnConfirmed(aAskedAt);
  }
}

} // namespace fulmarquay
