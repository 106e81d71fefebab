#ifndef FULMARQUAY_ROUTE_ROUTEDOCUMENT_H
#define FULMARQUAY_ROUTE_ROUTEDOCUMENT_H

#include "fulmarquay/core/StrongId.h"
#include "fulmarquay/core/Units.h"
#include "fulmarquay/wire/Codec.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace fulmarquay {

/// Workers of one kind, which the VM list names; what a route leads to.
using PoolId = StrongId<struct PoolTag, std::string>;

/// What may be repeated when the outcome of a request is not known.
enum class Repetition : std::uint8_t
{
  Idempotent = 0, ///< may run more than once
  Once = 1,       ///< may run at most once for each request of a caller
  Stream = 2,     ///< like Once, but a resumable one may go on elsewhere
};

/// A pool and its share of a route's requests.
struct PoolShare
{
  PoolId m_pool;
  std::int64_t m_weight = 1;
  MSGPACK_DEFINE(m_pool, m_weight)
  bool operator==(const PoolShare&) const = default;
};

/// Where requests of one host and path prefix go, and what they may expect.
struct RouteRule
{
  std::string m_host;
  std::string m_prefix; ///< begins and ends with a slash
  std::uint8_t m_repetition = 0;
  std::int64_t m_timeoutUs = 0; ///< a caller never waits longer
  std::int64_t m_targetUs = 0;  ///< an answer (a first event) in time
  std::int64_t m_pauseUs = 0;   ///< longest pause between events, in time
  std::int64_t m_rank = 0;      ///< 0 is served first
  std::vector<PoolShare> m_pools;
  std::int64_t m_attempts = 1; ///< workers that one request may be sent to
  bool m_isAnonymous = false;  ///< needs no key
  bool m_hasPrompt = false;    ///< requests name the parts of their prompt
  bool m_isResumable = false;
  MSGPACK_DEFINE(m_host,
                 m_prefix,
                 m_repetition,
                 m_timeoutUs,
                 m_targetUs,
                 m_pauseUs,
                 m_rank,
                 m_pools,
                 m_attempts,
                 m_isAnonymous,
                 m_hasPrompt,
                 m_isResumable)
  bool operator==(const RouteRule&) const = default;

  Repetition Kind() const { return static_cast<Repetition>(m_repetition); }
  /// Whether a second worker may get a request that may have run.
  bool MayRepeat() const { return Kind() == Repetition::Idempotent; }
};

/// The engines of a pool; a pool without them is a plain service.
struct EngineTraits
{
  std::int64_t m_slots = 0; ///< requests that run at once; 0: no engine
  std::int64_t m_cacheTokens = 0;
  std::int64_t m_tokenBytes = 0; ///< of KV cache
  std::int64_t m_linkBitsPerSecond = 0;
  std::vector<std::string> m_models;
  MSGPACK_DEFINE(m_slots,
                 m_cacheTokens,
                 m_tokenBytes,
                 m_linkBitsPerSecond,
                 m_models)
  bool operator==(const EngineTraits&) const = default;
};

/// A pool of workers, or a KV cache store when it has an address.
struct PoolRule
{
  std::int64_t m_connections = 0; ///< that a worker takes from all entries
  std::string m_healthPath;
  EngineTraits m_engines;
  std::string m_storeAddress; ///< IP:PORT of a KV cache store; else empty
  DataCentreId m_storeDataCentre;
  std::int64_t m_storeTokens = 0;
  std::int64_t m_storeBitsPerSecond = 0; ///< of its link
  MSGPACK_DEFINE(m_connections,
                 m_healthPath,
                 m_engines,
                 m_storeAddress,
                 m_storeDataCentre,
                 m_storeTokens,
                 m_storeBitsPerSecond)
  bool operator==(const PoolRule&) const = default;
};

/// A client account as routes see it.
struct AccountRule
{
  std::vector<std::string> m_keyHashes; ///< SHA-256 of its keys
  std::int64_t m_rank = -1;             ///< goes before a route's; -1: none
  bool m_isIsolated = false; ///< shares no KV cache with other accounts
  MSGPACK_DEFINE(m_keyHashes, m_rank, m_isIsolated)
  bool operator==(const AccountRule&) const = default;
};

/// What callers may send.
struct CallerLimits
{
  std::int64_t m_headerBytes = 16LL << 10U;
  std::int64_t m_bodyBytes = 4LL << 20U;
  std::int64_t m_headerTimeoutUs = 3'000'000;
  std::int64_t m_idleTimeoutUs = 15'000'000;
  MSGPACK_DEFINE(m_headerBytes, m_bodyBytes, m_headerTimeoutUs, m_idleTimeoutUs)
  bool operator==(const CallerLimits&) const = default;
};

/// All routes, pools and accounts under one revision, numbered by the
/// operator.
struct RouteDocument
{
  Revision m_revision;
  std::map<std::string, RouteRule> m_routes; ///< by name
  std::map<std::string, PoolRule> m_pools;
  std::map<std::string, AccountRule> m_accounts;
  bool m_needsKeys = false; ///< accounts are in use
  CallerLimits m_limits;
  MSGPACK_DEFINE(m_revision,
                 m_routes,
                 m_pools,
                 m_accounts,
                 m_needsKeys,
                 m_limits)
  bool operator==(const RouteDocument&) const = default;
};

/// Everything that makes a document invalid, each with the name of its route,
/// pool or account; empty for a valid one.
std::vector<std::string>
FindProblems(const RouteDocument& aDocument);

} // namespace fulmarquay

#endif
