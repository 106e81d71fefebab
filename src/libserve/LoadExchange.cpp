#include "fulmarquay/serve/LoadExchange.h"

#include "fulmarquay/cache/Rendezvous.h"
#include "fulmarquay/core/Digest.h"

#include <algorithm>
#include <utility>

namespace fulmarquay {

namespace {

/// Interval between two updates: short compared with the prefill of a long
/// prompt, and about the time in which a few requests arrive.
constexpr Duration kUpdateInterval(30'000);
/// The interval grows with the number of recipients: an entry receives at most
/// about 200 messages a second, which keeps it within 15 KB/s.
constexpr Duration kIntervalPerRecipient(5'000);
/// Interval between snapshots: the longest time that a peer that missed an
/// update waits for the next one.
constexpr Duration kSnapshotInterval(400'000);
/// Expiry of received loads: one lost snapshot is tolerated, and the requests
/// of a crashed process end within about the same time.
constexpr Duration kLoadTtl(1'000'000);
/// Bounds the reads of one update; an entry starts a few prompts in its time.
constexpr std::size_t kMaxUnsentReads = 100;

} // namespace

LoadExchange::LoadExchange(VmId aSelf)
  : m_self(std::move(aSelf))
{
}

void
LoadExchange::SetPeers(const std::vector<EntryPeer>& aPeers)
{
  std::vector<std::pair<std::uint64_t, Endpoint>> recipients;
  for (const EntryPeer& peer : aPeers) {
    if (peer.m_vm != m_self) {
      recipients.emplace_back(
        RendezvousWeight(peer.m_vm.Value(), Checksum64(m_self.Value())),
        Endpoint::Parse(peer.m_address));
    }
  }
  // Selection by lowest hash gives each entry about the same number of senders.
  std::sort(recipients.begin(), recipients.end());
  recipients.resize(std::min(recipients.size(), kMaxLoadPeers));
  m_recipients.clear();
  for (const auto& [weight, address] : recipients) {
    m_recipients.push_back(address);
  }
  m_nextSnapshot = TimePoint();
}

void
LoadExchange::AddToSums(const WorkerLoad& aLoad, std::int64_t aSign)
{
  WorkerLoad& sum = m_sums[aLoad.m_worker];
  sum.m_running += aSign * aLoad.m_running;
  sum.m_pendingPrefillTokens += aSign * aLoad.m_pendingPrefillTokens;
  sum.m_heldTokens += aSign * aLoad.m_heldTokens;
  if (sum.m_running == 0 && sum.m_heldTokens == 0) {
    m_sums.erase(aLoad.m_worker);
  }
}

void
LoadExchange::RemoveFromSums(Peer& aPeer)
{
  for (const auto& [worker, load] : aPeer.m_loads) {
    AddToSums(load, -1);
  }
  aPeer.m_loads.clear();
}

void
LoadExchange::OnLoads(TimePoint aNow, const WorkerLoads& aLoads)
{
  if (aLoads.m_vm == m_self) {
    return;
  }
  const auto found = m_peers.find(aLoads.m_vm);
  const bool isNext =
    found != m_peers.end() && aLoads.m_number == found->second.m_sequence + 1;
  if (!aLoads.m_isSnapshot && !isNext) {
    return;
  }
  Peer& peer = m_peers[aLoads.m_vm];
  if (aLoads.m_isSnapshot) {
    RemoveFromSums(peer);
  }
  peer.m_receivedAt = aNow;
  peer.m_sequence = aLoads.m_number;
  for (const WorkerLoad& load : aLoads.m_loads) {
    const auto known = peer.m_loads.find(load.m_worker);
    if (known != peer.m_loads.end()) {
      AddToSums(known->second, -1);
      peer.m_loads.erase(known);
    }
    if (load.m_running > 0) {
      AddToSums(load, 1);
      peer.m_loads.emplace(load.m_worker, load);
    }
  }
}

LoadExchange::Loads
LoadExchange::OwnLoads(const WorkerTable& aWorkers)
{
  Loads loads;
  for (const auto& [id, worker] : aWorkers.All()) {
    if (worker.m_running > 0) {
      loads[id.Value()] = { id.Value(),
                            worker.m_running,
                            worker.m_pendingPrefillTokens,
                            worker.m_heldTokens };
    }
  }
  return loads;
}

void
LoadExchange::OnRead(WorkerReads aReads)
{
  if (ReachesAll() && m_unsentReads.size() < kMaxUnsentReads) {
    m_unsentReads.push_back(std::move(aReads));
  }
}

void
LoadExchange::OnLinkReserved(const std::string& aAddress, Duration aTime)
{
  if (ReachesAll()) {
    m_unsentLinkUse[aAddress] += aTime.count();
  }
}

std::optional<WorkerLoads>
LoadExchange::TakeUpdate(TimePoint aNow,
                         const WorkerTable& aWorkers,
                         std::vector<Restart> aRestarts)
{
  if (aNow < m_nextUpdate || m_recipients.empty()) {
    return std::nullopt;
  }
  Loads loads = OwnLoads(aWorkers);
  WorkerLoads update;
  update.m_vm = m_self;
  update.m_isSnapshot = aNow >= m_nextSnapshot;
  for (const auto& [worker, load] : loads) {
    const auto known = m_sentLoads.find(worker);
    const bool isNew = known == m_sentLoads.end() || known->second != load;
    if (update.m_isSnapshot || isNew) {
      update.m_loads.push_back(load);
    }
  }
  for (const auto& [worker, load] : m_sentLoads) {
    if (!update.m_isSnapshot && loads.count(worker) == 0) {
      update.m_loads.push_back({ worker, 0, 0, 0 });
    }
  }
  for (const auto& [id, worker] : aWorkers.All()) {
    if (update.m_isSnapshot && worker.m_hasAnnouncedLeaving) {
      update.m_leaving.push_back({ id.Value(), worker.m_info.m_createdMs });
    }
  }
  std::map<std::string, TimePoint> restarts;
  for (Restart& restart : aRestarts) {
    const TimePoint failedAt = aNow - Duration(restart.m_failedAgoUs);
    const auto sent = m_sentRestarts.find(restart.m_worker);
    const bool isNew = sent == m_sentRestarts.end() || sent->second < failedAt;
    restarts[restart.m_worker] = failedAt;
    if (update.m_isSnapshot || isNew) {
      update.m_restarts.push_back(std::move(restart));
    }
  }
  if (!update.m_isSnapshot && update.m_loads.empty() && m_unsentReads.empty() &&
      m_unsentLinkUse.empty() && update.m_restarts.empty()) {
    return std::nullopt;
  }
  for (const auto& [address, time] : std::exchange(m_unsentLinkUse, {})) {
    update.m_linkUse.push_back({ address, time });
  }
  update.m_reads = std::exchange(m_unsentReads, {});
  m_sentLoads = std::move(loads);
  m_sentRestarts = std::move(restarts);
  update.m_number = ++m_sequence;
  const auto recipients = static_cast<std::int64_t>(m_recipients.size());
  m_nextUpdate =
    aNow + std::max(kUpdateInterval, kIntervalPerRecipient * recipients);
  if (update.m_isSnapshot) {
    m_nextSnapshot = aNow + kSnapshotInterval;
  }
  return update;
}

void
LoadExchange::OnTick(TimePoint aNow)
{
  for (auto each = m_peers.begin(); each != m_peers.end();) {
    if (aNow < each->second.m_receivedAt + kLoadTtl) {
      ++each;
      continue;
    }
    RemoveFromSums(each->second);
    each = m_peers.erase(each);
  }
}

bool
LoadExchange::HasLoads() const
{
  return m_entryCount <= 1 || !m_peers.empty();
}

double
LoadExchange::ReportingPart() const
{
  const double others = static_cast<double>(m_entryCount) - 1;
  return others <= 0
           ? 1
           : std::min(1.0, static_cast<double>(m_peers.size()) / others);
}

WorkerLoad
LoadExchange::OtherEntriesLoad(const WorkerId& aWorker) const
{
  const auto found = m_sums.find(aWorker.Value());
  if (found == m_sums.end() || m_peers.empty()) {
    return {};
  }
  const auto others = static_cast<std::int64_t>(m_entryCount) - 1;
  const auto reporting = static_cast<std::int64_t>(m_peers.size());
  const auto scaled = [&](std::int64_t aValue) {
    // Entries that have just left may still be among the reporting ones.
    return others > reporting ? aValue * others / reporting : aValue;
  };
  return { aWorker.Value(),
           scaled(found->second.m_running),
           scaled(found->second.m_pendingPrefillTokens),
           scaled(found->second.m_heldTokens) };
}

} // namespace fulmarquay
