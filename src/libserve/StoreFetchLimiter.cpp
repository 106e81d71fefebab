#include "fulmarquay/serve/StoreFetchLimiter.h"

#include <algorithm>
#include <vector>

namespace fulmarquay {

namespace {

/// A first event is late if it takes this many times longer than the lower
/// quartile of recent ones, and exceeds it by this margin.
constexpr double kLateFactor = 3;
constexpr double kLateMarginUs = 150'000;
constexpr std::size_t kQuantileDivisor = 4;
/// Weight of a new sample in the moving average of the share of late first
/// events: about the last four samples count.
constexpr double kLateShareWeight = 0.25;
/// Weight of a new sample in the moving average for requests that did not fetch
/// from the store; these are more numerous.
constexpr double kOtherLateShareWeight = 0.1;
/// A store is slow only if its late share exceeds that of the other requests by
/// this factor.
constexpr double kMaxLateShareRatio = 2;
// The assumed bandwidth shrinks while most first events are late and grows
// while few are. The minimum bandwidth keeps samples coming in.
constexpr double kHighLateShare = 0.5;
constexpr double kLowLateShare = 0.3;
constexpr double kBandwidthDecreaseFactor = 0.7;
constexpr double kBandwidthIncreaseFactor = 1.25;
constexpr double kMinBandwidthRatio = 0.15;
/// Maximum wait for the link: a longer one costs more than computing the part.
constexpr double kMaxBacklogUs = 1'000'000;

} // namespace

double
StoreFetchLimiter::LowerQuartileUs() const
{
  std::vector<std::int64_t> recent(
    m_firstEventTimesUs.begin(),
    m_firstEventTimesUs.begin() + static_cast<std::ptrdiff_t>(m_sampleCount));
  const std::size_t index = recent.size() / kQuantileDivisor;
  std::nth_element(recent.begin(),
                   recent.begin() + static_cast<std::ptrdiff_t>(index),
                   recent.end());
  return static_cast<double>(recent[index]);
}

void
StoreFetchLimiter::OnFirstEvent(Duration aTime,
                                const std::set<std::string>& aStores)
{
  m_firstEventTimesUs[m_nextSample] = aTime.count();
  m_nextSample = (m_nextSample + 1) % kSampleCount;
  m_sampleCount = std::min(kSampleCount, m_sampleCount + 1);
  const double quartile = LowerQuartileUs();
  const auto time = static_cast<double>(aTime.count());
  const bool isLate =
    time > quartile * kLateFactor && time > quartile + kLateMarginUs;
  const double lateSample = isLate ? 1 : 0;
  for (auto& [store, state] : m_states) {
    if (aStores.count(store) == 0) {
      state.m_otherLateShare +=
        kOtherLateShareWeight * (lateSample - state.m_otherLateShare);
    }
  }
  for (const std::string& store : aStores) {
    StoreState& state = m_states[store];
    state.m_lateShare += kLateShareWeight * (lateSample - state.m_lateShare);
    const double threshold =
      std::max(kHighLateShare, kMaxLateShareRatio * state.m_otherLateShare);
    if (state.m_lateShare > threshold) {
      state.m_bandwidthRatio = std::max(
        kMinBandwidthRatio, state.m_bandwidthRatio * kBandwidthDecreaseFactor);
    } else if (state.m_lateShare <
               std::max(kLowLateShare, state.m_otherLateShare)) {
      state.m_bandwidthRatio =
        std::min(1.0, state.m_bandwidthRatio * kBandwidthIncreaseFactor);
    }
  }
}

double
StoreFetchLimiter::StoreState::BacklogUsAt(TimePoint aNow) const
{
  return std::max(
    0.0, m_backlogUs - static_cast<double>((aNow - m_updatedAt).count()));
}

StoreFetchLimiter::StoreState&
StoreFetchLimiter::UpdateBacklog(TimePoint aNow, const std::string& aStore)
{
  StoreState& state = m_states[aStore];
  state.m_backlogUs = state.BacklogUsAt(aNow);
  state.m_updatedAt = aNow;
  return state;
}

void
StoreFetchLimiter::OnReservedByOther(TimePoint aNow,
                                     const std::string& aStore,
                                     Duration aTime)
{
  StoreState& state = UpdateBacklog(aNow, aStore);
  // Each entry assumes its own bandwidth; one that assumes more than this one
  // must not keep it from fetching for good.
  state.m_backlogUs =
    std::min(std::max(state.m_backlogUs, kMaxBacklogUs),
             state.m_backlogUs +
               static_cast<double>(aTime.count()) / state.m_bandwidthRatio);
}

bool
StoreFetchLimiter::TryReserve(TimePoint aNow,
                              const std::string& aStore,
                              Duration aTime,
                              std::uint32_t aEntryCount)
{
  StoreState& state = UpdateBacklog(aNow, aStore);
  const double cost =
    static_cast<double>(aTime.count()) * aEntryCount / state.m_bandwidthRatio;
  // A transfer longer than the maximum backlog may start on an idle link.
  const bool isAccepted =
    state.m_backlogUs + std::min(cost, kMaxBacklogUs) <= kMaxBacklogUs;
  if (isAccepted) {
    state.m_backlogUs += cost;
  }
  return isAccepted;
}

Duration
StoreFetchLimiter::ExpectedTime(TimePoint aNow,
                                const std::string& aStore,
                                Duration aTime) const
{
  const auto found = m_states.find(aStore);
  if (found == m_states.end()) {
    return aTime;
  }
  const StoreState& state = found->second;
  return Duration(static_cast<std::int64_t>(state.BacklogUsAt(aNow) +
                                            static_cast<double>(aTime.count()) /
                                              state.m_bandwidthRatio));
}

double
StoreFetchLimiter::BandwidthRatio(const std::string& aStore) const
{
  const auto found = m_states.find(aStore);
  return found == m_states.end() ? 1 : found->second.m_bandwidthRatio;
}

} // namespace fulmarquay
