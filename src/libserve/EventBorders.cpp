#include "fulmarquay/serve/EventBorders.h"

#include <charconv>

namespace fulmarquay {

namespace {

constexpr std::string_view kBorder = "\n\n";
constexpr std::string_view kIdLine = "id:";

} // namespace

std::string
EventBorders::Feed(std::string_view aBytes)
{
  m_partial += aBytes;
  const std::size_t last = m_partial.rfind(kBorder);
  if (last == std::string::npos) {
    return "";
  }
  std::string whole = m_partial.substr(0, last + kBorder.size());
  m_partial.erase(0, whole.size());
  ReadIds(whole);
  return whole;
}

void
EventBorders::ReadIds(std::string_view aEvents)
{
  // Only the last id counts: search from the end, at the start of a line.
  std::size_t place = aEvents.rfind(kIdLine);
  while (place != std::string_view::npos && place > 0 &&
         aEvents[place - 1] != '\n') {
    place = aEvents.rfind(kIdLine, place - 1);
  }
  if (place == std::string_view::npos) {
    return;
  }
  std::string_view digits = aEvents.substr(place + kIdLine.size());
  while (!digits.empty() && digits.front() == ' ') {
    digits.remove_prefix(1);
  }
  std::int64_t id = 0;
  const auto [end, error] =
    std::from_chars(digits.data(), digits.data() + digits.size(), id);
  if (error == std::errc()) {
    m_lastId = id;
  }
}

} // namespace fulmarquay
