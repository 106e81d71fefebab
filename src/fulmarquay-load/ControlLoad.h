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

/// Measurements of one run against the control group.
struct ControlLoadResult
{
  std::vector<Duration> m_latencies; ///< of each answered request, unsorted
  Duration m_longestGap{};           ///< longest time without a reply
  Duration m_length{};
};

/// Closed-loop load on the control group: keeps a fixed number of once-only
/// intents in flight at the leader. Switches to the next replica when the
/// connection closes, a request times out or the replica does not lead.
class ControlLoad : public FrameHandler
{
public:
  ControlLoad(std::vector<Endpoint> aReplicas, std::size_t aInFlight);

  /// Runs for aLength. With aStatusOnly the requests are status requests,
  /// which need a round trip but no commit.
  ControlLoadResult Run(Duration aLength, bool aStatusOnly);

  void OnConnected(ConnectionId aConnection) override;
  void OnFrame(ConnectionId aConnection, Frame aFrame) override;
  void OnClosed(ConnectionId aConnection) override;

private:
  struct PendingRequest
  {
    ControlMessage m_message;
    TimePoint m_firstSentAt;
    TimePoint m_lastSentAt;
  };

  void SendNew();
  void Send(PendingRequest& aPending);
  void OnReply(RequestId aRequest);
  void SwitchReplica();
  void ScheduleTimeoutCheck();

  boost::asio::io_context m_context;
  boost::asio::steady_timer m_timer;
  FrameHub m_hub;
  std::vector<Endpoint> m_replicas;
  std::vector<ConnectionId> m_connections;
  std::size_t m_leaderIndex = 0;
  std::size_t m_inFlight;
  bool m_statusOnly = false;
  std::uint64_t m_runId = 0; ///< random; makes idempotency keys unique
  std::uint64_t m_nextRequest = 1;
  std::map<RequestId, PendingRequest> m_pending;
  TimePoint m_lastReplyAt;
  TimePoint m_lastSwitchAt;
  ControlLoadResult m_result;
};

/// Durations of single writes with a sync, appended to a preallocated file in
/// a folder. Removes the file afterwards.
std::vector<Duration>
MeasureSyncs(const std::string& aFolder, int aCount);

/// The value at a percentile, given as a fraction from 0 to 1 and rounded down
/// to a sample; 0 without samples.
Duration
Percentile(std::vector<Duration> aTimes, double aFraction);

} // namespace fulmarquay

#endif
