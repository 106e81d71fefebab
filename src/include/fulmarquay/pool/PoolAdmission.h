#ifndef FULMARQUAY_POOL_POOLADMISSION_H
#define FULMARQUAY_POOL_POOLADMISSION_H

#include "fulmarquay/core/StrongId.h"
#include "fulmarquay/core/Units.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace fulmarquay {

/// Prefill time that may be pending at a worker when a prompt is sent there.
struct PrefillBudget
{
  Duration m_pending = Duration::max(); ///< upper limit without the prompt
  Duration m_withPrompt{};              ///< with the prompt itself
  Duration m_least = Duration::max();   ///< allowed for each prompt
  bool Allows(Duration aPending, Duration aPrompt) const
  {
    return aPending <=
           std::min(m_pending, std::max(m_least, m_withPrompt - aPrompt));
  }
};

/// Decides which requests of a pool are sent, wait at the entry or are refused
/// when the pool can't serve all of them in time.
///
/// Prompts that wait inside engines wait in no useful order. So a worker has
/// room for a prompt only while little prefill work is pending there: for the
/// most urgent requests a part of their target latency, for the others a part
/// of the shortest target of those that are more urgent. Requests without room
/// wait here. Those that can meet their target are sent first, by priority and
/// then in max-min fair shares of the accounts; those that can't are refused.
/// Pure; not thread-safe.
class PoolAdmission
{
public:
  struct Item
  {
    CallerId m_caller;
    std::int64_t m_priority = 0; ///< 0 is served first
    TimePoint m_targetAt;        ///< a later first event is late
    TimePoint m_expiresAt;       ///< must have been sent by then
    std::int64_t m_tokens = 0;   ///< prompt tokens that a worker has to read
    std::string m_account;       ///< empty: none
  };

  /// What is known of a pool.
  struct Pool
  {
    double m_tokensPerSecond = 0; ///< of one worker; 0: not known
    /// Mean of the prefill tokens pending at a worker.
    double m_pendingTokens = 0;
    double m_workers = 0; ///< for each entry that uses them
    double m_entries = 1;

    Duration TimeOf(double aTokens) const;
    Duration Backlog() const { return TimeOf(m_pendingTokens); }
  };

  /// Records the arrival of a request.
  void OnRequest(TimePoint aNow, std::int64_t aPriority, Duration aTarget);

  PrefillBudget Budget(TimePoint aNow,
                       std::int64_t aPriority,
                       const std::string& aAccount,
                       Duration aTarget,
                       const Pool& aPool) const;

  /// Adds an item. If it is refused, returns the time after which to retry;
  /// `aSpread` from 0 to 1 spreads these times.
  std::optional<Duration> Push(TimePoint aNow,
                               const Item& aItem,
                               const Pool& aPool,
                               double aSpread = 0);

  void Remove(CallerId aCaller);

  /// Returns the next item to send; no value if the queue is empty.
  std::optional<Item> Next(TimePoint aNow) const;

  /// Whether an item waits that goes before a new request of this priority.
  bool HasAhead(TimePoint aNow, std::int64_t aPriority) const;

  /// Items to be refused because they can't meet their target any more, while
  /// others can or the pool has a backlog. They are not removed.
  std::vector<CallerId> Hopeless(TimePoint aNow, const Pool& aPool) const;

  /// Retry-After of a request that is refused now.
  Duration RetryAfter(TimePoint aNow, const Pool& aPool, double aSpread) const;

  /// Counts tokens sent to a worker, also of requests that did not wait.
  void OnSent(TimePoint aNow,
              std::int64_t aTokens,
              std::int64_t aPriority = 0,
              const std::string& aAccount = "");
  /// Counts a refusal of an item that Hopeless returned.
  void OnHopeless(TimePoint aNow, std::int64_t aPriority);

  /// Whether requests were refused a short time ago.
  bool IsOverloaded(TimePoint aNow) const;

  /// Number of items with this priority or a higher one.
  std::size_t CountAhead(std::int64_t aPriority) const;
  /// The item that would be sent last, if its priority is lower than this one.
  std::optional<Item> LastBehind(std::int64_t aPriority) const;

  bool Contains(CallerId aCaller) const { return m_items.count(aCaller) != 0; }
  std::size_t Size() const { return m_items.size(); }

private:
  /// A sum that decays; at a steady rate it is the amount of one window.
  struct DecayingSum
  {
    double m_sum = 0;
    TimePoint m_at;
    double At(TimePoint aNow, Duration aWindow) const;
    void Add(TimePoint aNow, double aAmount, Duration aWindow);
  };

  struct Kind
  {
    TimePoint m_seenAt;
    Duration m_target{};    ///< the shortest one of late
    TimePoint m_hopelessAt; ///< one waited in vain, and none was sent since
  };

  /// Time that engines need for prompts that other entries have sent and not
  /// reported yet.
  Duration Unreported(TimePoint aNow, const Pool& aPool) const;
  double DrainRate(TimePoint aNow,
                   std::int64_t aPriority,
                   const Pool& aPool) const;
  /// Whether a request waits of a kind that waited in vain a short time ago.
  bool IsVain(TimePoint aNow, std::int64_t aPriority) const;
  double TokensAhead(TimePoint aNow, const Item& aItem) const;
  double SentOf(TimePoint aNow, const std::string& aAccount) const;
  bool IsHeavy(TimePoint aNow, const std::string& aAccount) const;

  std::map<CallerId, Item> m_items;
  std::map<std::int64_t, Kind> m_kinds;             ///< by priority
  std::map<std::int64_t, DecayingSum> m_sentTokens; ///< by priority
  std::unordered_map<std::string, DecayingSum> m_sentByAccount;
  DecayingSum m_lastSent; ///< tokens that the other entries don't know yet
  TimePoint m_refusedAt;
};

} // namespace fulmarquay

#endif
