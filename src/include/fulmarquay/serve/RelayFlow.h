#ifndef FULMARQUAY_SERVE_RELAYFLOW_H
#define FULMARQUAY_SERVE_RELAYFLOW_H

#include "fulmarquay/route/RetryBudget.h"
#include "fulmarquay/serve/AdmissionQueue.h"
#include "fulmarquay/route/RouteTable.h"
#include "fulmarquay/serve/EntryContext.h"
#include "fulmarquay/serve/EventBorders.h"
#include "fulmarquay/serve/LoadExchange.h"
#include "fulmarquay/serve/PartMap.h"
#include "fulmarquay/serve/Placement.h"
#include "fulmarquay/serve/RelayProtocol.h"
#include "fulmarquay/serve/StartGate.h"
#include "fulmarquay/serve/WorkerTable.h"

#include <map>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>

namespace fulmarquay {

/// How requests are relayed.
struct RelayOptions
{
  Duration m_oldWeightsLimit = Duration(6'000'000);
  /// Repeats at second workers, as a share of a pool's requests, and how many
  /// more all entries together may send in a window.
  double m_retryShare = 0.15;
  double m_retrySlack = 20;
};

/// The way of a request: route, account, worker, answer. At most one worker
/// works on a request at any time; what may be repeated follows from the
/// route. Part of the entry's reducer; not thread-safe.
class RelayFlow : public CallSink
{
public:
  RelayFlow(EntryContext& aContext,
            const RelayProtocol& aProtocol,
            RelayOptions aOptions);

  /// Takes a route delta or a worker list from the leader. Throws Error when
  /// a delta does not fit.
  void OnRoutes(const RouteDelta& aDelta);
  void OnWorkers(const WorkerList& aList);
  bool OnStores(const StorePush& aPush);
  void OnStoresConfirmed(TimePoint aUntil,
                         Duration aFetch,
                         std::int64_t aWorkersClockMs);

  /// Until when keys may be honoured, and how many entries share the work.
  void OnConfirmed(TimePoint aKeysUntil, std::uint32_t aEntries);

  /// From now on new requests are refused: the process ends too soon for
  /// them. Running ones go on.
  void StopTaking() { m_isLeaving = true; }

  void Start(CallerId aCaller, HttpRequest aRequest);
  void OnGone(CallerId aCaller);
  void OnTick();

  void OnHead(CallId aCall, const HttpResponse& aHead) override;
  void OnData(CallId aCall, const std::string& aData) override;
  void OnEnd(CallId aCall, CallEnd aEnd, const std::string& aWhy) override;

  const RouteTable& Routes() const { return m_routes; }
  const WorkerTable& Workers() const { return m_workers; }
  const PartMap& Parts() const { return m_parts; }
  /// Memory that own requests hold of late, by pool, and what those of the
  /// other entries do.
  std::map<std::string, std::int64_t> HeldTokens() const;
  void OnOthersHold(std::map<std::string, std::int64_t> aOthersHold)
  {
    m_othersHold = std::move(aOthersHold);
  }
  void OnPartners(const std::vector<EntryPeer>& aPartners)
  {
    m_exchange.SetPartners(aPartners);
  }
  void OnLoads(const WorkerLoads& aLoads)
  {
    m_exchange.OnLoads(m_context.Now(), aLoads);
  }
  std::vector<std::uint64_t> TakeUsedParts() { return m_parts.TakeUsed(); }
  bool HasKeys() const { return m_context.Now() < m_keysUntil; }
  /// Whether it knows routes and workers and may honour keys.
  bool IsReady() const;
  std::size_t Running() const { return m_byCaller.size(); }

private:
  /// One request of a caller.
  struct Relayed
  {
    CallerId m_caller;
    RelayRequest m_request;
    RouteRule m_rule;
    std::string m_route;
    std::string m_account;
    std::string m_cacheAccount; ///< whose cache is isolated; empty: shared
    std::int64_t m_rank = 0;
    TimePoint m_arrived;
    TimePoint m_due;
    PoolId m_pool;
    WorkerId m_worker;
    std::set<WorkerId> m_tried;
    std::set<std::string> m_stores; ///< that its worker fetches from
    TimePoint m_sent;
    CallId m_call;
    int m_sends = 0;          ///< workers that may have got it
    int m_misses = 0;         ///< workers that could not be reached
    bool m_isRunning = false; ///< a call is under way
    bool m_isQueued = false;  ///< waits for room at a worker
    std::int64_t m_held = 0;  ///< memory counted at the worker
    bool m_mayHaveRun = false;
    std::int64_t m_counted = 0; ///< waiting tokens counted at the worker
    HttpResponse m_head;
    RelayHead m_facts;
    bool m_isRead = false; ///< the worker has sent a first event
    TimePoint m_firstEvent;
    TimePoint m_lastEvent;
    Duration m_longestPause{};  ///< between two events
    bool m_isStreaming = false; ///< the caller has got a head
    EventBorders m_borders;
  };
  using RelayedPtr = std::unique_ptr<Relayed>;

