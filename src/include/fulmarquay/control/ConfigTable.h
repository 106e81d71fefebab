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
  /// An accepted submission, kept to answer resends of it.
  struct Accepted
  {
    std::string m_submission;
    std::string m_operator;
    SubmitResult m_result;
    MSGPACK_DEFINE(m_submission, m_operator, m_result)
  };

  /// The content of a snapshot.
  struct Content
  {
    Revision m_revision;
    ConfigSections m_sections;
    std::vector<Accepted> m_accepted;
    std::vector<ConfigDelta> m_deltas;
    MSGPACK_DEFINE(m_revision, m_sections, m_accepted, m_deltas)
  };

  /// Accepts a submission whose base is the current revision. A resend of an
  /// accepted submission returns its first result.
  SubmitResult Submit(const SubmitCommand& aCommand);

  /// Puts a model's weight version in force in a new revision. Ignored if it is
  /// no longer the model's target or is in force already.
  void SwitchWeights(const SwitchWeightsCommand& aCommand);

  Revision Current() const { return m_content.m_revision; }
  const ConfigSections& Sections() const { return m_content.m_sections; }
  const std::string& Digest() const { return m_digest; }

  /// The merged delta from aHeldRevision to the current one; from an empty
  /// configuration if aHeldRevision is too old.
  ConfigDelta DeltaFrom(Revision aHeldRevision) const;

  /// The content for a snapshot.
  const Content& Save() const { return m_content; }
  /// Replaces the content by that of a snapshot.
  void Restore(Content aContent);

private:
  void Accept(ConfigSections aSections);
  SubmitResult MakeConflict(const SubmitCommand& aCommand) const;

  Content m_content;
  std::string m_digest;
};

} // namespace fulmarquay

#endif
