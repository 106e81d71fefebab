#include <utility>

#include "EntryServer.h"

#include "fulmarquay/core/Clock.h"
#include "fulmarquay/core/Settings.h"

#include <csignal>

namespace fulmarquay {

namespace {

constexpr std::chrono::milliseconds kTick(10);
constexpr int kTicksPerReconnect = 20;

EntryOptions
MakeOptions(const Settings& aSettings)
{
  EntryOptions options;
  options.m_identity.m_vm = VmId(aSettings.Text("entry", "vm"));
  options.m_identity.m_dataCentre =
    DataCentreId(aSettings.Text("entry", "data_centre"));
  options.m_identity.m_boot = BootId(RandomNumber());
  options.m_identity.m_address = aSettings.Text("entry", "listen");
  options.m_control = aSettings.Addresses("entry", "control");
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
  limits.m_bodyBytes =
    static_cast<std::size_t>(aSettings.Size("entry", "body_limit").Count());
  return limits;
}

} // namespace

EntryServer::EntryServer(const Settings& aSettings)
  : m_ticker(m_context)
  , m_signals(m_context, SIGTERM, SIGINT)
  , m_node(MakeOptions(aSettings))
  , m_hub(m_context, *this)
  , m_server(m_context, *this, MakeLimits(aSettings))
  , m_client(m_context, *this)
{
  for (const Endpoint& address : aSettings.Addresses("entry", "control")) {
    m_control.push_back({ address, ConnectionId(), false });
  }
  m_hub.Listen(aSettings.Address("entry", "listen"));
  m_server.Listen(aSettings.Address("entry", "http"));
}

void
EntryServer::Run()
{
  WriteLog(LogEvent::ProcessStarted);
  AwaitSignal();
  ConnectControl();
  Tick();
  m_context.run();
}

void
EntryServer::AwaitSignal()
{
  m_signals.async_wait([this](const boost::system::error_code& aError, int) {
    if (!aError) {
      WriteLog(LogEvent::ProcessStopping);
      Feed(DrainOrder{});
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
EntryServer::Carry(const EntryLogLine& aEffect)
{
  std::vector<LogField> fields;
  for (const auto& [name, value] : aEffect.m_fields) {
    fields.push_back({ name, value });
  }
  WriteLog(aEffect.m_event, fields);
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
EntryServer::OnGone(CallerId aCaller)
{
  Feed(CallerGone{ aCaller });
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
