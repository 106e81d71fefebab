#include <utility>

#include "fulmarquay/daemon/EntryServer.h"

#include "fulmarquay/control/ProgramSettings.h"
#include "fulmarquay/core/Clock.h"
#include "fulmarquay/core/Digest.h"
#include "fulmarquay/core/Settings.h"
#include "fulmarquay/wire/InputBudget.h"

#include <csignal>

namespace fulmarquay {

namespace {

constexpr std::chrono::milliseconds kTickInterval(10);
constexpr int kTicksPerReconnect = 20;
/// Time after the drain for the last bytes of responses to be sent and requests
/// that were just received to be refused.
constexpr Duration kStopTimeout(1'000'000);
// Shares of the platform's limits that this entry uses. The rest allows for the
// transit time of requests and for clocks that run at different rates.
constexpr int kKeyLeasePercent = 80;
constexpr int kOldWeightsAgePercent = 80;
constexpr double kRetryFraction = 0.8;
/// Callers' connections get half of the file descriptors; the other half is for
/// workers, replicas and listeners.
constexpr double kCallerDescriptorDivisor = 2;
/// Bodies of callers' requests at once. Together with those that other entries
/// pass on (kRelayBodyDivisor), of which a second copy exists while they are
/// sent, and with the answers that wait, this has to fit the smallest VM.
constexpr std::size_t kMaxAllBodyBytes = 16U << 20U;
constexpr std::size_t kRelayBodyDivisor = 2;
/// Connections of other entries, as a part of the callers': enough for all
/// callers of another entry.
constexpr std::size_t kRelayConnectionDivisor = 2;
/// Ids of callers that are other entries begin here.
constexpr std::uint64_t kFirstRelayCaller = 1ULL << 62U;
/// An entry adds headers to a request that it passes on, beyond the limit for
/// callers.
constexpr std::size_t kRelayHeaderBytes = 1U << 10U;

/// Addresses of the control replicas' framed listeners: those of `control`, and
/// the VMs of `control_seeds` at the port of this entry's `listen` setting,
/// which the framed listeners of all replicas use.
std::vector<Endpoint>
ControlReplicas(const Settings& aSettings)
{
  std::vector<Endpoint> replicas = aSettings.Addresses("entry", "control");
  const std::uint16_t port = aSettings.Address("entry", "listen").Port();
  for (const Endpoint& seed : aSettings.Addresses("entry", "control_seeds")) {
    replicas.emplace_back(seed.Ip(), port);
  }
  return replicas;
}

RegionMap
ReadRegions(const Settings& aSettings)
{
  std::map<DataCentreId, RegionId> regions;
  for (const auto& [dataCentre, region] : aSettings.Pairs("entry", "regions")) {
    if (!region.empty()) {
      regions.emplace(dataCentre, region);
    }
  }
  return RegionMap(std::move(regions));
}

EntryOptions
MakeOptions(const Settings& aSettings,
            std::shared_ptr<const RelayProtocol> aRelay)
{
  EntryOptions options;
  if (aSettings.Text("entry", "configuration") == "routes") {
    options.m_relayProtocol = std::move(aRelay);
  }
  options.m_identity.m_vm = VmId(aSettings.Text("entry", "vm"));
  options.m_identity.m_dataCentre =
    DataCentreId(aSettings.Text("entry", "data_centre"));
  options.m_identity.m_boot = BootId(RandomNumber());
  options.m_identity.m_address = aSettings.Text("entry", "listen");
  const auto relay = aSettings.Addresses("entry", "relay_http");
  if (!relay.empty()) {
    options.m_identity.m_relayAddress = relay.front().ToString();
  }
  options.m_control = ControlReplicas(aSettings);
  options.m_discoversReplicas =
    !aSettings.Addresses("entry", "control_seeds").empty();
  options.m_heartbeatInterval = aSettings.Time("entry", "heartbeat");
  options.m_keyLease =
    aSettings.Time("entry", "key_revocation") * kKeyLeasePercent / 100;
  options.m_relay.m_maxOldWeightsAge =
    aSettings.Time("entry", "weights_bound") * kOldWeightsAgePercent / 100;
  options.m_relay.m_retryRatio =
    aSettings.Fraction("entry", "retry_ratio") * kRetryFraction;
  options.m_relay.m_retrySlack =
    aSettings.Number("entry", "retry_slack") * kRetryFraction;
  options.m_relay.m_regions = ReadRegions(aSettings);
  options.m_peers = aSettings.Addresses("entry", "peers");
  options.m_drainDelay = aSettings.Time("entry", "drain_delay");
  options.m_drainLimit = aSettings.Time("entry", "drain_limit");
  options.m_chat.m_firstTokenDeadline =
    aSettings.Time("entry", "first_token_deadline");
  options.m_chat.m_policy = aSettings.Text("entry", "restore_policy");
  options.m_seed = RandomNumber();
  return options;
}

HttpServerLimits
MakeLimits(const Settings& aSettings)
{
  HttpServerLimits limits;
  limits.m_maxBodyBytes =
    static_cast<std::size_t>(aSettings.Size("entry", "body_limit").Count());
  limits.m_connections = static_cast<std::size_t>(
    aSettings.Number("entry", "descriptors") / kCallerDescriptorDivisor);
  limits.m_maxAllBodyBytes = kMaxAllBodyBytes;
  limits.m_maxFramingBytes =
    static_cast<std::size_t>(aSettings.Size("entry", "framing_limit").Count());
  return limits;
}

HttpServerLimits
RelayLimits(HttpServerLimits aLimits)
{
  aLimits.m_maxHeaderBytes += kRelayHeaderBytes;
  aLimits.m_connections /= kRelayConnectionDivisor;
  aLimits.m_maxAllBodyBytes /= kRelayBodyDivisor;
  return aLimits;
}

} // namespace

EntryServer::Builder::Builder(Settings aSettings, std::string aSettingsFile)
  : m_settings(std::move(aSettings))
  , m_settingsFile(std::move(aSettingsFile))
{
}

EntryServer::Builder&
EntryServer::Builder::Relay(std::shared_ptr<const RelayProtocol> aProtocol)
{
  m_relay = std::move(aProtocol);
  return *this;
}

std::unique_ptr<EntryServer>
EntryServer::Builder::Build()
{
  return std::unique_ptr<EntryServer>(new EntryServer(*this));
}

EntryServer::EntryServer(const Builder& aBuilder)
  : m_tickTimer(m_context)
  , m_signals(m_context, SIGTERM, SIGINT)
  , m_node(MakeOptions(aBuilder.m_settings, aBuilder.m_relay))
  , m_hub(m_context, *this)
  , m_server(m_context, *this, MakeLimits(aBuilder.m_settings))
  , m_relayServer(m_context,
                  *this,
                  RelayLimits(MakeLimits(aBuilder.m_settings)),
                  CallerId(kFirstRelayCaller))
  , m_client(m_context, *this)
  , m_reload(m_context,
             aBuilder.m_settingsFile,
             EntrySettings(),
             [this](const Settings& aSettings) {
               ProcessEvent(ReplicasReloaded{ ControlReplicas(aSettings) });
               ProcessEvent(RegionsReloaded{ ReadRegions(aSettings) });
             })
  , m_configuredLimits(MakeLimits(aBuilder.m_settings))
{
  const Settings& settings = aBuilder.m_settings;
  InputBudget::Of(m_context)->SetMaxBytes(static_cast<std::size_t>(
    settings.Size("entry", "framing_limit_all").Count()));
  for (const Endpoint& address : ControlReplicas(settings)) {
    m_control.push_back({ address, ConnectionId(), false });
  }
  m_hub.Listen(settings.Address("entry", "listen"));
  OpenMonitoringListeners(settings);
  m_server.Listen(settings.Address("entry", "http"));
  for (const Endpoint& address : settings.Addresses("entry", "relay_http")) {
    m_relayServer.Listen(address);
  }
}

void
EntryServer::OpenMonitoringListeners(const Settings& aSettings)
{
  const auto ready = aSettings.Addresses("entry", "ready_http");
  if (!ready.empty()) {
    m_readyHttp = std::make_unique<SyncHttpServer>(
      m_context,
      ready.front(),
      [this](const HttpRequest&) {
        HttpResponse response;
        response.m_status = m_node.IsReady() ? 200 : 503;
        return response;
      },
      MonitoringLimits(aSettings, "entry"));
  }
  m_metricsHttp = ServePlainText(
    m_context,
    aSettings.Addresses("entry", "metrics_http"),
    [this] { return m_node.RenderMetrics() + RenderInputMetrics(m_context); },
    MonitoringLimits(aSettings, "entry"));
}

HttpServer&
EntryServer::ServerOf(CallerId aCaller)
{
  return aCaller.Value() < kFirstRelayCaller ? m_server : m_relayServer;
}

void
EntryServer::ApplyRouteLimits()
{
  const Revision revision = m_node.RoutesRevision();
  if (revision == m_limitsRevision) {
    return;
  }
  m_limitsRevision = revision;
  const CallerLimits routeLimits = m_node.Limits();
  HttpServerLimits limits = m_configuredLimits;
  limits.m_maxHeaderBytes =
    static_cast<std::size_t>(routeLimits.m_maxHeaderBytes);
  limits.m_maxBodyBytes = static_cast<std::size_t>(routeLimits.m_maxBodyBytes);
  limits.m_readTimeout = Duration(routeLimits.m_idleTimeoutUs);
  m_server.SetLimits(limits);
  m_relayServer.SetLimits(RelayLimits(limits));
}

void
EntryServer::Run()
{
  LogProcessStarted({ { "vm", m_node.Self().m_vm.Value() },
                      { "boot", HexOf(m_node.Self().m_boot.Value()) } });
  AwaitSignal();
  ConnectControl();
  ReportCrashes();
  BufferLog();
  Tick();
  m_context.run();
  WriteLog(LogEvent::ProcessStopped);
}

void
EntryServer::AwaitSignal()
{
  m_signals.async_wait([this](const boost::system::error_code& aError, int) {
    if (!aError) {
      WriteLog(LogEvent::ProcessStopping);
      m_server.CloseAfterResponses();
      m_relayServer.CloseAfterResponses();
      ProcessEvent(DrainRequested{});
      AwaitSignal();
    }
  });
}

void
EntryServer::Tick()
{
  m_tickTimer.expires_after(kTickInterval);
  m_tickTimer.async_wait([this](const boost::system::error_code& aError) {
    if (aError) {
      return;
    }
    if (++m_ticks % kTicksPerReconnect == 0) {
      ConnectControl();
    }
    m_memory.Sample(MonotonicNow());
    ProcessEvent(
      EntryTick{ m_memory.Resident(),
                 Bytes(static_cast<std::int64_t>(m_server.BodyBytes() +
                                                 m_relayServer.BodyBytes())),
                 m_server.RefusedBodies() + m_relayServer.RefusedBodies() });
    ApplyRouteLimits();
    StopWhenIdle();
    FlushLog();
    Tick();
  });
}

void
EntryServer::ConnectControl()
{
  for (ControlLink& link : m_control) {
    if (!link.m_isActive) {
      link.m_isActive = true;
      link.m_connection = m_hub.Connect(link.m_address);
    }
  }
}

void
EntryServer::ProcessEvent(const EntryEvent& aEvent)
{
  EntryEffects effects = m_node.Reduce(MonotonicNow(), aEvent);
  for (EntryEffect& effect : effects) {
    std::visit([this](auto& aBody) { Execute(std::move(aBody)); }, effect);
  }
}

void
EntryServer::Execute(const RespondCaller& aEffect)
{
  ServerOf(aEffect.m_caller).Respond(aEffect.m_caller, aEffect.m_response);
}

void
EntryServer::Execute(const BeginCallerStream& aEffect)
{
  ServerOf(aEffect.m_caller).StreamHead(aEffect.m_caller, aEffect.m_head);
}

void
EntryServer::Execute(const WriteCallerStream& aEffect)
{
  ServerOf(aEffect.m_caller).StreamData(aEffect.m_caller, aEffect.m_data);
}

void
EntryServer::Execute(EndCallerStream aEffect)
{
  ServerOf(aEffect.m_caller).StreamEnd(aEffect.m_caller, aEffect.m_isComplete);
}

void
EntryServer::Execute(StartCall aEffect)
{
  m_client.Start(std::move(aEffect.m_call));
}

void
EntryServer::Execute(CancelCall aEffect)
{
  m_client.Cancel(aEffect.m_call);
}

void
EntryServer::Execute(const SendToControl& aEffect)
{
  m_hub.Send(m_control[aEffect.m_link].m_connection,
             { Channel::Control, PackMessage(aEffect.m_message) });
}

void
EntryServer::Execute(const AddControlLink& aEffect)
{
  m_control.push_back({ aEffect.m_address, ConnectionId(), false });
  ConnectControl();
}

void
EntryServer::Execute(const SendToPeer& aEffect)
{
  auto found = m_peers.find(aEffect.m_address);
  if (found == m_peers.end()) {
    const ConnectionId connection = m_hub.Connect(aEffect.m_address);
    found = m_peers.emplace(aEffect.m_address, connection).first;
  }
  m_hub.Send(found->second, { Channel::Cache, PackMessage(aEffect.m_message) });
}

void
EntryServer::Execute(const ReplyToPeer& aEffect)
{
  m_hub.Send(aEffect.m_connection,
             { Channel::Cache, PackMessage(aEffect.m_message) });
}

void
EntryServer::Execute(const LogLine& aEffect)
{
  WriteLog(aEffect);
}

void
EntryServer::Execute(EntryStopped)
{
  m_server.StopAccepting();
  m_relayServer.StopAccepting();
  m_stopBy = MonotonicNow() + kStopTimeout;
  StopWhenIdle();
}

void
EntryServer::StopWhenIdle()
{
  if (m_stopBy == TimePoint()) {
    return;
  }
  const bool isIdle = m_server.IsIdle() && m_relayServer.IsIdle();
  if (isIdle || MonotonicNow() >= m_stopBy) {
    m_context.stop();
  }
}

void
EntryServer::OnConnected(ConnectionId aConnection)
{
  for (std::size_t i = 0; i < m_control.size(); ++i) {
    if (m_control[i].m_connection == aConnection) {
      ProcessEvent(ControlLinkChanged{ i, true });
    }
  }
}

void
EntryServer::OnFrame(ConnectionId aConnection, Frame aFrame)
{
  if (aFrame.m_channel == Channel::Admin) {
    m_hub.Send(aConnection, { Channel::Admin, m_node.Dump(m_hub.Traffic()) });
    return;
  }
  if (aFrame.m_channel == Channel::Cache) {
    ProcessEvent(
      PeerMessage{ aConnection, UnpackMessage<CacheMessage>(aFrame.m_body) });
    return;
  }
  for (std::size_t i = 0; i < m_control.size(); ++i) {
    if (m_control[i].m_connection == aConnection) {
      ProcessEvent(
        ControlReply{ i, UnpackMessage<ControlMessage>(aFrame.m_body) });
      return;
    }
  }
}

void
EntryServer::OnClosed(ConnectionId aConnection)
{
  for (std::size_t i = 0; i < m_control.size(); ++i) {
    if (m_control[i].m_connection == aConnection) {
      m_control[i].m_isActive = false;
      ProcessEvent(ControlLinkChanged{ i, false });
    }
  }
  std::erase_if(
    m_peers, [&](const auto& aEntry) { return aEntry.second == aConnection; });
}

void
EntryServer::OnRequest(CallerId aCaller, HttpRequest aRequest)
{
  const bool isPassed = aCaller.Value() >= kFirstRelayCaller;
  ProcessEvent(CallerRequest{ aCaller, std::move(aRequest), isPassed });
}

void
EntryServer::OnCallerDisconnected(CallerId aCaller, DisconnectReason aReason)
{
  ProcessEvent(CallerDisconnected{ aCaller, aReason });
}

void
EntryServer::OnHead(CallId aCall, const HttpResponse& aHead)
{
  ProcessEvent(CallHead{ aCall, aHead });
}

void
EntryServer::OnData(CallId aCall, std::string aData)
{
  ProcessEvent(CallData{ aCall, std::move(aData) });
}

void
EntryServer::OnEnd(CallId aCall, CallResult aEnd, const std::string& aReason)
{
  ProcessEvent(CallEnded{ aCall, aEnd, aReason });
}

} // namespace fulmarquay
