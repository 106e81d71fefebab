#include "fulmarquay/consensus/LogStore.h"

#include "LogRecord.h"
#include "fulmarquay/consensus/ReplicaEffects.h"
#include "fulmarquay/core/Digest.h"

#include <algorithm>
#include <utility>

namespace fulmarquay {

namespace {

constexpr const char* kIdentityFileName = "identity";
constexpr const char* kTemporaryFileName = "temporary";
constexpr const char* kLogPrefix = "log-";
constexpr const char* kSnapshotPrefix = "snapshot-";

/// Payload of one record of a segment.
struct StoredBatch
{
  bool m_hasHardState = false;
  HardState m_hardState;
  std::vector<LogEntry> m_entries;
  MSGPACK_DEFINE(m_hasHardState, m_hardState, m_entries)
};

std::string
MakeFileName(const char* aPrefix, std::uint64_t aNumber)
{
  return aPrefix + HexOf(aNumber);
}

std::uint64_t
ParseFileNumber(const std::string& aName, const std::string& aPrefix)
{
  return std::stoull(aName.substr(aPrefix.size()), nullptr, 16);
}

/// Writes a file under a temporary name, syncs and renames it: the file exists
/// completely or not at all.
void
WriteFileAtomically(DiskFolder& aFolder,
                    const std::string& aName,
                    const std::string& aPayload)
{
  const std::string record = EncodeRecord(0, 0, aPayload);
  const auto size = static_cast<std::int64_t>(record.size());
  const auto file = aFolder.Create(kTemporaryFileName, Bytes(size));
  file->WriteAt(0, record);
  file->Sync();
  aFolder.Rename(kTemporaryFileName, aName);
  aFolder.Sync();
}

std::string
ReadChecksummedFile(DiskFolder& aFolder, const std::string& aName)
{
  const std::string bytes = aFolder.Read(aName);
  const auto payload = DecodeRecord(0, 0, bytes);
  if (!payload) {
    throw DiskFailedError("read state disk", aName, "damaged at offset 0");
  }
  return std::string(*payload);
}

} // namespace

bool
LogStore::IsFormatted(DiskFolder& aFolder)
{
  const std::vector<std::string> names = aFolder.List();
  return std::find(names.begin(), names.end(), kIdentityFileName) !=
         names.end();
}

void
LogStore::Format(DiskFolder& aFolder,
                 const DiskIdentity& aIdentity,
                 const Snapshot& aInitialSnapshot)
{
  // The identity is written last: a folder without it counts as unformatted.
  WriteFileAtomically(
    aFolder,
    MakeFileName(kSnapshotPrefix, aInitialSnapshot.m_index.Value()),
    Pack(aInitialSnapshot));
  WriteFileAtomically(aFolder, kIdentityFileName, Pack(aIdentity));
}

LogStore::LogStore(DiskFolder& aFolder)
  : m_folder(aFolder)
{
  const std::vector<std::string> names = m_folder.List();
  ReadIdentity();
  ReadSnapshot(names);
  ReadSegments(names);
  m_recovered.m_hardState = m_hardState;
}

LogStore::~LogStore() = default;

void
LogStore::ReadIdentity()
{
  m_identity =
    Unpack<DiskIdentity>(ReadChecksummedFile(m_folder, kIdentityFileName));
}

void
LogStore::ReadSnapshot(const std::vector<std::string>& aNames)
{
  for (const std::string& name : aNames) {
    if (!name.starts_with(kSnapshotPrefix)) {
      continue;
    }
    if (m_snapshotName) {
      // The process crashed after it saved the newer snapshot and before it
      // removed this one.
      m_folder.Remove(*m_snapshotName);
    }
    m_snapshotName = name;
  }
  if (!m_snapshotName) {
    throw DiskFailedError(
      "read state disk", kSnapshotPrefix, "no snapshot file");
  }
  const std::string payload = ReadChecksummedFile(m_folder, *m_snapshotName);
  m_report.m_bytesRead += payload.size();
  m_recovered.m_snapshot = Unpack<Snapshot>(payload);
}

void
LogStore::ReadSegments(const std::vector<std::string>& aNames)
{
  std::vector<std::uint64_t> numbers;
  for (const std::string& name : aNames) {
    if (name.starts_with(kLogPrefix)) {
      numbers.push_back(ParseFileNumber(name, kLogPrefix));
    }
  }
  for (const std::uint64_t number : numbers) {
    ReadSegment(number, number == numbers.back());
  }
}

void
LogStore::ReadSegment(std::uint64_t aNumber, bool aIsLast)
{
  const std::string name = MakeFileName(kLogPrefix, aNumber);
  const std::string bytes = m_folder.Read(name);
  std::uint64_t offset = 0;
  while (const auto payload = DecodeRecord(aNumber, offset, bytes)) {
    ReplayRecord(aNumber, std::string(*payload));
    offset += kRecordHeaderBytes + payload->size();
  }
  m_report.m_bytesRead += offset;
  m_segments[aNumber].m_used = offset;
  const bool isClean =
    bytes.find_first_not_of('\0', offset) == std::string::npos;
  const bool isTorn =
    !isClean && aIsLast && !HasRecordAtOrAfter(aNumber, offset + 1, bytes);
  if (!isClean && !isTorn) {
    throw DiskFailedError(
      "read state disk", name, "damaged at offset " + std::to_string(offset));
  }
  if (aIsLast) {
    m_currentSegment = aNumber;
    m_currentSegmentSize = bytes.size();
    m_file = m_folder.Open(name);
  }
  if (isTorn) {
    RepairTail(aNumber, bytes, offset);
  }
}

void
LogStore::RepairTail(std::uint64_t aNumber,
                     const std::string& aBytes,
                     std::uint64_t aOffset)
{
  // Zero the torn record so that no part of it is read as data later.
  m_report.m_tornBytes = aBytes.find_last_not_of('\0') + 1 - aOffset;
  m_file->WriteAt(aOffset, std::string(m_report.m_tornBytes, '\0'));
  m_file->Sync();
  m_segments[aNumber].m_used = aOffset;
}

void
LogStore::ReplayRecord(std::uint64_t aNumber, const std::string& aPayload)
{
  ++m_report.m_records;
  auto batch = Unpack<StoredBatch>(aPayload);
  if (batch.m_hasHardState) {
    m_hardState = batch.m_hardState;
  }
  for (LogEntry& entry : batch.m_entries) {
    m_segments[aNumber].m_last =
      std::max(m_segments[aNumber].m_last, entry.m_index);
    ReplayEntry(std::move(entry));
  }
}

void
LogStore::ReplayEntry(LogEntry aEntry)
{
  const Snapshot& base = m_recovered.m_snapshot;
  std::vector<LogEntry>& entries = m_recovered.m_entries;
  // The snapshot covers entries up to its index and those of older terms.
  if (aEntry.m_index <= base.m_index || aEntry.m_term < base.m_term) {
    return;
  }
  while (!entries.empty() && entries.back().m_index >= aEntry.m_index) {
    entries.pop_back();
  }
  const LogIndex last = entries.empty() ? base.m_index : entries.back().m_index;
  if (aEntry.m_index != Next(last)) {
    throw DiskFailedError("read state disk",
                          kLogPrefix,
                          "entries missing after index " +
                            std::to_string(last.Value()));
  }
  entries.push_back(std::move(aEntry));
}

void
LogStore::StartSegment(std::uint64_t aMinBytes)
{
  StoredBatch firstBatch;
  firstBatch.m_hasHardState = true;
  firstBatch.m_hardState = m_hardState;
  const std::uint64_t number = m_currentSegment + 1;
  const std::string record = EncodeRecord(number, 0, Pack(firstBatch));
  const std::uint64_t size = std::max(kSegmentBytes, aMinBytes + record.size());
  const std::string name = MakeFileName(kLogPrefix, number);
  auto file = m_folder.Create(name, Bytes(static_cast<std::int64_t>(size)));
  file->WriteAt(0, record);
  file->Sync();
  m_folder.Sync();
  m_file = std::move(file);
  m_currentSegment = number;
  m_currentSegmentSize = size;
  m_segments[number].m_used = record.size();
}

bool
LogStore::HasFirstRecord() const
{
  const auto current = m_segments.find(m_currentSegment);
  return current != m_segments.end() && current->second.m_used != 0;
}

void
LogStore::Append(const std::vector<PersistBatch>& aBatches)
{
  StoredBatch stored;
  for (const PersistBatch& batch : aBatches) {
    if (batch.m_hardState) {
      stored.m_hasHardState = true;
      stored.m_hardState = *batch.m_hardState;
    }
    stored.m_entries.insert(
      stored.m_entries.end(), batch.m_entries.begin(), batch.m_entries.end());
  }
  const std::string payload = Pack(stored);
  const std::uint64_t bytes = kRecordHeaderBytes + payload.size();
  if (!HasFirstRecord() ||
      m_segments[m_currentSegment].m_used + bytes > m_currentSegmentSize) {
    StartSegment(bytes);
  }
  Segment& segment = m_segments[m_currentSegment];
  m_file->WriteAt(segment.m_used,
                  EncodeRecord(m_currentSegment, segment.m_used, payload));
  m_file->Sync();
  segment.m_used += bytes;
  if (stored.m_hasHardState) {
    m_hardState = stored.m_hardState;
  }
  for (const LogEntry& entry : stored.m_entries) {
    segment.m_last = std::max(segment.m_last, entry.m_index);
  }
}

void
LogStore::WriteSnapshotFile(const Snapshot& aSnapshot)
{
  const std::string name =
    MakeFileName(kSnapshotPrefix, aSnapshot.m_index.Value());
  WriteFileAtomically(m_folder, name, Pack(aSnapshot));
  if (m_snapshotName && *m_snapshotName != name) {
    m_folder.Remove(*m_snapshotName);
  }
  m_snapshotName = name;
}

void
LogStore::RemoveCoveredSegments(LogIndex aIndex)
{
  if (!HasFirstRecord()) {
    // Only the segments before it hold the term and the vote.
    return;
  }
  for (auto it = m_segments.begin(); it != m_segments.end();) {
    const bool isCovered =
      it->first != m_currentSegment && it->second.m_last <= aIndex;
    if (!isCovered) {
      // Later segments may replace entries of this one, so segments are only
      // removed from the front.
      return;
    }
    m_folder.Remove(MakeFileName(kLogPrefix, it->first));
    it = m_segments.erase(it);
  }
}

void
LogStore::SaveSnapshot(const Snapshot& aSnapshot)
{
  WriteSnapshotFile(aSnapshot);
  RemoveCoveredSegments(aSnapshot.m_index);
}

void
LogStore::Install(const PersistSnapshot& aSnapshot)
{
  const LogIndex index = aSnapshot.m_snapshot.m_index;
  m_hardState = aSnapshot.m_hardState;
  if (m_installing != index) {
    StartSegment(0);
    m_installing = index;
  }
  WriteSnapshotFile(aSnapshot.m_snapshot);
  for (auto it = m_segments.begin(); it->first != m_currentSegment;) {
    m_folder.Remove(MakeFileName(kLogPrefix, it->first));
    it = m_segments.erase(it);
  }
  m_installing.reset();
}

std::uint64_t
LogStore::LogBytes() const
{
  std::uint64_t bytes = 0;
  for (const auto& [number, segment] : m_segments) {
    bytes += segment.m_used;
  }
  return bytes;
}

} // namespace fulmarquay
