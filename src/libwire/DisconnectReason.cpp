#include "fulmarquay/wire/DisconnectReason.h"

namespace fulmarquay {

std::string_view
NameOf(DisconnectReason aReason)
{
  switch (aReason) {
    case DisconnectReason::CallerClosed:
      return "the caller closed";
    case DisconnectReason::CallerReset:
      return "the connection failed";
    case DisconnectReason::Stalled:
      return "the caller took no bytes";
    case DisconnectReason::Overfull:
      return "too many bytes were queued";
    case DisconnectReason::Stopped:
      return "this process ends";
  }
  return "";
}

} // namespace fulmarquay
