#ifndef FULMARQUAY_CORE_SETTINGS_H
#define FULMARQUAY_CORE_SETTINGS_H

#include "fulmarquay/core/Endpoint.h"
#include "fulmarquay/core/Error.h"
#include "fulmarquay/core/Units.h"

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace fulmarquay {

class SettingsSpec;

/// Reports all problems of a settings or answers file together.
class SettingsError : public Error
{
public:
  SettingsError(const std::string& aFile, std::vector<std::string> aProblems);

  /// One message for each problem, with file and line and, for a value, its key
  /// and what is allowed.
  const std::vector<std::string>& Problems() const { return m_problems; }

private:
  std::vector<std::string> m_problems;
};

/// The validated values of a settings or answers file, with defaults filled in.
///
/// The getters throw Error for a section and key that are not in the
/// SettingsSpec that the file was checked against.
class Settings
{
public:
  /// Validates a text. `aFile` is used in messages only. Throws SettingsError
  /// with all problems found.
  static Settings Check(std::string_view aText,
                        const std::string& aFile,
                        const SettingsSpec& aSpec);

  /// Reads and validates a file. Throws Error when it can't be read,
  /// SettingsError when it is invalid.
  static Settings Load(const std::string& aFile, const SettingsSpec& aSpec);

  std::string Text(const std::string& aSection, const std::string& aKey) const;
  Duration Time(const std::string& aSection, const std::string& aKey) const;
  Bytes Size(const std::string& aSection, const std::string& aKey) const;
  std::int64_t Integer(const std::string& aSection,
                       const std::string& aKey) const;
  double Number(const std::string& aSection, const std::string& aKey) const;
  double Fraction(const std::string& aSection, const std::string& aKey) const;
  bool Flag(const std::string& aSection, const std::string& aKey) const;
  Endpoint Address(const std::string& aSection, const std::string& aKey) const;
  std::vector<Endpoint> Addresses(const std::string& aSection,
                                  const std::string& aKey) const;

  std::map<std::string, std::string> Pairs(const std::string& aSection,
                                           const std::string& aKey) const;

  /// The names N of the sections `aFamily.N`, sorted.
  std::vector<std::string> Names(const std::string& aFamily) const;

  /// Sections with their values as text, for deltas and digests.
  using Sections = std::map<std::string, std::map<std::string, std::string>>;
  const Sections& All() const { return m_sections; }

private:
  Sections m_sections;
};

/// Reads a whole file. Throws Error when it can't be opened.
std::string
ReadWholeFile(const std::string& aFile);

/// Parses a finite decimal number, e.g. `33.15`; no value for other texts.
std::optional<double>
ParseDecimal(std::string_view aText);

/// Parses `250ms`, `1.5s`, `5m`, `2h`, rounded to microseconds. Throws
/// std::invalid_argument.
Duration
ParseDuration(std::string_view aText);

/// Parses `512B`, `64KiB`, `1.5MiB`, `1GiB`, rounded to bytes. Throws
/// std::invalid_argument.
Bytes
ParseSize(std::string_view aText);

/// Splits a text at whitespace; empty words are dropped.
std::vector<std::string>
SplitWords(std::string_view aText);

} // namespace fulmarquay

#endif
