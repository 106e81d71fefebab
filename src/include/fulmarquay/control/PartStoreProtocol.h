#ifndef FULMARQUAY_CONTROL_PARTSTOREPROTOCOL_H
#define FULMARQUAY_CONTROL_PARTSTOREPROTOCOL_H

#include "fulmarquay/control/PartStore.h"
#include "fulmarquay/core/Units.h"
#include "fulmarquay/wire/HttpMessage.h"

#include <cstdint>
#include <string>
#include <vector>

namespace fulmarquay {

/// A part was received completely or removed by a store.
struct StoreEvent
{
  std::uint64_t m_number = 0; ///< grows with each event; 0 in lists
  bool m_isAdded = false;
  PartName m_part;
  std::int64_t m_tokens = 0;
  std::string m_model;
};

/// Changes that a store reports, or a list of all parts that it holds.
struct StoreEventBatch
{
  std::uint64_t m_epoch = 0;  ///< changes when the store restarts
  std::uint64_t m_next = 0;   ///< cursor of the next events call
  bool m_isGap = false;       ///< events before these were lost
  std::int64_t m_clockMs = 0; ///< the workers' clock; 0: not reported
  std::vector<StoreEvent> m_events;
};

/// Usage that a store reports.
struct StoreUsage
{
  std::int64_t m_usedTokens = 0;
  std::int64_t m_totalTokens = 0;
};

/// Encodes requests to KV cache stores, which keep parts until ordered to free
/// them, and parses the responses; performs no I/O. Parsers throw Error on
/// malformed bodies.
class PartStoreProtocol
{
public:
  virtual ~PartStoreProtocol() = default;

  /// Requests events after number aSince; the store waits up to aWait for
  /// one.
  virtual HttpRequest Events(std::uint64_t aSince, Duration aWait) const = 0;
  virtual StoreEventBatch ParseEvents(const std::string& aBody) const = 0;

  /// Requests a list of all complete parts in the store.
  virtual HttpRequest List() const = 0;
  virtual StoreEventBatch ParseList(const std::string& aBody) const = 0;

  /// Requests the store's usage, which includes incomplete parts.
  virtual HttpRequest Usage() const = 0;
  virtual StoreUsage ParseUsage(const std::string& aBody) const = 0;

  /// Orders the store to free parts, unless it has restarted since aEpoch or
  /// the workers' clock is past aUntilMs.
  virtual HttpRequest Free(const std::vector<PartName>& aParts,
                           std::uint64_t aEpoch,
                           std::int64_t aUntilMs) const = 0;
};

} // namespace fulmarquay

#endif
