// Tests of RelayFlow before workers with several versions of their software.
#include "relay_test.h"

#include <algorithm>
#include <functional>
#include <set>

// Included last because its macros clash with names in other headers.
#include <criterion/criterion.h>

using namespace fulmarquay;
using namespace fulmarquay::testing;

namespace {

/// The software version of the worker of the last call.
std::string
SoftwareOf(const std::vector<WorkerInfo>& aWorkers, const std::string& aId)
{
  for (const WorkerInfo& worker : aWorkers) {
    if (worker.m_id.Value() == aId) {
      return worker.m_software.Value();
    }
  }
  return "";
}

/// Three workers of each of two versions.
std::vector<WorkerInfo>
MixedWorkers()
{
  return {
    Worker("w1", 1, "s1"), Worker("w2", 1, "s2"), Worker("w3", 1, "s1"),
    Worker("w4", 1, "s2"), Worker("w5", 1, "s1"), Worker("w6", 1, "s2")
  };
}

} // namespace

Test(software_versions, a_stream_broken_by_a_crash_goes_on_at_its_version)
{
  constexpr int kStreams = 20;
  for (int i = 0; i < kStreams; ++i) {
    Entry entry;
    entry.SetWorkers(MixedWorkers());
    for (int other = 0; other < i; ++other) {
      entry.SendRequest("/once/x");
    }
    entry.SendRequest("/resumable/x");
    const std::string first = entry.LastWorker();
    entry.Answer(200, "ps", "id: 1\ndata: a\n\n", CallResult::Incomplete);
    cr_assert_neq(entry.LastWorker(), first);
    cr_assert_eq(SoftwareOf(MixedWorkers(), entry.LastWorker()),
                 SoftwareOf(MixedWorkers(), first),
                 "after %s: %s",
                 first.c_str(),
                 entry.LastWorker().c_str());
  }
}

Test(software_versions, a_stream_that_its_caller_resumes_goes_on_at_its_version)
{
  constexpr int kStreams = 20;
  for (int i = 0; i < kStreams; ++i) {
    Entry entry;
    entry.SetWorkers(MixedWorkers());
    for (int other = 0; other < i; ++other) {
      entry.SendRequest("/once/x");
    }
    entry.SendRequest("/resumable/x");
    const std::string first = entry.LastWorker();
    entry.Head(200, "ps");
    entry.Data("id: 1\ndata: a\n\n");
    entry.m_flow.OnCallerDisconnected(CallerId(entry.m_caller));
    entry.CollectEffects();
    std::vector<WorkerInfo> workers = MixedWorkers();
    for (WorkerInfo& worker : workers) {
      worker.m_isLeaving = worker.m_id.Value() == first;
    }
    entry.SetWorkers(workers);
    entry.SendResumedRequest("/resumable/x", 1, entry.LastId());
    cr_assert_eq(SoftwareOf(MixedWorkers(), entry.LastWorker()),
                 SoftwareOf(MixedWorkers(), first),
                 "after %s: %s",
                 first.c_str(),
                 entry.LastWorker().c_str());
  }
}

namespace {

constexpr const char* kEvent = "id: 1\ndata: a\n\n";

/// Begins a stream that breaks after its first event; returns the software
/// version of its worker.
std::string
BeginBrokenStream(Entry& aEntry, const std::string& aPath)
{
  aEntry.SendRequest(aPath);
  const std::string worker = aEntry.LastWorker();
  aEntry.Head(200, "ps");
  aEntry.Data(kEvent);
  aEntry.m_flow.OnCallerDisconnected(CallerId(aEntry.m_caller));
  aEntry.CollectEffects();
  return SoftwareOf(MixedWorkers(), worker);
}

} // namespace

Test(software_versions, a_stream_of_unknown_origin_is_refused_as_not_run)
{
  struct Case
  {
    const char* m_name;
    const char* m_path;
    std::string m_resumes;
  };
  const std::vector<Case> cases = {
    { "missing", "/resumable/x", "" },
    { "unknown", "/resumable/x", "r77" },
    { "garbled", "/resumable/x", "\x01 r1,r2\xff" },
    { "of another path", "/resumable/y", "r1" },
    { "of another route", "/stream/x", "r1" },
  };
  for (const Case& each : cases) {
    Entry entry;
    entry.SetWorkers(MixedWorkers());
    BeginBrokenStream(entry, "/resumable/x");
    entry.SendResumedRequest(each.m_path, 1, each.m_resumes);
    entry.AdvanceTicks(300);
    cr_assert_eq(entry.m_calls.size(), 1U, "%s", each.m_name);
    cr_assert_eq(entry.m_status, 503, "%s", each.m_name);
    cr_assert_neq(entry.m_retryAfterMs, "0", "%s", each.m_name);
  }
}

