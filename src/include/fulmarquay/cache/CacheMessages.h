#ifndef FULMARQUAY_CACHE_CACHEMESSAGES_H
#define FULMARQUAY_CACHE_CACHEMESSAGES_H

#include "fulmarquay/cache/BlockKey.h"
#include "fulmarquay/wire/Codec.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace fulmarquay {

/// Wire form of a block's locations: its sealed copy (an empty store name
/// means that there is none) and the engines that may hold it.
struct CopyInfo
{
  StoreId m_store;
  std::uint64_t m_generation = 0;
  std::uint64_t m_length = 0;
  std::uint64_t m_checksum = 0;
  std::vector<EngineId> m_engines;
  MSGPACK_DEFINE(m_store, m_generation, m_length, m_checksum, m_engines)
};

/// Requests the blocks of a chain from its owner entry, which pins them.
struct ChainLookup
{
  RequestId m_request;
  AccountId m_account;
  std::string m_weights;
  std::vector<BlockKey> m_keys;
  MSGPACK_DEFINE(m_request, m_account, m_weights, m_keys)
};

/// Reply to a ChainLookup, one element per requested key.
struct ChainReply
{
  RequestId m_request;
  std::uint64_t m_pin = 0;
  std::vector<CopyInfo> m_blocks;
  MSGPACK_DEFINE(m_request, m_pin, m_blocks)
};

/// Releases the reader's pin and reports copies that failed verification.
struct ChainRelease
{
  std::uint64_t m_pin = 0;
  std::vector<BlockKey> m_invalidKeys;
  std::vector<std::uint64_t> m_invalidGenerations;
  MSGPACK_DEFINE(m_pin, m_invalidKeys, m_invalidGenerations)
};

/// Requests reservations to write blocks of a chain back to a store.
struct ReserveBlocks
{
  RequestId m_request;
  AccountId m_account;
  std::string m_weights;
  StoreId m_store;
  std::vector<BlockKey> m_keys;
  std::int64_t m_blockLength = 0;
  MSGPACK_DEFINE(m_request,
                 m_account,
                 m_weights,
                 m_store,
                 m_keys,
                 m_blockLength)
};

/// Reply to ReserveBlocks: the keys that were granted, with their generations.
struct ReserveReply
{
  RequestId m_request;
  std::vector<BlockKey> m_keys;
  std::vector<std::uint64_t> m_generations;
  MSGPACK_DEFINE(m_request, m_keys, m_generations)
};

/// Reports the end of a write: if m_isComplete the block is sealed, otherwise
/// its reservation is cancelled.
struct WriteResult
{
  BlockKey m_key;
  StoreId m_store;
  std::uint64_t m_generation = 0;
  bool m_isComplete = false;
  std::uint64_t m_length = 0;
  std::uint64_t m_checksum = 0;
  MSGPACK_DEFINE(m_key,
                 m_store,
                 m_generation,
                 m_isComplete,
                 m_length,
                 m_checksum)
};

/// Cache events of an engine. After a gap in the events (m_isGap), all earlier
/// hints about the engine are cleared first.
struct EngineCacheEvents
{
  EngineId m_engine;
  bool m_isGap = false;
  std::vector<BlockKey> m_added;
  std::vector<BlockKey> m_dropped;
  MSGPACK_DEFINE(m_engine, m_isGap, m_added, m_dropped)
};

/// Requests a transfer slot from the entry that owns a store's link.
struct LinkRequest
{
  RequestId m_request;
  StoreId m_store;
  std::uint8_t m_class = 0;
  std::int64_t m_bytes = 0;
  std::int64_t m_maxDelayUs = 0;
  MSGPACK_DEFINE(m_request, m_store, m_class, m_bytes, m_maxDelayUs)
};

/// Reply to a LinkRequest.
struct LinkReply
{
  RequestId m_request;
  StoreId m_store;
  bool m_isGranted = false;
  std::int64_t m_delayUs = 0;
  std::int64_t m_bytesPerSecond = 0;
  std::int64_t m_backlogUs = 0; ///< after this request, for later plans
  MSGPACK_DEFINE(m_request,
                 m_store,
                 m_isGranted,
                 m_delayUs,
                 m_bytesPerSecond,
                 m_backlogUs)
};

/// The configuration revisions that an entry holds and has in force; sent to
/// the other entries of its data centre on each change and as a heartbeat.
struct ConfigAnnouncement
{
  VmId m_vm;
  BootId m_boot;
  std::uint64_t m_held = 0;
  std::uint64_t m_inForce = 0;
  MSGPACK_DEFINE(m_vm, m_boot, m_held, m_inForce)
};

/// Requests the configuration that another entry holds.
struct ConfigRequest
{
  VmId m_vm;
  MSGPACK_DEFINE(m_vm)
};

/// Reply to a ConfigRequest: the complete configuration of an entry.
struct ConfigReply
{
  VmId m_vm;
  std::uint64_t m_revision = 0;
  /// Whether a restarted entry may use this configuration as its only source.
  bool m_isFresh = false;
  std::string m_answers;
  MSGPACK_DEFINE(m_vm, m_revision, m_isFresh, m_answers)
};

