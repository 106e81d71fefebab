#include "fulmarquay/serve/ControlSession.h"

#include <algorithm>
#include <utility>

namespace fulmarquay {

namespace {

constexpr Duration kHeartbeatInterval(1'000'000);
/// Heartbeats in a row after which a link counts as steady.
constexpr int kSteadyReplies = 3;
constexpr Duration kSearchInterval(100'000);
/// A replica that does not answer a heartbeat within this is not the leader.
constexpr Duration kReplyPatience(400'000);
/// A request whose leader refused it is sent again after this.
constexpr Duration kRepeatInterval(50'000);

} // namespace

ControlSession::ControlSession(EntryContext& aContext,
                               ControlSessionOwner& aOwner,
                               std::vector<Endpoint> aReplicas,
                               Duration aSteadyInterval,
                               bool aLearnsReplicas)
  : m_context(aContext)
  , m_owner(aOwner)
  , m_steadyInterval(aSteadyInterval)
  , m_learnsReplicas(aLearnsReplicas)
  , m_replicas(std::move(aReplicas))
  , m_isOpen(m_replicas.size(), false)
{
}

bool
ControlSession::HasLease() const
{
  return m_context.Now() < m_leaseUntil;
}

void
ControlSession::OnTick()
{
  const TimePoint now = m_context.Now();
  if (m_isAwaitingReply && now >= m_heartbeatSent + kReplyPatience) {
    TryNextReplica();
  }
  if (now >= m_nextHeartbeat) {
    HeartbeatNow();
  }
  ExpireAsked();
  for (auto& [request, asked] : m_asked) {
    if (asked.m_isDue && now >= asked.m_sent + kRepeatInterval) {
      Send(asked);
    }
  }
}

void
ControlSession::HeartbeatNow()
{
  const TimePoint now = m_context.Now();
  m_nextHeartbeat = now + kHeartbeatInterval;
  if (m_replicas.empty()) {
    return;
  }
  if (!m_isOpen[m_leader]) {
    TryNextReplica();
    return;
  }
  m_heartbeatSent = now;
  m_isAwaitingReply = true;
  m_context.Emit(SendToControl{ m_leader, m_owner.MakeHeartbeat() });
}

void
ControlSession::TryNextReplica()
{
  m_isAwaitingReply = false;
  m_repliesInRow = 0;
  m_nextHeartbeat = m_context.Now() + kSearchInterval;
  std::size_t next = (m_leader + 1) % m_replicas.size();
  for (std::size_t i = 1; i < m_replicas.size() && !m_isOpen[next]; ++i) {
    next = (next + 1) % m_replicas.size();
  }
  SetLeader(next);
}

std::size_t
ControlSession::LinkOf(const std::string& aReplica)
{
  const Endpoint address = Endpoint::Parse(aReplica);
  const auto place = std::find(m_replicas.begin(), m_replicas.end(), address);
  if (place == m_replicas.end() && m_learnsReplicas) {
    return AddReplica(address);
  }
  return static_cast<std::size_t>(place - m_replicas.begin());
}

std::size_t
ControlSession::AddReplica(const Endpoint& aReplica)
{
  m_replicas.push_back(aReplica);
  m_isOpen.push_back(false);
  m_context.Emit(AddControlLink{ aReplica });
  return m_replicas.size() - 1;
}

void
ControlSession::AddReplicas(const std::vector<Endpoint>& aReplicas)
{
  for (const Endpoint& replica : aReplicas) {
    const bool isKnown =
      std::find(m_replicas.begin(), m_replicas.end(), replica) !=
      m_replicas.end();
    if (!isKnown) {
      AddReplica(replica);
    }
  }
}

void
ControlSession::OnReply(const RoutePush& aPush)
{
  m_owner.OnRoutePush(aPush);
}

void
ControlSession::OnReply(const StorePush& aPush)
{
  m_owner.OnStorePush(aPush);
}

void
ControlSession::OnReply(const WorkerPush& aPush)
{
  m_owner.OnWorkerPush(aPush);
}

void
ControlSession::SetLeader(std::size_t aLink)
{
  if (aLink == m_leader) {
    return;
  }
  m_leader = aLink;
  for (auto& [request, asked] : m_asked) {
    asked.m_isDue = true;
  }
}

void
ControlSession::OnLink(const ControlLinkChanged& aEvent)
{
  m_isOpen[aEvent.m_link] = aEvent.m_isOpen;
  if (aEvent.m_link != m_leader) {
    return;
  }
  if (aEvent.m_isOpen) {
    HeartbeatNow();
    return;
  }
  for (auto& [request, asked] : m_asked) {
    asked.m_isDue = true;
  }
  TryNextReplica();
}

void
ControlSession::OnMessage(const ControlReply& aEvent)
{
  m_replyLink = aEvent.m_link;
  std::visit([this](const auto& aBody) { OnReply(aBody); }, aEvent.m_message);
}

void
ControlSession::OnReply(const HeartbeatReply& aReply)
{
  SetLeader(m_replyLink);
  m_isAwaitingReply = false;
  m_nextHeartbeat =
    m_heartbeatSent +
    (++m_repliesInRow > kSteadyReplies ? m_steadyInterval : kHeartbeatInterval);
  // From the time of sending: the leader counts from a later moment.
  m_leaseUntil = m_heartbeatSent + Duration(aReply.m_leaseUs);
  m_lastConfirmed = m_heartbeatSent;
  for (const std::string& replica : aReply.m_replicas) {
    LinkOf(replica);
  }
  m_owner.OnHeartbeatReply(aReply);
}

void
ControlSession::OnReply(const ConfigPush& aPush)
{
  m_owner.OnConfigPush(aPush);
}

void
ControlSession::OnReply(const OnceProbe& aProbe)
{
  m_owner.OnOnceProbe(aProbe);
}

void
ControlSession::OnReply(const BeginOnceReply& aReply)
{
  const auto place = m_asked.find(aReply.m_request);
  if (place == m_asked.end() || !place->second.m_onBegin) {
    return;
  }
  const BeginHandler handler = std::move(place->second.m_onBegin);
  m_asked.erase(place);
  handler(aReply.m_result);
}

void
ControlSession::OnReply(const FinishOnceReply& aReply)
{
  const auto place = m_asked.find(aReply.m_request);
  if (place == m_asked.end() || !place->second.m_onFinish) {
    return;
  }
  const FinishHandler handler = std::move(place->second.m_onFinish);
  m_asked.erase(place);
  handler();
}

void
ControlSession::OnReply(const NotLeader& aReply)
{
  const auto asked = m_asked.find(aReply.m_request);
  if (asked != m_asked.end()) {
    asked->second.m_isDue = true;
  }
  if (m_replyLink != m_leader) {
    return;
  }
  m_isAwaitingReply = false;
  if (!aReply.m_leader.empty()) {
    const std::size_t leader = LinkOf(aReply.m_leader);
    const bool isLinked = leader < m_replicas.size() && m_isOpen[leader];
    if (leader != m_leader && isLinked) {
      SetLeader(leader);
      HeartbeatNow();
      return;
    }
  }
  TryNextReplica();
}

void
ControlSession::BeginOnce(const BeginOnceCommand& aCommand,
                          Duration aDeadline,
                          BeginHandler aHandler)
{
  const RequestId request(m_context.NextNumber());
  Asked asked;
  asked.m_message = BeginOnceRequest{ request, aCommand };
  asked.m_deadline = m_context.Now() + aDeadline;
  asked.m_onBegin = std::move(aHandler);
  Ask(request, std::move(asked));
}

void
ControlSession::FinishOnce(const FinishOnceCommand& aCommand,
                           FinishHandler aHandler)
{
  const RequestId request(m_context.NextNumber());
  Asked asked;
  asked.m_message = FinishOnceRequest{ request, aCommand };
  asked.m_onFinish = std::move(aHandler);
  Ask(request, std::move(asked));
}

void
ControlSession::Ask(RequestId aRequest, Asked aAsked)
{
  const auto place = m_asked.emplace(aRequest, std::move(aAsked)).first;
  Send(place->second);
}

void
ControlSession::Send(Asked& aAsked)
{
  aAsked.m_sent = m_context.Now();
  aAsked.m_isDue = m_replicas.empty() || !m_isOpen[m_leader];
  if (!aAsked.m_isDue) {
    m_context.Emit(SendToControl{ m_leader, aAsked.m_message });
  }
}

void
ControlSession::ExpireAsked()
{
  std::vector<BeginHandler> expired;
  for (auto place = m_asked.begin(); place != m_asked.end();) {
    const Asked& asked = place->second;
    const bool hasDeadline = asked.m_deadline != TimePoint();
    if (hasDeadline && m_context.Now() >= asked.m_deadline) {
      expired.push_back(asked.m_onBegin);
      place = m_asked.erase(place);
    } else {
      ++place;
    }
  }
  for (const BeginHandler& handler : expired) {
    handler(std::nullopt);
  }
}

} // namespace fulmarquay
