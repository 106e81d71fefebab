#include "fulmarquay/core/Error.h"
#include "fulmarquay/upstream/EngineProtocol.h"
#include "fulmarquay/upstream/StandinAnswer.h"
#include "fulmarquay/upstream/StoreProtocol.h"

#include <random>

// Included last because its macros clash with names in other headers.
#include <criterion/criterion.h>

using namespace fulmarquay;

namespace {

const char* kToken = R"({"request":"r","attempt":1,"index":0,"text":"a"})"
                     "\n";
const char* kEnd =
  R"({"request":"r","attempt":1,"end":true,"tokens":1,"cached":0,)"
  R"("imported":0,"recomputed":9,"wrong":[]})"
  "\n";

struct StreamFault
{
  const char* m_name;
  std::string m_bytes;
};

const StreamFault kStreamFaults[] = {
  { "not JSON", "hello\n" },
  { "a number", "5\n" },
  { "request is missing", "{\"attempt\":1,\"index\":0,\"text\":\"a\"}\n" },
  { "text is not a string",
    "{\"request\":\"r\",\"attempt\":1,\"index\":0,\"text\":5}\n" },
  { "index is not a number",
    "{\"request\":\"r\",\"attempt\":1,\"index\":\"x\",\"text\":\"a\"}\n" },
  { "end without a count", "{\"request\":\"r\",\"attempt\":1,\"end\":true}\n" },
  { "malformed block key",
    R"({"request":"r","attempt":1,"end":true,"tokens":1,"cached":0,)"
    R"("imported":0,"recomputed":9,"wrong":["xyz"]})"
    "\n" },
  { "a line without end", std::string(2U << 20U, 'x') },
};

} // namespace

Test(engine_contract, stream_parses_when_split_at_any_byte)
{
  const auto protocol = MakeJsonEngineProtocol();
  const std::string bytes = std::string(kToken) + kToken + kEnd;
  for (std::size_t cut = 0; cut <= bytes.size(); ++cut) {
    const auto stream = protocol->OpenStream();
    auto items = stream->Feed(bytes.substr(0, cut));
    const auto rest = stream->Feed(bytes.substr(cut));
    items.insert(items.end(), rest.begin(), rest.end());
    cr_assert_eq(items.size(), 3U);
    cr_assert_eq(std::get<EngineToken>(items[1]).m_text, "a");
    cr_assert_eq(std::get<EngineEnd>(items[2]).m_recomputed, Tokens(9));
  }
}

Test(engine_contract, stream_faults_are_errors)
{
  const auto protocol = MakeJsonEngineProtocol();
  for (const StreamFault& fault : kStreamFaults) {
    const auto stream = protocol->OpenStream();
    cr_assert_throw(stream->Feed(fault.m_bytes), Error, "%s", fault.m_name);
  }
}

Test(engine_contract, reports_and_exports)
{
  const auto protocol = MakeJsonEngineProtocol();
  const std::string key(32, 'a');
  const EngineReport report = protocol->ParseReport(
    R"({"next":7,"first":3,"running":2,"queued_tokens":50,"weights":"w1",)"
    R"("leaving":true,"events":[{"seq":7,"added":true,"key":")" +
    key + R"(","root":")" + key + R"("}]})");
  cr_assert_eq(report.m_next, 7U);
  cr_assert(report.m_isLeaving);
  cr_assert_eq(report.m_events.at(0).m_key.ToString(), key);
  const auto blocks = protocol->ParseExport(
    R"({"blocks":[{"key":")" + key +
    R"(","generation":9,"whole":true,"length":5,"checksum":6}]})");
  cr_assert_eq(blocks.at(0).m_generation, Generation(9));
  for (const char* malformed :
       { "", "{}", "[]", "{\"blocks\":[{}]}", "null" }) {
    cr_assert_throw(protocol->ParseReport(malformed), Error);
    cr_assert_throw(protocol->ParseExport(malformed), Error);
  }
}

Test(engine_contract, a_prompt_that_is_not_utf8_is_encoded)
{
  const auto protocol = MakeJsonEngineProtocol();
  GenerateRequest request;
  request.m_prompt = "\xff\xfe\x01 not UTF-8 \"";
  cr_assert_not(protocol->Generate(request).m_body.empty());
}

Test(store_contract, listings)
{
  const auto protocol = MakeHttpStoreProtocol();
  const std::string key(32, 'b');
  const StoreListing listing = protocol->ParseListing(
    StoreId("s1"),
    R"({"after":"x","blocks":[{"key":")" + key + R"(","root":")" + key +
      R"(","account":"a","weights":"w","generation":1,"length":2,)"
      R"("checksum":3}]})");
  cr_assert_eq(listing.m_nextPageAfter, "x");
  cr_assert_eq(listing.m_blocks.at(0).m_copy.m_store, StoreId("s1"));
  for (const char* malformed : { "", "{}", "{\"blocks\":[]}", "[1]" }) {
    cr_assert_throw(protocol->ParseListing(StoreId("s"), malformed), Error);
  }
}

Test(contracts, mutated_input_is_parsed_or_throws_error)
{
  const auto engine = MakeJsonEngineProtocol();
  const auto store = MakeHttpStoreProtocol();
  std::mt19937_64 random(4);
  for (int i = 0; i < 20'000; ++i) {
    std::string bytes = std::string(kToken) + kEnd;
    for (int n = 0; n < 3; ++n) {
      bytes[random() % bytes.size()] = static_cast<char>(random());
    }
    try {
      engine->OpenStream()->Feed(bytes);
    } catch (const Error&) {
    }
    try {
      store->ParseListing(StoreId("s"), bytes);
    } catch (const Error&) {
    }
  }
}

Test(standin_answer, differs_by_prompt_and_index)
{
  cr_assert_neq(StandinAnswer("a", 4), StandinAnswer("b", 4));
  cr_assert_neq(StandinTokenText("a", 0), StandinTokenText("a", 1));
}

Test(upstreams, deeply_nested_answers_are_errors)
{
  constexpr std::size_t kDepth = 200'000;
  const std::string nested =
    std::string(kDepth, '[') + std::string(kDepth, ']');
  const auto engines = MakeJsonEngineProtocol();
  const auto stores = MakeHttpStoreProtocol();
  const auto stream = engines->OpenStream();
  for (const std::string& value : { nested, std::string("1e999") }) {
    const std::string line =
      R"({"request":"r","attempt":1,"index":0,"text":"a",)"
      R"("x":)" +
      value + "}\n";
    cr_assert_throw(stream->Feed(line), Error);
    cr_assert_throw(engines->ParseExport(R"({"blocks":[],"x":)" + value + "}"),
                    Error);
    cr_assert_throw(
      engines->ParseReport(
        R"({"next":1,"first":1,"running":0,"queued_tokens":0,"weights":"w",)"
        R"("leaving":false,"events":[],"x":)" +
        value + "}"),
      Error);
    cr_assert_throw(
      stores->ParseListing(StoreId("s"),
                           R"({"after":"","blocks":[],"x":)" + value + "}"),
      Error);
  }
}
