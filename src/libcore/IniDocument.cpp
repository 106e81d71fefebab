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
  int lineNumber = 0;
  while (!aText.empty()) {
    const std::size_t end = aText.find('\n');
    const std::string line = Trim(aText.substr(0, end));
    aText.remove_prefix(end == std::string_view::npos ? aText.size() : end + 1);
    ++lineNumber;
    if (line.empty() || line[0] == '#' || line[0] == ';') {
      continue;
    }
    if (line.front() == '[' && line.back() == ']') {
      document.AddSection(Trim(line.substr(1, line.size() - 2)), lineNumber);
    } else {
      document.AddValue(line, lineNumber);
    }
  }
  return document;
}

void
IniDocument::AddSection(const std::string& aName, int aLineNumber)
{
  m_currentSection = aName;
  const auto [found, isNew] = m_sections.try_emplace(aName);
  if (!isNew) {
    m_problems.push_back("line " + std::to_string(aLineNumber) + ": section [" +
                         aName + "] stands twice");
    return;
  }
  found->second.m_line = aLineNumber;
}

void
IniDocument::AddValue(const std::string& aLine, int aLineNumber)
{
  const std::string where = "line " + std::to_string(aLineNumber) + ": ";
  const std::size_t equals = aLine.find('=');
  if (equals == std::string::npos) {
    m_problems.push_back(where + "neither [section] nor key = value");
    return;
  }
  if (m_currentSection.empty()) {
    m_problems.push_back(where + "key before the first [section]");
    return;
  }
  const std::string key = Trim(aLine.substr(0, equals));
  const IniValue value{ Trim(aLine.substr(equals + 1)), aLineNumber };
  if (!m_sections[m_currentSection].m_values.emplace(key, value).second) {
    m_problems.push_back(where + "key " + key + " stands twice in [" +
                         m_currentSection + "]");
  }
}

} // namespace fulmarquay
