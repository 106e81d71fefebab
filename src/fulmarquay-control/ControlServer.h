#ifndef FULMARQUAY_CONTROL_CONTROLSERVER_H
#define FULMARQUAY_CONTROL_CONTROLSERVER_H

#include "DiskWriter.h"
#include "PeerLinks.h"
#include "fulmarquay/control/ControlNode.h"
#include "fulmarquay/wire/FrameHub.h"
#include "fulmarquay/wire/HttpClient.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <map>
#include <memory>

namespace fulmarquay {

class Settings;

/// The shell of fulmarquay-control: decodes events for a ControlNode and
/// carries out its effects.
class ControlServer
  : public FrameHandler
  , public HttpCallHandler
{
public:
  /// Recovers or formats the state disk. Throws Error.
  explicit ControlServer(const Settings& aSettings);

  /// Serves until SIGTERM or SIGINT.
  void Run();

  void OnConnected(ConnectionId aConnection) override;
  void OnFrame(ConnectionId aConnection, Frame aFrame) override;
  void OnClosed(ConnectionId aConnection) override;
  void OnHead(CallId aCall, const HttpResponse& aHead) override;
  void OnData(CallId aCall, std::string aData) override;
  void OnEnd(CallId aCall, CallEnd aEnd, const std::string& aWhy) override;

private:
  void OpenDisk(const Settings& aSettings);
  void StartNode(const Settings& aSettings);
  void Feed(const ControlEvent& aEvent);
  void Carry(const SendConsensus& aEffect);
  void Carry(PersistBatch aEffect);
  void Carry(PersistSnapshot aEffect);
  void Carry(SaveSnapshot aEffect);
  void Carry(const SendControl& aEffect);
  void Carry(CallEngine aEffect);
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
  std::map<CallId, EngineAnswered> m_answers; ///< of running calls
  PeerLinks m_peers;
  std::unique_ptr<DiskWriter> m_disk;
  Membership m_known;
  int m_ticks = 0;
};

/// Writes identity and first membership into an empty data folder: done once
/// for each replica of a new group. Throws Error on a folder in use.
void
Bootstrap(const Settings& aSettings);

} // namespace fulmarquay

#endif
