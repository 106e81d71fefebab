// The way of relayed requests, with a fake form of requests and a worker whose
// answers the tests write.
#include "fulmarquay/core/Digest.h"
#include "fulmarquay/core/Error.h"
#include "fulmarquay/route/RouteDelta.h"
#include "fulmarquay/serve/RelayFlow.h"

#include <functional>
#include <set>

// Last: its macros clash with names in other headers.
#include <criterion/criterion.h>

using namespace fulmarquay;

namespace {

constexpr Duration kMillisecond(1'000);
constexpr std::int64_t kTimeoutMs = 2'000;

/// Facts of an answer travel as `status/flags`: p proven, s stream, n not run,
/// m misdirected.
class FakeProtocol : public RelayProtocol
{
public:
  RelayRequest Decode(HttpRequest aRequest) const override
  {
    if (aRequest.m_method == "BAD") {
      throw Error("read request", "", "bad");
    }
    RelayRequest request;
    request.m_id = FindHeader(aRequest.m_headers, "id");
    request.m_host = "h";
    request.m_path = aRequest.m_target;
    request.m_key = FindHeader(aRequest.m_headers, "key");
    request.m_model = "m";
    request.m_promptTokens = 100;
    request.m_parts = { { "shared", 80 }, { "own", 20 } };
    return request;
  }
  HttpRequest Encode(const RelayRequest& aRequest,
                     const RelayOrder& aOrder) const override
  {
    m_orders.push_back(aOrder);
    return { "POST", aRequest.m_path, {}, "" };
  }
  HttpHeader AnswerMark(const RelayRequest& aRequest) const override
  {
    return { "id", aRequest.m_id };
  }
  RelayHead ReadHead(const HttpResponse& aHead) const override
  {
    const std::string flags = FindHeader(aHead.m_headers, "flags");
    RelayHead head;
    head.m_status = aHead.m_status;
    head.m_isProven = flags.find('p') != std::string::npos;
    head.m_isStream = flags.find('s') != std::string::npos;
    head.m_isMisdirected = flags.find('m') != std::string::npos;
    head.m_isNotRun =
      head.m_isMisdirected || flags.find('n') != std::string::npos;
    return head;
  }
  HttpResponse CallerHead(HttpResponse aHead) const override { return aHead; }
  HttpResponse Refuse(const RelayRequest&,
                      const RelayRefusal& aRefusal) const override
  {
    HttpResponse response;
    response.m_status = aRefusal.m_status;
    response.m_body = aRefusal.m_reason;
    return response;
  }

  mutable std::vector<RelayOrder> m_orders;
};

WorkerInfo
Worker(const std::string& aId, std::int64_t aVersion)
{
  WorkerInfo worker;
  worker.m_id = WorkerId(aId);
  worker.m_pool = PoolId("p");
  worker.m_address = "10.0.0.1:" + std::to_string(8000 + aId.back());
  worker.m_weights["m"] = aVersion;
  return worker;
}

RouteRule
Rule(Repetition aKind, std::int64_t aAttempts)
{
  RouteRule rule;
  rule.m_host = "h";
  rule.m_repetition = static_cast<std::uint8_t>(aKind);
  rule.m_timeoutUs = kTimeoutMs * 1'000;
  rule.m_targetUs = 300'000;
  rule.m_attempts = aAttempts;
  rule.m_pools = { { PoolId("p"), 1 } };
  return rule;
}

/// An entry that serves four routes under a confirmed lease.
class Entry
{
public:
  /// What an entry knows from the start on.
  enum class Knows
  {
    Nothing,
    All
  };

  explicit Entry(Knows aKnows = Knows::All)
    : m_context({}, 1)
    , m_flow(m_context, m_protocol, RelayOptions())
  {
    Begin(0);
    if (aKnows == Knows::All) {
      Learn();
    }
  }

  /// Routes, workers and keys.
  void Learn(std::uint32_t aEntries = 1)
  {
    RouteDocument document;
    document.m_revision = Revision(3);
    document.m_pools["p"].m_engines.m_tokenBytes = 1'000;
    Add(document, "/idempotent/", Rule(Repetition::Idempotent, 2));
    Add(document, "/once/", Rule(Repetition::Once, 2));
    RouteRule stream = Rule(Repetition::Stream, 2);
    Add(document, "/stream/", stream);
    stream.m_isResumable = true;
    stream.m_hasPrompt = true;
    Add(document, "/resumable/", stream);
    RouteRule open = Rule(Repetition::Idempotent, 1);
    open.m_isAnonymous = true;
    Add(document, "/open/", open);
    document.m_accounts["acc"].m_keyHashes = { Sha256Hex("key") };
    document.m_needsKeys = true;
    m_flow.OnRoutes(MakeDelta(RouteDocument(), document));
    SetWorkers({ Worker("w1", 1), Worker("w2", 1), Worker("w3", 1) });
    Confirm(aEntries);
    m_flow.OnTick();
    Take();
  }

  void SetWorkers(std::vector<WorkerInfo> aWorkers, std::int64_t aNamed = -1)
  {
    WorkerList list;
    list.m_number = ++m_list;
    list.m_workers = std::move(aWorkers);
    if (aNamed >= 0) {
      list.m_weights = { { "m", aNamed, 0 } };
    }
    m_flow.OnWorkers(list);
  }

  void Confirm(std::uint32_t aEntries = 1)
  {
    m_flow.OnConfirmed(m_now + 4'000 * kMillisecond, aEntries);
  }

  void Begin(std::int64_t aMillis)
  {
    m_now += aMillis * kMillisecond;
    m_context.Begin(m_now);
  }

  /// Lets time pass in ticks.
  void Pass(std::int64_t aMillis)
  {
    for (std::int64_t passed = 0; passed < aMillis; passed += 20) {
      Begin(20);
      m_flow.OnTick();
      Take();
    }
  }

  void Ask(const std::string& aPath, const std::string& aKey = "key")
  {
    Begin(1);
    HttpRequest request{ "POST",
                         aPath,
                         { { "id", "r" + std::to_string(++m_caller) },
                           { "key", aKey } },
                         "" };
    m_flow.Start(CallerId(m_caller), request);
    Take();
  }

  void Head(int aStatus, const std::string& aFlags)
  {
    Begin(1);
    HttpResponse head;
    head.m_status = aStatus;
    head.m_headers = { { "flags", aFlags } };
    m_flow.OnHead(m_calls.back().m_call, head);
    Take();
  }
  void Data(const std::string& aData)
  {
    Begin(1);
    m_flow.OnData(m_calls.back().m_call, aData);
    Take();
  }
  void End(CallEnd aEnd)
  {
    Begin(1);
    m_flow.OnEnd(m_calls.back().m_call, aEnd, "why");
    Take();
  }

  void Take()
  {
    for (EntryEffect& effect : m_context.TakeEffects()) {
      if (auto* call = std::get_if<StartCall>(&effect)) {
        (call->m_call.m_isProbe ? m_probes : m_calls)
          .push_back(std::move(call->m_call));
      } else if (auto* answer = std::get_if<RespondCaller>(&effect)) {
        m_status = answer->m_response.m_status;
        m_body += answer->m_response.m_body;
        ++m_answers;
      } else if (std::holds_alternative<BeginCallerStream>(effect)) {
        ++m_heads;
      } else if (auto* data = std::get_if<WriteCallerStream>(&effect)) {
        m_body += data->m_data;
      } else if (auto* end = std::get_if<EndCallerStream>(&effect)) {
        m_isWhole = end->m_isWhole;
        ++m_answers;
      } else if (std::holds_alternative<CancelCall>(effect)) {
        ++m_cancels;
      }
    }
  }

  FakeProtocol m_protocol;
  EntryContext m_context;
  RelayFlow m_flow;
  TimePoint m_now{ Duration(1'000'000'000) };
  std::uint64_t m_list = 0;
  std::uint64_t m_caller = 0;
  std::vector<HttpCall> m_calls;
  std::vector<HttpCall> m_probes;
  int m_status = 0;
  std::string m_body;
  int m_answers = 0;
  int m_heads = 0;
  int m_cancels = 0;
  bool m_isWhole = false;

private:
  static void Add(RouteDocument& aDocument,
                  const std::string& aPrefix,
                  RouteRule aRule)
  {
    aRule.m_prefix = aPrefix;
    aDocument.m_routes[aPrefix] = aRule;
  }
};

/// How a worker treats a request, up to the end of its call.
using Fault = std::function<void(Entry&)>;

void
NotSent(Entry& aEntry)
{
  aEntry.End(CallEnd::NotSent);
}
void
Broken(Entry& aEntry)
{
  aEntry.End(CallEnd::Broken);
}
void
NotRun(Entry& aEntry)
{
  aEntry.Head(503, "n");
  aEntry.End(CallEnd::Whole);
}
void
Failure(Entry& aEntry)
{
  aEntry.Head(500, "p");
  aEntry.End(CallEnd::Whole);
}
void
Unproven(Entry& aEntry)
{
  aEntry.Head(200, "");
  aEntry.Data("forged");
  aEntry.End(CallEnd::Whole);
}

struct FaultCase
{
  const char* m_path;
  Fault m_fault;
  std::size_t m_calls; ///< sends after the fault
  int m_status;        ///< 0: the second worker is still at work
};

} // namespace

Test(relay, faults_before_the_first_byte_of_an_answer)
{
  const std::vector<FaultCase> cases = {
    { "/idempotent/x", NotSent, 2, 0 },  { "/idempotent/x", Broken, 2, 0 },
    { "/idempotent/x", NotRun, 2, 0 },   { "/idempotent/x", Failure, 2, 0 },
    { "/idempotent/x", Unproven, 2, 0 }, { "/once/x", NotSent, 2, 0 },
    { "/once/x", NotRun, 2, 0 },         { "/once/x", Broken, 1, 502 },
    { "/once/x", Failure, 1, 500 },      { "/once/x", Unproven, 1, 502 },
    { "/stream/x", NotSent, 2, 0 },      { "/stream/x", NotRun, 2, 0 },
    { "/stream/x", Broken, 1, 502 },     { "/resumable/x", Broken, 2, 0 },
    { "/open/x", Broken, 1, 502 },       { "/open/x", NotRun, 1, 503 },
    { "/open/x", Failure, 1, 500 },
  };
  for (const FaultCase& each : cases) {
    Entry entry;
    entry.Ask(each.m_path);
    each.m_fault(entry);
    cr_assert_eq(entry.m_calls.size(), each.m_calls, "%s", each.m_path);
    cr_assert_eq(entry.m_status, each.m_status, "%s", each.m_path);
    cr_assert_eq(entry.m_body.find("forged"), std::string::npos);
    if (each.m_calls == 2) {
      cr_assert(!(entry.m_calls[0].m_peer == entry.m_calls[1].m_peer));
    }
  }
}

Test(relay, a_second_worker_is_the_last_one)
{
  Entry entry;
  entry.Ask("/idempotent/x");
  Broken(entry);
  Broken(entry);
  cr_assert_eq(entry.m_calls.size(), 2U);
  cr_assert_eq(entry.m_status, 502);
}

Test(relay, once_it_may_have_run_it_is_never_said_not_to_have)
{
  Entry entry;
  entry.Ask("/idempotent/x");
  Broken(entry);
  NotRun(entry);
  cr_assert_eq(entry.m_status, 502);
  Entry late;
  late.Ask("/once/x");
  late.Pass(kTimeoutMs + 100);
  cr_assert_eq(late.m_status, 504);
  cr_assert_eq(late.m_cancels, 1);
}

Test(relay, refusals_by_route_and_key)
{
  struct Case
  {
    const char* m_path;
    const char* m_key;
    bool m_isConfirmed;
    int m_status;
  };
  const std::vector<Case> cases = {
    { "/once/x", "key", true, 0 },   { "/once/x", "other", true, 401 },
    { "/once/x", "", true, 401 },    { "/open/x", "", true, 0 },
    { "/none/x", "key", true, 404 }, { "/once/x", "key", false, 503 },
    { "/open/x", "", false, 0 },     { "/none/x", "key", false, 503 },
    { "/open/x", "key", false, 0 },  { "/once/x", "other", false, 503 },
  };
  for (const Case& each : cases) {
    Entry entry;
    if (!each.m_isConfirmed) {
      entry.Pass(4'100);
    }
    entry.Ask(each.m_path, each.m_key);
    cr_assert_eq(entry.m_status,
                 each.m_status,
                 "%s %s %d",
                 each.m_path,
                 each.m_key,
                 static_cast<int>(each.m_isConfirmed));
  }
}

Test(relay, an_account_is_named_by_its_key_only)
{
  Entry entry;
  entry.Ask("/once/x");
  cr_assert_eq(entry.m_protocol.m_orders.back().m_account, "acc");
  entry.Ask("/open/x", "");
  cr_assert_eq(entry.m_protocol.m_orders.back().m_account, "");
}

Test(relay, a_stream_goes_on_after_its_last_whole_event)
{
  Entry entry;
  entry.Ask("/resumable/x");
  entry.Head(200, "ps");
  entry.Data("id: 1\ndata: a\n\nid: 2\nda");
  entry.Data("ta: b\n\nid: 3\ndata: c");
  Broken(entry);
  cr_assert_eq(entry.m_calls.size(), 2U);
  cr_assert_eq(entry.m_protocol.m_orders.back().m_resumeAfter, 2);
  entry.Head(200, "ps");
  entry.Data("id: 3\ndata: c\n\n");
  entry.End(CallEnd::Whole);
  cr_assert(entry.m_isWhole);
  cr_assert_eq(entry.m_heads, 1);
  cr_assert_eq(entry.m_body,
               "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n");
}

Test(relay, a_stream_that_can_not_go_on_is_cut)
{
  for (const char* path : { "/stream/x", "/resumable/x" }) {
    Entry entry;
    entry.Ask(path);
    entry.Head(200, "ps");
    entry.Data("id: 1\ndata: a\n\nid: 2\n");
    Broken(entry);
    if (entry.m_calls.size() == 2) {
      Broken(entry);
    }
    cr_assert_eq(entry.m_answers, 1);
    cr_assert_not(entry.m_isWhole, "%s", path);
    cr_assert_eq(entry.m_body, "id: 1\ndata: a\n\n");
  }
}

Test(relay, an_end_within_an_event_is_not_whole)
{
  Entry entry;
  entry.Ask("/stream/x");
  entry.Head(200, "ps");
  entry.Data("id: 1\ndata: a\n\nid: 2\n");
  entry.End(CallEnd::Whole);
  cr_assert_eq(entry.m_answers, 1);
  cr_assert_not(entry.m_isWhole);
}

Test(relay, a_caller_who_leaves_ends_the_work)
{
  Entry entry;
  entry.Ask("/once/x");
  entry.Begin(1);
  entry.m_flow.OnGone(CallerId(1));
  entry.Take();
  cr_assert_eq(entry.m_cancels, 1);
  cr_assert_eq(entry.m_flow.Running(), 0U);
}

Test(relay, an_entry_that_leaves_takes_nothing_that_it_would_cut)
{
  Entry entry;
  entry.Ask("/once/x");
  entry.m_flow.StopTaking();
  entry.Ask("/once/x");
  cr_assert_eq(entry.m_calls.size(), 1U);
  cr_assert_eq(entry.m_status, 503);
  cr_assert_eq(entry.m_flow.Running(), 1U, "what runs goes on");
}

Test(relay, a_silent_worker_is_tried_before_it_is_given_up)
{
  for (const CallEnd end : { CallEnd::Whole, CallEnd::NotSent }) {
    Entry entry;
    entry.Ask("/resumable/x");
    entry.Head(200, "ps");
    entry.Pass(380);
    cr_assert(entry.m_probes.empty());
    entry.Pass(200);
    cr_assert_eq(entry.m_probes.size(), 1U);
    entry.Begin(1);
    entry.m_flow.OnEnd(entry.m_probes[0].m_call, end, "");
    entry.Take();
    const bool isGone = end == CallEnd::NotSent;
    cr_assert_eq(entry.m_calls.size(), isGone ? 2U : 1U);
    cr_assert_eq(entry.m_cancels, isGone ? 1 : 0);
  }
}

Test(relay, a_suspected_worker_takes_a_connection_before_requests)
{
  Entry entry;
  entry.SetWorkers({ Worker("w1", 1), Worker("w2", 1) });
  entry.Ask("/idempotent/x");
  const std::string dark = entry.m_protocol.m_orders.back().m_worker;
  NotSent(entry);
  const auto serve = [&] {
    entry.Head(200, "p");
    entry.End(CallEnd::Whole);
  };
  serve();
  entry.Pass(1'000);
  // The suspicion is over; its load of nothing must not draw requests.
  for (int i = 0; i < 4; ++i) {
    entry.Ask("/idempotent/x");
    cr_assert_neq(entry.m_protocol.m_orders.back().m_worker, dark);
    serve();
  }
  cr_assert_eq(entry.m_probes.size(), 1U, "one is under way");
  const auto probed = [&](CallEnd aEnd) {
    entry.Begin(1);
    entry.m_flow.OnEnd(entry.m_probes.back().m_call, aEnd, "");
    entry.Take();
  };
  probed(CallEnd::NotSent);
  entry.Pass(400);
  cr_assert_eq(entry.m_probes.size(), 1U, "the suspicion is longer now");
  entry.Pass(1'000);
  cr_assert_eq(entry.m_probes.size(), 2U);
  probed(CallEnd::Whole);
  entry.Ask("/idempotent/x");
  cr_assert_eq(entry.m_protocol.m_orders.back().m_worker, dark);
}

Test(relay, a_worker_that_is_another_one_gets_nothing_until_it_is_listed)
{
  Entry entry;
  entry.SetWorkers({ Worker("w1", 1), Worker("w2", 1) });
  entry.Ask("/once/x");
  const std::string old = entry.m_protocol.m_orders.back().m_worker;
  entry.Head(421, "m");
  entry.End(CallEnd::Whole);
  const auto serve = [&] {
    entry.Head(200, "p");
    entry.End(CallEnd::Whole);
  };
  serve();
  for (int i = 0; i < 10; ++i) {
    entry.Pass(100);
    entry.Ask("/idempotent/x");
    cr_assert_neq(entry.m_protocol.m_orders.back().m_worker, old);
    serve();
  }
  // The list tells of the weights that it has now.
  entry.SetWorkers({ Worker("w1", 2), Worker("w2", 2) }, 2);
  entry.Ask("/idempotent/x");
  entry.Ask("/idempotent/x");
  const auto& orders = entry.m_protocol.m_orders;
  cr_assert_neq(orders.back().m_worker, orders[orders.size() - 2].m_worker);
}

Test(relay, requests_wait_for_a_process_that_has_just_started)
{
  Entry entry(Entry::Knows::Nothing);
  entry.Pass(100);
  entry.Ask("/once/x");
  entry.Ask("/once/x", "unknown");
  entry.Pass(900);
  cr_assert_eq(entry.m_answers, 0);
  entry.Learn();
  entry.Pass(20);
  cr_assert_eq(entry.m_calls.size(), 1U);
  cr_assert_eq(entry.m_status, 401);
}

Test(relay, those_who_waited_start_when_the_others_loads_are_known)
{
  for (const bool isTold : { true, false }) {
    Entry entry(Entry::Knows::Nothing);
    entry.Pass(100);
    entry.Ask("/once/x");
    entry.Learn(2);
    entry.Pass(300);
    cr_assert(entry.m_calls.empty());
    if (isTold) {
      entry.m_flow.OnLoads({ VmId("other"), 1, true, {} });
      entry.Pass(20);
    } else {
      entry.Pass(400); // the other entry may be gone
    }
    cr_assert_eq(entry.m_calls.size(), 1U);
  }
}

Test(start_gate, only_prompts_wait_for_stores_and_loads)
{
  StartGate gate;
  TimePoint now(Duration(1'000'000'000));
  gate.Review(now, { false, false });
  cr_assert(gate.MustWait(false));
  now += 1'900 * kMillisecond;
  gate.Review(now, { true, false });
  cr_assert_not(gate.MustWait(false));
  cr_assert(gate.MustWait(true));
  now += 500 * kMillisecond;
  gate.Review(now, { true, false });
  cr_assert(gate.MustWait(true), "later than the patience, in the same order");
  now += 200 * kMillisecond;
  gate.Review(now, { true, false });
  cr_assert_not(gate.MustWait(true));
  gate.Review(now, { false, false });
  cr_assert_not(gate.MustWait(true), "a start comes once");
}

Test(relay, nobody_waits_for_long_for_a_start_that_does_not_come)
{
  Entry entry(Entry::Knows::Nothing);
  entry.Pass(100);
  entry.Ask("/once/x");
  entry.Pass(1'800);
  cr_assert_eq(entry.m_answers, 0);
  entry.Pass(200);
  cr_assert_eq(entry.m_status, 503);
  entry.Ask("/once/x");
  cr_assert_eq(entry.m_answers, 2, "refused at once from then on");
}

Test(relay, an_entry_that_was_ready_refuses_at_once_without_its_keys)
{
  Entry entry;
  entry.Pass(4'100);
  entry.Ask("/once/x");
  cr_assert_eq(entry.m_status, 503);
}

Test(relay, nothing_goes_to_leaving_or_outdated_workers)
{
  Entry entry;
  WorkerInfo leaving = Worker("w1", 2);
  leaving.m_isLeaving = true;
  entry.SetWorkers({ leaving, Worker("w2", 1), Worker("w3", 2) }, 2);
  entry.Pass(6'100); // beyond the time for older weights
  entry.Confirm();
  for (int i = 0; i < 5; ++i) {
    entry.Ask("/resumable/x");
    cr_assert_eq(entry.m_protocol.m_orders.back().m_worker, "w3");
    cr_assert_eq(entry.m_protocol.m_orders.back().m_weights, 2);
    cr_assert_eq(entry.m_protocol.m_orders.back().m_cacheScope, "w2");
  }
}

Test(relay, repeats_are_bounded_by_the_budget)
{
  Entry entry;
  std::size_t requests = 0;
  for (; requests < 400; ++requests) {
    entry.Ask("/idempotent/x");
    NotRun(entry);
    if (entry.m_calls.back().m_call.Value() != 0 &&
        entry.m_flow.Running() != 0) {
      NotRun(entry);
    }
    entry.Pass(20);
    entry.Confirm();
  }
  const std::size_t repeats = entry.m_calls.size() - requests;
  const RelayOptions options;
  cr_assert_leq(static_cast<double>(repeats),
                options.m_retryShare * static_cast<double>(requests) +
                  options.m_retrySlack);
  cr_assert_gt(repeats, 20U);
}

namespace {

StorePush
Push(std::uint64_t aFrom, std::uint64_t aTo, std::vector<PartChange> aChanges)
{
  StorePush push;
  push.m_from = aFrom;
  push.m_to = aTo;
  push.m_changes = std::move(aChanges);
  if (aFrom == 0) {
    push.m_hasStores = true;
    push.m_stores = {
      { "a", "10.0.0.8:1", DataCentreId("d1"), 10'000, 1'000, true, false },
      { "b", "10.0.0.9:1", DataCentreId("d2"), 10'000, 1'000, true, false },
    };
  }
  return push;
}

PartMap::Reader
ReaderAt(TimePoint aNow, std::int64_t aClockMs)
{
  PartMap::Reader reader;
  reader.m_now = aNow;
  reader.m_clockMs = aClockMs;
  reader.m_dataCentre = DataCentreId("d1");
  return reader;
}

RelayRequest
Prompt()
{
  RelayRequest request;
  request.m_parts = { { "x", 500 }, { "y", 300 }, { "own", 50 } };
  return request;
}

} // namespace

Test(part_map, a_part_is_saved_once_and_fetched_then)
{
  PartMap map;
  const TimePoint now(Duration(1'000'000'000));
  map.OnConfirmed(now + 4'000 * kMillisecond, 3'000 * kMillisecond);
  cr_assert(map.Apply(Push(0, 1, {})));
  RelayOrder order;
  order.m_cacheScope = "w1";
  map.Plan(ReaderAt(now, 50'000), Prompt(), order);
  cr_assert_not(order.m_saves.at(0).empty());
  cr_assert(order.m_saves.at(2).empty(), "the last part is its request's own");
  cr_assert_eq(order.m_fetchUntilMs, 53'000);
  RelayOrder again;
  again.m_cacheScope = "w1";
  map.Plan(ReaderAt(now, 50'000), Prompt(), again);
  cr_assert(again.m_saves.at(0).empty(), "a save is under way");
  cr_assert(map.Apply(Push(1, 2, { { 1, PartKey("w1", "x"), 500 } })));
  RelayOrder fetch;
  fetch.m_cacheScope = "w1";
  map.Plan(ReaderAt(now, 50'000), Prompt(), fetch);
  cr_assert_eq(fetch.m_fetches.at(0).m_address, "10.0.0.9:1");
  cr_assert_eq(fetch.m_fetches.at(0).m_tokens, 500);
  cr_assert(fetch.m_fetches.at(1).m_address.empty());
  RelayOrder other;
  other.m_cacheScope = "w2";
  map.Plan(ReaderAt(now, 50'000), Prompt(), other);
  cr_assert(other.m_fetches.at(0).m_address.empty(), "another scope");
}

Test(part_map, nothing_is_read_beyond_the_lease_or_from_what_is_gone)
{
  PartMap map;
  const TimePoint now(Duration(1'000'000'000));
  map.OnConfirmed(now + 4'000 * kMillisecond, 3'000 * kMillisecond);
  map.Apply(Push(0, 1, { { 0, PartKey("w1", "x"), 500 } }));
  const auto isFetched = [&](TimePoint aNow, std::int64_t aClock) {
    RelayOrder order;
    order.m_cacheScope = "w1";
    map.Plan(ReaderAt(aNow, aClock), Prompt(), order);
    return !order.m_fetches.empty() && !order.m_fetches[0].m_address.empty();
  };
  cr_assert(isFetched(now, 50'000));
  cr_assert_not(isFetched(now + 4'000 * kMillisecond, 50'000), "lease over");
  cr_assert_not(isFetched(now, 0), "no end could be named");
  cr_assert_not(map.Apply(Push(7, 8, {})), "a change for another state");
  map.Apply(Push(1, 2, { { 0, PartKey("w1", "x"), 0 } }));
  cr_assert_not(isFetched(now, 50'000));
  StorePush down = Push(2, 3, { { 0, PartKey("w1", "x"), 500 } });
  down.m_hasStores = true;
  down.m_stores = Push(0, 0, {}).m_stores;
  down.m_stores[0].m_isUp = false;
  map.Apply(down);
  cr_assert_not(isFetched(now, 50'000), "the store is down");
}

Test(relay, first_events_tell_how_fast_a_store_is)
{
  Entry entry;
  StorePush push = Push(0, 1, { { 0, PartKey("w1", "shared"), 80 } });
  // A fetch takes 0.1 s of the store's link.
  push.m_stores[0].m_linkBitsPerSecond = 6'400'000;
  cr_assert(entry.m_flow.OnStores(push));
  const auto ask = [&](std::int64_t aFirstMs) {
    entry.Confirm();
    entry.m_flow.OnStoresConfirmed(
      entry.m_now + 4'000 * kMillisecond, 3'000 * kMillisecond, 50'000);
    entry.Ask("/resumable/x");
    const auto& fetches = entry.m_protocol.m_orders.back().m_fetches;
    const bool isFetched = !fetches.empty() && !fetches[0].m_address.empty();
    entry.Head(200, "ps");
    entry.Begin(aFirstMs);
    entry.Data("id: 1\ndata: x\n\n");
    entry.End(CallEnd::Whole);
    return isFetched;
  };
  const auto fetched = [&](std::int64_t aFirstMs) {
    int count = 0;
    for (int i = 0; i < 8; ++i) {
      count += ask(aFirstMs) ? 1 : 0;
      entry.Pass(100);
    }
    return count;
  };
  cr_assert_eq(fetched(20), 8);
  fetched(900);
  cr_assert_leq(fetched(20), 3, "it is slow");
}

Test(part_map, saves_under_way_take_room)
{
  PartMap map;
  const TimePoint now(Duration(1'000'000'000));
  map.OnConfirmed(now + 4'000 * kMillisecond, 3'000 * kMillisecond);
  StorePush push = Push(0, 1, {});
  push.m_stores.resize(1);
  push.m_stores[0].m_capacity = 1'000;
  map.Apply(push);
  PartMap::Reader reader = ReaderAt(now, 50'000);
  reader.m_entries = 2;
  const auto isSaved = [&](const std::string& aId) {
    RelayRequest request;
    request.m_parts = { { aId, 400 }, { "own", 50 } };
    RelayOrder order;
    order.m_cacheScope = "w1";
    map.Plan(reader, request, order);
    return !order.m_saves.at(0).empty();
  };
  cr_assert(isSaved("x"));
  cr_assert_not(isSaved("y"), "the other entry saves as much");
  map.Apply(Push(1, 2, { { 0, PartKey("w1", "x"), 400 } }));
  cr_assert(isSaved("y"), "the first one shows in the map");
}

Test(part_map, a_stores_link_carries_more_than_one_workers_link)
{
  PartMap map;
  const TimePoint now(Duration(1'000'000'000));
  map.OnConfirmed(now + 4'000 * kMillisecond, 3'000 * kMillisecond);
  StorePush push = Push(0, 1, { { 0, PartKey("w1", "x"), 500 } });
  // A part takes 0.4 s of the store's link.
  push.m_stores[0].m_linkBitsPerSecond = 1'000'000;
  map.Apply(push);
  PartMap::Reader reader = ReaderAt(now, 50'000);
  reader.m_tokenBytes = 100;
  const auto isFetched = [&] {
    RelayOrder order;
    order.m_cacheScope = "w1";
    map.Plan(reader, Prompt(), order);
    return !order.m_fetches.empty() && !order.m_fetches[0].m_address.empty();
  };
  cr_assert(isFetched());
  cr_assert(isFetched(), "a second one waits for less than a second");
  cr_assert_not(isFetched(), "a third one waits for too long");
}

Test(store_pace, a_slow_store_gets_less_and_load_alone_changes_nothing)
{
  StorePace pace;
  const auto serve = [&](std::int64_t aSlowMs, std::int64_t aOtherMs) {
    for (int i = 0; i < 30; ++i) {
      pace.OnFirstEvent(aSlowMs * kMillisecond, { "a" });
      pace.OnFirstEvent(aOtherMs * kMillisecond, { "b" });
      pace.OnFirstEvent(aOtherMs * kMillisecond, {});
    }
  };
  serve(100, 80);
  cr_assert_float_eq(pace.SpeedOf("a"), 1, 1e-9);
  serve(1'500, 1'400);
  serve(1'500, 1'400);
  cr_assert_float_eq(pace.SpeedOf("a"), 1, 1e-9, "all are late alike");
  serve(100, 80);
  serve(1'500, 100);
  cr_assert_lt(pace.SpeedOf("a"), 0.2);
  cr_assert_float_eq(pace.SpeedOf("b"), 1, 1e-9);
  serve(100, 80);
  cr_assert_gt(pace.SpeedOf("a"), 0.5, "it recovers");
  // Half of all first events are late, whatever they fetch.
  serve(100, 80);
  for (int i = 0; i < 60; ++i) {
    const std::int64_t time = i % 2 == 0 ? 100 : 900;
    pace.OnFirstEvent(time * kMillisecond, { "a" });
    pace.OnFirstEvent(time * kMillisecond, { "b" });
  }
  cr_assert_gt(pace.SpeedOf("a"), 0.9, "load is not its doing");
}

Test(store_pace, a_link_carries_no_more_than_its_time)
{
  // Transfers of 40 ms, five times as many as one link carries in ten
  // seconds, asked for by two entries that share it.
  StorePace pace;
  TimePoint now(Duration(1'000'000'000));
  int taken = 0;
  for (int i = 0; i < 625; ++i) {
    now += 16 * kMillisecond;
    taken += pace.Take(now, "a", 40 * kMillisecond, 2) ? 1 : 0;
  }
  // At most a second of waiting is ordered ahead.
  cr_assert_leq(taken, 125 + 13);
  cr_assert_geq(taken, 120);
  cr_assert(pace.Take(now, "b", 5'000 * kMillisecond, 2), "an idle link");
}

namespace {

AdmissionQueue::Item
Item(std::uint64_t aCaller,
     std::int64_t aRank,
     TimePoint aWanted,
     std::int64_t aTokens = 1'000)
{
  return {
    CallerId(aCaller), aRank, aWanted, aWanted + 5'000 * kMillisecond, aTokens
  };
}

} // namespace

Test(admission, who_can_still_be_in_time_goes_first)
{
  AdmissionQueue queue;
  const TimePoint now(Duration(1'000'000'000));
  queue.Push(now, Item(1, 2, now + 600 * kMillisecond));
  queue.Push(now, Item(2, 0, now + 400 * kMillisecond));
  queue.Push(now, Item(3, 0, now + 550 * kMillisecond));
  cr_assert_eq(queue.Next(now)->m_caller, CallerId(2));
  queue.Remove(CallerId(2));
  // A rank counts as some time: the first one is due sooner than that.
  cr_assert_eq(queue.Next(now)->m_caller, CallerId(3));
  const TimePoint later = now + 560 * kMillisecond;
  cr_assert_eq(queue.Next(later)->m_caller, CallerId(1), "3 is late anyhow");
  queue.Remove(CallerId(1));
  queue.Remove(CallerId(3));
  cr_assert_not(queue.Next(later).has_value());
}

Test(admission, what_can_not_start_in_time_is_refused_at_once)
{
  AdmissionQueue queue;
  TimePoint now(Duration(1'000'000'000));
  // Ten thousand tokens a second are sent for some seconds.
  for (int i = 0; i < 500; ++i) {
    now += 10 * kMillisecond;
    queue.OnSent(now, 100);
  }
  int taken = 0;
  for (int i = 0; i < 200; ++i) {
    taken += queue.Push(now, Item(10 + i, 1, now + 300 * kMillisecond)) ? 0 : 1;
  }
  // Some 53 thousand tokens can be sent until the last one is due.
  cr_assert_geq(taken, 45);
  cr_assert_leq(taken, 65);
  cr_assert_eq(queue.Size(), static_cast<std::size_t>(taken));
}

Test(admission, the_start_of_a_load_refuses_nobody)
{
  AdmissionQueue queue;
  const TimePoint now(Duration(1'000'000'000));
  for (int i = 0; i < 8; ++i) {
    cr_assert_not(queue.Push(now, Item(1 + i, 1, now)).has_value());
  }
}

Test(admission, memory_that_is_held_bounds_what_is_sent)
{
  // Prompts of 850 tokens on three workers with room for two each.
  Entry entry;
  RouteDocument document = entry.m_flow.Routes().Document();
  document.m_revision = Revision(4);
  document.m_pools["p"].m_engines.m_cacheTokens = 250;
  entry.Begin(1);
  entry.m_flow.OnRoutes(MakeDelta(entry.m_flow.Routes().Document(), document));
  entry.Take();
  for (int i = 0; i < 10; ++i) {
    entry.Ask("/resumable/x");
  }
  cr_assert_eq(entry.m_calls.size(), 6U);
  cr_assert_eq(entry.m_flow.Running(), 10U);
  entry.Head(200, "ps");
  entry.Data("id: 1\ndata: a\n\n");
  entry.End(CallEnd::Whole);
  cr_assert_eq(entry.m_calls.size(), 7U, "room for the next one");
}
