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

/// The entry's part in the cache of its data centre: owner of a share of the
/// directory and of some store links, and client of the other owners.
///
/// Chains and links belong to entries by rendezvous hashing over the live
/// ones. A new owner rebuilds its share from the stores' own listings.
class CacheFlow : public CallSink
{
public:
  using ChainHandler = std::function<void(const ChainReply&)>;
  using ReserveHandler = std::function<void(const ReserveReply&)>;
  using LinkHandler = std::function<void(const LinkReply&)>;

  CacheFlow(EntryContext& aContext, const ConfigHolder& aConfig);
  ~CacheFlow() override;

  /// Asks a chain's owner; an owner that does not answer in time counts as
  /// one that has nothing.
  void Lookup(ChainLookup aQuestion, ChainHandler aHandler);
  /// Ends the hold of a lookup.
  void Done(const BlockKey& aRoot, const ChainDone& aDone);
  void Reserve(const BlockKey& aRoot,
               ReserveBlocks aQuestion,
               ReserveHandler aHandler);
  void Written(const BlockKey& aRoot, const WriteDone& aDone);
  void AskLink(LinkRequest aQuestion, LinkHandler aHandler);

  /// An engine's cache events, handed on to the owners of their chains.
  void NoteEngine(const EngineId& aEngine,
                  bool aIsGap,
                  const std::vector<std::pair<BlockKey, BlockKey>>& aAdded,
                  const std::vector<std::pair<BlockKey, BlockKey>>& aDropped);

  /// The last known wait of a store's link.
  Duration LinkBacklog(const StoreId& aStore) const;

  /// A message of another entry, or of this one to itself.
  void OnMessage(ConnectionId aFrom, const CacheMessage& aMessage);
  void OnTick();
  void OnConfiguration();

  /// The live entry that owns an item.
  VmId OwnerOf(std::uint64_t aItem) const;

  void OnHead(CallId aCall, const HttpResponse& aHead) override;
  void OnData(CallId aCall, const std::string& aData) override;
  void OnEnd(CallId aCall, CallEnd aEnd, const std::string& aWhy) override;

  const BlockDirectory& Directory() const { return m_directory; }

private:
  struct Asked
  {
    TimePoint m_deadline;
    ChainHandler m_onChain;
    ReserveHandler m_onReserve;
    LinkHandler m_onLink;
    std::size_t m_keys = 0;
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
  void Handle(ConnectionId aFrom, const ChainDone& aMessage);
  void Handle(ConnectionId aFrom, const ReserveBlocks& aMessage);
  void Handle(ConnectionId aFrom, const WriteDone& aMessage);
  void Handle(ConnectionId aFrom, const EngineNotes& aMessage);
  void Handle(ConnectionId aFrom, const LinkRequest& aMessage);
  void Handle(ConnectionId aFrom, const ChainReply& aMessage);
  void Handle(ConnectionId aFrom, const ReserveReply& aMessage);
  void Handle(ConnectionId aFrom, const LinkReply& aMessage);
  template<typename Other>
  void Handle(ConnectionId, const Other&)
  {
    // Handled by another part of the entry.
  }
  void ExpireAsked();
  void FreeBlocks();
  void ReviewOwners();
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
  std::map<StoreId, std::pair<Duration, TimePoint>> m_backlogs;
  std::map<RequestId, Asked> m_asked;
  std::map<CallId, StoreCall> m_calls;
  std::vector<VmId> m_owners;
  std::map<StoreId, TimePoint> m_relist; ///< failed stores, and when to ask
  TimePoint m_nextFree;
};

} // namespace fulmarquay

#endif
