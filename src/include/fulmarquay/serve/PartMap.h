#ifndef FULMARQUAY_SERVE_PARTMAP_H
#define FULMARQUAY_SERVE_PARTMAP_H

#include "fulmarquay/control/PartStore.h"
#include "fulmarquay/core/Units.h"
#include "fulmarquay/serve/RelayRequest.h"
#include "fulmarquay/serve/StorePace.h"

#include <cstdint>
#include <optional>
#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace fulmarquay {

/// The keys of a prompt's parts under a cache scope.
std::vector<std::uint64_t>
PartKeys(const std::string& aScope, const std::vector<PromptPart>& aParts);

/// What the KV cache stores hold, as the leader told this entry, and the
/// choice of stores to read from and to save to.
///
/// The load that it answers: parts that several requests share are read once
/// by some engine and fetched by all others. Usable only under the lease that
/// the leader gave: the leader frees parts when it has run out everywhere.
/// Pure; not thread-safe.
class PartMap
{
public:
  /// Takes what the leader sent. Returns whether it fitted what is held.
  bool Apply(const StorePush& aPush);

  /// Until when the map may be read, and how long a fetch may take.
  void OnConfirmed(TimePoint aUntil, Duration aFetch);

  /// Who is to read a prompt, and when.
  struct Reader
  {
    TimePoint m_now;
    std::int64_t m_clockMs = 0; ///< the workers' clock then
    DataCentreId m_dataCentre;
    std::int64_t m_tokenBytes = 0;
    std::uint32_t m_entries = 1; ///< that share the stores' links
  };

  /// Fills what a worker is to fetch and to save for a request, and the
  /// latest end of its fetches by the workers' clock. The last part of a
  /// prompt belongs to its request alone.
  void Plan(const Reader& aReader,
            const RelayRequest& aRequest,
            RelayOrder& aOrder);

  /// A request that fetches from some stores has got its first event.
  void OnFirstEvent(Duration aTime, const std::set<std::string>& aStores);

  /// Tokens at the start of a prompt that stores hold without a gap: those of
  /// stores in the reader's data centre, and those of others.
  struct Stored
  {
    std::int64_t m_near = 0;
    std::int64_t m_far = 0;
  };
  Stored StoredTokens(TimePoint aNow,
                      const std::vector<PromptPart>& aParts,
                      const std::vector<std::uint64_t>& aKeys,
                      const DataCentreId& aDataCentre) const;

  /// Keys of parts that were read since the last call, at most some hundred.
  std::vector<std::uint64_t> TakeUsed();

  /// Whether all stores were heard of and are up.
  bool HasAllStores() const;

  std::uint64_t State() const { return m_state; }
  std::size_t Size() const { return m_parts.size(); }

private:
  /// A whole part in a store.
  struct Copy
  {
    std::uint32_t m_store = 0;
    std::int64_t m_tokens = 0;
  };

  const Copy* Find(std::uint64_t aKey, const DataCentreId& aDataCentre) const;
  /// A save that was ordered and does not show in the map yet.
  struct Saving
  {
    TimePoint m_until;
    std::size_t m_store = 0;
    std::int64_t m_tokens = 0;
  };

  /// The index of the store that a part goes to; none has room: no value.
  std::optional<std::size_t> ChooseForSave(std::uint64_t aKey,
                                           std::int64_t aTokens,
                                           std::uint32_t aEntries) const;
  /// Tokens of the saves under way, by store.
  std::vector<std::int64_t> SavingTokens() const;
  void PlanSave(const Reader& aReader,
                std::uint64_t aKey,
                std::int64_t aTokens,
                std::string& aAddress);
  static Duration TransferTime(const StoreBrief& aStore,
                               const Reader& aReader,
                               std::int64_t aTokens);
  bool IsUsable(TimePoint aNow) const { return aNow < m_until; }

  std::uint64_t m_state = 0;
  std::vector<StoreBrief> m_stores;
  std::vector<std::int64_t> m_usedTokens; ///< by store
  std::unordered_map<std::uint64_t, std::vector<Copy>> m_parts;
  std::unordered_map<std::uint64_t, Saving> m_saving;
  TimePoint m_nextSweep;
  TimePoint m_until;
  Duration m_fetch{};
  std::vector<std::uint64_t> m_used;
  StorePace m_pace;
};

} // namespace fulmarquay

#endif
