#include "Questionnaire.h"

#include "fulmarquay/control/Configuration.h"
#include "fulmarquay/core/Digest.h"
#include "fulmarquay/core/Error.h"
#include "fulmarquay/core/Settings.h"
#include "fulmarquay/core/SettingsSpec.h"

#include <iostream>
#include <vector>

namespace fulmarquay {

namespace {

/// Reads the values of all sections and collects the answers file.
class QuestionnaireSession
{
public:
  QuestionnaireSession(std::istream& aIn, std::ostream& aOut)
    : m_in(aIn)
    , m_out(aOut)
  {
  }

  std::string Run()
  {
    ReadSection("deployment");
    for (const char* family :
         { "account", "model", "engine", "store", "service" }) {
      ReadSections(family);
    }
    return m_answers;
  }

private:
  std::string ReadLine(const std::string& aLabel)
  {
    m_out << aLabel << ": " << std::flush;
    std::string line;
    if (!std::getline(m_in, line)) {
      throw Error("ask questionnaire", "", "the input ended");
    }
    return line;
  }

  void ReadSections(const std::string& aFamily)
  {
    for (;;) {
      const std::string name =
        ReadLine("Name of the next " + aFamily + " (empty: no more)");
      if (name.empty()) {
        return;
      }
      ReadSection(aFamily + "." + name);
    }
  }

  void ReadSection(const std::string& aSection)
  {
    m_answers += "[" + aSection + "]\n";
    for (const SettingKey* key : QuestionnaireSpec().KeysOf(aSection)) {
      m_answers += key->m_key + " = " + ReadValue(aSection, *key) + "\n";
    }
    m_answers += "\n";
  }

  std::string ReadValue(const std::string& aSection, const SettingKey& aKey)
  {
    if (aKey.m_kind == SettingKind::KeyHash) {
      return Sha256Hex(
        ReadLine("[" + aSection + "] bearer key (kept as a hash only)"));
    }
    for (;;) {
      std::string label = "[" + aSection + "] " + aKey.m_help;
      if (!aKey.m_required) {
        label += " [" + aKey.m_default + "]";
      }
      std::string value = ReadLine(label);
      if (value.empty() && !aKey.m_required) {
        value = aKey.m_default;
      }
      if (IsAllowed(aKey, value)) {
        return value;
      }
      m_out << "  not allowed; allowed: " << DescribeAllowed(aKey) << "\n";
    }
  }

  static bool IsAllowed(const SettingKey& aKey, const std::string& aValue)
  {
    if (aValue.empty()) {
      return !aKey.m_required;
    }
    SettingsSpec::Builder builder("one key");
    builder.Section("one").Optional(aKey.m_key, aKey.m_kind, "", "");
    builder.Between(aKey.m_minValue, aKey.m_maxValue).OneOf(aKey.m_choices);
    try {
      Settings::Check(
        "[one]\n" + aKey.m_key + " = " + aValue, "answer", builder.Build());
      return true;
    } catch (const SettingsError&) {
      return false;
    }
  }

  std::istream& m_in;
  std::ostream& m_out;
  std::string m_answers;
};

} // namespace

std::string
ReadAnswers(std::istream& aIn, std::ostream& aOut)
{
  return QuestionnaireSession(aIn, aOut).Run();
}

} // namespace fulmarquay
