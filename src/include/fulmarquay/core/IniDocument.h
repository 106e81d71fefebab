#ifndef FULMARQUAY_CORE_INIDOCUMENT_H
#define FULMARQUAY_CORE_INIDOCUMENT_H

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace fulmarquay {

/// The value of a `key = value` line and its line number.
struct IniValue
{
  std::string m_value;
  int m_line = 0;
};

/// The keys of a `[section]` and the line number of its header.
struct IniSection
{
  int m_line = 0;
  std::map<std::string, IniValue> m_values;
};

/// A parsed INI text: its sections and their values with line numbers.
///
/// `#` and `;` start comment lines. Duplicate sections and keys and malformed
/// lines are collected as problems, so that one run reports all of them.
class IniDocument
{
public:
  /// Parses a text; never throws on malformed lines, see Problems().
  static IniDocument Parse(std::string_view aText);

  const std::map<std::string, IniSection>& Sections() const
  {
    return m_sections;
  }

  /// Messages of the form `line N: reason`.
  const std::vector<std::string>& Problems() const { return m_problems; }

private:
  void AddSection(const std::string& aName, int aLineNumber);
  void AddValue(const std::string& aLine, int aLineNumber);

  std::map<std::string, IniSection> m_sections;
  std::vector<std::string> m_problems;
  std::string m_currentSection;
};

} // namespace fulmarquay

#endif
