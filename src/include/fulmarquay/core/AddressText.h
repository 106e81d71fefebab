#ifndef FULMARQUAY_CORE_ADDRESSTEXT_H
#define FULMARQUAY_CORE_ADDRESSTEXT_H

#include "fulmarquay/core/Endpoint.h"

#include <optional>
#include <stdexcept>
#include <string_view>

namespace fulmarquay {

/// Parses like Endpoint::Parse; empty if the text is no address. For texts of
/// other processes, which must not end this one.
inline std::optional<Endpoint>
ReadAddress(std::string_view aText)
{
  try {
    return Endpoint::Parse(aText);
  } catch (const std::invalid_argument&) {
    return std::nullopt;
  }
}

} // namespace fulmarquay

#endif
