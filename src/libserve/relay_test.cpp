// Tests of RelayFlow with a fake protocol and scripted worker responses.
#include "fulmarquay/core/Digest.h"
#include "fulmarquay/core/Error.h"
#include "fulmarquay/route/RouteDelta.h"
#include "fulmarquay/serve/RelayFlow.h"

#include <functional>
#include <set>

// Included last because its macros clash with names in other headers.
#include <criterion/criterion.h>

using namespace fulmarquay;

namespace {

constexpr Duration kMillisecond(1'000);
constexpr std::int64_t kTimeoutMs = 2'000;

/// The status and a `flags` header encode a worker's response head: p signed, s
/// stream, n not executed, m misdirected.
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
                     const DispatchParameters& aParameters) const override
  {
    m_sentParameters.push_back(aParameters);
    return { "POST", aRequest.m_path, {}, "" };
  }
  HttpHeader CorrelationHeader(const RelayRequest& aRequest) const override
  {
    return { "id", aRequest.m_id };
  }
  WorkerResponseHead ReadHead(const HttpResponse& aHead) const override
  {
    const std::string flags = FindHeader(aHead.m_headers, "flags");
    WorkerResponseHead head;
    head.m_status = aHead.m_status;
    head.m_isSigned = flags.find('p') != std::string::npos;
    head.m_isStream = flags.find('s') != std::string::npos;
    head.m_isMisdirected = flags.find('m') != std::string::npos;
    head.m_isNotExecuted =
      head.m_isMisdirected || flags.find('n') != std::string::npos;
    return head;
  }
  HttpResponse ToCallerHead(HttpResponse aHead) const override { return aHead; }
  HttpResponse Refuse(const RelayRequest&,
                      const RelayRefusal& aRefusal) const override
  {
    HttpResponse response;
    response.m_status = aRefusal.m_status;
    response.m_body = aRefusal.m_reason;
    return response;
  }

  mutable std::vector<DispatchParameters> m_sentParameters;
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
Rule(RetryPolicy aKind, std::int64_t aAttempts)
{
  RouteRule rule;
  rule.m_host = "h";
  rule.m_retryPolicy = static_cast<std::uint8_t>(aKind);
  rule.m_timeoutUs = kTimeoutMs * 1'000;
  rule.m_targetLatencyUs = 300'000;
  rule.m_maxAttempts = aAttempts;
  rule.m_pools = { { PoolId("p"), 1 } };
  return rule;
}

/// An entry that serves five routes under a confirmed lease.
class Entry
{
public:
  /// Whether routes, workers and keys are set on construction.
  enum class InitialState
  {
    Unconfigured,
    Configured
  };

  explicit Entry(InitialState aInitial = InitialState::Configured)
    : m_context({}, 1)
    , m_flow(m_context, m_protocol, RelayOptions())
  {
    AdvanceClock(0);
    if (aInitial == InitialState::Configured) {
      Configure();
    }
  }

  /// Sets routes, workers and keys.
  void Configure(std::uint32_t aEntryCount = 1)
  {
    RouteDocument document;
    document.m_revision = Revision(3);
    document.m_pools["p"].m_engines.m_kvBytesPerToken = 1'000;
    Add(document, "/idempotent/", Rule(RetryPolicy::Idempotent, 2));
    Add(document, "/once/", Rule(RetryPolicy::Once, 2));
    RouteRule stream = Rule(RetryPolicy::Stream, 2);
    Add(document, "/stream/", stream);
    stream.m_isResumable = true;
    stream.m_hasPrompt = true;
    Add(document, "/resumable/", stream);
    RouteRule open = Rule(RetryPolicy::Idempotent, 1);
    open.m_allowsAnonymous = true;
    Add(document, "/open/", open);
    document.m_accounts["acc"].m_keyHashes = { Sha256Hex("key") };
    document.m_needsKeys = true;
    m_flow.OnRoutes(MakeDelta(RouteDocument(), document));
    SetWorkers({ Worker("w1", 1), Worker("w2", 1), Worker("w3", 1) });
    Confirm(aEntryCount);
    m_flow.OnTick();
    CollectEffects();
  }

  void SetWorkers(std::vector<WorkerInfo> aWorkers,
                  std::int64_t aLatestVersion = -1)
  {
    WorkerList list;
    list.m_number = ++m_list;
    list.m_workers = std::move(aWorkers);
    if (aLatestVersion >= 0) {
      list.m_weights = { { "m", aLatestVersion, 0 } };
    }
    m_flow.OnWorkerList(list);
  }

