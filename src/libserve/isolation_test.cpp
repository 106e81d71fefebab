// Tests of the cache scopes of accounts that are isolated by a change of the
// configuration.
#include "relay_test.h"

#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

// Included last because its macros clash with names in other headers.
#include <criterion/criterion.h>

using namespace fulmarquay;
using namespace fulmarquay::testing;

namespace {

using Names = std::set<std::string>;

const std::string kPath = "/resumable/x"; // a prompt
/// Memory of a worker, in tokens, for two prompts.
constexpr std::int64_t kRoomOfTwo = 250;

/// Brings an entry to a document with these accounts, of which some are
/// isolated. The key of an account is its name.
void
SetAccounts(Entry& aEntry, const Names& aAccounts, const Names& aIsolated)
{
  const RouteDocument former = aEntry.m_flow.Routes().Document();
  RouteDocument document = former;
  document.m_revision = Revision(former.m_revision.Value() + 1);
  document.m_accounts.clear();
  for (const std::string& name : aAccounts) {
    document.m_accounts[name].m_keyHashes = { Sha256Hex(name) };
    document.m_accounts[name].m_isIsolated = aIsolated.count(name) != 0;
  }
  for (auto& [prefix, rule] : document.m_routes) {
    rule.m_allowsAnonymous = true;
  }
  document.m_pools["p"].m_engines.m_cacheCapacityTokens = kRoomOfTwo;
  aEntry.m_flow.OnRoutes(MakeDelta(former, document));
}

/// The scope of the last request that was sent to a worker.
std::string
LastScope(const Entry& aEntry)
{
  return aEntry.m_protocol.m_sentParameters.back().m_cacheScope;
}

/// Serves a request of an account and returns its scope; an empty name stands
/// for a request without a key.
std::string
ScopeOf(Entry& aEntry, const std::string& aAccount)
{
  aEntry.SendRequest(kPath, aAccount);
  std::string scope = LastScope(aEntry);
  aEntry.Answer(200, "ps", "id: 1\ndata: a\n\n");
  return scope;
}

} // namespace

// Guards against parts that an account made before it became isolated and that
// others find in the scope that all others share.
Test(isolation, parts_made_before_an_account_became_isolated_are_not_shared)
{
  Entry entry;
  SetAccounts(entry, { "a", "b" }, {});
  const std::string before = ScopeOf(entry, "a");
  cr_assert_eq(ScopeOf(entry, "b"), before, "both share their parts");
  SetAccounts(entry, { "a", "b" }, { "a" });
  cr_assert_neq(ScopeOf(entry, "b"), before);
  cr_assert_neq(ScopeOf(entry, ""), before, "also without a key");
  cr_assert_neq(ScopeOf(entry, "a"), before);
  cr_assert_neq(ScopeOf(entry, "a"), ScopeOf(entry, "b"));
}

// Guards against a shared scope that changes only when the first account
// becomes isolated.
Test(isolation, a_second_account_that_becomes_isolated_leaves_its_parts_behind)
{
  Entry entry;
  SetAccounts(entry, { "a", "b", "c" }, { "a" });
  const std::string before = ScopeOf(entry, "b");
  cr_assert_eq(ScopeOf(entry, "c"), before);
  SetAccounts(entry, { "a", "b", "c" }, { "a", "b" });
  cr_assert_neq(ScopeOf(entry, "c"), before);
}

// Guards against a shared scope that only changes with the number of isolated
// accounts.
Test(isolation, an_account_isolated_in_place_of_another_leaves_its_parts_behind)
{
  Entry entry;
  SetAccounts(entry, { "a", "b", "c" }, { "a" });
  const std::string before = ScopeOf(entry, "b");
  SetAccounts(entry, { "a", "b", "c" }, { "b" });
  cr_assert_neq(ScopeOf(entry, "c"), before);
}

// Parts stay in use across changes that isolate nobody, and once an account is
// no longer isolated.
Test(isolation, the_shared_scope_depends_on_the_isolated_accounts_only)
{
  Entry entry;
  SetAccounts(entry, { "a", "b" }, {});
  const std::string open = ScopeOf(entry, "b");
  cr_assert_eq(open, MakeCacheScope(1, "m", {}), "that of older builds");
  SetAccounts(entry, { "a", "b", "c" }, {});
  cr_assert_eq(ScopeOf(entry, "b"), open);
  SetAccounts(entry, { "a", "b", "c" }, { "a" });
  const std::string apart = ScopeOf(entry, "b");
  SetAccounts(entry, { "a", "b", "d" }, { "a" });
  cr_assert_eq(ScopeOf(entry, "b"), apart);
  SetAccounts(entry, { "a", "b", "d" }, {});
  cr_assert_eq(ScopeOf(entry, "b"), open);
}

