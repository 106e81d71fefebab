#include "fulmarquay/daemon/PeerLinks.h"

#include <utility>

namespace fulmarquay {

PeerLinks::PeerLinks(FrameHub& aHub,
                     std::string aOwnVm,
                     const std::map<std::string, Endpoint>& aConfigured)
  : m_hub(aHub)
  , m_ownVm(std::move(aOwnVm))
{
  Configure(aConfigured);
}

void
PeerLinks::Configure(const std::map<std::string, Endpoint>& aConfigured)
{
  for (const auto& [vm, address] : aConfigured) {
    if (vm != m_ownVm) {
      m_links[vm].m_address = address;
    }
  }
}

void
PeerLinks::Learn(const Membership& aMembership)
{
  const auto learn = [this](const std::vector<Member>& aMembers) {
    for (const Member& member : aMembers) {
      m_vmOf[member.m_id] = member.m_vm;
      if (member.m_vm != m_ownVm && m_links.count(member.m_vm) == 0) {
        m_links[member.m_vm].m_address = Endpoint::Parse(member.m_address);
      }
    }
  };
  m_vmOf.clear();
  learn(aMembership.m_voters);
  learn(aMembership.m_learners);
}

void
PeerLinks::Reconnect()
{
  for (auto& [vm, link] : m_links) {
    if (!link.m_isOpen) {
      link.m_connection = m_hub.Connect(link.m_address);
      link.m_isOpen = true;
    }
  }
}

void
PeerLinks::Heard(ReplicaId aReplica, ConnectionId aConnection)
{
  m_heard[aReplica] = aConnection;
}

void
PeerLinks::Send(ReplicaId aTo, const Frame& aFrame)
{
  const auto vm = m_vmOf.find(aTo);
  if (vm != m_vmOf.end() && m_links.count(vm->second) != 0) {
    m_hub.Send(m_links.at(vm->second).m_connection, aFrame);
    return;
  }
  const auto heard = m_heard.find(aTo);
  if (heard != m_heard.end()) {
    m_hub.Send(heard->second, aFrame);
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
      link.m_isOpen = false;
    }
  }
  std::erase_if(m_heard,
                [&](const auto& aEach) { return aEach.second == aConnection; });
}

} // namespace fulmarquay
