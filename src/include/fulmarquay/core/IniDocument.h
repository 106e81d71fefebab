#ifndef FULMARQUAY_CORE_INIDOCUMENT_H
#define FULMARQUAY_CORE_INIDOCUMENT_H

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace fulmarquay {

/// One `key = value` line and where it stands.
struct IniValue
{
  std::string m_value;
  int m_line = 0;
};

/// One `[section]` and its keys.
struct IniSection
{
  int m_line = 0;
  std::map<std::string, IniValue> m_values;
};

/// The sections of an INI text, each value with its line number.
///
/// `#` and `;` start comment lines. A section or key that stands twice and a
/// line that is neither are kept as problems, so that one run reports all.
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
  void AddSection(const std::string& aName, int aLine);
  void AddValue(const std::string& aLine, int aNumber);

  std::map<std::string, IniSection> m_sections;
  std::vector<std::string> m_problems;
  std::string m_current;
};

} // namespace fulmarquay

#endif
