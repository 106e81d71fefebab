#include "fulmarquay/serve/AdmissionQueue.h"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace fulmarquay {

namespace {

/// The rate at which tokens are sent is their sum, decaying over this time:
/// long against single prompts, short against a change of the load.
constexpr double kRateMicros = 2e6;
/// Below this many items nothing is refused: the rate says too little yet.
constexpr std::size_t kFewItems = 8;
/// How much sooner an end must be to go before one rank: the ranks of a
/// service give way to each other by less than the times that are wanted, so
/// that a large prompt of a late rank is not passed for good.
constexpr Duration kRankStep(100'000);
/// Callers who were refused come back no sooner and no later than this.
constexpr Duration kLeastRetry(100'000);
constexpr Duration kMostRetry(2'000'000);

} // namespace

void
AdmissionQueue::OnSent(TimePoint aNow, std::int64_t aTokens)
{
  const auto passed = static_cast<double>((aNow - m_sentAt).count());
  m_sentTokens *= std::exp(-passed / kRateMicros);
  m_sentTokens += static_cast<double>(aTokens);
  m_sentAt = aNow;
}

Duration
AdmissionQueue::WaitFor(TimePoint aNow, const Item& aItem) const
{
  double ahead = 0;
  for (const auto& [caller, item] : m_items) {
    const bool isAhead = item.m_rank < aItem.m_rank ||
                         (item.m_rank == aItem.m_rank && item.m_due > aNow);
    ahead += isAhead ? static_cast<double>(item.m_tokens) : 0;
  }
  const auto passed = static_cast<double>((aNow - m_sentAt).count());
  const double rate = m_sentTokens * std::exp(-passed / kRateMicros);
  // Tokens of the decaying sum left within its time.
  return Duration(
    static_cast<std::int64_t>(ahead / std::max(1.0, rate) * kRateMicros));
}

std::optional<Duration>
AdmissionQueue::Push(TimePoint aNow, const Item& aItem)
{
  if (m_items.size() >= kFewItems) {
    const Duration wait = WaitFor(aNow, aItem);
    if (aNow + wait > aItem.m_due) {
      return std::clamp(wait / 2, kLeastRetry, kMostRetry);
    }
  }
  m_items[aItem.m_caller] = aItem;
  return std::nullopt;
}

void
AdmissionQueue::Remove(CallerId aCaller)
{
  m_items.erase(aCaller);
}

std::optional<AdmissionQueue::Item>
AdmissionQueue::Next(TimePoint aNow) const
{
  const auto order = [&](const Item& aItem) {
    const bool isLate = aItem.m_wanted <= aNow;
    return std::make_tuple(
      isLate, aItem.m_wanted + kRankStep * aItem.m_rank, aItem.m_caller);
  };
  const auto next = std::min_element(
    m_items.begin(), m_items.end(), [&](const auto& aLeft, const auto& aRight) {
      return order(aLeft.second) < order(aRight.second);
    });
  return next == m_items.end() ? std::nullopt
                               : std::optional<Item>(next->second);
}

} // namespace fulmarquay
