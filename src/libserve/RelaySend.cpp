// Sends of relayed requests to workers: parameters, transfers of KV cache,
// calls.
#include "fulmarquay/serve/RelayFlow.h"

#include "RelayConstants.h"
#include "fulmarquay/cache/Rendezvous.h"
#include "fulmarquay/core/Digest.h"

#include <algorithm>
#include <boost/algorithm/string/join.hpp>
#include <utility>

namespace fulmarquay {

namespace {

/// Share of an engine's memory that holds cached parts; the rest is taken by
/// running requests.
constexpr std::int64_t kCacheMemoryPercent = 60;

/// Number of prompt tokens that the worker has to fetch.
std::int64_t
FetchTokens(const DispatchParameters& aParameters)
{
  std::int64_t tokens = 0;
  for (const PartSource& source : aParameters.m_fetches) {
    tokens += source.m_address.empty() ? 0 : source.m_tokens;
  }
  return tokens;
}

} // namespace

CacheGroup
RelayFlow::CacheGroupOf(const ActiveRequest& aActive) const
{
  const auto& accounts = m_routes.Document().m_accounts;
  const auto found = accounts.find(aActive.m_account);
  const bool isIsolated =
    found == accounts.end() ? aActive.m_isIsolated : found->second.m_isIsolated;
  return isIsolated ? CacheGroup{ aActive.m_account, "" }
                    : CacheGroup{ "", m_routes.IsolationKey() };
}

std::string
RelayFlow::CacheScopeFor(const ActiveRequest& aActive,
                         const WorkerState& aWorker) const
{
  // The scope contains the weight version, because workers and stores keep
  // parts of earlier versions and must not serve them.
  return aActive.m_allowedRegions.LimitScope(
    MakeCacheScope(RequiredWeights(aActive, aWorker),
                   aActive.m_request.m_model,
                   CacheGroupOf(aActive)));
}

PartMap::PlanInput
RelayFlow::PlanInputFor(const ActiveRequest& aActive,
                        const WorkerState& aWorker) const
{
  PartMap::PlanInput input;
  input.m_now = m_context.Now();
  input.m_workersClockMs = WorkerClockMs();
  input.m_dataCentre = aWorker.m_info.m_dataCentre;
  input.m_allowedDataCentres = AllowedDataCentres(aActive);
  input.m_entryCount = m_entryCount;
  input.m_linkSharers = m_exchange.ReachesAll() ? 1 : m_entryCount;
  if (const PoolRule* pool = m_routes.FindPool(aActive.m_pool)) {
    input.m_kvBytesPerToken = pool->m_engines.m_kvBytesPerToken;
  }
  return input;
}

std::vector<PartMap::PeerCopy>
RelayFlow::FindPeerCopies(const ActiveRequest& aActive,
                          const WorkerState& aWorker,
                          const std::string& aScope) const
{
  const TimePoint now = m_context.Now();
  const std::vector<PromptPart>& parts = aActive.m_request.m_parts;
  const PoolRule* pool = m_routes.FindPool(aActive.m_pool);
  std::vector<PartMap::PeerCopy> copies(parts.size());
  if (pool == nullptr || pool->m_engines.m_linkBitsPerSecond <= 0) {
    return copies;
  }
  const DataCentreFilter allowed = AllowedDataCentres(aActive);
  const std::uint64_t spread = Checksum64(aActive.m_request.m_id);
  for (std::size_t i = 0; i + 1 < parts.size(); ++i) {
    const std::uint64_t key = PartKey(aScope, parts[i].m_id);
    const std::int64_t bytes =
      parts[i].m_tokens * pool->m_engines.m_kvBytesPerToken;
    copies[i].m_isHeld = m_caches.Holds(now, aWorker, key);
    std::uint64_t bestWeight = 0;
    for (const WorkerState* holder : m_caches.Holders(now, m_workers, key)) {
      const WorkerInfo& info = holder->m_info;
      if (info.m_id == aWorker.m_info.m_id || holder->m_needsProbe ||
          info.m_isLeaving || !allowed.Allows(info.m_dataCentre)) {
        continue;
      }
      const Duration transfer =
        TransferTime(bytes,
                     pool->m_engines.m_linkBitsPerSecond,
                     info.m_dataCentre != aWorker.m_info.m_dataCentre);
      // Among equally near holders, requests spread by a hash.
      const std::uint64_t weight = RendezvousWeight(info.m_id.Value(), spread);
      PartMap::PeerCopy& best = copies[i];
      const bool isBetter =
        best.m_address.empty() || transfer < best.m_transferTime ||
        (transfer == best.m_transferTime && weight > bestWeight);
      if (isBetter) {
        best.m_address = info.m_address;
        best.m_transferTime = transfer;
        bestWeight = weight;
      }
    }
  }
  return copies;
}

std::int64_t
RelayFlow::CacheBudget(const PoolId& aPool) const
{
  const PoolRule* pool = m_routes.FindPool(aPool);
  return pool == nullptr
           ? 0
           : pool->m_engines.m_cacheCapacityTokens * kCacheMemoryPercent / 100;
}

void
RelayFlow::RecordReads(const ActiveRequest& aActive, const WorkerState& aWorker)
{
  const RelayRequest& request = aActive.m_request;
  if (request.m_parts.size() < 2 || aActive.m_cacheScope.empty()) {
    return;
  }
  WorkerReads reads;
  reads.m_worker = aWorker.m_info.m_id.Value();
  reads.m_createdMs = aWorker.m_info.m_createdMs;
  for (const PromptPart& part : request.m_parts) {
    reads.m_parts.push_back(
      { PartKey(aActive.m_cacheScope, part.m_id), part.m_tokens });
  }
  m_caches.OnRead(
    m_context.Now(), aWorker, reads.m_parts, CacheBudget(aActive.m_pool));
  m_exchange.OnRead(std::move(reads));
}

void
RelayFlow::Send(ActiveRequest& aActive, WorkerState& aWorker)
{
  aActive.m_stores.clear();
  DispatchParameters parameters;
  parameters.m_worker = aWorker.m_info.m_id.Value();
  parameters.m_account = aActive.m_account;
  parameters.m_timeLeft = aActive.m_expiresAt - m_context.Now();
  // On a route without resume, the position of the caller is only forwarded.
  parameters.m_lastEventId =
    std::max(aActive.m_eventSplitter.LastId(), aActive.m_request.m_lastEventId);
  parameters.m_weights = RequiredWeights(aActive, aWorker);
  if (aActive.m_rule.m_hasPrompt) {
    parameters.m_priority = aActive.m_priority;
    parameters.m_cacheScope = CacheScopeFor(aActive, aWorker);
    aActive.m_cacheScope = parameters.m_cacheScope;
    PartMap::PlanInput input = PlanInputFor(aActive, aWorker);
    input.m_peerCopies =
      FindPeerCopies(aActive, aWorker, parameters.m_cacheScope);
    for (const LinkUse& use :
         m_partMap.PlanTransfers(input, aActive.m_request, parameters)) {
      m_exchange.OnLinkReserved(use.m_address, Duration(use.m_timeUs));
    }
    for (const PartSource& source : parameters.m_fetches) {
      if (!source.m_address.empty()) {
        aActive.m_stores.insert(source.m_address);
      }
    }
  }
  HttpCall call;
  call.m_peer = aWorker.m_address;
  call.m_request = m_protocol.Encode(aActive.m_request, parameters);
  call.m_idleTimeout = Duration(0);
  call.m_maxResponseBytes = kMaxResponseBytes;
  call.m_connectTimeout = std::min(kConnectTimeout, parameters.m_timeLeft);
  call.m_peerTimeout = kPeerTimeout;
  call.m_correlationHeader = m_protocol.CorrelationHeader(aActive.m_request);
  // The list may contain the former worker of an address beside the present.
  call.m_needsNewConnection =
    !aActive.m_triedAddresses.insert(aWorker.m_address).second;
  if (aActive.m_origin && !WorkerTable::IsProved(aWorker, m_context.Now())) {
    call.m_connectedBefore = aWorker.m_provedAt;
  }
  // A process that restarted has none of the connections from before.
  if (const auto until =
        m_limiter.Restarts().OldConnectionsUntil(aWorker.m_info)) {
    call.m_connectedBefore = call.m_connectedBefore == TimePoint()
                               ? *until
                               : std::min(*until, call.m_connectedBefore);
  }
  aActive.m_needsOpenConnection = call.m_connectedBefore != TimePoint();
  m_limiter.OnSent(m_context.Now(), aWorker.m_info);
  aActive.m_neighbour = VmId();
  aActive.m_worker = aWorker.m_info.m_id;
  aActive.m_software = aWorker.m_info.m_software;
  aActive.m_triedWorkers.insert(aActive.m_worker);
  aActive.m_sentWeights = parameters.m_weights;
  if (aWorker.m_running++ == 0) {
    aWorker.m_lastActivityAt = m_context.Now();
  }
  aWorker.m_pendingPrefillTokens += aActive.m_pendingPrefillTokens;
  aWorker.m_heldTokens += aActive.m_heldTokens;
  BeginCall(aActive, std::move(call));
  LogFields fields = {
    { "id", aActive.m_request.m_id },
    { "route", aActive.m_routeName },
    { "revision", std::to_string(m_routes.Document().m_revision.Value()) },
    { "worker", parameters.m_worker },
    { "software", aWorker.m_info.m_software.Value() },
    { "resumes", aActive.m_request.m_resumes },
    { "list", std::to_string(m_workers.Number()) },
    { "send", std::to_string(aActive.m_sendCount) },
    { "after_event", std::to_string(parameters.m_lastEventId) },
    { "weights", std::to_string(parameters.m_weights) },
    { "newest", std::to_string(m_weights.NewestOf(aActive.m_request.m_model)) },
    { "superseded_ms",
      m_weights.FormatAge(
        m_context.Now(), aActive.m_request.m_model, parameters.m_weights) },
    { "uncached", std::to_string(aActive.m_pendingPrefillTokens) },
    { "fetch", std::to_string(FetchTokens(parameters)) },
    { "stores", boost::algorithm::join(aActive.m_stores, ",") },
    { "running", std::to_string(aWorker.m_running) },
    { "held", std::to_string(aWorker.m_heldTokens) },
    { "age_ms", FormatMillis(Age(aActive)) },
    { "left_ms", FormatMillis(parameters.m_timeLeft) }
  };
  AppendKeyFields(aActive, fields);
  m_context.Log(LogEvent::RequestSent, std::move(fields));
}

void
RelayFlow::BeginCall(ActiveRequest& aActive, HttpCall aCall)
{
  aActive.m_sentAt = m_context.Now();
  aActive.m_workerHead = WorkerResponseHead();
  aActive.m_hasFirstEvent = false;
  aActive.m_isInFlight = true;
  ++aActive.m_sendCount;
  aActive.m_call = m_context.Call(std::move(aCall), *this);
  m_byCall[aActive.m_call] = &aActive;
}

void
RelayFlow::ReleaseWorker(ActiveRequest& aActive)
{
  if (!aActive.m_isInFlight) {
    return;
  }
  aActive.m_isInFlight = false;
  m_byCall.erase(aActive.m_call);
  if (IsPassed(aActive)) {
    m_neighbours.OnEnded(aActive.m_neighbour);
    return;
  }
  if (WorkerState* worker = m_workers.Find(aActive.m_worker)) {
    worker->m_running = std::max<std::int64_t>(0, worker->m_running - 1);
    worker->m_pendingPrefillTokens = std::max<std::int64_t>(
      0, worker->m_pendingPrefillTokens - aActive.m_pendingPrefillTokens);
    worker->m_heldTokens =
      std::max<std::int64_t>(0, worker->m_heldTokens - aActive.m_heldTokens);
  }
  aActive.m_pendingPrefillTokens = 0;
  aActive.m_heldTokens = 0;
}
} // namespace fulmarquay
