#include "fulmarquay/control/EntryRegistry.h"

#include "fulmarquay/core/Digest.h"

#include <algorithm>

namespace fulmarquay {

EntryRegistry::EntryRegistry(Duration aLease)
  : m_lease(aLease)
{
}

EntrySession&
EntryRegistry::OnHeartbeat(TimePoint aNow,
                           ConnectionId aFrom,
                           const EntryHeartbeat& aHeartbeat)
{
  EntrySession& session = m_sessions[aHeartbeat.m_vm];
  AddHeldTokens(session, -1);
  const EntryHeartbeat& last = session.m_last;
  const bool isUnchanged = session.m_isListed &&
                           last.m_boot == aHeartbeat.m_boot &&
                           last.m_address == aHeartbeat.m_address &&
                           last.m_relayAddress == aHeartbeat.m_relayAddress &&
                           last.m_dataCentre == aHeartbeat.m_dataCentre;
  if (!isUnchanged) {
    m_peerLists[last.m_dataCentre].m_isStale = true;
    m_peerLists[aHeartbeat.m_dataCentre].m_isStale = true;
    m_allPeers.m_isStale = true;
    m_listedEntries += session.m_isListed ? 0 : 1;
    session.m_isListed = true;
  }
  if (session.m_connection != aFrom) {
    // Pushes over the earlier connection may be lost: push again.
    session.m_routesPushed = Revision(0);
    session.m_workersPushed = 0;
    session.m_storesPushed = 0;
  }
  session.m_last = aHeartbeat;
  session.m_connection = aFrom;
  session.m_heartbeatAt = aNow;
  AddHeldTokens(session, 1);
  return session;
}

void
EntryRegistry::OnClosed(ConnectionId aConnection)
{
  for (auto& [vm, session] : m_sessions) {
    if (session.m_connection == aConnection) {
      session.m_connection = ConnectionId();
    }
  }
}

void
EntryRegistry::Review(TimePoint aNow)
{
  for (auto& [vm, session] : m_sessions) {
    if (session.m_isListed && !IsLive(aNow, session)) {
      AddHeldTokens(session, -1);
      session.m_isListed = false;
      --m_listedEntries;
      m_peerLists[session.m_last.m_dataCentre].m_isStale = true;
      m_allPeers.m_isStale = true;
    }
  }
}

template<typename Filter>
void
EntryRegistry::RebuildIfStale(PeerList& aList, Filter aFilter) const
{
  if (!aList.m_isStale) {
    return;
  }
  aList.m_isStale = false;
  aList.m_peers.clear();
  for (const auto& [vm, session] : m_sessions) {
    const EntryHeartbeat& entry = session.m_last;
    if (session.m_isListed && aFilter(entry)) {
      aList.m_peers.push_back({ vm, entry.m_boot, entry.m_address });
    }
  }
  aList.m_version = Checksum64(Pack(aList.m_peers));
}

EntryRegistry::PeerList&
EntryRegistry::PeersIn(const DataCentreId& aDataCentre)
{
  PeerList& list = m_peerLists[aDataCentre];
  RebuildIfStale(list, [&](const EntryHeartbeat& aEntry) {
    return aEntry.m_dataCentre == aDataCentre;
  });
  return list;
}

EntryRegistry::PeerList&
EntryRegistry::LoadPeersFor(const DataCentreId& aDataCentre)
{
  if (m_listedEntries > kMaxLoadPeers) {
    return PeersIn(aDataCentre);
  }
  RebuildIfStale(m_allPeers, [](const EntryHeartbeat&) { return true; });
  return m_allPeers;
}

void
EntryRegistry::AddRelayPeer(const VmId& aVm,
                            std::vector<RelayPeer>& aPeers) const
{
  const EntryHeartbeat& entry = m_sessions.at(aVm).m_last;
  if (!entry.m_relayAddress.empty()) {
    aPeers.push_back(
      { aVm, entry.m_boot, entry.m_dataCentre, entry.m_relayAddress });
  }
}

std::vector<RelayPeer>
EntryRegistry::RelayPeersFor(const EntryHeartbeat& aHeartbeat)
{
  std::vector<RelayPeer> peers;
  const std::vector<EntryPeer>& local =
    PeersIn(aHeartbeat.m_dataCentre).m_peers;
  const auto self =
    std::find_if(local.begin(), local.end(), [&](const EntryPeer& aEach) {
      return aEach.m_vm == aHeartbeat.m_vm;
    });
  const auto place = static_cast<std::size_t>(self - local.begin());
  // Evenly spaced positions after its own: entries that are cut off together
  // are often neighbours by name.
  const std::size_t others = local.size() - (self == local.end() ? 0 : 1);
  const std::size_t localCount = std::min(others, kMaxRelayPeersPerSide);
  for (std::size_t i = 0; i < localCount; ++i) {
    const std::size_t step = 1 + i * others / localCount;
    AddRelayPeer(local[(place + step) % local.size()].m_vm, peers);
  }
  std::vector<VmId> remote;
  for (const EntryPeer& peer : m_allPeers.m_peers) {
    if (m_sessions.at(peer.m_vm).m_last.m_dataCentre !=
        aHeartbeat.m_dataCentre) {
      remote.push_back(peer.m_vm);
    }
  }
  const std::size_t remoteCount =
    std::min(remote.size(), kMaxRelayPeersPerSide);
  const std::size_t first =
    place * remote.size() / std::max<std::size_t>(1, local.size());
  for (std::size_t i = 0; i < remoteCount; ++i) {
    AddRelayPeer(
      remote[(first + i * remote.size() / remoteCount) % remote.size()], peers);
  }
  return peers;
}

HeartbeatReply
EntryRegistry::MakeReply(const EntryHeartbeat& aHeartbeat)
{
  const PeerList& list = PeersIn(aHeartbeat.m_dataCentre);
  HeartbeatReply reply;
  reply.m_heartbeatSentAtUs = aHeartbeat.m_sentAtUs;
  reply.m_leaseUs = m_lease.count();
  reply.m_liveEntries = m_listedEntries;
  reply.m_peersVersion = list.m_version;
  if (list.m_version != aHeartbeat.m_heldPeersVersion) {
    reply.m_peers = list.m_peers;
  }
  const PeerList& loadPeers = LoadPeersFor(aHeartbeat.m_dataCentre);
  reply.m_loadPeersVersion = loadPeers.m_version;
  if (loadPeers.m_version != aHeartbeat.m_heldLoadPeersVersion) {
    reply.m_loadPeers = loadPeers.m_peers;
  }
  RebuildIfStale(m_allPeers, [](const EntryHeartbeat&) { return true; });
  reply.m_relayPeersVersion = m_allPeers.m_version;
  if (m_allPeers.m_version != aHeartbeat.m_heldRelayPeersVersion) {
    reply.m_relayPeers = RelayPeersFor(aHeartbeat);
  }
  reply.m_otherEntriesHeldTokens = m_heldTokens;
  for (const auto& [pool, tokens] : aHeartbeat.m_heldTokens) {
    reply.m_otherEntriesHeldTokens[pool] -= tokens;
  }
  return reply;
}

void
EntryRegistry::AddHeldTokens(const EntrySession& aSession, std::int64_t aSign)
{
  if (!aSession.m_isListed) {
    return;
  }
  for (const auto& [pool, tokens] : aSession.m_last.m_heldTokens) {
    m_heldTokens[pool] += aSign * tokens;
  }
}

bool
EntryRegistry::IsLive(TimePoint aNow, const EntrySession& aSession) const
{
  return aNow < aSession.m_heartbeatAt + m_lease;
}

const EntrySession*
EntryRegistry::Find(const VmId& aVm) const
{
  const auto it = m_sessions.find(aVm);
  return it == m_sessions.end() ? nullptr : &it->second;
}

void
EntryRegistry::Clear()
{
  m_sessions.clear();
  m_peerLists.clear();
  m_allPeers = PeerList();
  m_listedEntries = 0;
  m_heldTokens.clear();
}

} // namespace fulmarquay
