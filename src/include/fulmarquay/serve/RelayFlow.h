#ifndef FULMARQUAY_SERVE_RELAYFLOW_H
#define FULMARQUAY_SERVE_RELAYFLOW_H

#include "fulmarquay/route/RetryBudget.h"
#include "fulmarquay/pool/PoolAdmission.h"
#include "fulmarquay/pool/PrefillRate.h"
#include "fulmarquay/route/RouteTable.h"
#include "fulmarquay/serve/EntryContext.h"
#include "fulmarquay/serve/EventStreamSplitter.h"
#include "fulmarquay/serve/KeyState.h"
#include "fulmarquay/serve/LoadExchange.h"
#include "fulmarquay/serve/Neighbours.h"
#include "fulmarquay/serve/OriginExchange.h"
#include "fulmarquay/serve/PartMap.h"
#include "fulmarquay/serve/PartWatch.h"
#include "fulmarquay/serve/Placement.h"
#include "fulmarquay/serve/PoolReach.h"
#include "fulmarquay/serve/RegionMap.h"
#include "fulmarquay/serve/RelayProtocol.h"
#include "fulmarquay/serve/RequestLimiter.h"
#include "fulmarquay/serve/SoftwareVersions.h"
#include "fulmarquay/serve/StartupAdmission.h"
#include "fulmarquay/serve/StreamOrigins.h"
#include "fulmarquay/serve/WeightsAdmission.h"
#include "fulmarquay/serve/WorkerCaches.h"
#include "fulmarquay/serve/WorkerTable.h"

#include <map>
#include <memory>
#include <set>
#include <string>
#include <tuple>
#include <unordered_map>

namespace fulmarquay {

/// Settings of request relaying.
struct RelayOptions
{
  /// How long after newer weights were named a request may begin on older ones.
  Duration m_maxOldWeightsAge = Duration(6'000'000);
  /// Retries at another worker: ratio to the requests of a pool, and the number
  /// that all entries together may save up.
  double m_retryRatio = 0.15;
  double m_retrySlack = 20;
  RegionMap m_regions; ///< of the data centres
};

/// Relays requests: finds the route, authenticates the account, chooses a
/// worker and returns the answer. At most one worker runs a request at any
/// time; the route defines whether a request may be retried. Part of the
/// entry's reducer; not thread-safe.
class RelayFlow : public CallSink
{
public:
  RelayFlow(EntryContext& aContext,
            const RelayProtocol& aProtocol,
            RelayOptions aOptions);

  /// Applies a route delta or a worker list from the leader. Throws Error when
  /// the delta does not apply to the current revision.
  void OnRoutes(const RouteDelta& aDelta);
  /// Sets the regions of the data centres for all requests that are sent from
  /// now on, also those that arrived before.
  void SetRegions(RegionMap aRegions);
  /// Returns whether the list names weights that were unknown here.
  bool OnWorkerList(const WorkerList& aList);
  /// Applies the leader's reply to a heartbeat that was sent at a time.
  void OnWeightsReport(const WeightsReport& aReport, TimePoint aSentAt)
  {
    m_weights.OnReport(aReport, aSentAt);
  }
  /// Applies a store update from the leader. Returns false if its base state
  /// does not match the current one.
  bool OnStoreUpdate(const StorePush& aPush);
  /// Extends the lease of the part map; sets the time limit of fetches and the
  /// workers' clock.
  void OnStoreLeaseConfirmed(TimePoint aUntil,
                             Duration aFetchTimeout,
                             std::int64_t aWorkersClockMs);

  /// Extends the key lease, during which keys are accepted, and sets the number
  /// of live entries.
  void OnConfirmed(TimePoint aKeyLeaseUntil, std::uint32_t aEntryCount);

  /// Sets the time by which every request must be answered because the process
  /// is about to exit; requests that still run at a worker then fail.
  void AnswerAllBy(TimePoint aEnd) { m_answerAllBy = aEnd; }

  /// Refuses new requests from now on because the process is about to exit.
  /// Running requests continue.
  void StopAdmitting() { m_isDraining = true; }

  /// Starts a caller's request. `aIsPassed`: the caller is another entry, which
  /// reaches no worker.
  void Start(CallerId aCaller, HttpRequest aRequest, bool aIsPassed = false);
  void OnCallerDisconnected(
    CallerId aCaller,
    DisconnectReason aReason = DisconnectReason::CallerClosed);
  void OnTick();

