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

constexpr std::size_t kMaxBlocksPerPage = 500;
constexpr const char* kBlocksPath = "/blocks";

} // namespace

StoreRole::StoreRole(boost::asio::io_context& aContext,
                     const std::string& aSection,
                     const Settings& aSettings)
  : StandinRole(aContext, aSettings.Address(aSection, "listen"))
  , m_capacityBytes(aSettings.Size(aSection, "capacity").Count())
  , m_linkBytesPerSecond(aSettings.Size(aSection, "link_per_second").Count())
{
}

void
StoreRole::HandleRequest(CallerId aCaller, const HttpRequest& aRequest)
{
  const std::string& target = aRequest.m_target;
  if (target == "/stats") {
    Respond(aCaller,
            200,
            Json{ { "blocks", m_blocks.size() },
                  { "used", m_usedBytes },
                  { "link_bytes", m_transferredBytes } }
              .dump());
    return;
  }
  if (FaultValue("dead") == "1" || !target.starts_with(kBlocksPath)) {
    Respond(aCaller, FaultValue("dead") == "1" ? 503 : 404, "{}");
    return;
  }
  const std::string path = target.substr(0, target.find('?'));
  if (path == kBlocksPath) {
    ListBlocks(aCaller, QueryValue(target, "after"));
    return;
  }
  try {
    const BlockKey key =
      BlockKey::Parse(path.substr(std::string(kBlocksPath).size() + 1));
    const Generation generation(std::stoull(QueryValue(target, "generation")));
    if (aRequest.m_method == "PUT") {
      WriteBlock(aCaller, key, aRequest);
    } else if (aRequest.m_method == "DELETE") {
      FreeBlock(aCaller, key, generation);
    } else {
      ReadBlock(aCaller, key, generation);
    }
  } catch (const std::exception&) {
    Respond(aCaller, 400, "{}");
  }
}

Duration
StoreRole::ReserveLink(std::size_t aBytes)
{
  constexpr std::int64_t kMicrosPerSecond = 1'000'000;
  const std::string slow = FaultValue("slow");
  const std::int64_t divisor = slow.empty() ? 1 : std::stoll(slow);
  const TimePoint now = MonotonicNow();
  const Duration transferTime(static_cast<std::int64_t>(aBytes) *
                              kMicrosPerSecond * divisor /
                              m_linkBytesPerSecond);
  m_linkBusyUntil = std::max(m_linkBusyUntil, now) + transferTime;
  m_transferredBytes += aBytes;
  return m_linkBusyUntil - now;
}

void
StoreRole::WriteBlock(CallerId aCaller,
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
  if (m_usedBytes + size > m_capacityBytes) {
    Respond(aCaller, 507, "{}");
    return;
  }
  auto stored = std::make_shared<StoredBlock>();
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
  m_usedBytes += size;
  RunAfter(ReserveLink(aRequest.m_body.size()), [this, aCaller, stored] {
    StoredBlock& existing = m_blocks[stored->m_info.m_key];
    m_usedBytes -= static_cast<std::int64_t>(existing.m_bytes.size());
    existing = *stored;
    Respond(aCaller, 200, "{}");
  });
}

void
StoreRole::ReadBlock(CallerId aCaller,
                     const BlockKey& aKey,
                     Generation aGeneration)
{
  const auto found = m_blocks.find(aKey);
  const bool exists = found != m_blocks.end() &&
                      found->second.m_info.m_copy.m_generation == aGeneration;
  if (!exists) {
    Respond(aCaller, 404, "{}");
    return;
  }
  std::string bytes = found->second.m_bytes;
  if (FaultValue("damage") == "1") {
    bytes[bytes.size() / 2] ^= 1;
  }
  if (FaultValue("cut") == "1") {
    bytes.resize(bytes.size() / 2);
  }
  const Duration transferTime = ReserveLink(bytes.size());
  RunAfter(transferTime, [this, aCaller, answer = std::move(bytes)] {
    Respond(aCaller, 200, answer);
  });
}

void
StoreRole::FreeBlock(CallerId aCaller,
                     const BlockKey& aKey,
                     Generation aGeneration)
{
  const auto found = m_blocks.find(aKey);
  const bool exists = found != m_blocks.end() &&
                      found->second.m_info.m_copy.m_generation == aGeneration;
  if (exists) {
    m_usedBytes -= static_cast<std::int64_t>(found->second.m_bytes.size());
    m_blocks.erase(found);
  }
  Respond(aCaller, 200, "{}");
}

void
StoreRole::ListBlocks(CallerId aCaller, const std::string& aAfter)
{
  Json blocks = Json::array();
  std::string last;
  auto found = aAfter.empty() ? m_blocks.begin()
                              : m_blocks.upper_bound(BlockKey::Parse(aAfter));
  for (; found != m_blocks.end() && blocks.size() < kMaxBlocksPerPage;
       ++found) {
    const ListedBlock& info = found->second.m_info;
    last = info.m_key.ToString();
    blocks.push_back({ { "key", last },
                       { "root", info.m_root.ToString() },
                       { "account", info.m_account.Value() },
                       { "weights", info.m_weights },
                       { "generation", info.m_copy.m_generation.Value() },
                       { "length", info.m_copy.m_length },
                       { "checksum", info.m_copy.m_checksum } });
  }
  const bool hasMore = found != m_blocks.end();
  Respond(
    aCaller,
    200,
    Json{ { "blocks", blocks }, { "after", hasMore ? last : "" } }.dump());
}

} // namespace fulmarquay
