#ifndef FULMARQUAY_CONTROL_CONFIGTABLE_H
#define FULMARQUAY_CONTROL_CONFIGTABLE_H

#include "fulmarquay/control/ConfigDelta.h"
#include "fulmarquay/control/ControlCommands.h"

#include <deque>
#include <map>
#include <string>

namespace fulmarquay {

/// The accepted configurations: a deterministic part of the control state.
class ConfigTable
{
public:
  /// An accepted submission that may be sent again.
  struct Accepted
  {
    std::string m_submission;
    std::string m_operator;
    SubmitResult m_result;
    MSGPACK_DEFINE(m_submission, m_operator, m_result)
  };

  /// Everything that a snapshot keeps.
  struct Content
  {
    Revision m_revision;
    ConfigSections m_sections;
    std::vector<Accepted> m_accepted;
    std::vector<ConfigDelta> m_deltas;
    MSGPACK_DEFINE(m_revision, m_sections, m_accepted, m_deltas)
  };

  /// Accepts a submission whose base is the current revision; the same
  /// submission again gets its first result.
  SubmitResult Submit(const SubmitCommand& aCommand);

  /// Puts a model's weight version in force as a revision of its own; ignored
  /// when it is no longer the model's target.
  void SwitchWeights(const SwitchWeightsCommand& aCommand);

  Revision Current() const { return m_content.m_revision; }
  const ConfigSections& Sections() const { return m_content.m_sections; }
  const std::string& Digest() const { return m_digest; }

  /// What leads from a held revision to the current one.
  ConfigDelta DeltaFrom(Revision aHeld) const;

  const Content& Save() const { return m_content; }
  void Restore(Content aContent);

private:
  void Accept(ConfigSections aSections);
  SubmitResult Refuse(const SubmitCommand& aCommand) const;

  Content m_content;
  std::string m_digest;
};

} // namespace fulmarquay

#endif
