// Requests that an entry passes to another one, and those that it receives.
#include "relay_test.h"

#include <cstdlib>
#include <map>

// Included last because its macros clash with names in other headers.
#include <criterion/criterion.h>

using namespace fulmarquay;
using namespace fulmarquay::testing;

namespace {

const std::string kUnreachedHeader =
  std::to_string(static_cast<int>(PassRefusal::Elsewhere));

RelayPeer
Peer(const std::string& aVm, const std::string& aDataCentre = "")
{
  return { VmId(aVm),
           BootId(1),
           DataCentreId(aDataCentre),
           "10.0.3.1:" + std::to_string(9000 + aVm.back()) };
}

bool
IsToPeer(const HttpCall& aCall)
{
  return aCall.m_peer.Ip() == "10.0.3.1";
}

/// An entry with three neighbours that has just met two unreachable workers.
struct CutOffEntry : Entry
{
  CutOffEntry() { m_flow.OnRelayPeers({ Peer("e2"), Peer("e3"), Peer("e4") }); }

  /// Sends a request, which is passed on after two unreachable workers, and the
  /// next ones at once.
  void SendPassed(const std::string& aPath)
  {
    SendRequest(aPath);
    while (!IsToPeer(m_calls.back())) {
      End(CallResult::NotSent);
    }
  }

  /// Lets all probes fail until the pool is known to be unreached.
  void ConfirmCut()
  {
    SendPassed("/once/x");
    AnswerOfPeer(200, "p", { PassRefusal::None, "w3", "p", "s1" }, "whole");
    for (int i = 0; i < 10; ++i) {
      AdvanceTicks(100);
      for (const HttpCall& probe : std::exchange(m_probes, {})) {
        m_flow.OnEnd(probe.m_call, CallResult::NotSent, "");
        CollectEffects();
      }
    }
    m_answers = 0;
  }

  void AnswerOfPeer(int aStatus,
                    const std::string& aFlags,
                    const PassedAnswer& aAnswer,
                    const std::string& aData = "")
  {
    AdvanceClock(1);
    HttpResponse head;
    head.m_status = aStatus;
    head.m_headers = { { "flags", aFlags } };
    m_protocol.MarkPassed(head, aAnswer);
    m_flow.OnHead(m_calls.back().m_call, head);
    CollectEffects();
    if (!aData.empty()) {
      Data(aData);
    }
    End(CallResult::Complete);
  }
  void RefusalOfPeer(PassRefusal aRefusal)
  {
    PassedAnswer answer;
    answer.m_refusal = aRefusal;
    AnswerOfPeer(503, "", answer);
  }
};

} // namespace

// Guards against a neighbour whose document lacks an account and that then gets
// no requests of others.
Test(relay_passing, a_refused_key_is_no_sign_that_a_neighbour_reaches_no_worker)
{
  for (const int status : { 400, 401, 404 }) {
    CutOffEntry entry;
    entry.ConfirmCut();
    entry.SendPassed("/once/x");
    const Endpoint first = entry.m_calls.back().m_peer;
    entry.AnswerOfPeer(status, "", { PassRefusal::Elsewhere, "", "", "" });
    cr_assert(IsToPeer(entry.m_calls.back()), "another one is asked");
    cr_assert(entry.m_calls.back().m_peer != first);
    cr_assert_eq(entry.m_answers, 0, "the refusal is not answered");
    entry.RefusalOfPeer(PassRefusal::Elsewhere);
    entry.RefusalOfPeer(PassRefusal::Elsewhere);
    cr_assert_eq(entry.m_status, 503);
    entry.SendRequest("/once/x");
    cr_assert_eq(entry.m_answers, 1, "status %d", status);
    cr_assert(entry.m_calls.back().m_peer == first);
  }
}

Test(relay_passing, after_two_unreachable_workers_requests_are_passed_on)
{
  CutOffEntry entry;
  entry.SendPassed("/once/x");
  cr_assert_eq(entry.m_calls.size(), 3U);
  entry.AnswerOfPeer(200, "p", { PassRefusal::None, "w3", "p", "s1" }, "whole");
  cr_assert_eq(entry.m_status, 200);
  cr_assert_str_eq(entry.m_body.c_str(), "whole");
  entry.SendRequest("/idempotent/x");
  cr_assert(IsToPeer(entry.m_calls.back()), "the pool is known as unreached");
  cr_assert_eq(entry.m_calls.size(), 4U);
  cr_assert_eq(entry.m_flow.UnreachedPools(), 1U);
}

