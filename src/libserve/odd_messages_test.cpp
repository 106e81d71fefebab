// Messages that are well-formed, but have values that no entry or replica
// sends.
#include "relay_test.h"

#include "fulmarquay/serve/EntryNode.h"
#include "fulmarquay/wire/FrameHub.h"

#include <algorithm>
#include <nlohmann/json.hpp>

// Included last because its macros clash with names in other headers.
#include <criterion/criterion.h>

using namespace fulmarquay;
using namespace fulmarquay::testing;

namespace {

const TimePoint kNow(Duration(1'000'000'000));

EntryOptions
RelayOptionsOf(bool aDiscoversReplicas)
{
  EntryOptions options;
  options.m_identity = {
    VmId("e1"), DataCentreId("dc1"), BootId(7), "10.0.0.1:1"
  };
  options.m_control = { Endpoint("10.0.0.9", 1) };
  options.m_discoversReplicas = aDiscoversReplicas;
  options.m_relayProtocol = std::make_shared<FakeProtocol>();
  return options;
}

/// Texts that are no address, as a process could state them about itself.
const char* const kNoAddresses[] = { "",         "e2",        "e2:7100",
                                     "10.0.0.2", "10.0.0.2:", "10.0.0.2:70000",
                                     "[::1]",    ":7100",     "\xff:1" };

bool
IsLogged(const EntryEffects& aEffects, LogEvent aEvent)
{
  return std::any_of(
    aEffects.begin(), aEffects.end(), [&](const EntryEffect& aEach) {
      const auto* line = std::get_if<LogLine>(&aEach);
      return line != nullptr && line->m_event == aEvent;
    });
}

} // namespace

Test(odd_messages, an_address_that_is_none_costs_only_its_own_entry)
{
  for (const char* odd : kNoAddresses) {
    EntryNode node(RelayOptionsOf(true));
    node.Reduce(kNow, ControlLinkChanged{ 0, true });
    HeartbeatReply reply;
    reply.m_leaseUs = 5'000'000;
    reply.m_liveEntries = 3;
    reply.m_peers = { { VmId("a"), BootId(1), odd },
                      { VmId("b"), BootId(2), "10.0.0.2:1" } };
    reply.m_loadPeers = reply.m_peers;
    reply.m_relayPeersVersion = 5;
    reply.m_relayPeers = {
      { VmId("a"), BootId(1), DataCentreId("dc1"), odd },
      { VmId("b"), BootId(2), DataCentreId("dc1"), "10.0.0.2:2" }
    };
    reply.m_replicas = { odd, "10.0.0.8:1" };
    const EntryEffects effects = node.Reduce(kNow, ControlReply{ 0, reply });
    cr_assert(IsLogged(effects, LogEvent::BadFrame), "'%s'", odd);
    const bool isReplicaAdded =
      std::any_of(effects.begin(), effects.end(), [](const auto& aEach) {
        const auto* link = std::get_if<AddControlLink>(&aEach);
        return link != nullptr && link->m_address == Endpoint("10.0.0.8", 1);
      });
    cr_assert(isReplicaAdded, "'%s'", odd);
    cr_assert_eq(node.Config().Peers().size(), 1, "'%s'", odd);
    const auto dump = nlohmann::json::parse(node.Dump(FrameTraffic()));
    cr_assert_eq(dump["relay_peers"], 1, "'%s'", odd);
    cr_assert(dump["holds_lease"], "'%s'", odd);
  }
}

Test(odd_messages, a_leader_without_an_address_is_searched_elsewhere)
{
  for (const char* odd : kNoAddresses) {
    EntryNode node(RelayOptionsOf(true));
    node.Reduce(kNow, ControlLinkChanged{ 0, true });
    node.Reduce(kNow, ControlReply{ 0, NotLeader{ RequestId(0), odd } });
    const EntryEffects effects =
      node.Reduce(kNow + Duration(1'000'000), EntryTick{});
    const bool isSent =
      std::any_of(effects.begin(), effects.end(), [](const auto& aEach) {
        return std::holds_alternative<SendToControl>(aEach);
      });
    cr_assert(isSent, "'%s'", odd);
  }
}

Test(odd_messages, a_listed_worker_without_an_address_hides_no_other)
{
  for (const char* odd : kNoAddresses) {
    WorkerList list;
    list.m_number = 3;
    for (const char* address : { odd, "10.0.0.2:80" }) {
      WorkerInfo worker;
      worker.m_id = WorkerId(std::string("w-") + address);
      worker.m_address = address;
      list.m_workers.push_back(worker);
    }
    WorkerTable workers;
    cr_assert(workers.Apply(kNow, list), "'%s'", odd);
    cr_assert_eq(workers.All().size(), 1, "'%s'", odd);
    cr_assert_eq(workers.Number(), 3);
  }
}

Test(odd_messages, the_dump_bears_names_of_any_bytes)
{
  EntryNode node(RelayOptionsOf(false));
  node.Reduce(kNow, ControlLinkChanged{ 0, true });
  HeartbeatReply reply;
  reply.m_peers = { { VmId("\xff\xfe"), BootId(2), "10.0.0.2:1" } };
  node.Reduce(kNow, ControlReply{ 0, reply });
  const auto dump = nlohmann::json::parse(node.Dump(FrameTraffic()));
  cr_assert_eq(dump["peers"].size(), 1);
}

Test(odd_messages, a_delta_with_fewer_stores_is_not_applied)
{
  PartMap parts;
  StorePush full;
  full.m_to = 1;
  full.m_hasStores = true;
  full.m_stores.resize(2);
  full.m_stores[0].m_isUp = true;
  full.m_stores[1].m_isUp = true;
  full.m_changes = { { 1, 77, 10 } };
  cr_assert(parts.Apply(full));
  StorePush fewer;
  fewer.m_from = 1;
  fewer.m_to = 2;
  fewer.m_hasStores = true;
  fewer.m_stores.resize(1);
  cr_assert_not(parts.Apply(fewer));
  parts.OnLeaseConfirmed(kNow + Duration(1'000'000), Duration(1'000'000));
  cr_assert_not_null(parts.NearestStore(kNow, 77, DataCentreId("dc1")));
}