  void Admit(Relayed& aRelayed);
  /// Whether a request is to wait because this process has just started.
  bool MustAwaitStart(const Relayed& aRelayed) const;
  /// Admits those that waited when it is ready, and refuses them when that
  /// takes too long.
  void ReviewStart();
  /// Whether it knows what the stores hold and how busy the workers are.
  bool HasSettled() const;
  bool Identify(Relayed& aRelayed, const RouteRule& aRule);
  const PoolShare& ChoosePool(const Relayed& aRelayed) const;
  void Place(Relayed& aRelayed);
  Placement::Question QuestionOf(const Relayed& aRelayed) const;
  /// Puts a request that no worker has room for into its pool's queue, or
  /// refuses it when its turn would come too late.
  void Wait(Relayed& aRelayed, std::int64_t aTokens);
  std::int64_t OthersHold(const PoolId& aPool) const;
  void AverageHeld();
  void ShareLoads();
  /// Sends what has room now.
  void Dispatch();
  void LeaveQueue(Relayed& aRelayed);
  void Send(Relayed& aRelayed, WorkerState& aWorker);
  std::string ScopeFor(const Relayed& aRelayed,
                       const WorkerState& aWorker) const;
  std::int64_t WorkersClockMs() const;
  PartMap::Reader ReaderAt(const Relayed& aRelayed,
                           const WorkerState& aWorker) const;
  void Release(Relayed& aRelayed);
  void OnRead(Relayed& aRelayed);
  void NoteEvents(Relayed& aRelayed);
  void LogAnswered(const Relayed& aRelayed, int aStatus);
  Relayed* Find(CallId aCall);
  void Heard(const Relayed& aRelayed);
  void ProbeSilent();
  void OnProbed(const WorkerId& aWorker, CallEnd aEnd);

  // The end of a call.
  void OnWhole(Relayed& aRelayed);
  void OnNotRun(Relayed& aRelayed);
  void OnUnreached(Relayed& aRelayed, const std::string& aWhy);
  void OnBroken(Relayed& aRelayed, const std::string& aWhy);
  bool MayResume(const Relayed& aRelayed) const;
  bool TakeRepeat(Relayed& aRelayed);

  // The end of a request; the object is gone afterwards.
  void Refuse(Relayed& aRelayed,
              int aStatus,
              const std::string& aReason,
              Duration aRetryAfter);
  void Fail(Relayed& aRelayed, int aStatus, const std::string& aReason);
  void Finish(Relayed& aRelayed, int aStatus);
  void Expire(Relayed& aRelayed);
  void Forget(Relayed& aRelayed);
  Duration Age(const Relayed& aRelayed) const;
  RetryBudget& BudgetOf(const PoolId& aPool);

  EntryContext& m_context;
  const RelayProtocol& m_protocol;
  RelayOptions m_options;
  RouteTable m_routes;
  WorkerTable m_workers;
  LoadExchange m_exchange;
  Placement m_placement;
  PartMap m_parts;
  std::int64_t m_workersClockMs = 0; ///< at m_workersClockAt; 0: unknown
  TimePoint m_workersClockAt;
  TimePoint m_keysUntil;
  bool m_hadKeys = false;
  bool m_isLeaving = false;
  StartGate m_start;
  std::vector<CallerId> m_awaitStart; ///< in the order of their arrival
  std::uint32_t m_entries = 1;
  std::unordered_map<CallerId, RelayedPtr> m_byCaller;
  std::unordered_map<CallId, Relayed*> m_byCall;
  std::map<CallId, WorkerId> m_probes;
  TimePoint m_nextProbe;
  std::multimap<TimePoint, CallerId> m_due;
  std::map<PoolId, RetryBudget> m_budgets;
  std::map<PoolId, AdmissionQueue> m_queues;
  std::map<std::string, double> m_heldAverage; ///< by pool
  std::map<std::string, std::int64_t> m_othersHold;
  TimePoint m_averagedAt;
};

} // namespace fulmarquay

#endif
