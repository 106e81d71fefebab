// Tests of RelayFlow: routes, faults of workers, startup and limits.
#include "relay_test.h"

#include <functional>
#include <set>

// Included last because its macros clash with names in other headers.
#include <criterion/criterion.h>

using namespace fulmarquay;
using namespace fulmarquay::testing;

namespace {

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
  aEntry.Answer(503, "n", "");
}
void
Failure(Entry& aEntry)
{
  aEntry.Answer(500, "p", "");
}
void
Unsigned(Entry& aEntry)
{
  const CallId call = aEntry.m_calls.back().m_call;
  aEntry.Head(200, "");
  aEntry.m_flow.OnData(call, "forged");
  aEntry.m_flow.OnEnd(call, CallResult::Complete, "");
  aEntry.CollectEffects();
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

Test(relay, requests_of_a_process_that_ends_are_answered_before_it_does)
{
  Entry entry;
  entry.SendRequest("/once/x");
  entry.m_flow.AnswerAllBy(entry.m_now + 1'000 * kMillisecond);
  entry.AdvanceTicks(500);
  entry.SendRequest("/once/x");
  cr_assert_leq(ToMillis(entry.m_protocol.m_sentParameters.back().m_timeLeft),
                500);
  cr_assert_eq(entry.m_answers, 0);
  entry.AdvanceTicks(300);
  // Less than the target latency is left.
  entry.SendRequest("/once/x");
  cr_assert_eq(entry.m_answers, 1);
  cr_assert_eq(entry.m_status, 503);
  entry.AdvanceTicks(220);
  cr_assert_eq(entry.m_answers, 3);
  cr_assert_eq(entry.m_status, 504);
  cr_assert_eq(entry.m_flow.Running(), 0U);
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
    { "/once/x", "key", true, 0 },      { "/once/x", "other", true, 401 },
    { "/once/x", "", true, 401 },       { "/open/x", "", true, 0 },
    { "/none/x", "key", true, 404 },    { "/once/x", "key", false, 503 },
    { "/open/x", "", false, 0 },        { "/none/x", "key", false, 503 },
    { "/open/x", "key", false, 503 },   { "/once/x", "other", false, 503 },
    { "/open/x", "key", true, 0 },      { "/open/x", "other", true, 401 },
    { "/open/x", "other", false, 503 },
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

// Guards against keys that are not looked up without a key lease: a request of
// an isolated account would run without its name, in the cache that all share.
Test(relay, a_key_on_an_open_route_is_not_served_without_its_account)
{
  Entry entry;
  RouteDocument document = entry.m_flow.Routes().Document();
  document.m_revision = Revision(4);
  document.m_accounts["acc"].m_isIsolated = true;
  entry.m_flow.OnRoutes(MakeDelta(entry.m_flow.Routes().Document(), document));
  entry.SendRequest("/open/x", "key");
  cr_assert_eq(entry.m_protocol.m_sentParameters.back().m_account, "acc");
  entry.AdvanceClock(5'000); // a freeze
  const std::size_t calls = entry.m_calls.size();
  entry.SendRequest("/open/x", "key");
  cr_assert_eq(entry.m_calls.size(), calls);
  cr_assert_eq(entry.m_status, 503);
  entry.SendRequest("/open/x", "");
  cr_assert_eq(entry.m_calls.size(), calls + 1, "without a key");
  entry.Confirm();
  entry.SendRequest("/open/x", "key");
  cr_assert_eq(entry.m_protocol.m_sentParameters.back().m_account, "acc");
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
  entry.Answer(200, "ps", "id: 3\ndata: c\n\n");
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
  entry.Answer(200, "ps", "id: 1\ndata: a\n\nid: 2\n");
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

Test(relay, a_refused_probe_does_not_cut_an_answer_that_may_come)
{
  for (const char* path : { "/once/x", "/stream/x", "/resumable/x" }) {
    const bool isStream = path != std::string("/once/x");
    Entry entry;
    entry.SetWorkers({ Worker("w1", 1) });
    entry.SendRequest(path);
    if (isStream) {
      entry.Head(200, "ps");
      entry.Data("id: 0\ndata: a\n\n");
    }
    entry.AdvanceTicks(600);
    cr_assert_eq(entry.m_probes.size(), 1U, "%s", path);
    entry.AdvanceClock(1);
    entry.m_flow.OnEnd(entry.m_probes[0].m_call, CallResult::NotSent, "");
    entry.CollectEffects();
    entry.AdvanceTicks(100);
    cr_assert_eq(entry.m_answers, 0, "%s", path);
    cr_assert_eq(entry.m_cancels, 0, "%s", path);
    if (isStream) {
      entry.Data("id: 1\ndata: b\n\n");
      entry.End(CallResult::Complete);
      cr_assert(entry.m_isComplete, "%s", path);
      cr_assert_neq(entry.m_body.find("data: b"), std::string::npos);
    } else {
      entry.Answer(200, "p", "ok");
      cr_assert_eq(entry.m_status, 200);
    }
    cr_assert_eq(entry.m_calls.size(), 1U);
  }
}

Test(relay, a_refused_probe_does_not_move_a_stream_that_goes_on)
{
  Entry entry;
  entry.SetWorkers({ Worker("w1", 1), Worker("w2", 2) });
  entry.SendRequest("/resumable/x");
  entry.Head(200, "ps");
  entry.Data("id: 0\ndata: a\n\n");
  entry.AdvanceTicks(600);
  cr_assert_eq(entry.m_probes.size(), 1U);
  entry.Data("id: 1\ndata: b\n\n");
  entry.m_flow.OnEnd(entry.m_probes[0].m_call, CallResult::NotSent, "");
  entry.CollectEffects();
  cr_assert_eq(entry.m_cancels, 0);
  cr_assert_eq(entry.m_calls.size(), 1U);
}

Test(relay, a_suspected_worker_is_probed_before_new_requests)
{
  Entry entry;
  entry.SetWorkers({ Worker("w1", 1), Worker("w2", 1) });
  entry.SendRequest("/idempotent/x");
  const std::string failedWorker =
    entry.m_protocol.m_sentParameters.back().m_worker;
  NotSent(entry);
  const auto serve = [&] { entry.Answer(200, "p", ""); };
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
  entry.Answer(421, "m", "");
  const auto serve = [&] { entry.Answer(200, "p", ""); };
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
      entry.m_flow.OnLoads({ VmId("other"), 1, true, {}, {}, {}, {}, {} });
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
    cr_assert_eq(entry.m_protocol.m_sentParameters.back().m_cacheScope,
                 MakeCacheScope(2, "m", {}));
  }
}

Test(relay, naming_newer_weights_does_not_readmit_superseded_ones)
{
  Entry entry;
  const std::vector<WorkerInfo> workers = { Worker("w1", 2),
                                            Worker("w2", 3),
                                            Worker("w3", 3) };
  entry.SetWorkers(workers, 2);
  entry.SetWorkers(workers, 3);
  entry.AdvanceTicks(25'000);
  entry.Confirm();
  entry.SetWorkers(workers, 4);
  for (int i = 0; i < 20; ++i) {
    entry.SendRequest("/resumable/x");
    cr_assert_eq(entry.m_protocol.m_sentParameters.back().m_weights, 3);
  }
}

Test(relay, requests_that_wait_at_a_worker_do_not_begin_on_expired_weights)
{
  for (const bool isResumable : { true, false }) {
    Entry entry;
    entry.SetWorkers({ Worker("w1", 1) }, 2);
    entry.AdvanceTicks(3'000);
    entry.Confirm();
    entry.AdvanceTicks(2'000);
    entry.SendRequest(isResumable ? "/resumable/x" : "/once/x");
    cr_assert_eq(entry.LastWorker(), "w1");
    entry.SetWorkers({ Worker("w1", 1), Worker("w2", 2) }, 2);
    entry.AdvanceTicks(800);
    cr_assert_eq(entry.m_cancels, 0, "not expired yet");
    entry.AdvanceTicks(400);
    // A request that may not be repeated is left to its worker.
    cr_assert_eq(entry.m_cancels, isResumable ? 1 : 0);
    cr_assert_eq(entry.LastWorker(), isResumable ? "w2" : "w1");
  }
}

Test(relay, a_worker_that_loads_weights_does_not_attract_requests)
{
  for (const std::int64_t newest : { 1, 2 }) {
    Entry entry;
    entry.SetWorkers({ Worker("w1", 1), Worker("w2", 1) }, newest);
    entry.SendRequest("/resumable/x");
    const std::string refusing = entry.LastWorker();
    entry.Answer(503, "n", "");
    entry.Answer(200, "ps", "id: 1\ndata: a\n\n");
    int returned = 0;
    for (int i = 0; i < 10; ++i) {
      entry.AdvanceTicks(20);
      entry.SendRequest("/resumable/x");
      returned += entry.LastWorker() == refusing ? 1 : 0;
    }
    // A worker with the newest weights is full, not loading.
    cr_assert_eq(returned > 0, newest == 1, "%d", returned);
  }
}

Test(relay, a_worker_of_unknown_weights_has_to_check_that_they_are_the_newest)
{
  Entry entry;
  WorkerInfo worker = Worker("w1", 1);
  worker.m_weights.clear();
  entry.SetWorkers({ worker }, 3);
  for (const char* path : { "/resumable/x", "/idempotent/x" }) {
    entry.SendRequest(path);
    cr_assert_eq(entry.m_protocol.m_sentParameters.back().m_weights, 3);
  }
}

Test(relay, a_worker_without_models_gets_requests_before_and_after_a_naming)
{
  for (const bool isOtherModelNamed : { false, true }) {
    Entry entry;
    WorkerInfo worker = Worker("w1", 1);
    worker.m_weights.clear();
    entry.SetWorkers({ worker });
    if (isOtherModelNamed) {
      entry.m_flow.OnWeightsReport({ true, 2, { { "other", 2 } }, {} },
                                   entry.m_now);
    }
    entry.SendRequest("/idempotent/x");
    cr_assert_eq(entry.m_calls.size(), 1U);
    cr_assert_eq(entry.m_protocol.m_sentParameters.back().m_weights, -1);
  }
}

Test(relay, an_entry_that_starts_uses_old_weights_only_if_the_naming_is_recent)
{
  for (const bool isKnownToLeader : { true, false }) {
    Entry entry(Entry::InitialState::Unconfigured);
    if (isKnownToLeader) {
      entry.m_leaderWeights.OnConfirmed(entry.m_now - 1'000 * kMillisecond);
    }
    entry.m_leaderWeights.OnNamed("m", 2);
    entry.Configure();
    entry.SendRequest("/resumable/x");
    cr_assert_eq(entry.m_calls.size(), isKnownToLeader ? 1U : 0U);
    cr_assert_eq(entry.m_status, isKnownToLeader ? 0 : 503);
  }
}

// Guards against a store's part of one model that is read for another one.
Test(relay, models_share_no_parts)
{
  Entry entry;
  std::set<std::string> scopes;
  for (const char* model : { "m", "n" }) {
    entry.m_protocol.m_model = model;
    WorkerInfo worker = Worker("w1", 1);
    worker.m_weights["n"] = 1;
    entry.SetWorkers({ worker }, 1);
    entry.SendRequest("/resumable/x");
    scopes.insert(entry.m_protocol.m_sentParameters.back().m_cacheScope);
    entry.Answer(200, "ps", "");
  }
  cr_assert_eq(scopes.size(), 2U);
}

Test(relay, a_service_without_models_is_served_while_weights_are_named)
{
  for (const std::int64_t named : { -1, 3 }) {
    Entry entry;
    entry.m_protocol.m_model = "";
    WorkerInfo worker = Worker("w1", 1);
    worker.m_weights.clear();
    entry.SetWorkers({ worker }, named);
    entry.SendRequest("/idempotent/x");
    cr_assert_eq(entry.m_protocol.m_sentParameters.back().m_weights, -1);
    entry.Answer(200, "p", "");
    cr_assert_eq(entry.m_status, 200);
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
  push.m_changes = { { 0, PartKey(MakeCacheScope(1, "m", {}), "shared"), 80 } };
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
  entry.Answer(200, "ps", "id: 1\ndata: a\n\n");
  cr_assert_eq(entry.m_calls.size(), 7U, "a queued request is sent");
}

Test(relay, requests_that_are_recalled_together_do_not_fail_for_lack_of_room)
{
  Entry entry;
  RouteDocument document = entry.m_flow.Routes().Document();
  document.m_revision = Revision(4);
  document.m_pools["p"].m_engines.m_cacheCapacityTokens = 350;
  entry.AdvanceClock(1);
  entry.m_flow.OnRoutes(MakeDelta(entry.m_flow.Routes().Document(), document));
  entry.SetWorkers({ Worker("w1", 1) }, 2);
  entry.AdvanceTicks(3'000);
  entry.Confirm();
  entry.AdvanceTicks(2'000);
  for (int i = 0; i < 3; ++i) {
    entry.SendRequest("/resumable/x");
  }
  cr_assert_eq(entry.m_calls.size(), 3U);
  // The other worker has room for two of the three.
  entry.SetWorkers({ Worker("w1", 1), Worker("w2", 2) }, 2);
  entry.SendRequest("/resumable/x");
  cr_assert_eq(entry.LastWorker(), "w2");
  entry.AdvanceTicks(1'200);
  cr_assert_eq(
    entry.m_answers, 0, "%d: %s", entry.m_status, entry.m_body.c_str());
}
