#ifndef FULMARQUAY_SERVE_CONFIGHOLDER_H
#define FULMARQUAY_SERVE_CONFIGHOLDER_H

#include "fulmarquay/control/ConfigDelta.h"
#include "fulmarquay/serve/EntryContext.h"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace fulmarquay {

/// The configuration of an entry, kept in memory only. A revision is first
/// held and then in force; the revision in force never decreases.
///
/// A held revision comes into force once each other entry of the data centre
/// holds it or has sent nothing for kPeerHoldTimeout, while this entry has its
/// lease from the leader. A restarted entry can therefore get the revision in
/// force from any entry of its data centre that was heard within that time. An
/// entry whose peers may have stopped waiting for it marks its configuration as
/// not fresh, and a restarted entry ignores such a reply. Not thread-safe. See
/// docs/design/configuration.md.
class ConfigHolder
{
public:
  /// A peer no longer delays a revision when it has sent nothing for this long
  /// since the revision was held.
  static constexpr Duration kPeerHoldTimeout = Duration(3'000'000);
  /// Time without any message of a peer or confirmation by the leader after
  /// which this configuration is not fresh; a peer is live for as long after a
  /// message. Shorter than kPeerHoldTimeout by more than clocks may differ.
  static constexpr Duration kStaleAfter = Duration(2'500'000);

  ConfigHolder(EntryContext& aContext, std::vector<Endpoint> aPeers);

  /// Applies the leader's delta. Returns false when it is not newer than the
  /// held revision or does not start from it. Throws Error when the digest
  /// after the delta is wrong.
  bool OnPush(const ConfigDelta& aDelta);

  /// The leader confirmed this entry, with the last accepted revision and the
  /// live entries of the data centre (empty: unchanged). The confirmation
  /// counts for freshness only when that revision is held here.
  void OnConfirmed(Revision aAccepted, const std::vector<EntryPeer>& aPeers);

  void OnMessage(const ConfigAnnouncement& aMessage);
  void OnConfigRequest(ConnectionId aFrom);
  void OnConfigReply(const ConfigReply& aMessage);
  void OnTick(bool aHasLease);

  Revision Held() const { return m_held; }
  Revision InForce() const { return m_inForce; }

  /// The configuration in force; null before the first one.
  const Configuration* Current() const { return m_current.get(); }

  /// Whether a restarted entry may take its configuration from this one alone.
  bool IsFresh() const;

  /// Addresses of the other entries of the data centre, by VM.
  const std::map<VmId, Endpoint>& Peers() const { return m_addresses; }

  /// Whether a message of an entry arrived within kStaleAfter.
  bool IsPeerLive(const VmId& aVm) const;

protected:
  // Overridden by tests to inject a known defect.
  virtual bool AwaitsPeers() const { return true; }

private:
  struct Peer
  {
    BootId m_boot;
    Revision m_held;
    TimePoint m_lastHeard;
  };

  void Hold(Revision aRevision, ConfigSections aSections);
  void Announce();
  void Advance(bool aHasLease);
  void PutInForce();
  void UpdateStaleness();
  void RequestFromPeers();

  EntryContext& m_context;
  std::vector<Endpoint> m_seedPeers;
  ConfigSections m_sections;
  Revision m_held;
  Revision m_inForce;
  std::unique_ptr<Configuration> m_current;
  TimePoint m_heldSince;
  std::map<VmId, Peer> m_peers;
  std::map<VmId, Endpoint> m_addresses;
  TimePoint m_startedAt;
  TimePoint m_lastConfirmed;
  bool m_isConfirmed = false; ///< the leader has confirmed at least once
  bool m_mayBeStale = false;
  TimePoint m_nextAnnounce;
  TimePoint m_nextRequest;
};

} // namespace fulmarquay

#endif
