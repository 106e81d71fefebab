#ifndef FULMARQUAY_CONSENSUS_REPLICAEVENTS_H
#define FULMARQUAY_CONSENSUS_REPLICAEVENTS_H

#include "fulmarquay/consensus/ConsensusMessages.h"

#include <variant>

namespace fulmarquay {

/// Time has passed; expected every few tens of milliseconds.
struct ReplicaTick
{};

/// A message arrived.
struct ConsensusReceived
{
  ConsensusMessage m_message;
};

/// The batch or snapshot with this number, and all before it, are synced.
struct DiskSynced
{
  std::uint64_t m_number = 0;
};

/// A command for the state machine.
struct ProposeCommand
{
  RequestId m_request;
  std::string m_payload;
};

/// The state machine was saved at m_index and the disk holds it.
struct SnapshotSaved
{
  Snapshot m_snapshot;
};

/// The process was told to stop: hand leadership to another voter.
struct TransferLeadership
{};

using ReplicaEvent = std::variant<ReplicaTick,
                                  ConsensusReceived,
                                  DiskSynced,
                                  ProposeCommand,
                                  SnapshotSaved,
                                  TransferLeadership>;

} // namespace fulmarquay

#endif