Test(relay_passing, neighbours_that_refuse_are_followed_by_others)
{
  CutOffEntry entry;
  entry.ConfirmCut();
  entry.SendPassed("/once/x");
  entry.RefusalOfPeer(PassRefusal::Elsewhere);
  entry.RefusalOfPeer(PassRefusal::Busy);
  cr_assert_eq(entry.m_answers, 0);
  const std::size_t calls = entry.m_calls.size();
  entry.RefusalOfPeer(PassRefusal::Elsewhere);
  cr_assert_eq(entry.m_status, 503);
  // No neighbour is left for the pool, so the next request is refused at once.
  entry.SendRequest("/once/x");
  cr_assert_eq(entry.m_answers, 2);
  cr_assert_eq(entry.m_calls.size(), calls);
}

Test(relay_passing, a_final_refusal_is_the_callers_answer)
{
  CutOffEntry entry;
  entry.SendPassed("/idempotent/x");
  entry.RefusalOfPeer(PassRefusal::Final);
  cr_assert_eq(entry.m_status, 503);
  cr_assert_eq(entry.m_calls.size(), 3U);
}

Test(relay_passing,
     a_passed_request_without_an_answer_is_not_reported_as_not_run)
{
  CutOffEntry once;
  once.SendPassed("/once/x");
  once.End(CallResult::Incomplete);
  cr_assert_eq(once.m_status, 502);
  cr_assert_eq(once.m_calls.size(), 3U);

  CutOffEntry idempotent;
  idempotent.ConfirmCut();
  idempotent.SendPassed("/idempotent/x");
  const Endpoint first = idempotent.m_calls.back().m_peer;
  idempotent.End(CallResult::Incomplete);
  cr_assert(IsToPeer(idempotent.m_calls.back()));
  cr_assert(!(idempotent.m_calls.back().m_peer == first));
  cr_assert_eq(idempotent.m_protocol.m_passed.back().m_attempts, 1);
  idempotent.RefusalOfPeer(PassRefusal::Elsewhere);
  idempotent.RefusalOfPeer(PassRefusal::Elsewhere);
  cr_assert_eq(idempotent.m_status, 502, "the first entry may have run it");

  CutOffEntry late;
  late.SendPassed("/once/x");
  late.AdvanceTicks(kTimeoutMs + 100);
  cr_assert_eq(late.m_status, 504);
}

Test(relay_passing, a_failure_of_the_other_entry_is_no_answer_of_a_worker)
{
  for (const int status : { 400, 413, 431, 500, 502 }) {
    CutOffEntry entry;
    entry.SendPassed("/once/x");
    entry.AnswerOfPeer(status, "", {});
    cr_assert_eq(entry.m_status, 502, "%d", status);
  }
  CutOffEntry worker;
  worker.SendPassed("/idempotent/x");
  worker.AnswerOfPeer(500, "p", { PassRefusal::None, "w3", "p", "s1" });
  cr_assert_eq(worker.m_status, 500);
}

Test(relay_passing, a_broken_stream_goes_on_at_another_entry)
{
  CutOffEntry entry;
  entry.SendRequest("/resumable/x");
  entry.Head(200, "ps");
  entry.Data("id: 0\ndata: a\n\nid: 1\ndata: b\n\n");
  entry.End(CallResult::Incomplete);
  while (!IsToPeer(entry.m_calls.back())) {
    entry.End(CallResult::NotSent);
  }
  const PassParameters& passed = entry.m_protocol.m_passed.back();
  cr_assert_eq(passed.m_lastEventId, 1);
  cr_assert_str_eq(passed.m_pool.c_str(), "p");
  cr_assert_str_eq(passed.m_software.c_str(), "s1");
  cr_assert_eq(passed.m_attempts, 1);
  cr_assert(passed.m_isCounted);
  entry.AnswerOfPeer(
    200, "ps", { PassRefusal::None, "w3", "p", "s1" }, "id: 2\ndata: c\n\n");
  cr_assert(entry.m_isComplete);
  cr_assert_str_eq(entry.m_body.c_str(),
                   "id: 0\ndata: a\n\nid: 1\ndata: b\n\nid: 2\ndata: c\n\n");
}

Test(relay_passing, a_caller_that_leaves_cancels_the_passed_request)
{
  CutOffEntry entry;
  entry.SendPassed("/resumable/x");
  const int cancels = entry.m_cancels;
  entry.m_flow.OnCallerDisconnected(CallerId(entry.m_caller));
  entry.CollectEffects();
  cr_assert_eq(entry.m_cancels, cancels + 1);
}

