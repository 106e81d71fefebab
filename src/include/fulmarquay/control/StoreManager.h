#ifndef FULMARQUAY_CONTROL_STOREMANAGER_H
#define FULMARQUAY_CONTROL_STOREMANAGER_H

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

struct UpstreamCallEnded;
struct EntrySession;
class FleetContext;

/// Time limits for readers of the KV cache stores.
struct StoreTimeouts
{
  /// How long an entry may use the part map, counted from when it sent the
  /// last heartbeat that was answered.
  Duration m_mapLease = Duration(4'000'000);
  /// A worker discards a fetch that has not completed this long after its
  /// request was placed.
  Duration m_fetchTimeout = Duration(3'000'000);
};

/// Tracks the content of the KV cache stores on the leader, pushes it to
/// entries as the part map, and is the only component that frees parts.
///
/// Intended for conversations whose parts exceed every engine's cache but
/// mostly fit into the stores. Stores evict nothing themselves and do not track
/// readers. Therefore a part is first removed from the map, and freed only when
/// the map lease of the last entry that may still use it and the last fetch
/// that this entry may have started have expired. Pure; not thread-safe.
class StoreManager
{
public:
  StoreManager(FleetContext& aContext,
               StoreTimeouts aTimeouts,
               std::unique_ptr<PartStoreProtocol> aProtocol);

  /// Sets the stores from the route document in force. When they differ from
  /// the previous ones, all state is discarded.
  void Configure(const RouteDocument& aDocument);
  void OnLeadership();
  void OnTick();
  bool OnAnswered(const UpstreamCallEnded& aAnswer);

  /// Schedules the parts made under older weight versions to be freed.
  void OnNewestWeights(const std::map<std::string, std::int64_t>& aNewest);

  /// Marks parts as used now: an entry placed requests that read them.
  void OnPartsUsed(const std::vector<std::uint64_t>& aKeys);

  void PushTo(EntrySession& aSession);

  /// The workers' clock now, extrapolated from the last answer that contained
  /// it; 0: unknown.
  std::int64_t WorkerClockMs() const;

  std::size_t PartCount() const;

private:
  enum class CallKind
  {
    Events,
    List,
    Usage,
    Free,
  };
  struct Part
  {
    PartName m_name;
    std::int64_t m_tokens = 0;
    std::string m_model;
    TimePoint m_lastUsed;
  };
  struct PendingFree
  {
    PartName m_name;
    std::int64_t m_tokens = 0;
    TimePoint m_earliestFree;
  };
  struct Store
  {
    StoreInfo m_info;
    std::uint64_t m_epoch = 0;
    std::uint64_t m_next = 0;
    std::int64_t m_usedTokens = 0;
    /// Tokens that the store reports beyond its known parts: parts that are
    /// being written, aborted writes, and parts whose event was lost.
    std::int64_t m_unlistedTokens = 0;
    TimePoint m_nextUsageCall;
    std::unordered_map<std::uint64_t, Part> m_parts;
    std::int64_t m_pendingFreeTokens = 0;
    std::deque<PendingFree> m_pendingFrees; ///< ordered by m_earliestFree
    bool m_isPolling = false; ///< an events or list call is in flight
    bool m_isFreeing = false;
    bool m_needsList = false;
    TimePoint m_earliestList; ///< a free order may take effect until then
    TimePoint m_nextPoll;
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
  /// Whether an answer to an events call repeats events that were applied.
  static bool IsOutdated(const Store& aStore, const StoreEventBatch& aBatch);
  void OnEvents(std::size_t aStore,
                const StoreEventBatch& aBatch,
                bool aIsList);
  void OnFreeAnswer(Store& aStore, const UpstreamCallEnded& aAnswer);
  void OnUsageAnswer(std::size_t aStore, const UpstreamCallEnded& aAnswer);
  void OnUsage(std::size_t aStore, const StoreUsage& aUsage);
  static std::int64_t OccupiedTokens(const Store& aStore)
  {
    return aStore.m_usedTokens + aStore.m_unlistedTokens;
  }
  void MarkDown(std::size_t aStore, const std::string& aReason);
  void Add(std::size_t aStore, const StoreEvent& aEvent);
  void Remove(std::size_t aStore, std::uint64_t aKey);
  void Clear(std::size_t aStore);
  void ScheduleFree(std::size_t aStore, std::uint64_t aKey);
  void EvictIfFull(std::size_t aStore);
  void RecordChange(std::size_t aStore,
                    std::uint64_t aKey,
                    std::int64_t aTokens);
  void UpdateClock(const StoreEventBatch& aBatch);
  void Flush();
  StorePush MakeFullPush() const;

  FleetContext& m_context;
  StoreTimeouts m_timeouts;
  std::unique_ptr<PartStoreProtocol> m_protocol;
  std::vector<Store> m_stores;
  std::map<CallId, Call> m_calls;
  std::map<std::string, std::int64_t> m_newestWeights; ///< by model
  /// When free orders of an earlier leader have expired.
  TimePoint m_earliestList;
  /// When map leases and fetches under an earlier leader have expired.
  TimePoint m_earliestFreeCall;
  std::int64_t m_workersClockMs = 0;
  TimePoint m_workersClockAt;
  std::uint64_t m_stateVersion = 0;
  std::uint64_t m_pushedVersion = 0; ///< 0: nothing was pushed yet
  // Changes since the last push.
  std::vector<PartChange> m_changes;
  bool m_haveStoresChanged = false;
  TimePoint m_nextFlush;
};

} // namespace fulmarquay

#endif
