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
  for (const auto& [vm, address] : aConfiguredAddresses) {
    if (vm != m_ownVm) {
      m_links[vm].m_address = address;
    }
  }
}

void
PeerLinks::SetMembership(const Membership& aMembership)
{
  const auto addMembers = [this](const std::vector<Member>& aMembers) {
    for (const Member& member : aMembers) {
      m_vmByReplica[member.m_id] = member.m_vm;
      if (member.m_vm == m_ownVm || m_links.count(member.m_vm) != 0) {
        continue;
      }
      if (const auto address = ReadAddress(member.m_address)) {
        m_links[member.m_vm].m_address = *address;
      } else {
        // It is reached over the connections that it opens.
        WriteLog(LogEvent::BadFrame,
                 { { "step", "read member" },
                   { "reason", member.m_vm + " has no IP:PORT" } });
      }
    }
  };
  m_vmByReplica.clear();
  addMembers(aMembership.m_voters);
  addMembers(aMembership.m_learners);
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
