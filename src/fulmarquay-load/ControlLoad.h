#ifndef FULMARQUAY_LOAD_CONTROLLOAD_H
#define FULMARQUAY_LOAD_CONTROLLOAD_H

#include "fulmarquay/control/ControlMessages.h"
#include "fulmarquay/core/Endpoint.h"
#include "fulmarquay/core/Units.h"
#include "fulmarquay/wire/FrameHub.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace fulmarquay {

/// What a run of commits showed.
struct CommitRun
{
  std::vector<Duration> m_latencies; ///< of each answered request, unsorted
  Duration m_longestGap{};           ///< longest time without an answer
  Duration m_length{};
};

/// Keeps a number of once-only intents in flight at the control group's
/// leader and follows it when it changes.
class ControlLoad : public FrameHandler
{
public:
  ControlLoad(std::vector<Endpoint> aReplicas, std::size_t aInFlight);

  /// Runs for a time. With `aReads` it asks for the status instead, which
  /// needs a round trip and no commit.
  CommitRun Run(Duration aLength, bool aReads);

  void OnConnected(ConnectionId aConnection) override;
  void OnFrame(ConnectionId aConnection, Frame aFrame) override;
  void OnClosed(ConnectionId aConnection) override;

private:
  struct Asked
  {
    ControlMessage m_message;
    TimePoint m_first;
    TimePoint m_sent;
  };

  void SendNew();
  void Send(Asked& aAsked);
  void Answered(RequestId aRequest);
  void TryNext();
  void Tick();

  boost::asio::io_context m_context;
  boost::asio::steady_timer m_ticker;
  FrameHub m_hub;
  std::vector<Endpoint> m_replicas;
  std::vector<ConnectionId> m_connections;
  std::size_t m_leader = 0;
  std::size_t m_inFlight;
  bool m_reads = false;
  std::uint64_t m_run = 0; ///< makes the keys of this process its own
  std::uint64_t m_next = 1;
  std::map<RequestId, Asked> m_asked;
  TimePoint m_lastAnswer;
  TimePoint m_lastSwitch;
  CommitRun m_result;
};

/// Times of single synced appends to a reserved file in a folder.
std::vector<Duration>
MeasureSyncs(const std::string& aFolder, int aCount);

/// The value below which this share (0 to 1) of the times lies.
Duration
Percentile(std::vector<Duration> aTimes, double aShare);

} // namespace fulmarquay

#endif
