#ifndef FULMARQUAY_CONTROL_ENTRYREGISTRY_H
#define FULMARQUAY_CONTROL_ENTRYREGISTRY_H

#include "fulmarquay/control/ControlMessages.h"

#include <map>
#include <vector>

namespace fulmarquay {

/// What the leader knows of an entry.
struct EntrySession
{
  EntryHeartbeat m_last;
  ConnectionId m_connection;
  TimePoint m_heard;
  bool m_isListed = false; ///< in the peer list of its data centre
  Revision m_pushed;
  TimePoint m_pushedAt;
  Revision m_routesPushed;
  TimePoint m_routesPushedAt;
  std::uint64_t m_workersPushed = 0; ///< number of the worker list
  TimePoint m_workersPushedAt;
  std::uint64_t m_storesPushed = 0; ///< state of the stores
  TimePoint m_storesPushedAt;
};

/// The entries that the leader hears, and for each data centre the list of
/// live ones. Lists are made anew only when one of their entries changes, so
/// that a heartbeat costs the same whatever their number. Pure; not
/// thread-safe.
class EntryRegistry
{
public:
  explicit EntryRegistry(Duration aLease);

  /// Notes a heartbeat and returns its entry's session.
  EntrySession& OnHeartbeat(TimePoint aNow,
                            ConnectionId aFrom,
                            const EntryHeartbeat& aHeartbeat);
  void OnClosed(ConnectionId aConnection);

  /// Takes entries that were not heard for a lease from the lists.
  void Review(TimePoint aNow);

  /// Live entries of all data centres; the peer list unless the entry has it.
  HeartbeatReply MakeReply(const EntryHeartbeat& aHeartbeat);

  bool IsLive(TimePoint aNow, const EntrySession& aSession) const;
  const EntrySession* Find(const VmId& aVm) const;
  std::map<VmId, EntrySession>& All() { return m_sessions; }
  const std::map<VmId, EntrySession>& All() const { return m_sessions; }
  void Clear();

private:
  struct PeerList
  {
    std::uint64_t m_version = 0;
    std::vector<EntryPeer> m_peers;
    bool m_isStale = true;
  };

  PeerList& ListOf(const DataCentreId& aDataCentre);
  /// All entries while they are few, else those of the data centre.
  PeerList& PartnersOf(const DataCentreId& aDataCentre);
  template<typename Filter>
  void Renew(PeerList& aList, Filter aFilter) const;
  /// Adds or takes away what a listed entry holds.
  void CountHeld(const EntrySession& aSession, std::int64_t aSign);

  Duration m_lease;
  std::map<VmId, EntrySession> m_sessions;
  std::map<DataCentreId, PeerList> m_lists;
  PeerList m_all;
  std::uint32_t m_listed = 0;
  std::map<std::string, std::int64_t> m_heldTokens; ///< of all, by pool
};

} // namespace fulmarquay

#endif
