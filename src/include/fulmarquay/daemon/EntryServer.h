#ifndef FULMARQUAY_DAEMON_ENTRYSERVER_H
#define FULMARQUAY_DAEMON_ENTRYSERVER_H

#include "fulmarquay/core/Settings.h"
#include "fulmarquay/daemon/MemoryLog.h"
#include "fulmarquay/daemon/SyncHttpServer.h"
#include "fulmarquay/daemon/SettingsReload.h"
#include "fulmarquay/serve/EntryNode.h"
#include "fulmarquay/wire/FrameHub.h"
#include "fulmarquay/wire/HttpClient.h"
#include "fulmarquay/wire/HttpServer.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace fulmarquay {

/// The I/O layer of fulmarquay-entry: converts network, timer and signal
/// events into events of an EntryNode and executes the effects that it returns.
class EntryServer
  : public FrameHandler
  , public HttpHandler
  , public HttpCallHandler
{
public:
  class Builder;

  /// Serves until the drain started by SIGTERM or SIGINT has ended.
  void Run();

  void OnConnected(ConnectionId aConnection) override;
  void OnFrame(ConnectionId aConnection, Frame aFrame) override;
  void OnClosed(ConnectionId aConnection) override;
  void OnRequest(CallerId aCaller, HttpRequest aRequest) override;
  void OnCallerDisconnected(CallerId aCaller,
                            DisconnectReason aReason) override;
  void OnHead(CallId aCall, const HttpResponse& aHead) override;
  void OnData(CallId aCall, std::string aData) override;
  void OnEnd(CallId aCall,
             CallResult aEnd,
             const std::string& aReason) override;

private:
  explicit EntryServer(const Builder& aBuilder);
  void OpenMonitoringListeners(const Settings& aSettings);
  void ApplyRouteLimits();
  /// The server that a caller is connected to.
  HttpServer& ServerOf(CallerId aCaller);

  struct ControlLink
  {
    Endpoint m_address;
    ConnectionId m_connection;
    bool m_isActive = false; ///< connecting or connected
  };

  void ProcessEvent(const EntryEvent& aEvent);
  void Execute(const RespondCaller& aEffect);
  void Execute(const BeginCallerStream& aEffect);
  void Execute(const WriteCallerStream& aEffect);
  void Execute(EndCallerStream aEffect);
  void Execute(StartCall aEffect);
  void Execute(CancelCall aEffect);
  void Execute(const SendToControl& aEffect);
  void Execute(const AddControlLink& aEffect);
  void Execute(const SendToPeer& aEffect);
  void Execute(const ReplyToPeer& aEffect);
  void Execute(const LogLine& aEffect);
  void Execute(EntryStopped aEffect);
  /// Ends the process once all responses are sent, or after a time.
  void StopWhenIdle();
  void Tick();
  void ConnectControl();
  void AwaitSignal();

  boost::asio::io_context m_context;
  boost::asio::steady_timer m_tickTimer;
  boost::asio::signal_set m_signals;
  EntryNode m_node;
  FrameHub m_hub;
  HttpServer m_server;
  HttpServer m_relayServer; ///< for requests that other entries pass on
  HttpClient m_client;
  std::vector<ControlLink> m_control;
  std::map<Endpoint, ConnectionId> m_peers;
  int m_ticks = 0;
  MemoryLog m_memory;
  TimePoint m_stopBy; ///< end of the process; not set while it serves
  SettingsReload m_reload;
  HttpServerLimits m_configuredLimits; ///< from the settings
  Revision m_limitsRevision; ///< of the routes whose limits are applied
  std::unique_ptr<SyncHttpServer> m_readyHttp;
  std::unique_ptr<SyncHttpServer> m_metricsHttp;
};

/// Builds an entry server.
class EntryServer::Builder
{
public:
  Builder(Settings aSettings, std::string aSettingsFile);

  /// Sets the request protocol for published routes; it is used when the
  /// setting `configuration` is `routes`.
  Builder& Relay(std::shared_ptr<const RelayProtocol> aProtocol);

  /// Opens the ports. Throws Error on failure.
  std::unique_ptr<EntryServer> Build();

private:
  friend class EntryServer;
  Settings m_settings;
  std::string m_settingsFile;
  std::shared_ptr<const RelayProtocol> m_relay;
};

} // namespace fulmarquay

#endif
