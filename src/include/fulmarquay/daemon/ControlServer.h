#ifndef FULMARQUAY_DAEMON_CONTROLSERVER_H
#define FULMARQUAY_DAEMON_CONTROLSERVER_H

#include "fulmarquay/daemon/DiskWriter.h"
#include "fulmarquay/daemon/MemoryLog.h"
#include "fulmarquay/daemon/PeerLinks.h"
#include "fulmarquay/daemon/SyncHttpServer.h"
#include "fulmarquay/daemon/SettingsReload.h"
#include "fulmarquay/control/ControlNode.h"
#include "fulmarquay/control/OperatorProtocol.h"
#include "fulmarquay/core/Metrics.h"
#include "fulmarquay/core/Settings.h"
#include "fulmarquay/wire/FrameHub.h"
#include "fulmarquay/wire/HttpClient.h"
#include "fulmarquay/wire/HttpServer.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <map>
#include <memory>

namespace fulmarquay {

/// The I/O layer of fulmarquay-control: converts network, disk, timer and
/// signal events into events of a ControlNode and executes the effects that
/// it returns.
class ControlServer
  : public FrameHandler
  , public HttpCallHandler
  , public HttpHandler
{
public:
  class Builder;

  /// Serves until SIGTERM or SIGINT.
  void Run();

  void OnConnected(ConnectionId aConnection) override;
  void OnFrame(ConnectionId aConnection, Frame aFrame) override;
  void OnClosed(ConnectionId aConnection) override;
  void OnHead(CallId aCall, const HttpResponse& aHead) override;
  void OnData(CallId aCall, std::string aData) override;
  void OnEnd(CallId aCall,
             CallResult aEnd,
             const std::string& aReason) override;
  void OnRequest(CallerId aCaller, HttpRequest aRequest) override;
  void OnCallerDisconnected(CallerId aCaller, DisconnectReason) override;

private:
  explicit ControlServer(const Builder& aBuilder);
  void AddFleet(const Settings& aSettings,
                std::unique_ptr<FleetProtocol> aProtocol,
                std::unique_ptr<PartStoreProtocol> aStores);
  void OpenHttpListeners(const Settings& aSettings);
  void Execute(const RespondToOperator& aEffect);
  std::string RenderMetrics();
  void OpenDisk(const Settings& aSettings);
  void StartNode(const Settings& aSettings);
  void ProcessEvent(const ControlEvent& aEvent);
  void Execute(const SendConsensus& aEffect);
  void Execute(PersistBatch aEffect);
  void Execute(PersistSnapshot aEffect);
  void Execute(SaveSnapshot aEffect);
  void Execute(const SendControl& aEffect);
  void Execute(StartUpstreamCall aEffect);
  void Execute(const LogLine& aEffect);
  void OnDiskJobCompleted(const DiskWriter::Job& aJob);
  void Tick();
  void Stop();

  boost::asio::io_context m_context;
  boost::asio::steady_timer m_tickTimer;
  boost::asio::steady_timer m_stopTimer;
  MemoryLog m_memory;
  boost::asio::signal_set m_signals;
  std::unique_ptr<DiskFolder> m_folder;
  std::unique_ptr<LogStore> m_store;
  std::unique_ptr<ControlNode> m_node;
  FrameHub m_hub;
  HttpClient m_client;
  std::map<CallId, UpstreamCallEnded> m_pendingResponses; ///< being received
  PeerLinks m_peers;
  std::unique_ptr<DiskWriter> m_diskWriter;
  Membership m_membership;
  int m_ticks = 0;
  SettingsReload m_reload;
  std::unique_ptr<OperatorProtocol> m_operators;
  std::unique_ptr<HttpServer> m_operatorHttp;
  std::map<CallerId, HttpRequest> m_operatorCalls; ///< unanswered
  std::unique_ptr<SyncHttpServer> m_metricsHttp;
  Metrics m_metrics;
};

/// Builds a control server. An interface whose protocol is not set is not
/// served.
class ControlServer::Builder
{
public:
  Builder(Settings aSettings, std::string aSettingsFile);

  /// Sets the protocol of the operators' HTTP interface at `operator_http`.
  Builder& Operators(std::unique_ptr<OperatorProtocol> aProtocol);

  /// Sets the protocol for the VM list and the workers of the deployment.
  Builder& Fleet(std::unique_ptr<FleetProtocol> aProtocol);

  /// Sets the protocol for KV cache stores that keep parts until the control
  /// group frees them.
  Builder& Stores(std::unique_ptr<PartStoreProtocol> aProtocol);

  /// Recovers or formats the state disk and opens the ports. Throws Error on
  /// failure.
  std::unique_ptr<ControlServer> Build();

private:
  friend class ControlServer;
  Settings m_settings;
  std::string m_settingsFile;
  mutable std::unique_ptr<OperatorProtocol> m_operators;
  mutable std::unique_ptr<FleetProtocol> m_fleet;
  mutable std::unique_ptr<PartStoreProtocol> m_stores;
};

/// Formats an empty data folder with the replica's identity and the initial
/// membership; run once for each replica of a new control group. Throws Error
/// when the folder is already formatted.
void
Bootstrap(const Settings& aSettings);

} // namespace fulmarquay

#endif
