#include "fulmarquay/control/StoreManager.h"

#include "fulmarquay/control/ControlNode.h"
#include "fulmarquay/control/EntryRegistry.h"
#include "fulmarquay/control/FleetManager.h"
#include "fulmarquay/core/Error.h"
#include "fulmarquay/wire/HttpStatus.h"

#include <algorithm>

namespace fulmarquay {

namespace {

/// Long-poll wait of an events call: long enough to count as a waiting call,
/// short enough to detect a dead store.
constexpr Duration kEventsWait(700'000);
constexpr Duration kEventsTimeout(1'500'000);
constexpr Duration kCallTimeout(1'000'000);
constexpr Duration kDownRetryDelay(250'000);
/// Not shorter because usage calls are charged.
constexpr Duration kUsageInterval(2'000'000);
/// Changes are batched for this long before they are pushed to entries.
constexpr Duration kFlushInterval(50'000);
constexpr Duration kPushRetryInterval(1'500'000);
/// Margin for clock differences and messages in flight.
constexpr Duration kFreeMargin(500'000);
/// Validity of a free order. It keeps a delayed order from freeing a part that
/// was saved or listed again. The order carries its expiry in the stores'
/// clock, estimated from their last answer and therefore slightly behind.
constexpr Duration kFreeValidity(300'000);
/// Delay between the expiry of a free order and the next list call; exceeds the
/// clock drift.
constexpr Duration kListMargin(100'000);
constexpr std::size_t kMaxPartsPerFree = 256;
// When every store that is up has reached kEvictAbovePercent of its capacity,
// each is emptied to kEvictToPercent, least recently used parts first. Entries
// stop saving to a store slightly above kEvictAbovePercent.
constexpr int kEvictAbovePercent = 95;
/// A store that reports this usage is marked full: entries save nothing to it.
constexpr int kMarkFullAbovePercent = 97;
constexpr int kEvictToPercent = 90;
constexpr unsigned kTermShiftBits = 32;

} // namespace

StoreManager::StoreManager(FleetContext& aContext,
                           StoreTimeouts aTimeouts,
                           std::unique_ptr<PartStoreProtocol> aProtocol)
  : m_context(aContext)
  , m_timeouts(aTimeouts)
  , m_protocol(std::move(aProtocol))
{
}

void
StoreManager::Configure(const RouteDocument& aDocument)
{
  std::vector<StoreInfo> desired;
  for (const auto& [name, pool] : aDocument.m_pools) {
    if (!pool.m_storeAddress.empty()) {
      desired.push_back({ name,
                          pool.m_storeAddress,
                          pool.m_storeDataCentre,
                          pool.m_storeCapacityTokens,
                          pool.m_storeBitsPerSecond,
                          false,
                          false });
    }
  }
  const auto isSame = [](const Store& aStore, const StoreInfo& aInfo) {
    return aStore.m_info.m_name == aInfo.m_name &&
           aStore.m_info.m_address == aInfo.m_address &&
           aStore.m_info.m_capacity == aInfo.m_capacity;
  };
  if (std::equal(m_stores.begin(),
                 m_stores.end(),
                 desired.begin(),
                 desired.end(),
                 isSame)) {
    return;
  }
  m_calls.clear();
  m_changes.clear();
  m_stores.clear();
  for (const StoreInfo& info : desired) {
    m_stores.emplace_back();
    m_stores.back().m_info = info;
    m_stores.back().m_nextPoll = m_context.Now();
    m_stores.back().m_earliestList = m_earliestList;
  }
  m_haveStoresChanged = true;
  // Entries get the whole state again.
  m_stateVersion += 2;
  m_pushedVersion = 0;
}

void
StoreManager::OnLeadership()
{
  m_calls.clear();
  m_stores.clear();
  m_changes.clear();
  m_stateVersion = m_context.CurrentTerm() << kTermShiftBits;
  m_pushedVersion = 0;
  m_earliestList = m_context.Now() + kFreeValidity + kListMargin;
  m_earliestFreeCall = m_context.Now() + m_timeouts.m_mapLease +
                       m_timeouts.m_fetchTimeout + kFreeMargin;
}

void
StoreManager::OnTick()
{
  const TimePoint now = m_context.Now();
  for (std::size_t i = 0; i < m_stores.size(); ++i) {
    if (!m_stores[i].m_isPolling && now >= m_stores[i].m_nextPoll) {
      Poll(i);
    }
    StartFree(i);
    if (m_stores[i].m_info.m_isUp && now >= m_stores[i].m_nextUsageCall) {
      m_stores[i].m_nextUsageCall = now + kUsageInterval;
      Start(CallKind::Usage, i, m_protocol->Usage(), kCallTimeout);
    }
  }
  if (now >= m_nextFlush) {
    m_nextFlush = now + kFlushInterval;
    Flush();
  }
}

void
StoreManager::Poll(std::size_t aStore)
{
  Store& store = m_stores[aStore];
  // A delayed free order could still remove a part that was just listed.
  if (store.m_needsList && m_context.Now() < store.m_earliestList) {
    store.m_nextPoll = store.m_earliestList;
    return;
  }
  store.m_isPolling = true;
  if (store.m_needsList) {
    Start(CallKind::List, aStore, m_protocol->List(), kCallTimeout);
  } else {
    Start(CallKind::Events,
          aStore,
          m_protocol->Events(store.m_next, kEventsWait),
          kEventsTimeout);
  }
}

CallId
StoreManager::Start(CallKind aKind,
                    std::size_t aStore,
                    HttpRequest aRequest,
                    Duration aTimeout)
{
  HttpCall call;
  call.m_peer = Endpoint::Parse(m_stores[aStore].m_info.m_address);
  call.m_request = std::move(aRequest);
  call.m_idleTimeout = aTimeout;
  call.m_totalTimeout = aTimeout;
  call.m_connectTimeout = kCallTimeout;
  // Events are numbered, which identifies a copy of an earlier answer.
  call.m_isContentChecked = aKind == CallKind::Events;
  const CallId id = m_context.CallUpstream(std::move(call));
  m_calls[id] = { aKind, aStore };
  return id;
}

bool
StoreManager::OnAnswered(const UpstreamCallEnded& aAnswer)
{
  const auto found = m_calls.find(aAnswer.m_call);
  if (found == m_calls.end()) {
    return false;
  }
  const Call call = found->second;
  m_calls.erase(found);
  Store& store = m_stores[call.m_store];
  if (call.m_kind == CallKind::Free) {
    OnFreeAnswer(store, aAnswer);
    return true;
  }
  if (call.m_kind == CallKind::Usage) {
    OnUsageAnswer(call.m_store, aAnswer);
    return true;
  }
  store.m_isPolling = false;
  const bool isSuccess =
    aAnswer.m_end == CallResult::Complete && aAnswer.m_status == kStatusOk;
  if (!isSuccess) {
    MarkDown(call.m_store, "status " + std::to_string(aAnswer.m_status));
    return true;
  }
  try {
    const bool isList = call.m_kind == CallKind::List;
    OnEvents(call.m_store,
             isList ? m_protocol->ParseList(aAnswer.m_body)
                    : m_protocol->ParseEvents(aAnswer.m_body),
             isList);
  } catch (const Error& e) {
    MarkDown(call.m_store, e.Reason());
  }
  return true;
}

void
StoreManager::OnFreeAnswer(Store& aStore, const UpstreamCallEnded& aAnswer)
{
  aStore.m_isFreeing = false;
  const bool isSuccess = aAnswer.m_end == CallResult::Complete &&
                         aAnswer.m_status >= kStatusOk &&
                         aAnswer.m_status < kStatusRedirect;
  if (!isSuccess) {
    // Parts that were not freed are in no map and would occupy the store
    // forever; the list adds them again.
    aStore.m_needsList = true;
    m_context.Log(LogEvent::UpstreamFailed,
                  { { "store", aStore.m_info.m_name },
                    { "why", "parts were not freed" },
                    { "status", std::to_string(aAnswer.m_status) } });
  }
}

void
StoreManager::OnUsageAnswer(std::size_t aStore,
                            const UpstreamCallEnded& aAnswer)
{
  if (aAnswer.m_end != CallResult::Complete || aAnswer.m_status != kStatusOk) {
    // Whether the store is down is detected by the events call.
    return;
  }
  try {
    OnUsage(aStore, m_protocol->ParseUsage(aAnswer.m_body));
  } catch (const Error& e) {
    m_context.Log(
      LogEvent::UpstreamFailed,
      { { "store", m_stores[aStore].m_info.m_name }, { "why", e.Reason() } });
  }
}

void
StoreManager::OnUsage(std::size_t aStore, const StoreUsage& aUsage)
{
  Store& store = m_stores[aStore];
  store.m_unlistedTokens = std::max<std::int64_t>(
    0, aUsage.m_usedTokens - store.m_usedTokens - store.m_pendingFreeTokens);
  const bool isFull =
    aUsage.m_usedTokens * 100 >= aUsage.m_totalTokens * kMarkFullAbovePercent;
  if (isFull != store.m_info.m_isFull) {
    store.m_info.m_isFull = isFull;
    m_haveStoresChanged = true;
  }
  EvictIfFull(aStore);
}

void
StoreManager::MarkDown(std::size_t aStore, const std::string& aReason)
{
  Store& store = m_stores[aStore];
  store.m_nextPoll = m_context.Now() + kDownRetryDelay;
  if (!store.m_info.m_isUp) {
    return;
  }
  store.m_info.m_isUp = false;
  m_haveStoresChanged = true;
  m_context.Log(LogEvent::UpstreamFailed,
                { { "store", store.m_info.m_name }, { "why", aReason } });
}

void
StoreManager::UpdateClock(const StoreEventBatch& aBatch)
{
  if (aBatch.m_clockMs > 0) {
    m_workersClockMs = aBatch.m_clockMs;
    m_workersClockAt = m_context.Now();
  }
}

std::int64_t
StoreManager::WorkerClockMs() const
{
  if (m_workersClockMs == 0) {
    return 0;
  }
  return m_workersClockMs + ToMillis(m_context.Now() - m_workersClockAt);
}

bool
StoreManager::IsOutdated(const Store& aStore, const StoreEventBatch& aBatch)
{
  const bool hasOldEvent = std::any_of(
    aBatch.m_events.begin(), aBatch.m_events.end(), [&](const auto& aEvent) {
      return aEvent.m_number <= aStore.m_next;
    });
  return aBatch.m_epoch == aStore.m_epoch &&
         (aBatch.m_next < aStore.m_next || hasOldEvent);
}

void
StoreManager::OnEvents(std::size_t aStore,
                       const StoreEventBatch& aBatch,
                       bool aIsList)
{
  Store& store = m_stores[aStore];
  if (!aIsList && IsOutdated(store, aBatch)) {
    m_context.Log(LogEvent::UpstreamFailed,
                  { { "store", store.m_info.m_name },
                    { "why", "a copy of an earlier answer" },
                    { "next", std::to_string(aBatch.m_next) },
                    { "expected_after", std::to_string(store.m_next) } });
    store.m_nextPoll = m_context.Now();
    return;
  }
  UpdateClock(aBatch);
  store.m_nextPoll = m_context.Now();
  const bool isRestarted = store.m_epoch != aBatch.m_epoch;
  if (isRestarted && store.m_epoch != 0) {
    m_context.Log(LogEvent::UpstreamFailed,
                  { { "store", store.m_info.m_name },
                    { "why", "it started again" },
                    { "parts", std::to_string(store.m_parts.size()) } });
  }
  if (isRestarted || aIsList) {
    Clear(aStore);
    store.m_pendingFrees.clear();
    store.m_pendingFreeTokens = 0;
  }
  if (isRestarted && !aIsList) {
    // The batch may not cover parts that the store held before its first event,
    // so a list call follows.
    store.m_epoch = aBatch.m_epoch;
    store.m_needsList = true;
    return;
  }
  if (aBatch.m_isGap && !aIsList) {
    store.m_needsList = true;
  }
  if (aIsList) {
    store.m_needsList = false;
  }
  store.m_epoch = aBatch.m_epoch;
  store.m_next = aBatch.m_next;
  if (!store.m_info.m_isUp) {
    store.m_info.m_isUp = true;
    m_haveStoresChanged = true;
  }
  for (const StoreEvent& event : aBatch.m_events) {
    if (event.m_isAdded) {
      Add(aStore, event);
    } else {
      Remove(aStore, PartKey(event.m_part.m_scope, event.m_part.m_id));
    }
  }
  EvictIfFull(aStore);
}

void
StoreManager::Add(std::size_t aStore, const StoreEvent& aEvent)
{
  Store& store = m_stores[aStore];
  const std::uint64_t key = PartKey(aEvent.m_part.m_scope, aEvent.m_part.m_id);
  Part& part = store.m_parts[key];
  store.m_usedTokens += aEvent.m_tokens - part.m_tokens;
  part = { aEvent.m_part, aEvent.m_tokens, aEvent.m_model, m_context.Now() };
  RecordChange(aStore, key, aEvent.m_tokens);
}

void
StoreManager::Remove(std::size_t aStore, std::uint64_t aKey)
{
  Store& store = m_stores[aStore];
  const auto found = store.m_parts.find(aKey);
  if (found == store.m_parts.end()) {
    return;
  }
  store.m_usedTokens -= found->second.m_tokens;
  store.m_parts.erase(found);
  RecordChange(aStore, aKey, 0);
}

void
StoreManager::Clear(std::size_t aStore)
{
  Store& store = m_stores[aStore];
  for (const auto& [key, part] : store.m_parts) {
    RecordChange(aStore, key, 0);
  }
  store.m_parts.clear();
  store.m_usedTokens = 0;
}

void
StoreManager::ScheduleFree(std::size_t aStore, std::uint64_t aKey)
{
  Store& store = m_stores[aStore];
  const auto found = store.m_parts.find(aKey);
  if (found == store.m_parts.end()) {
    return;
  }
  const Duration readLimit =
    m_timeouts.m_mapLease + m_timeouts.m_fetchTimeout + kFreeMargin;
  const std::int64_t tokens = found->second.m_tokens;
  store.m_pendingFreeTokens += tokens;
  store.m_pendingFrees.push_back(
    { found->second.m_name, tokens, m_context.Now() + readLimit });
  Remove(aStore, aKey);
}

void
StoreManager::OnNewestWeights(
  const std::map<std::string, std::int64_t>& aNewest)
{
  m_newestWeights = aNewest;
  for (std::size_t i = 0; i < m_stores.size(); ++i) {
    std::vector<std::uint64_t> old;
    for (const auto& [key, part] : m_stores[i].m_parts) {
      const auto newest = m_newestWeights.find(part.m_model);
      const std::int64_t weights = WeightsOfScope(part.m_name.m_scope);
      if (newest != m_newestWeights.end() && weights >= 0 &&
          weights < newest->second) {
        old.push_back(key);
      }
    }
    for (const std::uint64_t key : old) {
      ScheduleFree(i, key);
    }
  }
}

void
StoreManager::OnPartsUsed(const std::vector<std::uint64_t>& aKeys)
{
  for (Store& store : m_stores) {
    for (const std::uint64_t key : aKeys) {
      const auto found = store.m_parts.find(key);
      if (found != store.m_parts.end()) {
        found->second.m_lastUsed = m_context.Now();
      }
    }
  }
}

void
StoreManager::EvictIfFull(std::size_t aStore)
{
  Store& store = m_stores[aStore];
  const std::int64_t capacity = store.m_info.m_capacity;
  const bool hasRoom =
    std::any_of(m_stores.begin(), m_stores.end(), [](const Store& aEach) {
      return aEach.m_info.m_isUp &&
             OccupiedTokens(aEach) * 100 <
               aEach.m_info.m_capacity * kEvictAbovePercent;
    });
  if (hasRoom) {
    return;
  }
  std::vector<std::pair<TimePoint, std::uint64_t>> byLastUse;
  byLastUse.reserve(store.m_parts.size());
  for (const auto& [key, part] : store.m_parts) {
    byLastUse.emplace_back(part.m_lastUsed, key);
  }
  std::sort(byLastUse.begin(), byLastUse.end());
  for (const auto& [used, key] : byLastUse) {
    if (OccupiedTokens(store) * 100 < capacity * kEvictToPercent) {
      return;
    }
    ScheduleFree(aStore, key);
  }
}

void
StoreManager::StartFree(std::size_t aStore)
{
  Store& store = m_stores[aStore];
  const TimePoint now = m_context.Now();
  const bool isDue = !store.m_pendingFrees.empty() &&
                     now >= store.m_pendingFrees.front().m_earliestFree &&
                     now >= m_earliestFreeCall;
  if (!isDue || store.m_isFreeing || !store.m_info.m_isUp ||
      m_workersClockMs == 0) {
    return;
  }
  std::vector<PartName> parts;
  while (!store.m_pendingFrees.empty() && parts.size() < kMaxPartsPerFree &&
         now >= store.m_pendingFrees.front().m_earliestFree) {
    PartName part = std::move(store.m_pendingFrees.front().m_name);
    store.m_pendingFreeTokens -= store.m_pendingFrees.front().m_tokens;
    store.m_pendingFrees.pop_front();
    // A part that was saved again since is back in the map and must stay.
    if (store.m_parts.count(PartKey(part.m_scope, part.m_id)) == 0) {
      parts.push_back(std::move(part));
    }
  }
  if (parts.empty()) {
    return;
  }
  store.m_isFreeing = true;
  store.m_earliestList = now + kFreeValidity + kListMargin;
  Start(CallKind::Free,
        aStore,
        m_protocol->Free(
          parts, store.m_epoch, WorkerClockMs() + ToMillis(kFreeValidity)),
        kCallTimeout);
}

void
StoreManager::RecordChange(std::size_t aStore,
                           std::uint64_t aKey,
                           std::int64_t aTokens)
{
  m_changes.push_back({ static_cast<std::uint32_t>(aStore), aKey, aTokens });
}

StorePush
StoreManager::MakeFullPush() const
{
  StorePush push;
  push.m_to = m_stateVersion;
  push.m_hasStores = true;
  for (std::size_t i = 0; i < m_stores.size(); ++i) {
    push.m_stores.push_back(m_stores[i].m_info);
    for (const auto& [key, part] : m_stores[i].m_parts) {
      push.m_changes.push_back(
        { static_cast<std::uint32_t>(i), key, part.m_tokens });
    }
  }
  return push;
}

void
StoreManager::Flush()
{
  if (m_changes.empty() && !m_haveStoresChanged) {
    return;
  }
  StorePush push;
  push.m_from = m_pushedVersion;
  push.m_to = ++m_stateVersion;
  push.m_hasStores = m_haveStoresChanged;
  if (m_haveStoresChanged) {
    for (const Store& store : m_stores) {
      push.m_stores.push_back(store.m_info);
    }
  }
  push.m_changes = std::move(m_changes);
  m_changes.clear();
  m_haveStoresChanged = false;
  const std::uint64_t before = m_pushedVersion;
  m_pushedVersion = m_stateVersion;
  for (auto& [vm, session] : m_context.Entries().All()) {
    const bool isNext = before != 0 && session.m_storesPushed == before;
    if (isNext && session.m_connection != ConnectionId()) {
      session.m_storesPushed = m_stateVersion;
      session.m_storesPushedAt = m_context.Now();
      m_context.Push(session.m_connection, push);
    }
  }
}

void
StoreManager::PushTo(EntrySession& aSession)
{
  const TimePoint now = m_context.Now();
  const bool isConfirmed = aSession.m_last.m_stores == m_pushedVersion;
  const bool isInFlight = aSession.m_storesPushed == m_pushedVersion &&
                          now < aSession.m_storesPushedAt + kPushRetryInterval;
  if (m_pushedVersion == 0 || isConfirmed || isInFlight ||
      aSession.m_connection == ConnectionId()) {
    return;
  }
  // Flushes pending changes first, as the full state already includes them.
  Flush();
  aSession.m_storesPushed = m_pushedVersion;
  aSession.m_storesPushedAt = now;
  m_context.Push(aSession.m_connection, MakeFullPush());
}

std::size_t
StoreManager::PartCount() const
{
  std::size_t parts = 0;
  for (const Store& store : m_stores) {
    parts += store.m_parts.size();
  }
  return parts;
}

} // namespace fulmarquay
