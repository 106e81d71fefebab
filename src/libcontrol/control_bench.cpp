// Measures the cost of the control state at several sizes and prints one JSON
// line for each size. The first argument is the folder for the recovery runs.
#include "fulmarquay/consensus/LogStore.h"
#include "fulmarquay/consensus/ReplicaEffects.h"
#include "fulmarquay/control/ControlState.h"
#include "fulmarquay/core/Clock.h"
#include "fulmarquay/core/ProcessMemory.h"
#include "fulmarquay/core/Digest.h"
#include "fulmarquay/core/Settings.h"

#include <cstdio>
#include <filesystem>
#include <string>

using namespace fulmarquay;

namespace {

BeginOnceCommand
MakeBegin(std::uint64_t aNumber)
{
  BeginOnceCommand command;
  command.m_key = { AccountId("account" + std::to_string(aNumber % 2300)),
                    "key-" + HexOf(aNumber) };
  command.m_digest = Sha256Hex(std::to_string(aNumber));
  command.m_service = ServiceId("ledger");
  command.m_entry = VmId("entry1");
  command.m_boot = BootId(1);
  command.m_attempt = aNumber;
  command.m_wallUs = static_cast<std::int64_t>(aNumber);
  return command;
}

FinishOnceCommand
MakeFinish(std::uint64_t aNumber)
{
  const BeginOnceCommand begin = MakeBegin(aNumber);
  FinishOnceCommand command;
  command.m_key = begin.m_key;
  command.m_boot = begin.m_boot;
  command.m_attempt = begin.m_attempt;
  command.m_answer = { 200, "application/json", std::string(120, 'r') };
  return command;
}

void
MeasureOnce(std::uint64_t aRecords)
{
  const std::int64_t before = ResidentMemory().Count();
  ControlState state;
  const TimePoint start = MonotonicNow();
  for (std::uint64_t i = 0; i < aRecords; ++i) {
    state.Apply(MakeBegin(i));
    state.Apply(MakeFinish(i));
  }
  const Duration applied = MonotonicNow() - start;
  const auto used = static_cast<long>(ResidentMemory().Count() - before);
  const TimePoint encoding = MonotonicNow();
  const std::size_t bytes = state.Encode().size();
  const Duration encoded = MonotonicNow() - encoding;
  const auto count = static_cast<long>(aRecords);
  std::printf("{\"bench\":\"once_records\",\"records\":%ld,"
              "\"memory_bytes_each\":%ld,\"snapshot_bytes_each\":%ld,"
              "\"apply_us_each\":%.2f,\"snapshot_ms\":%.1f}\n",
              count,
              used / count,
              static_cast<long>(bytes) / count,
              static_cast<double>(applied.count()) / static_cast<double>(count),
              static_cast<double>(encoded.count()) / 1000);
}

void
MeasureConfiguration(int aAccounts)
{
  std::string text = "[deployment]\nname = d\n[model.m]\nweights = w\n";
  for (int i = 0; i < aAccounts; ++i) {
    text += "[account.a" + std::to_string(i) +
            "]\nkey_hash = " + Sha256Hex(std::to_string(i)) + "\n";
  }
  for (int i = 0; i < aAccounts / 4; ++i) {
    text += "[engine.g" + std::to_string(i) + "]\naddress = 10.0." +
            std::to_string(i / 250) + "." + std::to_string(i % 250) +
            ":1\ndata_centre = d" + std::to_string(i % 5) + "\nmodel = m\n";
  }
  const TimePoint start = MonotonicNow();
  const ConfigSections sections = CheckAnswers(text, "f").All();
  const TimePoint checked = MonotonicNow();
  BuildConfiguration(sections);
  const TimePoint built = MonotonicNow();
  ConfigSections other = sections;
  other["deployment"]["name"] = "e";
  const ConfigDelta delta = MakeDelta(sections, other);
  const TimePoint compared = MonotonicNow();
  std::printf("{\"bench\":\"configuration\",\"accounts\":%d,\"engines\":%d,"
              "\"bytes\":%zu,\"check_ms\":%.1f,\"build_ms\":%.1f,"
              "\"delta_ms\":%.1f,\"delta_bytes\":%zu}\n",
              aAccounts,
              aAccounts / 4,
              RenderAnswers(sections).size(),
              static_cast<double>((checked - start).count()) / 1000,
              static_cast<double>((built - checked).count()) / 1000,
              static_cast<double>((compared - built).count()) / 1000,
              Pack(delta).size());
}

/// Writes aChanges changes, with snapshots at the interval of the default
/// settings, then measures the time of a recovery.
void
MeasureRecovery(const std::string& aFolder, std::uint64_t aChanges)
{
  constexpr std::uint64_t kSnapshotIntervalEntries = 20'000;
  constexpr std::uint64_t kBatchEntries = 50;
  std::filesystem::remove_all(aFolder);
  const auto folder = OpenDiskFolder(aFolder);
  LogStore::Format(*folder, DiskIdentity{ ReplicaId(1), "vm" }, Snapshot());
  {
    LogStore store(*folder);
    ControlState state;
    for (std::uint64_t i = 1; i <= aChanges; i += kBatchEntries) {
      PersistBatch batch;
      for (std::uint64_t n = i; n < i + kBatchEntries; ++n) {
        const BeginOnceCommand begin = MakeBegin(n);
        state.Apply(begin);
        LogEntry entry;
        entry.m_index = LogIndex(n);
        entry.m_term = Term(1);
        entry.m_kind = static_cast<std::uint8_t>(EntryKind::Command);
        entry.m_payload = PackMessage(ControlCommand(begin));
        batch.m_entries.push_back(std::move(entry));
      }
      store.Append({ batch });
      const std::uint64_t last = i + kBatchEntries - 1;
      if (last % kSnapshotIntervalEntries == 0) {
        Snapshot snapshot;
        snapshot.m_index = LogIndex(last);
        snapshot.m_term = Term(1);
        snapshot.m_data = state.Encode();
        store.SaveSnapshot(snapshot);
      }
    }
  }
  const TimePoint start = MonotonicNow();
  LogStore store(*folder);
  const RecoveredState recovered = store.TakeRecovered();
  ControlState state;
  if (!recovered.m_snapshot.m_data.empty()) {
    state.Decode(recovered.m_snapshot.m_data);
  }
  const Duration time = MonotonicNow() - start;
  std::printf("{\"bench\":\"recovery\",\"changes\":%llu,\"ms\":%.1f,"
              "\"bytes_read\":%llu,\"log_entries\":%zu}\n",
              static_cast<unsigned long long>(aChanges),
              static_cast<double>(time.count()) / 1000,
              static_cast<unsigned long long>(store.Report().m_bytesRead),
              recovered.m_entries.size());
  std::filesystem::remove_all(aFolder);
}

} // namespace

int
main(int aArgumentCount, char** aArguments)
{
  for (const std::uint64_t records : { 1'000U, 10'000U, 100'000U }) {
    MeasureOnce(records);
  }
  for (const int accounts : { 100, 500, 2300 }) {
    MeasureConfiguration(accounts);
  }
  const std::string folder =
    aArgumentCount > 1 ? aArguments[1] : "recovery-bench";
  MeasureRecovery(folder, 1'000);
  MeasureRecovery(folder, 100'000);
  return 0;
}
