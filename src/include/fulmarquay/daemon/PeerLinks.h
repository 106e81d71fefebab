#ifndef FULMARQUAY_DAEMON_PEERLINKS_H
#define FULMARQUAY_DAEMON_PEERLINKS_H

#include "fulmarquay/consensus/ConsensusTypes.h"
#include "fulmarquay/core/Endpoint.h"
#include "fulmarquay/wire/FrameHub.h"

#include <map>
#include <string>
#include <vector>

namespace fulmarquay {

/// The outgoing connections of a replica to the others, by VM.
///
/// An address in the own settings goes before the one in the membership, so
/// that a link can lead through a relay. Messages to a replica that is not
/// connected are dropped; the protocol repeats them.
class PeerLinks
{
public:
  PeerLinks(FrameHub& aHub,
            std::string aOwnVm,
            const std::map<std::string, Endpoint>& aConfigured);

  /// Adds links to VMs of changed settings.
  void Configure(const std::map<std::string, Endpoint>& aConfigured);

  /// Adds links to members that the settings don't name.
  void Learn(const Membership& aMembership);

  /// Opens links that are closed. Called every few hundred milliseconds.
  void Reconnect();

  /// Notes over which accepted connection a replica was heard last.
  void Heard(ReplicaId aReplica, ConnectionId aConnection);

  void Send(ReplicaId aTo, const Frame& aFrame);
  void SendToAll(const Frame& aFrame);
  void OnClosed(ConnectionId aConnection);

private:
  struct Link
  {
    Endpoint m_address;
    ConnectionId m_connection;
    bool m_isOpen = false;
  };

  FrameHub& m_hub;
  std::string m_ownVm;
  std::map<std::string, Link> m_links;
  std::map<ReplicaId, std::string> m_vmOf;
  std::map<ReplicaId, ConnectionId> m_heard;
};

} // namespace fulmarquay

#endif
