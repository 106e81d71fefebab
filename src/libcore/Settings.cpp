#include "fulmarquay/core/Settings.h"

#include "fulmarquay/core/IniDocument.h"
#include "fulmarquay/core/SettingsSpec.h"

#include <algorithm>
#include <cctype>
#include <charconv>
#include <cmath>
#include <fstream>
#include <sstream>
#include <stdexcept>
#include <utility>

namespace fulmarquay {

namespace {

struct Unit
{
  std::string_view m_suffix;
  std::int64_t m_factor;
};

constexpr Unit kTimeUnits[] = {
  { "ms", 1'000 },        { "us", 1 }, { "s", 1'000'000 }, { "m", 60'000'000 },
  { "h", 3'600'000'000 },
};
constexpr Unit kSizeUnits[] = {
  { "KiB", 1LL << 10U },
  { "MiB", 1LL << 20U },
  { "GiB", 1LL << 30U },
  { "B", 1 },
};

/// Largest value of a decimal number with a unit, in base units: above it, a
/// double does not hold every whole number.
constexpr double kMaxDecimalUnits = 9e15;

std::int64_t
ParseInteger(std::string_view aText)
{
  std::int64_t value = 0;
  const char* end = aText.data() + aText.size();
  const auto [parsedEnd, error] = std::from_chars(aText.data(), end, value);
  if (aText.empty() || error != std::errc() || parsedEnd != end) {
    throw std::invalid_argument("not a whole number");
  }
  return value;
}

/// Throws std::invalid_argument for a text that is no number of at least 0.
double
ParseNonNegative(std::string_view aText)
{
  const std::optional<double> value = ParseDecimal(aText);
  if (!value) {
    throw std::invalid_argument("not a number");
  }
  if (*value < 0) {
    throw std::invalid_argument("out of range");
  }
  return *value;
}

template<std::size_t N>
std::int64_t
ParseWithUnit(std::string_view aText, const Unit (&aUnits)[N])
{
  for (const Unit& unit : aUnits) {
    if (!aText.ends_with(unit.m_suffix)) {
      continue;
    }
    const std::string_view number =
      aText.substr(0, aText.size() - unit.m_suffix.size());
    if (number.find_first_not_of("0123456789") != std::string_view::npos) {
      const double value =
        ParseNonNegative(number) * static_cast<double>(unit.m_factor);
      if (value > kMaxDecimalUnits) {
        throw std::invalid_argument("out of range");
      }
      return std::llround(value);
    }
    const std::int64_t count = ParseInteger(number);
    if (count > INT64_MAX / unit.m_factor) {
      throw std::invalid_argument("out of range");
    }
    return count * unit.m_factor;
  }
  throw std::invalid_argument("no unit");
}

double
ParseFraction(const std::string& aText)
{
  std::size_t parsed = 0;
  const double value = std::stod(aText, &parsed);
  if (parsed != aText.size() || !(value >= 0 && value <= 1)) {
    throw std::invalid_argument("not from 0 to 1");
  }
  return value;
}

void
CheckRange(const SettingKey& aKey, std::int64_t aValue)
{
  const bool isAboveMaximum = aKey.m_maxValue > 0 && aValue > aKey.m_maxValue;
  if (aValue < aKey.m_minValue || isAboveMaximum) {
    throw std::invalid_argument("out of range");
  }
}

void
CheckCharacters(const std::string& aValue, bool (*aIsAllowed)(char))
{
  if (aValue.empty() ||
      !std::all_of(aValue.begin(), aValue.end(), aIsAllowed)) {
    throw std::invalid_argument("character not allowed");
  }
}

bool
IsNameCharacter(char aChar)
{
  return std::isalnum(static_cast<unsigned char>(aChar)) != 0 || aChar == '-' ||
         aChar == '_' || aChar == '.';
}

bool
IsHexCharacter(char aChar)
{
  return std::isxdigit(static_cast<unsigned char>(aChar)) != 0;
}

/// Throws std::invalid_argument.
std::map<std::string, std::string>
ParsePairs(const std::string& aText)
{
  std::map<std::string, std::string> pairs;
  for (const std::string& word : SplitWords(aText)) {
    const std::size_t equals = word.find('=');
    if (equals == 0 || equals == std::string::npos) {
      throw std::invalid_argument("not NAME=VALUE");
    }
    if (!pairs.emplace(word.substr(0, equals), word.substr(equals + 1))
           .second) {
      throw std::invalid_argument("a name occurs twice");
    }
  }
  return pairs;
}

/// Throws std::exception when the value is not allowed for the key.
void
CheckValue(const SettingKey& aKey, const std::string& aValue)
{
  switch (aKey.m_kind) {
    case SettingKind::Text:
    case SettingKind::Path:
      return;
    case SettingKind::Name:
      CheckCharacters(aValue, IsNameCharacter);
      return;
    case SettingKind::Duration:
      CheckRange(aKey, ParseDuration(aValue).count());
      return;
    case SettingKind::Size:
      CheckRange(aKey, ParseSize(aValue).Count());
      return;
    case SettingKind::Integer:
      CheckRange(aKey, ParseInteger(aValue));
      return;
    case SettingKind::Number:
      CheckRange(
        aKey,
        std::llround(std::min(ParseNonNegative(aValue), kMaxDecimalUnits)));
      return;
    case SettingKind::Fraction:
      ParseFraction(aValue);
      return;
    case SettingKind::Flag:
      if (aValue != "yes" && aValue != "no") {
        throw std::invalid_argument("neither yes nor no");
      }
      return;
    case SettingKind::Address:
      Endpoint::Parse(aValue);
      return;
    case SettingKind::Addresses:
      for (const std::string& word : SplitWords(aValue)) {
        Endpoint::Parse(word);
      }
      return;
    case SettingKind::Pairs:
      ParsePairs(aValue);
      return;
    case SettingKind::Choice:
      if (std::find(aKey.m_choices.begin(), aKey.m_choices.end(), aValue) ==
          aKey.m_choices.end()) {
        throw std::invalid_argument("not a choice");
      }
      return;
    case SettingKind::KeyHash:
      CheckCharacters(aValue, IsHexCharacter);
      if (aValue.size() != 64) {
        throw std::invalid_argument("not 64 digits");
      }
      return;
  }
}

/// Validates one section and fills in defaults.
class SectionChecker
{
public:
  SectionChecker(const std::string& aFile,
                 const std::string& aName,
                 std::vector<const SettingKey*> aKeys,
                 std::vector<std::string>& aProblems)
    : m_file(aFile)
    , m_name(aName)
    , m_keys(std::move(aKeys))
    , m_problems(aProblems)
  {
  }

  std::map<std::string, std::string> Run(const IniSection& aSection)
  {
    std::map<std::string, std::string> values;
    for (const auto& [key, value] : aSection.m_values) {
      CheckEntry(key, value);
      values[key] = value.m_value;
    }
    for (const SettingKey* key : m_keys) {
      if (values.count(key->m_key) != 0) {
        continue;
      }
      if (key->m_required) {
        AddProblem(aSection.m_line,
                   key->m_key,
                   "missing; allowed: " + DescribeAllowed(*key));
      }
      values[key->m_key] = key->m_default;
    }
    return values;
  }

private:
  void CheckEntry(const std::string& aKey, const IniValue& aValue)
  {
    const auto found = std::find_if(
      m_keys.begin(), m_keys.end(), [&](const SettingKey* aKnownKey) {
        return aKnownKey->m_key == aKey;
      });
    if (found == m_keys.end()) {
      AddProblem(aValue.m_line, aKey, "unknown key; allowed: " + KnownKeys());
      return;
    }
    try {
      CheckValue(**found, aValue.m_value);
    } catch (const std::exception& e) {
      AddProblem(aValue.m_line,
                 aKey,
                 "'" + aValue.m_value + "' is wrong (" + e.what() +
                   "); allowed: " + DescribeAllowed(**found));
    }
  }

  std::string KnownKeys() const
  {
    std::string text;
    for (const SettingKey* key : m_keys) {
      text += text.empty() ? "" : ", ";
      text += key->m_key;
    }
    return text;
  }

  void AddProblem(int aLine,
                  const std::string& aKey,
                  const std::string& aProblem)
  {
    m_problems.push_back(m_file + ":" + std::to_string(aLine) + ": [" + m_name +
                         "] " + aKey + ": " + aProblem);
  }

  const std::string& m_file;
  const std::string& m_name;
  std::vector<const SettingKey*> m_keys;
  std::vector<std::string>& m_problems;
};

std::string
JoinLines(const std::vector<std::string>& aLines)
{
  std::string text;
  for (const std::string& line : aLines) {
    text += "\n  " + line;
  }
  return text;
}

} // namespace

SettingsError::SettingsError(const std::string& aFile,
                             std::vector<std::string> aProblems)
  : Error("check settings", aFile, JoinLines(aProblems))
  , m_problems(std::move(aProblems))
{
}

std::string
ReadWholeFile(const std::string& aFile)
{
  std::ifstream in(aFile, std::ios::binary);
  if (!in) {
    throw Error("read file", aFile, "it can't be opened");
  }
  std::ostringstream text;
  text << in.rdbuf();
  return text.str();
}

std::optional<double>
ParseDecimal(std::string_view aText)
{
  double value = 0;
  const char* end = aText.data() + aText.size();
  const auto [parsedEnd, error] = std::from_chars(aText.data(), end, value);
  const bool isNumber = !aText.empty() && error == std::errc() &&
                        parsedEnd == end && std::isfinite(value);
  return isNumber ? std::optional<double>(value) : std::nullopt;
}

Duration
ParseDuration(std::string_view aText)
{
  return Duration(ParseWithUnit(aText, kTimeUnits));
}

Bytes
ParseSize(std::string_view aText)
{
  return Bytes(ParseWithUnit(aText, kSizeUnits));
}

std::vector<std::string>
SplitWords(std::string_view aText)
{
  std::istringstream in{ std::string(aText) };
  std::vector<std::string> words;
  for (std::string word; in >> word;) {
    words.push_back(word);
  }
  return words;
}

Settings
Settings::Check(std::string_view aText,
                const std::string& aFile,
                const SettingsSpec& aSpec)
{
  const IniDocument document = IniDocument::Parse(aText);
  std::vector<std::string> problems;
  for (const std::string& problem : document.Problems()) {
    problems.push_back(aFile + ": " + problem);
  }
  Settings settings;
  for (const auto& [name, section] : document.Sections()) {
    std::vector<const SettingKey*> keys = aSpec.KeysOf(name);
    if (keys.empty()) {
      problems.push_back(aFile + ":" + std::to_string(section.m_line) + ": [" +
                         name + "]: unknown section");
      continue;
    }
    SectionChecker checker(aFile, name, std::move(keys), problems);
    settings.m_sections[name] = checker.Run(section);
  }
  for (const std::string& name : aSpec.FixedSections()) {
    if (settings.m_sections.count(name) == 0) {
      SectionChecker checker(aFile, name, aSpec.KeysOf(name), problems);
      settings.m_sections[name] = checker.Run(IniSection());
    }
  }
  if (!problems.empty()) {
    throw SettingsError(aFile, std::move(problems));
  }
  return settings;
}

Settings
Settings::Load(const std::string& aFile, const SettingsSpec& aSpec)
{
  return Check(ReadWholeFile(aFile), aFile, aSpec);
}

std::string
Settings::Text(const std::string& aSection, const std::string& aKey) const
{
  const auto section = m_sections.find(aSection);
  if (section != m_sections.end()) {
    const auto value = section->second.find(aKey);
    if (value != section->second.end()) {
      return value->second;
    }
  }
  throw Error(
    "read setting", aSection + "." + aKey, "not in the settings schema");
}

Duration
Settings::Time(const std::string& aSection, const std::string& aKey) const
{
  return ParseDuration(Text(aSection, aKey));
}

Bytes
Settings::Size(const std::string& aSection, const std::string& aKey) const
{
  return ParseSize(Text(aSection, aKey));
}

std::int64_t
Settings::Integer(const std::string& aSection, const std::string& aKey) const
{
  return ParseInteger(Text(aSection, aKey));
}

double
Settings::Number(const std::string& aSection, const std::string& aKey) const
{
  return ParseNonNegative(Text(aSection, aKey));
}

double
Settings::Fraction(const std::string& aSection, const std::string& aKey) const
{
  return ParseFraction(Text(aSection, aKey));
}

bool
Settings::Flag(const std::string& aSection, const std::string& aKey) const
{
  return Text(aSection, aKey) == "yes";
}

Endpoint
Settings::Address(const std::string& aSection, const std::string& aKey) const
{
  return Endpoint::Parse(Text(aSection, aKey));
}

std::vector<Endpoint>
Settings::Addresses(const std::string& aSection, const std::string& aKey) const
{
  std::vector<Endpoint> addresses;
  for (const std::string& word : SplitWords(Text(aSection, aKey))) {
    addresses.push_back(Endpoint::Parse(word));
  }
  return addresses;
}

std::map<std::string, std::string>
Settings::Pairs(const std::string& aSection, const std::string& aKey) const
{
  return ParsePairs(Text(aSection, aKey));
}

std::vector<std::string>
Settings::Names(const std::string& aFamily) const
{
  const std::string prefix = aFamily + ".";
  std::vector<std::string> names;
  for (const auto& [name, values] : m_sections) {
    if (name.starts_with(prefix)) {
      names.push_back(name.substr(prefix.size()));
    }
  }
  return names;
}

} // namespace fulmarquay
