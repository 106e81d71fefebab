#include "fulmarquay/consensus/LogStore.h"

#include "LogRecord.h"
#include "fulmarquay/consensus/ReplicaEffects.h"
#include "fulmarquay/core/Digest.h"

#include <algorithm>
#include <utility>

namespace fulmarquay {

namespace {

constexpr const char* kIdentityName = "identity";
constexpr const char* kTemporaryName = "temporary";
constexpr const char* kLogPrefix = "log-";
constexpr const char* kSnapshotPrefix = "snapshot-";

/// What one record of a segment holds.
struct StoredBatch
{
  bool m_hasHard = false;
  HardState m_hard;
  std::vector<LogEntry> m_entries;
  MSGPACK_DEFINE(m_hasHard, m_hard, m_entries)
};

std::string
NameOf(const char* aPrefix, std::uint64_t aNumber)
{
  return aPrefix + HexOf(aNumber);
}

std::uint64_t
NumberOf(const std::string& aName, const std::string& aPrefix)
{
  return std::stoull(aName.substr(aPrefix.size()), nullptr, 16);
}

/// Writes a small file so that it exists whole or not at all.
void
WriteWhole(DiskFolder& aFolder,
           const std::string& aName,
           const std::string& aPayload)
{
  const std::string record = EncodeRecord(0, 0, aPayload);
  const auto size = static_cast<std::int64_t>(record.size());
  const auto file = aFolder.Create(kTemporaryName, Bytes(size));
  file->WriteAt(0, record);
  file->Sync();
  aFolder.Rename(kTemporaryName, aName);
  aFolder.Sync();
}

std::string
ReadWhole(DiskFolder& aFolder, const std::string& aName)
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
  return std::find(names.begin(), names.end(), kIdentityName) != names.end();
}

void
LogStore::Format(DiskFolder& aFolder,
                 const DiskIdentity& aIdentity,
                 const Snapshot& aFirst)
{
  // The identity comes last: a folder without one is formatted again.
  WriteWhole(
    aFolder, NameOf(kSnapshotPrefix, aFirst.m_index.Value()), Pack(aFirst));
  WriteWhole(aFolder, kIdentityName, Pack(aIdentity));
}

LogStore::LogStore(DiskFolder& aFolder)
  : m_folder(aFolder)
{
  const std::vector<std::string> names = m_folder.List();
  ReadIdentity();
  ReadSnapshot(names);
  ReadSegments(names);
  m_recovered.m_hard = m_hard;
}

LogStore::~LogStore() = default;

void
LogStore::ReadIdentity()
{
  m_identity = Unpack<DiskIdentity>(ReadWhole(m_folder, kIdentityName));
}

void
LogStore::ReadSnapshot(const std::vector<std::string>& aNames)
{
  for (const std::string& name : aNames) {
    if (!name.starts_with(kSnapshotPrefix)) {
      continue;
    }
    if (m_snapshotName) {
      // A crash came between saving the newer one and removing this one.
      m_folder.Remove(*m_snapshotName);
    }
    m_snapshotName = name;
  }
  if (!m_snapshotName) {
    throw DiskFailedError("read state disk", kSnapshotPrefix, "no snapshot");
  }
  const std::string payload = ReadWhole(m_folder, *m_snapshotName);
  m_report.m_bytesRead += payload.size();
  m_recovered.m_snapshot = Unpack<Snapshot>(payload);
}

void
LogStore::ReadSegments(const std::vector<std::string>& aNames)
{
  std::vector<std::uint64_t> numbers;
  for (const std::string& name : aNames) {
    if (name.starts_with(kLogPrefix)) {
      numbers.push_back(NumberOf(name, kLogPrefix));
    }
  }
  for (const std::uint64_t number : numbers) {
    ReadSegment(number, number == numbers.back());
  }
}

void
LogStore::ReadSegment(std::uint64_t aNumber, bool aIsLast)
{
  const std::string name = NameOf(kLogPrefix, aNumber);
  const std::string bytes = m_folder.Read(name);
  std::uint64_t offset = 0;
  while (const auto payload = DecodeRecord(aNumber, offset, bytes)) {
    TakeRecord(aNumber, std::string(*payload));
    offset += kRecordHeadBytes + payload->size();
  }
  m_report.m_bytesRead += offset;
  m_segments[aNumber].m_used = offset;
  const bool isClean =
    bytes.find_first_not_of('\0', offset) == std::string::npos;
  const bool isTorn =
    !isClean && aIsLast && !HasRecordAfter(aNumber, offset + 1, bytes);
  if (!isClean && !isTorn) {
    throw DiskFailedError(
      "read state disk", name, "damaged at offset " + std::to_string(offset));
  }
  if (aIsLast) {
    m_current = aNumber;
    m_currentSize = bytes.size();
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
  // Zeroed, so that no part of the torn record is read as data later.
  m_report.m_tornBytes = aBytes.find_last_not_of('\0') + 1 - aOffset;
  m_file->WriteAt(aOffset, std::string(m_report.m_tornBytes, '\0'));
  m_file->Sync();
  m_segments[aNumber].m_used = aOffset;
}

void
LogStore::TakeRecord(std::uint64_t aNumber, const std::string& aPayload)
{
  ++m_report.m_records;
  auto batch = Unpack<StoredBatch>(aPayload);
  if (batch.m_hasHard) {
    m_hard = batch.m_hard;
  }
  for (LogEntry& entry : batch.m_entries) {
    m_segments[aNumber].m_last =
      std::max(m_segments[aNumber].m_last, entry.m_index);
    TakeEntry(std::move(entry));
  }
}

void
LogStore::TakeEntry(LogEntry aEntry)
{
  const Snapshot& base = m_recovered.m_snapshot;
  std::vector<LogEntry>& entries = m_recovered.m_entries;
  // Older than the snapshot by place or by term: covered by it.
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
LogStore::StartSegment(std::uint64_t aLeastBytes)
{
  StoredBatch head;
  head.m_hasHard = true;
  head.m_hard = m_hard;
  const std::uint64_t number = m_current + 1;
  const std::string record = EncodeRecord(number, 0, Pack(head));
  const std::uint64_t size =
    std::max(kSegmentBytes, aLeastBytes + record.size());
  const std::string name = NameOf(kLogPrefix, number);
  auto file = m_folder.Create(name, Bytes(static_cast<std::int64_t>(size)));
  file->WriteAt(0, record);
  file->Sync();
  m_folder.Sync();
  m_file = std::move(file);
  m_current = number;
  m_currentSize = size;
  m_segments[number].m_used = record.size();
}

void
LogStore::Append(const std::vector<PersistBatch>& aBatches)
{
  StoredBatch stored;
  for (const PersistBatch& batch : aBatches) {
    if (batch.m_hard) {
      stored.m_hasHard = true;
      stored.m_hard = *batch.m_hard;
    }
    stored.m_entries.insert(
      stored.m_entries.end(), batch.m_entries.begin(), batch.m_entries.end());
  }
  const std::string payload = Pack(stored);
  const std::uint64_t bytes = kRecordHeadBytes + payload.size();
  if (m_current == 0 || m_segments[m_current].m_used + bytes > m_currentSize) {
    StartSegment(bytes);
  }
  Segment& segment = m_segments[m_current];
  m_file->WriteAt(segment.m_used,
                  EncodeRecord(m_current, segment.m_used, payload));
  m_file->Sync();
  segment.m_used += bytes;
  if (stored.m_hasHard) {
    m_hard = stored.m_hard;
  }
  for (const LogEntry& entry : stored.m_entries) {
    segment.m_last = std::max(segment.m_last, entry.m_index);
  }
}

void
LogStore::WriteSnapshotFile(const Snapshot& aSnapshot)
{
  const std::string name = NameOf(kSnapshotPrefix, aSnapshot.m_index.Value());
  WriteWhole(m_folder, name, Pack(aSnapshot));
  if (m_snapshotName && *m_snapshotName != name) {
    m_folder.Remove(*m_snapshotName);
  }
  m_snapshotName = name;
}

void
LogStore::RemoveCovered(LogIndex aIndex)
{
  for (auto place = m_segments.begin(); place != m_segments.end();) {
    const bool isCovered =
      place->first != m_current && place->second.m_last <= aIndex;
    if (!isCovered) {
      // Later segments may replace entries of this one: keep them in a row.
      return;
    }
    m_folder.Remove(NameOf(kLogPrefix, place->first));
    place = m_segments.erase(place);
  }
}

void
LogStore::SaveSnapshot(const Snapshot& aSnapshot)
{
  WriteSnapshotFile(aSnapshot);
  RemoveCovered(aSnapshot.m_index);
}

void
LogStore::Install(const PersistSnapshot& aSnapshot)
{
  m_hard = aSnapshot.m_hard;
  StartSegment(0);
  WriteSnapshotFile(aSnapshot.m_snapshot);
  for (auto place = m_segments.begin(); place->first != m_current;) {
    m_folder.Remove(NameOf(kLogPrefix, place->first));
    place = m_segments.erase(place);
  }
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
