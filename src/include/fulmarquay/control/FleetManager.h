#ifndef FULMARQUAY_CONTROL_FLEETMANAGER_H
#define FULMARQUAY_CONTROL_FLEETMANAGER_H

#include "fulmarquay/control/BlockedPartManager.h"
#include "fulmarquay/control/ControlMessages.h"
#include "fulmarquay/control/EvacuationManager.h"
#include "fulmarquay/control/FleetProtocol.h"
#include "fulmarquay/control/LimitManager.h"
#include "fulmarquay/control/OperatorProtocol.h"
#include "fulmarquay/control/PublishedState.h"
#include "fulmarquay/control/SoftwareVersionManager.h"
#include "fulmarquay/control/StoreManager.h"
#include "fulmarquay/control/WorkerDirectory.h"
#include "fulmarquay/core/LogEvent.h"
#include "fulmarquay/wire/HttpClient.h"

#include <deque>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace fulmarquay {

struct UpstreamCallEnded;
struct EntrySession;
class EntryRegistry;

/// Services that the control node provides to its FleetManager.
class FleetContext
{
public:
  virtual ~FleetContext() = default;
  virtual TimePoint Now() const = 0;
  /// Whether this replica is the leader and holds its lease.
  virtual bool HoldsLeaderLease() const = 0;
  /// Whether this replica is the elected leader, with or without a lease.
  virtual bool IsLeading() const = 0;
  virtual std::uint64_t CurrentTerm() const = 0;
  /// The lowest feature level of all members of the group.
  virtual std::uint32_t LowestFeatureLevel() const = 0;
  /// IP:PORT of the leader's framed listener; empty when unknown.
  virtual std::string LeaderAddress() const = 0;
  virtual const PublishedState& Published() const = 0;
  virtual EntryRegistry& Entries() = 0;
  /// Proposes a command. FleetManager::OnCommitted or OnRefused follows, unless
  /// the caller is 0.
  virtual void ProposeFor(CallerId aCaller, const ControlCommand& aCommand) = 0;
  virtual CallId CallUpstream(HttpCall aCall) = 0;
  virtual void Answer(CallerId aCaller, OperatorAnswer aAnswer) = 0;
  virtual void Push(ConnectionId aTo, ControlMessage aMessage) = 0;
  virtual void Log(
    LogEvent aEvent,
    std::vector<std::pair<std::string, std::string>> aFields) = 0;
};

/// Settings of FleetManager.
struct FleetOptions
{
  Endpoint m_vmList;
  /// Interval between fetches of the VM list. Limited from above because all
  /// entries must learn of a leaving worker within the platform's notice
  /// period, and from below because each call is charged.
  Duration m_listInterval = Duration(1'000'000);
  /// Whether workers reject orders with an outdated fencing number.
  bool m_checksFencing = false;
  RolloutOptions m_rollout;
  std::string m_holder; ///< name of this VM in load orders
  StoreTimeouts m_storeTimeouts;
};

/// Fleet management for deployments whose operators publish route documents
/// and whose workers come from a VM list: serves operator requests, fetches the
/// VM list, orders workers to load weights and pushes updates to entries.
///
/// Pure; not thread-safe.
class FleetManager
{
public:
  FleetManager(FleetContext& aContext,
               FleetOptions aOptions,
               std::unique_ptr<FleetProtocol> aProtocol,
               std::unique_ptr<PartStoreProtocol> aStores);

  void OnOperatorRequest(CallerId aCaller, const OperatorRequest& aRequest);
  void OnCommitted(CallerId aCaller);
  void OnRefused(CallerId aCaller);

  /// Processes changes of the replicated state since the previous call: a new
  /// route document, newly named weights or blocked parts. To be called after
  /// each event of the control node, when everything that the event applied is
  /// in the state. Intermediate states, such as those of a new leader that
  /// applies its log, are not processed.
  void OnStateApplied();

  /// Processes an order that changed the replicated state. To be called on
  /// every replica.
  void OnEvacuation(const EvacuateCommand& aCommand)
  {
    m_evacuations.OnApplied(aCommand);
  }

