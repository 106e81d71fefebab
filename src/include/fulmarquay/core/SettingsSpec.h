#ifndef FULMARQUAY_CORE_SETTINGSSPEC_H
#define FULMARQUAY_CORE_SETTINGSSPEC_H

#include <cstdint>
#include <string>
#include <vector>

namespace fulmarquay {

/// The format of a value, including its unit.
enum class SettingKind
{
  Text,
  Name,     ///< letters, digits, '-', '_' and '.'
  Duration, ///< `250ms`, `1.5s`, `2h`
  Size,     ///< `512B`, `64KiB`, `8MiB`, `1GiB`
  Integer,
  Number,    ///< decimal number, at least 0
  Fraction,  ///< 0 to 1
  Flag,      ///< yes or no
  Address,   ///< IP:PORT
  Addresses, ///< IP:PORT, separated by spaces
  Pairs,     ///< NAME=VALUE, separated by spaces; each name once
  Choice,
  KeyHash, ///< 64 hex digits of a SHA-256
  Path,
};

/// One key of a settings or answers file.
struct SettingKey
{
  std::string m_section; ///< `entry`, or `engine.*` for a section family
  std::string m_key;
  SettingKind m_kind = SettingKind::Text;
  bool m_required = false;
  std::string m_default;
  std::int64_t m_minValue = 0; ///< in the kind's base unit: us, bytes or 1
  std::int64_t m_maxValue = 0; ///< 0: no upper limit
  std::vector<std::string> m_choices;
  std::string m_help;
};

/// The schema of a settings or answers file: all keys that it may contain.
class SettingsSpec
{
public:
  class Builder;

  const std::string& Title() const { return m_title; }
  const std::vector<SettingKey>& Keys() const { return m_keys; }

  /// The keys of the section with a name; `engine.e1` matches `engine.*`. Empty
  /// for an unknown section.
  std::vector<const SettingKey*> KeysOf(const std::string& aSection) const;

  /// The names of the sections that are not families, sorted. A file may
  /// omit such a section if none of its keys is required.
  std::vector<std::string> FixedSections() const;

  /// Renders the schema as a part of the page docs/SETTINGS.md.
  std::string RenderPage() const;

private:
  std::string m_title;
  std::vector<SettingKey> m_keys;
};

/// Builds a SettingsSpec, one call for each key.
class SettingsSpec::Builder
{
public:
  explicit Builder(std::string aTitle);

  /// Starts a section; later keys belong to it.
  Builder& Section(std::string aSection);
  Builder& Required(std::string aKey, SettingKind aKind, std::string aHelp);
  Builder& Optional(std::string aKey,
                    SettingKind aKind,
                    std::string aDefault,
                    std::string aHelp);
  /// Sets the range of the last added key, in the kind's base unit. A maximum
  /// of 0 means no upper limit.
  Builder& Between(std::int64_t aMin, std::int64_t aMax);
  /// Sets the allowed values of the last added key, which is a Choice.
  Builder& OneOf(std::vector<std::string> aChoices);
  SettingsSpec Build();

private:
  SettingsSpec m_spec;
  std::string m_section;
};

/// Describes the allowed values of a key, e.g. "a whole number, 1 to 10".
std::string
DescribeAllowed(const SettingKey& aKey);

} // namespace fulmarquay

#endif
