#ifndef FULMARQUAY_CONTROL_REQUESTLIMITS_H
#define FULMARQUAY_CONTROL_REQUESTLIMITS_H

#include "fulmarquay/core/Units.h"
#include "fulmarquay/wire/Codec.h"

#include <cstdint>
#include <algorithm>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace fulmarquay {

/// How long after it sent an answered heartbeat an entry may use its shares of
/// limits: two lost heartbeats of an entry with shares are tolerated.
constexpr Duration kLimitShareLease(2'000'000);
/// Requests a second at which a worker with a lower limit is used: only an
/// answer can tell that it accepts more again.
constexpr double kMinRequestLimit = 0.1;

/// The requests a second that a worker may get from all entries together.
struct RequestLimit
{
  double m_perSecond = 0;
  /// Whether it tolerates little more in any second, not only in a few seconds:
  /// a cold worker. Nothing is sent to it without a share.
  bool m_isCold = false;
  bool operator==(const RequestLimit&) const = default;
};

/// The limit of a worker from what it states and what it tolerates while cold;
/// the lower one applies. No value: none of them is set.
inline std::optional<RequestLimit>
CombineLimits(std::optional<double> aStated, std::optional<double> aCold)
{
  if (!aStated && !aCold) {
    return std::nullopt;
  }
  const double perSecond =
    std::min(aStated.value_or(*(aCold ? aCold : aStated)),
             aCold.value_or(*(aStated ? aStated : aCold)));
  return RequestLimit{ std::max(perSecond, kMinRequestLimit),
                       aCold.has_value() };
}

/// What an incarnation of a worker stated about the requests a second that it
/// accepts from all entries together.
struct LimitStatement
{
  std::string m_worker;
  std::int64_t m_createdMs = 0;
  bool m_isLimited = false; ///< false: it states no limit any more
  double m_perSecond = 0;
  /// When it was stated, on the monotonic clock of the entry that sends or
  /// receives this message.
  std::int64_t m_statedAtUs = 0;
  MSGPACK_DEFINE(m_worker, m_createdMs, m_isLimited, m_perSecond, m_statedAtUs)
};

/// The share of a worker's limit that one entry may use, above 0 up to 1. A
/// share of the limit rather than a rate: a new limit needs no new shares.
struct LimitShare
{
  std::string m_worker;
  std::int64_t m_createdMs = 0;
  double m_share = 0;
  double m_burst = 1; ///< requests that the entry may save up
  MSGPACK_DEFINE(m_worker, m_createdMs, m_share, m_burst)
};

/// The part of an entry's heartbeat about limits.
struct LimitReport
{
  std::uint64_t m_held = 0; ///< number of the last LimitPush received
  /// Those that the last LimitPush did not contain.
  std::vector<LimitStatement> m_statements;
  std::vector<LimitShare> m_shares; ///< in use
  /// Callers' requests at this entry, by pool.
  std::map<std::string, double> m_requestsPerSecond;
  MSGPACK_DEFINE(m_held, m_statements, m_shares, m_requestsPerSecond)
};

/// All limits that workers state, and an entry's shares of them. Replaces what
/// an earlier push contained.
struct LimitPush
{
  std::uint64_t m_number = 0; ///< grows from push to push and leader to leader
  std::vector<LimitStatement> m_limits;
  std::vector<LimitShare> m_shares;
  MSGPACK_DEFINE(m_number, m_limits, m_shares)
};

} // namespace fulmarquay

#endif
