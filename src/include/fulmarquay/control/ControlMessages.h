#ifndef FULMARQUAY_CONTROL_CONTROLMESSAGES_H
#define FULMARQUAY_CONTROL_CONTROLMESSAGES_H

#include "fulmarquay/control/ConfigDelta.h"
#include "fulmarquay/control/ControlCommands.h"
#include "fulmarquay/control/PartReports.h"
#include "fulmarquay/control/PartStore.h"
#include "fulmarquay/control/RequestLimits.h"
#include "fulmarquay/control/WorkerList.h"
#include "fulmarquay/route/RouteDelta.h"

#include <map>
#include <string>
#include <variant>
#include <vector>

namespace fulmarquay {

/// The periodic message of an entry to the leader: its identity and the
/// versions of the data that the leader has pushed to it.
struct EntryHeartbeat
{
  VmId m_vm;
  DataCentreId m_dataCentre;
  BootId m_boot;
  std::string m_address; ///< of its framed listener, for other entries
  Revision m_held;       ///< newest configuration received
  Revision m_inForce;    ///< configuration in force at the entry
  std::uint64_t m_heldPeersVersion = 0; ///< version of the peer list received
  Revision m_routes;                    ///< route document in force
  std::uint64_t m_workers = 0;          ///< number of the worker list received
  std::uint64_t m_stores = 0;           ///< state number of the stores received
  /// Version of the load peers received.
  std::uint64_t m_heldLoadPeersVersion = 0;
  /// Moving average of the tokens of engine memory that its requests occupy, by
  /// pool.
  std::map<std::string, std::int64_t> m_heldTokens;
  /// Keys of stored parts that it read since its last heartbeat.
  std::vector<std::uint64_t> m_recentlyReadParts;
  std::int64_t m_sentAtUs = 0; ///< on the entry's monotonic clock
  LimitReport m_limits;
  std::uint64_t m_weightsRevision = 0; ///< of the named weights it knows
  /// Of its HTTP listener for requests that other entries pass on; empty: it
  /// has none.
  std::string m_relayAddress;
  std::uint64_t m_heldRelayPeersVersion = 0; ///< of the relay peers received
  MSGPACK_DEFINE(m_vm,
                 m_dataCentre,
                 m_boot,
                 m_address,
                 m_held,
                 m_inForce,
                 m_heldPeersVersion,
                 m_routes,
                 m_workers,
                 m_stores,
                 m_recentlyReadParts,
                 m_heldTokens,
                 m_heldLoadPeersVersion,
                 m_sentAtUs,
                 m_limits,
                 m_weightsRevision,
                 m_relayAddress,
                 m_heldRelayPeersVersion)
};

/// The identity and address of an entry, as other entries receive it.
struct EntryPeer
{
  VmId m_vm;
  BootId m_boot;
  std::string m_address; ///< IP:PORT of its framed listener
  MSGPACK_DEFINE(m_vm, m_boot, m_address)
  bool operator==(const EntryPeer&) const = default;
};

/// An entry that another one may pass requests to.
struct RelayPeer
{
  VmId m_vm;
  BootId m_boot;
  DataCentreId m_dataCentre;
  std::string m_address; ///< IP:PORT of its HTTP listener for such requests
  MSGPACK_DEFINE(m_vm, m_boot, m_dataCentre, m_address)
  bool operator==(const RelayPeer&) const = default;
};

/// Relay peers of an entry in its own data centre, and in the others. With half
/// of the entries cut off, all of eight are in one case of 256.
constexpr std::size_t kMaxRelayPeersPerSide = 8;

/// Up to this many live entries exchange load reports across data centres; with
/// more, only entries of the same data centre do. The limit bounds the load
/// messages of each entry, which grow with the number of its peers.
constexpr std::size_t kMaxLoadPeers = 20;

/// The leader's reply to a heartbeat.
struct HeartbeatReply
{
  Revision m_revision;             ///< newest accepted configuration
  std::int64_t m_leaseUs = 0;      ///< lifetime of the entry's lease
  std::uint32_t m_liveEntries = 1; ///< in all data centres
  std::uint64_t m_peersVersion = 0;
  /// Live entries of its data centre; empty if it has this version already.
  std::vector<EntryPeer> m_peers;
  Revision m_routes; ///< newest committed route document
  /// Framed listeners of all replicas.
  std::vector<std::string> m_replicas;
  /// The workers' clock when the reply was made; 0: unknown.
  std::int64_t m_workersClockMs = 0;
  /// How long after it sent the heartbeat the entry may use its copy of the
  /// stores' content.
  std::int64_t m_storeDataValidUs = 0;
  /// Time limit of a worker's fetch from a store, from the placement of the
  /// request.
  std::int64_t m_fetchLimitUs = 0;
  /// Tokens of engine memory that the other live entries' requests occupy, by
  /// pool.
  std::map<std::string, std::int64_t> m_otherEntriesHeldTokens;
  std::uint64_t m_loadPeersVersion = 0;
  /// Live entries that exchange load reports; empty if it has this version
  /// already.
  std::vector<EntryPeer> m_loadPeers;
  /// Of the heartbeat that this answers, on the entry's monotonic clock.
  std::int64_t m_heartbeatSentAtUs = 0;
  std::uint64_t m_term = 0; ///< of the leader
  WeightsReport m_weights;
  /// Number of the leader's worker list; 0: it has none.
  std::uint64_t m_workers = 0;
  std::uint64_t m_relayPeersVersion = 0;
  /// Live entries that it may pass requests to; empty if it has this version
  /// already.
  std::vector<RelayPeer> m_relayPeers;
  /// Time since the VM list was requested that the worker list is from;
  /// negative: unknown.
  std::int64_t m_listAgeUs = -1;
  MSGPACK_DEFINE(m_revision,
                 m_leaseUs,
                 m_liveEntries,
                 m_peersVersion,
                 m_peers,
                 m_routes,
                 m_replicas,
                 m_workersClockMs,
                 m_storeDataValidUs,
                 m_fetchLimitUs,
                 m_otherEntriesHeldTokens,
                 m_loadPeersVersion,
                 m_loadPeers,
                 m_heartbeatSentAtUs,
                 m_term,
                 m_weights,
                 m_workers,
                 m_relayPeersVersion,
                 m_relayPeers,
                 m_listAgeUs)
};

/// Updates an entry to the accepted configuration.
struct ConfigPush
{
  ConfigDelta m_delta;
  MSGPACK_DEFINE(m_delta)
};

/// An entry requests the right to send a once-only call. While another attempt
/// is running, the reply is held back until that attempt ends.
struct BeginOnceRequest
{
  RequestId m_request;
  BeginOnceCommand m_command;
  MSGPACK_DEFINE(m_request, m_command)
};

struct BeginOnceReply
{
  RequestId m_request;
  BeginOnceResult m_result;
  MSGPACK_DEFINE(m_request, m_result)
};

/// An entry reports the outcome of a once-only call.
struct FinishOnceRequest
{
  RequestId m_request;
  FinishOnceCommand m_command;
  MSGPACK_DEFINE(m_request, m_command)
};

/// Confirms that the outcome is committed.
struct FinishOnceReply
{
  RequestId m_request;
  MSGPACK_DEFINE(m_request)
};

/// The leader checks an attempt of a running once-only call. An entry of this
/// boot without such an attempt never sent the call and reports
/// OnceOutcome::NotRun.
struct OnceProbe
{
  OnceKey m_key;
  BootId m_boot;
  std::uint64_t m_attempt = 0;
  MSGPACK_DEFINE(m_key, m_boot, m_attempt)
};

/// An operator submits the answers of the questionnaire.
struct SubmitRequest
{
  RequestId m_request;
  std::string m_submission;
  std::string m_operator;
  bool m_hasBase = false; ///< without one: based on the current revision
  Revision m_base;        ///< the revision that the answers were edited from
  std::string m_answers;
  MSGPACK_DEFINE(m_request,
                 m_submission,
                 m_operator,
                 m_hasBase,
                 m_base,
                 m_answers)
};

struct SubmitReply
{
  RequestId m_request;
  SubmitResult m_result;
  MSGPACK_DEFINE(m_request, m_result)
};

/// An operator requests a StatusReply.
struct StatusRequest
{
  RequestId m_request;
  MSGPACK_DEFINE(m_request)
};

/// One entry in a StatusReply.
struct EntryStatus
{
  VmId m_vm;
  DataCentreId m_dataCentre;
  Revision m_inForce;
  std::int64_t m_lastHeartbeatAgoUs = 0; ///< since its last heartbeat
  bool m_isLive = false;
  MSGPACK_DEFINE(m_vm, m_dataCentre, m_inForce, m_lastHeartbeatAgoUs, m_isLive)
};

/// One replica in a StatusReply.
struct ReplicaStatus
{
  std::uint64_t m_id = 0;
  std::string m_vm;
  std::string m_address;
  std::string m_role;               ///< leader, voter or learner
  std::uint32_t m_featureLevel = 0; ///< 0: unknown, or of an old build
  MSGPACK_DEFINE(m_id, m_vm, m_address, m_role, m_featureLevel)
};

/// The state of the control group and its entries, as recorded by the leader.
struct StatusReply
{
  RequestId m_request;
  Revision m_revision;  ///< accepted configuration
  std::string m_digest; ///< of the accepted configuration
  std::uint64_t m_term = 0;
  std::uint64_t m_commit = 0; ///< log index
  std::uint64_t m_onceRecords = 0;
  std::vector<ReplicaStatus> m_replicas;
  std::vector<EntryStatus> m_entries;
  std::uint32_t m_featureLevel = 0; ///< lowest of all replicas
  std::set<DataCentreId> m_evacuated;
  std::uint64_t m_votersNeeded = 0;  ///< for a commit; 0 from older builds
  std::uint64_t m_votersReached = 0; ///< heard lately, the leader included
  MSGPACK_DEFINE(m_request,
                 m_revision,
                 m_digest,
                 m_term,
                 m_commit,
                 m_onceRecords,
                 m_replicas,
                 m_entries,
                 m_featureLevel,
                 m_evacuated,
                 m_votersNeeded,
                 m_votersReached)
};

/// This replica can't serve the request: it is to be resent to the leader, or
/// later. The request may still be carried out; a resend is safe.
struct NotLeader
{
  RequestId m_request;
  std::string m_leader; ///< IP:PORT, empty when unknown
  MSGPACK_DEFINE(m_request, m_leader)
};

/// Updates an entry to the committed route document.
struct RoutePush
{
  RouteDelta m_delta;
  MSGPACK_DEFINE(m_delta)
};

/// Replaces an entry's list of workers and named weights.
struct WorkerPush
{
  WorkerList m_list;
  MSGPACK_DEFINE(m_list)
};

/// All messages of Channel::Control, in both directions.
using ControlMessage = std::variant<EntryHeartbeat,
                                    HeartbeatReply,
                                    ConfigPush,
                                    BeginOnceRequest,
                                    BeginOnceReply,
                                    FinishOnceRequest,
                                    FinishOnceReply,
                                    SubmitRequest,
                                    SubmitReply,
                                    StatusRequest,
                                    StatusReply,
                                    NotLeader,
                                    OnceProbe,
                                    RoutePush,
                                    WorkerPush,
                                    StorePush,
                                    PartReport,
                                    PartQuery,
                                    LimitPush>;

} // namespace fulmarquay

#endif
