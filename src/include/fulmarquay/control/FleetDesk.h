#ifndef FULMARQUAY_CONTROL_FLEETDESK_H
#define FULMARQUAY_CONTROL_FLEETDESK_H

#include "fulmarquay/control/ControlMessages.h"
#include "fulmarquay/control/FleetProtocol.h"
#include "fulmarquay/control/OperatorProtocol.h"
#include "fulmarquay/control/PublishTable.h"
#include "fulmarquay/control/StoreDesk.h"
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

struct EngineAnswered;
struct EntrySession;
class EntryRegistry;

/// What a FleetDesk asks of the control node that it is a part of.
class FleetDeskOwner
{
public:
  virtual ~FleetDeskOwner() = default;
  virtual TimePoint Now() const = 0;
  /// Whether this replica leads under a proven lease.
  virtual bool MayLead() const = 0;
  /// Whether it was elected, with or without a lease.
  virtual bool IsLeading() const = 0;
  virtual std::uint64_t CurrentTerm() const = 0;
  /// The leader's framed listener; empty when it is unknown.
  virtual std::string LeaderAddress() const = 0;
  virtual const PublishTable& Published() const = 0;
  virtual EntryRegistry& Entries() = 0;
  /// Commits a command; OnCommitted or OnRefused follows for the caller,
  /// unless it is 0.
  virtual void ProposeFor(CallerId aCaller, const ControlCommand& aCommand) = 0;
  virtual CallId CallUpstream(HttpCall aCall) = 0;
  virtual void Answer(CallerId aCaller, OperatorAnswer aAnswer) = 0;
  virtual void Push(ConnectionId aTo, ControlMessage aMessage) = 0;
  virtual void Log(
    LogEvent aEvent,
    std::vector<std::pair<std::string, std::string>> aFields) = 0;
};

/// How the leader looks after the fleet.
struct FleetOptions
{
  Endpoint m_vmList;
  /// Between two readings of the VM list. A worker that leaves must be known
  /// everywhere within the platform's notice, and calls are paid for.
  Duration m_listInterval = Duration(1'000'000);
  /// Whether workers refuse orders with an old fencing number.
  bool m_checksFencing = false;
  RolloutOptions m_rollout;
  std::string m_holder; ///< names this VM in orders
  StoreLease m_stores;
};

/// The part of the control node that serves a deployment whose operators
/// publish route documents and whose workers come from a VM list: operators'
/// calls, the reading of the list, weight orders, pushes to entries.
///
/// Pure; not thread-safe.
class FleetDesk
{
public:
  FleetDesk(FleetDeskOwner& aOwner,
            FleetOptions aOptions,
            std::unique_ptr<FleetProtocol> aProtocol,
            std::unique_ptr<PartStoreProtocol> aStores);

  void OnOperator(CallerId aCaller, const OperatorRequest& aRequest);
  void OnCommitted(CallerId aCaller);
  void OnRefused(CallerId aCaller);

  /// Acts on what is new in the replicated state since the last call: a
  /// document, named weights. To be called after each event of the control
  /// node, when all that it applied is in the state; what an event passes
  /// through on the way, as a new leader does with its log, is no news.
  void FollowState();

  void OnLeadership(bool aIsLeader, Duration aOldLease);
  void OnTick();
  /// Fills the reply to an entry's heartbeat.
  void FillReply(HeartbeatReply& aReply) const;
  /// Brings an entry up to date after its heartbeat.
  void PushTo(EntrySession& aSession);

  /// Whether the call was one of this part.
  bool OnAnswered(const EngineAnswered& aAnswer);
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
    std::string m_model;
  };

  void On(CallerId aCaller, const PublishRoutes& aRequest);
  void On(CallerId aCaller, const ReadRoutes&);
  void On(CallerId aCaller, const NameWeights& aRequest);
  void On(CallerId aCaller, const WrongRequest& aRequest);
  void On(CallerId aCaller, const NoSuchCall&);
  void FollowRoutes();
  void FollowWeights();
  void ReadList(const std::string& aToken);
  void OnListPage(const EngineAnswered& aAnswer);
  void OnObservation(const Call& aCall, const EngineAnswered& aAnswer);
  void OnOrderAnswer(const Call& aCall, const EngineAnswered& aAnswer);
  void StepRollout();
  Configuration MakeGoal() const;
  void Carry(const RolloutAction& aAction);
  void Start(CallKind aKind,
             const EngineConfig& aEngine,
             HttpRequest aRequest,
             Duration aTimeout);
  void ChangeWorkers();
  void PushRoutes(EntrySession& aSession);
  void PushWorkers(EntrySession& aSession);
  WorkerList MakeList() const;

  FleetDeskOwner& m_owner;
  FleetOptions m_options;
  std::unique_ptr<FleetProtocol> m_protocol;
  std::unique_ptr<StoreDesk> m_stores; ///< null: stores are not used
  RouteDocument m_document;            ///< typed form of the committed one
  std::deque<RouteDelta> m_deltas;
  WorkerDirectory m_workers;
  bool m_hasList = false;
  std::uint64_t m_workersNumber = 0;
  /// A named version, and when this replica learned of it.
  struct Named
  {
    std::int64_t m_version = 0;
    TimePoint m_since;
  };
  std::map<std::string, Named> m_named;            ///< by model
  std::map<std::string, std::int64_t> m_announced; ///< by this leader
  Rollout m_rollout;
  Configuration m_goal; ///< workers and their named weights, for m_rollout
  std::map<CallId, Call> m_calls;
  bool m_isReading = false;
  TimePoint m_nextReading;
  TimePoint m_nextRollout;
};

} // namespace fulmarquay

#endif
