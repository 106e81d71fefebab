#include "fulmarquay/serve/WeightsAdmission.h"

namespace fulmarquay {

namespace {

/// Time after a naming during which the older version is worth nearly as much
/// to the caller.
constexpr Duration kJustSupersededPeriod(1'000'000);
/// No request waits longer for a worker than callers wait for its first event.
constexpr Duration kLongestWait(15'000'000);

} // namespace

WeightsAdmission::WeightsAdmission(Duration aMaxAge)
  : m_maxAge(aMaxAge)
{
}

bool
WeightsAdmission::OnNamed(const std::vector<NamedWeights>& aNamed)
{
  bool isNew = false;
  for (const NamedWeights& named : aNamed) {
    isNew = m_newest.OnNamed(named.m_model, named.m_version) || isNew;
  }
  return isNew;
}

void
WeightsAdmission::OnReport(const WeightsReport& aReport,
                           TimePoint aHeartbeatSentAt)
{
  m_newest.OnReport(aReport, aHeartbeatSentAt);
}

WeightsAge
WeightsAdmission::AgeOf(TimePoint aNow,
                        const std::string& aModel,
                        std::int64_t aVersion) const
{
  const std::int64_t newest = m_newest.NewestOf(aModel);
  if (newest == 0 || aVersion >= newest) {
    return WeightsAge::Newest;
  }
  if (aVersion < 0) {
    return WeightsAge::Unknown;
  }
  const auto age = m_newest.SupersededFor(aNow, aModel, aVersion);
  if (!age || *age >= m_maxAge) {
    return WeightsAge::Expired;
  }
  return *age < kJustSupersededPeriod ? WeightsAge::JustSuperseded
                                      : WeightsAge::Superseded;
}

std::int64_t
WeightsAdmission::RequiredVersion(const std::string& aModel,
                                  std::int64_t aKnownVersion) const
{
  const std::int64_t newest = m_newest.NewestOf(aModel);
  const bool mustBeNewest = aKnownVersion < 0 && newest > 0;
  return mustBeNewest ? newest : aKnownVersion;
}

std::string
WeightsAdmission::FormatAge(TimePoint aNow,
                            const std::string& aModel,
                            std::int64_t aVersion) const
{
  const auto age = m_newest.SupersededFor(aNow, aModel, aVersion);
  return age ? std::to_string(ToMillis(*age)) : "";
}

bool
WeightsAdmission::HasRecentlyExpired(TimePoint aNow) const
{
  for (const SupersededWeights& old :
       m_newest.SupersededWithin(aNow, m_maxAge + kLongestWait)) {
    if (Duration(old.m_ageUs) >= m_maxAge) {
      return true;
    }
  }
  return false;
}

} // namespace fulmarquay
