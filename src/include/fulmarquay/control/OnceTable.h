#ifndef FULMARQUAY_CONTROL_ONCETABLE_H
#define FULMARQUAY_CONTROL_ONCETABLE_H

#include "fulmarquay/control/ControlCommands.h"

#include <cstddef>
#include <map>
#include <set>
#include <utility>
#include <vector>

namespace fulmarquay {

/// The replicated record of one once-only call.
struct OnceRecord
{
  OnceKey m_key;
  std::string m_digest;
  ServiceId m_service;
  VmId m_entry;
  BootId m_boot;
  std::uint64_t m_attempt = 0;
  std::uint8_t m_state = 0;     ///< an OnceState
  OnceAnswer m_answer;          ///< set for OnceState::Completed
  std::int64_t m_touchedUs = 0; ///< wall clock of the last begin or finish
  MSGPACK_DEFINE(m_key,
                 m_digest,
                 m_service,
                 m_entry,
                 m_boot,
                 m_attempt,
                 m_state,
                 m_answer,
                 m_touchedUs)

  OnceState State() const { return static_cast<OnceState>(m_state); }
};

/// The once-only records: a deterministic part of the control state.
///
/// The right to send a call is granted to at most one attempt of a key at a
/// time, whatever the order of resends, lost replies and lost entries. It is
/// granted again only after OnceOutcome::NotRun or after the record's
/// retention. Not thread-safe.
class OnceTable
{
public:
  /// Grants the right to send, or returns the state of an earlier attempt.
  BeginOnceResult Begin(const BeginOnceCommand& aCommand);

  /// Records an outcome. Returns whether it changed the record; one of another
  /// attempt or of a completed call is ignored.
  bool Finish(const FinishOnceCommand& aCommand);

  /// Marks running calls of other boots of the entry as unknown. Returns their
  /// keys.
  std::vector<OnceKey> MarkEntryLost(const MarkEntryLostCommand& aCommand);

  /// Removes expired records of ended calls. Returns their number.
  std::size_t Prune(const PruneOnceCommand& aCommand);

  /// The record of a key; null if there is none.
  const OnceRecord* Find(const OnceKey& aKey) const;
  std::size_t Size() const { return m_records.size(); }

  /// Keys of the running calls, by VM and boot of their entry.
  const std::map<VmId, std::map<BootId, std::set<OnceKey>>>& RunningCalls()
    const
  {
    return m_running;
  }

  /// All records, for a snapshot.
  std::vector<OnceRecord> Records() const;
  /// Replaces all records by those of a snapshot.
  void Restore(std::vector<OnceRecord> aRecords);

private:
  void Insert(OnceRecord aRecord);
  void Touch(OnceRecord& aRecord, std::int64_t aWallUs);
  void RemoveRunning(const OnceRecord& aRecord);

  std::map<OnceKey, OnceRecord> m_records;
  std::set<std::pair<std::int64_t, OnceKey>> m_byTouch;
  std::map<VmId, std::map<BootId, std::set<OnceKey>>> m_running;
};

} // namespace fulmarquay

#endif