  void OnHead(CallId aCall, const HttpResponse& aHead) override;
  void OnData(CallId aCall, const std::string& aData) override;
  void OnEnd(CallId aCall,
             CallResult aEnd,
             const std::string& aReason) override;

  const RouteTable& Routes() const { return m_routes; }
  const WorkerTable& Workers() const { return m_workers; }
  const WeightsAdmission& Weights() const { return m_weights; }
  const PartMap& Parts() const { return m_partMap; }
  /// Worker memory held by the requests of this entry, in tokens by pool, as a
  /// moving average; OnOtherEntriesHeldTokens sets that of the other entries.
  std::map<std::string, std::int64_t> HeldTokens() const;
  void OnOtherEntriesHeldTokens(std::map<std::string, std::int64_t> aHeldTokens)
  {
    m_otherEntriesHeldTokens = std::move(aHeldTokens);
  }
  /// Sets the entries that loads may be sent to.
  void OnLoadPeers(const std::vector<EntryPeer>& aPeers)
  {
    m_exchange.SetPeers(aPeers);
    m_originExchange.SetPeers(aPeers);
  }
  /// The leader's worker list had this number, or a lower one, when a heartbeat
  /// was sent that it has answered.
  /// Its content is as in the VM list that the leader requested the given time
  /// before it answered; negative: unknown.
  void OnListConfirmed(std::uint64_t aListNumber,
                       TimePoint aSentAt,
                       Duration aListAge = Duration(-1))
  {
    m_softwareVersions.OnConfirmed(aListNumber, aSentAt);
    if (aListAge >= Duration(0) && aListNumber == m_workers.Number()) {
      m_limiter.OnListRead(m_context.Now(), aSentAt - aListAge);
    }
  }
  /// Sets the entries that requests may be passed to.
  void OnRelayPeers(const std::vector<RelayPeer>& aPeers)
  {
    m_neighbours.Set(aPeers, m_context.Self().m_dataCentre);
  }
  std::size_t RelayPeers() const { return m_neighbours.Size(); }
  /// Pools of which this entry reaches no worker.
  std::size_t UnreachedPools() const
  {
    return m_reach.UnreachedPools(m_context.Now());
  }
  /// Messages of other entries about origins of streams.
  void OnOriginUpdate(const StreamOriginUpdate& aUpdate);
  StreamOriginReply OnOriginQuery(const StreamOriginQuery& aQuery) const;
  void OnOriginReply(const StreamOriginReply& aReply);
  void OnLoads(const WorkerLoads& aLoads);
  /// Applies the limits of workers that the leader knows, and the shares of
  /// this entry, which OnLimitSharesConfirmed renews.
  void OnLimits(const LimitPush& aPush);
  void OnLimitSharesConfirmed(TimePoint aValidUntil, std::uint32_t aEntryCount)
  {
    m_limiter.OnConfirmed(aValidUntil, aEntryCount);
  }
  /// Whether the leader needs a limit report before the next heartbeat is due.
  bool IsLimitReportDue() const
  {
    return m_limiter.IsReportDue(m_context.Now());
  }
  LimitReport MakeLimitReport()
  {
    return m_limiter.MakeReport(m_context.Now());
  }
  std::size_t LimitedWorkers() const { return m_limiter.LimitedCount(); }
  /// Sets the gauges of relayed requests.
  void SetGauges();
  /// Handles the leader's query about parts that may crash workers.
  void OnPartQuery(const PartQuery& aQuery)
  {
    m_partWatch.OnQuery(m_context.Now(), aQuery.m_parts);
  }
  /// Another leader was elected, which has no observations yet.
  void OnNewLeader() { m_partWatch.OnNewLeader(); }
  /// Observations for the leader about parts that may crash workers, if due.
  std::optional<PartReport> TakePartReport()
  {
    return m_partWatch.TakeReport(m_context.Now());
  }
  std::vector<std::uint64_t> TakeUsedPartKeys()
  {
    return m_partMap.TakeUsedKeys();
  }
  bool HasKeyLease() const { return m_context.Now() < m_keyLeaseUntil; }
  /// Whether routes and workers are loaded and the key lease is valid.
  bool IsReady() const;
  std::size_t Running() const { return m_byCaller.size(); }
  /// Number of parts and whole requests that are refused.
  std::size_t BlockedParts() const { return m_partWatch.BlockedCount(); }

private:
  using LogFields = std::vector<std::pair<std::string, std::string>>;

