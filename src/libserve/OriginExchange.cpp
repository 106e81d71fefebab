#include "fulmarquay/serve/OriginExchange.h"

#include "fulmarquay/cache/Rendezvous.h"

#include <algorithm>
#include <utility>

namespace fulmarquay {

namespace {

/// Owners of a stream. With two entries down at the same time, one is left.
constexpr std::size_t kOwnerCount = 3;
/// A caller may resume a stream before its owners have received its origin:
/// they are asked once more after this time.
constexpr Duration kRepeatDelay(80'000);
/// Time after which a lookup ends without a reply: a few round trips between
/// data centres.
constexpr Duration kLookupTimeout(200'000);

} // namespace

OriginExchange::OriginExchange(VmId aSelf)
  : m_self(std::move(aSelf))
{
}

void
OriginExchange::SetPeers(const std::vector<EntryPeer>& aPeers)
{
  m_peers.clear();
  for (const EntryPeer& peer : aPeers) {
    m_peers.push_back({ peer.m_vm, Endpoint::Parse(peer.m_address) });
  }
}

std::vector<Endpoint>
OriginExchange::OwnersOf(StreamKey aStream) const
{
  std::vector<std::pair<std::uint64_t, const Peer*>> weights;
  weights.reserve(m_peers.size());
  for (const Peer& peer : m_peers) {
    weights.emplace_back(RendezvousWeight(peer.m_vm.Value(), aStream.Value()),
                         &peer);
  }
  const std::size_t count = std::min(kOwnerCount, weights.size());
  const auto last = weights.begin() + static_cast<std::ptrdiff_t>(count);
  std::partial_sort(weights.begin(), last, weights.end(), std::greater<>());
  std::vector<Endpoint> owners;
  for (auto each = weights.begin(); each != last; ++each) {
    if (each->second->m_vm != m_self) {
      owners.push_back(each->second->m_address);
    }
  }
  return owners;
}

void
OriginExchange::Share(StreamKey aStream, const StreamOrigin& aOrigin)
{
  for (const Endpoint& owner : OwnersOf(aStream)) {
    m_unsent[owner][{ aOrigin.m_pool, aOrigin.m_software }].push_back(
      aStream.Value());
  }
}

void
OriginExchange::Ask(TimePoint aNow, StreamKey aStream)
{
  m_lookups.try_emplace(aStream).first->second.m_startedAt = aNow;
}

void
OriginExchange::OnReply(const StreamOriginReply& aReply)
{
  const auto found = m_lookups.find(StreamKey(aReply.m_stream));
  if (found == m_lookups.end()) {
    return;
  }
  Lookup& lookup = found->second;
  if (aReply.m_isKnown) {
    lookup.m_origin =
      StreamOrigin{ PoolId(aReply.m_pool), SoftwareVersion(aReply.m_software) };
  }
  lookup.m_awaited -= std::min<std::size_t>(1, lookup.m_awaited);
  lookup.m_isEnded = lookup.m_isEnded || aReply.m_isKnown ||
                     aReply.m_isAmbiguous ||
                     (lookup.m_isRepeated && lookup.m_awaited == 0);
}

void
OriginExchange::SendQuery(StreamKey aStream,
                          Lookup& aLookup,
                          std::vector<Message>& aMessages) const
{
  const std::vector<Endpoint> owners = OwnersOf(aStream);
  aLookup.m_awaited = owners.size();
  aLookup.m_isEnded = owners.empty();
  for (const Endpoint& owner : owners) {
    aMessages.push_back({ owner, StreamOriginQuery{ aStream.Value() } });
  }
}

std::vector<OriginExchange::Message>
OriginExchange::TakeMessages(TimePoint aNow)
{
  std::vector<Message> messages;
  for (auto& [owner, groups] : std::exchange(m_unsent, {})) {
    StreamOriginUpdate update;
    for (auto& [origin, streams] : groups) {
      update.m_groups.push_back(
        { origin.first.Value(), origin.second.Value(), std::move(streams) });
    }
    messages.push_back({ owner, std::move(update) });
  }
  for (auto& [stream, lookup] : m_lookups) {
    if (!lookup.m_isSent) {
      lookup.m_isSent = true;
      SendQuery(stream, lookup, messages);
    } else if (!lookup.m_isRepeated &&
               aNow >= lookup.m_startedAt + kRepeatDelay) {
      lookup.m_isRepeated = true;
      SendQuery(stream, lookup, messages);
    }
  }
  return messages;
}

std::vector<OriginExchange::Result>
OriginExchange::TakeResults(TimePoint aNow)
{
  std::vector<Result> results;
  for (auto each = m_lookups.begin(); each != m_lookups.end();) {
    const Lookup& lookup = each->second;
    if (lookup.m_isEnded || aNow >= lookup.m_startedAt + kLookupTimeout) {
      results.push_back({ each->first, lookup.m_origin });
      each = m_lookups.erase(each);
    } else {
      ++each;
    }
  }
  return results;
}

} // namespace fulmarquay
