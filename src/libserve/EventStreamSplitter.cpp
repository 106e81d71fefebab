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
  std::size_t searchFrom = m_partial.empty() ? 0 : m_partial.size() - 1;
  m_partial += aBytes;
  std::size_t complete = 0;
  while (!m_hasRepeatedId) {
    const std::size_t end = m_partial.find(kEventEnd, searchFrom);
    if (end == std::string::npos) {
      break;
    }
    const std::size_t next = end + kEventEnd.size();
    if (ReadId(std::string_view(m_partial).substr(complete, next - complete))) {
      complete = next;
    } else {
      m_hasRepeatedId = true;
    }
    searchFrom = next;
  }
  std::string events = m_partial.substr(0, complete);
  m_partial.erase(0, complete);
  return events;
}

bool
EventStreamSplitter::ReadId(std::string_view aEvent)
{
  std::size_t position = aEvent.find(kIdField);
  while (position != std::string_view::npos && position > 0 &&
         aEvent[position - 1] != '\n') {
    position = aEvent.find(kIdField, position + 1);
  }
  if (position == std::string_view::npos) {
    return true;
  }
  std::string_view digits = aEvent.substr(position + kIdField.size());
  while (!digits.empty() && digits.front() == ' ') {
    digits.remove_prefix(1);
  }
  std::int64_t id = 0;
  const auto [end, error] =
    std::from_chars(digits.data(), digits.data() + digits.size(), id);
  if (error != std::errc()) {
    return true;
  }
  if (id <= m_lastId) {
    return false;
  }
  m_lastId = id;
  return true;
}

} // namespace fulmarquay
