#include "fulmarquay/control/Configuration.h"

#include "fulmarquay/core/Digest.h"
#include "fulmarquay/core/Settings.h"
#include "fulmarquay/core/SettingsSpec.h"

#include <utility>

namespace fulmarquay {

namespace {

SettingsSpec
BuildQuestionnaireSpec()
{
  using Kind = SettingKind;
  SettingsSpec::Builder builder("Questionnaire answers");
  builder.Section("deployment")
    .Required("name", Kind::Name, "the deployment's name")
    .Optional("first_token_weight",
              Kind::Fraction,
              "0.5",
              "placement weight: 1 counts only the time to first token, 0 only "
              "link use and the recomputed share")
    .Optional("once_retention",
              Kind::Duration,
              "72h",
              "how long the answer of a once-only call is kept after its last "
              "request; callers may resend until then")
    .Between(3'600'000'000, 2'592'000'000'000)
    .Optional("piece_tokens", Kind::Integer, "2048", "tokens of a cache block")
    .Between(16, 65536);
  builder.Section("account.*")
    .Required("key_hash", Kind::KeyHash, "SHA-256 of the account's bearer key")
    .Optional("tokens_per_second",
              Kind::Integer,
              "20000",
              "rate limit of the account, in prompt and answer tokens")
    .Between(1, 1'000'000'000)
    .Optional("weight",
              Kind::Integer,
              "1",
              "share under overload; stored, not used yet")
    .Between(1, 1000);
  builder.Section("model.*")
    .Required(
      "weights", Kind::Name, "the weight version that its engines are to load")
    .Optional(
      "serving",
      Kind::Name,
      "",
      "the version in force; set by the system, which overwrites an answer")
    .Optional("adapter", Kind::Text, "", "the adapter that it runs with");
  builder.Section("engine.*")
    .Required("address", Kind::Address, "HTTP listener of the engine")
    .Required("data_centre", Kind::Name, "data centre of the engine")
    .Required("model", Kind::Name, "the model that it serves")
    .Optional("checks_fencing",
              Kind::Flag,
              "no",
              "whether it refuses an order with an old fencing number")
    .Optional("slots", Kind::Integer, "8", "limit of concurrent requests")
    .Between(1, 4096)
    .Optional("prefill_per_second",
              Kind::Integer,
              "20000",
              "prompt tokens computed per second")
    .Between(1, 100'000'000);
  builder.Section("store.*")
    .Required("address", Kind::Address, "HTTP listener of the store VM")
    .Required("data_centre", Kind::Name, "data centre of the store VM")
    .Required("capacity", Kind::Size, "limit of stored blocks, in bytes")
    .Required("link_per_second",
              Kind::Size,
              "bandwidth shared by all entries of the data centre, per second");
  builder.Section("service.*")
    .Required("addresses", Kind::Addresses, "HTTP listeners of its workers")
    .Optional("once_calls",
              Kind::Text,
              "",
              "first path segments of the calls that must run at most once")
    .Optional("status_path",
              Kind::Text,
              "",
              "path that reports whether a call ran; stored, not used yet")
    .Optional("timeout", Kind::Duration, "10s", "timeout of a call")
    .Between(10'000, 600'000'000);
  return builder.Build();
}

AccountConfig
BuildAccount(const std::string& aName, const Settings& aAnswers)
{
  const std::string section = "account." + aName;
  AccountConfig account;
  account.m_id = AccountId(aName);
  account.m_keyHash = aAnswers.Text(section, "key_hash");
  account.m_tokensPerSecond = aAnswers.Integer(section, "tokens_per_second");
  account.m_weight = aAnswers.Integer(section, "weight");
  return account;
}

ModelConfig
BuildModel(const std::string& aName, const Settings& aAnswers)
{
  const std::string section = "model." + aName;
  ModelConfig model;
  model.m_name = aName;
  model.m_target = aAnswers.Text(section, "weights");
  const std::string serving = aAnswers.Text(section, "serving");
  model.m_weights = serving.empty() ? model.m_target : serving;
  model.m_adapter = aAnswers.Text(section, "adapter");
  return model;
}

EngineConfig
BuildEngine(const std::string& aName, const Settings& aAnswers)
{
  const std::string section = "engine." + aName;
  EngineConfig engine;
  engine.m_id = EngineId(aName);
  engine.m_address = aAnswers.Address(section, "address");
  engine.m_dataCentre = DataCentreId(aAnswers.Text(section, "data_centre"));
  engine.m_models[aAnswers.Text(section, "model")];
  engine.m_checksFencing = aAnswers.Flag(section, "checks_fencing");
  engine.m_slots = aAnswers.Integer(section, "slots");
  engine.m_prefillPerSecond = aAnswers.Integer(section, "prefill_per_second");
  return engine;
}

StoreConfig
BuildStore(const std::string& aName, const Settings& aAnswers)
{
  const std::string section = "store." + aName;
  StoreConfig store;
  store.m_id = StoreId(aName);
  store.m_address = aAnswers.Address(section, "address");
  store.m_dataCentre = DataCentreId(aAnswers.Text(section, "data_centre"));
  store.m_capacity = aAnswers.Size(section, "capacity");
  store.m_linkPerSecond = aAnswers.Size(section, "link_per_second");
  return store;
}

ServiceConfig
BuildService(const std::string& aName, const Settings& aAnswers)
{
  const std::string section = "service." + aName;
  ServiceConfig service;
  service.m_id = ServiceId(aName);
  service.m_addresses = aAnswers.Addresses(section, "addresses");
  for (const std::string& call :
       SplitWords(aAnswers.Text(section, "once_calls"))) {
    service.m_onceCalls.insert(call);
  }
  service.m_statusPath = aAnswers.Text(section, "status_path");
  service.m_timeout = aAnswers.Time(section, "timeout");
  return service;
}

/// Finds conflicts between answers that are valid one by one.
std::vector<std::string>
FindConflicts(const Settings& aAnswers, const std::string& aFile)
{
  std::vector<std::string> problems;
  std::map<std::string, std::string> ownerOfKey;
  for (const std::string& name : aAnswers.Names("account")) {
    const std::string hash = aAnswers.Text("account." + name, "key_hash");
    const auto [it, isNew] = ownerOfKey.emplace(hash, name);
    if (!isNew) {
      problems.push_back(aFile + ": [account." + name +
                         "] key_hash: the same key as account " + it->second +
                         "; each account needs its own");
    }
  }
  std::map<std::string, std::string> ownerOfAddress;
  for (const std::string& name : aAnswers.Names("engine")) {
    const std::string address = aAnswers.Text("engine." + name, "address");
    const auto [it, isNew] = ownerOfAddress.emplace(address, name);
    if (!isNew) {
      problems.push_back(aFile + ": [engine." + name +
                         "] address: the same as engine " + it->second);
    }
  }
  for (const std::string& name : aAnswers.Names("engine")) {
    const std::string model = aAnswers.Text("engine." + name, "model");
    if (aAnswers.All().count("model." + model) == 0) {
      problems.push_back(aFile + ": [engine." + name + "] model: '" + model +
                         "' has no [model." + model + "] section");
    }
  }
  for (const std::string& name : aAnswers.Names("service")) {
    if (aAnswers.Addresses("service." + name, "addresses").empty()) {
      problems.push_back(aFile + ": [service." + name +
                         "] addresses: empty; at least one IP:PORT");
    }
  }
  if (ownerOfKey.empty()) {
    problems.push_back(aFile + ": [account.*]: at least one is needed");
  }
  return problems;
}

} // namespace

const SettingsSpec&
QuestionnaireSpec()
{
  static const SettingsSpec spec = BuildQuestionnaireSpec();
  return spec;
}

Settings
CheckAnswers(const std::string& aText, const std::string& aFile)
{
  Settings answers = Settings::Check(aText, aFile, QuestionnaireSpec());
  std::vector<std::string> problems = FindConflicts(answers, aFile);
  if (!problems.empty()) {
    throw SettingsError(aFile, std::move(problems));
  }
  return answers;
}

std::string
RenderAnswers(const ConfigSections& aSections)
{
  std::string text;
  for (const auto& [section, values] : aSections) {
    text += "[" + section + "]\n";
    for (const auto& [key, value] : values) {
      if (!value.empty()) {
        text += key + " = " + value + "\n";
      }
    }
    text += "\n";
  }
  return text;
}

Configuration
BuildConfiguration(const ConfigSections& aSections)
{
  const Settings answers =
    CheckAnswers(RenderAnswers(aSections), "configuration");
  Configuration configuration;
  configuration.m_deployment = answers.Text("deployment", "name");
  configuration.m_firstTokenWeight =
    answers.Fraction("deployment", "first_token_weight");
  configuration.m_onceRetention = answers.Time("deployment", "once_retention");
  configuration.m_pieceTokens =
    Tokens(answers.Integer("deployment", "piece_tokens"));
  for (const std::string& name : answers.Names("account")) {
    AccountConfig account = BuildAccount(name, answers);
    configuration.m_accountsByKeyHash[account.m_keyHash] = std::move(account);
  }
  for (const std::string& name : answers.Names("model")) {
    configuration.m_models[name] = BuildModel(name, answers);
  }
  for (const std::string& name : answers.Names("engine")) {
    configuration.m_engines[EngineId(name)] = BuildEngine(name, answers);
  }
  for (const std::string& name : answers.Names("store")) {
    configuration.m_stores[StoreId(name)] = BuildStore(name, answers);
  }
  for (const std::string& name : answers.Names("service")) {
    configuration.m_services[ServiceId(name)] = BuildService(name, answers);
  }
  return configuration;
}

std::string
DigestOf(const ConfigSections& aSections)
{
  return ContentHash(RenderAnswers(aSections));
}

} // namespace fulmarquay