  void Confirm(std::uint32_t aEntryCount = 1)
  {
    m_flow.OnConfirmed(m_now + 4'000 * kMillisecond, aEntryCount);
  }

  void AdvanceClock(std::int64_t aMillis)
  {
    m_now += aMillis * kMillisecond;
    m_context.Begin(m_now);
  }

  /// Advances time in ticks of 20 ms.
  void AdvanceTicks(std::int64_t aMillis)
  {
    for (std::int64_t elapsedMs = 0; elapsedMs < aMillis; elapsedMs += 20) {
      AdvanceClock(20);
      m_flow.OnTick();
      CollectEffects();
    }
  }

  void SendRequest(const std::string& aPath, const std::string& aKey = "key")
  {
    AdvanceClock(1);
    HttpRequest request{ "POST",
                         aPath,
                         { { "id", "r" + std::to_string(++m_caller) },
                           { "key", aKey } },
                         "" };
    m_flow.Start(CallerId(m_caller), request);
    CollectEffects();
  }

  void Head(int aStatus, const std::string& aFlags)
  {
    AdvanceClock(1);
    HttpResponse head;
    head.m_status = aStatus;
    head.m_headers = { { "flags", aFlags } };
    m_flow.OnHead(m_calls.back().m_call, head);
    CollectEffects();
  }
  void Data(const std::string& aData)
  {
    AdvanceClock(1);
    m_flow.OnData(m_calls.back().m_call, aData);
    CollectEffects();
  }
  void End(CallResult aEnd)
  {
    AdvanceClock(1);
    m_flow.OnEnd(m_calls.back().m_call, aEnd, "why");
    CollectEffects();
  }

  void CollectEffects()
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
        m_isComplete = end->m_isComplete;
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
  bool m_isComplete = false;

private:
  static void Add(RouteDocument& aDocument,
                  const std::string& aPrefix,
                  RouteRule aRule)
  {
    aRule.m_prefix = aPrefix;
    aDocument.m_routes[aPrefix] = aRule;
  }
};

/// Scripted behaviour of a worker up to the end of its call.
using Fault = std::function<void(Entry&)>;

void
NotSent(Entry& aEntry)
{
  aEntry.End(CallResult::NotSent);
}
void
Incomplete(Entry& aEntry)
{
  aEntry.End(CallResult::Incomplete);
}
void
NotExecuted(Entry& aEntry)
{
  aEntry.Head(503, "n");
  aEntry.End(CallResult::Complete);
}
void
Failure(Entry& aEntry)
{
  aEntry.Head(500, "p");
  aEntry.End(CallResult::Complete);
}
void
Unsigned(Entry& aEntry)
{
  aEntry.Head(200, "");
  aEntry.Data("forged");
  aEntry.End(CallResult::Complete);
}

struct FaultCase
{
  const char* m_path;
  Fault m_fault;
  std::size_t m_calls; ///< calls to workers after the fault
  int m_status;        ///< 0: the second worker is still running it
};

} // namespace

Test(relay, faults_before_the_first_byte_of_an_answer)
{
  const std::vector<FaultCase> cases = {
    { "/idempotent/x", NotSent, 2, 0 },
    { "/idempotent/x", Incomplete, 2, 0 },
    { "/idempotent/x", NotExecuted, 2, 0 },
    { "/idempotent/x", Failure, 2, 0 },
    { "/idempotent/x", Unsigned, 2, 0 },
    { "/once/x", NotSent, 2, 0 },
    { "/once/x", NotExecuted, 2, 0 },
    { "/once/x", Incomplete, 1, 502 },
    { "/once/x", Failure, 1, 500 },
    { "/once/x", Unsigned, 1, 502 },
    { "/stream/x", NotSent, 2, 0 },
    { "/stream/x", NotExecuted, 2, 0 },
    { "/stream/x", Incomplete, 1, 502 },
    { "/resumable/x", Incomplete, 2, 0 },
    { "/open/x", Incomplete, 1, 502 },
    { "/open/x", NotExecuted, 1, 503 },
    { "/open/x", Failure, 1, 500 },
  };
  for (const FaultCase& each : cases) {
    Entry entry;
    entry.SendRequest(each.m_path);
    each.m_fault(entry);
    cr_assert_eq(entry.m_calls.size(), each.m_calls, "%s", each.m_path);
    cr_assert_eq(entry.m_status, each.m_status, "%s", each.m_path);
    cr_assert_eq(entry.m_body.find("forged"), std::string::npos);
    if (each.m_calls == 2) {
      cr_assert(!(entry.m_calls[0].m_peer == entry.m_calls[1].m_peer));
    }
  }
}

Test(relay, attempts_limit_the_number_of_workers)
{
  Entry entry;
  entry.SendRequest("/idempotent/x");
  Incomplete(entry);
  Incomplete(entry);
  cr_assert_eq(entry.m_calls.size(), 2U);
  cr_assert_eq(entry.m_status, 502);
}

Test(relay, a_request_that_may_have_run_is_not_reported_as_not_run)
{
  Entry entry;
  entry.SendRequest("/idempotent/x");
  Incomplete(entry);
  NotExecuted(entry);
  cr_assert_eq(entry.m_status, 502);
  Entry late;
  late.SendRequest("/once/x");
  late.AdvanceTicks(kTimeoutMs + 100);
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
      entry.AdvanceTicks(4'100);
    }
    entry.SendRequest(each.m_path, each.m_key);
    cr_assert_eq(entry.m_status,
                 each.m_status,
                 "%s %s %d",
                 each.m_path,
                 each.m_key,
                 static_cast<int>(each.m_isConfirmed));
  }
}

