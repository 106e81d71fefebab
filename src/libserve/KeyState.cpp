#include "fulmarquay/serve/KeyState.h"

namespace fulmarquay {

std::string_view
NameOf(KeyState aState)
{
  switch (aState) {
    case KeyState::Unchecked:
      return "unchecked";
    case KeyState::None:
      return "none";
    case KeyState::Held:
      return "held";
    case KeyState::Unknown:
      return "unknown";
    case KeyState::Ambiguous:
      return "ambiguous";
    case KeyState::Unconfirmed:
      return "unconfirmed";
  }
  return "";
}

} // namespace fulmarquay
