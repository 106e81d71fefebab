// Tests of RelayFlow: which refusals of workers count as "not run".
#include "relay_test.h"

// Included last because its macros clash with names in other headers.
#include <criterion/criterion.h>

using namespace fulmarquay;
using namespace fulmarquay::testing;

namespace {

/// A worker at the port that is given, with the address of Worker().
WorkerInfo
WorkerAt(const std::string& aId, const std::string& aAddress)
{
  WorkerInfo worker = Worker(aId, 1);
  worker.m_address = aAddress;
  return worker;
}

} // namespace

Test(refusals, a_request_returns_to_an_address_on_a_new_connection)
{
  // The list still contains the former worker at this address.
  Entry entry;
  entry.SetWorkers(
    { WorkerAt("w1", "10.0.0.1:1"), WorkerAt("w2", "10.0.0.1:1") });
  entry.SendRequest("/once/x");
  cr_assert_not(entry.m_calls.back().m_needsNewConnection);
  entry.Answer(421, "m", "");
  cr_assert_eq(entry.m_calls.size(), 2U);
  cr_assert(entry.m_calls.back().m_needsNewConnection);
  Entry other;
  other.SetWorkers(
    { WorkerAt("w1", "10.0.0.1:1"), WorkerAt("w2", "10.0.0.1:2") });
  other.SendRequest("/once/x");
  other.Answer(503, "n", "");
  cr_assert_eq(other.m_calls.size(), 2U);
  cr_assert_not(other.m_calls.back().m_needsNewConnection);
}

// Guards against a request that can't be encoded and counts as a failure of
// each worker that it is tried at.
Test(refusals, a_request_that_cannot_be_encoded_is_refused_at_once)
{
  Entry entry;
  for (int i = 0; i < 5; ++i) {
    entry.SendRequest("/resumable/x");
    const std::size_t calls = entry.m_calls.size();
    entry.End(CallResult::NotEncoded);
    cr_assert_eq(entry.m_status, 431);
    cr_assert_eq(entry.m_calls.size(), calls);
  }
  entry.AdvanceTicks(1'000);
  cr_assert(entry.m_probes.empty(), "no worker is suspected");
}

Test(refusals, an_unproved_refusal_of_a_request_that_may_not_be_repeated)
{
  for (const char* path : { "/once/x", "/stream/x" }) {
    for (const int status : { 408, 429, 503 }) {
      Entry entry;
      entry.SendRequest(path);
      entry.Answer(status, "p", "busy");
      cr_assert_eq(entry.m_status, 502, "%s %d", path, status);
      cr_assert_eq(entry.m_calls.size(), 1U);
      Entry refusing;
      refusing.SendRequest(path);
      refusing.Answer(status, "n", "busy");
      cr_assert_eq(refusing.m_calls.size(), 2U);
      refusing.Answer(status, "n", "busy");
      cr_assert_eq(refusing.m_status, 503);
    }
  }
}

Test(refusals, a_success_that_claims_not_to_have_run_is_not_repeated)
{
  for (const char* flags : { "pn", "psn" }) {
    Entry entry;
    entry.SendRequest("/stream/x");
    entry.Answer(200, flags, "id: 1\ndata: a\n\n");
    cr_assert_eq(entry.m_calls.size(), 1U, "%s", flags);
    cr_assert_eq(entry.m_answers, 1);
    cr_assert_eq(entry.m_body, "id: 1\ndata: a\n\n");
  }
}

Test(refusals, a_broken_refusal_is_not_believed)
{
  for (const CallResult end :
       { CallResult::Incomplete, CallResult::TimedOut }) {
    Entry entry;
    entry.SendRequest("/once/x");
    entry.Answer(503, "n", "bu", end);
    cr_assert_eq(entry.m_calls.size(), 1U);
    cr_assert_eq(entry.m_status, 502);
  }
}