/// The load of one engine at its owner entry's last poll.
struct EngineLoad
{
  EngineId m_engine;
  std::int64_t m_running = 0;
  std::int64_t m_queuedTokens = 0;
  std::string m_weights;
  bool m_isLeaving = false;
  MSGPACK_DEFINE(m_engine, m_running, m_queuedTokens, m_weights, m_isLeaving)
};

/// Loads of the engines that one entry polls, sent to the other entries of its
/// data centre.
struct EngineLoads
{
  std::vector<EngineLoad> m_loads;
  MSGPACK_DEFINE(m_loads)
};

/// Load that one entry's requests put on a worker.
struct WorkerLoad
{
  std::string m_worker;
  std::int64_t m_running = 0;
  std::int64_t m_pendingPrefillTokens = 0; ///< of prompts without a first event
  std::int64_t m_heldTokens = 0;           ///< memory in use, in tokens
  MSGPACK_DEFINE(m_worker, m_running, m_pendingPrefillTokens, m_heldTokens)
  bool operator==(const WorkerLoad&) const = default;
};

/// An incarnation of a worker that stated in an answer that it is leaving.
struct LeavingWorker
{
  std::string m_worker;
  std::int64_t m_createdMs = 0; ///< start time of the incarnation
  MSGPACK_DEFINE(m_worker, m_createdMs)
  bool operator==(const LeavingWorker&) const = default;
};

/// A part of a prompt that a worker has read.
struct PartRead
{
  std::uint64_t m_key = 0;
  std::int64_t m_tokens = 0;
  MSGPACK_DEFINE(m_key, m_tokens)
  bool operator==(const PartRead&) const = default;
};

/// Parts that an incarnation of a worker has read, in the order of a prompt.
struct WorkerReads
{
  std::string m_worker;
  std::int64_t m_createdMs = 0; ///< start time of the incarnation
  std::vector<PartRead> m_parts;
  MSGPACK_DEFINE(m_worker, m_createdMs, m_parts)
  bool operator==(const WorkerReads&) const = default;
};

/// Time of a link that an entry has reserved for transfers.
struct LinkUse
{
  std::string m_address; ///< IP:PORT of the source
  std::int64_t m_timeUs = 0;
  MSGPACK_DEFINE(m_address, m_timeUs)
  bool operator==(const LinkUse&) const = default;
};

/// An incarnation of a worker that may have restarted under its id and be cold.
struct Restart
{
  std::string m_worker;
  std::int64_t m_createdMs = 0;   ///< start time of the listed incarnation
  std::int64_t m_failedAgoUs = 0; ///< since it failed, or came back
  std::int64_t m_ranAgoUs = 0;    ///< since it is known to have run as listed
  MSGPACK_DEFINE(m_worker, m_createdMs, m_failedAgoUs, m_ranAgoUs)
  bool operator==(const Restart&) const = default;
};

/// The worker loads of one entry, sent to its load peers.
struct WorkerLoads
{
  VmId m_vm;
  std::uint64_t m_number = 0; ///< sequence number, one more than the last one
  bool m_isSnapshot = false;  ///< snapshot; otherwise a delta to the last one
  std::vector<WorkerLoad> m_loads;
  std::vector<LeavingWorker> m_leaving; ///< in snapshots
  std::vector<WorkerReads> m_reads;     ///< since the last update
  std::vector<LinkUse> m_linkUse;       ///< since the last update
  std::vector<Restart> m_restarts;      ///< known to the sender
  MSGPACK_DEFINE(m_vm,
                 m_number,
                 m_isSnapshot,
                 m_loads,
                 m_leaving,
                 m_reads,
                 m_linkUse,
                 m_restarts)
};

/// Streams that began at workers of one software version. A stream is named by
/// a hash of the attempt that brought its first event.
struct StreamOriginGroup
{
  std::string m_pool;
  std::string m_software;
  std::vector<std::uint64_t> m_streams;
  MSGPACK_DEFINE(m_pool, m_software, m_streams)
};

/// Origins of streams that the sender has served, for an owner of these.
struct StreamOriginUpdate
{
  std::vector<StreamOriginGroup> m_groups;
  MSGPACK_DEFINE(m_groups)
};

/// Asks an owner for the origin of a stream.
struct StreamOriginQuery
{
  std::uint64_t m_stream = 0;
  MSGPACK_DEFINE(m_stream)
};

/// The reply to a StreamOriginQuery.
struct StreamOriginReply
{
  std::uint64_t m_stream = 0;
  bool m_isKnown = false;
  bool m_isAmbiguous = false; ///< several streams have this hash
  std::string m_pool;
  std::string m_software;
  MSGPACK_DEFINE(m_stream, m_isKnown, m_isAmbiguous, m_pool, m_software)
};

/// Messages of Channel::Cache, exchanged between entries.
using CacheMessage = std::variant<ChainLookup,
                                  ChainReply,
                                  ChainRelease,
                                  ReserveBlocks,
                                  ReserveReply,
                                  WriteResult,
                                  EngineCacheEvents,
                                  LinkRequest,
                                  LinkReply,
                                  ConfigAnnouncement,
                                  ConfigRequest,
                                  ConfigReply,
                                  EngineLoads,
                                  WorkerLoads,
                                  StreamOriginUpdate,
                                  StreamOriginQuery,
                                  StreamOriginReply>;

} // namespace fulmarquay

#endif