Test(relay, the_account_is_identified_by_the_key_only)
{
  Entry entry;
  entry.SendRequest("/once/x");
  cr_assert_eq(entry.m_protocol.m_sentParameters.back().m_account, "acc");
  entry.SendRequest("/open/x", "");
  cr_assert_eq(entry.m_protocol.m_sentParameters.back().m_account, "");
}

Test(relay, a_stream_resumes_after_its_last_complete_event)
{
  Entry entry;
  entry.SendRequest("/resumable/x");
  entry.Head(200, "ps");
  entry.Data("id: 1\ndata: a\n\nid: 2\nda");
  entry.Data("ta: b\n\nid: 3\ndata: c");
  Incomplete(entry);
  cr_assert_eq(entry.m_calls.size(), 2U);
  cr_assert_eq(entry.m_protocol.m_sentParameters.back().m_lastEventId, 2);
  entry.Head(200, "ps");
  entry.Data("id: 3\ndata: c\n\n");
  entry.End(CallResult::Complete);
  cr_assert(entry.m_isComplete);
  cr_assert_eq(entry.m_heads, 1);
  cr_assert_eq(entry.m_body,
               "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n");
}

Test(relay, a_stream_that_can_not_be_resumed_is_cut)
{
  for (const char* path : { "/stream/x", "/resumable/x" }) {
    Entry entry;
    entry.SendRequest(path);
    entry.Head(200, "ps");
    entry.Data("id: 1\ndata: a\n\nid: 2\n");
    Incomplete(entry);
    if (entry.m_calls.size() == 2) {
      Incomplete(entry);
    }
    cr_assert_eq(entry.m_answers, 1);
    cr_assert_not(entry.m_isComplete, "%s", path);
    cr_assert_eq(entry.m_body, "id: 1\ndata: a\n\n");
  }
}

Test(relay, an_end_within_an_event_is_reported_as_incomplete)
{
  Entry entry;
  entry.SendRequest("/stream/x");
  entry.Head(200, "ps");
  entry.Data("id: 1\ndata: a\n\nid: 2\n");
  entry.End(CallResult::Complete);
  cr_assert_eq(entry.m_answers, 1);
  cr_assert_not(entry.m_isComplete);
}

Test(relay, a_disconnected_caller_cancels_the_call)
{
  Entry entry;
  entry.SendRequest("/once/x");
  entry.AdvanceClock(1);
  entry.m_flow.OnCallerDisconnected(CallerId(1));
  entry.CollectEffects();
  cr_assert_eq(entry.m_cancels, 1);
  cr_assert_eq(entry.m_flow.Running(), 0U);
}

Test(relay, a_leaving_entry_refuses_new_requests)
{
  Entry entry;
  entry.SendRequest("/once/x");
  entry.m_flow.StopAdmitting();
  entry.SendRequest("/once/x");
  cr_assert_eq(entry.m_calls.size(), 1U);
  cr_assert_eq(entry.m_status, 503);
  cr_assert_eq(entry.m_flow.Running(), 1U, "the running request continues");
}

Test(relay, a_silent_worker_is_probed_before_its_call_is_cancelled)
{
  for (const CallResult end : { CallResult::Complete, CallResult::NotSent }) {
    Entry entry;
    entry.SendRequest("/resumable/x");
    entry.Head(200, "ps");
    entry.AdvanceTicks(380);
    cr_assert(entry.m_probes.empty());
    entry.AdvanceTicks(200);
    cr_assert_eq(entry.m_probes.size(), 1U);
    entry.AdvanceClock(1);
    entry.m_flow.OnEnd(entry.m_probes[0].m_call, end, "");
    entry.CollectEffects();
    const bool isUnreachable = end == CallResult::NotSent;
    cr_assert_eq(entry.m_calls.size(), isUnreachable ? 2U : 1U);
    cr_assert_eq(entry.m_cancels, isUnreachable ? 1 : 0);
  }
}

