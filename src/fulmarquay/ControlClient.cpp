#include "ControlClient.h"

#include "fulmarquay/core/Clock.h"
#include "fulmarquay/core/Error.h"
#include "fulmarquay/wire/FrameCall.h"

#include <thread>
#include <utility>

namespace fulmarquay {

namespace {

constexpr Duration kReplyPatience(3'000'000);
constexpr std::chrono::milliseconds kRepeatPause(150);

} // namespace

ControlClient::ControlClient(std::vector<Endpoint> aReplicas,
                             Duration aPatience)
  : m_replicas(std::move(aReplicas))
  , m_patience(aPatience)
{
  if (m_replicas.empty()) {
    throw Error(
      "ask control group", "", "no address: give --control IP:PORT ...");
  }
}

ControlMessage
ControlClient::Ask(const ControlMessage& aRequest)
{
  const TimePoint deadline = MonotonicNow() + m_patience;
  std::string last = "no replica answered";
  std::size_t next = 0;
  Endpoint target = m_replicas.front();
  while (MonotonicNow() < deadline) {
    try {
      const Frame reply = CallPeer(
        target, { Channel::Control, PackMessage(aRequest) }, kReplyPatience);
      auto message = UnpackMessage<ControlMessage>(reply.m_body);
      const auto* refusal = std::get_if<NotLeader>(&message);
      if (refusal == nullptr) {
        return message;
      }
      last = target.ToString() + " does not lead";
      if (!refusal->m_leader.empty() &&
          refusal->m_leader != target.ToString()) {
        target = Endpoint::Parse(refusal->m_leader);
        continue;
      }
    } catch (const Error& e) {
      last = e.what();
    }
    next = (next + 1) % m_replicas.size();
    target = m_replicas[next];
    std::this_thread::sleep_for(kRepeatPause);
  }
  throw Error("ask control group",
              "",
              last + "; it has no reachable leader now, try again later");
}

} // namespace fulmarquay
