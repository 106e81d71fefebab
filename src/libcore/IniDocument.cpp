#include "fulmarquay/core/IniDocument.h"

namespace fulmarquay {

namespace {

std::string
Trim(std::string_view aText)
{
  constexpr std::string_view kBlanks = " \t\r";
  const std::size_t first = aText.find_first_not_of(kBlanks);
  if (first == std::string_view::npos) {
    return "";
  }
  const std::size_t last = aText.find_last_not_of(kBlanks);
  return std::string(aText.substr(first, last - first + 1));
}

} // namespace

IniDocument
IniDocument::Parse(std::string_view aText)
{
  IniDocument document;
  int number = 0;
  while (!aText.empty()) {
    const std::size_t end = aText.find('\n');
    const std::string line = Trim(aText.substr(0, end));
    aText.remove_prefix(end == std::string_view::npos ? aText.size() : end + 1);
    ++number;
    if (line.empty() || line[0] == '#' || line[0] == ';') {
      continue;
    }
    if (line.front() == '[' && line.back() == ']') {
      document.AddSection(Trim(line.substr(1, line.size() - 2)), number);
    } else {
      document.AddValue(line, number);
    }
  }
  return document;
}

void
IniDocument::AddSection(const std::string& aName, int aLine)
{
  m_current = aName;
  const auto [place, isNew] = m_sections.try_emplace(aName);
  if (!isNew) {
    m_problems.push_back("line " + std::to_string(aLine) + ": section [" +
                         aName + "] stands twice");
    return;
  }
  place->second.m_line = aLine;
}

void
IniDocument::AddValue(const std::string& aLine, int aNumber)
{
  const std::string where = "line " + std::to_string(aNumber) + ": ";
  const std::size_t equals = aLine.find('=');
  if (equals == std::string::npos) {
    m_problems.push_back(where + "neither [section] nor key = value");
    return;
  }
  if (m_current.empty()) {
    m_problems.push_back(where + "key before the first [section]");
    return;
  }
  const std::string key = Trim(aLine.substr(0, equals));
  const IniValue value{ Trim(aLine.substr(equals + 1)), aNumber };
  if (!m_sections[m_current].m_values.emplace(key, value).second) {
    m_problems.push_back(where + "key " + key + " stands twice in [" +
                         m_current + "]");
  }
}

} // namespace fulmarquay
