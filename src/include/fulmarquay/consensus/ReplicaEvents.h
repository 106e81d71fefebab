#ifndef FULMARQUAY_CONSENSUS_REPLICAEVENTS_H
#define FULMARQUAY_CONSENSUS_REPLICAEVENTS_H

#include "fulmarquay/consensus/ConsensusMessages.h"

#include <variant>

namespace fulmarquay {

/// Timer tick; expected every few tens of milliseconds.
struct ReplicaTick
{};

/// A message from another replica was received.
struct ConsensusReceived
{
  ConsensusMessage m_message;
};

/// The PersistBatch or PersistSnapshot with this number and all earlier ones
/// are synced.
struct DiskSynced
{
  std::uint64_t m_number = 0;
};

/// Proposes a command for the state machine.
struct ProposeCommand
{
  RequestId m_request;
  std::string m_payload;
};

/// A snapshot of the state machine has been saved to disk.
struct SnapshotSaved
{
  Snapshot m_snapshot;
};

/// Transfers leadership to another voter because the process is stopping.
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