  /// A caller's request from arrival to completion.
  struct ActiveRequest
  {
    CallerId m_caller;
    RelayRequest m_request;
    RouteRule m_rule;
    std::string m_routeName;
    KeyState m_keyState = KeyState::Unchecked;
    Revision m_keyRevision; ///< of the document in which its key was looked up
    std::string m_account;
    bool m_isIsolated = false; ///< its account was, when it arrived
    std::string m_cacheScope;  ///< sent to its worker
    std::int64_t m_priority = 0;
    AllowedRegions m_allowedRegions; ///< of its route and its account
    TimePoint m_arrivedAt;
    TimePoint m_expiresAt;
    std::vector<RequestPartId> m_partIds;
    PoolId m_pool;
    WorkerId m_worker;
    SoftwareVersion m_software; ///< of m_worker
    /// Once an event was forwarded, or the caller has one: no other worker may
    /// go on.
    std::optional<StreamOrigin> m_origin;
    std::set<WorkerId> m_triedWorkers;
    std::set<Endpoint> m_triedAddresses;
    std::set<std::string> m_stores; ///< stores and workers it fetches from
    TimePoint m_sentAt;
    std::int64_t m_sentWeights = -1; ///< version that its worker must have
    CallId m_call;
    int m_sendCount = 0;                ///< workers that may have received it
    int m_unreachedCount = 0;           ///< workers that could not be reached
    bool m_isInFlight = false;          ///< a call to a worker is in progress
    bool m_needsOpenConnection = false; ///< the call may not open one
    bool m_isQueued = false;            ///< waits for room at a worker
    bool m_isAnnounced = false;         ///< its arrival is known to admission
    std::int64_t m_tokensAhead = 0; ///< pending at its worker when it was sent
    std::int64_t m_heldTokens = 0;  ///< memory counted at the worker
    bool m_mayHaveRun = false;
    std::int64_t m_pendingPrefillTokens = 0; ///< counted at the worker
    HttpResponse m_callerHead;
    WorkerResponseHead m_workerHead;
    bool m_hasFirstEvent = false;      ///< the worker has sent its first event
    bool m_endsWithConnection = false; ///< only its end delimits the answer
    TimePoint m_firstEventAt;
    TimePoint m_lastEventAt;
    Duration m_longestGap{}; ///< between two events
    bool m_isOriginRecorded = false;
    bool m_isStreaming = false; ///< the response head was sent to the caller
    bool m_isFromPeer = false;  ///< another entry passed it on
    bool m_isCounted = false;   ///< by the retry budget here, or there
    VmId m_neighbour; ///< entry that it was passed to last; empty: none
    std::set<VmId> m_triedNeighbours;
    int m_passCount = 0; ///< entries that it was passed to
    PassRefusal m_passRefusal = PassRefusal::None; ///< of m_neighbour
    Duration m_refusedRetryAfter{}; ///< longest of the neighbours' refusals
    EventStreamSplitter m_eventSplitter;
  };
  using ActiveRequestPtr = std::unique_ptr<ActiveRequest>;

