#include "fulmarquay/serve/EventStreamSplitter.h"

#include <charconv>

namespace fulmarquay {

namespace {

constexpr std::string_view kEventEnd = "\n\n";
constexpr std::string_view kIdField = "id:";
constexpr std::string_view kHttpVersion = "HTTP/1.";

/// Whether a line ends with the status line of an HTTP response. The lines of
/// events end without a carriage return, so that a quotation is none.
bool
ContainsResponseHead(std::string_view aEvent)
{
  std::size_t position = aEvent.find(kHttpVersion);
  while (position != std::string_view::npos) {
    const std::size_t lineEnd = aEvent.find('\n', position);
    if (aEvent[lineEnd - 1] == '\r') {
      return true;
    }
    position = aEvent.find(kHttpVersion, lineEnd);
  }
  return false;
}

} // namespace

std::string
EventStreamSplitter::Feed(std::string_view aBytes)
{
  // The held bytes contain no event end, but may end within one.
  std::size_t searchFrom = m_partial.empty() ? 0 : m_partial.size() - 1;
  m_partial += aBytes;
  std::size_t complete = 0;
  while (!m_hasInvalidEvent) {
    const std::size_t end = m_partial.find(kEventEnd, searchFrom);
    if (end == std::string::npos) {
      break;
    }
    const std::size_t next = end + kEventEnd.size();
    const std::string_view event =
      std::string_view(m_partial).substr(complete, next - complete);
    if (!ContainsResponseHead(event) && ReadId(event)) {
      complete = next;
    } else {
      m_hasInvalidEvent = true;
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
