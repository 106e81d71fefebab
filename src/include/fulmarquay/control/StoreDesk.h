#ifndef FULMARQUAY_CONTROL_STOREDESK_H
#define FULMARQUAY_CONTROL_STOREDESK_H

#include "fulmarquay/control/PartStoreProtocol.h"
#include "fulmarquay/core/Endpoint.h"
#include "fulmarquay/core/LogEvent.h"
#include "fulmarquay/core/StrongId.h"
#include "fulmarquay/core/Units.h"
#include "fulmarquay/route/RouteDocument.h"

#include <deque>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace fulmarquay {

struct EngineAnswered;
struct EntrySession;
class FleetDeskOwner;

/// How long a reader may rely on what it was told of a store.
struct StoreLease
{
  /// An entry uses the map no longer than this after it sent the heartbeat
  /// that was answered.
  Duration m_map = Duration(4'000'000);
  /// A worker throws a fetch away that has not ended this long after its
  /// request was placed.
  Duration m_fetch = Duration(3'000'000);
};

/// The leader's part that knows what the KV cache stores hold, tells entries,
/// and alone frees parts.
///
/// The load that it answers: conversations whose parts fit into no engine's
/// cache but mostly into the stores, which drop nothing by themselves and do
/// not know who reads. A part that is to go is taken out of the map first and
/// freed when the last entry that may have read the map, and the last fetch
/// that it may have ordered, are over. Pure; not thread-safe.
class StoreDesk
{
public:
  StoreDesk(FleetDeskOwner& aOwner,
            StoreLease aLease,
            std::unique_ptr<PartStoreProtocol> aProtocol);

  /// The stores of the route document in force.
  void Configure(const RouteDocument& aDocument);
  void OnLeadership();
  void OnTick();
  bool OnAnswered(const EngineAnswered& aAnswer);

  /// Parts of older weights than these are of no use any more.
  void OnWeights(const std::map<std::string, std::int64_t>& aNewest);

  /// An entry placed requests that read these parts.
  void OnUsed(const std::vector<std::uint64_t>& aKeys);

  void PushTo(EntrySession& aSession);

  /// The workers' clock now, from the last answer; 0: unknown.
  std::int64_t WorkersClockMs() const;

  std::size_t Parts() const;

private:
  enum class CallKind
  {
    Events,
    List,
    Fill,
    Free,
  };
  struct Part
  {
    PartName m_name;
    std::int64_t m_tokens = 0;
    std::string m_model;
    TimePoint m_used;
  };
  struct Leaving
  {
    PartName m_name;
    std::int64_t m_tokens = 0;
    TimePoint m_notBefore;
  };
  struct Store
  {
    StoreBrief m_brief;
    std::uint64_t m_epoch = 0;
    std::uint64_t m_next = 0;
    std::int64_t m_usedTokens = 0;
    /// What the store says it holds beyond the parts that are known: parts
    /// being written or broken off, and such whose event was lost.
    std::int64_t m_otherTokens = 0;
    TimePoint m_nextFill;
    std::unordered_map<std::uint64_t, Part> m_parts;
    std::int64_t m_leavingTokens = 0;
    std::deque<Leaving> m_leaving; ///< in the order in which they may go
    bool m_isCalling = false;      ///< an events or list call is under way
    bool m_isFreeing = false;
    bool m_needsList = false;
    TimePoint m_mayListFrom; ///< an order to free may act until then
    TimePoint m_nextCall;
  };
  struct Call
  {
    CallKind m_kind = CallKind::Events;
    std::size_t m_store = 0;
  };

  void Poll(std::size_t aStore);
  void StartFree(std::size_t aStore);
  CallId Start(CallKind aKind,
               std::size_t aStore,
               HttpRequest aRequest,
               Duration aTimeout);
  void OnNews(std::size_t aStore, const StoreNews& aNews, bool aIsList);
  void OnFreeAnswer(Store& aStore, const EngineAnswered& aAnswer);
  void OnFillAnswer(std::size_t aStore, const EngineAnswered& aAnswer);
  void OnFill(std::size_t aStore, const StoreFill& aFill);
  static std::int64_t Held(const Store& aStore)
  {
    return aStore.m_usedTokens + aStore.m_otherTokens;
  }
  void OnDown(std::size_t aStore, const std::string& aWhy);
  void Add(std::size_t aStore, const StoreEvent& aEvent);
  void Remove(std::size_t aStore, std::uint64_t aKey);
  void Clear(std::size_t aStore);
  void Release(std::size_t aStore, std::uint64_t aKey);
  void MakeRoom(std::size_t aStore);
  void NoteChange(std::size_t aStore, std::uint64_t aKey, std::int64_t aTokens);
  void NoteClock(const StoreNews& aNews);
  void Flush();
  StorePush MakeFull() const;

  FleetDeskOwner& m_owner;
  StoreLease m_lease;
  std::unique_ptr<PartStoreProtocol> m_protocol;
  std::vector<Store> m_stores;
  std::map<CallId, Call> m_calls;
  std::map<std::string, std::int64_t> m_newest; ///< weights by model
  TimePoint m_mayListFrom; ///< orders of an earlier leader are over
  TimePoint m_mayFreeFrom; ///< readers of an earlier leader's map are over
  std::int64_t m_clockMs = 0;
  TimePoint m_clockAt;
  // Changes since the last push.
  std::uint64_t m_state = 0;
  std::uint64_t m_flushed = 0;
  std::vector<PartChange> m_changes;
  bool m_haveStoresChanged = false;
  TimePoint m_nextFlush;
};

} // namespace fulmarquay

#endif
