#ifndef FULMARQUAY_SERVE_PARTMAP_H
#define FULMARQUAY_SERVE_PARTMAP_H

#include "fulmarquay/cache/CacheMessages.h"
#include "fulmarquay/control/PartStore.h"
#include "fulmarquay/core/Units.h"
#include "fulmarquay/serve/DataCentreFilter.h"
#include "fulmarquay/serve/RelayRequest.h"
#include "fulmarquay/serve/StoreFetchLimiter.h"

#include <cstdint>
#include <optional>
#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace fulmarquay {

/// Returns the keys of a prompt's parts in a cache scope.
std::vector<std::uint64_t>
PartKeys(const std::string& aScope, const std::vector<PromptPart>& aParts);

/// Time of a transfer over a link; longer between data centres. 0 for a link of
/// unknown bandwidth.
Duration
TransferTime(std::int64_t aBytes, std::int64_t aBitsPerSecond, bool aIsRemote);

/// Contents of the KV cache stores, as received from the leader, and the choice
/// of stores to fetch from and to save to.
///
/// Parts shared by several requests are computed once by one engine and fetched
/// by all others. Usable only under the leader's lease: the leader frees parts
/// after the lease has expired at all entries. Pure; not thread-safe.
class PartMap
{
public:
  /// Applies an update from the leader. Returns false if its base state does
  /// not match the current one.
  bool Apply(const StorePush& aPush);

  /// Extends the lease of the map and sets the time limit of a fetch.
  void OnLeaseConfirmed(TimePoint aUntil, Duration aFetchTimeout);

  /// What is known of a part beside the stores.
  struct PeerCopy
  {
    bool m_isHeld = false; ///< by the worker that will run the request
    std::string m_address; ///< IP:PORT of another worker; empty: none
    Duration m_transferTime{};
  };

  /// The worker that will run a request, and the current time.
  struct PlanInput
  {
    TimePoint m_now;
    std::int64_t m_workersClockMs = 0; ///< workers' clock at m_now
    DataCentreId m_dataCentre;
    /// Data centres whose stores may hold the parts.
    DataCentreFilter m_allowedDataCentres;
    std::int64_t m_kvBytesPerToken = 0;
    std::uint32_t m_entryCount = 1; ///< entries that save to the stores
    /// Entries that share the links and do not tell their reservations, this
    /// one included.
    std::uint32_t m_linkSharers = 1;
    std::vector<PeerCopy> m_peerCopies; ///< by part; may be shorter
  };

  /// Sets the fetches and saves of a request and the deadline of its fetches
  /// from stores on the workers' clock. The last part of a prompt is not shared
  /// and is neither fetched nor saved. Returns the link time that it reserved.
  std::vector<LinkUse> PlanTransfers(const PlanInput& aInput,
                                     const RelayRequest& aRequest,
                                     DispatchParameters& aParameters);

  /// Records the time to first event of a request and the sources that it
  /// fetched from.
  void OnFirstEvent(Duration aTime, const std::set<std::string>& aStores);

  /// The data centre of the store that a worker would fetch a part from; null
  /// if no store in an allowed data centre has it.
  const DataCentreId* NearestStore(TimePoint aNow,
                                   std::uint64_t aKey,
                                   const DataCentreId& aDataCentre,
                                   const DataCentreFilter& aAllowed = {}) const;

  /// Adds link time that another entry has reserved.
  void OnReservedByOther(TimePoint aNow, const LinkUse& aUse);

  /// Returns and clears the keys of parts that requests have used; a few
  /// hundred at most.
  std::vector<std::uint64_t> TakeUsedKeys();

  /// Whether the stores are known and all of them are up.
  bool AreAllStoresUp() const;

  std::uint64_t State() const { return m_state; }
  std::size_t Size() const { return m_parts.size(); }

private:
  /// A complete part in a store.
  struct Copy
  {
    std::uint32_t m_store = 0;
    std::int64_t m_tokens = 0;
  };

  const Copy* FindCopy(std::uint64_t aKey,
                       const DataCentreId& aDataCentre,
                       const DataCentreFilter& aAllowed) const;
  /// Chooses the source from which a part arrives first, reserves link time
  /// there and adds it to `aReserved`; an empty address if there is none or the
  /// links are busy. For a part that the worker is assumed to hold, a source is
  /// named in case it does not, without a reservation.
  PartSource ChooseSource(const PlanInput& aInput,
                          const Copy* aCopy,
                          const PeerCopy* aPeer,
                          std::vector<LinkUse>& aReserved);
  /// A requested save that is not in the map yet.
  struct PendingSave
  {
    TimePoint m_retryAt;
    std::size_t m_store = 0;
    std::int64_t m_tokens = 0;
  };

  /// Returns the index of the store for a new part; no value if no allowed one
  /// has room.
  std::optional<std::size_t> ChooseSaveStore(const PlanInput& aInput,
                                             std::uint64_t aKey,
                                             std::int64_t aTokens) const;
  /// Tokens of the pending saves, by store.
  std::vector<std::int64_t> PendingSaveTokens() const;
  void PlanSave(const PlanInput& aInput,
                std::uint64_t aKey,
                std::int64_t aTokens,
                std::string& aAddress);
  bool HasLease(TimePoint aNow) const { return aNow < m_leaseUntil; }

  std::uint64_t m_state = 0;
  std::vector<StoreInfo> m_stores;
  std::vector<std::int64_t> m_usedTokens; ///< by store
  std::unordered_map<std::uint64_t, std::vector<Copy>> m_parts;
  std::unordered_map<std::uint64_t, PendingSave> m_pendingSaves;
  TimePoint m_nextSweep;
  TimePoint m_leaseUntil;
  Duration m_fetchTimeout{};
  std::vector<std::uint64_t> m_usedKeys;
  StoreFetchLimiter m_fetchLimiter;
};

} // namespace fulmarquay

#endif
