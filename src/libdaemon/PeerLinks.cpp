#include "fulmarquay/daemon/PeerLinks.h"

#include "fulmarquay/core/AddressText.h"
#include "fulmarquay/core/LogEvent.h"

#include <utility>

namespace fulmarquay {

PeerLinks::PeerLinks(
  FrameHub& aHub,
  std::string aOwnVm,
  const std::map<std::string, Endpoint>& aConfiguredAddresses)
  : m_hub(aHub)
  , m_ownVm(std::move(aOwnVm))
{
  Configure(aConfiguredAddresses);
}

void
PeerLinks::Configure(
  const std::map<std::string, Endpoint>& aConfiguredAddresses)
{
  m_configuredAddresses = aConfiguredAddresses;
  UpdateLinks();
}

void
PeerLinks::SetMembership(const Membership& aMembership)
{
  m_vmByReplica.clear();
  m_memberAddresses.clear();
  // Learners last: one on the VM of a voter is the newer replica of that VM.
  for (const auto* members :
       { &aMembership.m_voters, &aMembership.m_learners }) {
    for (const Member& member : *members) {
      m_vmByReplica[member.m_id] = member.m_vm;
      m_memberAddresses.erase(member.m_vm);
      if (const auto address = ReadAddress(member.m_address)) {
        m_memberAddresses[member.m_vm] = *address;
      } else if (member.m_vm != m_ownVm &&
                 m_configuredAddresses.count(member.m_vm) == 0) {
        // It is reached over the connections that it opens.
        WriteLog(LogEvent::BadFrame,
                 { { "step", "read member" },
                   { "reason", member.m_vm + " has no IP:PORT" } });
      }
    }
  }
  UpdateLinks();
}

void
PeerLinks::UpdateLinks()
{
  std::map<std::string, Endpoint> addresses = m_configuredAddresses;
  addresses.insert(m_memberAddresses.begin(), m_memberAddresses.end());
  addresses.erase(m_ownVm);
  for (auto it = m_links.begin(); it != m_links.end();) {
    const auto address = addresses.find(it->first);
    if (address != addresses.end() && address->second == it->second.m_address) {
      ++it;
      continue;
    }
    CloseLink(it->second);
    it = m_links.erase(it);
  }
  for (const auto& [vm, address] : addresses) {
    m_links[vm].m_address = address;
  }
}

void
PeerLinks::CloseLink(const Link& aLink)
{
  if (aLink.m_isActive) {
    m_hub.Close(aLink.m_connection);
    OnClosed(aLink.m_connection);
  }
}

void
PeerLinks::Reconnect()
{
  for (auto& [vm, link] : m_links) {
    if (!link.m_isActive) {
      link.m_connection = m_hub.Connect(link.m_address);
      link.m_isActive = true;
    }
  }
}

void
PeerLinks::RecordConnection(ReplicaId aReplica, ConnectionId aConnection)
{
  m_lastConnections[aReplica] = aConnection;
}

void
PeerLinks::Send(ReplicaId aTo, const Frame& aFrame)
{
  const auto vm = m_vmByReplica.find(aTo);
  if (vm != m_vmByReplica.end() && m_links.count(vm->second) != 0) {
    m_hub.Send(m_links.at(vm->second).m_connection, aFrame);
    return;
  }
  const auto connection = m_lastConnections.find(aTo);
  if (connection != m_lastConnections.end()) {
    m_hub.Send(connection->second, aFrame);
  }
}

void
PeerLinks::SendToAll(const Frame& aFrame)
{
  for (const auto& [vm, link] : m_links) {
    m_hub.Send(link.m_connection, aFrame);
  }
}

void
PeerLinks::OnClosed(ConnectionId aConnection)
{
  for (auto& [vm, link] : m_links) {
    if (link.m_connection == aConnection) {
      link.m_isActive = false;
    }
  }
  std::erase_if(m_lastConnections, [&](const auto& aEntry) {
    return aEntry.second == aConnection;
  });
}

} // namespace fulmarquay
