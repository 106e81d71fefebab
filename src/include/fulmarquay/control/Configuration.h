#ifndef FULMARQUAY_CONTROL_CONFIGURATION_H
#define FULMARQUAY_CONTROL_CONFIGURATION_H

#include "fulmarquay/core/Endpoint.h"
#include "fulmarquay/core/StrongId.h"
#include "fulmarquay/core/Units.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace fulmarquay {

class Settings;
class SettingsSpec;

/// Sections of a configuration: key-value pairs by section name.
using ConfigSections =
  std::map<std::string, std::map<std::string, std::string>>;

/// A client account.
struct AccountConfig
{
  AccountId m_id;
  std::string m_keyHash; ///< SHA-256 of the bearer key
  std::int64_t m_tokensPerSecond = 0;
  std::int64_t m_weight = 1; ///< share under overload; not used yet
};

/// A model and its weight versions.
struct ModelConfig
{
  std::string m_name;
  std::string m_weights; ///< version in force, used by new requests
  std::string m_target;  ///< version that the engines are to load
  std::string m_adapter;
};

/// A model engine.
struct EngineConfig
{
  EngineId m_id;
  Endpoint m_address;
  DataCentreId m_dataCentre;
  /// Weight versions in the VM list, by model; empty text: unknown.
  std::map<std::string, std::string> m_models;
  bool m_checksFencing = false;
  std::int64_t m_slots = 8;            ///< limit of concurrent requests
  std::int64_t m_prefillPerSecond = 0; ///< prompt tokens
};

/// A KV cache store VM and the bandwidth to it.
struct StoreConfig
{
  StoreId m_id;
  Endpoint m_address;
  DataCentreId m_dataCentre;
  Bytes m_capacity;
  Bytes m_linkPerSecond; ///< shared by all entries of a data centre
};

/// A service whose requests are forwarded to its workers.
struct ServiceConfig
{
  ServiceId m_id;
  std::vector<Endpoint> m_addresses;
  /// First path segments of the calls that may run at most once.
  std::set<std::string> m_onceCalls;
  std::string m_statusPath; ///< reports whether a call ran; not used yet
  Duration m_timeout{};
};

/// The typed form of an accepted configuration.
struct Configuration
{
  std::string m_deployment;
  /// Weight of the time to first token against link use and recomputed share in
  /// the placement of prompts: 1 counts only the former, 0 only the latter.
  double m_firstTokenWeight = 0.5;
  Duration m_onceRetention{}; ///< of once-only records
  Tokens m_pieceTokens;       ///< size of a cache block
  std::map<std::string, AccountConfig> m_accountsByKeyHash;
  std::map<std::string, ModelConfig> m_models;
  std::map<EngineId, EngineConfig> m_engines;
  std::map<StoreId, StoreConfig> m_stores;
  std::map<ServiceId, ServiceConfig> m_services;
};

/// The questionnaire's table: keys, allowed values and meanings of all answers.
const SettingsSpec&
QuestionnaireSpec();

/// Parses answers and checks each against the questionnaire and for conflicts
/// with the others. Throws SettingsError that names every wrong answer. aFile
/// names the source in its texts.
Settings
CheckAnswers(const std::string& aText, const std::string& aFile);

/// Writes sections as an answers file, in a stable order.
std::string
RenderAnswers(const ConfigSections& aSections);

/// Builds the typed form of sections. Throws SettingsError if a check fails.
Configuration
BuildConfiguration(const ConfigSections& aSections);

/// A digest of all sections; equal content has an equal digest.
std::string
DigestOf(const ConfigSections& aSections);

} // namespace fulmarquay

#endif
