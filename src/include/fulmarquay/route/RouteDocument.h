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

/// Names a pool: workers of one kind that the VM list assigns to it. Routes
/// send their requests to pools.
using PoolId = StrongId<struct PoolTag, std::string>;
/// Names a region: data centres between which data may move freely.
using RegionId = StrongId<struct RegionTag, std::string>;

/// Whether a request may be retried when its outcome is unknown.
enum class RetryPolicy : std::uint8_t
{
  Idempotent = 0, ///< may run more than once
  Once = 1,       ///< runs at most once per caller request
  Stream = 2,     ///< like Once, but a resumable stream may continue on
                  ///< another worker
};

/// A pool and its relative share of a route's requests.
struct PoolShare
{
  PoolId m_pool;
  std::int64_t m_weight = 1;
  MSGPACK_DEFINE(m_pool, m_weight)
  bool operator==(const PoolShare&) const = default;
};

/// Routing of the requests for one host and path prefix: destination pools,
/// time limits, priority and retries.
struct RouteRule
{
  std::string m_host;
  std::string m_prefix;           ///< begins and ends with a slash
  std::uint8_t m_retryPolicy = 0; ///< a value of RetryPolicy
  std::int64_t m_timeoutUs = 0;   ///< upper bound on the wait of a caller
  /// Target for the answer or, of a stream, for the first event.
  std::int64_t m_targetLatencyUs = 0;
  std::int64_t m_targetGapUs = 0; ///< target for the longest gap between events
  std::int64_t m_priority = 0;    ///< 0 is the highest priority
  std::vector<PoolShare> m_pools;
  std::int64_t m_maxAttempts = 1; ///< times that a request may be sent
  bool m_allowsAnonymous = false; ///< callers need no key
  bool m_hasPrompt = false;       ///< requests list the parts of their prompts
  bool m_isResumable = false;
  /// Regions in which its requests may be handled; empty: all.
  std::vector<RegionId> m_allowedRegions;
  MSGPACK_DEFINE(m_host,
                 m_prefix,
                 m_retryPolicy,
                 m_timeoutUs,
                 m_targetLatencyUs,
                 m_targetGapUs,
                 m_priority,
                 m_pools,
                 m_maxAttempts,
                 m_allowsAnonymous,
                 m_hasPrompt,
                 m_isResumable,
                 m_allowedRegions)
  bool operator==(const RouteRule&) const = default;

  RetryPolicy Kind() const { return static_cast<RetryPolicy>(m_retryPolicy); }
  /// Whether a request that may have run may be sent to another worker.
  bool IsIdempotent() const { return Kind() == RetryPolicy::Idempotent; }
};

/// The engines of a pool. A pool without engines is a plain service.
struct EngineSpec
{
  std::int64_t m_slots = 0; ///< concurrent requests; 0: no engines
  std::int64_t m_cacheCapacityTokens = 0; ///< capacity of the KV cache
  std::int64_t m_kvBytesPerToken = 0;     ///< KV cache bytes per token
  std::int64_t m_linkBitsPerSecond = 0;
  std::vector<std::string> m_models;
  MSGPACK_DEFINE(m_slots,
                 m_cacheCapacityTokens,
                 m_kvBytesPerToken,
                 m_linkBitsPerSecond,
                 m_models)
  bool operator==(const EngineSpec&) const = default;
};

/// A pool of workers, or a KV cache store when m_storeAddress is set.
struct PoolRule
{
  std::int64_t m_maxConnections = 0; ///< per worker, from all entries together
  std::string m_healthPath;
  EngineSpec m_engines;
  std::string m_storeAddress; ///< IP:PORT; empty: not a store
  DataCentreId m_storeDataCentre;
  std::int64_t m_storeCapacityTokens = 0;
  std::int64_t m_storeBitsPerSecond = 0; ///< bandwidth of the store's link
  /// For this long after its start, a worker is cold; 0: not stated.
  std::int64_t m_coldStartUs = 0;
  /// Requests a second that a cold worker tolerates from all entries together;
  /// 0: any number.
  double m_coldRequestsPerSecond = 0;
  MSGPACK_DEFINE(m_maxConnections,
                 m_healthPath,
                 m_engines,
                 m_storeAddress,
                 m_storeDataCentre,
                 m_storeCapacityTokens,
                 m_storeBitsPerSecond,
                 m_coldStartUs,
                 m_coldRequestsPerSecond)
  bool operator==(const PoolRule&) const = default;
};

/// Keys, priority and cache isolation of a client account.
struct AccountRule
{
  std::vector<std::string> m_keyHashes; ///< SHA-256 of each key, in hex
  std::int64_t m_priority = -1;         ///< overrides the route's; -1: not set
  bool m_isIsolated = false; ///< shares no KV cache with other accounts
  /// Regions in which its requests may be handled; empty: all. A route's
  /// regions apply too.
  std::vector<RegionId> m_allowedRegions;
  MSGPACK_DEFINE(m_keyHashes, m_priority, m_isIsolated, m_allowedRegions)
  bool operator==(const AccountRule&) const = default;
};

/// Limits on the size of callers' requests and on the time to receive them.
struct CallerLimits
{
  std::int64_t m_maxHeaderBytes = 16LL << 10U;
  std::int64_t m_maxBodyBytes = 4LL << 20U;
  std::int64_t m_headerTimeoutUs = 3'000'000;
  std::int64_t m_idleTimeoutUs = 15'000'000;
  MSGPACK_DEFINE(m_maxHeaderBytes,
                 m_maxBodyBytes,
                 m_headerTimeoutUs,
                 m_idleTimeoutUs)
  bool operator==(const CallerLimits&) const = default;
};

/// All routes, pools and accounts under one revision. The operator assigns the
/// revision number.
struct RouteDocument
{
  Revision m_revision;
  std::map<std::string, RouteRule> m_routes; ///< by name
  std::map<std::string, PoolRule> m_pools;
  std::map<std::string, AccountRule> m_accounts;
  bool m_needsKeys = false; ///< set when the document has a list of accounts
  CallerLimits m_limits;
  MSGPACK_DEFINE(m_revision,
                 m_routes,
                 m_pools,
                 m_accounts,
                 m_needsKeys,
                 m_limits)
  bool operator==(const RouteDocument&) const = default;
};

/// Returns one message per problem that makes the document invalid, each with
/// the name of the route or account; empty for a valid document.
std::vector<std::string>
FindProblems(const RouteDocument& aDocument);

} // namespace fulmarquay

#endif
