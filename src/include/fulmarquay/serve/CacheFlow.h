#ifndef FULMARQUAY_SERVE_CACHEFLOW_H
#define FULMARQUAY_SERVE_CACHEFLOW_H

#include "fulmarquay/cache/BlockDirectory.h"
#include "fulmarquay/cache/LinkSchedule.h"
#include "fulmarquay/upstream/StoreProtocol.h"
#include "fulmarquay/serve/ConfigHolder.h"
#include "fulmarquay/serve/EntryContext.h"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>

namespace fulmarquay {

/// The entry's part of the KV cache of its data centre. It owns some shards of
/// the block directory and some store links, and is a client of the entries
/// that own the others.
///
/// Rendezvous hashing over the live entries assigns each chain and each link
/// to its owner. When the live entries change, an owner rebuilds its shard from
/// the listings of the stores. Pure, as part of the entry's reducer; not
/// thread-safe.
class CacheFlow : public CallSink
{
public:
  using ChainHandler = std::function<void(const ChainReply&)>;
  using ReserveHandler = std::function<void(const ReserveReply&)>;
  using LinkHandler = std::function<void(const LinkReply&)>;

  CacheFlow(EntryContext& aContext, const ConfigHolder& aConfig);
  ~CacheFlow() override;

  /// Looks up the blocks of a chain of at least one key at its owner. The
  /// handler gets an empty reply when the owner does not answer in time.
  void Lookup(ChainLookup aRequest, ChainHandler aHandler);
  /// Releases the pin of a lookup and reports copies that failed their check.
  void ReleaseChain(const BlockKey& aRoot, const ChainRelease& aRelease);
  /// Reserves writes of a chain's blocks at its owner. The handler gets an
  /// empty reply on timeout.
  void Reserve(const BlockKey& aRoot,
               ReserveBlocks aRequest,
               ReserveHandler aHandler);
  /// Reports the result of a reserved write to the chain's owner, which seals
  /// or aborts it.
  void FinishWrite(const BlockKey& aRoot, const WriteResult& aResult);
  /// Reserves a transfer slot at the owner of the store's link. The handler
  /// gets a reply without a grant on refusal or timeout.
  void ReserveLinkSlot(LinkRequest aRequest, LinkHandler aHandler);

  /// Sends an engine's cache events to the owners of their chains. Each event
  /// is a block key with the root key of its chain. A gap goes to all live
  /// entries: they discard their hints about the engine.
  void ForwardEngineEvents(
    const EngineId& aEngine,
    bool aIsGap,
    const std::vector<std::pair<BlockKey, BlockKey>>& aAdded,
    const std::vector<std::pair<BlockKey, BlockKey>>& aDropped);

  /// Estimated backlog of a store's link: the last reported one minus the time
  /// since that report.
  Duration LinkBacklog(const StoreId& aStore) const;

  /// Handles a message from another entry or from this one.
  void OnMessage(ConnectionId aFrom, const CacheMessage& aMessage);
  void OnTick();
  void OnConfiguration();

  /// The live entry that owns a chain, link or engine, by its hash.
  VmId OwnerOf(std::uint64_t aHash) const;

  void OnHead(CallId aCall, const HttpResponse& aHead) override;
  void OnData(CallId aCall, const std::string& aData) override;
  void OnEnd(CallId aCall,
             CallResult aEnd,
             const std::string& aReason) override;

  const BlockDirectory& Directory() const { return m_directory; }

private:
  struct PendingRequest
  {
    TimePoint m_deadline;
    ChainHandler m_onChain;
    ReserveHandler m_onReserve;
    LinkHandler m_onLink;
    std::size_t m_keyCount = 0;
  };

  struct StoreCall
  {
    StoreId m_store;
    bool m_isListing = false;
    int m_status = 0;
    std::string m_body;
  };

  void Send(const VmId& aOwner, const CacheMessage& aMessage);
  void Reply(ConnectionId aTo, const CacheMessage& aMessage);
  void Handle(ConnectionId aFrom, const ChainLookup& aMessage);
  void Handle(ConnectionId aFrom, const ChainRelease& aMessage);
  void Handle(ConnectionId aFrom, const ReserveBlocks& aMessage);
  void Handle(ConnectionId aFrom, const WriteResult& aMessage);
  void Handle(ConnectionId aFrom, const EngineCacheEvents& aMessage);
  void Handle(ConnectionId aFrom, const LinkRequest& aMessage);
  void Handle(ConnectionId aFrom, const ChainReply& aMessage);
  void Handle(ConnectionId aFrom, const ReserveReply& aMessage);
  void Handle(ConnectionId aFrom, const LinkReply& aMessage);
  template<typename Other>
  void Handle(ConnectionId, const Other&)
  {
    // Another part of the entry handles the message.
  }
  void ExpirePending();
  void FreeBlocks();
  void UpdateOwners();
  void RetryStores();
  void ListStore(const StoreId& aStore, const std::string& aAfter);
  void OnListing(const StoreCall& aCall);
  void OnStoreFailed(const StoreId& aStore);
  std::vector<VmId> LiveEntries() const;

  EntryContext& m_context;
  const ConfigHolder& m_config;
  std::unique_ptr<StoreProtocol> m_protocol;
  BlockDirectory m_directory;
  std::map<StoreId, LinkSchedule> m_links;
  /// Last reported backlog of each link, and the time of the report.
  std::map<StoreId, std::pair<Duration, TimePoint>> m_backlogs;
  std::map<RequestId, PendingRequest> m_pending;
  std::map<CallId, StoreCall> m_calls;
  std::vector<VmId> m_owners;
  std::map<StoreId, TimePoint> m_storeRetryAt; ///< failed stores
  TimePoint m_nextMaintenance;
};

} // namespace fulmarquay

#endif
