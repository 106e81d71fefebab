#include <utility>

#include "fulmarquay/daemon/EntryServer.h"

#include "fulmarquay/control/ProgramSettings.h"
#include "fulmarquay/core/Clock.h"
#include "fulmarquay/core/Settings.h"

#include <csignal>

namespace fulmarquay {

namespace {

constexpr std::chrono::milliseconds kTick(10);
constexpr int kTicksPerReconnect = 20;
// Parts of the platform's bounds that this entry uses, in percent: the rest
// covers the way of a request to it and clocks that run unevenly.
constexpr int kKeyLeasePercent = 80;
constexpr int kWeightsPercent = 80;
constexpr double kRetryPart = 0.8;
/// The other half of the descriptors is for workers, replicas and listeners.
constexpr std::int64_t kCallersDivisor = 2;

/// Framed listeners of the control replicas: `control`, and the VMs of
/// `control_seeds` at the port that all replicas use.
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
  options.m_control = ControlReplicas(aSettings);
  options.m_discoversReplicas =
    !aSettings.Addresses("entry", "control_seeds").empty();
  options.m_heartbeat = aSettings.Time("entry", "heartbeat");
  options.m_keyLease =
    aSettings.Time("entry", "key_revocation") * kKeyLeasePercent / 100;
  options.m_relay.m_maxOldWeightsAge =
    aSettings.Time("entry", "weights_bound") * kWeightsPercent / 100;
  options.m_relay.m_retryRatio =
    aSettings.Fraction("entry", "retry_ratio") * kRetryPart;
  options.m_relay.m_retrySlack =
    static_cast<double>(aSettings.Integer("entry", "retry_slack")) * kRetryPart;
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
    aSettings.Integer("entry", "descriptors") / kCallersDivisor);
  return limits;
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
  : m_ticker(m_context)
  , m_signals(m_context, SIGTERM, SIGINT)
  , m_node(MakeOptions(aBuilder.m_settings, aBuilder.m_relay))
  , m_hub(m_context, *this)
  , m_server(m_context, *this, MakeLimits(aBuilder.m_settings))
  , m_client(m_context, *this)
  , m_reload(m_context,
             aBuilder.m_settingsFile,
             EntrySettings(),
             [this](const Settings& aSettings) {
               Feed(ReplicasReloaded{ ControlReplicas(aSettings) });
             })
  , m_limits(MakeLimits(aBuilder.m_settings))
{
  const Settings& settings = aBuilder.m_settings;
  for (const Endpoint& address : ControlReplicas(settings)) {
    m_control.push_back({ address, ConnectionId(), false });
  }
  m_hub.Listen(settings.Address("entry", "listen"));
  ListenForPlatform(settings);
  m_server.Listen(settings.Address("entry", "http"));
}

void
EntryServer::ListenForPlatform(const Settings& aSettings)
{
  const auto ready = aSettings.Addresses("entry", "ready_http");
  if (!ready.empty()) {
    m_readyHttp = std::make_unique<AnswerServer>(
      m_context, ready.front(), [this](const HttpRequest&) {
        HttpResponse response;
        response.m_status = m_node.IsReady() ? 200 : 503;
        return response;
      });
  }
  m_metricsHttp = ServeText(m_context,
                            aSettings.Addresses("entry", "metrics_http"),
                            [this] { return m_node.RenderMetrics(); });
}

void
EntryServer::FollowLimits()
{
  const Revision revision = m_node.RoutesRevision();
  if (revision == m_limitsRevision) {
    return;
  }
  m_limitsRevision = revision;
  const CallerLimits allowed = m_node.Limits();
  HttpServerLimits limits = m_limits;
  limits.m_maxHeaderBytes = static_cast<std::size_t>(allowed.m_maxHeaderBytes);
  limits.m_maxBodyBytes = static_cast<std::size_t>(allowed.m_maxBodyBytes);
  limits.m_readTimeout = Duration(allowed.m_idleTimeoutUs);
  m_server.SetLimits(limits);
}

void
EntryServer::Run()
{
  WriteLog(LogEvent::ProcessStarted);
  AwaitSignal();
  ConnectControl();
  BufferLog();
  Tick();
  m_context.run();
  FlushLog();
}

void
EntryServer::AwaitSignal()
{
  m_signals.async_wait([this](const boost::system::error_code& aError, int) {
    if (!aError) {
      WriteLog(LogEvent::ProcessStopping);
      m_server.CloseAfterAnswers();
      Feed(DrainRequested{});
      AwaitSignal();
    }
  });
}

void
EntryServer::Tick()
{
  m_ticker.expires_after(kTick);
  m_ticker.async_wait([this](const boost::system::error_code& aError) {
    if (aError) {
      return;
    }
    if (++m_ticks % kTicksPerReconnect == 0) {
      ConnectControl();
    }
    Feed(EntryTick{});
    FollowLimits();
    FlushLog();
    Tick();
  });
}

void
EntryServer::ConnectControl()
{
  for (ControlLink& link : m_control) {
    if (!link.m_isTrying) {
      link.m_isTrying = true;
      link.m_connection = m_hub.Connect(link.m_address);
    }
  }
}

void
EntryServer::Feed(const EntryEvent& aEvent)
{
  EntryEffects effects = m_node.Reduce(MonotonicNow(), aEvent);
  for (EntryEffect& effect : effects) {
    std::visit([this](auto& aBody) { Carry(std::move(aBody)); }, effect);
  }
}

void
EntryServer::Carry(const RespondCaller& aEffect)
{
  m_server.Respond(aEffect.m_caller, aEffect.m_response);
}

void
EntryServer::Carry(const BeginCallerStream& aEffect)
{
  m_server.StreamHead(aEffect.m_caller, aEffect.m_head);
}

void
EntryServer::Carry(const WriteCallerStream& aEffect)
{
  m_server.StreamData(aEffect.m_caller, aEffect.m_data);
}

void
EntryServer::Carry(EndCallerStream aEffect)
{
  m_server.StreamEnd(aEffect.m_caller, aEffect.m_isWhole);
}

void
EntryServer::Carry(StartCall aEffect)
{
  m_client.Start(std::move(aEffect.m_call));
}

void
EntryServer::Carry(CancelCall aEffect)
{
  m_client.Cancel(aEffect.m_call);
}

void
EntryServer::Carry(const SendToControl& aEffect)
{
  m_hub.Send(m_control[aEffect.m_link].m_connection,
             { Channel::Control, PackMessage(aEffect.m_message) });
}

void
EntryServer::Carry(const AddControlLink& aEffect)
{
  m_control.push_back({ aEffect.m_address, ConnectionId(), false });
  ConnectControl();
}

void
EntryServer::Carry(const SendToPeer& aEffect)
{
  auto place = m_peers.find(aEffect.m_address);
  if (place == m_peers.end()) {
    const ConnectionId connection = m_hub.Connect(aEffect.m_address);
    place = m_peers.emplace(aEffect.m_address, connection).first;
  }
  m_hub.Send(place->second, { Channel::Cache, PackMessage(aEffect.m_message) });
}

void
EntryServer::Carry(const ReplyToPeer& aEffect)
{
  m_hub.Send(aEffect.m_connection,
             { Channel::Cache, PackMessage(aEffect.m_message) });
}

void
EntryServer::Carry(const LogLine& aEffect)
{
  WriteLog(aEffect);
}

void
EntryServer::Carry(EntryStopped)
{
  m_context.stop();
}

void
EntryServer::OnConnected(ConnectionId aConnection)
{
  for (std::size_t i = 0; i < m_control.size(); ++i) {
    if (m_control[i].m_connection == aConnection) {
      Feed(ControlLinkChanged{ i, true });
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
    Feed(
      PeerMessage{ aConnection, UnpackMessage<CacheMessage>(aFrame.m_body) });
    return;
  }
  for (std::size_t i = 0; i < m_control.size(); ++i) {
    if (m_control[i].m_connection == aConnection) {
      Feed(ControlReply{ i, UnpackMessage<ControlMessage>(aFrame.m_body) });
      return;
    }
  }
}

void
EntryServer::OnClosed(ConnectionId aConnection)
{
  for (std::size_t i = 0; i < m_control.size(); ++i) {
    if (m_control[i].m_connection == aConnection) {
      m_control[i].m_isTrying = false;
      Feed(ControlLinkChanged{ i, false });
    }
  }
  std::erase_if(m_peers,
                [&](const auto& aEach) { return aEach.second == aConnection; });
}

void
EntryServer::OnRequest(CallerId aCaller, HttpRequest aRequest)
{
  Feed(CallerRequest{ aCaller, std::move(aRequest) });
}

void
EntryServer::OnCallerDisconnected(CallerId aCaller)
{
  Feed(CallerDisconnected{ aCaller });
}

void
EntryServer::OnHead(CallId aCall, const HttpResponse& aHead)
{
  Feed(CallHead{ aCall, aHead });
}

void
EntryServer::OnData(CallId aCall, std::string aData)
{
  Feed(CallData{ aCall, std::move(aData) });
}

void
EntryServer::OnEnd(CallId aCall, CallEnd aEnd, const std::string& aWhy)
{
  Feed(CallEnded{ aCall, aEnd, aWhy });
}

} // namespace fulmarquay