Test(software_versions, a_stream_that_is_resumed_again_keeps_its_version)
{
  Entry entry;
  entry.SetWorkers(MixedWorkers());
  const std::string software = BeginBrokenStream(entry, "/resumable/x");
  std::string begunBy = entry.LastId();
  for (int event = 1; event < 6; ++event) {
    entry.SendResumedRequest("/resumable/x", event, begunBy);
    cr_assert_eq(SoftwareOf(MixedWorkers(), entry.LastWorker()), software);
    entry.Head(200, "ps");
    entry.Data("id: " + std::to_string(event + 1) + "\ndata: a\n\n");
    entry.m_flow.OnCallerDisconnected(CallerId(entry.m_caller));
    entry.CollectEffects();
    // Callers may name the last attempt instead of the first one.
    begunBy = event % 2 == 0 ? "r1" : entry.LastId();
  }
}

Test(software_versions, a_stream_without_an_event_may_go_on_at_any_version)
{
  Entry entry;
  entry.SetWorkers({ Worker("w1", 1, "s1"), Worker("w2", 1, "s2") });
  entry.SendRequest("/resumable/x");
  const std::string first = entry.LastWorker();
  entry.Answer(200, "ps", "id: 1\nda", CallResult::Incomplete);
  cr_assert_eq(entry.m_calls.size(), 2U);
  const std::string second = entry.LastWorker();
  cr_assert_neq(second, first);
  entry.Answer(200, "ps", kEvent, CallResult::Incomplete);
  cr_assert_eq(entry.m_calls.size(), 2U, "went on at a third worker");
  // Its caller resumes it: it began at the second worker.
  entry.AdvanceTicks(4'000);
  entry.Confirm();
  entry.m_flow.OnEnd(entry.m_probes.back().m_call, CallResult::Complete, "");
  entry.SendResumedRequest("/resumable/x", 1, "r1");
  cr_assert_eq(entry.m_calls.size(), 3U, "%s", entry.m_body.c_str());
  cr_assert_eq(entry.LastWorker(), second);
}

Test(software_versions, a_stream_is_refused_at_once_if_its_version_has_left)
{
  Entry entry;
  entry.SetWorkers(MixedWorkers());
  const std::string software = BeginBrokenStream(entry, "/resumable/x");
  std::vector<WorkerInfo> workers = MixedWorkers();
  for (WorkerInfo& worker : workers) {
    worker.m_isLeaving = worker.m_software.Value() == software;
  }
  entry.SetWorkers(workers);
  entry.SendResumedRequest("/resumable/x", 1, entry.LastId());
  cr_assert_eq(entry.m_status, 503);
  cr_assert_eq(entry.m_calls.size(), 1U);
  entry.SendRequest("/resumable/x");
  cr_assert_eq(entry.m_calls.size(), 2U, "a new one is served");
}

Test(software_versions, a_stream_goes_on_at_the_last_worker_of_its_version)
{
  Entry entry;
  entry.SetWorkers(MixedWorkers());
  const std::string software = BeginBrokenStream(entry, "/resumable/x");
  std::vector<WorkerInfo> workers = MixedWorkers();
  const auto last =
    std::find_if(workers.rbegin(), workers.rend(), [&](const auto& aEach) {
      return aEach.m_software.Value() == software;
    });
  for (WorkerInfo& worker : workers) {
    worker.m_isLeaving =
      worker.m_software.Value() == software && &worker != &*last;
  }
  entry.SetWorkers(workers);
  entry.SendResumedRequest("/resumable/x", 1, entry.LastId());
  cr_assert_eq(entry.LastWorker(), last->m_id.Value());
}

Test(software_versions,
     one_version_alone_needs_no_origin_while_the_list_is_current)
{
  Entry entry;
  entry.SendResumedRequest("/resumable/x", 4);
  cr_assert_eq(entry.m_calls.size(), 1U);
  cr_assert_eq(entry.m_protocol.m_sentParameters.back().m_lastEventId, 4);
  entry.AdvanceTicks(4'600);
  entry.m_flow.OnConfirmed(entry.m_now + 1'000 * kMillisecond, 1);
  entry.SendResumedRequest("/resumable/x", 4);
  cr_assert_eq(entry.m_calls.size(), 1U);
  cr_assert_eq(entry.m_status, 503);
  entry.Confirm();
  entry.SendResumedRequest("/resumable/x", 4);
  cr_assert_eq(entry.m_calls.size(), 2U);
}

Test(software_versions,
     a_worker_that_failed_resumes_no_stream_before_it_is_listed)
{
  Entry entry;
  entry.SetWorkers({ Worker("w1", 1, "s1"), Worker("w2", 1, "s2") });
  entry.SendRequest("/resumable/x");
  const TimePoint sentAt = entry.m_now;
  const std::string worker = entry.LastWorker();
  entry.Answer(200, "ps", kEvent, CallResult::Incomplete);
  cr_assert_eq(entry.m_answers, 1);
  entry.AdvanceTicks(1'000);
  entry.m_flow.OnEnd(entry.m_probes.back().m_call, CallResult::Complete, "");
  entry.SendResumedRequest("/resumable/x", 1, "r1");
  // Only a connection from before the broken stream leads to the same process.
  cr_assert_eq(entry.m_calls.size(), 2U);
  const TimePoint before = entry.m_calls.back().m_connectedBefore;
  cr_assert_neq(before, TimePoint());
  cr_assert_leq(before, sentAt);
  entry.End(CallResult::NotSent);
  cr_assert_eq(entry.m_calls.size(), 2U);
  cr_assert_eq(entry.m_status, 503);
  std::vector<WorkerInfo> workers = { Worker("w1", 1, "s1"),
                                      Worker("w2", 1, "s2") };
  for (WorkerInfo& each : workers) {
    each.m_createdMs = 5;
  }
  entry.SetWorkers(workers);
  entry.SendResumedRequest("/resumable/x", 1, "r1");
  cr_assert_eq(entry.LastWorker(), worker);
  cr_assert_eq(entry.m_calls.back().m_connectedBefore, TimePoint());
}

// Guards against a broken stream that outweighs later answers of the process.
Test(software_versions, an_answer_on_an_earlier_connection_proves_a_worker)
{
  for (const bool isEarlier : { true, false }) {
    Entry entry;
    entry.SetWorkers({ Worker("w1", 1, "s1"), Worker("w2", 1, "s2") });
    const TimePoint connectedAt = entry.m_now;
    entry.AdvanceTicks(20);
    entry.SendRequest("/resumable/x");
    const std::string worker = entry.LastWorker();
    entry.Answer(200, "ps", kEvent, CallResult::Incomplete);
    entry.AdvanceTicks(1'000);
    entry.m_flow.OnEnd(entry.m_probes.back().m_call, CallResult::Complete, "");
    do {
      entry.SendRequest("/stream/x");
    } while (entry.LastWorker() != worker);
    HttpResponse head;
    head.m_headers = { { "flags", "ps" } };
    head.m_connectedAt = isEarlier ? connectedAt : entry.m_now;
    entry.m_flow.OnHead(entry.m_calls.back().m_call, head);
    entry.SendResumedRequest("/resumable/x", 1, "r1");
    cr_assert_eq(entry.LastWorker(), worker);
    cr_assert_eq(entry.m_calls.back().m_connectedBefore == TimePoint(),
                 isEarlier);
  }
}

// Guards against streams that are sent to a worker which accepts no connection.
Test(software_versions, a_worker_that_was_not_reached_resumes_no_stream)
{
  Entry entry;
  entry.SetWorkers({ Worker("w1", 1, "s1"), Worker("w2", 1, "s2") });
  entry.SendRequest("/resumable/x");
  const std::string worker = entry.LastWorker();
  entry.Answer(200, "ps", kEvent, CallResult::Incomplete);
  entry.AdvanceTicks(1'000);
  entry.m_flow.OnEnd(entry.m_probes.back().m_call, CallResult::NotSent, "");
  entry.SendResumedRequest("/resumable/x", 1, "r1");
  cr_assert_eq(entry.m_calls.size(), 1U);
  cr_assert_eq(entry.m_status, 503);
}

Test(software_versions, a_new_stream_prefers_versions_that_all_entries_know)
{
  Entry entry;
  entry.SetWorkers({ Worker("w1", 1, "s1"),
                     Worker("w2", 1, "s2"),
                     Worker("w3", 1, "s2"),
                     Worker("w4", 1, "s2") });
  for (int i = 0; i < 10; ++i) {
    entry.SendRequest("/resumable/x");
    cr_assert_eq(entry.LastWorker(), "w1");
  }
  std::vector<WorkerInfo> workers = { Worker("w1", 1, "s1"),
                                      Worker("w2", 1, "s2") };
  workers.front().m_isLeaving = true;
  entry.SetWorkers(workers);
  entry.SendRequest("/resumable/x");
  cr_assert_eq(entry.LastWorker(), "w2");
}

namespace {

/// Puts a changed route document in force.
void
ChangeRoutes(Entry& aEntry, const std::function<void(RouteDocument&)>& aChange)
{
  const RouteDocument before = aEntry.m_flow.Routes().Document();
  RouteDocument after = before;
  after.m_revision = Revision(before.m_revision.Value() + 1);
  aChange(after);
  aEntry.m_flow.OnRoutes(MakeDelta(before, after));
}

/// Three workers of one version in each of two pools.
std::vector<WorkerInfo>
WorkersOfTwoPools()
{
  std::vector<WorkerInfo> workers = MixedWorkers();
  for (WorkerInfo& worker : workers) {
    worker.m_pool = PoolId(worker.m_software.Value() == "s1" ? "p" : "q");
    worker.m_software = SoftwareVersion("s1");
  }
  return workers;
}

PoolId
PoolOf(const std::string& aId)
{
  for (const WorkerInfo& worker : WorkersOfTwoPools()) {
    if (worker.m_id.Value() == aId) {
      return worker.m_pool;
    }
  }
  return {};
}

} // namespace

Test(software_versions, a_resumed_stream_stays_in_the_pool_that_began_it)
{
  Entry entry;
  entry.SetWorkers(WorkersOfTwoPools());
  ChangeRoutes(entry, [](RouteDocument& aDocument) {
    aDocument.m_pools["q"] = aDocument.m_pools["p"];
    aDocument.m_routes["/resumable/"].m_pools = { { PoolId("p"), 1 },
                                                  { PoolId("q"), 1 } };
  });
  std::set<PoolId> pools;
  for (int i = 0; i < 20; ++i) {
    BeginBrokenStream(entry, "/resumable/x");
    const PoolId pool = PoolOf(entry.LastWorker());
    pools.insert(pool);
    entry.SendResumedRequest("/resumable/x", 1, entry.LastId());
    cr_assert_eq(PoolOf(entry.LastWorker()), pool);
  }
  cr_assert_eq(pools.size(), 2U);
  const std::size_t calls = entry.m_calls.size();
  entry.SendResumedRequest("/resumable/x", 1, "r777");
  entry.AdvanceTicks(300);
  cr_assert_eq(entry.m_calls.size(), calls, "of unknown origin");
}

Test(software_versions, a_stream_whose_route_has_left_its_pool_is_refused)
{
  Entry entry;
  entry.SetWorkers(WorkersOfTwoPools());
  BeginBrokenStream(entry, "/resumable/x");
  ChangeRoutes(entry, [](RouteDocument& aDocument) {
    aDocument.m_pools["q"] = aDocument.m_pools["p"];
    aDocument.m_routes["/resumable/"].m_pools = { { PoolId("q"), 1 } };
  });
  for (const char* begunBy : { "r1", "r777", "" }) {
    entry.m_status = 0;
    entry.SendResumedRequest("/resumable/x", 1, begunBy);
    entry.AdvanceTicks(300);
    cr_assert_eq(entry.m_status, 503, "%s", begunBy);
    cr_assert_eq(entry.m_calls.size(), 1U, "%s", begunBy);
  }
  entry.AdvanceTicks(60'000);
  entry.Confirm();
  entry.SendResumedRequest("/resumable/x", 1, "");
  cr_assert_eq(entry.m_calls.size(), 2U, "all streams of before are over");
}

Test(software_versions, streams_that_wait_for_their_version_hold_up_no_others)
{
  Entry entry;
  entry.SetWorkers({ Worker("w1", 1, "s1"), Worker("w2", 1, "s2") });
  entry.AdvanceTicks(6'000);
  entry.Confirm();
  ChangeRoutes(entry, [](RouteDocument& aDocument) {
    aDocument.m_pools["p"].m_engines.m_cacheCapacityTokens = 100;
  });
  BeginBrokenStream(entry, "/resumable/x");
  const std::string begunBy = entry.LastId();
  const std::string worker = entry.LastWorker();
  entry.SendRequest("/resumable/x");
  cr_assert_eq(entry.LastWorker(), worker, "fills the worker that began it");
  const CallId filling = entry.m_calls.back().m_call;
  entry.SendResumedRequest("/resumable/x", 1, begunBy);
  cr_assert_eq(entry.m_calls.size(), 2U, "waits");
  entry.SendRequest("/resumable/x");
  cr_assert_eq(entry.m_calls.size(), 3U);
  cr_assert_neq(entry.LastWorker(), worker);
  HttpResponse head;
  head.m_headers = { { "flags", "ps" } };
  entry.m_flow.OnHead(filling, head);
  entry.m_flow.OnEnd(filling, CallResult::Complete, "");
  entry.CollectEffects();
  cr_assert_eq(entry.m_calls.size(), 4U);
  cr_assert_eq(entry.LastWorker(), worker, "goes on when there is room");
}

Test(software_versions, a_new_version_is_used_if_the_known_one_has_old_weights)
{
  Entry entry;
  entry.SetWorkers({ Worker("w1", 1, "s1") }, 2);
  for (int second = 0; second < 8; ++second) {
    entry.AdvanceTicks(1'000);
    entry.Confirm();
  }
  entry.SetWorkers({ Worker("w1", 1, "s1"), Worker("w2", 2, "s2") }, 2);
  entry.SendRequest("/resumable/x");
  cr_assert_eq(entry.m_calls.size(), 1U, "%s", entry.m_body.c_str());
  cr_assert_eq(entry.LastWorker(), "w2");
}
