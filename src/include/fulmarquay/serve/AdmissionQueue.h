#ifndef FULMARQUAY_SERVE_ADMISSIONQUEUE_H
#define FULMARQUAY_SERVE_ADMISSIONQUEUE_H

#include "fulmarquay/core/StrongId.h"
#include "fulmarquay/core/Units.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace fulmarquay {

/// Requests that wait at an entry because no worker of their pool has room.
///
/// The load that it answers: more prompts than the engines' memory holds. Sent
/// on all the same they would wait inside the engines, hold memory there and
/// drive out the cached parts of others, so that every answer comes late. The
/// queue hands out first those that can still be answered in the time wanted,
/// in the order in which that ends, a rank counting as some more time, then
/// the late ones. What can't start before its end is told so at once. Pure;
/// not thread-safe.
class AdmissionQueue
{
public:
  struct Item
  {
    CallerId m_caller;
    std::int64_t m_rank = 0; ///< 0 is served first
    TimePoint m_wanted;      ///< a later first event is late
    TimePoint m_due;         ///< a later start is of no use
    std::int64_t m_tokens = 0;
  };

  /// Adds an item, or refuses it: the time after which it may be tried again.
  std::optional<Duration> Push(TimePoint aNow, const Item& aItem);

  void Remove(CallerId aCaller);

  /// The item that is next; nothing when the queue is empty.
  std::optional<Item> Next(TimePoint aNow) const;

  /// Tokens of a request went to a worker, from the queue or past it.
  void OnSent(TimePoint aNow, std::int64_t aTokens);

  bool Contains(CallerId aCaller) const { return m_items.count(aCaller) != 0; }
  std::size_t Size() const { return m_items.size(); }

private:
  Duration WaitFor(TimePoint aNow, const Item& aItem) const;

  std::map<CallerId, Item> m_items;
  double m_sentTokens = 0; ///< decaying sum
  TimePoint m_sentAt;
};

} // namespace fulmarquay

#endif
