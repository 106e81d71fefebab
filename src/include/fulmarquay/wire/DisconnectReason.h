#ifndef FULMARQUAY_WIRE_DISCONNECTREASON_H
#define FULMARQUAY_WIRE_DISCONNECTREASON_H

#include <string_view>

namespace fulmarquay {

/// Why a caller's connection ended while a request was running.
enum class DisconnectReason
{
  CallerClosed, ///< the caller has closed its side
  CallerReset,  ///< a read or write failed
  Stalled,      ///< the caller has taken no bytes for too long
  Overfull,     ///< too many bytes were queued, for it or for all callers
  Stopped,      ///< this process ends
};

/// A word for the log.
std::string_view
NameOf(DisconnectReason aReason);

/// Whether the server has closed the connection of its own accord.
constexpr bool
IsOwnDecision(DisconnectReason aReason)
{
  return aReason != DisconnectReason::CallerClosed &&
         aReason != DisconnectReason::CallerReset;
}

} // namespace fulmarquay

#endif
