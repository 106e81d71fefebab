#include "fulmarquay/consensus/DiskFolder.h"

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <sys/file.h>
#include <unistd.h>
#include <utility>

namespace fulmarquay {

namespace {

constexpr const char* kLockFileName = "lock";

std::string
ErrorText(int aError)
{
  return std::strerror(aError);
}

/// Owns a file descriptor and closes it on destruction.
class Descriptor
{
public:
  explicit Descriptor(int aValue)
    : m_value(aValue)
  {
  }
  Descriptor(const Descriptor&) = delete;
  Descriptor& operator=(const Descriptor&) = delete;
  ~Descriptor()
  {
    if (m_value >= 0) {
      ::close(m_value);
    }
  }
  int Value() const { return m_value; }

private:
  int m_value;
};

class PosixFile : public DiskFile
{
public:
  PosixFile(std::string aPath, int aDescriptor)
    : m_path(std::move(aPath))
    , m_descriptor(aDescriptor)
  {
  }

  void WriteAt(std::uint64_t aOffset, std::string_view aBytes) override
  {
    while (!aBytes.empty()) {
      const ssize_t written = ::pwrite(m_descriptor.Value(),
                                       aBytes.data(),
                                       aBytes.size(),
                                       static_cast<off_t>(aOffset));
      if (written < 0 && errno == EINTR) {
        continue;
      }
      if (written < 0) {
        ThrowWriteError("write file");
      }
      aOffset += static_cast<std::uint64_t>(written);
      aBytes.remove_prefix(static_cast<std::size_t>(written));
    }
  }

  void Sync() override
  {
    if (::fdatasync(m_descriptor.Value()) != 0) {
      ThrowWriteError("sync file");
    }
  }

private:
  [[noreturn]] void ThrowWriteError(const std::string& aStep) const
  {
    // Preallocated space does not rule out ENOSPC on every disk. No data is
    // lost if the caller writes the same bytes at the same offset again and
    // syncs them.
    if (errno == ENOSPC || errno == EDQUOT) {
      throw DiskFullError(aStep, m_path, ErrorText(errno));
    }
    throw DiskFailedError(aStep, m_path, ErrorText(errno));
  }

  std::string m_path;
  Descriptor m_descriptor;
};

class PosixFolder : public DiskFolder
{
public:
  explicit PosixFolder(std::string aPath);

  std::vector<std::string> List() override;
  std::string Read(const std::string& aName) override;
  std::unique_ptr<DiskFile> Create(const std::string& aName,
                                   Bytes aSize) override;
  std::unique_ptr<DiskFile> Open(const std::string& aName) override;
  void Rename(const std::string& aFrom, const std::string& aTo) override;
  void Remove(const std::string& aName) override;
  void Sync() override;

private:
  std::string PathOf(const std::string& aName) const
  {
    return m_path + "/" + aName;
  }

  std::string m_path;
  std::unique_ptr<Descriptor> m_lock;
};

PosixFolder::PosixFolder(std::string aPath)
  : m_path(std::move(aPath))
{
  std::error_code error;
  std::filesystem::create_directories(m_path, error);
  if (error) {
    throw DiskFailedError("create folder", m_path, error.message());
  }
  const std::string lock = PathOf(kLockFileName);
  m_lock = std::make_unique<Descriptor>(
    ::open(lock.c_str(), O_RDWR | O_CREAT | O_CLOEXEC, 0600));
  if (m_lock->Value() < 0) {
    throw DiskFailedError("open file", lock, ErrorText(errno));
  }
  if (::flock(m_lock->Value(), LOCK_EX | LOCK_NB) != 0) {
    throw DiskFailedError("lock folder", m_path, "locked by another process");
  }
}

std::vector<std::string>
PosixFolder::List()
{
  std::vector<std::string> names;
  for (const auto& item : std::filesystem::directory_iterator(m_path)) {
    const std::string name = item.path().filename().string();
    if (name != kLockFileName) {
      names.push_back(name);
    }
  }
  std::sort(names.begin(), names.end());
  return names;
}

std::string
PosixFolder::Read(const std::string& aName)
{
  std::ifstream in(PathOf(aName), std::ios::binary);
  std::ostringstream text;
  text << in.rdbuf();
  if (!in || in.bad()) {
    throw DiskFailedError("read file", PathOf(aName), "read failed");
  }
  return text.str();
}

std::unique_ptr<DiskFile>
PosixFolder::Create(const std::string& aName, Bytes aSize)
{
  const std::string path = PathOf(aName);
  const int descriptor =
    ::open(path.c_str(), O_RDWR | O_CREAT | O_TRUNC | O_CLOEXEC, 0600);
  if (descriptor < 0 && errno == ENOSPC) {
    throw DiskFullError("create file", path, ErrorText(ENOSPC));
  }
  if (descriptor < 0) {
    throw DiskFailedError("create file", path, ErrorText(errno));
  }
  auto file = std::make_unique<PosixFile>(path, descriptor);
  const int error =
    aSize.Count() == 0 ? 0 : ::posix_fallocate(descriptor, 0, aSize.Count());
  if (error != 0) {
    ::unlink(path.c_str());
    if (error == ENOSPC) {
      throw DiskFullError("reserve space", path, ErrorText(error));
    }
    throw DiskFailedError("reserve space", path, ErrorText(error));
  }
  return file;
}

std::unique_ptr<DiskFile>
PosixFolder::Open(const std::string& aName)
{
  const std::string path = PathOf(aName);
  const int descriptor = ::open(path.c_str(), O_RDWR | O_CLOEXEC);
  if (descriptor < 0) {
    throw DiskFailedError("open file", path, ErrorText(errno));
  }
  return std::make_unique<PosixFile>(path, descriptor);
}

void
PosixFolder::Rename(const std::string& aFrom, const std::string& aTo)
{
  if (::rename(PathOf(aFrom).c_str(), PathOf(aTo).c_str()) != 0) {
    throw DiskFailedError("rename file", PathOf(aFrom), ErrorText(errno));
  }
}

void
PosixFolder::Remove(const std::string& aName)
{
  if (::unlink(PathOf(aName).c_str()) != 0) {
    throw DiskFailedError("remove file", PathOf(aName), ErrorText(errno));
  }
}

void
PosixFolder::Sync()
{
  const Descriptor folder(
    ::open(m_path.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC));
  if (folder.Value() < 0 || ::fsync(folder.Value()) != 0) {
    throw DiskFailedError("sync folder", m_path, ErrorText(errno));
  }
}

} // namespace

std::unique_ptr<DiskFolder>
OpenDiskFolder(const std::string& aPath)
{
  return std::make_unique<PosixFolder>(aPath);
}

} // namespace fulmarquay
