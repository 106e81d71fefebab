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
