#include "fulmarquay/serve/EventStreamSplitter.h"

#include <charconv>

namespace fulmarquay {

namespace {

constexpr std::string_view kEventEnd = "\n\n";
constexpr std::string_view kIdField = "id:";

} // namespace

std::string
EventStreamSplitter::Feed(std::string_view aBytes)
{
  // The held bytes contain no event end, but may end within one.
  const std::size_t begin = m_partial.empty() ? 0 : m_partial.size() - 1;
  m_partial += aBytes;
  const std::size_t last =
    std::string_view(m_partial).substr(begin).rfind(kEventEnd);
  if (last == std::string_view::npos) {
    return "";
  }
  std::string events = m_partial.substr(0, begin + last + kEventEnd.size());
  m_partial.erase(0, events.size());
  ReadIds(events);
  return events;
}

void
EventStreamSplitter::ReadIds(std::string_view aEvents)
{
  // Only the last id is needed: search backwards for the field at the start of
  // a line.
  std::size_t position = aEvents.rfind(kIdField);
  while (position != std::string_view::npos && position > 0 &&
         aEvents[position - 1] != '\n') {
    position = aEvents.rfind(kIdField, position - 1);
  }
  if (position == std::string_view::npos) {
    return;
  }
  std::string_view digits = aEvents.substr(position + kIdField.size());
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
