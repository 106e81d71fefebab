#include "fulmarquay/pool/DataCentreSpill.h"

#include <algorithm>
#include <cmath>
#include <set>
#include <utility>

namespace fulmarquay {

namespace {

constexpr double kMicrosPerSecond = 1e6;
constexpr double kMebibyte = 1'048'576;
/// Requests begin to leave when another data centre serves them sooner by this
/// part of the target latency, and stop when it does by less than the second
/// part. The gap keeps data centres from exchanging the same load.
constexpr double kStartAdvantage = 0.5;
constexpr double kStopAdvantage = 0.2;
/// Advantage, in parts of the target latency, above kStopAdvantage at which all
/// requests leave. A smaller one makes the share swing, because loads are
/// reported late.
constexpr double kFullShareAdvantage = 1.5;
/// A data centre takes fewer requests as its own expected time exceeds this
/// part of the target latency, and none above the target latency.
constexpr double kComfortableTime = 0.25;
/// Room of a late data centre for requests that can't stay.
constexpr double kLeastRoom = 0.01;
/// Time constant with which the share follows, in seconds, and the most that it
/// rises and falls in a second. At a faster rise, the other data centre is late
/// before its reported load shows it.
constexpr double kFollowSeconds = 0.3;
constexpr double kMaxRisePerSecond = 0.25;
constexpr double kMaxFallPerSecond = 1;
/// Reported loads are late by up to about this: the expected time of another
/// data centre is extended by its growth in this time. The growth is averaged.
constexpr double kReportDelaySeconds = 0.5;
constexpr double kGrowthAverageSeconds = 0.3;
/// Below this, no request leaves.
constexpr double kMinShare = 0.005;
/// Longest time between two updates that counts: after a suspension the share
/// must not jump.
constexpr double kMaxStepSeconds = 0.5;

double
Seconds(Duration aTime)
{
  return static_cast<double>(aTime.count()) / kMicrosPerSecond;
}

/// Parts from 0 to 1 of a hash: the upper half decides whether a request
/// leaves, the lower half where it goes.
double
UpperFraction(std::uint64_t aHash)
{
  return static_cast<double>(aHash >> 32U) / 4'294'967'296.0;
}
double
LowerFraction(std::uint64_t aHash)
{
  return static_cast<double>(aHash & 0xffffffffU) / 4'294'967'296.0;
}

} // namespace

std::string_view
NameOf(SpillReason aReason)
{
  switch (aReason) {
    case SpillReason::None:
      return "none";
    case SpillReason::NoLocalWorker:
      return "no local worker";
    case SpillReason::LocalLoad:
      return "local load";
  }
  return "";
}

DataCentreSpill::DataCentreSpill(DataCentreId aLocal, Options aOptions)
  : m_local(std::move(aLocal))
  , m_options(aOptions)
{
}

double
DataCentreSpill::SetDestinations(Duration aTargetLatency,
                                 const DataCentreLoad* aLocal,
                                 const std::vector<DataCentreLoad>& aLoads)
{
  const auto former = std::exchange(m_destinations, {});
  m_others.clear();
  const double target = std::max(1e-3, Seconds(aTargetLatency));
  double totalWeight = 0;
  double advantage = 0;
  double headroom = 0;
  std::set<DataCentreId> roomy;
  for (const DataCentreLoad& load : aLoads) {
    if (load.m_dataCentre == m_local || load.m_capacity <= 0) {
      continue;
    }
    const auto trend = m_trends.find(load.m_dataCentre);
    const double growth =
      trend == m_trends.end() ? 0 : std::max(0.0, trend->second.m_growth);
    const double time =
      (Seconds(load.m_wait + load.m_linkDelay) + growth * kReportDelaySeconds) /
      target;
    const double room =
      std::clamp((1 - time) / (1 - kComfortableTime), 0.0, 1.0);
    const double gain =
      aLocal == nullptr ? 1 : Seconds(aLocal->m_wait) / target - time;
    // What can't stay leaves also for data centres that are late.
    const double other = load.m_capacity * std::max(kLeastRoom, room);
    m_others[load.m_dataCentre] = other;
    const double weight =
      aLocal == nullptr ? other : load.m_capacity * room * std::max(0.0, gain);
    if (room > 0) {
      roomy.insert(load.m_dataCentre);
    }
    if (weight > 0) {
      m_destinations[load.m_dataCentre] = weight;
      totalWeight += weight;
    }
    advantage = std::max(advantage, room > 0 ? gain : 0);
    headroom = std::max(headroom, gain > 0 ? room : 0);
  }
  // While the share falls to 0, what still leaves goes where it went.
  for (const auto& [dataCentre, weight] : former) {
    if (totalWeight <= 0 && roomy.count(dataCentre) != 0) {
      m_destinations[dataCentre] = weight;
    }
  }
  totalWeight = 0;
  for (const auto& [dataCentre, weight] : m_destinations) {
    totalWeight += weight;
  }
  for (auto& [dataCentre, weight] : m_destinations) {
    weight /= totalWeight;
  }
  if (m_destinations.empty()) {
    m_isLeaving = false;
    return 0;
  }
  if (aLocal == nullptr) {
    return 1;
  }
  m_isLeaving = advantage > (m_isLeaving ? kStopAdvantage : kStartAdvantage);
  return m_isLeaving
           ? headroom *
               std::min(1.0, (advantage - kStopAdvantage) / kFullShareAdvantage)
           : 0;
}

void
DataCentreSpill::UpdateTrends(double aElapsed,
                              const std::vector<DataCentreLoad>& aLoads)
{
  std::map<DataCentreId, Trend> trends;
  for (const DataCentreLoad& load : aLoads) {
    Trend& trend = trends[load.m_dataCentre];
    const auto former = m_trends.find(load.m_dataCentre);
    if (former != m_trends.end() && aElapsed > 0) {
      const double growth =
        Seconds(load.m_wait - former->second.m_wait) / aElapsed;
      const double weight = 1 - std::exp(-aElapsed / kGrowthAverageSeconds);
      trend.m_growth =
        former->second.m_growth + weight * (growth - former->second.m_growth);
    }
    trend.m_wait = load.m_wait;
  }
  m_trends = std::move(trends);
}

void
DataCentreSpill::Update(TimePoint aNow,
                        Duration aTargetLatency,
                        const std::vector<DataCentreLoad>& aLoads)
{
  const double elapsed =
    m_updatedAt == TimePoint()
      ? 0
      : std::clamp(Seconds(aNow - m_updatedAt), 0.0, kMaxStepSeconds);
  m_updatedAt = aNow;
  UpdateTrends(elapsed, aLoads);
  const auto local =
    std::find_if(aLoads.begin(), aLoads.end(), [&](const auto& aEach) {
      return aEach.m_dataCentre == m_local && aEach.m_capacity > 0;
    });
  m_hasLocal = local != aLoads.end();
  const double right =
    SetDestinations(aTargetLatency, m_hasLocal ? &*local : nullptr, aLoads);
  if (!m_hasLocal || m_destinations.empty()) {
    // What can't be served at one place can't wait for a gradual change.
    m_share = right;
    return;
  }
  const double step =
    (right - m_share) * (1 - std::exp(-elapsed / kFollowSeconds));
  m_share +=
    std::clamp(step, -kMaxFallPerSecond * elapsed, kMaxRisePerSecond * elapsed);
  if (right <= 0 && m_share < kMinShare) {
    m_share = 0;
  }
}

Duration
DataCentreSpill::CostOf(const SpillOption& aOption) const
{
  const double mebibytes = static_cast<double>(aOption.m_bytes) / kMebibyte;
  return aOption.m_time +
         Duration(static_cast<std::int64_t>(
           mebibytes *
           static_cast<double>(m_options.m_costPerMebibyte.count())));
}

DataCentreSpill::Decision
DataCentreSpill::Decide(const std::vector<SpillOption>& aOptions,
                        Duration aTimeLeft,
                        std::uint64_t aRandom) const
{
  const SpillOption* local = nullptr;
  for (const SpillOption& option : aOptions) {
    if (option.m_dataCentre == m_local && m_hasLocal) {
      local = &option;
    }
  }
  Decision stay;
  stay.m_dataCentre = local == nullptr ? DataCentreId() : m_local;
  if (local != nullptr && UpperFraction(aRandom) >= m_share) {
    return stay;
  }
  const auto& weights = local == nullptr ? m_others : m_destinations;
  std::vector<std::pair<const SpillOption*, double>> eligible;
  double total = 0;
  for (const SpillOption& option : aOptions) {
    const auto weight = weights.find(option.m_dataCentre);
    const bool isBetter = local == nullptr || (CostOf(option) < local->m_time &&
                                               option.m_time <= aTimeLeft);
    if (weight != weights.end() && isBetter) {
      eligible.emplace_back(&option, weight->second);
      total += weight->second;
    }
  }
  if (eligible.empty()) {
    return stay;
  }
  double point = LowerFraction(aRandom) * total;
  const SpillOption* chosen = eligible.back().first;
  for (const auto& [option, weight] : eligible) {
    if (point < weight) {
      chosen = option;
      break;
    }
    point -= weight;
  }
  return { chosen->m_dataCentre,
           local == nullptr ? SpillReason::NoLocalWorker
                            : SpillReason::LocalLoad,
           local == nullptr ? Duration(0) : local->m_time - chosen->m_time };
}

} // namespace fulmarquay
