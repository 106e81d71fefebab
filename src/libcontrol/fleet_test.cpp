// Tests of the control node's fleet and store management, with a fake context
// and fake protocols whose answers the tests set.
#include "fulmarquay/control/ControlNode.h"
#include "fulmarquay/control/EntryRegistry.h"
#include "fulmarquay/control/FleetManager.h"
#include "fulmarquay/control/StoreManager.h"
#include "fulmarquay/core/Error.h"
#include "fulmarquay/wire/Frame.h"

#include <map>
#include <set>

// Included last because its macros clash with names in other headers.
#include <criterion/criterion.h>

using namespace fulmarquay;

namespace {

constexpr Duration kMillisecond(1'000);

class FakeFleetContext : public FleetContext
{
public:
  FakeFleetContext()
    : m_entries(Duration(5'000'000))
  {
  }

  TimePoint Now() const override { return m_now; }
  bool HoldsLeaderLease() const override { return m_mayLead; }
  bool IsLeading() const override { return m_isLeading; }
  std::uint64_t CurrentTerm() const override { return 1; }
  std::uint32_t LowestFeatureLevel() const override { return m_level; }
  std::string LeaderAddress() const override { return m_leader; }
  const PublishedState& Published() const override { return m_published; }
  EntryRegistry& Entries() override { return m_entries; }
  void ProposeFor(CallerId, const ControlCommand& aCommand) override
  {
    m_proposed.push_back(aCommand);
  }
  CallId CallUpstream(HttpCall aCall) override
  {
    m_calls.push_back(std::move(aCall));
    m_calls.back().m_call = CallId(++m_number);
    return m_calls.back().m_call;
  }
  void Answer(CallerId, OperatorAnswer aAnswer) override
  {
    m_answers.push_back(std::move(aAnswer));
  }
  void Push(ConnectionId, ControlMessage aMessage) override
  {
    m_pushes.push_back(std::move(aMessage));
  }
  void Log(LogEvent aEvent,
           std::vector<std::pair<std::string, std::string>>) override
  {
    m_logged.insert(aEvent);
  }

  OperatorAnswer::Kind LastAnswer() const { return m_answers.back().m_kind; }

  TimePoint m_now{ Duration(1'000'000'000) };
  bool m_mayLead = true;
  std::uint32_t m_level = kFeatureLevel;
  bool m_isLeading = true;
  std::string m_leader;
  PublishedState m_published;
  EntryRegistry m_entries;
  std::vector<ControlCommand> m_proposed;
  std::vector<HttpCall> m_calls;
  std::vector<OperatorAnswer> m_answers;
  std::vector<ControlMessage> m_pushes;
  std::set<LogEvent> m_logged;
  std::uint64_t m_number = 0;
};

/// Returns the workers and observations set by the test; ignores bodies, except
/// for "torn", which it rejects as malformed.
class FakeFleetProtocol : public FleetProtocol
{
public:
  HttpRequest ListPage(const std::string&) const override
  {
    return { "GET", "list", {}, "" };
  }
  WorkerPage ParsePage(const std::string& aBody) const override
  {
    if (aBody == "torn") {
      throw Error("read VM list", "", "torn");
    }
    return m_page;
  }
  HttpRequest Observe() const override { return { "GET", "observe", {}, "" }; }
  EngineObservation ParseObservation(const std::string&) const override
  {
    return m_observation;
  }
  HttpRequest Load(const LoadOrder& aOrder) const override
  {
    return { "POST", "load " + std::to_string(aOrder.m_version), {}, "" };
  }
  OrderOutcome ReadOrderStatus(int aStatus) const override
  {
    return aStatus == 202 ? OrderOutcome::Accepted : OrderOutcome::Failed;
  }
  RouteDocument ParseRoutes(const std::string& aSource) const override
  {
    RouteDocument document;
    document.m_routes["r" + aSource].m_host = aSource;
    return document;
  }

  WorkerPage m_page;
  EngineObservation m_observation;
};

struct FleetFixture
{
  FleetFixture()
    : m_protocol(new FakeFleetProtocol)
    , m_manager(m_context,
                FleetOptions(),
                std::unique_ptr<FleetProtocol>(m_protocol),
                nullptr)
  {
    m_manager.OnLeadership(true, Duration(0));
  }

  void Publish(std::uint64_t aRevision, const std::string& aSource)
  {
    m_context.m_published.Publish({ Revision(aRevision), aSource });
    m_manager.OnStateApplied();
  }

  EntrySession& SendHeartbeat(std::uint64_t aRoutes)
  {
    EntryHeartbeat heartbeat;
    heartbeat.m_vm = VmId("e1");
    heartbeat.m_routes = Revision(aRoutes);
    EntrySession& session = m_context.m_entries.OnHeartbeat(
      m_context.m_now, ConnectionId(1), heartbeat);
    m_manager.PushTo(session);
    return session;
  }

  void AnswerLast(int aStatus,
                  const std::string& aBody = "",
                  CallResult aEnd = CallResult::Complete)
  {
    const CallId call = m_context.m_calls.back().m_call;
    m_manager.OnAnswered({ call, aEnd, aStatus, aBody });
  }

  FakeFleetContext m_context;
  FakeFleetProtocol* m_protocol;
  FleetManager m_manager;
};

PublishRoutes
MakeValidRoutes(std::uint64_t aRevision)
{
  PublishRoutes publish;
  publish.m_document.m_revision = Revision(aRevision);
  publish.m_source = "s";
  return publish;
}

WorkerInfo
MakeWorker(const std::string& aId, std::int64_t aVersion)
{
  WorkerInfo worker;
  worker.m_id = WorkerId(aId);
  worker.m_pool = PoolId("p");
  worker.m_address = "10.0.0.1:80";
  worker.m_weights["m"] = aVersion;
  return worker;
}

} // namespace

Test(publish_table, highest_revision_and_version_win_in_any_order)
{
  PublishedState table;
  cr_assert(table.Publish({ Revision(5), "five" }));
  cr_assert_not(table.Publish({ Revision(5), "other content" }));
  cr_assert_not(table.Publish({ Revision(3), "three" }));
  cr_assert_eq(table.Source(), "five");
  cr_assert(table.SetWeights({ "m", 2 }));
  cr_assert_not(table.SetWeights({ "m", 2 }));
  cr_assert_not(table.SetWeights({ "m", 1 }));
}

Test(operators, each_state_gives_the_expected_answer)
{
  using Kind = OperatorAnswer::Kind;
  FleetFixture fixture;
  fixture.m_manager.OnOperatorRequest(CallerId(1), ReadRoutes());
  cr_assert_eq(fixture.m_context.LastAnswer(), Kind::Unavailable);
  fixture.m_manager.OnOperatorRequest(CallerId(2), MakeValidRoutes(4));
  cr_assert(fixture.m_context.m_answers.size() == 1,
            "answered before the commit");
  fixture.Publish(4, "four");
  fixture.m_manager.OnCommitted(CallerId(2));
  cr_assert_eq(fixture.m_context.LastAnswer(), Kind::Done);
  const std::size_t proposed = fixture.m_context.m_proposed.size();
  for (const std::uint64_t revision : { 4U, 3U }) {
    fixture.m_manager.OnOperatorRequest(CallerId(3), MakeValidRoutes(revision));
    cr_assert_eq(fixture.m_context.LastAnswer(), Kind::Done, "a resend");
  }
  cr_assert_eq(
    fixture.m_context.m_proposed.size(), proposed, "a resend proposes nothing");
  fixture.m_manager.OnOperatorRequest(CallerId(4), ReadRoutes());
  cr_assert_eq(fixture.m_context.m_answers.back().m_text, "four");
  PublishRoutes wrong = MakeValidRoutes(3);
  wrong.m_document.m_routes["r"];
  fixture.m_manager.OnOperatorRequest(CallerId(5), wrong);
  cr_assert_eq(
    fixture.m_context.LastAnswer(), Kind::Invalid, "invalid and old");
}

// A frame of a committed document above the limit ended one leader after the
// other.
Test(operators, a_document_that_fits_into_no_frame_is_invalid)
{
  using Kind = OperatorAnswer::Kind;
  FleetFixture fixture;
  const std::size_t proposed = fixture.m_context.m_proposed.size();
  PublishRoutes longText = MakeValidRoutes(3);
  longText.m_source = std::string(kMaxFrameBytes - 100, ' ');
  fixture.m_manager.OnOperatorRequest(CallerId(1), longText);
  cr_assert_eq(fixture.m_context.LastAnswer(), Kind::Invalid);
  // Keys take more bytes as hashes than in the text.
  PublishRoutes manyKeys = MakeValidRoutes(3);
  AccountRule& account = manyKeys.m_document.m_accounts["t"];
  for (std::size_t i = 0; i < kMaxFrameBytes / 60; ++i) {
    std::string hash = std::to_string(i);
    hash.resize(64, 'x');
    account.m_keyHashes.push_back(std::move(hash));
  }
  fixture.m_manager.OnOperatorRequest(CallerId(2), manyKeys);
  cr_assert_eq(fixture.m_context.LastAnswer(), Kind::Invalid);
  cr_assert_eq(fixture.m_context.m_proposed.size(), proposed);
  fixture.m_manager.OnOperatorRequest(CallerId(3), MakeValidRoutes(3));
  cr_assert_eq(fixture.m_context.m_proposed.size(), proposed + 1);
}

Test(operators, requests_are_refused_without_a_lease)
{
  using Kind = OperatorAnswer::Kind;
  FleetFixture fixture;
  fixture.Publish(4, "four");
  fixture.m_context.m_mayLead = false;
  const std::vector<OperatorRequest> requests = {
    ReadRoutes(), MakeValidRoutes(4), MakeValidRoutes(9), NameWeights{ "m", 2 }
  };
  for (const OperatorRequest& request : requests) {
    // An elected leader whose lease expired must not redirect callers to
    // itself.
    fixture.m_context.m_isLeading = true;
    fixture.m_context.m_leader = "10.0.0.1:1";
    fixture.m_manager.OnOperatorRequest(CallerId(1), request);
    cr_assert_eq(fixture.m_context.LastAnswer(), Kind::Unavailable);
    fixture.m_context.m_isLeading = false;
    fixture.m_manager.OnOperatorRequest(CallerId(1), request);
    cr_assert_eq(fixture.m_context.LastAnswer(), Kind::Redirect);
    fixture.m_context.m_leader.clear();
    fixture.m_manager.OnOperatorRequest(CallerId(1), request);
    cr_assert_eq(fixture.m_context.LastAnswer(), Kind::Unavailable);
  }
  cr_assert(fixture.m_context.m_proposed.empty());
}

Test(pushes, an_entry_gets_every_document_in_order)
{
  FleetFixture fixture;
  fixture.Publish(4, "a");
  fixture.SendHeartbeat(0);
  fixture.Publish(6, "b");
  fixture.Publish(9, "c");
  RouteDocument held;
  for (const ControlMessage& message : fixture.m_context.m_pushes) {
    if (const auto* push = std::get_if<RoutePush>(&message)) {
      ApplyDelta(held, push->m_delta);
    }
  }
  cr_assert_eq(held.m_revision, Revision(9));
  cr_assert_eq(held.m_routes.size(), 1U);
  cr_assert_eq(held.m_routes.count("rc"), 1U);
  // An unconfirmed push is repeated.
  const std::size_t before = fixture.m_context.m_pushes.size();
  fixture.m_context.m_now += 1'500 * kMillisecond;
  fixture.SendHeartbeat(0);
  cr_assert_gt(fixture.m_context.m_pushes.size(), before);
}

Test(blocked_parts, a_part_is_released_when_it_is_sound_or_after_some_time)
{
  for (const bool isSound : { true, false }) {
    FleetFixture fixture;
    const RequestPartId part(7);
    fixture.m_context.m_published.SetBlocked({ part, true });
    fixture.m_manager.OnStateApplied();
    cr_assert_eq(fixture.m_context.m_logged.count(LogEvent::PartBlocked), 1U);
    fixture.m_context.m_now += 1'000 * kMillisecond;
    fixture.m_manager.OnTick();
    cr_assert(fixture.m_context.m_proposed.empty());
    if (isSound) {
      fixture.m_manager.OnPartReport({ {}, { { part, 0 } } });
      fixture.m_context.m_now += 100 * kMillisecond;
    } else {
      fixture.m_context.m_now += 700'000 * kMillisecond;
    }
    fixture.m_manager.OnTick();
    cr_assert_eq(fixture.m_context.m_proposed.size(), 1U);
    const auto& command =
      std::get<BlockPartCommand>(fixture.m_context.m_proposed.front());
    cr_assert_eq(command.m_part, part);
    cr_assert_not(command.m_isBlocked);
  }
}

Test(vm_list, failed_fetch_keeps_the_previous_list)
{
  FleetFixture fixture;
  fixture.m_protocol->m_page.m_workers = { MakeWorker("a", 1),
                                           MakeWorker("b", 1) };
  fixture.m_manager.OnTick();
  fixture.AnswerLast(200);
  cr_assert_eq(fixture.m_manager.Workers().Workers().size(), 2U);
  const std::vector<std::pair<int, std::string>> failures = { { 429, "" },
                                                              { 200, "torn" },
                                                              { 500, "" } };
  for (const auto& [status, body] : failures) {
    fixture.m_context.m_now += 1'100 * kMillisecond;
    fixture.m_manager.OnTick();
    fixture.AnswerLast(status, body);
    cr_assert_eq(fixture.m_manager.Workers().Workers().size(), 2U);
  }
  cr_assert_eq(fixture.m_context.m_logged.count(LogEvent::VmListFailed), 1U);
}

Test(vm_list, entries_that_describe_no_worker_are_logged_when_they_appear)
{
  FleetFixture fixture;
  fixture.m_protocol->m_page.m_workers = { MakeWorker("a", 1) };
  const auto isLogged = [&](std::size_t aSkipped) {
    fixture.m_protocol->m_page.m_skipped = aSkipped;
    fixture.m_context.m_logged.clear();
    fixture.m_context.m_now += 1'100 * kMillisecond;
    fixture.m_manager.OnTick();
    fixture.AnswerLast(200);
    return fixture.m_context.m_logged.count(LogEvent::VmListChanged) == 1;
  };
  cr_assert(isLogged(0));
  cr_assert_not(isLogged(0));
  cr_assert(isLogged(1));
  cr_assert_not(isLogged(1));
}

Test(vm_list, pages_without_an_end_do_not_stop_the_list)
{
  constexpr std::size_t kCallLimit = 1'000;
  for (const bool isRepeated : { true, false }) {
    FleetFixture fixture;
    fixture.m_protocol->m_page.m_workers = { MakeWorker("a", 1) };
    for (int refresh = 0; refresh < 3; ++refresh) {
      fixture.m_context.m_now += 1'100 * kMillisecond;
      fixture.m_context.m_calls.clear();
      fixture.m_manager.OnTick();
      std::size_t answered = 0;
      while (answered < fixture.m_context.m_calls.size() &&
             answered < kCallLimit) {
        ++answered;
        fixture.m_protocol->m_page.m_next =
          isRepeated ? "p" : "p" + std::to_string(answered);
        fixture.AnswerLast(200);
      }
      cr_assert_lt(answered, kCallLimit);
      cr_assert_geq(answered, 1U, "the list is fetched again");
      cr_assert_eq(fixture.m_manager.Workers().Workers().size(), 1U);
    }
    cr_assert_eq(fixture.m_context.m_logged.count(LogEvent::VmListCut), 1U);
    fixture.m_protocol->m_page.m_next = "";
    fixture.m_protocol->m_page.m_workers = { MakeWorker("b", 1) };
    fixture.m_context.m_now += 1'100 * kMillisecond;
    fixture.m_manager.OnTick();
    fixture.AnswerLast(200);
    cr_assert_eq(fixture.m_manager.Workers().Workers()[0].m_id, WorkerId("b"));
  }
}

Test(vm_list, observed_version_overrides_an_older_list)
{
  WorkerDirectory workers;
  workers.AddPage({ { MakeWorker("a", 1) }, "", 0 });
  cr_assert(workers.OnObserved(WorkerId("a"), "m", 2));
  cr_assert_not(workers.OnObserved(WorkerId("a"), "m", 2));
  workers.BeginRefresh();
  cr_assert_not(workers.AddPage({ { MakeWorker("a", 1) }, "", 0 }));
  cr_assert_eq(workers.Workers()[0].m_weights.at("m"), 2);
  // A new incarnation under the same id may have the old version again.
  WorkerInfo restarted = MakeWorker("a", 1);
  restarted.m_createdMs = 7;
  workers.BeginRefresh();
  cr_assert(workers.AddPage({ { restarted }, "", 0 }));
  cr_assert_eq(workers.Workers()[0].m_weights.at("m"), 1);
}

// Guards against keeping one model a worker: orders for all others were never
// issued, and requests for them were refused for good.
Test(vm_list, each_outdated_model_of_a_worker_is_ordered)
{
  FleetFixture fixture;
  WorkerInfo worker = MakeWorker("a", 1);
  worker.m_weights["n"] = 1;
  fixture.m_protocol->m_page.m_workers = { worker };
  fixture.m_protocol->m_observation = { { { "m", "1" }, { "n", "1" } },
                                        false,
                                        0 };
  fixture.m_context.m_published.SetWeights({ "m", 2 });
  fixture.m_context.m_published.SetWeights({ "n", 3 });
  fixture.m_manager.OnStateApplied();
  std::set<std::string> targets;
  for (int i = 0; i < 500; ++i) {
    const std::size_t calls = fixture.m_context.m_calls.size();
    fixture.m_manager.OnTick();
    if (fixture.m_context.m_calls.size() != calls) {
      fixture.AnswerLast(200);
    }
    fixture.m_context.m_now += 50 * kMillisecond;
  }
  for (const ControlCommand& command : fixture.m_context.m_proposed) {
    targets.insert(std::get<IssueOrderCommand>(command).m_target);
  }
  cr_assert_eq(targets, (std::set<std::string>{ "2", "3" }));
}

namespace {

/// Returns the events and usage set by the test; the body of a free order is
/// its part ids.
class FakeStoreProtocol : public PartStoreProtocol
{
public:
  HttpRequest Events(std::uint64_t, Duration) const override
  {
    return { "GET", "events", {}, "" };
  }
  StoreEventBatch ParseEvents(const std::string&) const override
  {
    return m_batch;
  }
  HttpRequest List() const override { return { "GET", "list", {}, "" }; }
  StoreEventBatch ParseList(const std::string&) const override
  {
    return m_batch;
  }
  HttpRequest Usage() const override { return { "GET", "fill", {}, "" }; }
  StoreUsage ParseUsage(const std::string&) const override { return m_usage; }
  HttpRequest Free(const std::vector<PartName>& aParts,
                   std::uint64_t,
                   std::int64_t) const override
  {
    HttpRequest request{ "POST", "free", {}, "" };
    for (const PartName& part : aParts) {
      request.m_body += part.m_id + " ";
    }
    return request;
  }

  StoreEventBatch m_batch;
  StoreUsage m_usage;
};

struct StoreFixture
{
  explicit StoreFixture(std::int64_t aCapacity = 1'000)
    : m_protocol(new FakeStoreProtocol)
    , m_manager(m_context,
                StoreTimeouts(),
                std::unique_ptr<PartStoreProtocol>(m_protocol))
  {
    m_manager.OnLeadership();
    RouteDocument document;
    document.m_pools["s"].m_storeAddress = "10.0.0.9:1";
    document.m_pools["s"].m_storeCapacityTokens = aCapacity;
    m_manager.Configure(document);
    m_protocol->m_batch.m_epoch = 7;
    m_protocol->m_batch.m_clockMs = 5'000;
    Advance(3'000);
  }

  /// Advances the clock; each call is answered at once with the current state
  /// of the fake protocol.
  void Advance(std::int64_t aMillis)
  {
    for (std::int64_t passed = 0; passed < aMillis; passed += 20) {
      m_context.m_now += 20 * kMillisecond;
      m_manager.OnTick();
      while (m_answered < m_context.m_calls.size()) {
        const HttpCall call = m_context.m_calls[m_answered++];
        if (call.m_request.m_target == "free") {
          m_freed += call.m_request.m_body;
        }
        const int status =
          call.m_request.m_target == "free" ? m_freeStatus : 200;
        m_manager.OnAnswered({ call.m_call, CallResult::Complete, status, "" });
        if (call.m_request.m_target == "events") {
          m_protocol->m_batch.m_events.clear();
        }
      }
    }
  }

  void AddEvent(const std::string& aId,
                std::int64_t aTokens,
                const std::string& aScope = "w1")
  {
    m_protocol->m_batch.m_events.push_back({ ++m_protocol->m_batch.m_next,
                                             aTokens > 0,
                                             { aScope, aId },
                                             aTokens,
                                             "m" });
  }

  FakeFleetContext m_context;
  FakeStoreProtocol* m_protocol;
  StoreManager m_manager;
  std::size_t m_answered = 0;
  std::string m_freed;
  int m_freeStatus = 200;
};

} // namespace

Test(stores, parts_of_older_weights_are_freed_after_their_last_reader)
{
  StoreFixture fixture;
  fixture.AddEvent("a", 100);
  fixture.AddEvent("b", 100, "w2");
  fixture.Advance(100);
  cr_assert_eq(fixture.m_manager.PartCount(), 2U);
  fixture.Advance(8'000); // reads under an earlier leader have expired
  fixture.m_manager.OnNewestWeights({ { "m", 2 } });
  cr_assert_eq(
    fixture.m_manager.PartCount(), 1U, "it must leave the map at once");
  const StoreTimeouts timeouts;
  const std::int64_t readLimitMs =
    (timeouts.m_mapLease + timeouts.m_fetchTimeout).count() / 1'000;
  fixture.Advance(readLimitMs);
  cr_assert(fixture.m_freed.empty(), "a fetch may still be in flight");
  fixture.Advance(1'500);
  cr_assert_eq(fixture.m_freed, "a ");
}

Test(stores, new_leader_frees_nothing_until_earlier_reads_have_expired)
{
  StoreFixture fixture;
  fixture.AddEvent("a", 100);
  fixture.Advance(100);
  fixture.m_manager.OnNewestWeights({ { "m", 2 } });
  fixture.m_manager.OnLeadership();
  fixture.Advance(6'000);
  cr_assert(fixture.m_freed.empty());
}

Test(stores, new_leader_lists_after_earlier_free_orders_have_expired)
{
  StoreFixture fixture;
  fixture.AddEvent("a", 100);
  fixture.Advance(100);
  RouteDocument document;
  document.m_pools["s"].m_storeAddress = "10.0.0.9:1";
  document.m_pools["s"].m_storeCapacityTokens = 1'000;
  fixture.m_manager.OnLeadership();
  fixture.m_manager.Configure(document);
  fixture.Advance(200);
  cr_assert_eq(
    fixture.m_manager.PartCount(), 0U, "a free order may still be in flight");
  fixture.AddEvent("a", 100);
  fixture.Advance(400);
  cr_assert_eq(fixture.m_manager.PartCount(), 1U);
}

Test(stores, parts_that_were_not_freed_are_listed_again)
{
  StoreFixture fixture;
  fixture.AddEvent("a", 100);
  fixture.Advance(8'000);
  fixture.m_manager.OnNewestWeights({ { "m", 2 } });
  fixture.m_freeStatus = 409;
  fixture.Advance(7'900);
  cr_assert_eq(fixture.m_freed, "a ");
  fixture.AddEvent("a", 100);
  fixture.Advance(600);
  cr_assert_eq(fixture.m_manager.PartCount(), 1U);
}

// Guards against a list of all parts after each free order of a store that
// accepts it with another success status than 200.
Test(stores, parts_are_freed_by_any_success_status)
{
  constexpr int kAccepted = 202;
  StoreFixture fixture;
  fixture.m_freeStatus = kAccepted;
  fixture.AddEvent("a", 100);
  fixture.Advance(8'000);
  const auto countLists = [&] {
    return std::count_if(
      fixture.m_context.m_calls.begin(),
      fixture.m_context.m_calls.end(),
      [](const HttpCall& aEach) { return aEach.m_request.m_target == "list"; });
  };
  const auto before = countLists();
  fixture.m_manager.OnNewestWeights({ { "m", 2 } });
  fixture.Advance(20'000);
  cr_assert_eq(fixture.m_freed, "a ");
  cr_assert_eq(countLists(), before);
}

Test(stores, copy_of_an_earlier_answer_changes_nothing)
{
  StoreFixture fixture;
  fixture.AddEvent("a", 10);
  const StoreEventBatch earlier = fixture.m_protocol->m_batch;
  fixture.Advance(20);
  fixture.AddEvent("a", 0);
  fixture.Advance(20);
  cr_assert_eq(fixture.m_manager.PartCount(), 0U);
  const StoreEventBatch current = fixture.m_protocol->m_batch;
  fixture.m_protocol->m_batch = earlier;
  fixture.Advance(20);
  cr_assert_eq(fixture.m_manager.PartCount(), 0U);
  // The next answer is applied as usual.
  fixture.m_protocol->m_batch = current;
  fixture.AddEvent("b", 20);
  fixture.Advance(20);
  cr_assert_eq(fixture.m_manager.PartCount(), 1U);
}

Test(stores, full_store_evicts_least_recently_used_parts)
{
  StoreFixture fixture(1'000);
  for (int i = 0; i < 9; ++i) {
    fixture.AddEvent("p" + std::to_string(i), 100);
    fixture.Advance(100);
  }
  fixture.m_manager.OnPartsUsed({ PartKey("w1", "p0") });
  fixture.AddEvent("p9", 100);
  fixture.Advance(12'000);
  cr_assert_eq(fixture.m_freed, "p1 p2 ", "%s", fixture.m_freed.c_str());
}

Test(stores, tokens_of_unknown_parts_count_as_used)
{
  StoreFixture fixture(1'000);
  for (int i = 0; i < 6; ++i) {
    fixture.AddEvent("p" + std::to_string(i), 100);
    fixture.Advance(100);
  }
  fixture.Advance(8'000);
  cr_assert(fixture.m_freed.empty());
  fixture.m_protocol->m_usage = { 960, 1'000 };
  fixture.Advance(12'000);
  cr_assert_eq(fixture.m_freed, "p0 ", "%s", fixture.m_freed.c_str());
}

Test(stores, restarted_store_holds_only_listed_parts)
{
  StoreFixture fixture;
  fixture.AddEvent("a", 100);
  fixture.Advance(100);
  fixture.m_protocol->m_batch.m_epoch = 8;
  fixture.Advance(3'000);
  cr_assert_eq(fixture.m_manager.PartCount(), 0U);
}

// Guards against a part that was saved for one model and read for another one:
// stores name parts by scope and id only.
Test(stores, scopes_of_models_and_accounts_differ)
{
  const std::vector<std::pair<std::string, std::string>> owners = {
    { "a", "" }, { "b", "" }, { "a", "b" }, { "a.b", "" }, { "a", "1:b" }
  };
  std::set<std::string> scopes;
  for (const auto& [model, account] : owners) {
    scopes.insert(MakeCacheScope(1, model, { account, "" }));
  }
  cr_assert_eq(scopes.size(), owners.size());
}

Test(stores, weight_version_is_parsed_from_a_scope)
{
  cr_assert_eq(WeightsOfScope(MakeCacheScope(12, "m", {})), 12);
  cr_assert_eq(WeightsOfScope(MakeCacheScope(3, "m", { "acc.w9", "" })), 3);
  for (const char* foreign : { "", "w", "x1", "w1x", "1" }) {
    cr_assert_eq(WeightsOfScope(foreign), -1, "%s", foreign);
  }
}

namespace {

/// The only voter of a control group, restarted with a log of commands.
class SingleReplica
{
public:
  explicit SingleReplica(const std::vector<ControlCommand>& aCommands)
  {
    ReplicaOptions options;
    options.m_self = { ReplicaId(1), "vm1", "10.0.0.1:1" };
    RecoveredState state;
    state.m_hardState.m_term = Term(1);
    state.m_snapshot.m_membership.m_voters = { options.m_self };
    for (const ControlCommand& command : aCommands) {
      LogEntry entry;
      entry.m_index = LogIndex(state.m_entries.size() + 1);
      entry.m_term = Term(1);
      entry.m_kind = static_cast<std::uint8_t>(EntryKind::Command);
      entry.m_payload = PackMessage(command);
      state.m_entries.push_back(std::move(entry));
    }
    m_node = std::make_unique<ControlNode>(
      ControlOptions(),
      std::make_unique<Replica>(options, std::move(state), m_now));
    m_node->AddFleet(
      FleetOptions(), std::make_unique<FakeFleetProtocol>(), nullptr);
  }

  void Advance(std::int64_t aMillis)
  {
    for (std::int64_t passed = 0; passed < aMillis; passed += 20) {
      m_now += 20 * kMillisecond;
      Feed(ReplicaEvent(ReplicaTick{}));
    }
  }

  void SendHeartbeat(const std::string& aVm, std::uint64_t aBoot)
  {
    EntryHeartbeat heartbeat;
    heartbeat.m_vm = VmId(aVm);
    heartbeat.m_boot = BootId(aBoot);
    Feed(ControlMessageReceived{ ConnectionId(1), heartbeat });
  }

  /// Returns the replies to a heartbeat.
  std::vector<HeartbeatReply> SendHeartbeat(const EntryHeartbeat& aHeartbeat)
  {
    m_replies.clear();
    Feed(ControlMessageReceived{ ConnectionId(1), aHeartbeat });
    return m_replies;
  }

  int Logged(LogEvent aEvent) { return m_logged[aEvent]; }
  const ControlNode& Node() const { return *m_node; }
  int OrderCalls() const { return m_orderCalls; }

private:
  void Feed(const ControlEvent& aEvent)
  {
    for (const ControlEffect& effect :
         m_node->Reduce(m_now, WallTime(), aEvent)) {
      if (const auto* line = std::get_if<LogLine>(&effect)) {
        ++m_logged[line->m_event];
      } else if (const auto* batch = std::get_if<PersistBatch>(&effect)) {
        Feed(ReplicaEvent(DiskSynced{ batch->m_number }));
      } else if (const auto* call = std::get_if<StartUpstreamCall>(&effect)) {
        m_orderCalls += call->m_call.m_request.m_method == "POST" ? 1 : 0;
      } else if (const auto* send = std::get_if<SendControl>(&effect)) {
        if (const auto* reply = std::get_if<HeartbeatReply>(&send->m_message)) {
          m_replies.push_back(*reply);
        }
      }
    }
  }

  TimePoint m_now{ Duration(1'000'000'000) };
  std::unique_ptr<ControlNode> m_node;
  std::map<LogEvent, int> m_logged;
  std::vector<HeartbeatReply> m_replies;
  int m_orderCalls = 0;
};

} // namespace

Test(fleet_node, a_new_leader_publishes_the_newest_document_only)
{
  SingleReplica replica({ PublishRoutesCommand{ Revision(2), "a" },
                          NameWeightsCommand{ "m", 2 },
                          PublishRoutesCommand{ Revision(10), "b" },
                          NameWeightsCommand{ "m", 3 },
                          PublishRoutesCommand{ Revision(14), "c" } });
  replica.Advance(2'000);
  cr_assert_eq(replica.Logged(LogEvent::BecameLeader), 1);
  cr_assert_eq(replica.Node().State().Published().Current(), Revision(14));
  cr_assert_eq(replica.Logged(LogEvent::RoutesPublished), 1);
  cr_assert_eq(replica.Logged(LogEvent::WeightsNamed), 1);
}

Test(fleet_node, the_leader_logs_that_an_entry_was_started_again)
{
  SingleReplica replica({});
  replica.Advance(2'000);
  replica.SendHeartbeat("e1", 7);
  replica.SendHeartbeat("e2", 8);
  replica.Advance(1'000);
  replica.SendHeartbeat("e1", 7);
  cr_assert_eq(replica.Logged(LogEvent::EntryRestarted), 0);
  replica.SendHeartbeat("e1", 9);
  replica.SendHeartbeat("e1", 9);
  replica.SendHeartbeat("e2", 8);
  cr_assert_eq(replica.Logged(LogEvent::EntryRestarted), 1);
}

Test(entries, held_tokens_of_other_live_entries_are_summed)
{
  EntryRegistry entries(Duration(5'000'000));
  TimePoint now(Duration(1'000'000'000));
  const auto sendHeartbeat = [&](const std::string& aVm, std::int64_t aTokens) {
    EntryHeartbeat heartbeat;
    heartbeat.m_vm = VmId(aVm);
    heartbeat.m_heldTokens = { { "p", aTokens } };
    entries.OnHeartbeat(now, ConnectionId(1), heartbeat);
    return entries.MakeReply(heartbeat).m_otherEntriesHeldTokens.at("p");
  };
  cr_assert_eq(sendHeartbeat("a", 100), 0);
  cr_assert_eq(sendHeartbeat("b", 40), 100);
  cr_assert_eq(sendHeartbeat("a", 60), 40);
  cr_assert_eq(sendHeartbeat("c", 5), 100);
  now += 4'000 * kMillisecond;
  sendHeartbeat("a", 60);
  sendHeartbeat("c", 5);
  now += 2'000 * kMillisecond;
  entries.Review(now);
  cr_assert_eq(sendHeartbeat("c", 5), 60, "b has expired");
  cr_assert_eq(sendHeartbeat("b", 40), 65, "b is live again");
  entries.Clear();
  cr_assert_eq(sendHeartbeat("a", 10), 0);
}

Test(entries, load_peers_are_all_entries_in_a_small_fleet)
{
  EntryRegistry entries(Duration(5'000'000));
  const TimePoint now(Duration(1'000'000'000));
  const auto sendHeartbeat = [&](int aEntry, std::uint64_t aSeen) {
    EntryHeartbeat heartbeat;
    heartbeat.m_vm = VmId("e" + std::to_string(aEntry));
    heartbeat.m_dataCentre = DataCentreId(aEntry % 4 == 0 ? "d0" : "d1");
    heartbeat.m_heldLoadPeersVersion = aSeen;
    entries.OnHeartbeat(now, ConnectionId(1), heartbeat);
    return entries.MakeReply(heartbeat);
  };
  for (int i = 0; i < 8; ++i) {
    sendHeartbeat(i, 0);
  }
  const HeartbeatReply all = sendHeartbeat(0, 0);
  cr_assert_eq(all.m_loadPeers.size(), 8U);
  cr_assert(sendHeartbeat(0, all.m_loadPeersVersion).m_loadPeers.empty(),
            "no list if the version is known");
  for (int i = 8; i < 40; ++i) {
    sendHeartbeat(i, 0);
  }
  cr_assert_eq(
    sendHeartbeat(0, 0).m_loadPeers.size(), 10U, "those of its data centre");
}

Test(entries, relay_peers_are_spread_over_data_centres_and_evenly_named)
{
  struct Case
  {
    int m_entries;
    std::size_t m_local;
    std::size_t m_remote;
  };
  for (const Case& each :
       { Case{ 6, 1, 4 }, Case{ 60, 8, 8 }, Case{ 300, 8, 8 } }) {
    EntryRegistry entries(Duration(5'000'000));
    const TimePoint now(Duration(1'000'000'000));
    const auto sendHeartbeat = [&](int aEntry, std::uint64_t aSeen) {
      EntryHeartbeat heartbeat;
      heartbeat.m_vm = VmId("e" + std::to_string(aEntry));
      heartbeat.m_dataCentre = DataCentreId("d" + std::to_string(aEntry % 3));
      heartbeat.m_relayAddress = "10.0.0.1:" + std::to_string(aEntry + 1);
      heartbeat.m_heldRelayPeersVersion = aSeen;
      entries.OnHeartbeat(now, ConnectionId(1), heartbeat);
      return entries.MakeReply(heartbeat);
    };
    for (int i = 0; i < each.m_entries; ++i) {
      sendHeartbeat(i, 0);
    }
    std::map<VmId, std::size_t> named;
    for (int i = 0; i < each.m_entries; ++i) {
      const HeartbeatReply reply = sendHeartbeat(i, 0);
      std::set<VmId> peers;
      std::size_t local = 0;
      for (const RelayPeer& peer : reply.m_relayPeers) {
        peers.insert(peer.m_vm);
        ++named[peer.m_vm];
        local += peer.m_dataCentre == DataCentreId("d" + std::to_string(i % 3));
      }
      cr_assert_eq(peers.count(VmId("e" + std::to_string(i))), 0U);
      cr_assert_eq(peers.size(), each.m_local + each.m_remote);
      cr_assert_eq(local, each.m_local);
      cr_assert(
        sendHeartbeat(i, reply.m_relayPeersVersion).m_relayPeers.empty(),
        "no list if the version is known");
    }
    for (const auto& [vm, count] : named) {
      cr_assert_leq(count, 2 * (each.m_local + each.m_remote), "%zu", count);
      cr_assert_geq(2 * count, each.m_local + each.m_remote, "%zu", count);
    }
  }
}

// The other entries would get the address, and ended on it at versions up to
// 2026-12-05.
Test(fleet_node, an_entry_that_states_no_address_is_named_to_no_other)
{
  for (const char* odd : { "e2", "e2:7100", "10.0.0.2", "10.0.0.2:70000" }) {
    for (const bool isRelayAddress : { false, true }) {
      SingleReplica replica({});
      replica.Advance(2'000);
      EntryHeartbeat sound;
      sound.m_vm = VmId("e1");
      sound.m_dataCentre = DataCentreId("dc1");
      sound.m_address = "10.0.0.1:1";
      sound.m_relayAddress = "10.0.0.1:2";
      EntryHeartbeat other = sound;
      other.m_vm = VmId("e2");
      (isRelayAddress ? other.m_relayAddress : other.m_address) = odd;
      cr_assert(replica.SendHeartbeat(other).empty(), "'%s'", odd);
      cr_assert_eq(replica.Logged(LogEvent::BadFrame), 1, "'%s'", odd);
      const std::vector<HeartbeatReply> replies = replica.SendHeartbeat(sound);
      cr_assert_eq(replies.size(), 1);
      cr_assert_eq(replies[0].m_peers.size(), 1, "'%s'", odd);
      cr_assert_eq(replies[0].m_loadPeers.size(), 1, "'%s'", odd);
      cr_assert_eq(replies[0].m_relayPeers.size(), 0, "'%s'", odd);
    }
  }
}