  void Admit(ActiveRequest& aActive);
  void RefuseLeaving(ActiveRequest& aActive);
  /// Whether the request has to wait because this process is starting.
  bool MustWaitForStartup(const ActiveRequest& aActive) const;
  /// Admits waiting requests once startup is complete or their time runs out.
  /// Without routes or keys they are then refused.
  void UpdateStartup();
  /// Whether the stores' contents and the workers' loads are known.
  bool HasStoresAndLoads() const;
  /// Sets the account and what follows from it, or refuses the request.
  bool Authenticate(ActiveRequest& aActive, const RouteRule& aRule);
  /// Looks the request's key up and records the result.
  RouteTable::Account LookUpKey(ActiveRequest& aActive);
  /// Adds to a log line how the request was authenticated.
  static void AppendKeyFields(const ActiveRequest& aActive, LogFields& aFields);
  const PoolShare& ChoosePool(const ActiveRequest& aActive) const;
  /// Chooses the worker, now that the pool is known.
  void Accept(ActiveRequest& aActive, const PoolId& aPool);
  void Place(ActiveRequest& aActive);
  Placement::Criteria CriteriaFor(const ActiveRequest& aActive);
  /// The data centres that may handle a request.
  DataCentreFilter AllowedDataCentres(const ActiveRequest& aActive) const
  {
    return m_options.m_regions.FilterFor(aActive.m_allowedRegions);
  }
  /// Whether a request's pool has no worker in its allowed regions.
  bool HasNoAllowedWorker(const ActiveRequest& aActive) const;
  /// Whether the request may wait here: no worker has begun it.
  static bool MayWait(const ActiveRequest& aActive);
  /// Adds a request to its pool's queue because no worker has room, or refuses
  /// it if it could not be served in time.
  void Enqueue(ActiveRequest& aActive, const Placement::Choice& aChoice);
  PoolAdmission::Pool PoolStateOf(const PoolId& aPool,
                                  const Placement::Choice& aChoice);
  /// A random number from 0 to 1, which spreads the returns of callers.
  double RandomPart();
  void RefuseOverloaded(ActiveRequest& aActive,
                        const std::string& aReason,
                        Duration aRetryAfter);
  /// Refuses queued requests that can't meet their target any more.
  void RefuseHopeless();
  /// Records when pools become overloaded and recover.
  void UpdateOverload();
  std::int64_t OtherEntriesHeldTokens(const PoolId& aPool) const;
  void UpdateHeldAverages();
  void SendLoads();
  /// Sends queued requests as far as workers have room.
  void DispatchQueued();
  void RemoveFromQueue(ActiveRequest& aActive);
  /// Gives up a request that is blocked or whose prompt has a blocked part.
  void GiveUpBlocked(ActiveRequest& aActive);
  void GiveUpBlockedQueued();
  /// Gives up a request whose pool has workers in evacuated data centres only;
  /// returns whether it did.
  bool GiveUpEvacuated(ActiveRequest& aActive);
  void Send(ActiveRequest& aActive, WorkerState& aWorker);
  /// Starts the call of a request to a worker or to another entry.
  void BeginCall(ActiveRequest& aActive, HttpCall aCall);
  /// The weight version that the worker has to have to run the request.
  std::int64_t RequiredWeights(const ActiveRequest& aActive,
                               const WorkerState& aWorker) const;
  /// Whether a request that may be repeated still waits at its worker, would
  /// begin on expired weights, and can be run elsewhere or is out of time.
  bool MustRecall(const ActiveRequest& aActive);
  /// Sends such requests to other workers, or fails them.
  void RecallExpired();
  void Recall(ActiveRequest& aActive);
  /// Pauses a worker with superseded weights that refused a request: it loads
  /// newer ones.
  void PauseLoadingWorker(const ActiveRequest& aActive);
  /// The group in the document in force, which may be newer than the request.
  CacheGroup CacheGroupOf(const ActiveRequest& aActive) const;
  std::string CacheScopeFor(const ActiveRequest& aActive,
                            const WorkerState& aWorker) const;
  std::int64_t WorkerClockMs() const;
  PartMap::PlanInput PlanInputFor(const ActiveRequest& aActive,
                                  const WorkerState& aWorker) const;
  /// For each shared part of a prompt, the best other worker that caches it.
  std::vector<PartMap::PeerCopy> FindPeerCopies(
    const ActiveRequest& aActive,
    const WorkerState& aWorker,
    const std::string& aScope) const;
  void RecordReads(const ActiveRequest& aActive, const WorkerState& aWorker);
  void RecordIsolation(const std::string& aFormerKey);
  /// Memory of a pool's workers for parts that they cache, in tokens.
  std::int64_t CacheBudget(const PoolId& aPool) const;
  void ReleaseWorker(ActiveRequest& aActive);
  void OnPrefillDone(ActiveRequest& aActive);
  void RecordEvents(ActiveRequest& aActive);
  /// Records a request whose answer ended with the connection to its worker
  /// and, if it is a prompt, without an event.
  void RecordFailedStart(const ActiveRequest& aActive);
  void LogAnswered(const ActiveRequest& aActive, int aStatus);
  ActiveRequest* Find(CallId aCall);

