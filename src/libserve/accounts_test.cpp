// Tests of RelayFlow: which account a request belongs to.
#include "relay_test.h"

// Included last because its macros clash with names in other headers.
#include <criterion/criterion.h>

using namespace fulmarquay;
using namespace fulmarquay::testing;

// Guards against log lines in which a request without a key and one with an
// unknown key look alike.
Test(accounts, the_log_names_the_state_of_the_key_and_the_revision)
{
  Entry entry;
  entry.SendRequest("/open/x", "");
  cr_assert_eq(entry.LoggedField(LogEvent::RequestSent, "key_state"), "none");
  cr_assert_eq(entry.LoggedField(LogEvent::RequestSent, "account"), "");
  entry.SendRequest("/open/x", "key");
  cr_assert_eq(entry.LoggedField(LogEvent::RequestSent, "key_state"), "held");
  cr_assert_eq(entry.LoggedField(LogEvent::RequestSent, "account"), "acc");
  cr_assert_eq(entry.LoggedField(LogEvent::RequestSent, "key_revision"), "3");
  entry.SendRequest("/once/x", "");
  const LogEvent refused = LogEvent::RequestRefused;
  cr_assert_eq(entry.LoggedField(refused, "key_state"), "none");
  cr_assert_eq(entry.LoggedField(refused, "reason"), "no key");
  entry.SendRequest("/once/x", "other");
  cr_assert_eq(entry.LoggedField(refused, "key_state"), "unknown");
  cr_assert_eq(entry.LoggedField(refused, "reason"), "unknown key");
  cr_assert_eq(entry.LoggedField(refused, "key_revision"), "3");
  entry.SendRequest("/none/x", "key");
  cr_assert_eq(entry.LoggedField(refused, "key_state"), "unchecked");
  entry.AdvanceTicks(4'100);
  entry.SendRequest("/open/x", "other");
  cr_assert_eq(entry.LoggedField(refused, "key_state"), "unconfirmed");
}

namespace {

/// Replaces the document in force by its next revision.
template<typename Change>
void
ChangeDocument(Entry& aEntry, Change aChange)
{
  RouteDocument document = aEntry.m_flow.Routes().Document();
  document.m_revision = Revision(document.m_revision.Value() + 1);
  aChange(document);
  aEntry.m_flow.OnRoutes(
    MakeDelta(aEntry.m_flow.Routes().Document(), document));
}

/// Lets all routes of the document in force be used without a key.
void
OpenAllRoutes(Entry& aEntry)
{
  ChangeDocument(aEntry, [](RouteDocument& aDocument) {
    for (auto& [name, rule] : aDocument.m_routes) {
      rule.m_allowsAnonymous = true;
    }
  });
}

const char* const kPaths[] = { "/idempotent/x",
                               "/once/x",
                               "/stream/x",
                               "/resumable/x",
                               "/open/x" };

/// Sends a request and returns its status; 0 if it was sent to a worker.
int
StatusOf(Entry& aEntry, const std::string& aPath, const std::string& aKey)
{
  const std::size_t calls = aEntry.m_calls.size();
  aEntry.m_status = 0;
  aEntry.SendRequest(aPath, aKey);
  cr_assert_eq(aEntry.m_calls.size(), calls + (aEntry.m_status == 0 ? 1 : 0));
  return aEntry.m_status;
}

} // namespace

// Guards against requests with an unknown key that run as anonymous ones on
// routes that need no key.
Test(accounts, an_unknown_key_is_refused_on_routes_of_every_kind)
{
  Entry entry;
  OpenAllRoutes(entry);
  for (const char* path : kPaths) {
    cr_assert_eq(StatusOf(entry, path, "other"), 401, "%s", path);
    cr_assert_eq(entry.m_retryAfterMs, "0");
    cr_assert_eq(entry.LoggedField(LogEvent::RequestRefused, "reason"),
                 "unknown key");
    cr_assert_eq(StatusOf(entry, path, ""), 0, "%s", path);
    cr_assert_eq(StatusOf(entry, path, "key"), 0, "%s", path);
  }
}

// Guards against keys that still work on open routes after they were revoked.
Test(accounts, a_revoked_key_is_refused_until_a_document_has_it_again)
{
  Entry entry;
  OpenAllRoutes(entry);
  cr_assert_eq(StatusOf(entry, "/open/x", "key"), 0);
  ChangeDocument(entry, [](RouteDocument& aDocument) {
    aDocument.m_accounts["acc"].m_keyHashes = { Sha256Hex("new") };
  });
  for (const char* path : kPaths) {
    cr_assert_eq(StatusOf(entry, path, "key"), 401, "%s", path);
    cr_assert_eq(StatusOf(entry, path, "new"), 0, "%s", path);
  }
  ChangeDocument(
    entry, [](RouteDocument& aDocument) { aDocument.m_accounts.clear(); });
  for (const char* path : kPaths) {
    cr_assert_eq(StatusOf(entry, path, "new"), 401, "%s", path);
    cr_assert_eq(StatusOf(entry, path, ""), 0, "%s", path);
  }
  ChangeDocument(entry, [](RouteDocument& aDocument) {
    aDocument.m_accounts["acc"].m_keyHashes = { Sha256Hex("key") };
  });
  cr_assert_eq(StatusOf(entry, "/open/x", "key"), 0);
}

// Guards against requests of an account that run as anonymous ones once the
// document has no list of accounts any more.
Test(accounts, a_document_without_accounts_needs_no_key_and_accepts_none)
{
  Entry entry;
  ChangeDocument(entry, [](RouteDocument& aDocument) {
    aDocument.m_accounts.clear();
    aDocument.m_needsKeys = false;
  });
  for (const char* path : kPaths) {
    cr_assert_eq(StatusOf(entry, path, "key"), 401, "%s", path);
    cr_assert_eq(StatusOf(entry, path, ""), 0, "%s", path);
  }
}

// Guards against a document that is outdated and refuses a key as unknown.
Test(accounts, an_unknown_key_is_refused_as_such_under_a_lease_only)
{
  Entry entry;
  entry.AdvanceTicks(4'100);
  cr_assert_eq(StatusOf(entry, "/open/x", "other"), 503);
  entry.Confirm();
  cr_assert_eq(StatusOf(entry, "/open/x", "other"), 401);
}

// A key that is revoked later concerns requests that are sent later.
Test(accounts, a_request_accepted_before_its_key_was_revoked_is_repeated)
{
  Entry entry;
  OpenAllRoutes(entry);
  cr_assert_eq(StatusOf(entry, "/resumable/x", "key"), 0);
  entry.Head(200, "ps");
  entry.Data("id: 1\ndata: a\n\n");
  ChangeDocument(entry, [](RouteDocument& aDocument) {
    aDocument.m_accounts["acc"].m_keyHashes = {};
  });
  entry.End(CallResult::Incomplete);
  cr_assert_eq(entry.m_calls.size(), 2U);
  cr_assert_eq(entry.m_protocol.m_sentParameters.back().m_account, "acc");
  // Its caller resumes it by a request of its own.
  entry.m_status = 0;
  entry.SendResumedRequest("/resumable/x", 1, "r1");
  cr_assert_eq(entry.m_status, 401);
}

// Guards against a request that waits for the startup and runs with a key that
// is revoked in the first document.
Test(accounts, a_request_that_waited_for_the_startup_needs_a_held_key)
{
  Entry entry(Entry::InitialState::Unconfigured);
  entry.SendRequest("/open/x", "other");
  cr_assert_eq(entry.m_answers, 0);
  entry.SendRequest("/open/x", "");
  entry.Configure();
  entry.AdvanceTicks(20);
  cr_assert_eq(entry.m_answers, 1);
  cr_assert_eq(entry.m_status, 401);
  cr_assert_eq(entry.m_calls.size(), 1U);
}

// Guards against requests that run for the first of several keys, although
// another one was revoked.
Test(accounts, a_request_with_several_keys_is_invalid_on_every_route)
{
  Entry entry;
  OpenAllRoutes(entry);
  for (const char* path : kPaths) {
    cr_assert_eq(StatusOf(entry, path, "key,other"), 400, "%s", path);
  }
  cr_assert_eq(entry.LoggedField(LogEvent::RequestRefused, "key_state"),
               "ambiguous");
  entry.AdvanceTicks(4'100);
  cr_assert_eq(StatusOf(entry, "/open/x", "key,other"), 400, "no lease");
}

// Guards against a document with an empty key, to whose account all requests
// without a key would belong.
Test(accounts, a_request_without_a_key_has_no_account)
{
  Entry entry;
  ChangeDocument(entry, [](RouteDocument& aDocument) {
    aDocument.m_accounts["acc"].m_keyHashes = { Sha256Hex("") };
  });
  cr_assert_eq(StatusOf(entry, "/once/x", ""), 401);
  cr_assert_eq(StatusOf(entry, "/open/x", ""), 0);
  cr_assert_eq(entry.m_protocol.m_sentParameters.back().m_account, "");
}
