#ifndef FULMARQUAY_CONTROL_PARTSTOREPROTOCOL_H
#define FULMARQUAY_CONTROL_PARTSTOREPROTOCOL_H

#include "fulmarquay/control/PartStore.h"
#include "fulmarquay/core/Units.h"
#include "fulmarquay/wire/HttpMessage.h"

#include <cstdint>
#include <string>
#include <vector>

namespace fulmarquay {

/// A part that a store has got whole, or has dropped.
struct StoreEvent
{
  bool m_isAdded = false;
  PartName m_part;
  std::int64_t m_tokens = 0;
  std::string m_model;
};

/// What a store tells of its changes, or of all that it holds.
struct StoreNews
{
  std::uint64_t m_epoch = 0;  ///< changes when the store starts
  std::uint64_t m_next = 0;   ///< number to ask from the next time
  bool m_isGap = false;       ///< events before these are lost
  std::int64_t m_clockMs = 0; ///< the workers' clock; 0: not told
  std::vector<StoreEvent> m_events;
};

/// How full a store says it is.
struct StoreFill
{
  std::int64_t m_usedTokens = 0;
  std::int64_t m_allTokens = 0;
};

/// The contract with KV cache stores that keep parts until they are told to
/// free them: requests out, answers in, no I/O. Parsers throw Error.
class PartStoreProtocol
{
public:
  virtual ~PartStoreProtocol() = default;

  /// Changes from a number on; waits up to this long for some.
  virtual HttpRequest Events(std::uint64_t aSince, Duration aWait) const = 0;
  virtual StoreNews ParseEvents(const std::string& aBody) const = 0;

  /// Everything that the store holds whole.
  virtual HttpRequest List() const = 0;
  virtual StoreNews ParseList(const std::string& aBody) const = 0;

  /// How full the store is, parts included that were never written whole.
  virtual HttpRequest Fill() const = 0;
  virtual StoreFill ParseFill(const std::string& aBody) const = 0;

  /// Frees parts, unless the store has started again since or the workers'
  /// clock is past the time.
  virtual HttpRequest Free(const std::vector<PartName>& aParts,
                           std::uint64_t aEpoch,
                           std::int64_t aUntilMs) const = 0;
};

} // namespace fulmarquay

#endif
