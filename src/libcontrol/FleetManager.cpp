#include "fulmarquay/control/FleetManager.h"

#include "fulmarquay/control/ControlNode.h"
#include "fulmarquay/control/EntryRegistry.h"
#include "fulmarquay/core/Error.h"
#include "fulmarquay/wire/HttpStatus.h"

namespace fulmarquay {

namespace {

// The VM list and workers answer within a few ms. The timeouts are shorter than
// the default list interval, so that a lost answer does not delay the next
// fetch.
constexpr Duration kListTimeout(800'000);
constexpr Duration kWorkerCallTimeout(500'000);
/// Delay before a push that the entry has not confirmed is repeated.
constexpr Duration kPushRetryInterval(1'000'000);
constexpr Duration kRolloutInterval(50'000);
/// Entries that lag by more documents get the whole document.
constexpr std::size_t kMaxRouteDeltas = 32;
/// The bits below the term count the changes of the worker list in that term.
constexpr unsigned kTermShiftBits = 24;
/// A logged page token is cut to this length.
constexpr std::size_t kMaxLoggedTokenBytes = 100;

} // namespace

FleetManager::FleetManager(FleetContext& aContext,
                           FleetOptions aOptions,
                           std::unique_ptr<FleetProtocol> aProtocol,
                           std::unique_ptr<PartStoreProtocol> aStores)
  : m_context(aContext)
  , m_options(std::move(aOptions))
  , m_protocol(std::move(aProtocol))
  , m_blockedParts(aContext)
  , m_limits(aContext)
  , m_software(aContext)
  , m_evacuations(aContext)
  , m_rollout(m_options.m_rollout)
{
  if (aStores) {
    m_stores = std::make_unique<StoreManager>(
      m_context, m_options.m_storeTimeouts, std::move(aStores));
  }
}

void
FleetManager::OnStateApplied()
{
  if (m_context.HoldsLeaderLease()) {
    // Without the lease, versions may have been named that are not applied
    // here yet.
    for (const auto& [model, version] : m_context.Published().Weights()) {
      m_newestWeights.OnNamed(model, version);
    }
    m_newestWeights.OnConfirmed(m_context.Now());
    UpdateRoutes();
    UpdateWeights();
    const bool isBlockedChanged = m_blockedParts.OnStateApplied();
    const bool isEvacuationChanged = m_evacuations.OnStateApplied();
    if (m_software.OnStateApplied() || isBlockedChanged ||
        isEvacuationChanged) {
      UpdateWorkers();
    }
  }
}

void
FleetManager::UpdateRoutes()
{
  const PublishedState& published = m_context.Published();
  if (published.Current() == m_document.m_revision) {
    return;
  }
  m_context.Log(LogEvent::RoutesPublished,
                { { "revision", std::to_string(published.Current().Value()) },
                  { "bytes", std::to_string(published.Source().size()) } });
  RouteDocument document = m_protocol->ParseRoutes(published.Source());
  document.m_revision = published.Current();
  if (m_document.m_revision != Revision(0)) {
    m_routeDeltas.push_back(MakeDelta(m_document, document));
  }
  if (m_routeDeltas.size() > kMaxRouteDeltas) {
    m_routeDeltas.pop_front();
  }
  m_document = std::move(document);
  if (m_stores) {
    m_stores->Configure(m_document);
  }
  for (auto& [vm, session] : m_context.Entries().All()) {
    PushTo(session);
  }
}

void
FleetManager::UpdateWeights()
{
  const auto& weights = m_context.Published().Weights();
  if (weights == m_announcedWeights) {
    return;
  }
  for (const auto& [model, version] : weights) {
    if (m_announcedWeights[model] != version) {
      m_context.Log(
        LogEvent::WeightsNamed,
        { { "model", model }, { "version", std::to_string(version) } });
    }
  }
  m_announcedWeights = weights;
  if (m_stores) {
    m_stores->OnNewestWeights(weights);
  }
  UpdateWorkers();
  StepRollout();
}

void
FleetManager::OnLeadership(bool aIsLeader, Duration aOldLease)
{
  m_calls.clear();
  m_routeDeltas.clear();
  m_isFetchingList = false;
  m_hasList = false;
  m_announcedWeights.clear();
  m_blockedParts.OnLeadership();
  m_limits.OnLeadership();
  m_software.OnLeadership();
  m_evacuations.OnLeadership();
  m_desired = Configuration();
  m_nextListFetch = m_context.Now();
  m_workerListNumber = m_context.CurrentTerm() << kTermShiftBits;
  if (m_stores) {
    m_stores->OnLeadership();
    m_stores->Configure(m_document);
  }
  if (aIsLeader) {
    m_rollout.Start(m_context.Now(), aOldLease);
  }
}

void
FleetManager::OnTick()
{
  if (!m_context.HoldsLeaderLease()) {
    return;
  }
  if (m_stores) {
    m_stores->OnTick();
  }
  m_blockedParts.OnTick();
  m_limits.OnTick(m_workers.Workers(), m_document);
  const TimePoint now = m_context.Now();
  if (!m_isFetchingList && now >= m_nextListFetch) {
    m_nextListFetch = now + m_options.m_listInterval;
    m_listRequestedAt = now;
    m_workers.BeginRefresh();
    FetchListPage("");
  }
  if (now >= m_nextRollout) {
    m_nextRollout = now + kRolloutInterval;
    StepRollout();
  }
}

void
FleetManager::FetchListPage(const std::string& aToken)
{
  m_isFetchingList = true;
  EngineConfig list;
  list.m_address = m_options.m_vmList;
  Start(CallKind::List, list, m_protocol->ListPage(aToken), kListTimeout);
}

void
FleetManager::Start(CallKind aKind,
                    const EngineConfig& aEngine,
                    HttpRequest aRequest,
                    Duration aTimeout)
{
  HttpCall call;
  call.m_peer = aEngine.m_address;
  call.m_request = std::move(aRequest);
  call.m_idleTimeout = aTimeout;
  call.m_totalTimeout = aTimeout;
  call.m_connectTimeout = aTimeout;
  const CallId id = m_context.CallUpstream(std::move(call));
  m_calls[id] = { aKind, aEngine.m_id };
}

bool
FleetManager::OnAnswered(const UpstreamCallEnded& aAnswer)
{
  if (m_stores && m_stores->OnAnswered(aAnswer)) {
    return true;
  }
  const auto found = m_calls.find(aAnswer.m_call);
  if (found == m_calls.end()) {
    return false;
  }
  const Call call = found->second;
  m_calls.erase(found);
  switch (call.m_kind) {
    case CallKind::List:
      OnListPage(aAnswer);
      break;
    case CallKind::Observation:
      OnObservationAnswer(call, aAnswer);
      break;
    case CallKind::Order:
      OnOrderAnswer(call, aAnswer);
      break;
  }
  return true;
}

void
FleetManager::OnListPage(const UpstreamCallEnded& aAnswer)
{
  m_isFetchingList = false;
  const bool isSuccess =
    aAnswer.m_end == CallResult::Complete && aAnswer.m_status == kStatusOk;
  try {
    if (!isSuccess) {
      throw Error("read VM list",
                  m_options.m_vmList.ToString(),
                  "status " + std::to_string(aAnswer.m_status));
    }
    WorkerPage page = m_protocol->ParsePage(aAnswer.m_body);
    const std::string next = page.m_next;
    const std::size_t skipped = m_workers.Skipped();
    const bool isChanged = m_workers.AddPage(std::move(page));
    if (m_workers.IsRefreshing()) {
      FetchListPage(next);
      return;
    }
    if (m_workers.IsCut()) {
      m_context.Log(LogEvent::VmListCut,
                    { { "workers", std::to_string(m_workers.Workers().size()) },
                      { "token", next.substr(0, kMaxLoggedTokenBytes) } });
    }
    m_listReadAt = m_listRequestedAt;
    m_software.OnListed(m_workers.Workers(), !m_workers.IsCut());
    const bool isReleased = m_evacuations.OnListRead(m_listRequestedAt);
    const bool mustUpdate = isChanged || !m_hasList;
    if (mustUpdate || skipped != m_workers.Skipped()) {
      m_context.Log(LogEvent::VmListChanged,
                    { { "workers", std::to_string(m_workers.Workers().size()) },
                      { "skipped", std::to_string(m_workers.Skipped()) } });
    }
    if (mustUpdate || isReleased) {
      m_hasList = true;
      UpdateWorkers();
    }
  } catch (const Error& e) {
    m_context.Log(LogEvent::VmListFailed,
                  { { "peer", e.Peer() }, { "reason", e.Reason() } });
  }
}

Configuration
FleetManager::MakeDesiredConfiguration() const
{
  Configuration desired;
  for (const auto& [name, version] : m_context.Published().Weights()) {
    ModelConfig model;
    model.m_name = name;
    model.m_target = std::to_string(version);
    model.m_weights = model.m_target;
    desired.m_models[name] = model;
  }
  for (const WorkerInfo& worker : m_workers.Workers()) {
    EngineConfig engine;
    for (const auto& [model, version] : worker.m_weights) {
      if (desired.m_models.count(model) != 0) {
        engine.m_models[model] = std::to_string(version);
      }
    }
    if (engine.m_models.empty() || worker.m_isLeaving) {
      continue;
    }
    engine.m_id = EngineId(worker.m_id.Value());
    engine.m_address = Endpoint::Parse(worker.m_address);
    engine.m_dataCentre = worker.m_dataCentre;
    engine.m_checksFencing = m_options.m_checksFencing;
    desired.m_engines[engine.m_id] = engine;
  }
  return desired;
}

void
FleetManager::StepRollout()
{
  if (m_context.Published().Weights().empty() || !m_hasList) {
    return;
  }
  for (const RolloutAction& action :
       m_rollout.Step(m_context.Now(), m_desired)) {
    Execute(action);
  }
}

void
FleetManager::Execute(const RolloutAction& aAction)
{
  if (const auto* observe = std::get_if<ObserveEngine>(&aAction)) {
    Start(CallKind::Observation,
          m_desired.m_engines.at(observe->m_engine),
          m_protocol->Observe(),
          kWorkerCallTimeout);
  } else if (const auto* request = std::get_if<RequestOrderNumber>(&aAction)) {
    IssueOrderCommand command;
    command.m_engine = request->m_engine;
    command.m_kind = "load";
    command.m_target = request->m_target;
    m_context.ProposeFor(CallerId(0), command);
  }
}

void
FleetManager::OnOrderNumber(const EngineId& aEngine,
                            const std::string& aTarget,
                            std::uint64_t aNumber)
{
  const auto engine = m_desired.m_engines.find(aEngine);
  const std::vector<RolloutAction> actions =
    m_rollout.OnOrderNumberAssigned(m_context.Now(), aEngine, aTarget, aNumber);
  if (actions.empty()) {
    return;
  }
  // A newer version may have been named while the number was being committed.
  const SendOrder& send = std::get<SendOrder>(actions.front());
  const auto& weights = m_context.Published().Weights();
  const auto newest = weights.find(send.m_model);
  const bool isCurrent = engine != m_desired.m_engines.end() &&
                         newest != weights.end() &&
                         std::to_string(newest->second) == aTarget;
  if (!isCurrent || !m_context.HoldsLeaderLease()) {
    m_rollout.OnOrderEnded(m_context.Now(), aEngine, OrderOutcome::Failed);
    return;
  }
  LoadOrder order;
  order.m_worker = WorkerId(aEngine.Value());
  order.m_model = send.m_model;
  order.m_version = std::stoll(aTarget);
  order.m_number = aNumber;
  order.m_holder = m_options.m_holder;
  order.m_sequence = send.m_sequence;
  m_context.Log(LogEvent::OrderIssued,
                { { "engine", aEngine.Value() },
                  { "number", std::to_string(aNumber) },
                  { "model", send.m_model },
                  { "target", aTarget },
                  { "sequence", std::to_string(send.m_sequence) } });
  Start(CallKind::Order,
        engine->second,
        m_protocol->Load(order),
        kWorkerCallTimeout);
}

void
FleetManager::OnObservationAnswer(const Call& aCall,
                                  const UpstreamCallEnded& aAnswer)
{
  if (aAnswer.m_end != CallResult::Complete || aAnswer.m_status != kStatusOk) {
    m_context.Log(LogEvent::UpstreamFailed,
                  { { "engine", aCall.m_engine.Value() },
                    { "step", "observe" },
                    { "status", std::to_string(aAnswer.m_status) } });
    return;
  }
  try {
    const EngineObservation observation =
      m_protocol->ParseObservation(aAnswer.m_body);
    m_rollout.OnObserved(m_context.Now(), aCall.m_engine, observation);
    if (ApplyObservedVersions(aCall.m_engine, observation)) {
      UpdateWorkers();
    }
    StepRollout();
  } catch (const Error& e) {
    m_context.Log(LogEvent::UpstreamFailed,
                  { { "engine", aCall.m_engine.Value() },
                    { "step", e.Step() },
                    { "reason", e.Reason() } });
  }
}

bool
FleetManager::ApplyObservedVersions(const EngineId& aEngine,
                                    const EngineObservation& aObservation)
{
  const auto engine = m_desired.m_engines.find(aEngine);
  if (aObservation.m_isBusy || engine == m_desired.m_engines.end()) {
    return false;
  }
  bool isChanged = false;
  for (const auto& [model, weights] : aObservation.m_weights) {
    if (engine->second.m_models.count(model) != 0 &&
        m_workers.OnObserved(
          WorkerId(aEngine.Value()), model, std::stoll(weights))) {
      isChanged = true;
    }
  }
  return isChanged;
}

void
FleetManager::OnOrderAnswer(const Call& aCall, const UpstreamCallEnded& aAnswer)
{
  const bool isComplete = aAnswer.m_end == CallResult::Complete;
  const OrderOutcome outcome = isComplete
                                 ? m_protocol->ReadOrderStatus(aAnswer.m_status)
                                 : OrderOutcome::Failed;
  m_context.Log(
    LogEvent::OrderEnded,
    { { "engine", aCall.m_engine.Value() },
      { "status", isComplete ? std::to_string(aAnswer.m_status) : "none" } });
  m_rollout.OnOrderEnded(m_context.Now(), aCall.m_engine, outcome);
}

void
FleetManager::UpdateWorkers()
{
  ++m_workerListNumber;
  m_desired = MakeDesiredConfiguration();
  for (auto& [vm, session] : m_context.Entries().All()) {
    PushWorkers(session);
  }
}

void
FleetManager::FillReply(const EntryHeartbeat& aHeartbeat,
                        HeartbeatReply& aReply) const
{
  aReply.m_weights =
    m_newestWeights.MakeReport(m_context.Now(), aHeartbeat.m_weightsRevision);
  aReply.m_routes = m_context.Published().Current();
  aReply.m_workers = m_hasList ? m_workerListNumber : 0;
  if (m_hasList) {
    aReply.m_listAgeUs = (m_context.Now() - m_listReadAt).count();
  }
  if (m_stores) {
    aReply.m_workersClockMs = m_stores->WorkerClockMs();
    aReply.m_storeDataValidUs = m_options.m_storeTimeouts.m_mapLease.count();
    aReply.m_fetchLimitUs = m_options.m_storeTimeouts.m_fetchTimeout.count();
  }
}

void
FleetManager::PushTo(EntrySession& aSession)
{
  PushRoutes(aSession);
  PushWorkers(aSession);
  if (m_stores) {
    m_stores->OnPartsUsed(aSession.m_last.m_recentlyReadParts);
    aSession.m_last.m_recentlyReadParts.clear();
    m_stores->PushTo(aSession);
  }
}

void
FleetManager::PushRoutes(EntrySession& aSession)
{
  const Revision held = aSession.m_last.m_routes;
  const Revision current = m_document.m_revision;
  const TimePoint now = m_context.Now();
  if (held >= current || aSession.m_connection == ConnectionId()) {
    return;
  }
  const bool isInFlight = aSession.m_routesPushed > held &&
                          now < aSession.m_routesPushedAt + kPushRetryInterval;
  const Revision base = isInFlight ? aSession.m_routesPushed : held;
  if (base >= current) {
    return;
  }
  aSession.m_routesPushed = current;
  aSession.m_routesPushedAt = now;
  bool isFound = false;
  for (const RouteDelta& delta : m_routeDeltas) {
    isFound = isFound || delta.m_from == base;
    if (isFound) {
      m_context.Push(aSession.m_connection, RoutePush{ delta });
    }
  }
  if (!isFound) {
    m_context.Push(aSession.m_connection,
                   RoutePush{ MakeDelta(RouteDocument(), m_document) });
  }
}

void
FleetManager::PushWorkers(EntrySession& aSession)
{
  const TimePoint now = m_context.Now();
  const bool isInFlight = aSession.m_workersPushed == m_workerListNumber &&
                          now < aSession.m_workersPushedAt + kPushRetryInterval;
  if (!m_hasList || isInFlight ||
      aSession.m_last.m_workers == m_workerListNumber ||
      aSession.m_connection == ConnectionId()) {
    return;
  }
  aSession.m_workersPushed = m_workerListNumber;
  aSession.m_workersPushedAt = now;
  m_context.Push(aSession.m_connection, WorkerPush{ MakeWorkerList() });
}

WorkerList
FleetManager::MakeWorkerList() const
{
  WorkerList list;
  list.m_number = m_workerListNumber;
  for (const WorkerInfo& worker : m_workers.Workers()) {
    if (m_software.IsPublishable(worker)) {
      list.m_workers.push_back(worker);
    }
  }
  list.m_software = m_context.Published().Software();
  for (const auto& [model, version] : m_context.Published().Weights()) {
    list.m_weights.push_back({ model, version });
  }
  const auto& blocked = m_context.Published().BlockedParts();
  list.m_blockedParts.assign(blocked.begin(), blocked.end());
  list.m_evacuated = m_evacuations.Listed();
  return list;
}

} // namespace fulmarquay
