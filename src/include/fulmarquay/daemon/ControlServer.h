#ifndef FULMARQUAY_DAEMON_CONTROLSERVER_H
#define FULMARQUAY_DAEMON_CONTROLSERVER_H

#include "fulmarquay/daemon/DiskWriter.h"
#include "fulmarquay/daemon/PeerLinks.h"
#include "fulmarquay/daemon/AnswerServer.h"
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

/// The shell of fulmarquay-control: decodes events for a ControlNode and
/// carries out its effects.
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
  void OnEnd(CallId aCall, CallEnd aEnd, const std::string& aWhy) override;
  void OnRequest(CallerId aCaller, HttpRequest aRequest) override;
  void OnCallerDisconnected(CallerId aCaller) override;

private:
  explicit ControlServer(const Builder& aBuilder);
  void AddFleet(const Settings& aSettings,
                std::unique_ptr<FleetProtocol> aProtocol,
                std::unique_ptr<PartStoreProtocol> aStores);
  void ListenForOperators(const Settings& aSettings);
  void Carry(const AnswerOperator& aEffect);
  std::string RenderMetrics();
  void OpenDisk(const Settings& aSettings);
  void StartNode(const Settings& aSettings);
  void Feed(const ControlEvent& aEvent);
  void Carry(const SendConsensus& aEffect);
  void Carry(PersistBatch aEffect);
  void Carry(PersistSnapshot aEffect);
  void Carry(SaveSnapshot aEffect);
  void Carry(const SendControl& aEffect);
  void Carry(StartUpstreamCall aEffect);
  void Carry(const LogLine& aEffect);
  void OnDiskDone(const DiskWriter::Job& aJob);
  void Tick();
  void Stop();

  boost::asio::io_context m_context;
  boost::asio::steady_timer m_ticker;
  boost::asio::steady_timer m_stopper;
  boost::asio::signal_set m_signals;
  std::unique_ptr<DiskFolder> m_folder;
  std::unique_ptr<LogStore> m_store;
  std::unique_ptr<ControlNode> m_node;
  FrameHub m_hub;
  HttpClient m_client;
  std::map<CallId, UpstreamCallEnded> m_answers; ///< of running calls
  PeerLinks m_peers;
  std::unique_ptr<DiskWriter> m_disk;
  Membership m_known;
  int m_ticks = 0;
  SettingsReload m_reload;
  std::unique_ptr<OperatorProtocol> m_operators;
  std::unique_ptr<HttpServer> m_operatorHttp;
  std::map<CallerId, HttpRequest> m_operatorCalls; ///< not yet answered
  std::unique_ptr<AnswerServer> m_metricsHttp;
  Metrics m_metrics;
};

/// Composes a control server; what is not set is not served.
class ControlServer::Builder
{
public:
  Builder(Settings aSettings, std::string aSettingsFile);

  /// The HTTP interface for operators at `operator_http`.
  Builder& Operators(std::unique_ptr<OperatorProtocol> aProtocol);
  /// VM list and workers of the deployment.
  Builder& Fleet(std::unique_ptr<FleetProtocol> aProtocol);

  /// KV cache stores that keep parts until they are told to free them.
  Builder& Stores(std::unique_ptr<PartStoreProtocol> aProtocol);

  /// Recovers or formats the state disk and opens the ports. Throws Error.
  std::unique_ptr<ControlServer> Build();

private:
  friend class ControlServer;
  Settings m_settings;
  std::string m_settingsFile;
  mutable std::unique_ptr<OperatorProtocol> m_operators;
  mutable std::unique_ptr<FleetProtocol> m_fleet;
  mutable std::unique_ptr<PartStoreProtocol> m_stores;
};

/// Writes identity and first membership into an empty data folder: done once
/// for each replica of a new group. Throws Error on a folder in use.
void
Bootstrap(const Settings& aSettings);

} // namespace fulmarquay

#endif
