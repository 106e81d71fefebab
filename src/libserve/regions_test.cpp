// Routes and accounts whose requests and KV cache may not leave some regions.
#include "relay_test.h"

#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

// Included last because its macros clash with names in other headers.
#include <criterion/criterion.h>

using namespace fulmarquay;
using namespace fulmarquay::testing;

namespace {

using Regions = std::vector<RegionId>;

const RegionId kNorth("north");
const RegionId kSouth("south");

WorkerInfo
WorkerIn(const std::string& aId, const std::string& aDataCentre)
{
  WorkerInfo worker = Worker(aId, 1);
  worker.m_dataCentre = DataCentreId(aDataCentre);
  return worker;
}

RegionMap
Map(std::map<DataCentreId, RegionId> aRegions)
{
  return RegionMap(std::move(aRegions));
}

AllowedRegions
Allowed(const Regions& aRegions)
{
  AllowedRegions allowed;
  allowed.AddRule(aRegions);
  return allowed;
}

std::string
ScopeOf(const Regions& aRegions)
{
  return Allowed(aRegions).LimitScope(MakeCacheScope(1, "m", {}));
}

RelayPeer
PeerIn(const std::string& aVm, const std::string& aDataCentre)
{
  return { VmId(aVm),
           BootId(1),
           DataCentreId(aDataCentre),
           "10.0.3.1:" + std::to_string(9000 + aVm.back()) };
}

/// An entry with workers w1 and w2 in the north (data centre a), w3 and w4 in
/// the south (b), and w5 in a data centre without a region (c).
struct RegionalEntry : Entry
{
  explicit RegionalEntry(const Regions& aRoute, const Regions& aAccount = {})
  {
    m_flow.SetRegions(
      Map({ { DataCentreId("a"), kNorth }, { DataCentreId("b"), kSouth } }));
    SetWorkers({ WorkerIn("w1", "a"),
                 WorkerIn("w2", "a"),
                 WorkerIn("w3", "b"),
                 WorkerIn("w4", "b"),
                 WorkerIn("w5", "c") });
    SetLists(aRoute, aAccount);
  }

  void SetLists(const Regions& aRoute, const Regions& aAccount)
  {
    const RouteDocument& current = m_flow.Routes().Document();
    RouteDocument document = current;
    document.m_revision = Revision(current.m_revision.Value() + 1);
    for (auto& [name, route] : document.m_routes) {
      route.m_allowedRegions = aRoute;
    }
    document.m_accounts["acc"].m_allowedRegions = aAccount;
    document.m_pools["p"].m_engines.m_linkBitsPerSecond = 1'000'000'000;
    AdvanceClock(1);
    m_flow.OnRoutes(MakeDelta(current, document));
  }

  /// Sends requests, which spread over the workers because they keep running;
  /// returns the data centres of the workers that got them.
  std::set<std::string> DataCentresOfRequests(int aCount = 12)
  {
    std::set<std::string> dataCentres;
    for (int i = 0; i < aCount; ++i) {
      Confirm();
      SendRequest("/idempotent/x");
      dataCentres.insert(DataCentreOf(LastWorker()));
    }
    return dataCentres;
  }

  std::string DataCentreOf(const std::string& aWorker) const
  {
    return m_flow.Workers()
      .All()
      .at(WorkerId(aWorker))
      .m_info.m_dataCentre.Value();
  }

