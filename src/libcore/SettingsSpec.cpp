#include "fulmarquay/core/SettingsSpec.h"

#include <set>
#include <utility>

namespace fulmarquay {

namespace {

std::string
KindName(SettingKind aKind)
{
  switch (aKind) {
    case SettingKind::Text:
      return "text";
    case SettingKind::Name:
      return "a name of letters, digits, '-', '_' and '.'";
    case SettingKind::Duration:
      return "a duration such as 250ms, 3s, 5m or 2h";
    case SettingKind::Size:
      return "a size such as 512B, 64KiB, 8MiB or 1GiB";
    case SettingKind::Integer:
      return "a whole number";
    case SettingKind::Number:
      return "a number";
    case SettingKind::Fraction:
      return "a number from 0 to 1";
    case SettingKind::Flag:
      return "yes or no";
    case SettingKind::Address:
      return "IP:PORT";
    case SettingKind::Addresses:
      return "IP:PORT, several separated by blanks";
    case SettingKind::Pairs:
      return "NAME=VALUE, several separated by blanks, each name once";
    case SettingKind::Choice:
      return "one of";
    case SettingKind::KeyHash:
      return "64 hex digits of a SHA-256";
    case SettingKind::Path:
      return "a path";
  }
  return "";
}

std::string
LimitText(SettingKind aKind, std::int64_t aLimit)
{
  if (aKind == SettingKind::Duration) {
    return std::to_string(aLimit / 1000) + "ms";
  }
  if (aKind == SettingKind::Size) {
    return std::to_string(aLimit) + "B";
  }
  return std::to_string(aLimit);
}

bool
Matches(const std::string& aPattern, const std::string& aSection)
{
  if (!aPattern.ends_with(".*")) {
    return aPattern == aSection;
  }
  const std::string prefix = aPattern.substr(0, aPattern.size() - 1);
  return aSection.starts_with(prefix) && aSection.size() > prefix.size();
}

} // namespace

std::string
DescribeAllowed(const SettingKey& aKey)
{
  std::string text = KindName(aKey.m_kind);
  for (const std::string& choice : aKey.m_choices) {
    text += " " + choice;
  }
  if (aKey.m_maxValue > 0) {
    text += ", " + LimitText(aKey.m_kind, aKey.m_minValue) + " to " +
            LimitText(aKey.m_kind, aKey.m_maxValue);
  }
  return text;
}

std::vector<const SettingKey*>
SettingsSpec::KeysOf(const std::string& aSection) const
{
  std::vector<const SettingKey*> keys;
  for (const SettingKey& key : m_keys) {
    if (Matches(key.m_section, aSection)) {
      keys.push_back(&key);
    }
  }
  return keys;
}

std::vector<std::string>
SettingsSpec::FixedSections() const
{
  std::set<std::string> names;
  for (const SettingKey& key : m_keys) {
    if (!key.m_section.ends_with(".*")) {
      names.insert(key.m_section);
    }
  }
  return { names.begin(), names.end() };
}

std::string
SettingsSpec::RenderPage() const
{
  std::string page = "## " + m_title + "\n";
  std::string section;
  for (const SettingKey& key : m_keys) {
    if (key.m_section != section) {
      section = key.m_section;
      page += "\n### [" + section + "]\n\n";
      page += "| key | allowed | default | meaning |\n|---|---|---|---|\n";
    }
    const std::string defaultText = key.m_required ? "required" : key.m_default;
    page += "| `" + key.m_key + "` | " + DescribeAllowed(key) + " | " +
            defaultText + " | " + key.m_help + " |\n";
  }
  return page + "\n";
}

SettingsSpec::Builder::Builder(std::string aTitle)
{
  m_spec.m_title = std::move(aTitle);
}

SettingsSpec::Builder&
SettingsSpec::Builder::Section(std::string aSection)
{
  m_section = std::move(aSection);
  return *this;
}

SettingsSpec::Builder&
SettingsSpec::Builder::Required(std::string aKey,
                                SettingKind aKind,
                                std::string aHelp)
{
  Optional(std::move(aKey), aKind, "", std::move(aHelp));
  m_spec.m_keys.back().m_required = true;
  return *this;
}

SettingsSpec::Builder&
SettingsSpec::Builder::Optional(std::string aKey,
                                SettingKind aKind,
                                std::string aDefault,
                                std::string aHelp)
{
  SettingKey key;
  key.m_section = m_section;
  key.m_key = std::move(aKey);
  key.m_kind = aKind;
  key.m_default = std::move(aDefault);
  key.m_help = std::move(aHelp);
  m_spec.m_keys.push_back(std::move(key));
  return *this;
}

SettingsSpec::Builder&
SettingsSpec::Builder::Between(std::int64_t aMin, std::int64_t aMax)
{
  m_spec.m_keys.back().m_minValue = aMin;
  m_spec.m_keys.back().m_maxValue = aMax;
  return *this;
}

SettingsSpec::Builder&
SettingsSpec::Builder::OneOf(std::vector<std::string> aChoices)
{
  m_spec.m_keys.back().m_choices = std::move(aChoices);
  return *this;
}

SettingsSpec
SettingsSpec::Builder::Build()
{
  return std::move(m_spec);
}

} // namespace fulmarquay
