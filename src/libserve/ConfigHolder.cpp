#include "fulmarquay/serve/ConfigHolder.h"

#include "fulmarquay/core/Error.h"
#include "fulmarquay/core/Settings.h"

#include <algorithm>
#include <utility>

namespace fulmarquay {

namespace {

constexpr Duration kAnnounceInterval(1'000'000);
constexpr Duration kRequestInterval(500'000);
/// How long a new process waits for the leader before it requests the
/// configuration from its peers.
constexpr Duration kLeaderTimeout(1'500'000);

} // namespace

ConfigHolder::ConfigHolder(EntryContext& aContext, std::vector<Endpoint> aPeers)
  : m_context(aContext)
  , m_seedPeers(std::move(aPeers))
{
}

bool
ConfigHolder::OnPush(const ConfigDelta& aDelta)
{
  const bool isFull = aDelta.m_from == Revision(0);
  if (aDelta.m_to <= m_held || (!isFull && aDelta.m_from != m_held)) {
    return false;
  }
  ConfigSections sections = m_sections;
  ApplyDelta(sections, aDelta);
  Hold(aDelta.m_to, std::move(sections));
  Advance(true);
  return true;
}

void
ConfigHolder::Hold(Revision aRevision, ConfigSections aSections)
{
  m_held = aRevision;
  m_sections = std::move(aSections);
  m_heldSince = m_context.Now();
  Announce();
}

void
ConfigHolder::Announce()
{
  m_nextAnnounce = m_context.Now() + kAnnounceInterval;
  ConfigAnnouncement held;
  held.m_vm = m_context.Self().m_vm;
  held.m_boot = m_context.Self().m_boot;
  held.m_held = m_held.Value();
  held.m_inForce = m_inForce.Value();
  std::vector<Endpoint> targets = m_seedPeers;
  for (const auto& [vm, address] : m_addresses) {
    if (std::find(targets.begin(), targets.end(), address) == targets.end()) {
      targets.push_back(address);
    }
  }
  for (const Endpoint& target : targets) {
    m_context.Emit(SendToPeer{ target, held });
  }
}

void
ConfigHolder::OnConfirmed(Revision aAccepted,
                          const std::vector<EntryPeer>& aPeers)
{
  if (aAccepted <= m_held) {
    m_lastConfirmed = m_context.Now();
    m_isConfirmed = true;
    m_mayBeStale = false;
  }
  if (aPeers.empty()) {
    return;
  }
  m_addresses.clear();
  std::map<VmId, Peer> peers;
  for (const EntryPeer& peer : aPeers) {
    if (peer.m_vm == m_context.Self().m_vm) {
      continue;
    }
    m_addresses[peer.m_vm] = Endpoint::Parse(peer.m_address);
    const auto known = m_peers.find(peer.m_vm);
    if (known != m_peers.end() && known->second.m_boot == peer.m_boot) {
      peers[peer.m_vm] = known->second;
    } else {
      peers[peer.m_vm].m_boot = peer.m_boot;
      peers[peer.m_vm].m_lastHeard = m_context.Now();
    }
  }
  m_peers = std::move(peers);
}

void
ConfigHolder::OnMessage(const ConfigAnnouncement& aMessage)
{
  if (aMessage.m_vm == m_context.Self().m_vm) {
    return;
  }
  Peer& peer = m_peers[aMessage.m_vm];
  peer.m_boot = aMessage.m_boot;
  peer.m_held = Revision(aMessage.m_held);
  peer.m_lastHeard = m_context.Now();
  if (peer.m_held > m_held) {
    m_mayBeStale = true;
  }
}

void
ConfigHolder::OnTick(bool aHasLease)
{
  UpdateStaleness();
  Advance(aHasLease);
  if (m_context.Now() >= m_nextAnnounce) {
    Announce();
  }
  RequestFromPeers();
}

void
ConfigHolder::Advance(bool aHasLease)
{
  if (m_inForce == m_held || !aHasLease) {
    return;
  }
  const TimePoint now = m_context.Now();
  for (const auto& [vm, peer] : m_peers) {
    const bool isSilent =
      now >= std::max(peer.m_lastHeard, m_heldSince) + kPeerHoldTimeout;
    if (AwaitsPeers() && peer.m_held < m_held && !isSilent) {
      return;
    }
  }
  PutInForce();
}

void
ConfigHolder::PutInForce()
{
  m_current = std::make_unique<Configuration>(BuildConfiguration(m_sections));
  m_inForce = m_held;
  m_context.Log(LogEvent::ConfigurationInForce,
                { { "revision", std::to_string(m_inForce.Value()) } });
}

void
ConfigHolder::UpdateStaleness()
{
  for (const auto& [vm, peer] : m_peers) {
    const TimePoint last = std::max(peer.m_lastHeard, m_lastConfirmed);
    if (m_context.Now() >= last + kStaleAfter) {
      m_mayBeStale = true;
    }
  }
}

bool
ConfigHolder::IsFresh() const
{
  const bool isHeldInForce = m_inForce == m_held && m_held > Revision(0);
  return isHeldInForce && m_isConfirmed && !m_mayBeStale;
}

bool
ConfigHolder::IsPeerLive(const VmId& aVm) const
{
  const auto found = m_peers.find(aVm);
  return found != m_peers.end() &&
         m_context.Now() < found->second.m_lastHeard + kStaleAfter;
}

void
ConfigHolder::RequestFromPeers()
{
  const TimePoint now = m_context.Now();
  if (m_startedAt == TimePoint()) {
    m_startedAt = now;
  }
  const bool isAwaitingLeader = now < m_startedAt + kLeaderTimeout;
  if (m_held > Revision(0) || isAwaitingLeader || now < m_nextRequest) {
    return;
  }
  m_nextRequest = now + kRequestInterval;
  for (const Endpoint& peer : m_seedPeers) {
    m_context.Emit(SendToPeer{ peer, ConfigRequest{ m_context.Self().m_vm } });
  }
}

void
ConfigHolder::OnConfigRequest(ConnectionId aFrom)
{
  if (m_current == nullptr) {
    return;
  }
  ConfigReply reply;
  reply.m_vm = m_context.Self().m_vm;
  reply.m_revision = m_held.Value();
  reply.m_isFresh = IsFresh();
  reply.m_answers = RenderAnswers(m_sections);
  m_context.Emit(ReplyToPeer{ aFrom, std::move(reply) });
}

void
ConfigHolder::OnConfigReply(const ConfigReply& aMessage)
{
  if (!aMessage.m_isFresh || Revision(aMessage.m_revision) <= m_held) {
    return;
  }
  const Settings answers =
    CheckAnswers(aMessage.m_answers, aMessage.m_vm.Value());
  Hold(Revision(aMessage.m_revision), answers.All());
  // A fresh sender has this revision in force, so it may come into force here.
  m_isConfirmed = true;
  m_lastConfirmed = m_context.Now();
  PutInForce();
}

} // namespace fulmarquay
