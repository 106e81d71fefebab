#ifndef FULMARQUAY_LIBCONSENSUS_FAKE_DISK_TEST_H
#define FULMARQUAY_LIBCONSENSUS_FAKE_DISK_TEST_H

#include "fulmarquay/consensus/DiskFolder.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace fulmarquay::testing {

/// A DiskFolder in memory that can crash, tear, fill up and fail.
///
/// Bytes last once their file was synced, names once the folder was synced.
class FakeDisk : public DiskFolder
{
public:
  /// Forgets what was not synced; of the last unsynced write, this many bytes
  /// reached the disk all the same.
  void Crash(std::size_t aTornBytes = 0);

  /// Changes a byte that was synced.
  void Damage(const std::string& aName, std::size_t aOffset);

  void SetFailSync(bool aFails) { m_failSync = aFails; }
  /// Refuses every write, as a disk does that filled up.
  void SetRefuses(bool aRefuses) { m_refuses = aRefuses; }
  void SetRoom(std::int64_t aBytes) { m_room = aBytes; }
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

  struct Content
  {
    std::string m_now;
    std::string m_synced;
    std::uint64_t m_lastOffset = 0;
    std::string m_lastWrite;
  };
  using ContentPtr = std::shared_ptr<Content>;

  std::map<std::string, ContentPtr> m_names;
  std::map<std::string, ContentPtr> m_syncedNames;
  std::int64_t m_room = INT64_MAX;
  bool m_failSync = false;
  bool m_refuses = false;
  int m_writes = 0;
};

} // namespace fulmarquay::testing

#endif
