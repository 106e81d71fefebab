#ifndef FULMARQUAY_CACHE_CACHEMESSAGES_H
#define FULMARQUAY_CACHE_CACHEMESSAGES_H

#include "fulmarquay/cache/BlockKey.h"
#include "fulmarquay/wire/Codec.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace fulmarquay {

/// A sealed copy on the wire; an empty store name means none.
struct CopyInfo
{
  StoreId m_store;
  std::uint64_t m_generation = 0;
  std::uint64_t m_length = 0;
  std::uint64_t m_checksum = 0;
  std::vector<EngineId> m_engines;
  MSGPACK_DEFINE(m_store, m_generation, m_length, m_checksum, m_engines)
};

/// Asks a chain's owner for its blocks and pins them.
struct ChainLookup
{
  RequestId m_request;
  AccountId m_account;
  std::string m_weights;
  std::vector<BlockKey> m_keys;
  MSGPACK_DEFINE(m_request, m_account, m_weights, m_keys)
};

struct ChainReply
{
  RequestId m_request;
  std::uint64_t m_pin = 0;
  std::vector<CopyInfo> m_blocks;
  MSGPACK_DEFINE(m_request, m_pin, m_blocks)
};

/// Ends the reader's hold; names copies that it found wrong.
struct ChainDone
{
  std::uint64_t m_pin = 0;
  std::vector<BlockKey> m_wrong;
  std::vector<std::uint64_t> m_wrongGenerations;
  MSGPACK_DEFINE(m_pin, m_wrong, m_wrongGenerations)
};

/// Asks for the right to write blocks of a chain back to a store.
struct ReserveBlocks
{
  RequestId m_request;
  AccountId m_account;
  std::string m_weights;
  StoreId m_store;
  std::vector<BlockKey> m_keys;
  std::int64_t m_lengthEach = 0;
  MSGPACK_DEFINE(m_request, m_account, m_weights, m_store, m_keys, m_lengthEach)
};

/// The keys that were granted, with their generations.
struct ReserveReply
{
  RequestId m_request;
  std::vector<BlockKey> m_keys;
  std::vector<std::uint64_t> m_generations;
  MSGPACK_DEFINE(m_request, m_keys, m_generations)
};

/// A write ended: with a checksum it is sealed, without it is given up.
struct WriteDone
{
  BlockKey m_key;
  StoreId m_store;
  std::uint64_t m_generation = 0;
  bool m_isWhole = false;
  std::uint64_t m_length = 0;
  std::uint64_t m_checksum = 0;
  MSGPACK_DEFINE(m_key, m_store, m_generation, m_isWhole, m_length, m_checksum)
};

/// An engine's cache events, or (m_isGap) that all hints on it are void.
struct EngineNotes
{
  EngineId m_engine;
  bool m_isGap = false;
  std::vector<BlockKey> m_added;
  std::vector<BlockKey> m_dropped;
  MSGPACK_DEFINE(m_engine, m_isGap, m_added, m_dropped)
};

/// Asks a link's owner for a slot.
struct LinkRequest
{
  RequestId m_request;
  StoreId m_store;
  std::uint8_t m_class = 0;
  std::int64_t m_bytes = 0;
  std::int64_t m_patienceUs = 0;
  MSGPACK_DEFINE(m_request, m_store, m_class, m_bytes, m_patienceUs)
};

struct LinkReply
{
  RequestId m_request;
  StoreId m_store;
  bool m_isGranted = false;
  std::int64_t m_delayUs = 0;
  std::int64_t m_bytesPerSecond = 0;
  std::int64_t m_backlogUs = 0; ///< after this grant, for later plans
  MSGPACK_DEFINE(m_request,
                 m_store,
                 m_isGranted,
                 m_delayUs,
                 m_bytesPerSecond,
                 m_backlogUs)
};

/// Which configuration an entry holds; sent to the other entries of its data
/// centre whenever it changes and as their heartbeat.
struct ConfigHeld
{
  VmId m_vm;
  BootId m_boot;
  std::uint64_t m_held = 0;
  std::uint64_t m_inForce = 0;
  MSGPACK_DEFINE(m_vm, m_boot, m_held, m_inForce)
};

/// Asks another entry for the configuration that it holds.
struct ConfigAsk
{
  VmId m_vm;
  MSGPACK_DEFINE(m_vm)
};

/// The configuration of an entry, as a whole.
struct ConfigGive
{
  VmId m_vm;
  std::uint64_t m_revision = 0;
  bool m_isFresh = false; ///< may serve as a restarted entry's only source
  std::string m_answers;
  MSGPACK_DEFINE(m_vm, m_revision, m_isFresh, m_answers)
};

/// The load of one engine, as its owner entry last saw it.
struct EngineLoad
{
  EngineId m_engine;
  std::int64_t m_running = 0;
  std::int64_t m_queuedTokens = 0;
  std::string m_weights;
  bool m_isLeaving = false;
  MSGPACK_DEFINE(m_engine, m_running, m_queuedTokens, m_weights, m_isLeaving)
};

/// Loads of the engines that one entry polls, for the others of its data
/// centre.
struct EngineLoads
{
  std::vector<EngineLoad> m_loads;
  MSGPACK_DEFINE(m_loads)
};

/// What one entry's requests take of a worker.
struct WorkerLoad
{
  std::string m_worker;
  std::int64_t m_running = 0;
  std::int64_t m_waitingTokens = 0; ///< of prompts without a first event
  std::int64_t m_heldTokens = 0;    ///< of memory
  MSGPACK_DEFINE(m_worker, m_running, m_waitingTokens, m_heldTokens)
  bool operator==(const WorkerLoad&) const = default;
};

/// One entry's load, for its partners.
struct WorkerLoads
{
  VmId m_vm;
  std::uint64_t m_number = 0; ///< one more than the share before
  bool m_isWhole = false;     ///< else what changed since the share before
  std::vector<WorkerLoad> m_loads;
  MSGPACK_DEFINE(m_vm, m_number, m_isWhole, m_loads)
};

/// The protocol of Channel::Cache, between entries.
using CacheMessage = std::variant<ChainLookup,
                                  ChainReply,
                                  ChainDone,
                                  ReserveBlocks,
                                  ReserveReply,
                                  WriteDone,
                                  EngineNotes,
                                  LinkRequest,
                                  LinkReply,
                                  ConfigHeld,
                                  ConfigAsk,
                                  ConfigGive,
                                  EngineLoads,
                                  WorkerLoads>;

} // namespace fulmarquay

#endif
