#ifndef FULMARQUAY_SERVE_STOREPACE_H
#define FULMARQUAY_SERVE_STOREPACE_H

#include "fulmarquay/core/Units.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>

namespace fulmarquay {

/// How much of the fetches from each store are ordered.
///
/// The load that it answers: a store whose link has become slow, so that
/// fetches wait behind one another, while the engines could read the prompts.
/// A store's share of its fetches shrinks while first events of requests that
/// fetch from it come much later than those of other requests, and grows back
/// when they don't. Load on the engines delays all alike and changes nothing.
/// Pure; not thread-safe.
class StorePace
{
public:
  /// The time from placing a request to its first event, and the stores that
  /// it fetched from; none for a request that fetched nothing.
  void OnFirstEvent(TimePoint aNow,
                    Duration aTime,
                    const std::set<std::string>& aStores);

  /// Whether a part is to be fetched from a store now.
  bool MayFetch(TimePoint aNow, const std::string& aStore, std::uint64_t aPart);

  /// The share of fetches from a store that are ordered, 0 to 1.
  double ShareOf(const std::string& aStore) const;

private:
  struct Pace
  {
    double m_microseconds = 0; ///< moving average of first events
    double m_share = 1;
    TimePoint m_seen;
    TimePoint m_shrunk;
  };

  void Note(Pace& aPace, TimePoint aNow, double aMicroseconds);
  double Usual(TimePoint aNow, const std::string& aStore) const;

  std::map<std::string, Pace> m_paces; ///< by store; "" for no fetch
  std::uint64_t m_draws = 0;
};

} // namespace fulmarquay

#endif