  /// Sets a store in each data centre. Those whose data centre is in `aHolders`
  /// have the shared part under the scope.
  void SetStores(const std::string& aScope,
                 const std::set<std::string>& aHolders)
  {
    StorePush push;
    push.m_to = 1;
    push.m_hasStores = true;
    for (const std::string name : { "a", "b", "c" }) {
      push.m_stores.push_back({ name,
                                "10.0.8.1:" + std::to_string(name.front()),
                                DataCentreId(name),
                                10'000,
                                1'000'000'000,
                                true,
                                false });
      if (aHolders.count(name) != 0) {
        push.m_changes.push_back(
          { static_cast<std::uint32_t>(push.m_stores.size() - 1),
            PartKey(aScope, "shared"),
            80 });
      }
    }
    cr_assert(m_flow.OnStoreUpdate(push));
    m_flow.OnStoreLeaseConfirmed(
      m_now + 4'000 * kMillisecond, 3'000 * kMillisecond, 50'000);
  }

  /// The data centres of the stores that prompts are saved to.
  std::set<std::string> DataCentresOfSaves()
  {
    std::set<std::string> dataCentres;
    for (int i = 0; i < 30; ++i) {
      Confirm();
      // A save is asked for again when it has not completed for long.
      AdvanceTicks(100);
      SendRequest("/resumable/x");
      for (const std::string& address :
           m_protocol.m_sentParameters.back().m_saveAddresses) {
        if (!address.empty()) {
          dataCentres.insert(
            { static_cast<char>(Endpoint::Parse(address).Port()) });
        }
      }
      Answer(200, "ps", "id: 1\ndata: x\n\n");
    }
    return dataCentres;
  }

  /// Source of the shared part of the last prompt.
  std::string LastSource() const
  {
    const auto& fetches = m_protocol.m_sentParameters.back().m_fetches;
    return fetches.empty() ? "" : fetches.front().m_address;
  }
};

using Strings = std::set<std::string>;

} // namespace

Test(regions, lists_of_route_and_account_both_apply)
{
  AllowedRegions allowed;
  cr_assert_not(allowed.IsRestricted());
  cr_assert(allowed.Key().empty());
  allowed.AddRule({ kNorth, kSouth });
  allowed.AddRule({});
  cr_assert_eq(allowed.Regions().size(), 2U, "an empty list allows all");
  allowed.AddRule({ kSouth, RegionId("west") });
  cr_assert(allowed == Allowed({ kSouth }));
  cr_assert_eq(allowed.Key(), Allowed({ kSouth, kSouth }).Key());
  allowed.AddRule({ kNorth });
  cr_assert(allowed.IsRestricted(),
            "none in common is not the same as no list");
  cr_assert(allowed.Regions().empty());
  cr_assert_not(allowed.Key().empty());
}

// A scope that two lists share would let prompts read parts computed elsewhere.
Test(regions, each_list_has_its_own_cache_scope)
{
  const RegionId joined("1:a1:b");
  const std::vector<Regions> lists = {
    {}, { kNorth }, { kSouth }, { kNorth, kSouth }, { joined }
  };
  Strings scopes;
  for (const Regions& list : lists) {
    const std::string scope = ScopeOf(list);
    cr_assert_eq(WeightsOfScope(scope), 1, "%s", scope.c_str());
    scopes.insert(scope);
  }
  cr_assert_eq(scopes.size(), lists.size());
  cr_assert_eq(ScopeOf({ kNorth, kSouth }), ScopeOf({ kSouth, kNorth }));
  cr_assert_eq(ScopeOf({}), MakeCacheScope(1, "m", {}), "as before");
}

Test(regions, no_worker_elsewhere_gets_a_request)
{
  RegionalEntry everywhere({});
  cr_assert_eq(everywhere.DataCentresOfRequests(40).size(), 3U);
  RegionalEntry route({ kNorth });
  cr_assert(route.DataCentresOfRequests() == Strings{ "a" });
  RegionalEntry account({}, { kSouth });
  cr_assert(account.DataCentresOfRequests() == Strings{ "b" });
  RegionalEntry both({ kNorth, kSouth }, { kSouth });
  cr_assert(both.DataCentresOfRequests() == Strings{ "b" });
}

// Retries choose among the workers that are left, which may all be elsewhere.
Test(regions, no_worker_elsewhere_gets_a_retry)
{
  RegionalEntry entry({ kNorth });
  entry.SendRequest("/once/x");
  for (int i = 0; i < 2 && entry.m_answers == 0; ++i) {
    cr_assert_eq(entry.DataCentreOf(entry.LastWorker()), "a");
    entry.End(CallResult::NotSent);
  }
  cr_assert_eq(entry.m_status, 503);
  cr_assert_eq(entry.m_calls.size(), 2U);
}

Test(regions, no_worker_elsewhere_gets_a_resumed_stream)
{
  RegionalEntry entry({ kSouth });
  for (int i = 0; i < 12; ++i) {
    entry.Confirm();
    entry.SendResumedRequest("/resumable/x", 3);
    cr_assert_eq(entry.DataCentreOf(entry.LastWorker()), "b");
  }
}

// Guards against a broken stream that is resumed outside its region.
Test(regions, a_broken_stream_goes_on_in_its_region_only)
{
  for (const auto& [region, dataCentre] :
       { std::pair(kNorth, "a"), std::pair(kSouth, "b") }) {
    RegionalEntry entry({ region });
    entry.SendRequest("/resumable/x");
    entry.Head(200, "ps");
    entry.Data("id: 1\ndata: x\n\n");
    const std::string first = entry.LastWorker();
    entry.End(CallResult::Incomplete);
    cr_assert_eq(entry.m_calls.size(), 2U);
    cr_assert_neq(entry.LastWorker(), first);
    cr_assert_eq(entry.DataCentreOf(entry.LastWorker()), dataCentre);
  }
}

// Fails closed: unknown names, lists without a common region, settings without
// regions (also of a build that had no such setting).
Test(regions, what_no_allowed_region_serves_is_refused_at_once_as_not_run)
{
  const auto checkRefused = [](RegionalEntry& aEntry) {
    aEntry.SendRequest("/idempotent/x");
    cr_assert_eq(aEntry.m_status, 503);
    cr_assert_str_eq(aEntry.m_body.c_str(), "no worker in an allowed region");
    cr_assert_neq(aEntry.m_retryAfterMs, "0");
    cr_assert(aEntry.m_calls.empty());
    aEntry.m_body.clear();
  };
  RegionalEntry unknown({ RegionId("nowhere") });
  checkRefused(unknown);
  RegionalEntry disjoint({ kNorth }, { kSouth });
  checkRefused(disjoint);
  RegionalEntry unset({ kNorth });
  unset.m_flow.SetRegions({});
  checkRefused(unset);
  // The empty name is that of no data centre.
  RegionalEntry empty({ RegionId("") });
  checkRefused(empty);
}

Test(regions, new_settings_move_a_data_centre)
{
  RegionalEntry entry({ kNorth });
  cr_assert(entry.DataCentresOfRequests() == Strings{ "a" });
  entry.m_flow.SetRegions(
    Map({ { DataCentreId("a"), kSouth }, { DataCentreId("c"), kNorth } }));
  cr_assert(entry.DataCentresOfRequests() == Strings{ "c" });
  entry.m_flow.SetRegions(Map({ { DataCentreId("a"), kSouth } }));
  entry.SendRequest("/idempotent/x");
  cr_assert_eq(entry.m_status, 503);
}

// The part is in all stores; the nearest and fastest may be elsewhere.
Test(regions, parts_are_fetched_from_stores_of_the_regions_only)
{
  RegionalEntry entry({ kNorth });
  const std::string scope = ScopeOf({ kNorth });
  entry.SetStores(scope, { "b", "c" });
  entry.SendRequest("/resumable/x");
  cr_assert_eq(entry.m_protocol.m_sentParameters.back().m_cacheScope, scope);
  cr_assert_eq(entry.LastSource(), "");
  RegionalEntry holding({ kNorth });
  holding.SetStores(scope, { "a", "b", "c" });
  holding.SendRequest("/resumable/x");
  cr_assert_eq(holding.LastSource(), "10.0.8.1:97");
  // Parts without a list are not those of this scope.
  RegionalEntry other({ kNorth });
  other.SetStores(MakeCacheScope(1, "m", {}), { "a" });
  other.SendRequest("/resumable/x");
  cr_assert_eq(other.LastSource(), "");
}

Test(regions, parts_are_saved_to_stores_of_the_regions_only)
{
  RegionalEntry north({ kNorth });
  north.SetStores("", {});
  cr_assert(north.DataCentresOfSaves() == Strings{ "a" });
  RegionalEntry south({ kSouth });
  south.SetStores("", {});
  cr_assert(south.DataCentresOfSaves() == Strings{ "b" });
  // A copy in a data centre that has left the region does not count.
  RegionalEntry moved({ kNorth });
  moved.SetStores(ScopeOf({ kNorth }), { "c" });
  cr_assert(moved.DataCentresOfSaves() == Strings{ "a" });
}

// The holder had the region when it read the part.
Test(regions, parts_are_fetched_from_workers_of_the_regions_only)
{
  for (const bool hasMoved : { false, true }) {
    RegionalEntry entry({ kNorth });
    WorkerLoads loads;
    loads.m_vm = VmId("other");
    loads.m_number = 1;
    loads.m_isSnapshot = true;
    loads.m_reads = {
      { "w1", 0, { { PartKey(ScopeOf({ kNorth }), "shared"), 80 } } }
    };
    entry.m_flow.OnLoads(loads);
    loads.m_number = 2;
    loads.m_reads.clear();
    loads.m_loads = { { "w1", 50, 100'000, 0 } };
    entry.m_flow.OnLoads(loads);
    entry.Confirm(2);
    if (hasMoved) {
      entry.m_flow.SetRegions(
        Map({ { DataCentreId("a"), kSouth }, { DataCentreId("b"), kNorth } }));
    }
    entry.SendRequest("/resumable/x");
    cr_assert_eq(entry.DataCentreOf(entry.LastWorker()), hasMoved ? "b" : "a");
    cr_assert_neq(entry.LastWorker(), "w1");
    cr_assert_eq(entry.LastSource(), hasMoved ? "" : Worker("w1", 1).m_address);
  }
}

Test(regions, requests_are_passed_to_entries_of_the_regions_only)
{
  RegionalEntry entry({ kNorth }, { kNorth, kSouth });
  entry.m_flow.OnRelayPeers({ PeerIn("e2", "b"),
                              PeerIn("e3", "b"),
                              PeerIn("e4", "a"),
                              PeerIn("e5", "c") });
  entry.SendRequest("/once/x");
  entry.End(CallResult::NotSent);
  entry.End(CallResult::NotSent);
  cr_assert_eq(entry.m_calls.size(), 3U);
  cr_assert_eq(entry.m_calls.back().m_peer.Port(), 9000 + '4');
  cr_assert(entry.m_protocol.m_passed.back().m_regions == Regions{ kNorth });
  // The only entry of the region fails: no other one gets the request.
  entry.End(CallResult::NotSent);
  cr_assert_eq(entry.m_calls.size(), 3U);
  cr_assert_eq(entry.m_status, 503);
}

// The two entries may have different route documents in force.
Test(regions, a_passed_request_keeps_the_regions_of_both_entries)
{
  const auto startPassed = [](RegionalEntry& aEntry) {
    HttpRequest request{ "POST",
                         "/idempotent/x",
                         { { "id", "r1" },
                           { "key", "key" },
                           { "from", "e2" },
                           { "attempts", "2" },
                           { "deadline_ms", "1000" },
                           { "region", "south" } },
                         "" };
    aEntry.AdvanceClock(1);
    aEntry.m_flow.Start(CallerId(77), std::move(request), true);
    aEntry.CollectEffects();
  };
  RegionalEntry older({});
  startPassed(older);
  cr_assert_eq(older.DataCentreOf(older.LastWorker()), "b");
  RegionalEntry newer({ kNorth });
  startPassed(newer);
  cr_assert(newer.m_calls.empty());
  cr_assert_eq(newer.m_status, 503);
  cr_assert_eq(newer.m_passRefusal,
               std::to_string(static_cast<int>(PassRefusal::Elsewhere)));
}

// A caller can't choose its regions by the header of passed requests.
Test(regions, the_header_of_passed_requests_has_no_effect_for_callers)
{
  RegionalEntry entry({ kNorth });
  HttpRequest request{
    "POST",
    "/idempotent/x",
    { { "id", "r1" }, { "key", "key" }, { "region", "south" } },
    ""
  };
  entry.m_flow.Start(CallerId(77), std::move(request));
  entry.CollectEffects();
  cr_assert_eq(entry.DataCentreOf(entry.LastWorker()), "a");
}

// The requests of other regions must not wait behind those that find no room.
Test(regions, a_full_region_does_not_hold_up_the_others)
{
  RegionalEntry entry({}, {});
  const RouteDocument& current = entry.m_flow.Routes().Document();
  RouteDocument document = current;
  document.m_revision = Revision(current.m_revision.Value() + 1);
  document.m_pools["p"].m_engines.m_cacheCapacityTokens = 150;
  for (RouteRule* rule : { &document.m_routes.at("/resumable/") }) {
    rule->m_allowedRegions = { kNorth };
  }
  document.m_routes.at("/stream/").m_hasPrompt = true;
  entry.AdvanceClock(1);
  entry.m_flow.OnRoutes(MakeDelta(current, document));
  for (int i = 0; i < 3; ++i) {
    entry.SendRequest("/resumable/x");
  }
  cr_assert_eq(entry.m_calls.size(), 2U, "each worker has room for one");
  cr_assert_eq(entry.m_answers, 0);
  entry.SendRequest("/stream/x");
  cr_assert_eq(entry.m_calls.size(), 3U);
  cr_assert_neq(entry.DataCentreOf(entry.LastWorker()), "a");
}
