#include "fulmarquay/control/EntryRegistry.h"

#include "fulmarquay/core/Digest.h"

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
  CountHeld(session, -1);
  const EntryHeartbeat& last = session.m_last;
  const bool isSame = session.m_isListed && last.m_boot == aHeartbeat.m_boot &&
                      last.m_address == aHeartbeat.m_address &&
                      last.m_dataCentre == aHeartbeat.m_dataCentre;
  if (!isSame) {
    m_lists[last.m_dataCentre].m_isStale = true;
    m_lists[aHeartbeat.m_dataCentre].m_isStale = true;
    m_listed += session.m_isListed ? 0 : 1;
    session.m_isListed = true;
  }
  if (session.m_connection != aFrom) {
    // What was pushed over another connection may be lost.
    session.m_routesPushed = Revision(0);
    session.m_workersPushed = 0;
    session.m_storesPushed = 0;
  }
  session.m_last = aHeartbeat;
  session.m_connection = aFrom;
  session.m_heard = aNow;
  CountHeld(session, 1);
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
      CountHeld(session, -1);
      session.m_isListed = false;
      --m_listed;
      m_lists[session.m_last.m_dataCentre].m_isStale = true;
    }
  }
}

EntryRegistry::PeerList&
EntryRegistry::ListOf(const DataCentreId& aDataCentre)
{
  PeerList& list = m_lists[aDataCentre];
  if (!list.m_isStale) {
    return list;
  }
  list.m_isStale = false;
  list.m_peers.clear();
  for (const auto& [vm, session] : m_sessions) {
    const EntryHeartbeat& entry = session.m_last;
    if (session.m_isListed && entry.m_dataCentre == aDataCentre) {
      list.m_peers.push_back({ vm, entry.m_boot, entry.m_address });
    }
  }
  list.m_version = Checksum64(Pack(list.m_peers));
  return list;
}

HeartbeatReply
EntryRegistry::MakeReply(const EntryHeartbeat& aHeartbeat)
{
  const PeerList& list = ListOf(aHeartbeat.m_dataCentre);
  HeartbeatReply reply;
  reply.m_leaseUs = m_lease.count();
  reply.m_liveEntries = m_listed;
  reply.m_peersVersion = list.m_version;
  if (list.m_version != aHeartbeat.m_peersSeen) {
    reply.m_peers = list.m_peers;
  }
  reply.m_othersHold = m_heldTokens;
  for (const auto& [pool, tokens] : aHeartbeat.m_heldTokens) {
    reply.m_othersHold[pool] -= tokens;
  }
  return reply;
}

void
EntryRegistry::CountHeld(const EntrySession& aSession, std::int64_t aSign)
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
  return aNow < aSession.m_heard + m_lease;
}

const EntrySession*
EntryRegistry::Find(const VmId& aVm) const
{
  const auto place = m_sessions.find(aVm);
  return place == m_sessions.end() ? nullptr : &place->second;
}

void
EntryRegistry::Clear()
{
  m_sessions.clear();
  m_lists.clear();
  m_listed = 0;
  m_heldTokens.clear();
}

} // namespace fulmarquay
