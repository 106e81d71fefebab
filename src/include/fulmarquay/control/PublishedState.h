#ifndef FULMARQUAY_CONTROL_PUBLISHEDSTATE_H
#define FULMARQUAY_CONTROL_PUBLISHEDSTATE_H

#include "fulmarquay/control/ControlCommands.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>

namespace fulmarquay {

/// The newest route document, the newest weight version of each model, the
/// blocked parts of prompts, the software versions of workers and the evacuated
/// data centres: a deterministic part of the control state. The highest
/// revision or version wins, independent of the order in which commands are
/// committed; of the other commands, the one committed last.
class PublishedState
{
public:
  /// The part of the state that snapshots store.
  struct Content
  {
    Revision m_revision;  ///< 0: no document was published yet
    std::string m_source; ///< as sent by the operator
    std::map<std::string, std::int64_t> m_weights; ///< by model
    std::set<RequestPartId> m_blockedParts;
    SoftwareByPool m_software;
    std::set<DataCentreId> m_evacuated;
    MSGPACK_DEFINE(m_revision,
                   m_source,
                   m_weights,
                   m_blockedParts,
                   m_software,
                   m_evacuated)
  };

  /// Stores a document if it has the highest revision; returns whether it was
  /// stored.
  bool Publish(const PublishRoutesCommand& aCommand);

  /// Stores a model's weight version if it is the highest one; returns whether
  /// it was stored.
  bool SetWeights(const NameWeightsCommand& aCommand);

  /// Blocks or releases a part; returns whether this changed anything. The
  /// number of blocked parts is limited.
  bool SetBlocked(const BlockPartCommand& aCommand);

  /// Adds or removes a software version; returns whether this changed anything.
  /// The number of versions is limited.
  bool SetListed(const ListSoftwareCommand& aCommand);

  /// Adds or removes an evacuated data centre; returns whether this changed
  /// anything. The number of data centres is limited.
  bool SetEvacuated(const EvacuateCommand& aCommand);

  Revision Current() const { return m_content.m_revision; }
  const std::string& Source() const { return m_content.m_source; }
  const std::map<std::string, std::int64_t>& Weights() const
  {
    return m_content.m_weights;
  }

  const std::set<RequestPartId>& BlockedParts() const
  {
    return m_content.m_blockedParts;
  }

  const SoftwareByPool& Software() const { return m_content.m_software; }

  const std::set<DataCentreId>& Evacuated() const
  {
    return m_content.m_evacuated;
  }

  const Content& Save() const { return m_content; }
  void Restore(Content aContent);

private:
  Content m_content;
};

} // namespace fulmarquay

#endif
