#include "fulmarquay/control/LimitManager.h"

#include "fulmarquay/cache/Rendezvous.h"
#include "fulmarquay/control/EntryRegistry.h"
#include "fulmarquay/control/FleetManager.h"
#include "fulmarquay/core/Digest.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace fulmarquay {

namespace {

/// Interval of pushes after changes: bounds the traffic while limits change
/// often.
constexpr Duration kReviewInterval(100'000);
/// Interval of divisions, which follow the reported demand.
constexpr Duration kDivisionInterval(1'000'000);
constexpr Duration kPushRetryInterval(1'000'000);
/// An entry uses nearly all of a share when its requests are this many times
/// as frequent.
constexpr double kDemandPerShare = 4;
/// An entry with a share counts for less at the next worker: its requests minus
/// this many times the rate of the share, but for a part of them at least.
constexpr double kDemandUsedPerShare = 2;
constexpr double kMinDemandLeft = 0.1;
/// Requests above its limit that a worker may get in a few seconds because
/// entries have saved them up.
constexpr double kMaxSavedRequests = 4;
/// Saving more does not help an entry that has the requests for its share.
constexpr double kMaxSavedByEntry = 2;
/// A cold worker tolerates half of its rate and five requests beyond its rate
/// in any second. Entries save up one request each; this many of them leave a
/// part of that for requests that arrive closer together than they were sent.
constexpr double kColdHolderRate = 0.4;
constexpr double kColdHolders = 3.5;
/// A division is kept while a new one would not use this much more.
constexpr double kMinImprovement = 0.25;
/// The bits below the term count the pushes of that term.
constexpr unsigned kTermShiftBits = 32;
/// An offset measured long ago is outdated by the drift of clocks.
constexpr double kMaxClockDrift = 1e-4;

/// The share of a worker's limit that entries with this demand use.
double
UsableShare(const std::map<VmId, double>& aShares,
            const std::map<VmId, double>& aDemand,
            double aPerSecond)
{
  double usable = 0;
  for (const auto& [entry, share] : aShares) {
    const auto demand = aDemand.find(entry);
    if (demand != aDemand.end()) {
      usable += std::min(share, demand->second / aPerSecond);
    }
  }
  return usable;
}

/// Whether shares add up to the whole limit.
bool
IsWhole(const std::map<VmId, double>& aShares)
{
  constexpr double kRounding = 0.01;
  double total = 0;
  for (const auto& [entry, share] : aShares) {
    total += share;
  }
  return total > 1 - kRounding;
}

/// The most entries that may have a share.
std::size_t
MaxHolders(const RequestLimit& aLimit)
{
  const double holders = aLimit.m_isCold
                           ? aLimit.m_perSecond * kColdHolderRate + kColdHolders
                           : aLimit.m_perSecond + kMaxSavedRequests;
  return static_cast<std::size_t>(std::floor(holders));
}

/// Shares of a limit for the entries with the most demand: as few as can use
/// it, and not more than the saved requests allow.
std::map<VmId, double>
ChooseShares(const WorkerInfo& aWorker,
             const RequestLimit& aLimit,
             const std::map<VmId, double>& aDemand)
{
  const double perSecond = aLimit.m_perSecond;
  struct Candidate
  {
    double m_demand;
    std::uint64_t m_weight; ///< spreads workers over entries of equal demand
    VmId m_entry;
  };
  std::vector<Candidate> candidates;
  for (const auto& [entry, demand] : aDemand) {
    if (demand > 0) {
      candidates.push_back(
        { demand,
          RendezvousWeight(entry.Value(), Checksum64(aWorker.m_id.Value())),
          entry });
    }
  }
  const std::size_t count = std::min(MaxHolders(aLimit), candidates.size());
  std::partial_sort(candidates.begin(),
                    candidates.begin() + static_cast<std::ptrdiff_t>(count),
                    candidates.end(),
                    [](const Candidate& aLeft, const Candidate& aRight) {
                      return std::tie(aLeft.m_demand, aLeft.m_weight) >
                             std::tie(aRight.m_demand, aRight.m_weight);
                    });
  candidates.resize(count);
  double total = 0;
  std::size_t used = 0;
  while (used < count && total < kDemandPerShare * perSecond) {
    total += candidates[used++].m_demand;
  }
  // Equal shares, but none above the entry's requests: the fewest come first.
  double left = 1;
  std::map<VmId, double> shares;
  for (std::size_t i = used; i > 0; --i) {
    const Candidate& each = candidates[i - 1];
    const double share =
      std::min(left / static_cast<double>(i), each.m_demand / perSecond);
    shares[each.m_entry] = share;
    left -= share;
  }
  for (auto& [entry, share] : shares) {
    share /= 1 - left;
  }
  return shares;
}

/// What a worker tolerates because it is cold; no value: any number.
std::optional<double>
ColdRate(const WorkerInfo& aWorker, const RouteDocument& aDocument)
{
  if (!aWorker.m_isCold) {
    return std::nullopt;
  }
  const auto pool = aDocument.m_pools.find(aWorker.m_pool.Value());
  const bool hasRate =
    pool != aDocument.m_pools.end() && pool->second.m_coldRequestsPerSecond > 0;
  return hasRate ? std::optional<double>(pool->second.m_coldRequestsPerSecond)
                 : std::nullopt;
}

} // namespace

LimitManager::LimitManager(FleetContext& aContext)
  : m_context(aContext)
{
}

void
LimitManager::OnLeadership()
{
  m_limits = StatedLimits();
  m_inForce.clear();
  m_entries.clear();
  m_allocations.clear();
  m_leadingSince = m_context.Now();
  m_number = m_context.CurrentTerm() << kTermShiftBits;
}

void
LimitManager::OnHeartbeat(const EntrySession& aSession)
{
  const TimePoint now = m_context.Now();
  const LimitReport& report = aSession.m_last.m_limits;
  Entry& entry = m_entries[aSession.m_last.m_vm];
  if (entry.m_boot != aSession.m_last.m_boot) {
    Release(aSession.m_last.m_vm);
    entry = Entry();
    entry.m_boot = aSession.m_last.m_boot;
    // Replaces limits and shares that are not known here any more.
    entry.m_isPushDue = report.m_held != 0 || !m_limits.All().empty();
  }
  const Duration offset =
    now.time_since_epoch() - Duration(aSession.m_last.m_sentAtUs);
  if (entry.m_clockOffset != Duration::max()) {
    const Duration age = now - entry.m_heartbeatAt;
    entry.m_clockOffset += Duration(static_cast<std::int64_t>(
      static_cast<double>(age.count()) * kMaxClockDrift));
  }
  entry.m_clockOffset = std::min(entry.m_clockOffset, offset);
  entry.m_heartbeatAt = now;
  entry.m_requestsPerSecond = report.m_requestsPerSecond;
  ApplyStatements(entry, report);
  const bool mayHaveShares = now < m_leadingSince + kLimitShareLease;
  if (entry.m_pushed == 0 && mayHaveShares) {
    for (const LimitShare& share : report.m_shares) {
      m_allocations[{ WorkerId(share.m_worker), share.m_createdMs }].Adopt(
        aSession.m_last.m_vm, share.m_share);
      entry.m_mayUseShares = true;
    }
  } else if (report.m_held == entry.m_pushed) {
    Confirm(aSession.m_last.m_vm, entry);
  } else if (entry.m_pushed != 0 &&
             now >= entry.m_pushedAt + kPushRetryInterval) {
    entry.m_isPushDue = true;
  }
  if (entry.m_isPushDue) {
    Push(aSession.m_last.m_vm, entry);
  }
}

void
LimitManager::Confirm(const VmId& aVm, const Entry& aEntry)
{
  if (!aEntry.m_mayUseShares) {
    return;
  }
  for (auto& [incarnation, allocation] : m_allocations) {
    allocation.Confirm(aVm);
  }
}

void
LimitManager::ApplyStatements(Entry& aEntry, const LimitReport& aReport)
{
  for (const LimitStatement& stated : aReport.m_statements) {
    const std::optional<double> limit =
      stated.m_isLimited ? std::optional<double>(stated.m_perSecond)
                         : std::nullopt;
    const bool isChanged = m_limits.Update(
      WorkerId(stated.m_worker),
      stated.m_createdMs,
      limit,
      TimePoint(Duration(stated.m_statedAtUs)) + aEntry.m_clockOffset);
    // An entry that states an outdated limit needs the current one.
    aEntry.m_isPushDue = true;
    if (isChanged) {
      m_nextDivision = TimePoint();
      for (auto& [vm, each] : m_entries) {
        each.m_isPushDue = true;
      }
    }
  }
}

void
LimitManager::Release(const VmId& aVm)
{
  for (auto& [incarnation, allocation] : m_allocations) {
    if (allocation.ShareOf(aVm) > 0) {
      m_nextDivision = TimePoint();
      m_entries[aVm].m_isPushDue = true;
    }
    allocation.Release(aVm);
  }
}

void
LimitManager::ReleaseExpired()
{
  const TimePoint now = m_context.Now();
  for (auto each = m_entries.begin(); each != m_entries.end();) {
    auto& [vm, entry] = *each;
    if (entry.m_mayUseShares && now >= entry.m_heartbeatAt + kLimitShareLease) {
      entry.m_mayUseShares = false;
      Release(vm);
    }
    // Entries without shares send heartbeats less often than their lease lasts.
    const EntrySession* session = m_context.Entries().Find(vm);
    const bool isLive =
      session != nullptr && m_context.Entries().IsLive(now, *session);
    each = isLive ? std::next(each) : m_entries.erase(each);
  }
}

LimitManager::Demand
LimitManager::DemandOf(const std::string& aPool) const
{
  Demand demand;
  for (const auto& [vm, entry] : m_entries) {
    const auto rate = entry.m_requestsPerSecond.find(aPool);
    if (rate != entry.m_requestsPerSecond.end()) {
      demand[vm] = rate->second;
    }
  }
  return demand;
}

void
LimitManager::UpdateLimits(const std::vector<WorkerInfo>& aListed,
                           const RouteDocument& aDocument)
{
  const auto before = std::exchange(m_inForce, {});
  for (const WorkerInfo& worker : aListed) {
    const auto limit =
      CombineLimits(m_limits.LimitOf(worker.m_id, worker.m_createdMs),
                    ColdRate(worker, aDocument));
    if (!limit) {
      continue;
    }
    const Incarnation incarnation(worker.m_id, worker.m_createdMs);
    m_inForce[incarnation] = *limit;
    const auto known = before.find(incarnation);
    const bool wasWarm = known != before.end() && !known->second.m_isCold;
    if (limit->m_isCold && wasWarm) {
      // Fewer entries may have a share now.
      m_allocations[incarnation].SetTargets({});
    }
  }
}

void
LimitManager::ReleaseUnlimited()
{
  for (auto& [incarnation, allocation] : m_allocations) {
    if (m_inForce.count(incarnation) != 0) {
      continue;
    }
    // Entries keep shares until a push takes them away: a worker that is
    // limited again would get requests for them and for the new ones.
    allocation.SetTargets({});
    for (const VmId& entry : allocation.Step()) {
      m_entries[entry].m_isPushDue = true;
    }
  }
  std::erase_if(m_allocations, [&](const auto& aEach) {
    return m_inForce.count(aEach.first) == 0 && aEach.second.IsUnused();
  });
}

void
LimitManager::OnTick(const std::vector<WorkerInfo>& aListed,
                     const RouteDocument& aDocument)
{
  const TimePoint now = m_context.Now();
  if (now < m_nextReview) {
    return;
  }
  // The first limit is divided at once, not at the end of an interval.
  const bool hasLimits =
    !m_limits.All().empty() || !m_inForce.empty() || !m_allocations.empty() ||
    std::any_of(aListed.begin(), aListed.end(), [](const WorkerInfo& aEach) {
      return aEach.m_isCold;
    });
  if (!hasLimits) {
    return;
  }
  m_nextReview = now + kReviewInterval;
  m_limits.Expire(now, aListed);
  UpdateLimits(aListed, aDocument);
  ReleaseExpired();
  // Shares that entries got from an earlier leader may still be in use.
  if (now >= m_leadingSince + kLimitShareLease) {
    std::map<std::string, Demand> demandOf;
    for (const WorkerInfo& worker : aListed) {
      const auto limit = m_inForce.find({ worker.m_id, worker.m_createdMs });
      if (limit == m_inForce.end()) {
        continue;
      }
      const std::string& pool = worker.m_pool.Value();
      const auto [demand, isNew] = demandOf.try_emplace(pool);
      if (isNew) {
        demand->second = DemandOf(pool);
      }
      Divide(worker, limit->second, demand->second);
    }
    ReleaseUnlimited();
    if (now >= m_nextDivision) {
      m_nextDivision = now + kDivisionInterval;
    }
  }
  for (auto& [vm, entry] : m_entries) {
    if (entry.m_isPushDue) {
      Push(vm, entry);
    }
  }
}

void
LimitManager::Divide(const WorkerInfo& aWorker,
                     const RequestLimit& aLimit,
                     Demand& aDemand)
{
  const double perSecond = aLimit.m_perSecond;
  ShareAllocation& allocation =
    m_allocations[{ aWorker.m_id, aWorker.m_createdMs }];
  // A worker that has just become cold gets nothing before its first division.
  // For other limits, a division with the first few requests would be kept.
  const bool isFirst = aLimit.m_isCold && allocation.Targets().empty();
  if (m_context.Now() >= m_nextDivision || isFirst) {
    std::map<VmId, double> shares = ChooseShares(aWorker, aLimit, aDemand);
    const double usable = UsableShare(shares, aDemand, perSecond);
    const double used = UsableShare(allocation.Targets(), aDemand, perSecond);
    const bool isPartLost = !IsWhole(allocation.Targets()) && usable > used;
    if (isPartLost || usable > used + kMinImprovement) {
      m_context.Log(LogEvent::LimitDivided,
                    { { "worker", aWorker.m_id.Value() },
                      { "per_second", std::to_string(perSecond) },
                      { "cold", aLimit.m_isCold ? "yes" : "no" },
                      { "entries", std::to_string(shares.size()) } });
      allocation.SetTargets(std::move(shares));
    }
  }
  for (const VmId& entry : allocation.Step()) {
    m_entries[entry].m_isPushDue = true;
  }
  for (const auto& [entry, share] : allocation.Targets()) {
    double& left = aDemand[entry];
    left = std::max(left * kMinDemandLeft,
                    left - kDemandUsedPerShare * share * perSecond);
  }
}

double
LimitManager::SavedRequests(const Incarnation& aWorker,
                            std::size_t aEntries) const
{
  const auto limit = m_inForce.find(aWorker);
  // A new leader may know shares before it knows the limit.
  if (limit == m_inForce.end() || limit->second.m_isCold) {
    return 1;
  }
  const auto entries = static_cast<double>(std::max<std::size_t>(1, aEntries));
  return std::clamp((limit->second.m_perSecond + kMaxSavedRequests) / entries,
                    1.0,
                    kMaxSavedByEntry);
}

void
LimitManager::Push(const VmId& aVm, Entry& aEntry)
{
  const EntrySession* session = m_context.Entries().Find(aVm);
  if (session == nullptr || session->m_connection == ConnectionId()) {
    return;
  }
  LimitPush push;
  push.m_number = ++m_number;
  for (const auto& [worker, statement] : m_limits.All()) {
    const TimePoint statedAt = statement.m_at - aEntry.m_clockOffset;
    push.m_limits.push_back({ worker.Value(),
                              statement.m_createdMs,
                              statement.m_perSecond.has_value(),
                              statement.m_perSecond.value_or(0),
                              statedAt.time_since_epoch().count() });
  }
  for (const auto& [incarnation, allocation] : m_allocations) {
    const double share = allocation.ShareOf(aVm);
    if (share > 0) {
      push.m_shares.push_back(
        { incarnation.first.Value(),
          incarnation.second,
          share,
          SavedRequests(incarnation, allocation.Targets().size()) });
    }
  }
  aEntry.m_mayUseShares = aEntry.m_mayUseShares || !push.m_shares.empty();
  aEntry.m_pushed = push.m_number;
  aEntry.m_pushedAt = m_context.Now();
  aEntry.m_isPushDue = false;
  m_context.Push(session->m_connection, std::move(push));
}

} // namespace fulmarquay
