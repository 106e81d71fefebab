#ifndef FULMARQUAY_WIRE_JSONTEXT_H
#define FULMARQUAY_WIRE_JSONTEXT_H

#include <cstddef>
#include <functional>
#include <string>
#include <string_view>

namespace fulmarquay {

/// Deepest nesting of arrays and objects in JSON that is parsed.
constexpr std::size_t kMaxJsonDepth = 64;

/// Throws Error with the step `aStep` when `aText` is nested deeper than
/// kMaxJsonDepth. Other errors are left to the parser.
void
CheckJsonDepth(const char* aStep, std::string_view aText);

/// Calls `aVisit` with the text of each element of a JSON array. Elements are
/// not parsed, so that one that is malformed doesn't affect the others. Throws
/// Error with the step `aStep` when the ends of the elements can't be found.
void
ForEachJsonElement(const char* aStep,
                   std::string_view aArray,
                   const std::function<void(std::string_view)>& aVisit);

/// Calls `aVisit` with the key and the text of the value of each member of a
/// JSON object. Values are not parsed, keys are passed as written between their
/// quotes. Throws Error like ForEachJsonElement.
void
ForEachJsonMember(
  const char* aStep,
  std::string_view aObject,
  const std::function<void(std::string_view, std::string_view)>& aVisit);

} // namespace fulmarquay

#endif
