#ifndef FULMARQUAY_CONTROL_ENTRYREGISTRY_H
#define FULMARQUAY_CONTROL_ENTRYREGISTRY_H

#include "fulmarquay/control/ControlMessages.h"

#include <map>
#include <vector>

namespace fulmarquay {

/// The leader's state for one entry.
struct EntrySession
{
  EntryHeartbeat m_last;
  ConnectionId m_connection;
  TimePoint m_heartbeatAt;   ///< time of the last heartbeat
  bool m_isListed = false;   ///< in the peer list of its data centre
  Revision m_pushedRevision; ///< configuration last pushed
  TimePoint m_revisionPushedAt;
  Revision m_routesPushed;
  TimePoint m_routesPushedAt;
  std::uint64_t m_workersPushed = 0; ///< number of the worker list
  TimePoint m_workersPushedAt;
  std::uint64_t m_storesPushed = 0; ///< state number of the stores
  TimePoint m_storesPushedAt;
};

/// The leader's sessions of entries, and a list of live entries for each data
/// centre. A list is rebuilt only after one of its entries changed, so that the
/// cost of a heartbeat does not grow with the number of entries. Pure; not
/// thread-safe.
class EntryRegistry
{
public:
  explicit EntryRegistry(Duration aLease);

  /// Records a heartbeat and returns the session of its entry.
  EntrySession& OnHeartbeat(TimePoint aNow,
                            ConnectionId aFrom,
                            const EntryHeartbeat& aHeartbeat);
  /// Detaches a closed connection from its session; the lease is unaffected.
  void OnClosed(ConnectionId aConnection);

  /// Removes entries whose lease has expired from the lists.
  void Review(TimePoint aNow);

  /// The reply's fields about other entries. A list that the entry already has
  /// is left out.
  HeartbeatReply MakeReply(const EntryHeartbeat& aHeartbeat);

  /// Whether the lease of the entry has not expired.
  bool IsLive(TimePoint aNow, const EntrySession& aSession) const;
  /// The session of an entry; null if there is none.
  const EntrySession* Find(const VmId& aVm) const;
  std::map<VmId, EntrySession>& All() { return m_sessions; }
  const std::map<VmId, EntrySession>& All() const { return m_sessions; }
  void Clear();

private:
  /// Live entries, and a checksum of them as their version.
  struct PeerList
  {
    std::uint64_t m_version = 0;
    std::vector<EntryPeer> m_peers;
    bool m_isStale = true;
  };

  PeerList& PeersIn(const DataCentreId& aDataCentre);
  /// All live entries if they are few enough to exchange load reports, else
  /// those of the data centre.
  PeerList& LoadPeersFor(const DataCentreId& aDataCentre);
  /// The entries that an entry may pass requests to: some of its own data
  /// centre and some of the others, such that each entry is named by about
  /// equally many.
  std::vector<RelayPeer> RelayPeersFor(const EntryHeartbeat& aHeartbeat);
  void AddRelayPeer(const VmId& aVm, std::vector<RelayPeer>& aPeers) const;
  template<typename Filter>
  void RebuildIfStale(PeerList& aList, Filter aFilter) const;
  /// Adds a listed entry's held tokens times aSign to the sums.
  void AddHeldTokens(const EntrySession& aSession, std::int64_t aSign);

  Duration m_lease;
  std::map<VmId, EntrySession> m_sessions;
  std::map<DataCentreId, PeerList> m_peerLists;
  PeerList m_allPeers;
  std::uint32_t m_listedEntries = 0;
  /// Sums over the listed entries, by pool.
  std::map<std::string, std::int64_t> m_heldTokens;
};

} // namespace fulmarquay

#endif