Test(relay, a_suspected_worker_is_probed_before_new_requests)
{
  Entry entry;
  entry.SetWorkers({ Worker("w1", 1), Worker("w2", 1) });
  entry.SendRequest("/idempotent/x");
  const std::string failedWorker =
    entry.m_protocol.m_sentParameters.back().m_worker;
  NotSent(entry);
  const auto serve = [&] {
    entry.Head(200, "p");
    entry.End(CallResult::Complete);
  };
  serve();
  entry.AdvanceTicks(1'000);
  // The suspect period is over; without load the worker must not attract
  // requests.
  for (int i = 0; i < 4; ++i) {
    entry.SendRequest("/idempotent/x");
    cr_assert_neq(entry.m_protocol.m_sentParameters.back().m_worker,
                  failedWorker);
    serve();
  }
  cr_assert_eq(entry.m_probes.size(), 1U, "a probe is in progress");
  const auto endProbe = [&](CallResult aEnd) {
    entry.AdvanceClock(1);
    entry.m_flow.OnEnd(entry.m_probes.back().m_call, aEnd, "");
    entry.CollectEffects();
  };
  endProbe(CallResult::NotSent);
  entry.AdvanceTicks(400);
  cr_assert_eq(entry.m_probes.size(), 1U, "the suspect period has doubled");
  entry.AdvanceTicks(1'000);
  cr_assert_eq(entry.m_probes.size(), 2U);
  endProbe(CallResult::Complete);
  entry.SendRequest("/idempotent/x");
  cr_assert_eq(entry.m_protocol.m_sentParameters.back().m_worker, failedWorker);
}

Test(relay, a_misdirected_worker_gets_no_requests_until_relisted)
{
  Entry entry;
  entry.SetWorkers({ Worker("w1", 1), Worker("w2", 1) });
  entry.SendRequest("/once/x");
  const std::string misdirected =
    entry.m_protocol.m_sentParameters.back().m_worker;
  entry.Head(421, "m");
  entry.End(CallResult::Complete);
  const auto serve = [&] {
    entry.Head(200, "p");
    entry.End(CallResult::Complete);
  };
  serve();
  for (int i = 0; i < 10; ++i) {
    entry.AdvanceTicks(100);
    entry.SendRequest("/idempotent/x");
    cr_assert_neq(entry.m_protocol.m_sentParameters.back().m_worker,
                  misdirected);
    serve();
  }
  // The new list contains the worker's current weights.
  entry.SetWorkers({ Worker("w1", 2), Worker("w2", 2) }, 2);
  entry.SendRequest("/idempotent/x");
  entry.SendRequest("/idempotent/x");
  const auto& sentParameters = entry.m_protocol.m_sentParameters;
  cr_assert_neq(sentParameters.back().m_worker,
                sentParameters[sentParameters.size() - 2].m_worker);
}

Test(relay, requests_wait_for_the_startup_to_complete)
{
  Entry entry(Entry::InitialState::Unconfigured);
  entry.AdvanceTicks(100);
  entry.SendRequest("/once/x");
  entry.SendRequest("/once/x", "unknown");
  entry.AdvanceTicks(900);
  cr_assert_eq(entry.m_answers, 0);
  entry.Configure();
  entry.AdvanceTicks(20);
  cr_assert_eq(entry.m_calls.size(), 1U);
  cr_assert_eq(entry.m_status, 401);
}

Test(relay, waiting_requests_start_when_other_loads_are_known)
{
  for (const bool isReported : { true, false }) {
    Entry entry(Entry::InitialState::Unconfigured);
    entry.AdvanceTicks(100);
    entry.SendRequest("/once/x");
    entry.Configure(2);
    entry.AdvanceTicks(300);
    cr_assert(entry.m_calls.empty());
    if (isReported) {
      entry.m_flow.OnLoads({ VmId("other"), 1, true, {} });
      entry.AdvanceTicks(20);
    } else {
      entry.AdvanceTicks(400); // the other entry may be down
    }
    cr_assert_eq(entry.m_calls.size(), 1U);
  }
}

Test(relay, a_startup_that_does_not_complete_refuses_requests)
{
  Entry entry(Entry::InitialState::Unconfigured);
  entry.AdvanceTicks(100);
  entry.SendRequest("/once/x");
  entry.AdvanceTicks(1'800);
  cr_assert_eq(entry.m_answers, 0);
  entry.AdvanceTicks(200);
  cr_assert_eq(entry.m_status, 503);
  entry.SendRequest("/once/x");
  cr_assert_eq(entry.m_answers, 2, "refused without waiting after the timeout");
}

Test(relay, an_entry_without_its_key_lease_refuses_at_once)
{
  Entry entry;
  entry.AdvanceTicks(4'100);
  entry.SendRequest("/once/x");
  cr_assert_eq(entry.m_status, 503);
}

Test(relay, leaving_or_outdated_workers_get_no_requests)
{
  Entry entry;
  WorkerInfo leaving = Worker("w1", 2);
  leaving.m_isLeaving = true;
  entry.SetWorkers({ leaving, Worker("w2", 1), Worker("w3", 2) }, 2);
  entry.AdvanceTicks(6'100); // longer than old weights are allowed
  entry.Confirm();
  for (int i = 0; i < 5; ++i) {
    entry.SendRequest("/resumable/x");
    cr_assert_eq(entry.m_protocol.m_sentParameters.back().m_worker, "w3");
    cr_assert_eq(entry.m_protocol.m_sentParameters.back().m_weights, 2);
    cr_assert_eq(entry.m_protocol.m_sentParameters.back().m_cacheScope, "w2");
  }
}

Test(relay, retries_are_bounded_by_the_budget)
{
  Entry entry;
  std::size_t requests = 0;
  for (; requests < 400; ++requests) {
    entry.SendRequest("/idempotent/x");
    NotExecuted(entry);
    if (entry.m_calls.back().m_call.Value() != 0 &&
        entry.m_flow.Running() != 0) {
      NotExecuted(entry);
    }
    entry.AdvanceTicks(20);
    entry.Confirm();
  }
  const std::size_t retries = entry.m_calls.size() - requests;
  const RelayOptions options;
  cr_assert_leq(static_cast<double>(retries),
                options.m_retryRatio * static_cast<double>(requests) +
                  options.m_retrySlack);
  cr_assert_gt(retries, 20U);
}

Test(relay, late_first_events_reduce_fetches_from_a_store)
{
  Entry entry;
  StorePush push;
  push.m_to = 1;
  push.m_changes = { { 0, PartKey("w1", "shared"), 80 } };
  push.m_hasStores = true;
  // A fetch occupies the store's link for 0.1 s.
  push.m_stores = {
    { "a", "10.0.0.8:1", DataCentreId("d1"), 10'000, 6'400'000, true, false }
  };
  cr_assert(entry.m_flow.OnStoreUpdate(push));
  const auto fetchOnce = [&](std::int64_t aFirstMs) {
    entry.Confirm();
    entry.m_flow.OnStoreLeaseConfirmed(
      entry.m_now + 4'000 * kMillisecond, 3'000 * kMillisecond, 50'000);
    entry.SendRequest("/resumable/x");
    const auto& fetches = entry.m_protocol.m_sentParameters.back().m_fetches;
    const bool isFetched = !fetches.empty() && !fetches[0].m_address.empty();
    entry.Head(200, "ps");
    entry.AdvanceClock(aFirstMs);
    entry.Data("id: 1\ndata: x\n\n");
    entry.End(CallResult::Complete);
    return isFetched;
  };
  const auto countFetches = [&](std::int64_t aFirstMs) {
    int count = 0;
    for (int i = 0; i < 8; ++i) {
      count += fetchOnce(aFirstMs) ? 1 : 0;
      entry.AdvanceTicks(100);
    }
    return count;
  };
  cr_assert_eq(countFetches(20), 8);
  countFetches(900);
  cr_assert_leq(countFetches(20), 3, "the store is slow");
}

Test(relay, held_memory_bounds_the_requests_sent)
{
  // Prompts of 100 tokens on three workers with room for two each.
  Entry entry;
  RouteDocument document = entry.m_flow.Routes().Document();
  document.m_revision = Revision(4);
  document.m_pools["p"].m_engines.m_cacheCapacityTokens = 250;
  entry.AdvanceClock(1);
  entry.m_flow.OnRoutes(MakeDelta(entry.m_flow.Routes().Document(), document));
  entry.CollectEffects();
  for (int i = 0; i < 10; ++i) {
    entry.SendRequest("/resumable/x");
  }
  cr_assert_eq(entry.m_calls.size(), 6U);
  cr_assert_eq(entry.m_flow.Running(), 10U);
  entry.Head(200, "ps");
  entry.Data("id: 1\ndata: a\n\n");
  entry.End(CallResult::Complete);
  cr_assert_eq(entry.m_calls.size(), 7U, "a queued request is sent");
}
