#ifndef FULMARQUAY_SERVE_KEYSTATE_H
#define FULMARQUAY_SERVE_KEYSTATE_H

#include <string_view>

namespace fulmarquay {

/// What an entry knows of the account key of a request.
enum class KeyState
{
  Unchecked,   ///< the request was refused before its key was looked up
  None,        ///< the request carries no key
  Held,        ///< an account of the document in force has the key
  Unknown,     ///< no account of the document in force has the key
  Ambiguous,   ///< the request brings several keys
  Unconfirmed, ///< the entry has no key lease, so its document may be outdated
};

/// A word for logs and metrics.
std::string_view
NameOf(KeyState aState);

} // namespace fulmarquay

#endif
