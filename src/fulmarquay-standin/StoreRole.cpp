#include <utility>

#include "StoreRole.h"

#include "fulmarquay/core/Clock.h"
#include "fulmarquay/core/Digest.h"
#include "fulmarquay/core/Settings.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace fulmarquay {

namespace {

using Json = nlohmann::json;

constexpr std::size_t kPageBlocks = 500;
constexpr const char* kBlocksPath = "/blocks";

} // namespace

StoreRole::StoreRole(boost::asio::io_context& aContext,
                     const std::string& aSection,
                     const Settings& aSettings)
  : StandinRole(aContext, aSettings.Address(aSection, "listen"))
  , m_capacity(aSettings.Size(aSection, "capacity").Count())
  , m_linkPerSecond(aSettings.Size(aSection, "link_per_second").Count())
{
}

void
StoreRole::Serve(CallerId aCaller, const HttpRequest& aRequest)
{
  const std::string& target = aRequest.m_target;
  if (target == "/stats") {
    Respond(aCaller,
            200,
            Json{ { "blocks", m_blocks.size() },
                  { "used", m_used },
                  { "link_bytes", m_linkBytes } }
              .dump());
    return;
  }
  if (Fault("dead") == "1" || !target.starts_with(kBlocksPath)) {
    Respond(aCaller, Fault("dead") == "1" ? 503 : 404, "{}");
    return;
  }
  const std::string path = target.substr(0, target.find('?'));
  if (path == kBlocksPath) {
    List(aCaller, QueryValue(target, "after"));
    return;
  }
  try {
    const BlockKey key =
      BlockKey::Parse(path.substr(std::string(kBlocksPath).size() + 1));
    const Generation generation(std::stoull(QueryValue(target, "generation")));
    if (aRequest.m_method == "PUT") {
      Write(aCaller, key, aRequest);
    } else if (aRequest.m_method == "DELETE") {
      Free(aCaller, key, generation);
    } else {
      Read(aCaller, key, generation);
    }
  } catch (const std::exception&) {
    Respond(aCaller, 400, "{}");
  }
}

Duration
StoreRole::LinkTime(std::size_t aBytes)
{
  constexpr std::int64_t kMicrosPerSecond = 1'000'000;
  const std::string slow = Fault("slow");
  const std::int64_t divisor = slow.empty() ? 1 : std::stoll(slow);
  const TimePoint now = MonotonicNow();
  const Duration time(static_cast<std::int64_t>(aBytes) * kMicrosPerSecond *
                      divisor / m_linkPerSecond);
  m_linkBusyUntil = std::max(m_linkBusyUntil, now) + time;
  m_linkBytes += aBytes;
  return m_linkBusyUntil - now;
}

void
StoreRole::Write(CallerId aCaller,
                 const BlockKey& aKey,
                 const HttpRequest& aRequest)
{
  const auto size = static_cast<std::int64_t>(aRequest.m_body.size());
  const std::uint64_t checksum =
    std::stoull(FindHeader(aRequest.m_headers, "Block-Checksum"));
  if (Checksum64(aRequest.m_body) != checksum) {
    Respond(aCaller, 400, "{}");
    return;
  }
  if (m_used + size > m_capacity) {
    Respond(aCaller, 507, "{}");
    return;
  }
  auto stored = std::make_shared<Stored>();
  stored->m_info.m_key = aKey;
  stored->m_info.m_root =
    BlockKey::Parse(FindHeader(aRequest.m_headers, "Block-Root"));
  stored->m_info.m_account =
    AccountId(FindHeader(aRequest.m_headers, "Block-Account"));
  stored->m_info.m_weights = FindHeader(aRequest.m_headers, "Block-Weights");
  stored->m_info.m_copy.m_generation =
    Generation(std::stoull(QueryValue(aRequest.m_target, "generation")));
  stored->m_info.m_copy.m_length = aRequest.m_body.size();
  stored->m_info.m_copy.m_checksum = checksum;
  stored->m_bytes = aRequest.m_body;
  m_used += size;
  After(LinkTime(aRequest.m_body.size()), [this, aCaller, stored] {
    Stored& place = m_blocks[stored->m_info.m_key];
    m_used -= static_cast<std::int64_t>(place.m_bytes.size());
    place = *stored;
    Respond(aCaller, 200, "{}");
  });
}

void
StoreRole::Read(CallerId aCaller, const BlockKey& aKey, Generation aGeneration)
{
  const auto place = m_blocks.find(aKey);
  const bool isThere = place != m_blocks.end() &&
                       place->second.m_info.m_copy.m_generation == aGeneration;
  if (!isThere) {
    Respond(aCaller, 404, "{}");
    return;
  }
  std::string bytes = place->second.m_bytes;
  if (Fault("damage") == "1") {
    bytes[bytes.size() / 2] ^= 1;
  }
  if (Fault("cut") == "1") {
    bytes.resize(bytes.size() / 2);
  }
  const Duration time = LinkTime(bytes.size());
  After(time, [this, aCaller, answer = std::move(bytes)] {
    Respond(aCaller, 200, answer);
  });
}

void
StoreRole::Free(CallerId aCaller, const BlockKey& aKey, Generation aGeneration)
{
  const auto place = m_blocks.find(aKey);
  const bool isThere = place != m_blocks.end() &&
                       place->second.m_info.m_copy.m_generation == aGeneration;
  if (isThere) {
    m_used -= static_cast<std::int64_t>(place->second.m_bytes.size());
    m_blocks.erase(place);
  }
  Respond(aCaller, 200, "{}");
}

void
StoreRole::List(CallerId aCaller, const std::string& aAfter)
{
  Json blocks = Json::array();
  std::string last;
  auto place = aAfter.empty() ? m_blocks.begin()
                              : m_blocks.upper_bound(BlockKey::Parse(aAfter));
  for (; place != m_blocks.end() && blocks.size() < kPageBlocks; ++place) {
    const ListedBlock& info = place->second.m_info;
    last = info.m_key.ToString();
    blocks.push_back({ { "key", last },
                       { "root", info.m_root.ToString() },
                       { "account", info.m_account.Value() },
                       { "weights", info.m_weights },
                       { "generation", info.m_copy.m_generation.Value() },
                       { "length", info.m_copy.m_length },
                       { "checksum", info.m_copy.m_checksum } });
  }
  const bool hasMore = place != m_blocks.end();
  Respond(
    aCaller,
    200,
    Json{ { "blocks", blocks }, { "after", hasMore ? last : "" } }.dump());
}

} // namespace fulmarquay
