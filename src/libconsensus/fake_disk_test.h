#ifndef FULMARQUAY_LIBCONSENSUS_FAKE_DISK_TEST_H
#define FULMARQUAY_LIBCONSENSUS_FAKE_DISK_TEST_H

#include "fulmarquay/consensus/DiskFolder.h"

#include <climits>
#include <cstdint>
#include <map>
#include <random>
#include <string>
#include <vector>

namespace fulmarquay::testing {

/// A DiskFolder in memory that simulates crashes, torn writes, a full disk and
/// sync failures.
///
/// Bytes survive a crash once their file is synced, file names once the folder
/// is synced.
class FakeDisk : public DiskFolder
{
public:
  /// Discards unsynced data, except for the first aTornBytes bytes of the last
  /// unsynced write of each file.
  void Crash(std::size_t aTornBytes = 0);

  /// Loses power: each file that was created, renamed or removed since the last
  /// sync of the folder is kept or lost independently, and the last unsynced
  /// write of each file is present, missing or torn.
  void LosePower(std::mt19937_64& aRandom);

  /// Makes every operation but the next aOperations ones throw
  /// DiskFailedError, until power is lost.
  void FailAfter(int aOperations) { m_operationsLeft = aOperations; }
  /// Whether an operation has thrown because of FailAfter.
  bool HasFailed() const { return m_operationsLeft < 0; }

  /// Flips a bit of a synced byte.
  void CorruptByte(const std::string& aName, std::size_t aOffset);

  void SetSyncFailing(bool aIsFailing) { m_isSyncFailing = aIsFailing; }
  /// Makes every write throw DiskFullError.
  void SetOutOfSpace(bool aIsOutOfSpace) { m_isOutOfSpace = aIsOutOfSpace; }
  void SetFreeSpace(std::int64_t aBytes) { m_freeBytes = aBytes; }
  /// Makes the creation of files with this prefix throw DiskFullError; empty:
  /// of none.
  void SetFullFor(const std::string& aPrefix) { m_fullPrefix = aPrefix; }
  int Writes() const { return m_writes; }
  std::size_t SizeOf(const std::string& aName) const;

  std::vector<std::string> List() override;
  std::string Read(const std::string& aName) override;
  std::unique_ptr<DiskFile> Create(const std::string& aName,
                                   Bytes aSize) override;
  std::unique_ptr<DiskFile> Open(const std::string& aName) override;
  void Rename(const std::string& aFrom, const std::string& aTo) override;
  void Remove(const std::string& aName) override;
  void Sync() override;

private:
  friend class FakeFile;

  void CountOperation();

  struct Content
  {
    std::string m_current;
    std::string m_synced;
    std::uint64_t m_lastOffset = 0;
    std::string m_lastWrite;
  };
  using ContentPtr = std::shared_ptr<Content>;

  std::map<std::string, ContentPtr> m_names;
  std::map<std::string, ContentPtr> m_syncedNames;
  std::int64_t m_freeBytes = INT64_MAX;
  bool m_isSyncFailing = false;
  bool m_isOutOfSpace = false;
  std::string m_fullPrefix;
  int m_writes = 0;
  int m_operationsLeft = INT_MAX;
};

} // namespace fulmarquay::testing

#endif
