#ifndef FULMARQUAY_ENTRY_ENTRYSERVER_H
#define FULMARQUAY_ENTRY_ENTRYSERVER_H

#include "fulmarquay/serve/EntryNode.h"
#include "fulmarquay/wire/FrameHub.h"
#include "fulmarquay/wire/HttpClient.h"
#include "fulmarquay/wire/HttpServer.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <map>
#include <vector>

namespace fulmarquay {

class Settings;

/// The shell of fulmarquay-entry: decodes events for an EntryNode and carries
/// out its effects.
class EntryServer
  : public FrameHandler
  , public HttpHandler
  , public HttpCallHandler
{
public:
  /// Opens the ports. Throws Error.
  explicit EntryServer(const Settings& aSettings);

  /// Serves until a drain after SIGTERM or SIGINT has ended.
  void Run();

  void OnConnected(ConnectionId aConnection) override;
  void OnFrame(ConnectionId aConnection, Frame aFrame) override;
  void OnClosed(ConnectionId aConnection) override;
  void OnRequest(CallerId aCaller, HttpRequest aRequest) override;
  void OnGone(CallerId aCaller) override;
  void OnHead(CallId aCall, const HttpResponse& aHead) override;
  void OnData(CallId aCall, std::string aData) override;
  void OnEnd(CallId aCall, CallEnd aEnd, const std::string& aWhy) override;

private:
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
  void Carry(const SendToPeer& aEffect);
  void Carry(const ReplyToPeer& aEffect);
  void Carry(const EntryLogLine& aEffect);
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
};

} // namespace fulmarquay

#endif