Test(relay_passing, an_answer_of_another_entry_says_what_its_worker_announced)
{
  CutOffEntry entry;
  entry.SendPassed("/once/x");
  entry.AnswerOfPeer(200, "pl", { PassRefusal::None, "w3", "p", "s1" }, "x");
  cr_assert(
    entry.m_flow.Workers().All().at(WorkerId("w3")).m_hasAnnouncedLeaving);
}

Test(relay_passing, a_received_request_is_run_within_the_attempts_that_are_left)
{
  Entry entry;
  HttpRequest request{ "POST",
                       "/idempotent/x",
                       { { "key", "key" },
                         { "id", "r1" },
                         { "from", "e2" },
                         { "deadline_ms", "500" },
                         { "attempts", "1" } },
                       "" };
  entry.m_flow.Start(CallerId(1), request, true);
  entry.CollectEffects();
  cr_assert_eq(entry.m_protocol.m_sentParameters.back().m_timeLeft.count(),
               500'000);
  entry.End(CallResult::Incomplete);
  cr_assert_eq(entry.m_calls.size(), 1U);
  cr_assert_eq(entry.m_status, 502);
}

Test(relay_passing, a_received_request_is_never_passed_on)
{
  CutOffEntry entry;
  HttpRequest request{ "POST",
                       "/once/x",
                       { { "key", "key" }, { "id", "r1" }, { "from", "e2" } },
                       "" };
  entry.m_flow.Start(CallerId(1), request, true);
  entry.CollectEffects();
  for (int i = 0; i < 3; ++i) {
    entry.End(CallResult::NotSent);
  }
  cr_assert_eq(entry.m_calls.size(), 3U);
  cr_assert_eq(entry.m_status, 503);
  cr_assert_str_eq(entry.m_passRefusal.c_str(), kUnreachedHeader.c_str());
}

Test(relay_passing, a_received_request_needs_a_key_that_is_valid_here)
{
  Entry entry;
  HttpRequest request{
    "POST",
    "/once/x",
    { { "key", "revoked" }, { "id", "r1" }, { "from", "e2" } },
    ""
  };
  entry.m_flow.Start(CallerId(1), request, true);
  entry.CollectEffects();
  cr_assert(entry.m_calls.empty());
  cr_assert_eq(entry.m_status, 401);
  cr_assert_str_eq(entry.m_passRefusal.c_str(), kUnreachedHeader.c_str());
}

Test(relay_passing, a_pool_is_served_here_again_once_workers_accept_connections)
{
  CutOffEntry entry;
  entry.SendPassed("/once/x");
  entry.AdvanceTicks(500);
  const auto endProbes = [&](CallResult aEnd) {
    for (const HttpCall& probe : std::exchange(entry.m_probes, {})) {
      entry.m_flow.OnEnd(probe.m_call, aEnd, "");
      entry.CollectEffects();
    }
  };
  endProbes(CallResult::NotSent);
  entry.SendRequest("/once/x");
  cr_assert(IsToPeer(entry.m_calls.back()));
  entry.AdvanceTicks(600);
  endProbes(CallResult::Complete);
  entry.SendRequest("/once/x");
  cr_assert(IsToPeer(entry.m_calls.back()), "other workers are probed first");
  entry.AdvanceTicks(160);
  endProbes(CallResult::Complete);
  entry.AdvanceTicks(160);
  entry.SendRequest("/once/x");
  cr_assert(!IsToPeer(entry.m_calls.back()));
  cr_assert_eq(entry.m_flow.UnreachedPools(), 0U);
}

Test(neighbours, requests_are_spread_and_stay_in_the_data_centre_if_possible)
{
  Neighbours neighbours;
  neighbours.Set({ Peer("e2", "d1"), Peer("e3", "d1"), Peer("e4", "d2") },
                 DataCentreId("d1"));
  const PoolId pool("p");
  std::map<VmId, int> chosen;
  for (std::uint64_t i = 0; i < 16; ++i) {
    const RelayPeer* peer = neighbours.Choose(TimePoint(), pool, {}, i);
    ++chosen[peer->m_vm];
    neighbours.OnPassed(peer->m_vm);
  }
  // Four more at each local one than at the remote one.
  cr_assert_leq(std::abs(chosen[VmId("e2")] - chosen[VmId("e3")]), 1);
  cr_assert_leq(std::abs(chosen[VmId("e2")] - chosen[VmId("e4")] - 4), 1);
}

Test(neighbours, one_that_served_a_pool_comes_before_those_that_are_unknown)
{
  Neighbours neighbours;
  neighbours.Set({ Peer("e2", "d1"), Peer("e3", "d1"), Peer("e4", "d2") },
                 DataCentreId("d1"));
  const PoolId pool("p");
  const auto choose = [&](std::int64_t aMillis) {
    return neighbours.Choose(TimePoint(aMillis * kMillisecond), pool, {}, 1)
      ->m_vm;
  };
  const VmId first = choose(1'000);
  cr_assert(first != VmId("e4"));
  neighbours.OnUnreached(TimePoint(1'000 * kMillisecond), first, pool);
  cr_assert(choose(1'000) == VmId("e4"), "a data centre without a refusal");
  neighbours.OnServed(TimePoint(1'000 * kMillisecond), VmId("e4"), pool);
  cr_assert(choose(2'000) == VmId("e4"));
  cr_assert(choose(12'000) != VmId("e4"));
}

Test(neighbours, one_that_refused_or_failed_is_left_out_for_a_while)
{
  Neighbours neighbours;
  neighbours.Set({ Peer("e2") }, DataCentreId());
  const PoolId pool("p");
  const TimePoint now{ Duration(1'000'000) };
  const auto isChosen = [&](std::int64_t aMillis, const PoolId& aPool) {
    return neighbours.Choose(now + aMillis * kMillisecond, aPool, {}, 1) !=
           nullptr;
  };
  neighbours.OnBusy(now, VmId("e2"), pool);
  cr_assert(!isChosen(50, pool));
  cr_assert(isChosen(50, PoolId("other")));
  cr_assert(isChosen(150, pool));
  neighbours.OnUnreached(now, VmId("e2"), pool);
  cr_assert(!isChosen(450, pool));
  cr_assert(isChosen(550, pool));
  neighbours.OnFailed(now, VmId("e2"));
  cr_assert(!isChosen(900, PoolId("other")));
  cr_assert(isChosen(1'100, PoolId("other")));
}

Test(pool_reach, one_crashed_worker_does_not_make_a_pool_unreached)
{
  PoolReach reach;
  const PoolId pool("p");
  const TimePoint now{ Duration(1'000'000) };
  cr_assert(!reach.OnUnreached(now, pool, WorkerId("w1")));
  cr_assert(!reach.OnUnreached(now, pool, WorkerId("w1")));
  cr_assert(!reach.IsUnreached(now, pool));
  reach.OnReached(now, pool);
  cr_assert(!reach.OnUnreached(now, pool, WorkerId("w2")));
  cr_assert(reach.OnUnreached(now, pool, WorkerId("w1")));
  cr_assert(reach.IsUnreached(now, pool));
  cr_assert(reach.OnReached(now + 2 * kMillisecond, pool));
  cr_assert(!reach.IsUnreached(now + 2 * kMillisecond, pool), "a false alarm");

  reach.OnUnreached(now, pool, WorkerId("w1"));
  reach.OnAnswered(pool, now + kMillisecond);
  cr_assert(!reach.OnUnreached(now + 3 * kMillisecond, pool, WorkerId("w2")));
  reach.OnAnswered(pool, now);
  cr_assert(reach.OnUnreached(now + 4 * kMillisecond, pool, WorkerId("w1")),
            "that answer was sent for before");
}

Test(pool_reach, a_worker_that_is_down_does_not_keep_a_pool_unreached)
{
  PoolReach reach;
  const PoolId pool("p");
  const TimePoint now{ Duration(1'000'000) };
  reach.OnUnreached(now, pool, WorkerId("w1"));
  reach.OnUnreached(now, pool, WorkerId("w2"));
  const TimePoint back = now + 5'000 * kMillisecond;
  cr_assert(reach.OnReached(back, pool));
  reach.OnUnreached(back + 10 * kMillisecond, pool, WorkerId("w2"));
  cr_assert(reach.IsUnreached(back + 100 * kMillisecond, pool));
  cr_assert(!reach.IsUnreached(back + 300 * kMillisecond, pool));
  cr_assert(
    !reach.OnUnreached(back + 400 * kMillisecond, pool, WorkerId("w2")));
  cr_assert(!reach.IsUnreached(back + 400 * kMillisecond, pool));
}
