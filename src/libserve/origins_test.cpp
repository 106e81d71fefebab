// Tests of the registry of stream origins, its exchange between entries, and
// the versions that a worker list proves.
#include "fulmarquay/serve/OriginExchange.h"
#include "fulmarquay/serve/SoftwareVersions.h"
#include "fulmarquay/serve/StreamOrigins.h"

#include <set>

// Included last because its macros clash with names in other headers.
#include <criterion/criterion.h>

using namespace fulmarquay;

namespace {

constexpr Duration kMillisecond(1'000);
const TimePoint kStart{ Duration(1'000'000'000) };
const StreamOrigin kFirst{ PoolId("p"), SoftwareVersion("s1") };
const StreamOrigin kSecond{ PoolId("p"), SoftwareVersion("s2") };

std::vector<EntryPeer>
Peers(std::size_t aCount)
{
  std::vector<EntryPeer> peers;
  for (std::size_t i = 0; i < aCount; ++i) {
    peers.push_back({ VmId("e" + std::to_string(i)),
                      BootId(1),
                      "10.0.0.1:" + std::to_string(1'000 + i) });
  }
  return peers;
}

StreamOriginReply
Known(StreamKey aStream, const StreamOrigin& aOrigin)
{
  return { aStream.Value(),
           true,
           false,
           aOrigin.m_pool.Value(),
           aOrigin.m_software.Value() };
}

WorkerList
ListWith(std::uint64_t aNumber, const std::set<SoftwareVersion>& aVersions)
{
  WorkerList list;
  list.m_number = aNumber;
  list.m_software[PoolId("p")] = aVersions;
  return list;
}

} // namespace

Test(stream_origins, keys_differ_by_attempt_account_host_and_path)
{
  std::set<StreamKey> keys;
  for (const char* attempt : { "a", "b", "" }) {
    for (const char* account : { "a", "b", "" }) {
      for (const char* host : { "a", "b" }) {
        for (const char* path : { "/a/", "/b/" }) {
          keys.insert(MakeStreamKey(attempt, account, host, path));
        }
      }
    }
  }
  cr_assert_eq(keys.size(), 36U);
}

Test(stream_origins, two_origins_under_one_id_are_ambiguous)
{
  StreamOrigins origins;
  origins.Record(kStart, StreamKey(1), kFirst, true);
  origins.Record(kStart, StreamKey(1), kFirst, false);
  cr_assert(origins.Find(kStart, StreamKey(1)).m_origin == kFirst);
  origins.Record(kStart, StreamKey(1), kSecond, false);
  cr_assert(origins.Find(kStart, StreamKey(1)).m_isAmbiguous);
  cr_assert_not(origins.Find(kStart, StreamKey(1)).m_origin);
  origins.Record(kStart, StreamKey(1), kFirst, true);
  cr_assert(origins.Find(kStart, StreamKey(1)).m_isAmbiguous);
  cr_assert(origins.OwnOf(kStart, PoolId("p")).empty());
}

Test(stream_origins, memory_is_bounded_in_time_and_number)
{
  StreamOrigins origins(10);
  for (std::uint64_t i = 0; i < 25; ++i) {
    origins.Record(kStart, StreamKey(i), kFirst, true);
  }
  cr_assert_eq(origins.Size(), 10U);
  cr_assert_not(origins.Find(kStart, StreamKey(14)).m_origin);
  cr_assert(origins.Find(kStart, StreamKey(15)).m_origin);
  const TimePoint later = kStart + StreamOrigins::kTtl - kMillisecond;
  origins.Record(later, StreamKey(15), kFirst, true);
  origins.Expire(kStart + StreamOrigins::kTtl);
  cr_assert_eq(origins.Size(), 1U);
  cr_assert(origins.Find(later, StreamKey(15)).m_origin);
  cr_assert_not(
    origins.Find(later + StreamOrigins::kTtl, StreamKey(15)).m_origin);
}

Test(origin_exchange, origins_of_many_streams_take_one_message_for_each_owner)
{
  OriginExchange exchange(VmId("e0"));
  exchange.SetPeers(Peers(6));
  for (std::uint64_t i = 0; i < 300; ++i) {
    exchange.Share(StreamKey(i), i % 2 == 0 ? kFirst : kSecond);
  }
  std::size_t copies = 0;
  const auto messages = exchange.TakeMessages(kStart);
  cr_assert_eq(messages.size(), 5U);
  for (const auto& message : messages) {
    const auto& update = std::get<StreamOriginUpdate>(message.m_body);
    cr_assert_eq(update.m_groups.size(), 2U);
    for (const StreamOriginGroup& group : update.m_groups) {
      copies += group.m_streams.size();
    }
  }
  // Three owners each, of which this entry is one for half of the streams.
  cr_assert_geq(copies, 600U);
  cr_assert_leq(copies, 900U);
  cr_assert(exchange.TakeMessages(kStart).empty());
}

Test(origin_exchange, entries_agree_on_the_owners_of_a_stream)
{
  OriginExchange server(VmId("x"));
  OriginExchange asker(VmId("y"));
  server.SetPeers(Peers(300));
  asker.SetPeers(Peers(300));
  for (std::uint64_t i = 0; i < 50; ++i) {
    server.Share(StreamKey(i), kFirst);
    asker.Ask(kStart, StreamKey(i));
    std::set<Endpoint> told;
    std::set<Endpoint> asked;
    for (const auto& message : server.TakeMessages(kStart)) {
      told.insert(message.m_to);
    }
    for (const auto& message : asker.TakeMessages(kStart)) {
      asked.insert(message.m_to);
    }
    cr_assert_eq(told.size(), 3U);
    cr_assert(told == asked);
  }
}

Test(origin_exchange, a_lookup_ends_with_the_first_origin_or_in_time)
{
  OriginExchange exchange(VmId("e0"));
  exchange.SetPeers(Peers(6));
  const StreamKey stream(7);
  exchange.Ask(kStart, stream);
  const std::size_t owners = exchange.TakeMessages(kStart).size();
  cr_assert_geq(owners, 2U);
  StreamOriginReply unknown;
  unknown.m_stream = stream.Value();
  for (std::size_t i = 0; i < owners; ++i) {
    exchange.OnReply(unknown);
  }
  cr_assert(exchange.TakeResults(kStart).empty(), "asked only once");
  const TimePoint later = kStart + 100 * kMillisecond;
  cr_assert_eq(exchange.TakeMessages(later).size(), owners);
  exchange.OnReply(Known(stream, kSecond));
  const auto results = exchange.TakeResults(later);
  cr_assert_eq(results.size(), 1U);
  cr_assert(results.front().m_origin == kSecond);
  exchange.Ask(kStart, stream);
  exchange.TakeMessages(kStart);
  cr_assert(exchange.TakeResults(kStart + 190 * kMillisecond).empty());
  const auto silent = exchange.TakeResults(kStart + 200 * kMillisecond);
  cr_assert_eq(silent.size(), 1U);
  cr_assert_not(silent.front().m_origin);
}

Test(origin_exchange, an_ambiguous_origin_or_no_owner_ends_a_lookup_at_once)
{
  OriginExchange exchange(VmId("e0"));
  exchange.SetPeers(Peers(6));
  exchange.Ask(kStart, StreamKey(7));
  exchange.TakeMessages(kStart);
  StreamOriginReply ambiguous;
  ambiguous.m_stream = 7;
  ambiguous.m_isAmbiguous = true;
  exchange.OnReply(ambiguous);
  cr_assert_not(exchange.TakeResults(kStart).at(0).m_origin);
  OriginExchange alone(VmId("e0"));
  alone.SetPeers(Peers(1));
  alone.Ask(kStart, StreamKey(7));
  alone.TakeMessages(kStart);
  cr_assert_eq(alone.TakeResults(kStart).size(), 1U);
}

Test(listed_software, one_version_is_proved_only_by_a_list_that_is_current)
{
  const SoftwareVersion first("s1");
  SoftwareVersions versions;
  versions.Apply(kStart, ListWith(5, { first }));
  cr_assert_not(versions.OnlyVersion(kStart, PoolId("p")));
  versions.OnConfirmed(5, kStart);
  cr_assert(versions.OnlyVersion(kStart, PoolId("p")) == first);
  cr_assert_not(versions.OnlyVersion(kStart, PoolId("q")));
  cr_assert_not(versions.MayExpire(kStart + 2'400 * kMillisecond));
  cr_assert(versions.MayExpire(kStart + 2'401 * kMillisecond));
  cr_assert(versions.OnlyVersion(kStart + 4'500 * kMillisecond, PoolId("p")));
  cr_assert_not(
    versions.OnlyVersion(kStart + 4'501 * kMillisecond, PoolId("p")));
  versions.OnConfirmed(6, kStart + 4'501 * kMillisecond);
  cr_assert_not(
    versions.OnlyVersion(kStart + 4'501 * kMillisecond, PoolId("p")),
    "the leader has a newer list");
  versions.Apply(kStart + 4'502 * kMillisecond,
                 ListWith(7, { first, SoftwareVersion("s2") }));
  cr_assert_not(
    versions.OnlyVersion(kStart + 4'502 * kMillisecond, PoolId("p")));
  cr_assert(versions.IsMixed(PoolId("p")));
}

Test(listed_software, a_version_is_new_until_no_entry_relies_on_an_earlier_list)
{
  const PoolId pool("p");
  const SoftwareVersion first("s1");
  const SoftwareVersion second("s2");
  SoftwareVersions versions;
  cr_assert(versions.Apply(kStart, ListWith(1, { first })).empty());
  cr_assert_not(versions.IsNew(kStart, pool, first));
  cr_assert_eq(versions.Apply(kStart, ListWith(2, { first, second })).size(),
               1U);
  cr_assert(
    versions.Apply(kStart + kMillisecond, ListWith(3, { first, second }))
      .empty());
  cr_assert(versions.IsNew(kStart + 5'400 * kMillisecond, pool, second));
  cr_assert_not(versions.IsNew(kStart + 5'501 * kMillisecond, pool, second));
  cr_assert_not(versions.IsNew(kStart, pool, first));
}
