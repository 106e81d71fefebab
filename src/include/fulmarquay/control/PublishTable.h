#ifndef FULMARQUAY_CONTROL_PUBLISHTABLE_H
#define FULMARQUAY_CONTROL_PUBLISHTABLE_H

#include "fulmarquay/control/ControlCommands.h"

#include <cstdint>
#include <map>
#include <string>

namespace fulmarquay {

/// The newest route document and the newest weight version of each model: a
/// deterministic part of the control state. The highest number wins, whatever
/// the order in which operators' commands are committed.
class PublishTable
{
public:
  /// Everything that a snapshot keeps.
  struct Content
  {
    Revision m_revision;  ///< 0: none was published yet
    std::string m_source; ///< as the operator sent it
    std::map<std::string, std::int64_t> m_weights; ///< by model
    MSGPACK_DEFINE(m_revision, m_source, m_weights)
  };

  /// Whether the document is now the newest one.
  bool Publish(const PublishRoutesCommand& aCommand);

  /// Whether the version is now the model's newest one.
  bool Name(const NameWeightsCommand& aCommand);

  Revision Current() const { return m_content.m_revision; }
  const std::string& Source() const { return m_content.m_source; }
  const std::map<std::string, std::int64_t>& Weights() const
  {
    return m_content.m_weights;
  }

  const Content& Save() const { return m_content; }
  void Restore(Content aContent);

private:
  Content m_content;
};

} // namespace fulmarquay

#endif
