#ifndef FULMARQUAY_DAEMON_PEERLINKS_H
#define FULMARQUAY_DAEMON_PEERLINKS_H

#include "fulmarquay/consensus/ConsensusTypes.h"
#include "fulmarquay/core/Endpoint.h"
#include "fulmarquay/wire/FrameHub.h"

#include <map>
#include <string>
#include <vector>

namespace fulmarquay {

/// The outgoing connections of a replica to the other replicas, by VM.
///
/// An address in the local settings takes precedence over the one in the
/// membership, so that a link can be routed through a relay. A VM with neither
/// has no link. Messages to a replica that is not connected are dropped; the
/// consensus protocol sends them again.
class PeerLinks
{
public:
  PeerLinks(FrameHub& aHub,
            std::string aOwnVm,
            const std::map<std::string, Endpoint>& aConfiguredAddresses);

  /// Replaces the addresses from the settings.
  void Configure(const std::map<std::string, Endpoint>& aConfiguredAddresses);

  /// Replaces the members and their addresses.
  void SetMembership(const Membership& aMembership);

  /// Opens closed links. To be called every few hundred milliseconds.
  void Reconnect();

  /// Records the connection of a replica's latest message. It is used to reach
  /// a replica that has no link.
  void RecordConnection(ReplicaId aReplica, ConnectionId aConnection);

  void Send(ReplicaId aTo, const Frame& aFrame);
  void SendToAll(const Frame& aFrame);
  /// Replicas that connections are opened to.
  std::size_t Size() const { return m_links.size(); }
  void OnClosed(ConnectionId aConnection);

private:
  struct Link
  {
    Endpoint m_address;
    ConnectionId m_connection;
    bool m_isActive = false; ///< connecting or connected
  };

  /// Adds, closes and removes links as the addresses require.
  void UpdateLinks();
  void CloseLink(const Link& aLink);

  FrameHub& m_hub;
  std::string m_ownVm;
  std::map<std::string, Endpoint> m_configuredAddresses;
  std::map<std::string, Endpoint> m_memberAddresses;
  std::map<std::string, Link> m_links;
  std::map<ReplicaId, std::string> m_vmByReplica;
  std::map<ReplicaId, ConnectionId> m_lastConnections;
};

} // namespace fulmarquay

#endif
