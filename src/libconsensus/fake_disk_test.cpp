#include "fake_disk_test.h"

#include <algorithm>

namespace fulmarquay::testing {

class FakeFile : public DiskFile
{
public:
  FakeFile(FakeDisk& aDisk, FakeDisk::ContentPtr aContent)
    : m_disk(aDisk)
    , m_content(std::move(aContent))
  {
  }

  void WriteAt(std::uint64_t aOffset, std::string_view aBytes) override
  {
    if (m_disk.m_isOutOfSpace) {
      throw DiskFullError("write file", "", "no space left");
    }
    m_disk.CountOperation();
    ++m_disk.m_writes;
    std::string& current = m_content->m_current;
    current.resize(std::max(current.size(), aOffset + aBytes.size()), '\0');
    current.replace(aOffset, aBytes.size(), aBytes);
    m_content->m_lastOffset = aOffset;
    m_content->m_lastWrite = aBytes;
  }

  void Sync() override
  {
    if (m_disk.m_isSyncFailing) {
      throw DiskFailedError("sync file", "fake", "I/O error");
    }
    m_disk.CountOperation();
    m_content->m_synced = m_content->m_current;
    m_content->m_lastWrite.clear();
  }

private:
  FakeDisk& m_disk;
  FakeDisk::ContentPtr m_content;
};

void
FakeDisk::Crash(std::size_t aTornBytes)
{
  m_names = m_syncedNames;
  for (auto& [name, content] : m_names) {
    const std::string tornBytes = content->m_lastWrite.substr(0, aTornBytes);
    const std::uint64_t offset = content->m_lastOffset;
    std::string current = content->m_synced;
    if (!tornBytes.empty()) {
      current.resize(std::max(current.size(), offset + tornBytes.size()), '\0');
      current.replace(offset, tornBytes.size(), tornBytes);
    }
    content->m_current = current;
    content->m_synced = current;
    content->m_lastWrite.clear();
  }
}

void
FakeDisk::LosePower(std::mt19937_64& aRandom)
{
  std::map<std::string, ContentPtr> names;
  for (const auto* from : { &m_names, &m_syncedNames }) {
    for (const auto& [name, content] : *from) {
      const auto& source = aRandom() % 2 == 0 ? m_names : m_syncedNames;
      const auto kept = source.find(name);
      if (kept != source.end()) {
        names[name] = kept->second;
      }
    }
  }
  m_names = names;
  m_syncedNames = names;
  const std::size_t tornBytes[] = { 0, aRandom() % 64, SIZE_MAX };
  Crash(tornBytes[aRandom() % 3]);
  m_operationsLeft = INT_MAX;
}

void
FakeDisk::CountOperation()
{
  if (m_operationsLeft <= 0) {
    m_operationsLeft = -1;
    throw DiskFailedError("use disk", "fake", "no power");
  }
  --m_operationsLeft;
}

void
FakeDisk::CorruptByte(const std::string& aName, std::size_t aOffset)
{
  m_names.at(aName)->m_current[aOffset] ^= 0x40;
  m_names.at(aName)->m_synced[aOffset] ^= 0x40;
}

std::size_t
FakeDisk::SizeOf(const std::string& aName) const
{
  return m_names.at(aName)->m_current.size();
}

std::vector<std::string>
FakeDisk::List()
{
  std::vector<std::string> names;
  for (const auto& [name, content] : m_names) {
    names.push_back(name);
  }
  return names;
}

std::string
FakeDisk::Read(const std::string& aName)
{
  return m_names.at(aName)->m_current;
}

std::unique_ptr<DiskFile>
FakeDisk::Create(const std::string& aName, Bytes aSize)
{
  const bool isFull = !m_fullPrefix.empty() && aName.starts_with(m_fullPrefix);
  if (isFull || aSize.Count() > m_freeBytes) {
    throw DiskFullError("reserve space", aName, "no space left");
  }
  CountOperation();
  m_freeBytes -= aSize.Count();
  auto content = std::make_shared<Content>();
  content->m_current.assign(static_cast<std::size_t>(aSize.Count()), '\0');
  content->m_synced = content->m_current;
  m_names[aName] = content;
  return std::make_unique<FakeFile>(*this, content);
}

std::unique_ptr<DiskFile>
FakeDisk::Open(const std::string& aName)
{
  return std::make_unique<FakeFile>(*this, m_names.at(aName));
}

void
FakeDisk::Rename(const std::string& aFrom, const std::string& aTo)
{
  CountOperation();
  m_names[aTo] = m_names.at(aFrom);
  m_names.erase(aFrom);
}

void
FakeDisk::Remove(const std::string& aName)
{
  CountOperation();
  m_names.erase(aName);
}

void
FakeDisk::Sync()
{
  if (m_isSyncFailing) {
    throw DiskFailedError("sync folder", "fake", "I/O error");
  }
  CountOperation();
  m_syncedNames = m_names;
}

} // namespace fulmarquay::testing
