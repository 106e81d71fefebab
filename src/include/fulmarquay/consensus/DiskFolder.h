#ifndef FULMARQUAY_CONSENSUS_DISKFOLDER_H
#define FULMARQUAY_CONSENSUS_DISKFOLDER_H

#include "fulmarquay/core/Error.h"
#include "fulmarquay/core/Units.h"

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace fulmarquay {

/// The disk has no room; of the request, nothing or a part was written. The
/// same request again makes it whole.
class DiskFullError : public Error
{
public:
  using Error::Error;
};

/// A read, write or sync failed; the disk's content can't be relied on.
class DiskFailedError : public Error
{
public:
  using Error::Error;
};

/// A file of the state disk, open for writing at given offsets.
class DiskFile
{
public:
  virtual ~DiskFile() = default;
  /// Writes all bytes. Throws DiskFullError or DiskFailedError.
  virtual void WriteAt(std::uint64_t aOffset, std::string_view aBytes) = 0;
  /// Returns once written bytes survive a power loss. Throws DiskFullError
  /// or DiskFailedError.
  virtual void Sync() = 0;
};

/// The one folder that holds a process's durable state.
///
/// Implementations may block; used from one thread at a time.
class DiskFolder
{
public:
  virtual ~DiskFolder() = default;
  /// Names of all files, sorted.
  virtual std::vector<std::string> List() = 0;
  /// The whole content. Throws DiskFailedError.
  virtual std::string Read(const std::string& aName) = 0;
  /// Creates an empty file with room for aSize zero bytes, replacing one of
  /// that name. Throws DiskFullError (no file is left) or DiskFailedError.
  virtual std::unique_ptr<DiskFile> Create(const std::string& aName,
                                           Bytes aSize) = 0;
  /// Opens an existing file. Throws DiskFailedError.
  virtual std::unique_ptr<DiskFile> Open(const std::string& aName) = 0;
  virtual void Rename(const std::string& aFrom, const std::string& aTo) = 0;
  virtual void Remove(const std::string& aName) = 0;
  /// Makes created, renamed and removed names survive a power loss.
  virtual void Sync() = 0;
};

/// A DiskFolder in the file system; creates the folder when it is missing.
/// Throws DiskFailedError when that fails or another process holds it.
std::unique_ptr<DiskFolder>
OpenDiskFolder(const std::string& aPath);

} // namespace fulmarquay

#endif
