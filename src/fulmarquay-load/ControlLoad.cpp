#include <utility>

#include "ControlLoad.h"

#include "fulmarquay/consensus/DiskFolder.h"
#include "fulmarquay/core/Clock.h"

#include <algorithm>

namespace fulmarquay {

namespace {

constexpr std::chrono::milliseconds kTimeoutCheckInterval(5);
/// When a request has had no reply for this time, all pending requests are sent
/// to the next replica.
constexpr Duration kResendTimeout(250'000);
/// Minimum time between switches to another replica, and delay before a closed
/// connection is opened again.
constexpr Duration kSwitchInterval(20'000);
constexpr std::size_t kSyncRecordBytes = 300;

} // namespace

ControlLoad::ControlLoad(std::vector<Endpoint> aReplicas, std::size_t aInFlight)
  : m_timer(m_context)
  , m_hub(m_context, *this)
  , m_replicas(std::move(aReplicas))
  , m_inFlight(aInFlight)
  , m_runId(RandomNumber())
{
  for (const Endpoint& replica : m_replicas) {
    m_connections.push_back(m_hub.Connect(replica));
  }
}

ControlLoadResult
ControlLoad::Run(Duration aLength, bool aStatusOnly)
{
  m_statusOnly = aStatusOnly;
  m_result = ControlLoadResult();
  m_result.m_length = aLength;
  m_lastReplyAt = MonotonicNow();
  m_pending.clear();
  for (std::size_t i = 0; i < m_inFlight; ++i) {
    SendNew();
  }
  ScheduleTimeoutCheck();
  m_context.restart();
  m_context.run_for(aLength);
  m_timer.cancel();
  m_result.m_longestGap =
    std::max(m_result.m_longestGap, MonotonicNow() - m_lastReplyAt);
  return std::move(m_result);
}

void
ControlLoad::SendNew()
{
  const RequestId id(m_nextRequest++);
  PendingRequest& pending = m_pending[id];
  if (m_statusOnly) {
    pending.m_message = StatusRequest{ id };
  } else {
    BeginOnceRequest request;
    request.m_request = id;
    request.m_command.m_key = { AccountId("load"),
                                std::to_string(m_runId) + "-" +
                                  std::to_string(id.Value()) };
    request.m_command.m_digest = std::string(64, 'd');
    request.m_command.m_service = ServiceId("load");
    request.m_command.m_entry = VmId("load");
    request.m_command.m_boot = BootId(m_runId);
    request.m_command.m_attempt = id.Value();
    pending.m_message = std::move(request);
  }
  pending.m_firstSentAt = MonotonicNow();
  Send(pending);
}

void
ControlLoad::Send(PendingRequest& aPending)
{
  aPending.m_lastSentAt = MonotonicNow();
  m_hub.Send(m_connections[m_leaderIndex],
             { Channel::Control, PackMessage(aPending.m_message) });
}

void
ControlLoad::OnReply(RequestId aRequest)
{
  const auto found = m_pending.find(aRequest);
  if (found == m_pending.end()) {
    return;
  }
  const TimePoint now = MonotonicNow();
  m_result.m_latencies.push_back(now - found->second.m_firstSentAt);
  m_result.m_longestGap = std::max(m_result.m_longestGap, now - m_lastReplyAt);
  m_lastReplyAt = now;
  m_pending.erase(found);
  SendNew();
}

void
ControlLoad::SwitchReplica()
{
  const TimePoint now = MonotonicNow();
  if (now < m_lastSwitchAt + kSwitchInterval) {
    return;
  }
  m_lastSwitchAt = now;
  m_leaderIndex = (m_leaderIndex + 1) % m_replicas.size();
  for (auto& [id, pending] : m_pending) {
    Send(pending);
  }
}

void
ControlLoad::ScheduleTimeoutCheck()
{
  m_timer.expires_after(kTimeoutCheckInterval);
  m_timer.async_wait([this](const boost::system::error_code& aError) {
    if (aError) {
      return;
    }
    const TimePoint now = MonotonicNow();
    const bool hasTimedOut =
      std::any_of(m_pending.begin(), m_pending.end(), [&](const auto& aPair) {
        return now > aPair.second.m_lastSentAt + kResendTimeout;
      });
    if (hasTimedOut) {
      SwitchReplica();
    }
    ScheduleTimeoutCheck();
  });
}

void
ControlLoad::OnConnected(ConnectionId)
{
}

void
ControlLoad::OnFrame(ConnectionId aConnection, Frame aFrame)
{
  const auto message = UnpackMessage<ControlMessage>(aFrame.m_body);
  if (const auto* begin = std::get_if<BeginOnceReply>(&message)) {
    OnReply(begin->m_request);
  } else if (const auto* status = std::get_if<StatusReply>(&message)) {
    OnReply(status->m_request);
  } else if (aConnection == m_connections[m_leaderIndex]) {
    SwitchReplica();
  }
}

void
ControlLoad::OnClosed(ConnectionId aConnection)
{
  for (std::size_t i = 0; i < m_connections.size(); ++i) {
    if (m_connections[i] == aConnection) {
      auto timer = std::make_shared<boost::asio::steady_timer>(m_context);
      timer->expires_after(kSwitchInterval);
      timer->async_wait([this, timer, i](const boost::system::error_code&) {
        m_connections[i] = m_hub.Connect(m_replicas[i]);
      });
      if (i == m_leaderIndex) {
        SwitchReplica();
      }
    }
  }
}

std::vector<Duration>
MeasureSyncs(const std::string& aFolder, int aCount)
{
  const auto folder = OpenDiskFolder(aFolder);
  const auto file = folder->Create("syncs", Bytes(4LL << 20U));
  const std::string record(kSyncRecordBytes, 'r');
  std::vector<Duration> times;
  for (int i = 0; i < aCount; ++i) {
    const TimePoint start = MonotonicNow();
    file->WriteAt(static_cast<std::uint64_t>(i) * kSyncRecordBytes, record);
    file->Sync();
    times.push_back(MonotonicNow() - start);
  }
  folder->Remove("syncs");
  return times;
}

Duration
Percentile(std::vector<Duration> aTimes, double aFraction)
{
  if (aTimes.empty()) {
    return Duration(0);
  }
  std::sort(aTimes.begin(), aTimes.end());
  const auto last = static_cast<double>(aTimes.size() - 1);
  return aTimes[static_cast<std::size_t>(aFraction * last)];
}

} // namespace fulmarquay
