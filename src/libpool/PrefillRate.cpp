#include "fulmarquay/pool/PrefillRate.h"

#include <algorithm>

namespace fulmarquay {

namespace {

/// Below this, the time to the first event consists mainly of the network and
/// of the steps of other requests.
constexpr std::int64_t kMinTokens = 1'000;
/// Samples of a prompt behind others are left out once a rate is known. A rate
/// that is learned too low during an overload corrects itself: less is sent, so
/// that prompts are behind fewer others.
constexpr std::int64_t kMaxAheadDivisor = 4;
/// The quantile is below most delays that are not reading time. It is not lower
/// because some prompts are cached without the entry's knowledge.
constexpr double kQuantile = 0.25;
constexpr std::size_t kPoolSamples = 128;
constexpr std::size_t kMinPoolSamples = 16;
constexpr std::size_t kWorkerSamples = 16;
constexpr std::size_t kMinWorkerSamples = 8;
/// Engines of one pool differ by about a third. Larger differences come from
/// few samples.
constexpr double kMaxWorkerFactor = 1.4;
/// Bounds the memory when workers come and go.
constexpr std::size_t kMaxWorkers = 2'000;
constexpr double kMicrosPerSecond = 1e6;

} // namespace

void
PrefillRate::Samples::Add(double aTime, std::size_t aCapacity)
{
  if (m_times.size() < aCapacity) {
    m_times.push_back(static_cast<float>(aTime));
    return;
  }
  m_times[m_next] = static_cast<float>(aTime);
  m_next = (m_next + 1) % aCapacity;
}

double
PrefillRate::Samples::LowQuantile() const
{
  std::vector<float> times = m_times;
  const auto place = static_cast<std::ptrdiff_t>(
    kQuantile * static_cast<double>(times.size() - 1));
  std::nth_element(times.begin(), times.begin() + place, times.end());
  return std::max(1e-3, static_cast<double>(times[place]));
}

void
PrefillRate::OnFirstEvent(const std::string& aWorker,
                          std::int64_t aTokens,
                          std::int64_t aTokensAhead,
                          Duration aTime)
{
  const bool isBehind = aTokensAhead * kMaxAheadDivisor > aTokens;
  if (aTokens < kMinTokens || (isBehind && m_tokensPerSecond > 0)) {
    return;
  }
  const double time =
    static_cast<double>(aTime.count()) / static_cast<double>(aTokens);
  m_samples.Add(time, kPoolSamples);
  if (m_samples.m_times.size() >= kMinPoolSamples) {
    m_tokensPerSecond = kMicrosPerSecond / m_samples.LowQuantile();
  }
  if (m_workers.size() >= kMaxWorkers) {
    m_workers.clear();
  }
  Worker& worker = m_workers[aWorker];
  worker.m_samples.Add(time, kWorkerSamples);
  if (worker.m_samples.m_times.size() >= kMinWorkerSamples) {
    worker.m_tokensPerSecond =
      kMicrosPerSecond / worker.m_samples.LowQuantile();
  }
}

double
PrefillRate::TokensPerSecond(const std::string& aWorker) const
{
  const auto found = m_workers.find(aWorker);
  if (found == m_workers.end() || found->second.m_tokensPerSecond <= 0) {
    return m_tokensPerSecond;
  }
  return std::clamp(found->second.m_tokensPerSecond,
                    m_tokensPerSecond / kMaxWorkerFactor,
                    m_tokensPerSecond * kMaxWorkerFactor);
}

} // namespace fulmarquay
