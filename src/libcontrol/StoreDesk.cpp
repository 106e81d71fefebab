#include "fulmarquay/control/StoreDesk.h"

#include "fulmarquay/control/ControlNode.h"
#include "fulmarquay/control/EntryRegistry.h"
#include "fulmarquay/control/FleetDesk.h"
#include "fulmarquay/core/Error.h"
#include "fulmarquay/wire/HttpStatus.h"

#include <algorithm>

namespace fulmarquay {

namespace {

/// A store holds the call until it has news; long enough to count as a waiting
/// call, short enough to notice a dead store.
constexpr Duration kEventsWait(700'000);
constexpr Duration kEventsTimeout(1'500'000);
constexpr Duration kCallTimeout(1'000'000);
/// Before a store that failed is asked again.
constexpr Duration kDownPause(250'000);
/// Between two questions how full a store is; they are paid for.
constexpr Duration kFillInterval(2'000'000);
/// Changes are collected for this long before entries get them.
constexpr Duration kFlushInterval(50'000);
constexpr Duration kPushRepeat(1'500'000);
/// Slack for clocks that differ and for messages under way.
constexpr Duration kFreeMargin(500'000);
/// A late order to free must not meet a part that was saved or listed again.
/// Its end is told by the stores' clock as it was last heard, which is behind.
constexpr Duration kFreeValid(300'000);
/// From the end of such an order to a list: clocks run apart by less.
constexpr Duration kListMargin(100'000);
constexpr std::size_t kMostFreed = 256; ///< parts of one call
// When all stores hold the first share of their capacity, each is emptied to
// the second one, the parts that were used longest ago first. Entries save
// nothing to a store that holds little more than the first share.
constexpr int kFullPercent = 95;
/// Entries save nothing to a store that says it holds this share.
constexpr int kClosedPercent = 97;
constexpr int kEmptiedPercent = 90;
constexpr unsigned kTermShift = 32;

} // namespace

StoreDesk::StoreDesk(FleetDeskOwner& aOwner,
                     StoreLease aLease,
                     std::unique_ptr<PartStoreProtocol> aProtocol)
  : m_owner(aOwner)
  , m_lease(aLease)
  , m_protocol(std::move(aProtocol))
{
}

void
StoreDesk::Configure(const RouteDocument& aDocument)
{
  std::vector<StoreBrief> wanted;
  for (const auto& [name, pool] : aDocument.m_pools) {
    if (!pool.m_storeAddress.empty()) {
      wanted.push_back({ name,
                         pool.m_storeAddress,
                         pool.m_storeDataCentre,
                         pool.m_storeTokens,
                         pool.m_storeBitsPerSecond,
                         false,
                         false });
    }
  }
  const auto isSame = [](const Store& aStore, const StoreBrief& aBrief) {
    return aStore.m_brief.m_name == aBrief.m_name &&
           aStore.m_brief.m_address == aBrief.m_address &&
           aStore.m_brief.m_capacity == aBrief.m_capacity;
  };
  if (std::equal(m_stores.begin(),
                 m_stores.end(),
                 wanted.begin(),
                 wanted.end(),
                 isSame)) {
    return;
  }
  m_calls.clear();
  m_changes.clear();
  m_stores.clear();
  for (const StoreBrief& brief : wanted) {
    m_stores.emplace_back();
    m_stores.back().m_brief = brief;
    m_stores.back().m_nextCall = m_owner.Now();
    m_stores.back().m_mayListFrom = m_mayListFrom;
  }
  m_haveStoresChanged = true;
  // Entries get everything anew.
  m_state += 2;
  m_flushed = 0;
}

void
StoreDesk::OnLeadership()
{
  m_calls.clear();
  m_stores.clear();
  m_changes.clear();
  m_state = m_owner.CurrentTerm() << kTermShift;
  m_flushed = 0;
  m_mayListFrom = m_owner.Now() + kFreeValid + kListMargin;
  m_mayFreeFrom = m_owner.Now() + m_lease.m_map + m_lease.m_fetch + kFreeMargin;
}

void
StoreDesk::OnTick()
{
  const TimePoint now = m_owner.Now();
  for (std::size_t i = 0; i < m_stores.size(); ++i) {
    if (!m_stores[i].m_isCalling && now >= m_stores[i].m_nextCall) {
      Poll(i);
    }
    StartFree(i);
    if (m_stores[i].m_brief.m_isUp && now >= m_stores[i].m_nextFill) {
      m_stores[i].m_nextFill = now + kFillInterval;
      Start(CallKind::Fill, i, m_protocol->Fill(), kCallTimeout);
    }
  }
  if (now >= m_nextFlush) {
    m_nextFlush = now + kFlushInterval;
    Flush();
  }
}

void
StoreDesk::Poll(std::size_t aStore)
{
  Store& store = m_stores[aStore];
  // A part that a late order frees must not be listed as one to read.
  if (store.m_needsList && m_owner.Now() < store.m_mayListFrom) {
    store.m_nextCall = store.m_mayListFrom;
    return;
  }
  store.m_isCalling = true;
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
StoreDesk::Start(CallKind aKind,
                 std::size_t aStore,
                 HttpRequest aRequest,
                 Duration aTimeout)
{
  HttpCall call;
  call.m_peer = Endpoint::Parse(m_stores[aStore].m_brief.m_address);
  call.m_request = std::move(aRequest);
  call.m_idleTimeout = aTimeout;
  call.m_connectTimeout = kCallTimeout;
  const CallId id = m_owner.CallUpstream(std::move(call));
  m_calls[id] = { aKind, aStore };
  return id;
}

bool
StoreDesk::OnAnswered(const EngineAnswered& aAnswer)
{
  const auto place = m_calls.find(aAnswer.m_call);
  if (place == m_calls.end()) {
    return false;
  }
  const Call call = place->second;
  m_calls.erase(place);
  Store& store = m_stores[call.m_store];
  if (call.m_kind == CallKind::Free) {
    OnFreeAnswer(store, aAnswer);
    return true;
  }
  if (call.m_kind == CallKind::Fill) {
    OnFillAnswer(call.m_store, aAnswer);
    return true;
  }
  store.m_isCalling = false;
  const bool isGood =
    aAnswer.m_end == CallEnd::Whole && aAnswer.m_status == kStatusOk;
  if (!isGood) {
    OnDown(call.m_store, "status " + std::to_string(aAnswer.m_status));
    return true;
  }
  try {
    const bool isList = call.m_kind == CallKind::List;
    OnNews(call.m_store,
           isList ? m_protocol->ParseList(aAnswer.m_body)
                  : m_protocol->ParseEvents(aAnswer.m_body),
           isList);
  } catch (const Error& e) {
    OnDown(call.m_store, e.Reason());
  }
  return true;
}

void
StoreDesk::OnFreeAnswer(Store& aStore, const EngineAnswered& aAnswer)
{
  aStore.m_isFreeing = false;
  const bool isGood =
    aAnswer.m_end == CallEnd::Whole && aAnswer.m_status == kStatusOk;
  if (!isGood) {
    // What it still holds is in no map and would keep its room for good.
    aStore.m_needsList = true;
    m_owner.Log(LogEvent::UpstreamFailed,
                { { "store", aStore.m_brief.m_name },
                  { "why", "parts were not freed" },
                  { "status", std::to_string(aAnswer.m_status) } });
  }
}

void
StoreDesk::OnFillAnswer(std::size_t aStore, const EngineAnswered& aAnswer)
{
  if (aAnswer.m_end != CallEnd::Whole || aAnswer.m_status != kStatusOk) {
    // The events call finds out whether the store is down.
    return;
  }
  try {
    OnFill(aStore, m_protocol->ParseFill(aAnswer.m_body));
  } catch (const Error& e) {
    m_owner.Log(
      LogEvent::UpstreamFailed,
      { { "store", m_stores[aStore].m_brief.m_name }, { "why", e.Reason() } });
  }
}

void
StoreDesk::OnFill(std::size_t aStore, const StoreFill& aFill)
{
  Store& store = m_stores[aStore];
  store.m_otherTokens = std::max<std::int64_t>(
    0, aFill.m_usedTokens - store.m_usedTokens - store.m_leavingTokens);
  const bool isFull =
    aFill.m_usedTokens * 100 >= aFill.m_allTokens * kClosedPercent;
  if (isFull != store.m_brief.m_isFull) {
    store.m_brief.m_isFull = isFull;
    m_haveStoresChanged = true;
  }
  MakeRoom(aStore);
}

void
StoreDesk::OnDown(std::size_t aStore, const std::string& aWhy)
{
  Store& store = m_stores[aStore];
  store.m_nextCall = m_owner.Now() + kDownPause;
  if (!store.m_brief.m_isUp) {
    return;
  }
  store.m_brief.m_isUp = false;
  m_haveStoresChanged = true;
  m_owner.Log(LogEvent::UpstreamFailed,
              { { "store", store.m_brief.m_name }, { "why", aWhy } });
}

void
StoreDesk::NoteClock(const StoreNews& aNews)
{
  if (aNews.m_clockMs > 0) {
    m_clockMs = aNews.m_clockMs;
    m_clockAt = m_owner.Now();
  }
}

std::int64_t
StoreDesk::WorkersClockMs() const
{
  if (m_clockMs == 0) {
    return 0;
  }
  return m_clockMs + ToMillis(m_owner.Now() - m_clockAt);
}

void
StoreDesk::OnNews(std::size_t aStore, const StoreNews& aNews, bool aIsList)
{
  Store& store = m_stores[aStore];
  NoteClock(aNews);
  store.m_nextCall = m_owner.Now();
  const bool isRestarted = store.m_epoch != aNews.m_epoch;
  if (isRestarted && store.m_epoch != 0) {
    m_owner.Log(LogEvent::UpstreamFailed,
                { { "store", store.m_brief.m_name },
                  { "why", "it started again" },
                  { "parts", std::to_string(store.m_parts.size()) } });
  }
  if (isRestarted || aIsList) {
    Clear(aStore);
    store.m_leaving.clear();
    store.m_leavingTokens = 0;
  }
  if (isRestarted && !aIsList) {
    // What it holds from before its first event must be listed.
    store.m_epoch = aNews.m_epoch;
    store.m_needsList = true;
    return;
  }
  if (aNews.m_isGap && !aIsList) {
    store.m_needsList = true;
  }
  if (aIsList) {
    store.m_needsList = false;
  }
  store.m_epoch = aNews.m_epoch;
  store.m_next = aNews.m_next;
  if (!store.m_brief.m_isUp) {
    store.m_brief.m_isUp = true;
    m_haveStoresChanged = true;
  }
  for (const StoreEvent& event : aNews.m_events) {
    if (event.m_isAdded) {
      Add(aStore, event);
    } else {
      Remove(aStore, PartKey(event.m_part.m_scope, event.m_part.m_id));
    }
  }
  MakeRoom(aStore);
}

void
StoreDesk::Add(std::size_t aStore, const StoreEvent& aEvent)
{
  Store& store = m_stores[aStore];
  const std::uint64_t key = PartKey(aEvent.m_part.m_scope, aEvent.m_part.m_id);
  Part& part = store.m_parts[key];
  store.m_usedTokens += aEvent.m_tokens - part.m_tokens;
  part = { aEvent.m_part, aEvent.m_tokens, aEvent.m_model, m_owner.Now() };
  NoteChange(aStore, key, aEvent.m_tokens);
}

void
StoreDesk::Remove(std::size_t aStore, std::uint64_t aKey)
{
  Store& store = m_stores[aStore];
  const auto place = store.m_parts.find(aKey);
  if (place == store.m_parts.end()) {
    return;
  }
  store.m_usedTokens -= place->second.m_tokens;
  store.m_parts.erase(place);
  NoteChange(aStore, aKey, 0);
}

void
StoreDesk::Clear(std::size_t aStore)
{
  Store& store = m_stores[aStore];
  for (const auto& [key, part] : store.m_parts) {
    NoteChange(aStore, key, 0);
  }
  store.m_parts.clear();
  store.m_usedTokens = 0;
}

void
StoreDesk::Release(std::size_t aStore, std::uint64_t aKey)
{
  Store& store = m_stores[aStore];
  const auto place = store.m_parts.find(aKey);
  if (place == store.m_parts.end()) {
    return;
  }
  const Duration readers = m_lease.m_map + m_lease.m_fetch + kFreeMargin;
  const std::int64_t tokens = place->second.m_tokens;
  store.m_leavingTokens += tokens;
  store.m_leaving.push_back(
    { place->second.m_name, tokens, m_owner.Now() + readers });
  Remove(aStore, aKey);
}

void
StoreDesk::OnWeights(const std::map<std::string, std::int64_t>& aNewest)
{
  m_newest = aNewest;
  for (std::size_t i = 0; i < m_stores.size(); ++i) {
    std::vector<std::uint64_t> old;
    for (const auto& [key, part] : m_stores[i].m_parts) {
      const auto newest = m_newest.find(part.m_model);
      const std::int64_t weights = WeightsOfScope(part.m_name.m_scope);
      if (newest != m_newest.end() && weights >= 0 &&
          weights < newest->second) {
        old.push_back(key);
      }
    }
    for (const std::uint64_t key : old) {
      Release(i, key);
    }
  }
}

void
StoreDesk::OnUsed(const std::vector<std::uint64_t>& aKeys)
{
  for (Store& store : m_stores) {
    for (const std::uint64_t key : aKeys) {
      const auto place = store.m_parts.find(key);
      if (place != store.m_parts.end()) {
        place->second.m_used = m_owner.Now();
      }
    }
  }
}

void
StoreDesk::MakeRoom(std::size_t aStore)
{
  Store& store = m_stores[aStore];
  const std::int64_t capacity = store.m_brief.m_capacity;
  const bool hasRoom =
    std::any_of(m_stores.begin(), m_stores.end(), [](const Store& aEach) {
      return aEach.m_brief.m_isUp &&
             Held(aEach) * 100 < aEach.m_brief.m_capacity * kFullPercent;
    });
  if (hasRoom) {
    return;
  }
  std::vector<std::pair<TimePoint, std::uint64_t>> byUse;
  byUse.reserve(store.m_parts.size());
  for (const auto& [key, part] : store.m_parts) {
    byUse.emplace_back(part.m_used, key);
  }
  std::sort(byUse.begin(), byUse.end());
  for (const auto& [used, key] : byUse) {
    if (Held(store) * 100 < capacity * kEmptiedPercent) {
      return;
    }
    Release(aStore, key);
  }
}

void
StoreDesk::StartFree(std::size_t aStore)
{
  Store& store = m_stores[aStore];
  const TimePoint now = m_owner.Now();
  const bool isDue = !store.m_leaving.empty() &&
                     now >= store.m_leaving.front().m_notBefore &&
                     now >= m_mayFreeFrom;
  if (!isDue || store.m_isFreeing || !store.m_brief.m_isUp || m_clockMs == 0) {
    return;
  }
  std::vector<PartName> parts;
  while (!store.m_leaving.empty() && parts.size() < kMostFreed &&
         now >= store.m_leaving.front().m_notBefore) {
    PartName part = std::move(store.m_leaving.front().m_name);
    store.m_leavingTokens -= store.m_leaving.front().m_tokens;
    store.m_leaving.pop_front();
    // A part that was saved again meanwhile is in the map: leave it.
    if (store.m_parts.count(PartKey(part.m_scope, part.m_id)) == 0) {
      parts.push_back(std::move(part));
    }
  }
  if (parts.empty()) {
    return;
  }
  store.m_isFreeing = true;
  store.m_mayListFrom = now + kFreeValid + kListMargin;
  Start(CallKind::Free,
        aStore,
        m_protocol->Free(
          parts, store.m_epoch, WorkersClockMs() + ToMillis(kFreeValid)),
        kCallTimeout);
}

void
StoreDesk::NoteChange(std::size_t aStore,
                      std::uint64_t aKey,
                      std::int64_t aTokens)
{
  m_changes.push_back({ static_cast<std::uint32_t>(aStore), aKey, aTokens });
}

StorePush
StoreDesk::MakeFull() const
{
  StorePush push;
  push.m_to = m_state;
  push.m_hasStores = true;
  for (std::size_t i = 0; i < m_stores.size(); ++i) {
    push.m_stores.push_back(m_stores[i].m_brief);
    for (const auto& [key, part] : m_stores[i].m_parts) {
      push.m_changes.push_back(
        { static_cast<std::uint32_t>(i), key, part.m_tokens });
    }
  }
  return push;
}

void
StoreDesk::Flush()
{
  if (m_changes.empty() && !m_haveStoresChanged) {
    return;
  }
  StorePush push;
  push.m_from = m_flushed;
  push.m_to = ++m_state;
  push.m_hasStores = m_haveStoresChanged;
  if (m_haveStoresChanged) {
    for (const Store& store : m_stores) {
      push.m_stores.push_back(store.m_brief);
    }
  }
  push.m_changes = std::move(m_changes);
  m_changes.clear();
  m_haveStoresChanged = false;
  const std::uint64_t before = m_flushed;
  m_flushed = m_state;
  for (auto& [vm, session] : m_owner.Entries().All()) {
    const bool isNext = before != 0 && session.m_storesPushed == before;
    if (isNext && session.m_connection != ConnectionId()) {
      session.m_storesPushed = m_state;
      session.m_storesPushedAt = m_owner.Now();
      m_owner.Push(session.m_connection, push);
    }
  }
}

void
StoreDesk::PushTo(EntrySession& aSession)
{
  const TimePoint now = m_owner.Now();
  const bool isHeld = aSession.m_last.m_stores == m_flushed;
  const bool isOnItsWay = aSession.m_storesPushed == m_flushed &&
                          now < aSession.m_storesPushedAt + kPushRepeat;
  if (m_flushed == 0 || isHeld || isOnItsWay ||
      aSession.m_connection == ConnectionId()) {
    return;
  }
  // Waiting changes first: the full state includes them.
  Flush();
  aSession.m_storesPushed = m_flushed;
  aSession.m_storesPushedAt = now;
  m_owner.Push(aSession.m_connection, MakeFull());
}

std::size_t
StoreDesk::Parts() const
{
  std::size_t parts = 0;
  for (const Store& store : m_stores) {
    parts += store.m_parts.size();
  }
  return parts;
}

} // namespace fulmarquay
