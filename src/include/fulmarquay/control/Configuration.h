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

/// Sections of the accepted answers: section name, then key and value.
using ConfigSections =
  std::map<std::string, std::map<std::string, std::string>>;

/// A client account of the questionnaire.
struct AccountConfig
{
  AccountId m_id;
  std::string m_keyHash; ///< SHA-256 of the bearer key
  std::int64_t m_tokensPerSecond = 0;
  std::int64_t m_weight = 1; ///< share in fair queueing
};

/// A model and the version of it that new requests run under.
struct ModelConfig
{
  std::string m_name;
  std::string m_weights; ///< in force
  std::string m_target;  ///< what the engines are being brought to
  std::string m_adapter;
};

/// A model engine.
struct EngineConfig
{
  EngineId m_id;
  Endpoint m_address;
  DataCentreId m_dataCentre;
  std::string m_model;
  bool m_checksFencing = false;
  std::int64_t m_slots = 8;            ///< requests that it runs at once
  std::int64_t m_prefillPerSecond = 0; ///< tokens
  std::string m_listedWeights;         ///< by the VM list; empty: not told
};

/// A KV cache store VM and the link to it.
struct StoreConfig
{
  StoreId m_id;
  Endpoint m_address;
  DataCentreId m_dataCentre;
  Bytes m_capacity;
  Bytes m_linkPerSecond; ///< budget that all entries of a data centre share
};

/// A plain service.
struct ServiceConfig
{
  ServiceId m_id;
  std::vector<Endpoint> m_addresses;
  /// First words of paths whose calls may not be repeated.
  std::set<std::string> m_onceCalls;
  std::string m_statusPath; ///< answers whether a once-only call ran; or empty
  Duration m_timeout{};
};

/// The typed form of an accepted configuration.
struct Configuration
{
  std::string m_deployment;
  double m_firstTokenWeight = 0.5; ///< 1: first token only; 0: link use only
  Duration m_onceRetention{};
  Tokens m_pieceTokens;
  std::map<std::string, AccountConfig> m_accountsByKeyHash;
  std::map<std::string, ModelConfig> m_models;
  std::map<EngineId, EngineConfig> m_engines;
  std::map<StoreId, StoreConfig> m_stores;
  std::map<ServiceId, ServiceConfig> m_services;
};

/// The questionnaire's table: every answer, what is allowed, its meaning.
const SettingsSpec&
QuestionnaireSpec();

/// Checks answers against the questionnaire and against each other. Throws
/// SettingsError that names every wrong answer.
Settings
CheckAnswers(const std::string& aText, const std::string& aFile);

/// The answers text of sections, in stable order.
std::string
RenderAnswers(const ConfigSections& aSections);

/// Builds the typed form of checked sections.
Configuration
BuildConfiguration(const ConfigSections& aSections);

/// A digest over all sections; equal content has an equal digest.
std::string
DigestOf(const ConfigSections& aSections);

} // namespace fulmarquay

#endif
