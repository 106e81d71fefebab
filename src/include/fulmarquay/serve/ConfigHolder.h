#ifndef FULMARQUAY_SERVE_CONFIGHOLDER_H
#define FULMARQUAY_SERVE_CONFIGHOLDER_H

#include "fulmarquay/control/ConfigDelta.h"
#include "fulmarquay/serve/EntryContext.h"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace fulmarquay {

/// The configuration of an entry without a disk: held, then in force, never
/// an older one again.
///
/// A held revision comes into force once every live entry of the data centre
/// holds it, or has been silent for kHoldPatience while the leader still
/// confirms this entry. So a restarted entry can learn from any entry of its
/// data centre that was not silent for that long. An entry that may have been
/// passed over gives its configuration as not fresh, and a restarted entry
/// does not take that one. See docs/design/configuration.md.
class ConfigHolder
{
public:
  static constexpr Duration kHoldPatience = Duration(3'000'000);
  /// Shorter than kHoldPatience by more than clocks may differ.
  static constexpr Duration kDoubtAfter = Duration(2'500'000);

  ConfigHolder(EntryContext& aContext, std::vector<Endpoint> aPeers);

  /// The leader's delta. Returns whether it was taken.
  bool OnPush(const ConfigDelta& aDelta);

  /// The leader confirmed this entry and named its last accepted revision and
  /// the live entries of the data centre.
  void OnConfirmed(Revision aAccepted, const std::vector<EntryPeer>& aPeers);

  void OnMessage(const ConfigHeld& aMessage);
  void OnAsk(ConnectionId aFrom);
  void OnGive(const ConfigGive& aMessage);
  void OnTick(bool aHasLease);

  Revision Held() const { return m_held; }
  Revision InForce() const { return m_inForce; }

  /// The configuration in force; null before the first one.
  const Configuration* Current() const { return m_current.get(); }

  /// Whether a restarted entry may rely on this one alone.
  bool IsFresh() const;

  /// Addresses of the other entries of the data centre, by VM.
  const std::map<VmId, Endpoint>& Peers() const { return m_addresses; }

  /// Whether an entry was heard within the last seconds.
  bool IsPeerLive(const VmId& aVm) const;

protected:
  // Point at which a test subclass seeds a known defect.
  virtual bool AwaitsPeers() const { return true; }

private:
  struct Peer
  {
    BootId m_boot;
    Revision m_held;
    TimePoint m_heard;
  };

  void Hold(Revision aRevision, ConfigSections aSections);
  void Announce();
  void Advance(bool aHasLease);
  void PutInForce();
  void ReviewDoubt();
  void AskPeers();

  EntryContext& m_context;
  std::vector<Endpoint> m_seedPeers;
  ConfigSections m_sections;
  Revision m_held;
  Revision m_inForce;
  std::unique_ptr<Configuration> m_current;
  TimePoint m_heldSince;
  std::map<VmId, Peer> m_peers;
  std::map<VmId, Endpoint> m_addresses;
  TimePoint m_started;
  TimePoint m_confirmed;
  bool m_isConfirmed = false; ///< the leader has confirmed at least once
  bool m_isDoubtful = false;
  TimePoint m_nextAnnounce;
  TimePoint m_nextAsk;
};

} // namespace fulmarquay

#endif
