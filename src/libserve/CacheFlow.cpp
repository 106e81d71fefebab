#include "fulmarquay/serve/CacheFlow.h"

#include "fulmarquay/cache/Rendezvous.h"
#include "fulmarquay/core/Digest.h"
#include "fulmarquay/core/Error.h"

#include <algorithm>
#include <utility>

namespace fulmarquay {

namespace {

constexpr Duration kOwnerTimeout(100'000);
constexpr Duration kMaintenanceInterval(200'000);
constexpr Duration kStoreTimeout(5'000'000);
/// Delay before a failed store is listed again.
constexpr Duration kStoreRetryDelay(3'000'000);
/// Pseudo-connection of messages that this entry sends to itself.
const ConnectionId kSelfConnection(0);

CopyInfo
ToCopyInfo(const BlockLocations& aLocations)
{
  CopyInfo info;
  if (aLocations.m_copy) {
    info.m_store = aLocations.m_copy->m_store;
    info.m_generation = aLocations.m_copy->m_generation.Value();
    info.m_length = aLocations.m_copy->m_length;
    info.m_checksum = aLocations.m_copy->m_checksum;
  }
  info.m_engines.assign(aLocations.m_engines.begin(),
                        aLocations.m_engines.end());
  return info;
}

std::uint64_t
HashOf(const StoreId& aStore)
{
  return Checksum64(aStore.Value());
}

} // namespace

CacheFlow::CacheFlow(EntryContext& aContext, const ConfigHolder& aConfig)
  : m_context(aContext)
  , m_config(aConfig)
  , m_protocol(MakeHttpStoreProtocol())
  , m_directory(DirectoryLimits(), aContext.Self().m_boot.Value() & 0xFFFFFFFFU)
{
}

CacheFlow::~CacheFlow() = default;

std::vector<VmId>
CacheFlow::LiveEntries() const
{
  std::vector<VmId> live = { m_context.Self().m_vm };
  for (const auto& [vm, address] : m_config.Peers()) {
    if (m_config.IsPeerLive(vm)) {
      live.push_back(vm);
    }
  }
  std::sort(live.begin(), live.end());
  return live;
}

VmId
CacheFlow::OwnerOf(std::uint64_t aHash) const
{
  return RendezvousOwner(LiveEntries(), aHash);
}

void
CacheFlow::Send(const VmId& aOwner, const CacheMessage& aMessage)
{
  if (aOwner == m_context.Self().m_vm) {
    OnMessage(kSelfConnection, aMessage);
    return;
  }
  const auto address = m_config.Peers().find(aOwner);
  if (address != m_config.Peers().end()) {
    m_context.Emit(SendToPeer{ address->second, aMessage });
  }
}

void
CacheFlow::Reply(ConnectionId aTo, const CacheMessage& aMessage)
{
  if (aTo == kSelfConnection) {
    OnMessage(kSelfConnection, aMessage);
  } else {
    m_context.Emit(ReplyToPeer{ aTo, aMessage });
  }
}

void
CacheFlow::OnMessage(ConnectionId aFrom, const CacheMessage& aMessage)
{
  std::visit([&](const auto& aBody) { Handle(aFrom, aBody); }, aMessage);
}

void
CacheFlow::Lookup(ChainLookup aRequest, ChainHandler aHandler)
{
  aRequest.m_request = RequestId(m_context.NextId());
  PendingRequest pending;
  pending.m_deadline = m_context.Now() + kOwnerTimeout;
  pending.m_onChain = std::move(aHandler);
  pending.m_keyCount = aRequest.m_keys.size();
  m_pending.emplace(aRequest.m_request, std::move(pending));
  Send(OwnerOf(aRequest.m_keys.front().Low()), aRequest);
}

void
CacheFlow::ReleaseChain(const BlockKey& aRoot, const ChainRelease& aRelease)
{
  Send(OwnerOf(aRoot.Low()), aRelease);
}

void
CacheFlow::Reserve(const BlockKey& aRoot,
                   ReserveBlocks aRequest,
                   ReserveHandler aHandler)
{
  aRequest.m_request = RequestId(m_context.NextId());
  PendingRequest pending;
  pending.m_deadline = m_context.Now() + kOwnerTimeout;
  pending.m_onReserve = std::move(aHandler);
  m_pending.emplace(aRequest.m_request, std::move(pending));
  Send(OwnerOf(aRoot.Low()), aRequest);
}

void
CacheFlow::FinishWrite(const BlockKey& aRoot, const WriteResult& aResult)
{
  Send(OwnerOf(aRoot.Low()), aResult);
}

void
CacheFlow::ReserveLinkSlot(LinkRequest aRequest, LinkHandler aHandler)
{
  aRequest.m_request = RequestId(m_context.NextId());
  PendingRequest pending;
  pending.m_deadline = m_context.Now() + kOwnerTimeout;
  pending.m_onLink = std::move(aHandler);
  m_pending.emplace(aRequest.m_request, std::move(pending));
  Send(OwnerOf(HashOf(aRequest.m_store)), aRequest);
}

void
CacheFlow::ForwardEngineEvents(
  const EngineId& aEngine,
  bool aIsGap,
  const std::vector<std::pair<BlockKey, BlockKey>>& aAdded,
  const std::vector<std::pair<BlockKey, BlockKey>>& aDropped)
{
  std::map<VmId, EngineCacheEvents> byOwner;
  for (const auto& [key, root] : aAdded) {
    byOwner[OwnerOf(root.Low())].m_added.push_back(key);
  }
  for (const auto& [key, root] : aDropped) {
    byOwner[OwnerOf(root.Low())].m_dropped.push_back(key);
  }
  if (aIsGap) {
    for (const VmId& vm : LiveEntries()) {
      byOwner[vm].m_isGap = true;
    }
  }
  for (auto& [owner, events] : byOwner) {
    events.m_engine = aEngine;
    Send(owner, events);
  }
}

Duration
CacheFlow::LinkBacklog(const StoreId& aStore) const
{
  const auto found = m_backlogs.find(aStore);
  if (found == m_backlogs.end()) {
    return Duration(0);
  }
  const auto& [backlog, at] = found->second;
  return std::max(Duration(0), backlog - (m_context.Now() - at));
}

void
CacheFlow::Handle(ConnectionId aFrom, const ChainLookup& aMessage)
{
  const ChainLocations locations = m_directory.Lookup(
    m_context.Now(), aMessage.m_account, aMessage.m_weights, aMessage.m_keys);
  ChainReply reply;
  reply.m_request = aMessage.m_request;
  reply.m_pin = locations.m_pin.Value();
  for (const BlockLocations& block : locations.m_blocks) {
    reply.m_blocks.push_back(ToCopyInfo(block));
  }
  Reply(aFrom, reply);
}

void
CacheFlow::Handle(ConnectionId, const ChainRelease& aMessage)
{
  m_directory.Unpin(PinId(aMessage.m_pin));
  for (std::size_t i = 0; i < aMessage.m_invalidKeys.size(); ++i) {
    if (i < aMessage.m_invalidGenerations.size()) {
      m_directory.Report(aMessage.m_invalidKeys[i],
                         Generation(aMessage.m_invalidGenerations[i]));
    }
  }
}

void
CacheFlow::Handle(ConnectionId aFrom, const ReserveBlocks& aMessage)
{
  ReserveReply reply;
  reply.m_request = aMessage.m_request;
  for (const BlockKey& key : aMessage.m_keys) {
    const auto grant = m_directory.Reserve(m_context.Now(),
                                           aMessage.m_account,
                                           aMessage.m_weights,
                                           key,
                                           aMessage.m_store,
                                           Bytes(aMessage.m_blockLength));
    if (grant) {
      reply.m_keys.push_back(key);
      reply.m_generations.push_back(grant->m_generation.Value());
    }
  }
  Reply(aFrom, reply);
}

void
CacheFlow::Handle(ConnectionId, const WriteResult& aMessage)
{
  const Generation generation(aMessage.m_generation);
  if (!aMessage.m_isComplete) {
    m_directory.Abort(aMessage.m_key, generation);
    return;
  }
  BlockCopy copy;
  copy.m_store = aMessage.m_store;
  copy.m_generation = generation;
  copy.m_length = aMessage.m_length;
  copy.m_checksum = aMessage.m_checksum;
  if (m_directory.Seal(aMessage.m_key, copy)) {
    m_context.Counters().Count("blocks_written_total");
  }
}

void
CacheFlow::Handle(ConnectionId, const EngineCacheEvents& aMessage)
{
  if (aMessage.m_isGap) {
    m_directory.ClearEngineHints(aMessage.m_engine);
  }
  for (const BlockKey& key : aMessage.m_added) {
    m_directory.SetEngineHint(aMessage.m_engine, key, true);
  }
  for (const BlockKey& key : aMessage.m_dropped) {
    m_directory.SetEngineHint(aMessage.m_engine, key, false);
  }
}

void
CacheFlow::Handle(ConnectionId aFrom, const LinkRequest& aMessage)
{
  LinkReply reply;
  reply.m_request = aMessage.m_request;
  reply.m_store = aMessage.m_store;
  const auto link = m_links.find(aMessage.m_store);
  if (link != m_links.end()) {
    const auto grant =
      link->second.Reserve(m_context.Now(),
                           static_cast<LinkClass>(aMessage.m_class),
                           aMessage.m_bytes,
                           Duration(aMessage.m_maxDelayUs));
    if (grant) {
      reply.m_isGranted = true;
      reply.m_delayUs = grant->m_delay.count();
      reply.m_bytesPerSecond = grant->m_bytesPerSecond;
      m_context.Counters().Count("link_bytes_total",
                                 "store=\"" + aMessage.m_store.Value() + "\"",
                                 static_cast<std::uint64_t>(aMessage.m_bytes));
    }
    reply.m_backlogUs = link->second.Backlog(m_context.Now()).count();
  }
  Reply(aFrom, reply);
}

void
CacheFlow::Handle(ConnectionId, const ChainReply& aMessage)
{
  const auto found = m_pending.find(aMessage.m_request);
  if (found == m_pending.end() || !found->second.m_onChain) {
    return;
  }
  const ChainHandler handler = std::move(found->second.m_onChain);
  const bool isComplete = found->second.m_keyCount == aMessage.m_blocks.size();
  m_pending.erase(found);
  handler(isComplete ? aMessage : ChainReply());
}

void
CacheFlow::Handle(ConnectionId, const ReserveReply& aMessage)
{
  const auto found = m_pending.find(aMessage.m_request);
  if (found == m_pending.end() || !found->second.m_onReserve) {
    return;
  }
  const ReserveHandler handler = std::move(found->second.m_onReserve);
  m_pending.erase(found);
  handler(aMessage);
}

void
CacheFlow::Handle(ConnectionId, const LinkReply& aMessage)
{
  m_backlogs[aMessage.m_store] = { Duration(aMessage.m_backlogUs),
                                   m_context.Now() };
  const auto found = m_pending.find(aMessage.m_request);
  if (found == m_pending.end() || !found->second.m_onLink) {
    return;
  }
  const LinkHandler handler = std::move(found->second.m_onLink);
  m_pending.erase(found);
  handler(aMessage);
}

void
CacheFlow::OnTick()
{
  ExpirePending();
  if (m_context.Now() >= m_nextMaintenance) {
    m_nextMaintenance = m_context.Now() + kMaintenanceInterval;
    UpdateOwners();
    RetryStores();
    FreeBlocks();
  }
}

void
CacheFlow::ExpirePending()
{
  std::vector<PendingRequest> expired;
  for (auto it = m_pending.begin(); it != m_pending.end();) {
    if (m_context.Now() >= it->second.m_deadline) {
      expired.push_back(std::move(it->second));
      it = m_pending.erase(it);
    } else {
      ++it;
    }
  }
  for (const PendingRequest& pending : expired) {
    m_context.Counters().Count("cache_owner_timeouts_total");
    if (pending.m_onChain) {
      pending.m_onChain(ChainReply());
    } else if (pending.m_onReserve) {
      pending.m_onReserve(ReserveReply());
    } else if (pending.m_onLink) {
      pending.m_onLink(LinkReply());
    }
  }
}

void
CacheFlow::FreeBlocks()
{
  const Configuration* configuration = m_config.Current();
  for (const FreeOrder& order : m_directory.Tick(m_context.Now())) {
    if (configuration == nullptr) {
      continue;
    }
    const auto store = configuration->m_stores.find(order.m_store);
    if (store == configuration->m_stores.end()) {
      continue;
    }
    HttpCall call;
    call.m_peer = store->second.m_address;
    call.m_request = m_protocol->Free(order.m_key, order.m_generation);
    call.m_idleTimeout = kStoreTimeout;
    call.m_totalTimeout = kStoreTimeout;
    StoreCall record;
    record.m_store = order.m_store;
    m_calls.emplace(m_context.Call(std::move(call), *this), record);
  }
}

void
CacheFlow::OnConfiguration()
{
  const Configuration& configuration = *m_config.Current();
  for (const auto& [id, store] : configuration.m_stores) {
    const std::int64_t rate = store.m_linkPerSecond.Count();
    const auto [link, isNew] = m_links.try_emplace(id, rate);
    if (!isNew) {
      link->second.SetRate(rate);
    }
  }
  m_owners.clear();
  UpdateOwners();
}

void
CacheFlow::UpdateOwners()
{
  const Configuration* configuration = m_config.Current();
  std::vector<VmId> owners = LiveEntries();
  if (configuration == nullptr || owners == m_owners) {
    return;
  }
  m_owners = std::move(owners);
  const auto ownerCount = static_cast<std::int64_t>(m_owners.size());
  for (const auto& [id, store] : configuration->m_stores) {
    if (store.m_dataCentre != m_context.Self().m_dataCentre) {
      continue;
    }
    m_directory.SetCapacity(id, Bytes(store.m_capacity.Count() / ownerCount));
    ListStore(id, "");
  }
}

void
CacheFlow::RetryStores()
{
  const Configuration* configuration = m_config.Current();
  std::vector<StoreId> due;
  for (const auto& [store, at] : m_storeRetryAt) {
    if (m_context.Now() >= at) {
      due.push_back(store);
    }
  }
  for (const StoreId& store : due) {
    m_storeRetryAt.erase(store);
    if (configuration != nullptr && configuration->m_stores.count(store) != 0) {
      ListStore(store, "");
    }
  }
}

void
CacheFlow::ListStore(const StoreId& aStore, const std::string& aAfter)
{
  HttpCall call;
  call.m_peer = m_config.Current()->m_stores.at(aStore).m_address;
  call.m_request = m_protocol->List(aAfter);
  call.m_idleTimeout = kStoreTimeout;
  call.m_totalTimeout = kStoreTimeout;
  StoreCall record;
  record.m_store = aStore;
  record.m_isListing = true;
  m_calls.emplace(m_context.Call(std::move(call), *this), record);
}

void
CacheFlow::OnHead(CallId aCall, const HttpResponse& aHead)
{
  m_calls.at(aCall).m_status = aHead.m_status;
}

void
CacheFlow::OnData(CallId aCall, const std::string& aData)
{
  m_calls.at(aCall).m_body += aData;
}

void
CacheFlow::OnEnd(CallId aCall, CallResult aEnd, const std::string& aReason)
{
  const auto found = m_calls.find(aCall);
  const StoreCall call = std::move(found->second);
  m_calls.erase(found);
  if (aEnd != CallResult::Complete) {
    m_context.Log(LogEvent::UpstreamFailed,
                  { { "store", call.m_store.Value() }, { "why", aReason } });
    OnStoreFailed(call.m_store);
  } else if (call.m_isListing && call.m_status == 200) {
    OnListing(call);
  } else if (call.m_isListing) {
    OnStoreFailed(call.m_store);
  }
}

void
CacheFlow::OnListing(const StoreCall& aCall)
{
  try {
    const StoreListing listing =
      m_protocol->ParseListing(aCall.m_store, aCall.m_body);
    for (const ListedBlock& block : listing.m_blocks) {
      if (OwnerOf(block.m_root.Low()) == m_context.Self().m_vm) {
        m_directory.AddListedBlock(m_context.Now(), block);
      }
    }
    const bool isKnown = m_config.Current()->m_stores.count(aCall.m_store) != 0;
    if (!listing.m_nextPageAfter.empty() && isKnown) {
      ListStore(aCall.m_store, listing.m_nextPageAfter);
    }
  } catch (const Error& e) {
    m_context.Log(
      LogEvent::UpstreamFailed,
      { { "store", aCall.m_store.Value() }, { "why", e.Reason() } });
  }
}

void
CacheFlow::OnStoreFailed(const StoreId& aStore)
{
  // The store's blocks are recomputed until it can be listed again.
  m_directory.DropStore(aStore);
  m_storeRetryAt[aStore] = m_context.Now() + kStoreRetryDelay;
}

} // namespace fulmarquay
