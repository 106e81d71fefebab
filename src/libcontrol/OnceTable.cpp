#include "fulmarquay/control/OnceTable.h"

#include <algorithm>

namespace fulmarquay {

namespace {

BeginOnceResult
MakeResult(OnceVerdict aVerdict)
{
  BeginOnceResult result;
  result.m_verdict = static_cast<std::uint8_t>(aVerdict);
  return result;
}

} // namespace

BeginOnceResult
OnceTable::Begin(const BeginOnceCommand& aCommand)
{
  const auto it = m_records.find(aCommand.m_key);
  if (it == m_records.end()) {
    OnceRecord record;
    record.m_key = aCommand.m_key;
    record.m_digest = aCommand.m_digest;
    record.m_service = aCommand.m_service;
    record.m_entry = aCommand.m_entry;
    record.m_boot = aCommand.m_boot;
    record.m_attempt = aCommand.m_attempt;
    record.m_touchedUs = aCommand.m_wallUs;
    Insert(std::move(record));
    return MakeResult(OnceVerdict::Run);
  }
  OnceRecord& record = it->second;
  if (record.m_digest != aCommand.m_digest) {
    return MakeResult(OnceVerdict::Mismatch);
  }
  Touch(record, aCommand.m_wallUs);
  if (record.State() == OnceState::Completed) {
    BeginOnceResult result = MakeResult(OnceVerdict::Completed);
    result.m_answer = record.m_answer;
    return result;
  }
  if (record.State() == OnceState::Unknown) {
    return MakeResult(OnceVerdict::Unknown);
  }
  const bool isResend =
    record.m_boot == aCommand.m_boot && record.m_attempt == aCommand.m_attempt;
  return MakeResult(isResend ? OnceVerdict::Run : OnceVerdict::Running);
}

bool
OnceTable::Finish(const FinishOnceCommand& aCommand)
{
  const auto it = m_records.find(aCommand.m_key);
  if (it == m_records.end()) {
    return false;
  }
  OnceRecord& record = it->second;
  const bool isOwner =
    record.m_boot == aCommand.m_boot && record.m_attempt == aCommand.m_attempt;
  if (!isOwner || record.State() == OnceState::Completed) {
    return false;
  }
  const auto outcome = static_cast<OnceOutcome>(aCommand.m_outcome);
  // An unknown call accepts only an answer: a late NotRun may have been sent
  // before the outcome that made the call unknown.
  if (outcome == OnceOutcome::NotRun && record.State() != OnceState::Intent) {
    return false;
  }
  RemoveRunning(record);
  if (outcome == OnceOutcome::NotRun) {
    m_byTouch.erase({ record.m_touchedUs, record.m_key });
    m_records.erase(it);
    return true;
  }
  Touch(record, aCommand.m_wallUs);
  if (outcome == OnceOutcome::Answered) {
    record.m_state = static_cast<std::uint8_t>(OnceState::Completed);
    record.m_answer = aCommand.m_answer;
  } else {
    record.m_state = static_cast<std::uint8_t>(OnceState::Unknown);
  }
  return true;
}

std::vector<OnceKey>
OnceTable::MarkEntryLost(const MarkEntryLostCommand& aCommand)
{
  std::vector<OnceKey> lost;
  const auto entry = m_running.find(aCommand.m_entry);
  if (entry == m_running.end()) {
    return lost;
  }
  for (const auto& [boot, keys] : entry->second) {
    if (boot != aCommand.m_liveBoot) {
      lost.insert(lost.end(), keys.begin(), keys.end());
    }
  }
  for (const OnceKey& key : lost) {
    OnceRecord& record = m_records.at(key);
    RemoveRunning(record);
    record.m_state = static_cast<std::uint8_t>(OnceState::Unknown);
  }
  return lost;
}

std::size_t
OnceTable::Prune(const PruneOnceCommand& aCommand)
{
  std::size_t count = 0;
  for (auto it = m_byTouch.begin();
       it != m_byTouch.end() && it->first < aCommand.m_beforeWallUs;) {
    const auto record = m_records.find(it->second);
    if (record->second.State() == OnceState::Intent) {
      ++it;
      continue;
    }
    m_records.erase(record);
    it = m_byTouch.erase(it);
    ++count;
  }
  return count;
}

const OnceRecord*
OnceTable::Find(const OnceKey& aKey) const
{
  const auto it = m_records.find(aKey);
  return it == m_records.end() ? nullptr : &it->second;
}

std::vector<OnceRecord>
OnceTable::Records() const
{
  std::vector<OnceRecord> records;
  records.reserve(m_records.size());
  for (const auto& [key, record] : m_records) {
    records.push_back(record);
  }
  return records;
}

void
OnceTable::Restore(std::vector<OnceRecord> aRecords)
{
  m_records.clear();
  m_byTouch.clear();
  m_running.clear();
  for (OnceRecord& record : aRecords) {
    Insert(std::move(record));
  }
}

void
OnceTable::Insert(OnceRecord aRecord)
{
  m_byTouch.emplace(aRecord.m_touchedUs, aRecord.m_key);
  if (aRecord.State() == OnceState::Intent) {
    m_running[aRecord.m_entry][aRecord.m_boot].insert(aRecord.m_key);
  }
  OnceKey key = aRecord.m_key;
  m_records.emplace(std::move(key), std::move(aRecord));
}

void
OnceTable::Touch(OnceRecord& aRecord, std::int64_t aWallUs)
{
  // The wall clocks of successive leaders differ; the record's time must not go
  // back.
  const std::int64_t touched = std::max(aRecord.m_touchedUs, aWallUs);
  m_byTouch.erase({ aRecord.m_touchedUs, aRecord.m_key });
  aRecord.m_touchedUs = touched;
  m_byTouch.emplace(touched, aRecord.m_key);
}

void
OnceTable::RemoveRunning(const OnceRecord& aRecord)
{
  const auto entry = m_running.find(aRecord.m_entry);
  if (entry == m_running.end()) {
    return;
  }
  const auto boot = entry->second.find(aRecord.m_boot);
  if (boot == entry->second.end()) {
    return;
  }
  boot->second.erase(aRecord.m_key);
  if (boot->second.empty()) {
    entry->second.erase(boot);
  }
  if (entry->second.empty()) {
    m_running.erase(entry);
  }
}

} // namespace fulmarquay
