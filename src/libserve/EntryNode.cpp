#include "fulmarquay/serve/EntryNode.h"

#include "fulmarquay/core/AddressText.h"
#include "fulmarquay/core/Digest.h"
#include "fulmarquay/core/Error.h"
#include "fulmarquay/wire/FrameHub.h"

#include <nlohmann/json.hpp>
#include <utility>

namespace fulmarquay {

namespace {

constexpr const char* kChatPath = "/v1/chat/completions";
constexpr const char* kServicesPath = "/v1/services/";
constexpr const char* kKeyScheme = "Bearer";
constexpr Duration kRetryAfter(1'000'000);
/// Time before the end of the process in which the last answers are sent.
constexpr Duration kAnswerTime(500'000);

std::string
PathOf(const std::string& aTarget)
{
  return aTarget.substr(0, aTarget.find('?'));
}

/// Leaves out the peers without a usable address. Each process states its own,
/// which must not keep the others from their peers.
template<typename Peer>
void
DropUnusable(EntryContext& aContext, std::vector<Peer>& aPeers)
{
  std::erase_if(aPeers, [&](const Peer& aEach) {
    if (ReadAddress(aEach.m_address)) {
      return false;
    }
    aContext.Counters().Count("unusable_addresses_total");
    aContext.Log(LogEvent::BadFrame,
                 { { "step", "read peers" },
                   { "reason", aEach.m_vm.Value() + " has no IP:PORT" } });
    return true;
  });
}

} // namespace

EntryNode::EntryNode(EntryOptions aOptions)
  : m_options(std::move(aOptions))
  , m_context(m_options.m_identity, m_options.m_seed)
  , m_protocol(MakeJsonEngineProtocol())
  , m_config(m_context, m_options.m_peers)
  , m_control(m_context,
              *this,
              m_options.m_control,
              m_options.m_heartbeatInterval,
              m_options.m_discoversReplicas)
  , m_cache(m_context, m_config)
  , m_engines(m_context, m_config, m_cache, *m_protocol)
  , m_writeBack(m_context, m_config, m_cache, *m_protocol)
  , m_chat(m_context,
           m_config,
           m_cache,
           m_engines,
           *m_protocol,
           m_writeBack,
           m_options.m_chat)
  , m_services(m_context, m_control)
{
  if (m_options.m_relayProtocol) {
    m_relay = std::make_unique<RelayFlow>(
      m_context, *m_options.m_relayProtocol, m_options.m_relay);
  }
}

EntryEffects
EntryNode::Reduce(TimePoint aNow, const EntryEvent& aEvent)
{
  m_context.Begin(aNow);
  std::visit([this](const auto& aBody) { On(aBody); }, aEvent);
  ApplyConfiguration();
  return m_context.TakeEffects();
}

void
EntryNode::ApplyConfiguration()
{
  if (m_config.InForce() == m_appliedRevision) {
    return;
  }
  m_appliedRevision = m_config.InForce();
  m_cache.OnConfiguration();
  m_engines.OnConfiguration();
  m_control.SendHeartbeat();
}

EntryHeartbeat
EntryNode::MakeHeartbeat()
{
  EntryHeartbeat heartbeat;
  const EntryIdentity& self = m_context.Self();
  heartbeat.m_vm = self.m_vm;
  heartbeat.m_dataCentre = self.m_dataCentre;
  heartbeat.m_boot = self.m_boot;
  heartbeat.m_address = self.m_address;
  heartbeat.m_held = m_config.Held();
  heartbeat.m_inForce = m_config.InForce();
  heartbeat.m_heldPeersVersion = m_heldPeersVersion;
  heartbeat.m_heldLoadPeersVersion = m_heldLoadPeersVersion;
  heartbeat.m_heldRelayPeersVersion = m_heldRelayPeersVersion;
  heartbeat.m_relayAddress = self.m_relayAddress;
  heartbeat.m_sentAtUs = m_context.Now().time_since_epoch().count();
  if (m_relay) {
    heartbeat.m_routes = m_relay->Routes().Document().m_revision;
    heartbeat.m_workers = m_relay->Workers().Number();
    heartbeat.m_stores = m_relay->Parts().State();
    heartbeat.m_recentlyReadParts = m_relay->TakeUsedPartKeys();
    heartbeat.m_heldTokens = m_relay->HeldTokens();
    heartbeat.m_limits = m_relay->MakeLimitReport();
    heartbeat.m_weightsRevision = m_relay->Weights().Revision();
  }
  return heartbeat;
}

void
EntryNode::OnHeartbeatReply(const HeartbeatReply& aReply)
{
  std::vector<EntryPeer> peers = aReply.m_peers;
  std::vector<EntryPeer> loadPeers = aReply.m_loadPeers;
  std::vector<RelayPeer> relayPeers = aReply.m_relayPeers;
  DropUnusable(m_context, peers);
  DropUnusable(m_context, loadPeers);
  DropUnusable(m_context, relayPeers);
  m_heldPeersVersion = aReply.m_peersVersion;
  m_heldLoadPeersVersion = aReply.m_loadPeersVersion;
  m_limits.SetLiveEntries(aReply.m_liveEntries);
  m_config.OnConfirmed(aReply.m_revision, peers);
  if (!m_relay) {
    return;
  }
  // A key revoked before this heartbeat was sent is already absent from the
  // routes held here; a key revoked later is valid for at most the key lease.
  if (m_relay->Routes().Document().m_revision >= aReply.m_routes) {
    m_relay->OnConfirmed(m_control.LastConfirmed() + m_options.m_keyLease,
                         aReply.m_liveEntries);
  }
  m_relay->OnListConfirmed(
    aReply.m_workers, m_control.LastConfirmed(), Duration(aReply.m_listAgeUs));
  m_relay->OnLimitSharesConfirmed(m_control.LastConfirmed() + kLimitShareLease,
                                  aReply.m_liveEntries);
  if (aReply.m_term != m_leaderTerm) {
    m_leaderTerm = aReply.m_term;
    m_relay->OnNewLeader();
  }
  m_relay->OnWeightsReport(aReply.m_weights, m_control.LastConfirmed());
  m_relay->OnOtherEntriesHeldTokens(aReply.m_otherEntriesHeldTokens);
  if (!loadPeers.empty()) {
    m_relay->OnLoadPeers(loadPeers);
  }
  if (aReply.m_relayPeersVersion != m_heldRelayPeersVersion) {
    m_heldRelayPeersVersion = aReply.m_relayPeersVersion;
    m_relay->OnRelayPeers(relayPeers);
  }
  m_relay->OnStoreLeaseConfirmed(m_control.LastConfirmed() +
                                   Duration(aReply.m_storeDataValidUs),
                                 Duration(aReply.m_fetchLimitUs),
                                 aReply.m_workersClockMs);
}

void
EntryNode::OnStorePush(const StorePush& aPush)
{
  // After a delta that does not fit, the next heartbeat makes the leader send
  // the full state.
  if (m_relay && !m_relay->OnStoreUpdate(aPush)) {
    m_control.SendHeartbeat();
  }
}

void
EntryNode::OnPartQuery(const PartQuery& aQuery)
{
  if (m_relay) {
    m_relay->OnPartQuery(aQuery);
  }
}

void
EntryNode::OnLimitPush(const LimitPush& aPush)
{
  if (m_relay) {
    m_relay->OnLimits(aPush);
  }
}

void
EntryNode::OnRoutePush(const RoutePush& aPush)
{
  if (!m_relay) {
    return;
  }
  try {
    m_relay->OnRoutes(aPush.m_delta);
  } catch (const Error& e) {
    // The next heartbeat reports the revision held here, so that the leader
    // sends a matching delta.
    m_context.Log(LogEvent::RoutesRefused,
                  { { "step", e.Step() }, { "problems", e.Reason() } });
  }
  m_control.SendHeartbeat();
}

void
EntryNode::OnWorkerPush(const WorkerPush& aPush)
{
  if (m_relay && m_relay->OnWorkerList(aPush.m_list)) {
    // The reply contains when the weights were named.
    m_control.SendHeartbeat();
  }
}

void
EntryNode::OnConfigPush(const ConfigPush& aPush)
{
  if (m_config.OnPush(aPush.m_delta)) {
    m_control.SendHeartbeat();
  }
}

void
EntryNode::OnOnceProbe(const OnceProbe& aProbe)
{
  m_services.OnProbe(aProbe);
}

void
EntryNode::On(const EntryTick& aEvent)
{
  m_lastTick = aEvent;
  m_control.OnTick();
  m_config.OnTick(m_control.HasLease());
  m_cache.OnTick();
  m_engines.OnTick();
  m_writeBack.OnTick();
  m_chat.OnTick();
  if (m_relay) {
    m_relay->OnTick();
    if (const auto report = m_relay->TakePartReport()) {
      m_control.Report(*report);
    }
    if (m_relay->IsLimitReportDue() && !m_control.IsAwaitingReply()) {
      m_control.SendHeartbeat();
    }
  }
  if (!m_isDraining || m_isStopped) {
    return;
  }
  const TimePoint now = m_context.Now();
  if (m_relay && now >= m_drainStartedAt + m_options.m_drainDelay) {
    m_relay->StopAdmitting();
  }
  const bool isIdle =
    now >= m_drainStartedAt + m_options.m_drainDelay && Running() == 0;
  if (isIdle || now >= m_drainStartedAt + m_options.m_drainLimit) {
    m_isStopped = true;
    m_context.Log(LogEvent::DrainFinished,
                  { { "running", std::to_string(Running()) } });
    m_context.Emit(EntryStopped{});
  }
}

void
EntryNode::On(const DrainRequested&)
{
  if (!m_isDraining) {
    m_isDraining = true;
    m_drainStartedAt = m_context.Now();
    if (m_relay) {
      m_relay->AnswerAllBy(m_drainStartedAt + m_options.m_drainLimit -
                           kAnswerTime);
    }
    m_context.Log(LogEvent::DrainStarted,
                  { { "running", std::to_string(Running()) } });
  }
}

std::size_t
EntryNode::Running() const
{
  return m_chat.Running() + m_services.Running() +
         (m_relay ? m_relay->Running() : 0);
}

bool
EntryNode::IsReady() const
{
  const bool isServing =
    m_relay ? m_relay->IsReady() : m_config.Current() != nullptr;
  return isServing && !m_isDraining;
}

Revision
EntryNode::RoutesRevision() const
{
  return m_relay ? m_relay->Routes().Document().m_revision : Revision(0);
}

CallerLimits
EntryNode::Limits() const
{
  return m_relay ? m_relay->Routes().Document().m_limits : CallerLimits();
}

void
EntryNode::Respond(CallerId aCaller, int aStatus, const std::string& aBody)
{
  HttpResponse response;
  response.m_status = aStatus;
  response.m_headers = { { "Content-Type", "text/plain" } };
  response.m_body = aBody;
  m_context.Emit(RespondCaller{ aCaller, std::move(response) });
}

void
EntryNode::On(const CallerRequest& aEvent)
{
  const CallerId caller = aEvent.m_caller;
  if (m_relay) {
    m_relay->Start(caller, aEvent.m_request, aEvent.m_isPassed);
    return;
  }
  const std::string path = PathOf(aEvent.m_request.m_target);
  if (path == "/healthz") {
    Respond(caller, 200, "ok\n");
  } else if (path == "/readyz") {
    Respond(
      caller, IsReady() ? 200 : 503, IsReady() ? "ready\n" : "not ready\n");
  } else if (path == "/metrics") {
    Respond(caller, 200, RenderMetrics());
  } else {
    ServeCaller(caller, aEvent.m_request);
  }
}

void
EntryNode::ServeCaller(CallerId aCaller, const HttpRequest& aRequest)
{
  const std::string path = PathOf(aRequest.m_target);
  const bool isChat = path == kChatPath && aRequest.m_method == "POST";
  const bool isService = path.starts_with(kServicesPath);
  if (!isChat && !isService) {
    m_context.Refuse(
      aCaller, { 404, "not_run", "find path", "no such path", Duration(0) });
    return;
  }
  if (m_config.Current() == nullptr) {
    m_context.Refuse(aCaller,
                     { 503,
                       "not_run",
                       "find configuration",
                       "no configuration is in force here yet",
                       kRetryAfter });
    return;
  }
  const AccountConfig* account = Authenticate(aRequest);
  if (account == nullptr) {
    m_context.Refuse(aCaller,
                     { 401,
                       "not_run",
                       "authenticate",
                       "no account has this bearer key",
                       Duration(0) });
    return;
  }
  if (isChat) {
    ServeChat(aCaller, *account, aRequest);
  } else {
    ServeService(aCaller, *account, aRequest);
  }
}

const AccountConfig*
EntryNode::Authenticate(const HttpRequest& aRequest) const
{
  const std::vector<std::string> keys =
    FindCredentials(aRequest.m_headers, kKeyScheme);
  if (keys.size() != 1) {
    return nullptr;
  }
  const auto& accounts = m_config.Current()->m_accountsByKeyHash;
  const auto found = accounts.find(Sha256Hex(keys.front()));
  return found == accounts.end() ? nullptr : &found->second;
}

void
EntryNode::ServeChat(CallerId aCaller,
                     const AccountConfig& aAccount,
                     const HttpRequest& aRequest)
{
  try {
    ChatRequest request = ParseChatRequest(aRequest.m_body);
    const Tokens tokens =
      EstimateTokens(request.m_prompt) + Tokens(request.m_maxTokens);
    const Duration wait = m_limits.Take(m_context.Now(), aAccount, tokens);
    if (wait > Duration(0)) {
      m_context.Refuse(aCaller,
                       { 429,
                         "not_run",
                         "limit account",
                         "the account's token rate is used up",
                         wait });
      return;
    }
    m_chat.Start(aCaller, aAccount.m_id, std::move(request));
  } catch (const Error& e) {
    m_context.Refuse(aCaller,
                     { 400, "not_run", e.Step(), e.Reason(), Duration(0) });
  }
}

void
EntryNode::ServeService(CallerId aCaller,
                        const AccountConfig& aAccount,
                        const HttpRequest& aRequest)
{
  const std::string rest =
    aRequest.m_target.substr(std::string(kServicesPath).size());
  const std::size_t slash = rest.find('/');
  const ServiceId name(rest.substr(0, slash));
  const auto& services = m_config.Current()->m_services;
  const auto service = services.find(name);
  if (slash == std::string::npos || service == services.end()) {
    m_context.Refuse(
      aCaller,
      { 404, "not_run", "choose service", "no such service", Duration(0) });
    return;
  }
  m_services.Start(
    aCaller, aAccount.m_id, service->second, rest.substr(slash + 1), aRequest);
}

void
EntryNode::On(const CallerDisconnected& aEvent)
{
  if (m_relay) {
    m_relay->OnCallerDisconnected(aEvent.m_caller, aEvent.m_reason);
  }
  m_chat.OnCallerDisconnected(aEvent.m_caller);
  m_services.OnCallerDisconnected(aEvent.m_caller);
}

void
EntryNode::On(const CallHead& aEvent)
{
  if (CallSink* sink = m_context.SinkOf(aEvent.m_call)) {
    sink->OnHead(aEvent.m_call, aEvent.m_head);
  }
}

void
EntryNode::On(const CallData& aEvent)
{
  if (CallSink* sink = m_context.SinkOf(aEvent.m_call)) {
    sink->OnData(aEvent.m_call, aEvent.m_data);
  }
}

void
EntryNode::On(const CallEnded& aEvent)
{
  if (CallSink* sink = m_context.SinkOf(aEvent.m_call)) {
    m_context.ForgetCall(aEvent.m_call);
    sink->OnEnd(aEvent.m_call, aEvent.m_end, aEvent.m_reason);
  }
}

void
EntryNode::On(const ControlLinkChanged& aEvent)
{
  m_control.OnLink(aEvent);
}

void
EntryNode::On(const ControlReply& aEvent)
{
  m_control.OnMessage(aEvent);
}

void
EntryNode::On(const ReplicasReloaded& aEvent)
{
  m_control.AddReplicas(aEvent.m_replicas);
}

void
EntryNode::On(const RegionsReloaded& aEvent)
{
  if (m_relay) {
    m_relay->SetRegions(aEvent.m_regions);
  }
}

void
EntryNode::On(const PeerMessage& aEvent)
{
  const CacheMessage& message = aEvent.m_message;
  if (const auto* held = std::get_if<ConfigAnnouncement>(&message)) {
    m_config.OnMessage(*held);
  } else if (std::holds_alternative<ConfigRequest>(message)) {
    m_config.OnConfigRequest(aEvent.m_connection);
  } else if (const auto* reply = std::get_if<ConfigReply>(&message)) {
    m_config.OnConfigReply(*reply);
  } else if (const auto* engines = std::get_if<EngineLoads>(&message)) {
    m_engines.OnLoads(*engines);
  } else if (const auto* workers = std::get_if<WorkerLoads>(&message)) {
    if (m_relay) {
      m_relay->OnLoads(*workers);
    }
  } else if (const auto* update = std::get_if<StreamOriginUpdate>(&message)) {
    if (m_relay) {
      m_relay->OnOriginUpdate(*update);
    }
  } else if (const auto* query = std::get_if<StreamOriginQuery>(&message)) {
    if (m_relay) {
      m_context.Emit(
        ReplyToPeer{ aEvent.m_connection, m_relay->OnOriginQuery(*query) });
    }
  } else if (const auto* found = std::get_if<StreamOriginReply>(&message)) {
    if (m_relay) {
      m_relay->OnOriginReply(*found);
    }
  } else {
    m_cache.OnMessage(aEvent.m_connection, message);
  }
}

} // namespace fulmarquay
