#include "ControlClient.h"

#include "fulmarquay/core/Clock.h"
#include "fulmarquay/core/Error.h"
#include "fulmarquay/wire/FrameCall.h"

#include <thread>
#include <utility>

namespace fulmarquay {

namespace {

constexpr Duration kReplyTimeout(3'000'000);
constexpr std::chrono::milliseconds kRetryDelay(150);

} // namespace

ControlClient::ControlClient(std::vector<Endpoint> aReplicas, Duration aTimeout)
  : m_replicas(std::move(aReplicas))
  , m_timeout(aTimeout)
{
  if (m_replicas.empty()) {
    throw Error(
      "ask control group", "", "no address: give --control IP:PORT ...");
  }
}

ControlMessage
ControlClient::Call(const ControlMessage& aRequest)
{
  const TimePoint deadline = MonotonicNow() + m_timeout;
  std::string lastError = "no replica answered";
  std::size_t nextReplica = 0;
  Endpoint target = m_replicas.front();
  while (MonotonicNow() < deadline) {
    try {
      const Frame reply = CallPeer(
        target, { Channel::Control, PackMessage(aRequest) }, kReplyTimeout);
      auto message = UnpackMessage<ControlMessage>(reply.m_body);
      const auto* notLeader = std::get_if<NotLeader>(&message);
      if (notLeader == nullptr) {
        return message;
      }
      lastError = target.ToString() + " does not lead";
      if (!notLeader->m_leader.empty() &&
          notLeader->m_leader != target.ToString()) {
        target = Endpoint::Parse(notLeader->m_leader);
        continue;
      }
    } catch (const Error& e) {
      lastError = e.what();
    }
    nextReplica = (nextReplica + 1) % m_replicas.size();
    target = m_replicas[nextReplica];
    std::this_thread::sleep_for(kRetryDelay);
  }
  throw Error("ask control group",
              "",
              lastError + "; it has no reachable leader now, try again later");
}

} // namespace fulmarquay