  // Origins of streams.
  /// Whether the caller has events of an earlier attempt.
  static bool IsResumed(const ActiveRequest& aActive);
  static StreamKey StreamKeyOf(const ActiveRequest& aActive,
                               const std::string& aAttempt);
  /// Whether another entry needs a record to know where a stream of this route
  /// and pool began.
  bool HasSeveralOrigins(const ActiveRequest& aActive,
                         const PoolId& aPool) const;
  /// The origin of all streams of the route, if there is only one.
  std::optional<StreamOrigin> OnlyOrigin(const ActiveRequest& aActive) const;
  /// Finds where a resumed stream began, and places or refuses it; it waits
  /// while other entries are asked.
  void FindOrigin(ActiveRequest& aActive);
  void Resume(ActiveRequest& aActive,
              const StreamOrigin& aOrigin,
              const std::string& aSource);
  void RefuseResumed(ActiveRequest& aActive, const std::string& aReason);
  void FinishOriginLookups();
  void RecordOrigin(ActiveRequest& aActive);
  /// Sends the origins of all recent streams of a pool to their owners.
  void ShareOriginsOf(const PoolId& aPool);
  /// Shares all origins once when the list has not been confirmed for long.
  void UpdateListAge();
  void RecordMovedRoutes(const RouteDelta& aDelta);
  void SendOriginMessages();

  void OnWorkerActivity(const ActiveRequest& aActive);
  /// Applies what the head of an answer states about its worker.
  void RecordAnnouncements(const ActiveRequest& aActive);
  /// Records the limit that the worker states.
  void RecordLimit(const ActiveRequest& aActive, const WorkerInfo& aWorker);
  void LogLimit(const WorkerInfo& aWorker, const std::string& aSource);
  /// The worker failed: it may have restarted since aRanAt.
  void RecordPossibleRestart(const WorkerId& aWorker, TimePoint aRanAt);
  void LogPossibleRestart(const WorkerId& aWorker, const std::string& aSource);
  /// Requests that this entry may send within a time to the workers that may
  /// run this one; no value: not all of them are limited, or a limit is not
  /// divided yet.
  std::optional<std::size_t> LimitedSendsWithin(const ActiveRequest& aActive,
                                                Duration aTime);
  /// Refuses a request, or one of a lower priority that is queued, if the
  /// limited workers of its pool will not accept it in time. Returns whether it
  /// was this one.
  bool GiveUpLimited(ActiveRequest& aActive);
  void RefuseLimited(ActiveRequest& aActive);
  void LogLeaving(const WorkerId& aWorker, const std::string& aSource);
  /// Retry-After of a request that no worker accepts now.
  Duration RetryAfterFor(const PoolId& aPool) const;
  /// Ends the call of a request whose answer can't be used; the worker may have
  /// run it.
  void AbortCall(ActiveRequest& aActive, const std::string& aReason);
  /// Adds bytes to an answer that is held until it is complete. Returns false
  /// if it exceeds the memory for such answers.
  bool HoldBody(ActiveRequest& aActive, const std::string& aData);
  void ReleaseBody(ActiveRequest& aActive);
  // Passing of requests between entries.
  /// Whether the last call of the request was to another entry.
  static bool IsPassed(const ActiveRequest& aActive);
  /// Passes a request to another entry. Returns false if none may serve it.
  bool PassOn(ActiveRequest& aActive, const std::string& aReason);
  /// Passes on or gives up a request whose pool is unreached from here; returns
  /// false if it is to be placed here.
  bool PlaceElsewhere(ActiveRequest& aActive);
  void OnPassedHead(ActiveRequest& aActive, const HttpResponse& aHead);
  void OnPassEnd(ActiveRequest& aActive,
                 CallResult aEnd,
                 const std::string& aReason);
  /// The other entry has not run the request: it said so, or the connection
  /// failed before the request was sent.
  void OnPassRefused(ActiveRequest& aActive,
                     PassRefusal aRefusal,
                     const std::string& aReason);
  void OnPoolFailure(const PoolId& aPool, const WorkerId& aWorker);
  void OnPoolReached(const PoolId& aPool, const WorkerId& aWorker);

  void ProbeSilentWorkers();
  void Probe(const WorkerId& aWorker);
  /// Probes some workers of pools that are unreached.
  void ProbeUnreachedPools();
  void OnProbeEnd(const WorkerId& aWorker, CallResult aEnd);
  /// Sends a worker's calls to others where that is allowed and possible.
  void MoveCallsFrom(const WorkerId& aWorker);

