#include "fulmarquay/pool/PoolAdmission.h"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace fulmarquay {

namespace {

/// Time constant of the decaying sums of sent tokens, which give send rates:
/// long compared with single prompts, short compared with load changes.
constexpr Duration kRateWindow(2'000'000);
constexpr double kRateWindowUs = 2e6;
/// Age of the reported loads in large deployments.
constexpr Duration kReportAge(100'000);
/// Without a learned rate, nothing is refused with fewer items queued, because
/// the measured rate is not yet reliable.
constexpr std::size_t kMinItemsToRefuse = 8;
/// Part of the target latency for waiting and reading at the worker. The rest
/// is for the time until the request is sent and for outdated loads.
constexpr double kOwnPart = 0.6;
/// Part that each prompt may wait at a worker, also if reading it takes most of
/// the target.
constexpr double kLeastPart = 0.2;
/// Part of the shortest target of more urgent requests that less urgent ones
/// may occupy a worker for, and its ratio between two priorities.
constexpr double kLowerPart = 0.4;
constexpr double kLowerRatio = 0.7;
/// While the pool is overloaded, the budget of an account that was sent more
/// than others.
constexpr double kHeavyPart = 0.6;
constexpr double kHeavyRatio = 1.5;
/// For this long, requests of a priority are expected to go on arriving.
constexpr Duration kKindMemory(3'000'000);
constexpr Duration kOverloadMemory(2'000'000);
/// A backlog below this part of the target is small.
constexpr double kSmallBacklogPart = 0.25;
/// Part of the entry's share of the pool that is assumed to be left by more
/// urgent requests at least.
constexpr double kMinShare = 0.05;
/// Cost of a prompt that is cached as a whole.
constexpr std::int64_t kMinTokens = 100;
/// Bounds of the Retry-After of refused requests.
constexpr Duration kMinRetryAfter(100'000);
constexpr Duration kMaxRetryAfter(2'000'000);
constexpr std::size_t kMaxAccounts = 1'000;
constexpr double kMicrosPerSecond = 1e6;
constexpr double kMaxTimeUs = 60e6;

Duration
Part(Duration aTime, double aPart)
{
  return Duration(
    static_cast<std::int64_t>(static_cast<double>(aTime.count()) * aPart));
}

Duration
TimeFor(double aTokens, double aTokensPerSecond)
{
  const double us =
    aTokens / std::max(1.0, aTokensPerSecond) * kMicrosPerSecond;
  return Duration(static_cast<std::int64_t>(std::min(us, kMaxTimeUs)));
}

double
Cost(const PoolAdmission::Item& aItem)
{
  return static_cast<double>(std::max(kMinTokens, aItem.m_tokens));
}

} // namespace

Duration
PoolAdmission::Pool::TimeOf(double aTokens) const
{
  return m_tokensPerSecond <= 0 ? Duration(0)
                                : TimeFor(aTokens, m_tokensPerSecond);
}

double
PoolAdmission::DecayingSum::At(TimePoint aNow, Duration aWindow) const
{
  const auto elapsedUs = static_cast<double>((aNow - m_at).count());
  return m_sum * std::exp(-elapsedUs / static_cast<double>(aWindow.count()));
}

void
PoolAdmission::DecayingSum::Add(TimePoint aNow,
                                double aAmount,
                                Duration aWindow)
{
  m_sum = At(aNow, aWindow) + aAmount;
  m_at = aNow;
}

void
PoolAdmission::OnRequest(TimePoint aNow,
                         std::int64_t aPriority,
                         Duration aTarget)
{
  Kind& kind = m_kinds[aPriority];
  const bool isOld = kind.m_seenAt + kKindMemory < aNow;
  if (isOld || aTarget <= kind.m_target) {
    kind.m_target = aTarget;
  } else {
    // A target that is not seen again must not count for ever.
    kind.m_target += (aTarget - kind.m_target) / 32;
  }
  kind.m_seenAt = aNow;
}

double
PoolAdmission::SentOf(TimePoint aNow, const std::string& aAccount) const
{
  const auto found = m_sentByAccount.find(aAccount);
  return found == m_sentByAccount.end() ? 0
                                        : found->second.At(aNow, kRateWindow);
}

bool
PoolAdmission::IsHeavy(TimePoint aNow, const std::string& aAccount) const
{
  const double own = SentOf(aNow, aAccount);
  double all = 0;
  double accounts = 0;
  for (const auto& [account, sent] : m_sentByAccount) {
    const double tokens = sent.At(aNow, kRateWindow);
    all += tokens;
    accounts += tokens >= kMinTokens ? 1 : 0;
  }
  return accounts > 1 && own * accounts > all * kHeavyRatio;
}

PrefillBudget
PoolAdmission::Budget(TimePoint aNow,
                      std::int64_t aPriority,
                      const std::string& aAccount,
                      Duration aTarget,
                      const Pool& aPool) const
{
  const double part =
    IsOverloaded(aNow) && IsHeavy(aNow, aAccount) ? kHeavyPart : 1;
  PrefillBudget budget;
  budget.m_withPrompt = Part(aTarget, kOwnPart * part);
  budget.m_least = Part(aTarget, kLeastPart * part);
  double lowerPart = kLowerPart * part;
  Duration shortest = Duration::max();
  for (auto kind = m_kinds.rbegin(); kind != m_kinds.rend(); ++kind) {
    const bool isMoreUrgent = kind->first < aPriority;
    if (isMoreUrgent && kind->second.m_seenAt + kKindMemory >= aNow) {
      shortest = std::min(shortest, kind->second.m_target);
      budget.m_pending = Part(shortest, lowerPart);
      lowerPart *= kLowerRatio;
    }
  }
  const Duration unreported = Unreported(aNow, aPool);
  for (Duration* limit :
       { &budget.m_pending, &budget.m_withPrompt, &budget.m_least }) {
    *limit = std::max(Duration(0), *limit - unreported);
  }
  return budget;
}

Duration
PoolAdmission::Unreported(TimePoint aNow, const Pool& aPool) const
{
  if (aPool.m_workers <= 0 || aPool.m_entries <= 1) {
    return Duration(0);
  }
  // Callers are spread evenly over the entries, so the others send as much as
  // this one when room appears. What the engines read meanwhile is subtracted.
  const double others = (aPool.m_entries - 1) / aPool.m_entries;
  const Duration sent =
    aPool.TimeOf(m_lastSent.At(aNow, kReportAge) * others / aPool.m_workers);
  return std::max(Duration(0), sent - Part(kReportAge, others));
}

void
PoolAdmission::OnSent(TimePoint aNow,
                      std::int64_t aTokens,
                      std::int64_t aPriority,
                      const std::string& aAccount)
{
  const auto tokens = static_cast<double>(std::max(kMinTokens, aTokens));
  m_kinds[aPriority].m_hopelessAt = TimePoint();
  m_lastSent.Add(aNow, tokens, kReportAge);
  m_sentTokens[aPriority].Add(aNow, tokens, kRateWindow);
  if (m_sentByAccount.size() >= kMaxAccounts) {
    std::erase_if(m_sentByAccount, [&](const auto& aEach) {
      return aEach.second.At(aNow, kRateWindow) < kMinTokens;
    });
  }
  if (m_sentByAccount.size() < 2 * kMaxAccounts) {
    m_sentByAccount[aAccount].Add(aNow, tokens, kRateWindow);
  }
}

double
PoolAdmission::DrainRate(TimePoint aNow,
                         std::int64_t aPriority,
                         const Pool& aPool) const
{
  double before = 0;
  double drained = 0;
  for (const auto& [priority, sent] : m_sentTokens) {
    const double rate =
      sent.At(aNow, kRateWindow) / kRateWindowUs * kMicrosPerSecond;
    (priority < aPriority ? before : drained) += rate;
  }
  // Without earlier demand of this priority, the measured rate says nothing.
  const double share = aPool.m_tokensPerSecond * aPool.m_workers;
  if (share <= 0) {
    return before + drained;
  }
  return std::max({ drained, share - before, share * kMinShare });
}

double
PoolAdmission::TokensAhead(TimePoint aNow, const Item& aItem) const
{
  double ahead = 0;
  double ownAccount = 0;
  std::unordered_map<std::string_view, double> others;
  for (const auto& [caller, item] : m_items) {
    if (item.m_expiresAt <= aNow || item.m_priority > aItem.m_priority) {
      continue;
    }
    if (item.m_priority < aItem.m_priority) {
      ahead += Cost(item);
    } else if (item.m_account == aItem.m_account) {
      ownAccount += Cost(item);
    } else {
      others[item.m_account] += Cost(item);
    }
  }
  // Of the other accounts, only as much goes before as this one gets.
  const double ownSent = SentOf(aNow, aItem.m_account);
  ahead += ownAccount;
  for (const auto& [account, tokens] : others) {
    const double lead = ownSent - SentOf(aNow, std::string(account));
    ahead += std::min(tokens, std::max(0.0, ownAccount + Cost(aItem) + lead));
  }
  return ahead;
}

std::optional<Duration>
PoolAdmission::Push(TimePoint aNow,
                    const Item& aItem,
                    const Pool& aPool,
                    double aSpread)
{
  const bool isKnown = aPool.m_tokensPerSecond > 0;
  const Duration wait =
    TimeFor(TokensAhead(aNow, aItem), DrainRate(aNow, aItem.m_priority, aPool));
  const Duration own = aPool.TimeOf(static_cast<double>(aItem.m_tokens));
  const TimePoint first = aNow + wait + own;
  const bool isLate =
    isKnown && first > aItem.m_targetAt &&
    (!m_items.empty() || aNow + aPool.Backlog() + own > aItem.m_targetAt);
  const bool isExpired = (isKnown || m_items.size() >= kMinItemsToRefuse) &&
                         first > aItem.m_expiresAt;
  if (isLate || isExpired || (isKnown && IsVain(aNow, aItem.m_priority))) {
    m_refusedAt = aNow;
    return RetryAfter(aNow, aPool, aSpread);
  }
  m_items[aItem.m_caller] = aItem;
  return std::nullopt;
}

void
PoolAdmission::OnHopeless(TimePoint aNow, std::int64_t aPriority)
{
  m_refusedAt = aNow;
  m_kinds[aPriority].m_hopelessAt = aNow;
}

bool
PoolAdmission::IsVain(TimePoint aNow, std::int64_t aPriority) const
{
  const auto kind = m_kinds.find(aPriority);
  const bool isVain = kind != m_kinds.end() &&
                      kind->second.m_hopelessAt != TimePoint() &&
                      kind->second.m_hopelessAt + kOverloadMemory > aNow;
  return isVain && CountAhead(aPriority) > 0;
}

void
PoolAdmission::Remove(CallerId aCaller)
{
  m_items.erase(aCaller);
}

Duration
PoolAdmission::RetryAfter(TimePoint aNow,
                          const Pool& aPool,
                          double aSpread) const
{
  double waiting = 0;
  for (const auto& [caller, item] : m_items) {
    waiting += Cost(item);
  }
  const Duration drain =
    aPool.Backlog() +
    (waiting > 0 ? TimeFor(waiting, DrainRate(aNow, 0, aPool)) : Duration(0));
  return Part(std::clamp(drain, kMinRetryAfter, kMaxRetryAfter), 1 + aSpread);
}

std::vector<CallerId>
PoolAdmission::Hopeless(TimePoint aNow, const Pool& aPool) const
{
  std::vector<CallerId> late;
  if (aPool.m_tokensPerSecond <= 0) {
    return late;
  }
  for (const auto& [caller, item] : m_items) {
    const Duration own = aPool.TimeOf(static_cast<double>(item.m_tokens));
    if (aNow + own > item.m_targetAt) {
      late.push_back(caller);
    }
  }
  const bool mayWait =
    late.size() == m_items.size() &&
    std::all_of(late.begin(), late.end(), [&](CallerId aCaller) {
      const Item& item = m_items.at(aCaller);
      return aPool.Backlog() <
             Part(item.m_expiresAt - item.m_targetAt, kSmallBacklogPart);
    });
  return mayWait ? std::vector<CallerId>() : late;
}

bool
PoolAdmission::IsOverloaded(TimePoint aNow) const
{
  return m_refusedAt != TimePoint() && m_refusedAt + kOverloadMemory > aNow;
}

bool
PoolAdmission::HasAhead(TimePoint aNow, std::int64_t aPriority) const
{
  return std::any_of(m_items.begin(), m_items.end(), [&](const auto& aEach) {
    return aEach.second.m_priority <= aPriority &&
           aEach.second.m_targetAt > aNow;
  });
}

std::size_t
PoolAdmission::CountAhead(std::int64_t aPriority) const
{
  return static_cast<std::size_t>(
    std::count_if(m_items.begin(), m_items.end(), [&](const auto& aEach) {
      return aEach.second.m_priority <= aPriority;
    }));
}

std::optional<PoolAdmission::Item>
PoolAdmission::LastBehind(std::int64_t aPriority) const
{
  const auto order = [](const Item& aItem) {
    return std::make_tuple(aItem.m_priority, aItem.m_targetAt, aItem.m_caller);
  };
  const auto last = std::max_element(
    m_items.begin(), m_items.end(), [&](const auto& aLeft, const auto& aRight) {
      return order(aLeft.second) < order(aRight.second);
    });
  const bool isBehind =
    last != m_items.end() && last->second.m_priority > aPriority;
  return isBehind ? std::optional<Item>(last->second) : std::nullopt;
}

std::optional<PoolAdmission::Item>
PoolAdmission::Next(TimePoint aNow) const
{
  const auto order = [&](const Item& aItem) {
    const bool isLate = aItem.m_targetAt <= aNow;
    return std::make_tuple(isLate,
                           aItem.m_priority,
                           SentOf(aNow, aItem.m_account),
                           aItem.m_targetAt,
                           aItem.m_caller);
  };
  const Item* next = nullptr;
  for (const auto& [caller, item] : m_items) {
    if (next == nullptr || order(item) < order(*next)) {
      next = &item;
    }
  }
  return next == nullptr ? std::nullopt : std::optional<Item>(*next);
}

} // namespace fulmarquay
