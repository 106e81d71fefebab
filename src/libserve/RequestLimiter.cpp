#include "fulmarquay/serve/RequestLimiter.h"

#include "fulmarquay/cache/Rendezvous.h"
#include "fulmarquay/core/Digest.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace fulmarquay {

namespace {

/// Share of a limit that all entries without a leader may use together, beside
/// the shares that a leader may have given to others. Workers tolerate half as
/// much again as they state.
constexpr double kLeaderlessShare = 0.25;
/// Interval of reports while a statement is not known to the leader.
constexpr Duration kNewsInterval(100'000);
/// Interval of reports that renew shares: four in their lease.
constexpr Duration kRenewInterval(500'000);
/// Time constant of the decaying counts of requests.
constexpr double kRateWindowUs = 3e6;
constexpr double kMicrosPerSecond = 1e6;
/// Time in which a worker that was cold gets its usual requests back.
constexpr Duration kWarmUpTime(2'000'000);
/// For how long a worker may be cold in a pool that does not state it.
constexpr Duration kDefaultColdTime(10'000'000);
/// A list is at most this old when it comes. An entry whose shares ended this
/// long ago gets none.
constexpr Duration kMaxListAge(3'000'000);

/// A new bucket is filled to a part that differs between entries and workers,
/// so that not all entries send at the same time.
double
InitialTokens(std::uint64_t aSeed)
{
  constexpr std::uint64_t kSteps = 1'000;
  return static_cast<double>(aSeed % kSteps) / kSteps;
}

} // namespace

RequestLimiter::RequestLimiter(VmId aSelf)
  : m_self(std::move(aSelf))
{
}

void
RequestLimiter::OnRoutes(const RouteDocument& aDocument)
{
  m_coldRules.clear();
  for (const auto& [name, pool] : aDocument.m_pools) {
    if (pool.m_coldRequestsPerSecond > 0) {
      m_coldRules[PoolId(name)] = { pool.m_coldRequestsPerSecond,
                                    pool.m_coldStartUs > 0
                                      ? Duration(pool.m_coldStartUs)
                                      : kDefaultColdTime };
    }
  }
}

void
RequestLimiter::OnList(TimePoint aNow, const std::vector<WorkerInfo>& aListed)
{
  m_listedAt = aNow;
  std::map<WorkerId, ColdWorker> cold;
  for (const WorkerInfo& worker : aListed) {
    const auto before = m_cold.find(worker.m_id);
    if (worker.m_isCold) {
      cold[worker.m_id] = { worker.m_createdMs, worker.m_pool };
      m_warmSince.erase(worker.m_id);
    } else if (before != m_cold.end() &&
               before->second.m_createdMs == worker.m_createdMs) {
      m_warmSince[worker.m_id] = aNow;
    }
  }
  m_cold = std::move(cold);
  std::erase_if(m_warmSince, [&](const auto& aEach) {
    return aNow >= aEach.second + kWarmUpTime;
  });
  m_restarts.Expire(aListed);
  m_limits.Expire(aNow, aListed);
  std::erase_if(m_buckets, [&](const auto& aEach) {
    return m_limits.All().count(aEach.first) == 0 &&
           m_cold.count(aEach.first) == 0;
  });
}

bool
RequestLimiter::OnFailure(TimePoint aNow,
                          const WorkerInfo& aWorker,
                          TimePoint aRanAt)
{
  return HasColdLimit(aWorker.m_pool) &&
         m_restarts.OnFailure(aNow, aWorker, aRanAt);
}

bool
RequestLimiter::OnRestartReported(TimePoint aNow,
                                  const WorkerInfo& aWorker,
                                  const Restart& aReport)
{
  return HasColdLimit(aWorker.m_pool) &&
         aReport.m_createdMs == aWorker.m_createdMs &&
         m_restarts.OnReport(aNow, aWorker, aReport);
}

void
RequestLimiter::OnTick(TimePoint aNow)
{
  if (m_restarts.Count() == 0 || aNow < m_validUntil + kMaxListAge) {
    return;
  }
  // No list comes: after this time, the workers are warm.
  Duration longest(0);
  for (const auto& [pool, rule] : m_coldRules) {
    longest = std::max(longest, rule.m_coldTime);
  }
  m_restarts.ClearBefore(aNow - longest - kMaxListAge);
}

std::size_t
RequestLimiter::ColdCount() const
{
  return static_cast<std::size_t>(
    std::count_if(m_cold.begin(), m_cold.end(), [&](const auto& aEach) {
      return HasColdLimit(aEach.second.m_pool);
    }));
}

void
RequestLimiter::OnListRead(TimePoint aNow, TimePoint aReadAt)
{
  for (const WorkerId& worker : m_restarts.OnListRead(aReadAt)) {
    if (m_cold.count(worker) == 0) {
      m_warmSince[worker] = aNow;
    }
  }
}

double
RequestLimiter::WarmUpShare(TimePoint aNow, const WorkerInfo& aWorker) const
{
  const auto since = m_warmSince.find(aWorker.m_id);
  if (since == m_warmSince.end() || !HasColdLimit(aWorker.m_pool) ||
      aNow >= since->second + kWarmUpTime) {
    return 1;
  }
  const double part = static_cast<double>((aNow - since->second).count()) /
                      static_cast<double>(kWarmUpTime.count());
  return part * part;
}

bool
RequestLimiter::IsListExpired(TimePoint aNow, const ColdRule& aRule) const
{
  const TimePoint confirmedAt =
    std::max(m_listedAt, m_validUntil - kLimitShareLease);
  return aNow >= m_validUntil + kMaxListAge &&
         aNow >= confirmedAt + aRule.m_coldTime + kMaxListAge;
}

std::optional<RequestLimit>
RequestLimiter::LimitInForce(TimePoint aNow, const WorkerInfo& aWorker) const
{
  const auto rule = m_coldRules.find(aWorker.m_pool);
  const bool isCold = aWorker.m_isCold && rule != m_coldRules.end() &&
                      !IsListExpired(aNow, rule->second);
  return CombineLimits(LimitOf(aWorker),
                       isCold ? std::optional(rule->second.m_perSecond)
                              : std::nullopt);
}

bool
RequestLimiter::OnStated(TimePoint aNow,
                         TimePoint aStatedAt,
                         const WorkerInfo& aWorker,
                         std::optional<double> aPerSecond)
{
  const bool isChanged =
    m_limits.Update(aWorker.m_id, aWorker.m_createdMs, aPerSecond, aStatedAt);
  if (const auto limit = LimitInForce(aNow, aWorker); isChanged && limit) {
    BucketOf(aNow, aWorker, *limit);
  }
  return isChanged;
}

std::vector<WorkerId>
RequestLimiter::OnPush(TimePoint aNow, const LimitPush& aPush)
{
  std::vector<WorkerId> changed;
  if (aPush.m_number <= m_lastPush) {
    return changed;
  }
  m_lastPush = aPush.m_number;
  m_leaderLimits.clear();
  for (const LimitStatement& stated : aPush.m_limits) {
    const WorkerId worker(stated.m_worker);
    m_leaderLimits[worker] = stated;
    const bool isChanged = m_limits.Update(
      worker,
      stated.m_createdMs,
      stated.m_isLimited ? std::optional<double>(stated.m_perSecond)
                         : std::nullopt,
      TimePoint(Duration(stated.m_statedAtUs)));
    if (isChanged) {
      changed.push_back(worker);
    }
  }
  DropExpiredShares(aNow);
  std::map<WorkerId, Share> shares;
  for (const LimitShare& share : aPush.m_shares) {
    shares[WorkerId(share.m_worker)] = { share.m_createdMs,
                                         share.m_share,
                                         share.m_burst };
  }
  m_mustConfirm = m_mustConfirm || shares != m_shares;
  m_shares = std::move(shares);
  m_held = aPush.m_number;
  return changed;
}

void
RequestLimiter::OnConfirmed(TimePoint aValidUntil, std::uint32_t aEntryCount)
{
  m_validUntil = aValidUntil;
  m_entryCount = std::max<std::uint32_t>(1, aEntryCount);
}

void
RequestLimiter::OnRequest(TimePoint aNow, const PoolId& aPool)
{
  RequestCount& requests = m_requests[aPool];
  requests.m_count = requests.CountAt(aNow) + 1;
  requests.m_at = aNow;
}

double
RequestLimiter::RequestCount::CountAt(TimePoint aNow) const
{
  return m_count *
         std::exp(-static_cast<double>((aNow - m_at).count()) / kRateWindowUs);
}

double
RequestLimiter::PerSecond(TimePoint aNow,
                          const WorkerInfo& aWorker,
                          const RequestLimit& aLimit) const
{
  if (!HasValidShares(aNow)) {
    // Entries without a leader may have saved up a request each, which is more
    // than a cold worker tolerates in a second.
    return aLimit.m_isCold
             ? 0
             : aLimit.m_perSecond * kLeaderlessShare / m_entryCount;
  }
  const Share* share = ShareOf(aWorker);
  return share == nullptr ? 0 : aLimit.m_perSecond * share->m_share;
}

const RequestLimiter::Share*
RequestLimiter::ShareOf(const WorkerInfo& aWorker) const
{
  const auto share = m_shares.find(aWorker.m_id);
  const bool isCurrent =
    share != m_shares.end() && share->second.m_createdMs == aWorker.m_createdMs;
  return isCurrent ? &share->second : nullptr;
}

double
RequestLimiter::BurstOf(TimePoint aNow,
                        const WorkerInfo& aWorker,
                        const RequestLimit& aLimit) const
{
  const Share* share = HasValidShares(aNow) ? ShareOf(aWorker) : nullptr;
  return share == nullptr || aLimit.m_isCold ? 1 : share->m_burst;
}

RequestLimiter::Bucket&
RequestLimiter::BucketOf(TimePoint aNow,
                         const WorkerInfo& aWorker,
                         const RequestLimit& aLimit)
{
  const double perSecond = PerSecond(aNow, aWorker, aLimit);
  const double burst = BurstOf(aNow, aWorker, aLimit);
  const std::uint64_t seed =
    RendezvousWeight(m_self.Value(), Checksum64(aWorker.m_id.Value()));
  const double initial = InitialTokens(seed);
  const auto known = m_buckets.find(aWorker.m_id);
  if (known != m_buckets.end() &&
      known->second.m_createdMs == aWorker.m_createdMs) {
    Bucket& bucket = known->second;
    if (bucket.m_perSecond != perSecond || bucket.m_burst != burst) {
      if (aLimit.m_isCold && bucket.m_perSecond <= 0) {
        bucket.m_tokens.Take(
          aNow, std::max(0.0, bucket.m_tokens.Level(aNow) - initial));
      }
      bucket.m_perSecond = perSecond;
      bucket.m_burst = burst;
      bucket.m_tokens.SetRate(aNow, perSecond, burst);
    }
    return bucket;
  }
  Bucket bucket{
    aWorker.m_createdMs, perSecond, burst, TokenBucket(perSecond, burst, aNow)
  };
  bucket.m_tokens.Take(aNow, burst - initial);
  return m_buckets.insert_or_assign(aWorker.m_id, bucket).first->second;
}

std::optional<double>
RequestLimiter::Allowance(TimePoint aNow, const WorkerInfo& aWorker)
{
  if (m_restarts.IsExcluded(aWorker)) {
    return 0;
  }
  const auto limit = LimitInForce(aNow, aWorker);
  if (!limit) {
    return std::nullopt;
  }
  Bucket& bucket = BucketOf(aNow, aWorker, *limit);
  // What was saved up for a cold worker under a share is lost with it.
  const bool isLost = limit->m_isCold && bucket.m_perSecond <= 0;
  return isLost ? 0 : bucket.m_tokens.Level(aNow);
}

void
RequestLimiter::OnSent(TimePoint aNow, const WorkerInfo& aWorker)
{
  if (const auto limit = LimitInForce(aNow, aWorker)) {
    BucketOf(aNow, aWorker, *limit).m_tokens.Take(aNow, 1);
  }
}

void
RequestLimiter::OnNotSent(const WorkerInfo& aWorker)
{
  const auto known = m_buckets.find(aWorker.m_id);
  if (known != m_buckets.end() &&
      known->second.m_createdMs == aWorker.m_createdMs) {
    known->second.m_tokens.Refund(1);
  }
}

std::optional<double>
RequestLimiter::RateOf(TimePoint aNow, const WorkerInfo& aWorker) const
{
  if (m_restarts.IsExcluded(aWorker)) {
    return 0;
  }
  const auto limit = LimitInForce(aNow, aWorker);
  if (!limit) {
    return std::nullopt;
  }
  if (limit->m_isCold) {
    return PerSecond(aNow, aWorker, *limit);
  }
  const auto divided = m_leaderLimits.find(aWorker.m_id);
  const bool isDivided = divided != m_leaderLimits.end() &&
                         divided->second.m_isLimited &&
                         divided->second.m_createdMs == aWorker.m_createdMs;
  if (HasValidShares(aNow) && !isDivided) {
    return std::nullopt;
  }
  return PerSecond(aNow, aWorker, *limit);
}

std::vector<LimitStatement>
RequestLimiter::UnreportedStatements() const
{
  std::vector<LimitStatement> unreported;
  for (const auto& [worker, own] : m_limits.All()) {
    const auto reported = m_leaderLimits.find(worker);
    const bool isKnown = reported != m_leaderLimits.end();
    const std::int64_t createdMs = isKnown ? reported->second.m_createdMs : 0;
    const std::optional<double> limit =
      isKnown && reported->second.m_isLimited
        ? std::optional<double>(reported->second.m_perSecond)
        : std::nullopt;
    const bool isSame = limit == own.m_perSecond &&
                        (!own.m_perSecond || createdMs == own.m_createdMs);
    if (!isSame) {
      unreported.push_back({ worker.Value(),
                             own.m_createdMs,
                             own.m_perSecond.has_value(),
                             own.m_perSecond.value_or(0),
                             own.m_at.time_since_epoch().count() });
    }
  }
  return unreported;
}

bool
RequestLimiter::IsReportDue(TimePoint aNow) const
{
  return m_mustConfirm ||
         ((!m_shares.empty() || m_restarts.Count() > 0) &&
          aNow >= m_reportedAt + kRenewInterval) ||
         (aNow >= m_reportedAt + kNewsInterval &&
          !UnreportedStatements().empty());
}

void
RequestLimiter::DropExpiredShares(TimePoint aNow)
{
  if (!HasValidShares(aNow) && !m_shares.empty()) {
    // The leader may have given them to other entries.
    m_shares.clear();
    m_held = 0;
  }
}

LimitReport
RequestLimiter::MakeReport(TimePoint aNow)
{
  // An entry without shares sends heartbeats less often than a lease lasts:
  // shares that have just come are in use once this report is answered. A cold
  // time is too short to get them with the next push.
  const bool hasNewColdShares =
    m_mustConfirm &&
    std::any_of(m_shares.begin(), m_shares.end(), [&](const auto& aEach) {
      return m_cold.count(aEach.first) != 0;
    });
  if (!hasNewColdShares) {
    DropExpiredShares(aNow);
  }
  m_mustConfirm = false;
  m_reportedAt = aNow;
  LimitReport report;
  report.m_held = m_held;
  report.m_statements = UnreportedStatements();
  for (const auto& [worker, share] : m_shares) {
    report.m_shares.push_back(
      { worker.Value(), share.m_createdMs, share.m_share, share.m_burst });
  }
  for (const auto& [pool, requests] : m_requests) {
    report.m_requestsPerSecond[pool.Value()] =
      requests.CountAt(aNow) / (kRateWindowUs / kMicrosPerSecond);
  }
  return report;
}

std::size_t
RequestLimiter::LimitedCount() const
{
  const auto& all = m_limits.All();
  const auto stated =
    std::count_if(all.begin(), all.end(), [](const auto& aEach) {
      return aEach.second.m_perSecond.has_value();
    });
  return static_cast<std::size_t>(stated) + ColdCount();
}

} // namespace fulmarquay
