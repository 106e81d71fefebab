#ifndef FULMARQUAY_CORE_SETTINGSSPEC_H
#define FULMARQUAY_CORE_SETTINGSSPEC_H

#include <cstdint>
#include <string>
#include <vector>

namespace fulmarquay {

/// What a value must look like, units included.
enum class SettingKind
{
  Text,
  Name,     ///< letters, digits, '-', '_' and '.'
  Duration, ///< `250ms`, `3s`, `2h`
  Size,     ///< `512B`, `64KiB`, `8MiB`, `1GiB`
  Integer,
  Fraction,  ///< 0 to 1
  Flag,      ///< yes or no
  Address,   ///< IP:PORT
  Addresses, ///< IP:PORT, separated by spaces
  Choice,
  KeyHash, ///< 64 hex digits of a SHA-256
  Path,
};

/// One key of a settings or answers file.
struct SettingKey
{
  std::string m_section; ///< `entry`, or `engine.*` for a family of sections
  std::string m_key;
  SettingKind m_kind = SettingKind::Text;
  bool m_required = false;
  std::string m_default;
  std::int64_t m_least = 0; ///< in the kind's base unit: us, bytes or one
  std::int64_t m_most = 0;  ///< 0: no upper limit
  std::vector<std::string> m_choices;
  std::string m_help;
};

/// The table of every key that a program's file may hold.
class SettingsSpec
{
public:
  class Builder;

  const std::string& Title() const { return m_title; }
  const std::vector<SettingKey>& Keys() const { return m_keys; }

  /// The keys of a section by its name, `engine.e1` matching `engine.*`;
  /// empty for an unknown section.
  std::vector<const SettingKey*> KeysOf(const std::string& aSection) const;

  /// Required sections that are not families.
  std::vector<std::string> FixedSections() const;

  /// The table as a page of docs/SETTINGS.md.
  std::string RenderPage() const;

private:
  std::string m_title;
  std::vector<SettingKey> m_keys;
};

/// Collects the keys of a table, one call a key.
class SettingsSpec::Builder
{
public:
  explicit Builder(std::string aTitle);

  Builder& Section(std::string aSection);
  Builder& Required(std::string aKey, SettingKind aKind, std::string aHelp);
  Builder& Optional(std::string aKey,
                    SettingKind aKind,
                    std::string aDefault,
                    std::string aHelp);
  /// Limits the last key, in its base unit.
  Builder& Between(std::int64_t aLeast, std::int64_t aMost);
  /// The words that the last key, a Choice, allows.
  Builder& OneOf(std::vector<std::string> aChoices);
  SettingsSpec Build();

private:
  SettingsSpec m_spec;
  std::string m_section;
};

/// What is allowed for a key, in words: "a duration from 1ms to 10s".
std::string
DescribeAllowed(const SettingKey& aKey);

} // namespace fulmarquay

#endif
