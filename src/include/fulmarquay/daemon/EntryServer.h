#ifndef FULMARQUAY_DAEMON_ENTRYSERVER_H
#define FULMARQUAY_DAEMON_ENTRYSERVER_H

#include "fulmarquay/core/Settings.h"
#include "fulmarquay/daemon/AnswerServer.h"
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

/// The shell of fulmarquay-entry: decodes events for an EntryNode and carries
/// out its effects.
class EntryServer
  : public FrameHandler
  , public HttpHandler
  , public HttpCallHandler
{
public:
  class Builder;

  /// Serves until a drain after SIGTERM or SIGINT has ended.
  void Run();

  void OnConnected(ConnectionId aConnection) override;
  void OnFrame(ConnectionId aConnection, Frame aFrame) override;
  void OnClosed(ConnectionId aConnection) override;
  void OnRequest(CallerId aCaller, HttpRequest aRequest) override;
  void OnCallerDisconnected(CallerId aCaller) override;
  void OnHead(CallId aCall, const HttpResponse& aHead) override;
  void OnData(CallId aCall, std::string aData) override;
  void OnEnd(CallId aCall, CallEnd aEnd, const std::string& aWhy) override;

private:
  explicit EntryServer(const Builder& aBuilder);
  void ListenForPlatform(const Settings& aSettings);
  void FollowLimits();

  struct ControlLink
  {
    Endpoint m_address;
    ConnectionId m_connection;
    bool m_isTrying = false;
  };

  void Feed(const EntryEvent& aEvent);
  void Carry(const RespondCaller& aEffect);
  void Carry(const BeginCallerStream& aEffect);
  void Carry(const WriteCallerStream& aEffect);
  void Carry(EndCallerStream aEffect);
  void Carry(StartCall aEffect);
  void Carry(CancelCall aEffect);
  void Carry(const SendToControl& aEffect);
  void Carry(const AddControlLink& aEffect);
  void Carry(const SendToPeer& aEffect);
  void Carry(const ReplyToPeer& aEffect);
  void Carry(const LogLine& aEffect);
  void Carry(EntryStopped aEffect);
  void Tick();
  void ConnectControl();
  void AwaitSignal();

  boost::asio::io_context m_context;
  boost::asio::steady_timer m_ticker;
  boost::asio::signal_set m_signals;
  EntryNode m_node;
  FrameHub m_hub;
  HttpServer m_server;
  HttpClient m_client;
  std::vector<ControlLink> m_control;
  std::map<Endpoint, ConnectionId> m_peers;
  int m_ticks = 0;
  SettingsReload m_reload;
  HttpServerLimits m_limits; ///< of the settings
  Revision m_limitsRevision;
  std::unique_ptr<AnswerServer> m_readyHttp;
  std::unique_ptr<AnswerServer> m_metricsHttp;
};

/// Composes an entry server.
class EntryServer::Builder
{
public:
  Builder(Settings aSettings, std::string aSettingsFile);

  /// Serves published routes, in this form of requests.
  Builder& Relay(std::shared_ptr<const RelayProtocol> aProtocol);

  /// Opens the ports. Throws Error.
  std::unique_ptr<EntryServer> Build();

private:
  friend class EntryServer;
  Settings m_settings;
  std::string m_settingsFile;
  std::shared_ptr<const RelayProtocol> m_relay;
};

} // namespace fulmarquay

#endif
