#ifndef FULMARQUAY_CONSENSUS_LOGSTORE_H
#define FULMARQUAY_CONSENSUS_LOGSTORE_H

#include "fulmarquay/consensus/ConsensusTypes.h"
#include "fulmarquay/consensus/DiskFolder.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace fulmarquay {

struct PersistBatch;
struct PersistSnapshot;

/// Replica and VM that a state disk belongs to; written once, when the disk is
/// formatted.
struct DiskIdentity
{
  ReplicaId m_replica;
  std::string m_vm;
  MSGPACK_DEFINE(m_replica, m_vm)
};

/// Statistics of a recovery.
struct RecoveryReport
{
  std::uint64_t m_bytesRead = 0;
  std::uint64_t m_records = 0;
  std::uint64_t m_tornBytes = 0; ///< zeroed bytes of a torn last write
};

/// The replicated log and its snapshots on a state disk.
///
/// The folder holds `identity`, at most one `snapshot-N` and segments
/// `log-N`. A segment is a sequence of records. Each record consists of a
/// length, a checksum seeded with its segment number and offset, and a packed
/// batch. Each Append writes one record, so a torn write damages only the last
/// record. Not thread-safe; calls block.
class LogStore
{
public:
  /// Space preallocated for a segment; a larger record gets a larger segment.
  static constexpr std::uint64_t kSegmentBytes = 4U << 20U;

  /// Whether the folder has been formatted.
  static bool IsFormatted(DiskFolder& aFolder);

  /// Writes the identity and the initial snapshot into an empty folder.
  static void Format(DiskFolder& aFolder,
                     const DiskIdentity& aIdentity,
                     const Snapshot& aInitialSnapshot);

  /// Recovers the state from the folder. Throws a DiskFailedError that names
  /// file and offset if data other than a torn last write is damaged.
  explicit LogStore(DiskFolder& aFolder);
  ~LogStore();

  const DiskIdentity& Identity() const { return m_identity; }
  const RecoveryReport& Report() const { return m_report; }

  /// Moves the recovered state out; empty after the first call.
  RecoveredState TakeRecovered() { return std::move(m_recovered); }

  /// Appends batches with one write and one sync. Throws DiskFullError, after
  /// which the same call may be repeated, or DiskFailedError, after which the
  /// process must end.
  void Append(const std::vector<PersistBatch>& aBatches);

  /// Replaces the log and its segments by the leader's snapshot. After
  /// DiskFullError the same call may be repeated; it takes no more space then.
  void Install(const PersistSnapshot& aSnapshot);

  /// Saves a snapshot of this replica's state machine and removes the segments
  /// that it covers.
  void SaveSnapshot(const Snapshot& aSnapshot);

  /// Bytes of log that a recovery would read at this point.
  std::uint64_t LogBytes() const;

private:
  struct Segment
  {
    std::uint64_t m_used = 0;
    LogIndex m_last;
  };

  void ReadIdentity();
  void ReadSnapshot(const std::vector<std::string>& aNames);
  void ReadSegments(const std::vector<std::string>& aNames);
  void ReadSegment(std::uint64_t aNumber, bool aIsLast);
  void ReplayRecord(std::uint64_t aNumber, const std::string& aPayload);
  void ReplayEntry(LogEntry aEntry);
  void RepairTail(std::uint64_t aNumber,
                  const std::string& aBytes,
                  std::uint64_t aOffset);
  void StartSegment(std::uint64_t aMinBytes);
  /// Whether the current segment has the record that StartSegment writes. It is
  /// missing if power was lost meanwhile.
  bool HasFirstRecord() const;
  void WriteSnapshotFile(const Snapshot& aSnapshot);
  void RemoveCoveredSegments(LogIndex aIndex);

  DiskFolder& m_folder;
  DiskIdentity m_identity;
  RecoveredState m_recovered;
  RecoveryReport m_report;
  HardState m_hardState;
  std::map<std::uint64_t, Segment> m_segments;
  std::uint64_t m_currentSegment = 0; ///< number; 0 if no segment is open
  std::uint64_t m_currentSegmentSize = 0;
  std::unique_ptr<DiskFile> m_file;
  std::optional<std::string> m_snapshotName;
  /// Of a snapshot whose installation has started its segment but not ended.
  std::optional<LogIndex> m_installing;
};

} // namespace fulmarquay

#endif
