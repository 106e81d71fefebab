#include "fulmarquay/core/Error.h"
#include "fulmarquay/route/RouteDelta.h"
#include "fulmarquay/route/RouteTable.h"

#include <functional>
#include <random>

// Included last because its macros clash with names in other headers.
#include <criterion/criterion.h>

using namespace fulmarquay;

namespace {

RouteRule
Rule(const std::string& aHost, const std::string& aPrefix)
{
  RouteRule rule;
  rule.m_host = aHost;
  rule.m_prefix = aPrefix;
  rule.m_timeoutUs = 1'000'000;
  rule.m_pools = { { PoolId("p1"), 1 } };
  return rule;
}

RouteDocument
Document()
{
  RouteDocument document;
  document.m_revision = Revision(5);
  document.m_routes["r1"] = Rule("h", "/a/");
  document.m_routes["r2"] = Rule("h", "/a/b/");
  document.m_routes["r3"] = Rule("i", "/");
  document.m_pools["p1"];
  document.m_pools["s1"].m_storeAddress = "10.0.0.1:1";
  document.m_accounts["c1"].m_keyHashes = { "k1", "k2" };
  document.m_accounts["c2"].m_keyHashes = { "k3" };
  return document;
}

RouteTable
TableOf(const RouteDocument& aDocument)
{
  RouteTable table;
  table.Apply(MakeDelta(RouteDocument(), aDocument));
  return table;
}

} // namespace

Test(route_table, finds_the_longest_prefix_of_the_host)
{
  const RouteTable table = TableOf(Document());
  const std::vector<std::vector<std::string>> cases = {
    { "h", "/a/x", "r1" }, { "h", "/a/b/", "r2" },  { "h", "/a/b/c/d", "r2" },
    { "h", "/a/b", "r1" }, { "h", "/a", "" },       { "h", "/", "" },
    { "i", "/any", "r3" }, { "j", "/a/", "" },      { "h", "", "" },
    { "i", "", "" },       { "h", "/a//b/", "r1" },
  };
  for (const auto& each : cases) {
    const std::string found(table.Find(each[0], each[1]).m_name);
    cr_assert_eq(found, each[2], "%s%s", each[0].c_str(), each[1].c_str());
  }
}

Test(route_table, finds_the_account_of_a_key_hash)
{
  const RouteTable table = TableOf(Document());
  cr_assert_eq(table.FindAccount("k2").m_name, "c1");
  cr_assert_eq(table.FindAccount("k3").m_name, "c2");
  cr_assert_null(table.FindAccount("k4").m_rule);
  cr_assert_null(table.FindAccount("").m_rule);
}

Test(route_document, each_problem_is_reported)
{
  using Change = std::function<void(RouteDocument&)>;
  const std::vector<std::pair<Change, std::string>> cases = {
    { [](auto& aDocument) {
       aDocument.m_routes["r1"].m_pools[0].m_pool = PoolId("x");
     },
      "unknown pool" },
    { [](auto& aDocument) {
       aDocument.m_routes["r1"].m_pools[0].m_pool = PoolId("s1");
     },
      "unknown pool" },
    { [](auto& aDocument) { aDocument.m_routes["r2"].m_prefix = "/a/"; },
      "same host" },
    { [](auto& aDocument) { aDocument.m_routes["r1"].m_pools[0].m_weight = 0; },
      "weights" },
    { [](auto& aDocument) { aDocument.m_routes["r1"].m_pools.clear(); },
      "weights" },
    { [](auto& aDocument) {
       aDocument.m_routes["r1"].m_pools[0].m_weight = -1;
     },
      "negative" },
    { [](auto& aDocument) { aDocument.m_routes["r1"].m_timeoutUs = 0; },
      "timeout" },
    { [](auto& aDocument) { aDocument.m_routes["r1"].m_prefix = "a/"; },
      "slash" },
    { [](auto& aDocument) {
       aDocument.m_accounts["c2"].m_keyHashes = { "k1" };
     },
      "shares" },
  };
  cr_assert(FindProblems(Document()).empty());
  for (const auto& [change, text] : cases) {
    RouteDocument document = Document();
    change(document);
    const auto problems = FindProblems(document);
    cr_assert_not(problems.empty(), "%s", text.c_str());
    const bool isReported = problems.front().find(text) != std::string::npos ||
                            problems.back().find(text) != std::string::npos;
    cr_assert(isReported, "%s: %s", text.c_str(), problems.front().c_str());
  }
}

Test(route_delta, applying_a_delta_gives_the_target_document)
{
  std::mt19937_64 random(3);
  RouteDocument held = Document();
  for (int i = 0; i < 200; ++i) {
    RouteDocument next = held;
    next.m_revision = Revision(held.m_revision.Value() + 1 + random() % 5);
    const std::string name = "r" + std::to_string(random() % 20);
    if (random() % 3 == 0) {
      next.m_routes.erase(name);
    } else {
      next.m_routes[name] = Rule("h" + std::to_string(random() % 3), "/q/");
    }
    next.m_accounts["c" + std::to_string(random() % 4)].m_priority =
      static_cast<std::int64_t>(random() % 3);
    const auto sent = Unpack<RouteDelta>(Pack(MakeDelta(held, next)));
    ApplyDelta(held, sent);
    cr_assert(held == next);
  }
}

Test(route_delta, a_delta_from_another_revision_is_rejected)
{
  RouteDocument held = Document();
  RouteDocument next = Document();
  next.m_revision = Revision(9);
  RouteDelta delta = MakeDelta(held, next);
  delta.m_from = Revision(6);
  cr_assert_throw(ApplyDelta(held, delta), Error);
  cr_assert(held == Document());
}
