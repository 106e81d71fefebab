// Random changes of accounts, seen late by an entry that is cut off now and
// then: which requests it runs and which it refuses as unknown.
#include "relay_test.h"

#include <array>
#include <map>
#include <random>
#include <set>

// Included last because its macros clash with names in other headers.
#include <criterion/criterion.h>

using namespace fulmarquay;
using namespace fulmarquay::testing;

namespace {

constexpr int kStepMs = 20;
constexpr int kStepCount = 3'000;
/// From the acknowledgement of a document until none of its revoked keys works,
/// the key_revocation of an entry. Entry::Confirm gives leases of 80% of it.
constexpr int kRevocationMs = 5'000;
/// Longest time until a document arrives at an entry in touch.
constexpr int kPushMs = 400;
const std::array<std::string, 5> kKeys = { "k0", "k1", "k2", "k3", "k4" };
const std::string kNeverHeld = "never-held";

/// An entry, the operator's documents, and callers, in simulated time.
class ChangingAccounts
{
public:
  explicit ChangingAccounts(unsigned aSeed)
    : m_random(aSeed)
    , m_newest(m_entry.m_flow.Routes().Document())
  {
    for (auto& [name, rule] : m_newest.m_routes) {
      rule.m_allowsAnonymous = name != "/once/";
    }
  }

  void Run()
  {
    for (int step = 0; step < kStepCount; ++step) {
      m_entry.AdvanceTicks(kStepMs);
      m_nowMs += kStepMs;
      if (IsOneIn(40)) {
        Publish();
      }
      if (IsOneIn(200)) {
        m_cutUntilMs = m_nowMs + Number(8'000);
      }
      Exchange();
      Call();
    }
  }

  int m_run = 0;     ///< requests with a key that ran
  int m_unknown = 0; ///< requests refused as unknown

private:
  int Number(int aBelow)
  {
    return static_cast<int>(m_random() % static_cast<unsigned>(aBelow));
  }
  bool IsOneIn(int aCount) { return Number(aCount) == 0; }

  /// Commits and acknowledges a document with some of the keys, or none.
  void Publish()
  {
    m_newest.m_revision = Revision(m_newest.m_revision.Value() + 1);
    m_newest.m_accounts.clear();
    m_newest.m_needsKeys = !IsOneIn(5);
    for (const std::string& key : kKeys) {
      if (m_newest.m_needsKeys && IsOneIn(2)) {
        m_newest.m_accounts["account of " + key].m_keyHashes = { Sha256Hex(
          key) };
        m_revokedAtMs.erase(key);
        m_hasBeenHeld.insert(key);
      } else if (m_hasBeenHeld.count(key) != 0) {
        m_revokedAtMs.try_emplace(key, m_nowMs);
      }
    }
    m_pushedAtMs = m_nowMs + Number(kPushMs);
  }

  /// The newest document arrives, and a heartbeat is answered, unless the entry
  /// is cut off.
  void Exchange()
  {
    if (m_nowMs < m_cutUntilMs) {
      return;
    }
    const RouteDocument& held = m_entry.m_flow.Routes().Document();
    if (held.m_revision < m_newest.m_revision && m_nowMs >= m_pushedAtMs) {
      m_entry.m_flow.OnRoutes(MakeDelta(held, m_newest));
    }
    if (IsOneIn(10) &&
        m_entry.m_flow.Routes().Document().m_revision == m_newest.m_revision) {
      m_entry.Confirm();
    }
  }

  void Call()
  {
    const int choice = Number(static_cast<int>(kKeys.size()) + 2);
    const bool hasKey = choice > 0;
    const std::string key = choice == 0   ? ""
                            : choice == 1 ? kNeverHeld
                                          : kKeys.at(choice - 2);
    const bool isOpen = IsOneIn(2);
    const std::size_t calls = m_entry.m_calls.size();
    m_entry.m_status = 0;
    m_entry.SendRequest(isOpen ? "/open/x" : "/once/x", key);
    const bool runs = m_entry.m_calls.size() > calls;
    if (runs) {
      CheckRun(key);
      m_entry.Answer(200, "p", "whole");
    } else if (m_entry.m_status == 401) {
      CheckRefused(key, isOpen);
    } else {
      cr_assert(hasKey || !isOpen, "a request without a key is refused");
    }
  }

  void CheckRun(const std::string& aKey)
  {
    if (aKey.empty()) {
      return;
    }
    ++m_run;
    cr_assert(m_hasBeenHeld.count(aKey) != 0, "%s runs", aKey.c_str());
    const auto revoked = m_revokedAtMs.find(aKey);
    cr_assert(revoked == m_revokedAtMs.end() ||
                m_nowMs - revoked->second <= kRevocationMs,
              "%s runs long after it was revoked",
              aKey.c_str());
    cr_assert_eq(m_entry.m_protocol.m_sentParameters.back().m_account,
                 "account of " + aKey);
  }

  void CheckRefused(const std::string& aKey, bool aIsOpen)
  {
    cr_assert(!aKey.empty() || !aIsOpen, "a request without a key is refused");
    m_unknown += aKey.empty() ? 0 : 1;
    const bool isNewest =
      m_entry.m_flow.Routes().Document().m_revision == m_newest.m_revision;
    cr_assert(!isNewest || m_newest.m_accounts.count("account of " + aKey) == 0,
              "%s is refused",
              aKey.c_str());
  }

  std::mt19937 m_random;
  Entry m_entry;
  RouteDocument m_newest;
  std::set<std::string> m_hasBeenHeld{ "key" };
  std::map<std::string, int> m_revokedAtMs;
  int m_nowMs = 0;
  int m_pushedAtMs = 0;
  int m_cutUntilMs = 0;
};

} // namespace

// Guards against keys that run though no document has them any more, and
// against keys that are refused though the entry has their document.
Test(account_changes, requests_run_for_held_keys_only_whatever_changes)
{
  int run = 0;
  int unknown = 0;
  for (unsigned seed = 1; seed <= 30; ++seed) {
    ChangingAccounts accounts(seed);
    accounts.Run();
    run += accounts.m_run;
    unknown += accounts.m_unknown;
  }
  cr_assert_gt(run, 10'000);
  cr_assert_gt(unknown, 10'000);
}
