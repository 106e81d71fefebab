// Tests of RelayFlow: streams whose next worker does not continue them.
#include "relay_test.h"

// Included last because its macros clash with names in other headers.
#include <criterion/criterion.h>

using namespace fulmarquay;
using namespace fulmarquay::testing;

namespace {

const std::string kFirstEvent = "id: 1\ndata: a\n\n";
const std::string kErrorHead =
  "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 6\r\n\r\nbusy\n\n";

/// An answer to the request that should continue a stream.
struct Continuation
{
  const char* m_name;
  int m_status;
  const char* m_flags;
  std::string m_data;
  CallResult m_end = CallResult::Complete;
};

std::vector<Continuation>
Failures()
{
  const std::string event = "id: 2\ndata: error\n\n";
  return {
    { "whole error", 500, "p", "error\n\n" },
    { "unsigned error", 502, "", "error\n\n" },
    { "error with a head as its body", 500, "p", kErrorHead },
    { "error without a length", 500, "pc", "error\n\n" },
    { "error that is reset", 500, "p", "error\n\nerr", CallResult::Incomplete },
    { "error in time only", 500, "p", "error\n\n", CallResult::TimedOut },
    { "error without a body", 500, "p", "" },
    { "error as a stream", 500, "ps", event },
    { "error as a stream without a length", 500, "psc", event },
    { "refusal", 503, "n", "busy\n\n" },
    { "refusal as a stream", 429, "ns", event },
    { "refusal that is reset", 503, "n", "bu\n\n", CallResult::Incomplete },
    { "misdirected", 421, "m", "" },
    { "client error", 404, "p", "error\n\n" },
    { "redirect", 302, "p", "moved\n\n" },
    { "not modified", 304, "p", "" },
    { "not modified as a stream", 304, "ps", "" },
    { "no content", 204, "p", "" },
    { "success that is no stream", 200, "p", "{}\n\n" },
    { "unsigned stream", 200, "s", event },
    { "no answer", 0, "", "", CallResult::Incomplete },
    { "not reached", 0, "", "", CallResult::NotSent },
  };
}

/// Gives the answer of the last call, as far as the call is not cancelled.
void
AnswerWith(Entry& aEntry, const Continuation& aAnswer)
{
  const CallId call = aEntry.m_calls.back().m_call;
  if (aAnswer.m_status != 0) {
    aEntry.Head(aAnswer.m_status, aAnswer.m_flags);
  }
  // One byte at a time, as a network may deliver it.
  for (const char byte : aAnswer.m_data) {
    aEntry.m_flow.OnData(call, std::string(1, byte));
  }
  aEntry.m_flow.OnEnd(call, aAnswer.m_end, "why");
  aEntry.CollectEffects();
}

} // namespace

Test(continuations, a_stream_contains_no_bytes_of_a_failed_continuation)
{
  for (const Continuation& failure : Failures()) {
    Entry entry;
    entry.SendRequest("/resumable/x");
    entry.Answer(200, "ps", kFirstEvent + "id: 2\nda", CallResult::Incomplete);
    for (int i = 0; i < 4 && entry.m_answers == 0; ++i) {
      AnswerWith(entry, failure);
    }
    cr_assert_eq(entry.m_body, kFirstEvent, "%s", failure.m_name);
    cr_assert_eq(entry.m_heads, 1, "%s", failure.m_name);
    cr_assert_eq(entry.m_answers, 1, "%s", failure.m_name);
    cr_assert_not(entry.m_isComplete, "%s", failure.m_name);
    cr_assert_eq(entry.m_status, 0, "%s: no second head", failure.m_name);
    cr_assert_eq(entry.m_flow.Running(), 0U, "%s", failure.m_name);
  }
}

Test(continuations, an_error_without_end_does_not_reach_the_stream)
{
  Entry entry;
  entry.SendRequest("/resumable/x");
  entry.Answer(200, "ps", kFirstEvent, CallResult::Incomplete);
  entry.Head(500, "pc");
  for (int i = 0; i < 64; ++i) {
    entry.Data(std::string(1U << 20U, 'x') + "\n\n");
  }
  entry.End(CallResult::Incomplete);
  cr_assert_eq(entry.m_body, kFirstEvent);
  cr_assert_not(entry.m_isComplete);
}

Test(continuations, a_stream_contains_no_bytes_of_an_earlier_failure)
{
  const std::vector<Continuation> failures = {
    { "refusal", 503, "n", "busy\n\n" },
    { "error that is reset", 500, "p", "err", CallResult::Incomplete },
    { "whole answer that is reset", 200, "p", "{", CallResult::Incomplete },
  };
  for (const Continuation& failure : failures) {
    Entry entry;
    entry.SendRequest("/resumable/x");
    AnswerWith(entry, failure);
    entry.Answer(200, "ps", kFirstEvent);
    cr_assert_eq(entry.m_body, kFirstEvent, "%s", failure.m_name);
    cr_assert_eq(entry.m_heads, 1, "%s", failure.m_name);
    cr_assert(entry.m_isComplete, "%s", failure.m_name);
  }
}

Test(continuations, an_answer_within_a_stream_is_not_an_event)
{
  for (const char* begin : { "", "id: 2\ndata: b" }) {
    Entry entry;
    entry.SendRequest("/stream/x");
    entry.Head(200, "psc");
    entry.Data(kFirstEvent + begin + kErrorHead);
    cr_assert_eq(entry.m_body, kFirstEvent);
    cr_assert_eq(entry.m_cancels, 1);
    cr_assert_not(entry.m_isComplete);
  }
  // A generated text may quote one; an event contains no carriage return.
  const std::string quote = "id: 1\ndata: HTTP/1.1 503 Busy\n\n";
  Entry entry;
  entry.SendRequest("/stream/x");
  entry.Answer(200, "ps", quote);
  cr_assert_eq(entry.m_body, quote);
  cr_assert(entry.m_isComplete);
}
