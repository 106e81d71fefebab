#ifndef FULMARQUAY_SERVE_REQUESTLIMITER_H
#define FULMARQUAY_SERVE_REQUESTLIMITER_H

#include "fulmarquay/control/RequestLimits.h"
#include "fulmarquay/control/StatedLimits.h"
#include "fulmarquay/core/Units.h"
#include "fulmarquay/route/RouteDocument.h"
#include "fulmarquay/route/TokenBucket.h"
#include "fulmarquay/serve/PossibleRestarts.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace fulmarquay {

/// Keeps this entry to its share of the limits of workers for all entries
/// together: those that workers state, and those of cold workers.
///
/// The leader divides each limit between some entries and renews their shares
/// with heartbeats. Without a valid share, an entry sends a limited worker
/// nothing; without a leader, all entries together use a quarter of the limit,
/// in equal parts, but nothing of that of a cold worker. Pure; not thread-safe.
class RequestLimiter
{
public:
  /// `aSelf` differs between entries.
  explicit RequestLimiter(VmId aSelf);

  /// Sets what cold workers tolerate.
  void OnRoutes(const RouteDocument& aDocument);

  /// A new list of workers is in force. Forgets those that no longer exist.
  void OnList(TimePoint aNow, const std::vector<WorkerInfo>& aListed);

  /// The workers in force are as in a VM list that was requested at aReadAt.
  void OnListRead(TimePoint aNow, TimePoint aReadAt);

  /// Whether cold workers of a pool have a limit.
  bool HasColdLimit(const PoolId& aPool) const
  {
    return m_coldRules.count(aPool) != 0;
  }

  /// A worker accepted no connection, or broke off an answer; it ran as listed
  /// at aRanAt. Returns whether it may have restarted and that was unknown.
  bool OnFailure(TimePoint aNow, const WorkerInfo& aWorker, TimePoint aRanAt);
  /// Another entry reports that. Returns whether it was unknown.
  bool OnRestartReported(TimePoint aNow,
                         const WorkerInfo& aWorker,
                         const Restart& aReport);
  void OnTick(TimePoint aNow);
  PossibleRestarts& Restarts() { return m_restarts; }
  const PossibleRestarts& Restarts() const { return m_restarts; }

  /// The part of its usual requests that a worker gets while it warms up: many
  /// entries see at once that it is idle. From 0 to 1, where 1 is no bound.
  double WarmUpShare(TimePoint aNow, const WorkerInfo& aWorker) const;

  /// Records what a worker stated in an answer. `aStatedAt` must not be later
  /// than that. Returns whether its limit is another one now.
  bool OnStated(TimePoint aNow,
                TimePoint aStatedAt,
                const WorkerInfo& aWorker,
                std::optional<double> aPerSecond);

  /// Applies limits and shares of the leader. Returns the workers whose limits
  /// are other ones now.
  std::vector<WorkerId> OnPush(TimePoint aNow, const LimitPush& aPush);

  /// Renews the shares that were received, and sets the number of live entries.
  void OnConfirmed(TimePoint aValidUntil, std::uint32_t aEntryCount);

  /// Counts a caller's request for a pool.
  void OnRequest(TimePoint aNow, const PoolId& aPool);

  /// Requests that may be sent to a worker now; no value: not limited.
  std::optional<double> Allowance(TimePoint aNow, const WorkerInfo& aWorker);
  /// Counts a request that is sent to a worker.
  void OnSent(TimePoint aNow, const WorkerInfo& aWorker);
  /// The request did not reach the worker.
  void OnNotSent(const WorkerInfo& aWorker);

  /// Requests a second that this entry may send a worker; no value: not
  /// limited, or the leader has not divided the limit yet.
  std::optional<double> RateOf(TimePoint aNow, const WorkerInfo& aWorker) const;

  /// Whether the leader needs a report before the next heartbeat is due.
  bool IsReportDue(TimePoint aNow) const;
  LimitReport MakeReport(TimePoint aNow);

  /// The limit that the worker states.
  std::optional<double> LimitOf(const WorkerInfo& aWorker) const
  {
    return m_limits.LimitOf(aWorker.m_id, aWorker.m_createdMs);
  }
  /// Number of workers with a limit.
  std::size_t LimitedCount() const;
  /// Number of listed workers that are cold and have a limit for that.
  std::size_t ColdCount() const;

private:
  /// Requests that may be sent to an incarnation of a worker.
  struct Bucket
  {
    std::int64_t m_createdMs = 0;
    double m_perSecond = 0;
    double m_burst = 1;
    TokenBucket m_tokens;
  };
  struct Share
  {
    std::int64_t m_createdMs = 0;
    double m_share = 0;
    double m_burst = 1;
    bool operator==(const Share&) const = default;
  };
  /// A decaying count, which gives a rate.
  struct RequestCount
  {
    double CountAt(TimePoint aNow) const;
    double m_count = 0;
    TimePoint m_at;
  };

  struct ColdWorker
  {
    std::int64_t m_createdMs = 0;
    PoolId m_pool;
  };
  struct ColdRule
  {
    double m_perSecond = 0;
    Duration m_coldTime{};
  };

  /// Whether the list is so old that a cold worker is warm by now.
  bool IsListExpired(TimePoint aNow, const ColdRule& aRule) const;
  std::optional<RequestLimit> LimitInForce(TimePoint aNow,
                                           const WorkerInfo& aWorker) const;
  bool HasValidShares(TimePoint aNow) const { return aNow < m_validUntil; }
  double PerSecond(TimePoint aNow,
                   const WorkerInfo& aWorker,
                   const RequestLimit& aLimit) const;
  const Share* ShareOf(const WorkerInfo& aWorker) const;
  double BurstOf(TimePoint aNow,
                 const WorkerInfo& aWorker,
                 const RequestLimit& aLimit) const;
  Bucket& BucketOf(TimePoint aNow,
                   const WorkerInfo& aWorker,
                   const RequestLimit& aLimit);
  void DropExpiredShares(TimePoint aNow);
  std::vector<LimitStatement> UnreportedStatements() const;

  VmId m_self;
  StatedLimits m_limits;
  std::map<PoolId, ColdRule> m_coldRules;
  std::map<WorkerId, ColdWorker> m_cold; ///< as listed
  std::map<WorkerId, TimePoint> m_warmSince;
  TimePoint m_listedAt;
  PossibleRestarts m_restarts;
  /// As the leader knows them, by worker.
  std::map<WorkerId, LimitStatement> m_leaderLimits;
  std::map<WorkerId, Share> m_shares;
  std::map<WorkerId, Bucket> m_buckets;
  std::map<PoolId, RequestCount> m_requests;
  TimePoint m_validUntil;
  std::uint32_t m_entryCount = 1;
  std::uint64_t m_lastPush = 0; ///< number
  std::uint64_t m_held = 0;     ///< number of the push whose shares are held
  bool m_mustConfirm = false;   ///< the leader waits for a change of shares
  TimePoint m_reportedAt;
};

} // namespace fulmarquay

#endif