  /// Processes a snapshot that replaced the state. To be called on every
  /// replica, with the data centres that were evacuated before.
  void OnStateRestored(const std::set<DataCentreId>& aEvacuatedBefore)
  {
    m_evacuations.OnRestored(aEvacuatedBefore);
  }

  void OnLeadership(bool aIsLeader, Duration aOldLease);
  void OnTick();
  /// Sets the fleet fields of the reply to an entry's heartbeat.
  void FillReply(const EntryHeartbeat& aHeartbeat,
                 HeartbeatReply& aReply) const;
  /// Pushes the routes, workers and stores that an entry lacks according to its
  /// last heartbeat, and marks the parts that it reported as used.
  void PushTo(EntrySession& aSession);

  /// Applies an entry's observations of parts that may crash workers.
  void OnPartReport(const PartReport& aReport)
  {
    m_blockedParts.OnReport(aReport);
  }

  /// Applies the limits that an entry's heartbeat reports, and pushes to it
  /// those that it lacks.
  void OnLimitReport(const EntrySession& aSession)
  {
    m_limits.OnHeartbeat(aSession);
  }

  /// Handles the answer of a call; returns false if this object did not start
  /// it.
  bool OnAnswered(const UpstreamCallEnded& aAnswer);
  /// Sends the order whose fencing number was committed.
  void OnOrderNumber(const EngineId& aEngine,
                     const std::string& aTarget,
                     std::uint64_t aNumber);

  const WorkerDirectory& Workers() const { return m_workers; }

private:
  enum class CallKind
  {
    List,
    Observation,
    Order,
  };
  struct Call
  {
    CallKind m_kind = CallKind::List;
    EngineId m_engine;
  };

  void On(CallerId aCaller, const PublishRoutes& aRequest);
  void On(CallerId aCaller, const ReadRoutes&);
  void On(CallerId aCaller, const NameWeights& aRequest);
  void On(CallerId aCaller, const InvalidRequest& aRequest);
  void On(CallerId aCaller, const UnknownEndpoint&);
  void On(CallerId aCaller, const EvacuateDataCentre& aRequest);
  void UpdateRoutes();
  void UpdateWeights();
  void FetchListPage(const std::string& aToken);
  void OnListPage(const UpstreamCallEnded& aAnswer);
  void OnObservationAnswer(const Call& aCall, const UpstreamCallEnded& aAnswer);
  void OnOrderAnswer(const Call& aCall, const UpstreamCallEnded& aAnswer);
  /// Returns whether a worker's version differs from the known one.
  bool ApplyObservedVersions(const EngineId& aEngine,
                             const EngineObservation& aObservation);
  void StepRollout();
  Configuration MakeDesiredConfiguration() const;
  void Execute(const RolloutAction& aAction);
  void Start(CallKind aKind,
             const EngineConfig& aEngine,
             HttpRequest aRequest,
             Duration aTimeout);
  void UpdateWorkers();
  void PushRoutes(EntrySession& aSession);
  void PushWorkers(EntrySession& aSession);
  WorkerList MakeWorkerList() const;

  FleetContext& m_context;
  FleetOptions m_options;
  std::unique_ptr<FleetProtocol> m_protocol;
  std::unique_ptr<StoreManager> m_stores; ///< null: stores are not used
  RouteDocument m_document;               ///< last processed one, parsed
  std::deque<RouteDelta> m_routeDeltas;   ///< consecutive, oldest first
  WorkerDirectory m_workers;
  TimePoint m_listRequestedAt; ///< of the last one requested
  TimePoint m_listReadAt;      ///< request time of the one in m_workers
  bool m_hasList = false;
  std::uint64_t m_workerListNumber = 0;
  NewestWeights m_newestWeights;
  /// Named versions processed in this term, by model.
  std::map<std::string, std::int64_t> m_announcedWeights;
  BlockedPartManager m_blockedParts;
  LimitManager m_limits;
  SoftwareVersionManager m_software;
  EvacuationManager m_evacuations;
  Rollout m_rollout;
  Configuration m_desired; ///< input of m_rollout: workers, named weights
  std::map<CallId, Call> m_calls;
  bool m_isFetchingList = false;
  TimePoint m_nextListFetch;
  TimePoint m_nextRollout;
};

} // namespace fulmarquay

#endif
