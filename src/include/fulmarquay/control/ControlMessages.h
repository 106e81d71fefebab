#ifndef FULMARQUAY_CONTROL_CONTROLMESSAGES_H
#define FULMARQUAY_CONTROL_CONTROLMESSAGES_H

#include "fulmarquay/control/ConfigDelta.h"
#include "fulmarquay/control/ControlCommands.h"
#include "fulmarquay/control/PartStore.h"
#include "fulmarquay/control/WorkerList.h"
#include "fulmarquay/route/RouteDelta.h"

#include <map>
#include <string>
#include <variant>
#include <vector>

namespace fulmarquay {

/// An entry says that it lives and which configuration it has.
struct EntryHeartbeat
{
  VmId m_vm;
  DataCentreId m_dataCentre;
  BootId m_boot;
  std::string m_address; ///< of its framed listener, for other entries
  Revision m_held;
  Revision m_inForce;
  std::uint64_t m_peersSeen = 0;    ///< version of the peer list it has
  Revision m_routes;                ///< route document in force
  std::uint64_t m_workers = 0;      ///< number of the worker list it has
  std::uint64_t m_stores = 0;       ///< state of the stores that it has
  std::uint64_t m_partnersSeen = 0; ///< version of the partners it has
  /// Tokens of engines' memory that its requests hold of late, by pool.
  std::map<std::string, std::int64_t> m_heldTokens;
  /// Keys of stored parts that it read since its last heartbeat.
  std::vector<std::uint64_t> m_usedParts;
  MSGPACK_DEFINE(m_vm,
                 m_dataCentre,
                 m_boot,
                 m_address,
                 m_held,
                 m_inForce,
                 m_peersSeen,
                 m_routes,
                 m_workers,
                 m_stores,
                 m_usedParts,
                 m_heldTokens,
                 m_partnersSeen)
};

/// Another entry.
struct EntryPeer
{
  VmId m_vm;
  BootId m_boot;
  std::string m_address;
  MSGPACK_DEFINE(m_vm, m_boot, m_address)
  bool operator==(const EntryPeer&) const = default;
};

/// So many entries tell each other of their load, across data centres too:
/// the messages of each grow with them.
constexpr std::size_t kMostLoadPartners = 20;

/// The leader answers a heartbeat.
struct HeartbeatReply
{
  Revision m_revision;             ///< accepted last
  std::int64_t m_leaseUs = 0;      ///< how long the entry counts as live
  std::uint32_t m_liveEntries = 1; ///< in all data centres
  std::uint64_t m_peersVersion = 0;
  /// Live entries of its data centre; empty when it has this version.
  std::vector<EntryPeer> m_peers;
  Revision m_routes; ///< newest committed route document
  /// Framed listeners of all replicas.
  std::vector<std::string> m_replicas;
  std::int64_t m_workersClockMs = 0; ///< now; 0: unknown
  /// How long after the heartbeat the entry may use what it knows of stores,
  /// and how long a fetch that it orders may take.
  std::int64_t m_storesUs = 0;
  std::int64_t m_fetchUs = 0;
  /// What the other live entries' requests hold, by pool.
  std::map<std::string, std::int64_t> m_othersHold;
  std::uint64_t m_partnersVersion = 0;
  /// Live entries that tell each other of their load; empty when it has this
  /// version.
  std::vector<EntryPeer> m_partners;
  MSGPACK_DEFINE(m_revision,
                 m_leaseUs,
                 m_liveEntries,
                 m_peersVersion,
                 m_peers,
                 m_routes,
                 m_replicas,
                 m_workersClockMs,
                 m_storesUs,
                 m_fetchUs,
                 m_othersHold,
                 m_partnersVersion,
                 m_partners)
};

/// The leader brings an entry to the accepted configuration.
struct ConfigPush
{
  ConfigDelta m_delta;
  MSGPACK_DEFINE(m_delta)
};

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

struct FinishOnceRequest
{
  RequestId m_request;
  FinishOnceCommand m_command;
  MSGPACK_DEFINE(m_request, m_command)
};

struct FinishOnceReply
{
  RequestId m_request;
  MSGPACK_DEFINE(m_request)
};

/// The leader asks an entry about a call that another caller waits for. An
/// entry that knows of no such attempt never sent it, and says so.
struct OnceProbe
{
  OnceKey m_key;
  BootId m_boot;
  std::uint64_t m_attempt = 0;
  MSGPACK_DEFINE(m_key, m_boot, m_attempt)
};

/// An operator submits answers.
struct SubmitRequest
{
  RequestId m_request;
  std::string m_submission;
  std::string m_operator;
  bool m_hasBase = false; ///< without one: on top of what is in force
  Revision m_base;
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
  std::int64_t m_heardAgoUs = 0;
  bool m_isLive = false;
  MSGPACK_DEFINE(m_vm, m_dataCentre, m_inForce, m_heardAgoUs, m_isLive)
};

/// One replica in a StatusReply.
struct ReplicaStatus
{
  std::uint64_t m_id = 0;
  std::string m_vm;
  std::string m_address;
  std::string m_role; ///< leader, voter or learner
  MSGPACK_DEFINE(m_id, m_vm, m_address, m_role)
};

struct StatusReply
{
  RequestId m_request;
  Revision m_revision;
  std::string m_digest;
  std::uint64_t m_term = 0;
  std::uint64_t m_commit = 0;
  std::uint64_t m_onceRecords = 0;
  std::vector<ReplicaStatus> m_replicas;
  std::vector<EntryStatus> m_entries;
  MSGPACK_DEFINE(m_request,
                 m_revision,
                 m_digest,
                 m_term,
                 m_commit,
                 m_onceRecords,
                 m_replicas,
                 m_entries)
};

/// This replica can't answer: ask the leader, or later. What was asked may
/// still be carried out; asking again is safe.
struct NotLeader
{
  RequestId m_request;
  std::string m_leader; ///< IP:PORT, empty when unknown
  MSGPACK_DEFINE(m_request, m_leader)
};

/// The leader brings an entry to the committed route document.
struct RoutePush
{
  RouteDelta m_delta;
  MSGPACK_DEFINE(m_delta)
};

/// The leader gives an entry the workers and named weights.
struct WorkerPush
{
  WorkerList m_list;
  MSGPACK_DEFINE(m_list)
};

/// The protocol of Channel::Control, both directions.
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
                                    StorePush>;

} // namespace fulmarquay

#endif
