#include "fulmarquay/serve/ControlSession.h"

#include "fulmarquay/core/AddressText.h"

#include <algorithm>
#include <utility>

namespace fulmarquay {

namespace {

constexpr Duration kHeartbeatInterval(1'000'000);
/// Consecutive replies after which a link counts as stable.
constexpr int kStableReplyCount = 3;
constexpr Duration kLeaderSearchInterval(100'000);
/// Timeout of a heartbeat, after which the next one goes to another replica.
constexpr Duration kHeartbeatTimeout(400'000);
/// Minimum interval between sends of a request, for example after a reply that
/// the replica does not lead.
constexpr Duration kResendDelay(50'000);

} // namespace

ControlSession::ControlSession(EntryContext& aContext,
                               ControlSessionOwner& aOwner,
                               std::vector<Endpoint> aReplicas,
                               Duration aStableInterval,
                               bool aDiscoversReplicas)
  : m_context(aContext)
  , m_owner(aOwner)
  , m_stableInterval(aStableInterval)
  , m_discoversReplicas(aDiscoversReplicas)
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
  if (m_isAwaitingReply && now >= m_heartbeatSent + kHeartbeatTimeout) {
    TryNextReplica();
  }
  if (now >= m_nextHeartbeat) {
    SendHeartbeat();
  }
  ExpirePending();
  for (auto& [request, pending] : m_pending) {
    if (pending.m_isDue && now >= pending.m_sentAt + kResendDelay) {
      Send(pending);
    }
  }
}

void
ControlSession::SendHeartbeat()
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
  m_consecutiveReplies = 0;
  m_nextHeartbeat = m_context.Now() + kLeaderSearchInterval;
  std::size_t next = (m_leader + 1) % m_replicas.size();
  for (std::size_t i = 1; i < m_replicas.size() && !m_isOpen[next]; ++i) {
    next = (next + 1) % m_replicas.size();
  }
  SetLeader(next);
}

std::size_t
ControlSession::LinkOf(const std::string& aReplica)
{
  const std::optional<Endpoint> address = ReadAddress(aReplica);
  if (!address) {
    // Each replica states its own address, which must not end this process.
    m_context.Counters().Count("unusable_addresses_total");
    m_context.Log(LogEvent::BadFrame,
                  { { "step", "read replicas" },
                    { "reason", "an address is not IP:PORT" } });
    return m_replicas.size();
  }
  const auto found = std::find(m_replicas.begin(), m_replicas.end(), *address);
  if (found == m_replicas.end() && m_discoversReplicas) {
    return AddReplica(*address);
  }
  return static_cast<std::size_t>(found - m_replicas.begin());
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
ControlSession::OnReply(const PartQuery& aQuery)
{
  m_owner.OnPartQuery(aQuery);
}

void
ControlSession::OnReply(const LimitPush& aPush)
{
  m_owner.OnLimitPush(aPush);
}

void
ControlSession::Report(const PartReport& aReport)
{
  if (!m_replicas.empty() && m_isOpen[m_leader]) {
    m_context.Emit(SendToControl{ m_leader, aReport });
  }
}

void
ControlSession::SetLeader(std::size_t aLink)
{
  if (aLink == m_leader) {
    return;
  }
  m_leader = aLink;
  for (auto& [request, pending] : m_pending) {
    pending.m_isDue = true;
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
    SendHeartbeat();
    return;
  }
  for (auto& [request, pending] : m_pending) {
    pending.m_isDue = true;
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
    m_heartbeatSent + (++m_consecutiveReplies > kStableReplyCount
                         ? m_stableInterval
                         : kHeartbeatInterval);
  // Counted from the sending time: the leader's own count starts later, so that
  // the lease ends here first.
  // Leaders of the version before do not name the heartbeat that they answer.
  const TimePoint sentAt = aReply.m_heartbeatSentAtUs == 0
                             ? m_heartbeatSent
                             : TimePoint(Duration(aReply.m_heartbeatSentAtUs));
  m_leaseUntil = sentAt + Duration(aReply.m_leaseUs);
  m_lastConfirmed = sentAt;
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
  const auto found = m_pending.find(aReply.m_request);
  if (found == m_pending.end() || !found->second.m_onBegin) {
    return;
  }
  const BeginHandler handler = std::move(found->second.m_onBegin);
  m_pending.erase(found);
  handler(aReply.m_result);
}

void
ControlSession::OnReply(const FinishOnceReply& aReply)
{
  const auto found = m_pending.find(aReply.m_request);
  if (found == m_pending.end() || !found->second.m_onFinish) {
    return;
  }
  const FinishHandler handler = std::move(found->second.m_onFinish);
  m_pending.erase(found);
  handler();
}

void
ControlSession::OnReply(const NotLeader& aReply)
{
  const auto pending = m_pending.find(aReply.m_request);
  if (pending != m_pending.end()) {
    pending->second.m_isDue = true;
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
      SendHeartbeat();
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
  const RequestId request(m_context.NextId());
  PendingRequest pending;
  pending.m_message = BeginOnceRequest{ request, aCommand };
  pending.m_deadline = m_context.Now() + aDeadline;
  pending.m_onBegin = std::move(aHandler);
  StartRequest(request, std::move(pending));
}

void
ControlSession::FinishOnce(const FinishOnceCommand& aCommand,
                           FinishHandler aHandler)
{
  const RequestId request(m_context.NextId());
  PendingRequest pending;
  pending.m_message = FinishOnceRequest{ request, aCommand };
  pending.m_onFinish = std::move(aHandler);
  StartRequest(request, std::move(pending));
}

void
ControlSession::StartRequest(RequestId aId, PendingRequest aRequest)
{
  const auto added = m_pending.emplace(aId, std::move(aRequest)).first;
  Send(added->second);
}

void
ControlSession::Send(PendingRequest& aRequest)
{
  aRequest.m_sentAt = m_context.Now();
  aRequest.m_isDue = m_replicas.empty() || !m_isOpen[m_leader];
  if (!aRequest.m_isDue) {
    m_context.Emit(SendToControl{ m_leader, aRequest.m_message });
  }
}

void
ControlSession::ExpirePending()
{
  std::vector<BeginHandler> expired;
  for (auto it = m_pending.begin(); it != m_pending.end();) {
    const PendingRequest& pending = it->second;
    const bool hasDeadline = pending.m_deadline != TimePoint();
    if (hasDeadline && m_context.Now() >= pending.m_deadline) {
      expired.push_back(pending.m_onBegin);
      it = m_pending.erase(it);
    } else {
      ++it;
    }
  }
  for (const BeginHandler& handler : expired) {
    handler(std::nullopt);
  }
}

} // namespace fulmarquay
