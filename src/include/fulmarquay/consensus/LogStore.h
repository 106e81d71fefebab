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

/// Who a state disk belongs to; written once, when it is formatted.
struct DiskIdentity
{
  ReplicaId m_replica;
  std::string m_vm;
  MSGPACK_DEFINE(m_replica, m_vm)
};

/// What a recovery read.
struct RecoveryReport
{
  std::uint64_t m_bytesRead = 0;
  std::uint64_t m_records = 0;
  std::uint64_t m_tornBytes = 0; ///< of an unfinished last write, now zeroed
};

/// The replicated log and its snapshots on a state disk.
///
/// The folder holds `identity`, at most one `snapshot-N` and segments
/// `log-N`. A segment is a row of records, each a length, a checksum seeded
/// by its place, and a packed batch; one batch is one record, so that a torn
/// write damages the last record only. Not thread-safe; calls block.
class LogStore
{
public:
  /// Room reserved for each segment.
  static constexpr std::uint64_t kSegmentBytes = 4U << 20U;

  /// Whether the folder was formatted before.
  static bool IsFormatted(DiskFolder& aFolder);

  /// Writes identity and first snapshot into an empty folder.
  static void Format(DiskFolder& aFolder,
                     const DiskIdentity& aIdentity,
                     const Snapshot& aFirst);

  /// Recovers. Throws DiskFailedError that names file and offset when
  /// something other than the unfinished last write is damaged.
  explicit LogStore(DiskFolder& aFolder);
  ~LogStore();

  const DiskIdentity& Identity() const { return m_identity; }
  const RecoveryReport& Report() const { return m_report; }

  /// The recovered state; empty after the first call.
  RecoveredState TakeRecovered() { return std::move(m_recovered); }

  /// Appends batches with one write and one sync. Throws DiskFullError before
  /// anything is written, DiskFailedError when the process must end.
  void Append(const std::vector<PersistBatch>& aBatches);

  /// Replaces the log by the leader's snapshot.
  void Install(const PersistSnapshot& aSnapshot);

  /// Saves the own state machine and removes segments it covers.
  void SaveSnapshot(const Snapshot& aSnapshot);

  /// Bytes of log that a recovery would read now.
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
  void TakeRecord(std::uint64_t aNumber, const std::string& aPayload);
  void TakeEntry(LogEntry aEntry);
  void RepairTail(std::uint64_t aNumber,
                  const std::string& aBytes,
                  std::uint64_t aOffset);
  void StartSegment(std::uint64_t aLeastBytes);
  void WriteSnapshotFile(const Snapshot& aSnapshot);
  void RemoveCovered(LogIndex aIndex);

  DiskFolder& m_folder;
  DiskIdentity m_identity;
  RecoveredState m_recovered;
  RecoveryReport m_report;
  HardState m_hard;
  std::map<std::uint64_t, Segment> m_segments;
  std::uint64_t m_current = 0; ///< number of the open segment, 0: none
  std::uint64_t m_currentSize = 0;
  std::unique_ptr<DiskFile> m_file;
  std::optional<std::string> m_snapshotName;
};

} // namespace fulmarquay

#endif