  // Completion of a call.
  void OnComplete(ActiveRequest& aActive);
  void OnNotExecuted(ActiveRequest& aActive);
  void OnNotSent(ActiveRequest& aActive, const std::string& aReason);
  void OnNotEncoded(ActiveRequest& aActive);
  void OnBroken(ActiveRequest& aActive, const std::string& aReason);
  bool MayResume(const ActiveRequest& aActive) const;
  /// Whether the request may be sent again although it may have run.
  bool MayRepeat(const ActiveRequest& aActive) const;
  bool TakeRetry(ActiveRequest& aActive);

  // Completion of a request; destroys `aActive`.
  void Refuse(ActiveRequest& aActive,
              int aStatus,
              const std::string& aReason,
              Duration aRetryAfter,
              PassRefusal aKind = PassRefusal::Final);
  void Fail(ActiveRequest& aActive, int aStatus, const std::string& aReason);
  /// Ends a request that no worker is to serve: refuses it as not run if that
  /// is true, otherwise fails it.
  void GiveUp(ActiveRequest& aActive,
              const std::string& aReason,
              Duration aRetryAfter,
              PassRefusal aKind = PassRefusal::Final);
  void Finish(ActiveRequest& aActive, int aStatus);
  void Expire(ActiveRequest& aActive);
  void Remove(ActiveRequest& aActive);
  Duration Age(const ActiveRequest& aActive) const;
  RetryBudget& RetryBudgetFor(const PoolId& aPool);

  EntryContext& m_context;
  const RelayProtocol& m_protocol;
  RelayOptions m_options;
  RouteTable m_routes;
  WorkerTable m_workers;
  LoadExchange m_exchange;
  Placement m_placement;
  WeightsAdmission m_weights;
  WorkerCaches m_caches;
  RequestLimiter m_limiter;
  PoolReach m_reach;
  Neighbours m_neighbours;
  TimePoint m_lastTickAt;
  TimePoint m_nextCacheSweep;
  PartMap m_partMap;
  PartWatch m_partWatch;
  std::int64_t m_workersClockMs = 0; ///< at m_workersClockAt; 0: unknown
  TimePoint m_workersClockAt;
  TimePoint m_keyLeaseUntil;
  bool m_hadKeyLease = false;
  bool m_isDraining = false;
  TimePoint m_answerAllBy; ///< not set: the process is not about to exit
  StartupAdmission m_startup;
  std::vector<CallerId> m_waitingForStartup; ///< in order of arrival
  std::uint32_t m_entryCount = 1;
  std::size_t m_heldBodyBytes = 0; ///< of all answers that are held
  std::unordered_map<CallerId, ActiveRequestPtr> m_byCaller;
  std::unordered_map<CallId, ActiveRequest*> m_byCall;
  std::map<CallId, WorkerId> m_probes;
  TimePoint m_nextProbe;
  TimePoint m_nextRecall;
  std::multimap<TimePoint, CallerId> m_expiries;
  std::map<PoolId, RetryBudget> m_budgets;
  /// Streams that only one software version may go on with, and requests with
  /// allowed regions, have queues of their own, so that they don't hold up the
  /// others of their pool.
  using QueueKey = std::tuple<PoolId, SoftwareVersion, std::string>;
  static QueueKey QueueKeyOf(const ActiveRequest& aActive);
  std::map<QueueKey, PoolAdmission> m_queues;
  /// What the last placement of a pool has shown.
  struct PoolState
  {
    PrefillRate m_rate;
    PoolAdmission::Pool m_pool;
    bool m_isOverloaded = false;
    std::uint64_t m_refused = 0; ///< since the pool became overloaded
  };
  std::map<PoolId, PoolState> m_pools;
  SoftwareVersions m_softwareVersions;
  StreamOrigins m_origins;
  OriginExchange m_originExchange;
  bool m_mayListExpire = true;
  std::multimap<StreamKey, CallerId> m_waitingForOrigin;
  std::map<std::string, TimePoint> m_routeMovedAt;   ///< to other pools
  std::map<std::string, double> m_averageHeldTokens; ///< by pool
  std::map<std::string, std::int64_t> m_otherEntriesHeldTokens;
  TimePoint m_averagedAt;
};

} // namespace fulmarquay

#endif
