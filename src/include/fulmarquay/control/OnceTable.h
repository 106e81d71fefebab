#ifndef FULMARQUAY_CONTROL_ONCETABLE_H
#define FULMARQUAY_CONTROL_ONCETABLE_H

#include "fulmarquay/control/ControlCommands.h"

#include <cstddef>
#include <map>
#include <set>
#include <utility>
#include <vector>

namespace fulmarquay {

/// One once-only call, as the control group remembers it.
struct OnceRecord
{
  OnceKey m_key;
  std::string m_digest;
  ServiceId m_service;
  VmId m_entry;
  BootId m_boot;
  std::uint64_t m_attempt = 0;
  std::uint8_t m_state = 0;
  OnceAnswer m_answer;
  std::int64_t m_touchedUs = 0; ///< last begin or end, wall clock
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
/// Right of sending is given at most once for each key, whatever the order of
/// repeats, lost answers and lost entries.
class OnceTable
{
public:
  BeginOnceResult Begin(const BeginOnceCommand& aCommand);

  /// Whether the record ended by this command.
  bool Finish(const FinishOnceCommand& aCommand);

  /// The keys whose calls became unknown.
  std::vector<OnceKey> LoseEntry(const LoseEntryCommand& aCommand);

  /// How many ended records were removed.
  std::size_t Prune(const PruneOnceCommand& aCommand);

  const OnceRecord* Find(const OnceKey& aKey) const;
  std::size_t Size() const { return m_records.size(); }

  /// Entries with calls under way, by VM and boot.
  const std::map<VmId, std::map<BootId, std::set<OnceKey>>>& Running() const
  {
    return m_running;
  }

  std::vector<OnceRecord> Records() const;
  void Restore(std::vector<OnceRecord> aRecords);

private:
  void Insert(OnceRecord aRecord);
  void Touch(OnceRecord& aRecord, std::int64_t aWallUs);
  void EndRunning(const OnceRecord& aRecord);

  std::map<OnceKey, OnceRecord> m_records;
  std::set<std::pair<std::int64_t, OnceKey>> m_byTouch;
  std::map<VmId, std::map<BootId, std::set<OnceKey>>> m_running;
};

} // namespace fulmarquay

#endif
