#include <utility>

#include "fulmarquay/daemon/ControlServer.h"

#include "fulmarquay/core/Clock.h"
#include "fulmarquay/core/Digest.h"
#include "fulmarquay/control/ProgramSettings.h"
#include "fulmarquay/core/Settings.h"
#include "fulmarquay/wire/InputBudget.h"

#include <boost/asio/post.hpp>
#include <csignal>
#include <limits>

namespace fulmarquay {

namespace {

constexpr std::chrono::milliseconds kTickInterval(20);
constexpr int kTicksPerReconnect = 10;
/// Time allowed for the leadership transfer before the process exits.
constexpr std::chrono::milliseconds kLeadershipTransferTime(600);
/// Large enough for a route document with thousands of routes.
constexpr std::size_t kMaxOperatorBodyBytes = 16U << 20U;

std::map<std::string, Endpoint>
ReplicaAddresses(const Settings& aSettings)
{
  std::map<std::string, Endpoint> addresses;
  for (const std::string& vm : aSettings.Names("replica")) {
    addresses[vm] = aSettings.Address("replica." + vm, "address");
  }
  const std::uint16_t port = aSettings.Address("control", "listen").Port();
  for (const Endpoint& seed : aSettings.Addresses("control", "seeds")) {
    addresses[seed.Ip()] = Endpoint(seed.Ip(), port);
  }
  return addresses;
}

/// The losses that the group is to tolerate: as set, else what a group of the
/// configured replicas can lose.
std::size_t
ToleratedLosses(const Settings& aSettings)
{
  const auto losses =
    static_cast<std::size_t>(aSettings.Number("control", "tolerated_losses"));
  const std::size_t replicas = ReplicaAddresses(aSettings).size();
  return losses > 0 || replicas == 0 ? losses : (replicas - 1) / 2;
}

Member
SelfMember(const Settings& aSettings, ReplicaId aId)
{
  Member self;
  self.m_id = aId;
  self.m_vm = aSettings.Text("control", "vm");
  self.m_address = aSettings.Text("control", "listen");
  return self;
}

} // namespace

void
Bootstrap(const Settings& aSettings)
{
  const auto folder = OpenDiskFolder(aSettings.Text("control", "data_folder"));
  if (LogStore::IsFormatted(*folder)) {
    throw Error("bootstrap",
                aSettings.Text("control", "data_folder"),
                "the folder is already formatted");
  }
  Snapshot first;
  for (const auto& [vm, address] : ReplicaAddresses(aSettings)) {
    const ReplicaId id(Checksum64(vm));
    first.m_membership.m_voters.push_back({ id, vm, address.ToString() });
  }
  DiskIdentity identity;
  identity.m_vm = aSettings.Text("control", "vm");
  identity.m_replica = ReplicaId(Checksum64(identity.m_vm));
  LogStore::Format(*folder, identity, first);
  WriteLog(LogEvent::DiskFormatted,
           { { "replica", HexOf(identity.m_replica.Value()) } });
}

ControlServer::Builder::Builder(Settings aSettings, std::string aSettingsFile)
  : m_settings(std::move(aSettings))
  , m_settingsFile(std::move(aSettingsFile))
{
}

ControlServer::Builder&
ControlServer::Builder::Operators(std::unique_ptr<OperatorProtocol> aProtocol)
{
  m_operators = std::move(aProtocol);
  return *this;
}

ControlServer::Builder&
ControlServer::Builder::Fleet(std::unique_ptr<FleetProtocol> aProtocol)
{
  m_fleet = std::move(aProtocol);
  return *this;
}

ControlServer::Builder&
ControlServer::Builder::Stores(std::unique_ptr<PartStoreProtocol> aProtocol)
{
  m_stores = std::move(aProtocol);
  return *this;
}

std::unique_ptr<ControlServer>
ControlServer::Builder::Build()
{
  return std::unique_ptr<ControlServer>(new ControlServer(*this));
}

ControlServer::ControlServer(const Builder& aBuilder)
  : m_tickTimer(m_context)
  , m_stopTimer(m_context)
  , m_signals(m_context, SIGTERM, SIGINT)
  , m_hub(m_context, *this)
  , m_client(m_context, *this)
  , m_peers(m_hub,
            aBuilder.m_settings.Text("control", "vm"),
            ReplicaAddresses(aBuilder.m_settings))
  , m_reload(m_context,
             aBuilder.m_settingsFile,
             ControlSettings(),
             [this](const Settings& aSettings) {
               m_peers.Configure(ReplicaAddresses(aSettings));
             })
  , m_operators(std::move(aBuilder.m_operators))
{
  const Settings& settings = aBuilder.m_settings;
  OpenDisk(settings);
  StartNode(settings);
  if (aBuilder.m_fleet) {
    AddFleet(
      settings, std::move(aBuilder.m_fleet), std::move(aBuilder.m_stores));
  }
  m_hub.Listen(settings.Address("control", "listen"));
  OpenHttpListeners(settings);
  m_diskWriter =
    std::make_unique<DiskWriter>(*m_store, [this](const DiskWriter::Job& aJob) {
      OnDiskJobCompleted(aJob);
    });
}

void
ControlServer::AddFleet(const Settings& aSettings,
                        std::unique_ptr<FleetProtocol> aProtocol,
                        std::unique_ptr<PartStoreProtocol> aStores)
{
  const std::vector<Endpoint> lists = aSettings.Addresses("fleet", "vm_list");
  if (lists.empty()) {
    throw Error(
      "read settings", "[fleet] vm_list", "missing; one IP:PORT is required");
  }
  FleetOptions options;
  options.m_vmList = lists.front();
  options.m_listInterval = aSettings.Time("fleet", "list_interval");
  options.m_checksFencing = aSettings.Flag("fleet", "checks_fencing");
  options.m_holder = aSettings.Text("control", "vm");
  options.m_rollout.m_loadShare = aSettings.Fraction("fleet", "load_share");
  options.m_rollout.m_takeoverWait =
    aSettings.Time("fleet", "order_takeover_wait");
  options.m_rollout.m_orderTimeout = aSettings.Time("fleet", "order_timeout");
  // Orders stay unanswered because of faults of the platform, not of the
  // engine, so the failure limit is disabled.
  options.m_rollout.m_maxFailures = std::numeric_limits<int>::max();
  m_node->AddFleet(
    std::move(options), std::move(aProtocol), std::move(aStores));
}

void
ControlServer::OpenHttpListeners(const Settings& aSettings)
{
  InputBudget::Of(m_context)->SetMaxBytes(static_cast<std::size_t>(
    aSettings.Size("control", "framing_limit_all").Count()));
  const auto operators = aSettings.Addresses("control", "operator_http");
  if (m_operators && !operators.empty()) {
    HttpServerLimits limits;
    limits.m_maxBodyBytes = kMaxOperatorBodyBytes;
    limits.m_maxFramingBytes =
      MonitoringLimits(aSettings, "control").m_maxFramingBytes;
    m_operatorHttp = std::make_unique<HttpServer>(m_context, *this, limits);
    m_operatorHttp->Listen(operators.front());
  }
  m_metricsHttp = ServePlainText(
    m_context,
    aSettings.Addresses("control", "metrics_http"),
    [this] { return RenderMetrics() + RenderInputMetrics(m_context); },
    MonitoringLimits(aSettings, "control"));
}

std::string
ControlServer::RenderMetrics()
{
  const Replica& replica = m_node->Consensus();
  const TimePoint now = MonotonicNow();
  const bool isLeading = replica.HoldsLease(now);
  m_metrics.Gauge("resident_bytes",
                  static_cast<double>(m_memory.Resident().Count()));
  m_metrics.Gauge("leads", isLeading ? 1 : 0);
  m_metrics.Gauge("term", static_cast<double>(replica.CurrentTerm().Value()));
  m_metrics.Gauge("commit", static_cast<double>(replica.Commit().Value()));
  m_metrics.Gauge("voters",
                  static_cast<double>(replica.Members().m_voters.size()));
  m_metrics.Gauge("learners",
                  static_cast<double>(replica.Members().m_learners.size()));
  m_metrics.Gauge("voters_needed", static_cast<double>(replica.VotersNeeded()));
  m_metrics.Gauge("voters_reached",
                  static_cast<double>(replica.VotersReached(now)));
  m_metrics.Gauge("without_leader_seconds",
                  static_cast<double>(replica.TimeWithoutLeader(now).count()) /
                    1e6);
  m_metrics.Gauge(
    "routes_revision",
    static_cast<double>(m_node->State().Published().Current().Value()));
  const auto& evacuated = m_node->State().Published().Evacuated();
  m_metrics.Gauge("evacuated_data_centres",
                  static_cast<double>(evacuated.size()));
  m_metrics.Gauge("lowest_feature_level",
                  static_cast<double>(replica.LowestFeatureLevel()));
  return m_metrics.Render();
}

void
ControlServer::OpenDisk(const Settings& aSettings)
{
  const std::string path = aSettings.Text("control", "data_folder");
  m_folder = OpenDiskFolder(path);
  const bool isSeed =
    ReplicaAddresses(aSettings).count(aSettings.Text("control", "vm")) != 0;
  if (aSettings.Flag("control", "bootstrap") && isSeed &&
      !LogStore::IsFormatted(*m_folder)) {
    m_folder.reset();
    Bootstrap(aSettings);
    m_folder = OpenDiskFolder(path);
  }
  if (!LogStore::IsFormatted(*m_folder)) {
    // An unformatted disk holds no state of the voter that this VM may have
    // been, so the replica joins the control group under a new id.
    DiskIdentity identity;
    identity.m_vm = aSettings.Text("control", "vm");
    identity.m_replica = ReplicaId(RandomNumber());
    LogStore::Format(*m_folder, identity, Snapshot());
    WriteLog(LogEvent::ReplicaJoining,
             { { "replica", HexOf(identity.m_replica.Value()) } });
  }
  m_store = std::make_unique<LogStore>(*m_folder);
  const RecoveryReport& report = m_store->Report();
  WriteLog(LogEvent::DiskRecovered,
           { { "bytes", std::to_string(report.m_bytesRead) },
             { "records", std::to_string(report.m_records) },
             { "torn_bytes", std::to_string(report.m_tornBytes) } });
}

void
ControlServer::StartNode(const Settings& aSettings)
{
  ReplicaOptions replica;
  replica.m_self = SelfMember(aSettings, m_store->Identity().m_replica);
  replica.m_timing.m_electionTimeout =
    aSettings.Time("control", "election_timeout");
  replica.m_timing.m_heartbeatInterval = aSettings.Time("control", "heartbeat");
  replica.m_toleratedLosses =
    static_cast<std::size_t>(aSettings.Number("control", "tolerated_losses"));
  replica.m_seed = RandomNumber();
  ControlOptions options;
  options.m_entryLease = aSettings.Time("control", "entry_lease");
  options.m_snapshotEntries = static_cast<std::uint64_t>(
    aSettings.Integer("control", "snapshot_entries"));
  m_node = std::make_unique<ControlNode>(
    options,
    std::make_unique<Replica>(
      std::move(replica), m_store->TakeRecovered(), MonotonicNow()));
}

void
ControlServer::Run()
{
  LogProcessStarted({ { "replica", HexOf(m_node->Consensus().Id().Value()) } });
  m_signals.async_wait([this](const boost::system::error_code& aError, int) {
    if (!aError) {
      Stop();
    }
  });
  m_peers.SetMembership(m_node->Consensus().Members());
  m_peers.Reconnect();
  ReportCrashes();
  BufferLog();
  Tick();
  m_context.run();
  m_diskWriter.reset();
  WriteLog(LogEvent::ProcessStopped);
}

void
ControlServer::Tick()
{
  m_tickTimer.expires_after(kTickInterval);
  m_tickTimer.async_wait([this](const boost::system::error_code& aError) {
    if (aError) {
      return;
    }
    if (++m_ticks % kTicksPerReconnect == 0) {
      m_peers.Reconnect();
    }
    ProcessEvent(ReplicaEvent(ReplicaTick{}));
    m_memory.Sample(MonotonicNow());
    FlushLog();
    Tick();
  });
}

void
ControlServer::Stop()
{
  WriteLog(LogEvent::ProcessStopping);
  ProcessEvent(ReplicaEvent(TransferLeadership{}));
  m_stopTimer.expires_after(kLeadershipTransferTime);
  m_stopTimer.async_wait(
    [this](const boost::system::error_code&) { m_context.stop(); });
}

void
ControlServer::ProcessEvent(const ControlEvent& aEvent)
{
  ControlEffects effects = m_node->Reduce(MonotonicNow(), WallNow(), aEvent);
  if (m_membership != m_node->Consensus().Members()) {
    m_membership = m_node->Consensus().Members();
    m_peers.SetMembership(m_membership);
    m_peers.Reconnect();
  }
  for (ControlEffect& effect : effects) {
    std::visit([this](auto& aBody) { Execute(std::move(aBody)); }, effect);
  }
}

void
ControlServer::Execute(const SendConsensus& aEffect)
{
  const Frame frame{ Channel::Consensus, PackConsensus(aEffect.m_message) };
  if (aEffect.m_message.m_to == ReplicaId(0)) {
    m_peers.SendToAll(frame);
  } else {
    m_peers.Send(aEffect.m_message.m_to, frame);
  }
}

void
ControlServer::Execute(PersistBatch aEffect)
{
  m_diskWriter->Queue(std::move(aEffect));
}

void
ControlServer::Execute(PersistSnapshot aEffect)
{
  m_diskWriter->Queue(std::move(aEffect));
}

void
ControlServer::Execute(SaveSnapshot aEffect)
{
  m_diskWriter->Queue(std::move(aEffect.m_snapshot));
}

void
ControlServer::Execute(const SendControl& aEffect)
{
  m_hub.Send(aEffect.m_connection,
             { Channel::Control, PackMessage(aEffect.m_message) });
}

void
ControlServer::Execute(StartUpstreamCall aEffect)
{
  m_pendingResponses[aEffect.m_call.m_call].m_call = aEffect.m_call.m_call;
  m_client.Start(std::move(aEffect.m_call));
}

void
ControlServer::OnHead(CallId aCall, const HttpResponse& aHead)
{
  m_pendingResponses.at(aCall).m_status = aHead.m_status;
}

void
ControlServer::OnData(CallId aCall, std::string aData)
{
  m_pendingResponses.at(aCall).m_body += aData;
}

void
ControlServer::OnEnd(CallId aCall, CallResult aEnd, const std::string&)
{
  const auto found = m_pendingResponses.find(aCall);
  UpstreamCallEnded response = std::move(found->second);
  m_pendingResponses.erase(found);
  response.m_end = aEnd;
  ProcessEvent(response);
}

void
ControlServer::OnRequest(CallerId aCaller, HttpRequest aRequest)
{
  OperatorRequest request = m_operators->Decode(aRequest);
  aRequest.m_body.clear();
  m_operatorCalls[aCaller] = std::move(aRequest);
  ProcessEvent(OperatorRequestReceived{ aCaller, std::move(request) });
}

void
ControlServer::OnCallerDisconnected(CallerId aCaller, DisconnectReason)
{
  m_operatorCalls.erase(aCaller);
}

void
ControlServer::Execute(const RespondToOperator& aEffect)
{
  const auto found = m_operatorCalls.find(aEffect.m_caller);
  if (found == m_operatorCalls.end()) {
    return;
  }
  const HttpRequest request = std::move(found->second);
  m_operatorCalls.erase(found);
  m_operatorHttp->Respond(aEffect.m_caller,
                          m_operators->Encode(request, aEffect.m_answer));
}

void
ControlServer::Execute(const LogLine& aEffect)
{
  WriteLog(aEffect);
}

void
ControlServer::OnDiskJobCompleted(const DiskWriter::Job& aJob)
{
  ReplicaEvent event;
  if (const auto* batch = std::get_if<PersistBatch>(&aJob)) {
    event = DiskSynced{ batch->m_number };
  } else if (const auto* snapshot = std::get_if<PersistSnapshot>(&aJob)) {
    event = DiskSynced{ snapshot->m_number };
  } else {
    event = SnapshotSaved{ std::get<Snapshot>(aJob) };
    WriteLog(LogEvent::SnapshotSaved);
  }
  boost::asio::post(m_context, [this, event] { ProcessEvent(event); });
}

void
ControlServer::OnConnected(ConnectionId)
{
}

void
ControlServer::OnFrame(ConnectionId aConnection, Frame aFrame)
{
  if (aFrame.m_channel == Channel::Consensus) {
    ConsensusMessage message = UnpackConsensus(aFrame.m_body);
    m_peers.RecordConnection(message.m_from, aConnection);
    ProcessEvent(ReplicaEvent(ConsensusReceived{ std::move(message) }));
  } else if (aFrame.m_channel == Channel::Control) {
    ProcessEvent(ControlMessageReceived{
      aConnection, UnpackMessage<ControlMessage>(aFrame.m_body) });
  } else if (aFrame.m_channel == Channel::Admin) {
    m_hub.Send(aConnection, { Channel::Admin, m_node->Dump(MonotonicNow()) });
  }
}

void
ControlServer::OnClosed(ConnectionId aConnection)
{
  m_peers.OnClosed(aConnection);
  ProcessEvent(ControlConnectionClosed{ aConnection });
}

} // namespace fulmarquay
