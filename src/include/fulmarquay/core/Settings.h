#ifndef FULMARQUAY_CORE_SETTINGS_H
#define FULMARQUAY_CORE_SETTINGS_H

#include "fulmarquay/core/Endpoint.h"
#include "fulmarquay/core/Error.h"
#include "fulmarquay/core/Units.h"

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace fulmarquay {

class SettingsSpec;

/// Every wrong line of a file at once.
class SettingsError : public Error
{
public:
  SettingsError(const std::string& aFile, std::vector<std::string> aProblems);

  /// One message each, with file, line, key and what is allowed.
  const std::vector<std::string>& Problems() const { return m_problems; }

private:
  std::vector<std::string> m_problems;
};

/// The checked values of a settings or answers file, defaults filled in.
///
/// The getters take a section and a key of the table that the file was
/// checked against; a pair that is not in the table throws Error.
class Settings
{
public:
  /// Checks a text against a table. `aFile` is used in messages only.
  /// Throws SettingsError with every problem found.
  static Settings Check(std::string_view aText,
                        const std::string& aFile,
                        const SettingsSpec& aSpec);

  /// Reads and checks a file. Throws Error when it can't be read.
  static Settings Load(const std::string& aFile, const SettingsSpec& aSpec);

  std::string Text(const std::string& aSection, const std::string& aKey) const;
  Duration Time(const std::string& aSection, const std::string& aKey) const;
  Bytes Size(const std::string& aSection, const std::string& aKey) const;
  std::int64_t Integer(const std::string& aSection,
                       const std::string& aKey) const;
  double Fraction(const std::string& aSection, const std::string& aKey) const;
  bool Flag(const std::string& aSection, const std::string& aKey) const;
  Endpoint Address(const std::string& aSection, const std::string& aKey) const;
  std::vector<Endpoint> Addresses(const std::string& aSection,
                                  const std::string& aKey) const;

  /// The names N of the sections `aFamily.N`, sorted.
  std::vector<std::string> Names(const std::string& aFamily) const;

  /// Sections and values as text, for deltas and digests.
  using Sections = std::map<std::string, std::map<std::string, std::string>>;
  const Sections& All() const { return m_sections; }

private:
  Sections m_sections;
};

/// Reads a whole file. Throws Error with the step and the file.
std::string
ReadWholeFile(const std::string& aFile);

/// Parses `250ms`, `3s`, `5m`, `2h`. Throws std::invalid_argument.
Duration
ParseDuration(std::string_view aText);

/// Parses `512B`, `64KiB`, `8MiB`, `1GiB`. Throws std::invalid_argument.
Bytes
ParseSize(std::string_view aText);

/// Splits at blanks, dropping empty words.
std::vector<std::string>
SplitWords(std::string_view aText);

} // namespace fulmarquay

#endif
