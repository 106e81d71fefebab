#include "fulmarquay/control/ConfigTable.h"

#include <algorithm>
#include <set>
#include <utility>

namespace fulmarquay {

namespace {

/// Accepted submissions whose resend still returns the first result.
constexpr std::size_t kMaxStoredSubmissions = 1000;
/// Revisions that an entry may lag behind and still receive a delta.
constexpr std::size_t kMaxStoredDeltas = 64;

const std::string kModelPrefix = "model.";
constexpr const char* kServingKey = "serving";
/// The operator recorded for revisions that a rollout creates.
constexpr const char* kRolloutOperator = "rollout";

/// Returns submitted sections with the weight versions in force of the models
/// that exist already: only a rollout changes these. A new model starts with
/// its target.
ConfigSections
KeepServingVersions(const ConfigSections& aOld, ConfigSections aNew)
{
  for (auto& [name, values] : aNew) {
    if (!name.starts_with(kModelPrefix)) {
      continue;
    }
    const auto old = aOld.find(name);
    values[kServingKey] =
      old == aOld.end() ? values["weights"] : old->second.at(kServingKey);
  }
  return aNew;
}

} // namespace

SubmitResult
ConfigTable::Submit(const SubmitCommand& aCommand)
{
  std::vector<Accepted>& accepted = m_content.m_accepted;
  const auto duplicate =
    std::find_if(accepted.begin(), accepted.end(), [&](const Accepted& aEach) {
      return !aEach.m_submission.empty() &&
             aEach.m_submission == aCommand.m_submission;
    });
  if (duplicate != accepted.end()) {
    return duplicate->m_result;
  }
  if (aCommand.m_base != m_content.m_revision) {
    return MakeConflict(aCommand);
  }
  Accept(KeepServingVersions(m_content.m_sections, aCommand.m_sections));
  SubmitResult result;
  result.m_isAccepted = true;
  result.m_revision = m_content.m_revision;
  accepted.push_back({ aCommand.m_submission, aCommand.m_operator, result });
  if (accepted.size() > kMaxStoredSubmissions) {
    accepted.erase(accepted.begin());
  }
  return result;
}

void
ConfigTable::Accept(ConfigSections aSections)
{
  ConfigDelta delta = MakeDelta(m_content.m_sections, aSections);
  delta.m_from = m_content.m_revision;
  delta.m_to = Revision(m_content.m_revision.Value() + 1);
  m_content.m_revision = delta.m_to;
  m_content.m_sections = std::move(aSections);
  m_digest = delta.m_digest;
  m_content.m_deltas.push_back(std::move(delta));
  if (m_content.m_deltas.size() > kMaxStoredDeltas) {
    m_content.m_deltas.erase(m_content.m_deltas.begin());
  }
}

void
ConfigTable::SwitchWeights(const SwitchWeightsCommand& aCommand)
{
  ConfigSections sections = m_content.m_sections;
  const auto model = sections.find(kModelPrefix + aCommand.m_model);
  const bool isSwitchNeeded = model != sections.end() &&
                              model->second["weights"] == aCommand.m_weights &&
                              model->second[kServingKey] != aCommand.m_weights;
  if (isSwitchNeeded) {
    model->second[kServingKey] = aCommand.m_weights;
    Accept(std::move(sections));
    m_content.m_accepted.push_back({ "", kRolloutOperator, SubmitResult() });
  }
}

SubmitResult
ConfigTable::MakeConflict(const SubmitCommand& aCommand) const
{
  SubmitResult result;
  result.m_revision = m_content.m_revision;
  if (!m_content.m_accepted.empty()) {
    result.m_conflictingOperator = m_content.m_accepted.back().m_operator;
  }
  std::set<std::string> changed;
  for (const ConfigDelta& delta : m_content.m_deltas) {
    if (delta.m_from < aCommand.m_base) {
      continue;
    }
    for (const auto& [name, values] : delta.m_changed) {
      changed.insert(name);
    }
    changed.insert(delta.m_removed.begin(), delta.m_removed.end());
  }
  result.m_changed.assign(changed.begin(), changed.end());
  return result;
}

ConfigDelta
ConfigTable::DeltaFrom(Revision aHeldRevision) const
{
  ConfigDelta merged;
  merged.m_from = aHeldRevision;
  merged.m_to = m_content.m_revision;
  merged.m_digest = m_digest;
  const auto first = std::find_if(
    m_content.m_deltas.begin(),
    m_content.m_deltas.end(),
    [&](const ConfigDelta& aEach) { return aEach.m_from == aHeldRevision; });
  if (first == m_content.m_deltas.end() || aHeldRevision == Revision(0)) {
    merged.m_from = Revision(0);
    merged.m_changed = m_content.m_sections;
    return merged;
  }
  std::set<std::string> removed;
  for (auto delta = first; delta != m_content.m_deltas.end(); ++delta) {
    for (const auto& [name, values] : delta->m_changed) {
      merged.m_changed[name] = values;
      removed.erase(name);
    }
    for (const std::string& name : delta->m_removed) {
      merged.m_changed.erase(name);
      removed.insert(name);
    }
  }
  merged.m_removed.assign(removed.begin(), removed.end());
  return merged;
}

void
ConfigTable::Restore(Content aContent)
{
  m_content = std::move(aContent);
  m_digest = DigestOf(m_content.m_sections);
}

} // namespace fulmarquay
