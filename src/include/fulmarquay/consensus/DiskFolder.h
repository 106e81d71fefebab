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

/// The disk is out of space. The request was written partly or not at all;
/// repeating the same request completes it.
class DiskFullError : public Error
{
public:
  using Error::Error;
};

/// A read, write or sync failed; the content of the disk can't be trusted.
class DiskFailedError : public Error
{
public:
  using Error::Error;
};

/// A file of the state disk, opened for writes at explicit byte offsets.
class DiskFile
{
public:
  virtual ~DiskFile() = default;
  /// Writes all bytes. Throws DiskFullError or DiskFailedError.
  virtual void WriteAt(std::uint64_t aOffset, std::string_view aBytes) = 0;
  /// Makes written bytes durable across a power loss. Throws DiskFullError or
  /// DiskFailedError.
  virtual void Sync() = 0;
};

/// The folder that holds the durable state of a process.
///
/// Calls may block. Not thread-safe.
class DiskFolder
{
public:
  virtual ~DiskFolder() = default;
  /// Names of all files, sorted.
  virtual std::vector<std::string> List() = 0;
  /// Reads a whole file. Throws DiskFailedError.
  virtual std::string Read(const std::string& aName) = 0;
  /// Creates a file of `aSize` preallocated zero bytes; replaces an existing
  /// file of that name. Throws DiskFullError (the file is removed again) or
  /// DiskFailedError.
  virtual std::unique_ptr<DiskFile> Create(const std::string& aName,
                                           Bytes aSize) = 0;
  /// Opens an existing file. Throws DiskFailedError.
  virtual std::unique_ptr<DiskFile> Open(const std::string& aName) = 0;
  virtual void Rename(const std::string& aFrom, const std::string& aTo) = 0;
  virtual void Remove(const std::string& aName) = 0;
  /// Makes created, renamed and removed file names durable across a power
  /// loss.
  virtual void Sync() = 0;
};

/// Opens and locks a folder of the file system; creates it if it is missing.
/// Throws DiskFailedError if that fails or another process holds the lock.
std::unique_ptr<DiskFolder>
OpenDiskFolder(const std::string& aPath);

} // namespace fulmarquay

#endif
