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

Test(relay, first_events_tell_how_fast_a_store_is)
{
  Entry entry;
  StorePush push;
  push.m_to = 1;
  push.m_changes = { { 0, PartKey("w1", "shared"), 80 } };
  push.m_hasStores = true;
  // A fetch takes 0.1 s of the store's link.
  push.m_stores = {
    { "a", "10.0.0.8:1", DataCentreId("d1"), 10'000, 6'400'000, true, false }
  };
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

Test(relay, memory_that_is_held_bounds_what_is_sent)
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