// Guards against a scope that is fixed when a request arrives: its next
// attempt, after the change, would use parts of others.
Test(isolation, a_request_that_is_sent_again_uses_the_scope_in_force)
{
  for (const bool isIsolatedFirst : { false, true }) {
    Entry entry;
    SetAccounts(entry, { "a", "b" }, isIsolatedFirst ? Names{ "a" } : Names{});
    entry.SendRequest(kPath, "a");
    entry.Head(200, "ps");
    entry.Data("id: 1\ndata: a\n\n");
    const std::string first = LastScope(entry);
    SetAccounts(entry, { "a", "b" }, isIsolatedFirst ? Names{} : Names{ "a" });
    entry.End(CallResult::Incomplete);
    cr_assert_eq(entry.m_calls.size(), 2U);
    cr_assert_neq(LastScope(entry), first);
    cr_assert_eq(LastScope(entry), ScopeOf(entry, "a"));
  }
}

// The same for a request that waits for room, and for one of an account that
// left the document meanwhile.
Test(isolation, a_request_that_waited_uses_the_scope_in_force)
{
  for (const bool isDropped : { false, true }) {
    Entry entry;
    SetAccounts(entry, { "a", "b" }, { "a" });
    const std::string own = ScopeOf(entry, "a");
    const std::string shared = ScopeOf(entry, "b");
    entry.SetWorkers({ Worker("w1", 1) });
    entry.SendRequest(kPath, "b");
    entry.SendRequest(kPath, "b");
    const std::size_t calls = entry.m_calls.size();
    entry.SendRequest(kPath, "a");
    entry.SendRequest(kPath, "b");
    cr_assert_eq(entry.m_calls.size(), calls, "no room at the only worker");
    SetAccounts(entry,
                isDropped ? Names{ "b" } : Names{ "a", "b" },
                isDropped ? Names{} : Names{ "a", "b" });
    entry.SetWorkers({ Worker("w1", 1), Worker("w2", 1), Worker("w3", 1) });
    entry.AdvanceTicks(100);
    cr_assert_eq(entry.m_calls.size(), calls + 2);
    const auto sent = entry.m_protocol.m_sentParameters;
    const std::string inForce = ScopeOf(entry, "b");
    cr_assert_neq(inForce, shared);
    for (std::size_t i = sent.size() - 2; i < sent.size(); ++i) {
      const bool isFirst = sent[i].m_account == "a";
      cr_assert_eq(sent[i].m_cacheScope, isFirst ? own : inForce);
    }
  }
}

// No scope's name can be made by choosing the name of an account.
Test(isolation, names_of_accounts_can_not_name_another_scope)
{
  Entry first;
  SetAccounts(first, { "a", "b" }, { "a" });
  const std::string shared = ScopeOf(first, "b");
  const std::string open = MakeCacheScope(1, "m", {});
  cr_assert_eq(shared.compare(0, open.size(), open) == 0, false);
  Entry second;
  SetAccounts(second, { "a", "b", "1:a1:b" }, { "a", "b" });
  const std::string two = ScopeOf(second, "1:a1:b");
  SetAccounts(second, { "a1:b", "1:a1:b" }, { "a1:b" });
  cr_assert_neq(ScopeOf(second, "1:a1:b"), two, "names are kept apart");
  cr_assert_eq(WeightsOfScope(shared), 1);
}

// Entries apply a sequence of configurations at different times. Under each
// entry's own configuration, no isolated account uses a part that another one
// made, and nobody uses a part of an isolated account.
Test(isolation, no_part_crosses_while_entries_apply_changes_at_different_times)
{
  const std::vector<std::string> names = { "a", "b", "c", "d", "" };
  constexpr std::size_t kEntries = 3;
  constexpr int kSteps = 400;
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    std::mt19937_64 random(seed);
    std::vector<Names> versions = { {} };
    std::vector<std::size_t> applied(kEntries, 0);
    std::vector<std::unique_ptr<Entry>> entries;
    for (std::size_t i = 0; i < kEntries; ++i) {
      entries.push_back(std::make_unique<Entry>());
      SetAccounts(*entries.back(), { "a", "b", "c", "d" }, {});
    }
    std::map<std::string, Names> makers; // by scope
    for (int step = 0; step < kSteps; ++step) {
      const std::size_t at = random() % kEntries;
      Entry& entry = *entries[at];
      entry.Confirm(kEntries);
      if (random() % 10 == 0) {
        Names isolated;
        for (const char* name : { "a", "b", "c", "d" }) {
          if (random() % 4 == 0) {
            isolated.insert(name);
          }
        }
        versions.push_back(std::move(isolated));
      }
      if (random() % 5 == 0 && applied[at] + 1 < versions.size()) {
        applied[at] += 1 + random() % (versions.size() - applied[at] - 1);
        SetAccounts(entry, { "a", "b", "c", "d" }, versions[applied[at]]);
      }
      const std::string& account = names[random() % names.size()];
      const Names& isolated = versions[applied[at]];
      Names& users = makers[ScopeOf(entry, account)];
      for (const std::string& maker : users) {
        const bool isCrossing =
          maker != account &&
          (isolated.count(maker) != 0 || isolated.count(account) != 0);
        cr_assert_not(isCrossing,
                      "seed %d step %d: %s uses parts of %s",
                      static_cast<int>(seed),
                      step,
                      account.c_str(),
                      maker.c_str());
      }
      users.insert(account);
    }
  }
}
