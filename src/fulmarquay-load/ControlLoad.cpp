#include <utility>

#include "ControlLoad.h"

#include "fulmarquay/consensus/DiskFolder.h"
#include "fulmarquay/core/Clock.h"

#include <algorithm>

namespace fulmarquay {

namespace {

constexpr std::chrono::milliseconds kTick(5);
/// A request without an answer is sent again, to the next replica.
constexpr Duration kPatience(250'000);
constexpr Duration kSwitchPause(20'000);
constexpr std::size_t kRecordBytes = 300;

} // namespace

ControlLoad::ControlLoad(std::vector<Endpoint> aReplicas, std::size_t aInFlight)
  : m_ticker(m_context)
  , m_hub(m_context, *this)
  , m_replicas(std::move(aReplicas))
  , m_inFlight(aInFlight)
  , m_run(RandomNumber())
{
  for (const Endpoint& replica : m_replicas) {
    m_connections.push_back(m_hub.Connect(replica));
  }
}

CommitRun
ControlLoad::Run(Duration aLength, bool aReads)
{
  m_reads = aReads;
  m_result = CommitRun();
  m_result.m_length = aLength;
  m_lastAnswer = MonotonicNow();
  m_asked.clear();
  for (std::size_t i = 0; i < m_inFlight; ++i) {
    SendNew();
  }
  Tick();
  m_context.restart();
  m_context.run_for(aLength);
  m_ticker.cancel();
  m_result.m_longestGap =
    std::max(m_result.m_longestGap, MonotonicNow() - m_lastAnswer);
  return std::move(m_result);
}

void
ControlLoad::SendNew()
{
  const RequestId id(m_next++);
  Asked& asked = m_asked[id];
  if (m_reads) {
    asked.m_message = StatusRequest{ id };
  } else {
    BeginOnceRequest request;
    request.m_request = id;
    request.m_command.m_key = { AccountId("load"),
                                std::to_string(m_run) + "-" +
                                  std::to_string(id.Value()) };
    request.m_command.m_digest = std::string(64, 'd');
    request.m_command.m_service = ServiceId("load");
    request.m_command.m_entry = VmId("load");
    request.m_command.m_boot = BootId(m_run);
    request.m_command.m_attempt = id.Value();
    asked.m_message = std::move(request);
  }
  asked.m_first = MonotonicNow();
  Send(asked);
}

void
ControlLoad::Send(Asked& aAsked)
{
  aAsked.m_sent = MonotonicNow();
  m_hub.Send(m_connections[m_leader],
             { Channel::Control, PackMessage(aAsked.m_message) });
}

void
ControlLoad::Answered(RequestId aRequest)
{
  const auto place = m_asked.find(aRequest);
  if (place == m_asked.end()) {
    return;
  }
  const TimePoint now = MonotonicNow();
  m_result.m_latencies.push_back(now - place->second.m_first);
  m_result.m_longestGap = std::max(m_result.m_longestGap, now - m_lastAnswer);
  m_lastAnswer = now;
  m_asked.erase(place);
  SendNew();
}

void
ControlLoad::TryNext()
{
  const TimePoint now = MonotonicNow();
  if (now < m_lastSwitch + kSwitchPause) {
    return;
  }
  m_lastSwitch = now;
  m_leader = (m_leader + 1) % m_replicas.size();
  for (auto& [id, asked] : m_asked) {
    Send(asked);
  }
}

void
ControlLoad::Tick()
{
  m_ticker.expires_after(kTick);
  m_ticker.async_wait([this](const boost::system::error_code& aError) {
    if (aError) {
      return;
    }
    const TimePoint now = MonotonicNow();
    const bool isLate =
      std::any_of(m_asked.begin(), m_asked.end(), [&](const auto& aEach) {
        return now > aEach.second.m_sent + kPatience;
      });
    if (isLate) {
      TryNext();
    }
    Tick();
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
    Answered(begin->m_request);
  } else if (const auto* status = std::get_if<StatusReply>(&message)) {
    Answered(status->m_request);
  } else if (aConnection == m_connections[m_leader]) {
    TryNext();
  }
}

void
ControlLoad::OnClosed(ConnectionId aConnection)
{
  for (std::size_t i = 0; i < m_connections.size(); ++i) {
    if (m_connections[i] == aConnection) {
      auto timer = std::make_shared<boost::asio::steady_timer>(m_context);
      timer->expires_after(kSwitchPause);
      timer->async_wait([this, timer, i](const boost::system::error_code&) {
        m_connections[i] = m_hub.Connect(m_replicas[i]);
      });
      if (i == m_leader) {
        TryNext();
      }
    }
  }
}

std::vector<Duration>
MeasureSyncs(const std::string& aFolder, int aCount)
{
  const auto folder = OpenDiskFolder(aFolder);
  const auto file = folder->Create("syncs", Bytes(4LL << 20U));
  const std::string record(kRecordBytes, 'r');
  std::vector<Duration> times;
  for (int i = 0; i < aCount; ++i) {
    const TimePoint start = MonotonicNow();
    file->WriteAt(static_cast<std::uint64_t>(i) * kRecordBytes, record);
    file->Sync();
    times.push_back(MonotonicNow() - start);
  }
  folder->Remove("syncs");
  return times;
}

Duration
Percentile(std::vector<Duration> aTimes, double aShare)
{
  if (aTimes.empty()) {
    return Duration(0);
  }
  std::sort(aTimes.begin(), aTimes.end());
  const auto last = static_cast<double>(aTimes.size() - 1);
  return aTimes[static_cast<std::size_t>(aShare * last)];
}

} // namespace fulmarquay
