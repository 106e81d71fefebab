#include "fulmarquay/consensus/ReplicaLog.h"

#include "fulmarquay/core/Error.h"

#include <utility>

namespace fulmarquay {

ReplicaLog::ReplicaLog(RecoveredState aState)
  : m_base(std::move(aState.m_snapshot))
{
  for (LogEntry& entry : aState.m_entries) {
    if (entry.m_index > m_base.m_index) {
      Append(std::move(entry));
    }
  }
}

LogIndex
ReplicaLog::LastIndex() const
{
  return m_entries.empty() ? m_base.m_index : m_entries.back().m_index;
}

Term
ReplicaLog::LastTerm() const
{
  return m_entries.empty() ? m_base.m_term : m_entries.back().m_term;
}

bool
ReplicaLog::HasTermAt(LogIndex aIndex) const
{
  return aIndex >= m_base.m_index && aIndex <= LastIndex();
}

Term
ReplicaLog::TermAt(LogIndex aIndex) const
{
  return aIndex == m_base.m_index ? m_base.m_term : At(aIndex).m_term;
}

const LogEntry&
ReplicaLog::At(LogIndex aIndex) const
{
  if (aIndex <= m_base.m_index || aIndex > LastIndex()) {
    throw Error(
      "read replica log", "", "no index " + std::to_string(aIndex.Value()));
  }
  return m_entries[aIndex.Value() - m_base.m_index.Value() - 1];
}

void
ReplicaLog::Append(LogEntry aEntry)
{
  if (aEntry.m_index != Next(LastIndex())) {
    throw Error("append to replica log",
                "",
                "gap before index " + std::to_string(aEntry.m_index.Value()));
  }
  m_entries.push_back(std::move(aEntry));
}

void
ReplicaLog::TruncateFrom(LogIndex aIndex)
{
  while (!m_entries.empty() && m_entries.back().m_index >= aIndex) {
    m_entries.pop_back();
  }
}

std::vector<LogEntry>
ReplicaLog::Slice(LogIndex aFrom, std::size_t aSoftLimitBytes) const
{
  std::vector<LogEntry> entries;
  std::size_t bytes = 0;
  for (LogIndex i = aFrom; i <= LastIndex() && bytes < aSoftLimitBytes;
       i = Next(i)) {
    entries.push_back(At(i));
    bytes += entries.back().m_payload.size() + 1;
  }
  return entries;
}

void
ReplicaLog::Compact(Snapshot aSnapshot)
{
  if (aSnapshot.m_index <= m_base.m_index) {
    return;
  }
  while (!m_entries.empty() && m_entries.front().m_index <= aSnapshot.m_index) {
    m_entries.pop_front();
  }
  m_base = std::move(aSnapshot);
}

void
ReplicaLog::Reset(Snapshot aSnapshot)
{
  m_entries.clear();
  m_base = std::move(aSnapshot);
}

Membership
ReplicaLog::MembershipAt(LogIndex aIndex) const
{
  const LogIndex index = MembershipIndex(aIndex);
  if (index == LogIndex(0)) {
    return m_base.m_membership;
  }
  return Unpack<Membership>(At(index).m_payload);
}

LogIndex
ReplicaLog::MembershipIndex(LogIndex aIndex) const
{
  for (auto entry = m_entries.rbegin(); entry != m_entries.rend(); ++entry) {
    const bool isInRange = entry->m_index <= aIndex;
    if (isInRange && entry->Kind() == EntryKind::Membership) {
      return entry->m_index;
    }
  }
  return LogIndex(0);
}

} // namespace fulmarquay
