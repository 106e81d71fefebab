#ifndef FULMARQUAY_SERVE_STREAMORIGINS_H
#define FULMARQUAY_SERVE_STREAMORIGINS_H

#include "fulmarquay/control/WorkerList.h"
#include "fulmarquay/core/Units.h"

#include <cstdint>
#include <list>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace fulmarquay {

/// Where a stream began: the pool and the software of the worker that sent its
/// first event. Only workers of the same software may go on with it.
struct StreamOrigin
{
  PoolId m_pool;
  SoftwareVersion m_software;
  bool operator==(const StreamOrigin&) const = default;
};

/// Identifies a stream by the attempt that brought its first event.
using StreamKey = StrongId<struct StreamKeyTag>;

/// The key of an attempt. An id of another account, host or path gives another
/// key.
StreamKey
MakeStreamKey(const std::string& aAttempt,
              const std::string& aAccount,
              const std::string& aHost,
              const std::string& aPath);

/// The origins of recent streams, bounded in time and number: the oldest ones
/// are dropped first. Pure; not thread-safe.
class StreamOrigins
{
public:
  /// Result of a search.
  struct Finding
  {
    std::optional<StreamOrigin> m_origin;
    /// Streams of different origins were recorded under the key, so that none
    /// can be trusted.
    bool m_isAmbiguous = false;
  };

  /// How long an origin is kept after it was last recorded: longer than a
  /// stream with all attempts of its caller lasts.
  static constexpr Duration kTtl = Duration(60'000'000);

  explicit StreamOrigins(std::size_t aMaxSize = kDefaultMaxSize)
    : m_maxSize(aMaxSize)
  {
  }

  /// Records an origin, or extends the time for which it is kept. `aIsOwn`
  /// marks streams that this entry has served.
  void Record(TimePoint aNow,
              StreamKey aStream,
              const StreamOrigin& aOrigin,
              bool aIsOwn);

  Finding Find(TimePoint aNow, StreamKey aStream) const;

  /// The unambiguous streams of a pool that this entry has served.
  std::vector<std::pair<StreamKey, StreamOrigin>> OwnOf(
    TimePoint aNow,
    const PoolId& aPool) const;

  /// Drops origins whose time is over.
  void Expire(TimePoint aNow);

  std::size_t Size() const { return m_index.size(); }

private:
  /// Bounds the memory to some 20 MB.
  static constexpr std::size_t kDefaultMaxSize = 100'000;

  struct Item
  {
    StreamKey m_stream;
    StreamOrigin m_origin;
    bool m_isOwn = false;
    bool m_isAmbiguous = false;
    TimePoint m_expiresAt;
  };
  using Items = std::list<Item>;

  std::size_t m_maxSize;
  Items m_items; ///< by time of expiry
  std::unordered_map<StreamKey, Items::iterator> m_index;
};

} // namespace fulmarquay

#endif
