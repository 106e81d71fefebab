#include "fake_disk_test.h"

#include "fulmarquay/consensus/LogStore.h"
#include "fulmarquay/consensus/Replica.h"
#include "fulmarquay/consensus/ReplicaEffects.h"
#include "fulmarquay/core/Digest.h"

#include <algorithm>
#include <cstdlib>
#include <filesystem>
#include <functional>
#include <random>
#include <unistd.h>

// Included last because its macros clash with names in other headers.
#include <criterion/criterion.h>

using namespace fulmarquay;
using namespace fulmarquay::testing;

namespace {

const std::string kFirstSegment = "log-" + HexOf(1);

LogEntry
MakeEntry(std::uint64_t aIndex, std::uint64_t aTerm, std::string aPayload)
{
  LogEntry entry;
  entry.m_index = LogIndex(aIndex);
  entry.m_term = Term(aTerm);
  entry.m_kind = static_cast<std::uint8_t>(EntryKind::Command);
  entry.m_payload = std::move(aPayload);
  return entry;
}

PersistBatch
MakeBatch(std::uint64_t aIndex,
          std::uint64_t aTerm = 1,
          std::size_t aBytes = 20)
{
  PersistBatch batch;
  batch.m_number = aIndex;
  batch.m_hardState = HardState{ Term(aTerm), ReplicaId(aIndex) };
  batch.m_entries = { MakeEntry(
    aIndex, aTerm, std::string(aBytes, static_cast<char>('a' + aIndex % 26))) };
  return batch;
}

void
Format(FakeDisk& aDisk)
{
  DiskIdentity identity;
  identity.m_replica = ReplicaId(7);
  identity.m_vm = "vm1";
  LogStore::Format(aDisk, identity, Snapshot());
}

/// The last log index that a recovery of the disk finds; 0 if there is none.
std::uint64_t
RecoverLastIndex(FakeDisk& aDisk)
{
  LogStore store(aDisk);
  const RecoveredState state = store.TakeRecovered();
  return state.m_entries.empty() ? state.m_snapshot.m_index.Value()
                                 : state.m_entries.back().m_index.Value();
}

/// The message of a failed recovery; empty if the recovery succeeds.
std::string
RecoveryErrorMessage(FakeDisk& aDisk)
{
  try {
    LogStore store(aDisk);
    return "";
  } catch (const DiskFailedError& e) {
    return e.what();
  }
}

Snapshot
MakeSnapshot(std::uint64_t aIndex, std::uint64_t aTerm)
{
  Snapshot snapshot;
  snapshot.m_index = LogIndex(aIndex);
  snapshot.m_term = Term(aTerm);
  snapshot.m_data = "state";
  return snapshot;
}

} // namespace

Test(log_store, synced_batches_survive_a_crash)
{
  FakeDisk disk;
  Format(disk);
  {
    LogStore store(disk);
    for (std::uint64_t i = 1; i <= 5; ++i) {
      store.Append({ MakeBatch(i) });
    }
  }
  disk.Crash();
  LogStore store(disk);
  const RecoveredState state = store.TakeRecovered();
  cr_assert_eq(state.m_entries.size(), 5U);
  cr_assert_eq(state.m_hardState.m_vote, ReplicaId(5));
  cr_assert_eq(store.Identity().m_replica, ReplicaId(7));
}

Test(log_store, batches_of_one_append_share_one_write)
{
  FakeDisk disk;
  Format(disk);
  LogStore store(disk);
  store.Append({ MakeBatch(1) });
  const int before = disk.Writes();
  store.Append({ MakeBatch(2), MakeBatch(3), MakeBatch(4) });
  cr_assert_eq(disk.Writes(), before + 1);
}

Test(log_store, torn_last_write_is_truncated_at_every_length)
{
  // The same batch, torn after each possible number of bytes.
  for (std::size_t tornBytes = 0; tornBytes < 90; ++tornBytes) {
    FakeDisk disk;
    Format(disk);
    {
      LogStore store(disk);
      store.Append({ MakeBatch(1) });
      store.Append({ MakeBatch(2) });
      disk.SetSyncFailing(true);
      cr_assert_throw(store.Append({ MakeBatch(3, 1, 60) }), DiskFailedError);
      disk.SetSyncFailing(false);
    }
    disk.Crash(tornBytes);
    const std::uint64_t last = RecoverLastIndex(disk);
    cr_assert(last == 2 || last == 3, "torn at %zu", tornBytes);
    cr_assert(tornBytes > 70 || last == 2, "torn at %zu", tornBytes);
    // The repaired log accepts new batches, and they survive a crash.
    {
      LogStore store(disk);
      store.Append({ MakeBatch(last + 1) });
    }
    disk.Crash();
    cr_assert_eq(RecoverLastIndex(disk), last + 1);
  }
}

Test(log_store,
     damage_before_the_last_record_fails_recovery_with_file_and_offset)
{
  FakeDisk disk;
  Format(disk);
  {
    LogStore store(disk);
    for (std::uint64_t i = 1; i <= 5; ++i) {
      store.Append({ MakeBatch(i) });
    }
  }
  disk.CorruptByte(kFirstSegment, 100);
  const std::string error = RecoveryErrorMessage(disk);
  cr_assert_neq(error.find(kFirstSegment), std::string::npos);
  cr_assert_neq(error.find("damaged at offset"), std::string::npos);
}

Test(log_store, corrupted_byte_is_never_read_as_data)
{
  std::mt19937_64 random(1);
  for (int i = 0; i < 200; ++i) {
    FakeDisk disk;
    Format(disk);
    std::uint64_t used = 0;
    {
      LogStore store(disk);
      for (std::uint64_t n = 1; n <= 10; ++n) {
        store.Append({ MakeBatch(n) });
      }
      used = store.LogBytes();
    }
    disk.CorruptByte(kFirstSegment, random() % used);
    // Recovery fails, or treats damage in the last record as a torn write.
    if (RecoveryErrorMessage(disk).empty()) {
      cr_assert_eq(RecoverLastIndex(disk), 9U);
    }
  }
}

Test(log_store, damaged_identity_or_snapshot_fails_recovery)
{
  for (const std::string name : { "identity", "snapshot-" }) {
    FakeDisk disk;
    Format(disk);
    const std::string file = name == "identity" ? name : name + HexOf(0);
    disk.CorruptByte(file, 13);
    cr_assert_neq(RecoveryErrorMessage(disk).find(file), std::string::npos);
  }
}

Test(log_store, full_disk_rejects_append_without_damage_to_the_log)
{
  FakeDisk disk;
  Format(disk);
  LogStore store(disk);
  store.Append({ MakeBatch(1) });
  disk.SetFreeSpace(1000);
  std::uint64_t next = 2;
  try {
    for (;; ++next) {
      store.Append({ MakeBatch(next, 1, 64U << 10U) });
    }
  } catch (const DiskFullError&) {
  }
  cr_assert_gt(next, 10U);
  // With free space again, the rejected batch is appended and nothing is lost.
  disk.SetFreeSpace(64LL << 20U);
  store.Append({ MakeBatch(next, 1, 64U << 10U) });
  disk.Crash();
  cr_assert_eq(RecoverLastIndex(disk), next);
}

Test(log_store, append_can_be_repeated_after_disk_full_error)
{
  FakeDisk disk;
  Format(disk);
  LogStore store(disk);
  for (std::uint64_t i = 1; i <= 20; ++i) {
    disk.SetOutOfSpace(true);
    cr_assert_throw(store.Append({ MakeBatch(i) }), DiskFullError);
    disk.SetOutOfSpace(false);
    store.Append({ MakeBatch(i) });
  }
  disk.Crash();
  cr_assert_eq(RecoverLastIndex(disk), 20U);
}

Test(log_store, install_that_is_repeated_on_a_full_disk_takes_one_segment)
{
  FakeDisk disk;
  Format(disk);
  LogStore store(disk);
  store.Append({ MakeBatch(1) });
  const std::size_t before = disk.List().size();
  PersistSnapshot install;
  install.m_snapshot.m_index = LogIndex(9);
  install.m_snapshot.m_term = Term(1);
  install.m_snapshot.m_membership.m_voters = { { ReplicaId(1), "vm1", "a" } };
  install.m_hardState.m_term = Term(1);
  disk.SetFullFor("temporary");
  for (int i = 0; i < 10; ++i) {
    cr_assert_throw(store.Install(install), DiskFullError);
  }
  cr_assert_leq(disk.List().size(), before + 1);
  disk.SetFullFor("");
  store.Install(install);
  cr_assert_leq(disk.List().size(), before);
  store.Append({ MakeBatch(10) });
  disk.Crash();
  cr_assert_eq(RecoverLastIndex(disk), 10U);
}

Test(disk_folder, write_without_free_space_throws_disk_full_error)
{
  char path[] = "/tmp/fulmarquay-full-XXXXXX";
  const std::string folder = ::mkdtemp(path);
  // Every write to /dev/full fails with ENOSPC.
  cr_assert_eq(::symlink("/dev/full", (folder + "/log").c_str()), 0);
  {
    const auto disk = OpenDiskFolder(folder);
    const auto file = disk->Open("log");
    cr_assert_throw(file->WriteAt(0, "bytes"), DiskFullError);
  }
  std::filesystem::remove_all(folder);
}

Test(log_store, appended_entry_replaces_entries_from_its_index_on)
{
  FakeDisk disk;
  Format(disk);
  {
    LogStore store(disk);
    for (std::uint64_t i = 1; i <= 5; ++i) {
      store.Append({ MakeBatch(i) });
    }
    store.Append({ MakeBatch(3, 2) });
  }
  disk.Crash();
  LogStore store(disk);
  const RecoveredState state = store.TakeRecovered();
  cr_assert_eq(state.m_entries.size(), 3U);
  cr_assert_eq(state.m_entries.back().m_term, Term(2));
}

Test(log_store, a_snapshot_removes_the_segments_that_it_covers)
{
  FakeDisk disk;
  Format(disk);
  {
    LogStore store(disk);
    for (std::uint64_t i = 1; i <= 200; ++i) {
      store.Append({ MakeBatch(i, 1, 128U << 10U) });
    }
    const std::uint64_t before = store.LogBytes();
    store.SaveSnapshot(MakeSnapshot(150, 1));
    cr_assert_lt(store.LogBytes() * 2, before);
  }
  disk.Crash();
  LogStore store(disk);
  const RecoveredState state = store.TakeRecovered();
  cr_assert_eq(state.m_snapshot.m_index, LogIndex(150));
  cr_assert_eq(state.m_entries.size(), 50U);
  cr_assert_eq(state.m_entries.front().m_index, LogIndex(151));
}

Test(log_store, an_installed_snapshot_replaces_the_log)
{
  FakeDisk disk;
  Format(disk);
  {
    LogStore store(disk);
    for (std::uint64_t i = 1; i <= 20; ++i) {
      store.Append({ MakeBatch(i) });
    }
    PersistSnapshot install;
    install.m_hardState = HardState{ Term(9), ReplicaId(3) };
    install.m_snapshot = MakeSnapshot(100, 8);
    store.Install(install);
    store.Append({ MakeBatch(101, 9) });
  }
  disk.Crash();
  LogStore store(disk);
  const RecoveredState state = store.TakeRecovered();
  cr_assert_eq(state.m_hardState.m_term, Term(9));
  cr_assert_eq(state.m_snapshot.m_index, LogIndex(100));
  cr_assert_eq(state.m_entries.size(), 1U);
}

namespace {

constexpr std::size_t kHalfSegment = LogStore::kSegmentBytes / 2 + 1;

/// Runs aWrite on a store; false if the disk failed on the way.
bool
TryWrite(FakeDisk& aDisk, const std::function<void(LogStore&)>& aWrite)
{
  LogStore store(aDisk);
  try {
    aWrite(store);
    return true;
  } catch (const DiskFailedError&) {
    return false;
  }
}

} // namespace

Test(log_store, power_lost_while_a_segment_starts_costs_no_vote)
{
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    bool isWritten = false;
    for (int operations = 0; !isWritten; ++operations) {
      std::mt19937_64 random(seed);
      FakeDisk disk;
      Format(disk);
      PersistBatch second = MakeBatch(2, 7, kHalfSegment);
      second.m_hardState.reset();
      {
        LogStore store(disk);
        store.Append({ MakeBatch(1, 7, kHalfSegment) });
      }
      disk.FailAfter(operations);
      isWritten =
        TryWrite(disk, [&](LogStore& aStore) { aStore.Append({ second }); });
      disk.LosePower(random);
      TryWrite(disk, [&](LogStore& aStore) {
        if (seed % 2 == 0) {
          aStore.Append({ second });
        }
        aStore.SaveSnapshot(MakeSnapshot(1 + (seed + 1) % 2, 7));
      });
      disk.LosePower(random);
      LogStore store(disk);
      const HardState state = store.TakeRecovered().m_hardState;
      cr_assert_eq(state.m_term, Term(7), "after %d operations", operations);
      cr_assert_eq(state.m_vote, ReplicaId(1));
    }
  }
}

Test(log_store, power_lost_while_a_snapshot_is_installed_leaves_a_whole_log)
{
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    bool isWritten = false;
    for (int operations = 0; !isWritten; ++operations) {
      std::mt19937_64 random(seed);
      FakeDisk disk;
      Format(disk);
      {
        LogStore store(disk);
        for (std::uint64_t i = 1; i <= 6; ++i) {
          store.Append({ MakeBatch(i, 3, kHalfSegment) });
        }
      }
      PersistSnapshot install;
      install.m_hardState = HardState{ Term(9), ReplicaId(3) };
      install.m_snapshot = MakeSnapshot(100, 8);
      disk.FailAfter(operations);
      isWritten =
        TryWrite(disk, [&](LogStore& aStore) { aStore.Install(install); });
      disk.LosePower(random);
      const std::uint64_t last = RecoverLastIndex(disk);
      cr_assert(last == 100 || (last == 6 && !isWritten),
                "%d operations, last %d",
                operations,
                static_cast<int>(last));
      // The leader sends the snapshot again.
      cr_assert(
        TryWrite(disk, [&](LogStore& aStore) { aStore.Install(install); }));
      disk.LosePower(random);
      LogStore store(disk);
      cr_assert_eq(store.TakeRecovered().m_hardState, install.m_hardState);
      cr_assert_eq(RecoverLastIndex(disk), 100U);
    }
  }
}

Test(log_store, incomplete_format_is_repeated)
{
  FakeDisk disk;
  Format(disk);
  disk.Remove("identity");
  disk.Sync();
  cr_assert_not(LogStore::IsFormatted(disk));
  Format(disk);
  cr_assert(LogStore::IsFormatted(disk));
  cr_assert_eq(RecoverLastIndex(disk), 0U);
}

namespace {

TimePoint
At(std::int64_t aMillis)
{
  return TimePoint(Duration(1'000'000'000 + aMillis * 1000));
}

RecoveredState
GroupOf(std::size_t aVoters)
{
  RecoveredState state;
  for (std::size_t i = 1; i <= aVoters; ++i) {
    state.m_snapshot.m_membership.m_voters.push_back(
      { ReplicaId(i), "vm" + std::to_string(i), "" });
  }
  return state;
}

Replica
MakeReplica(std::uint64_t aId, std::size_t aVoters)
{
  ReplicaOptions options;
  options.m_self = { ReplicaId(aId), "vm" + std::to_string(aId), "" };
  return Replica(std::move(options), GroupOf(aVoters), At(0));
}

ReplicaEvent
From(std::uint64_t aFrom, std::uint64_t aTerm, ConsensusBody aBody)
{
  return ConsensusReceived{
    { ReplicaId(aFrom), ReplicaId(1), Term(aTerm), std::move(aBody) }
  };
}

/// Reports DiskSynced for every PersistBatch, also of the resulting effects.
void
SyncAll(Replica& aReplica, TimePoint aNow, const ReplicaEffects& aEffects)
{
  for (const ReplicaEffect& effect : aEffects) {
    if (const auto* batch = std::get_if<PersistBatch>(&effect)) {
      SyncAll(
        aReplica, aNow, aReplica.Reduce(aNow, DiskSynced{ batch->m_number }));
    }
  }
}

template<typename Body>
std::size_t
CountSent(const ReplicaEffects& aEffects)
{
  return static_cast<std::size_t>(
    std::count_if(aEffects.begin(), aEffects.end(), [](const auto& aEffect) {
      const auto* send = std::get_if<SendConsensus>(&aEffect);
      return send != nullptr &&
             std::holds_alternative<Body>(send->m_message.m_body);
    }));
}

/// Elects replica 1 of three voters as leader of term 1.
void
Elect(Replica& aReplica)
{
  aReplica.Reduce(At(1000), ReplicaTick{});
  aReplica.Reduce(At(1001), From(2, 0, VoteReply{ true, true }));
  const auto effects =
    aReplica.Reduce(At(1001), From(3, 0, VoteReply{ true, true }));
  SyncAll(aReplica, At(1002), effects);
  SyncAll(aReplica, At(1002), aReplica.Reduce(At(1002), DiskSynced{ 1 }));
  SyncAll(aReplica,
          At(1003),
          aReplica.Reduce(At(1003), From(2, 1, VoteReply{ true, false })));
}

} // namespace

Test(replica, single_voter_elects_itself)
{
  Replica replica = MakeReplica(1, 1);
  SyncAll(replica, At(1000), replica.Reduce(At(1000), ReplicaTick{}));
  cr_assert_eq(replica.Role(), ReplicaRole::Leader);
  cr_assert(replica.HoldsLease(At(1001)));
}

Test(replica, vote_reply_is_sent_only_after_sync)
{
  Replica replica = MakeReplica(1, 3);
  const auto effects = replica.Reduce(At(2000), From(2, 1, VoteRequest{}));
  cr_assert_eq(CountSent<VoteReply>(effects), 0U);
  cr_assert_eq(CountSent<VoteReply>(replica.Reduce(At(2001), DiskSynced{ 1 })),
               0U);
  cr_assert_eq(CountSent<VoteReply>(replica.Reduce(At(2001), DiskSynced{ 2 })),
               1U);
}

Test(replica, follower_with_recent_leader_contact_ignores_vote_requests)
{
  Replica replica = MakeReplica(1, 3);
  replica.Reduce(At(1000), From(3, 1, AppendRequest{}));
  const auto effects = replica.Reduce(At(1100), From(2, 9, VoteRequest{}));
  cr_assert(effects.empty());
  cr_assert_eq(replica.CurrentTerm(), Term(1));
}

Test(replica, restarted_replica_ignores_vote_requests_until_lease_expiry)
{
  // It may have acknowledged a heartbeat, and so a lease, just before its
  // restart.
  Replica replica = MakeReplica(1, 3);
  cr_assert(replica.Reduce(At(100), From(2, 9, VoteRequest{})).empty());
  cr_assert_not(replica.Reduce(At(500), From(2, 9, VoteRequest{})).empty());
}

Test(replica, lease_expires_before_another_leader_can_be_elected)
{
  Replica replica = MakeReplica(1, 3);
  Elect(replica);
  cr_assert_eq(replica.Role(), ReplicaRole::Leader);
  replica.Reduce(At(1100), ReplicaTick{});
  AppendReply reply;
  reply.m_isAccepted = true;
  reply.m_index = LogIndex(1);
  replica.Reduce(At(1101), From(2, 1, reply));
  replica.Reduce(At(1101), From(2, 1, HeartbeatAck{ 2 }));
  cr_assert(replica.HoldsLease(At(1102)));
  // Follower 2 may vote from 1100 + 400 ms on, by its clock.
  cr_assert_not(replica.HoldsLease(At(1100 + 381)));
  // A pause of the process does not extend the lease.
  replica.Reduce(At(5000), ReplicaTick{});
  cr_assert_not(replica.HoldsLease(At(5000)));
  cr_assert_eq(replica.Role(), ReplicaRole::Follower);
}

Test(replica, replica_without_a_vote_forgets_a_leader_that_it_lost)
{
  const Membership others = GroupOf(4).m_snapshot.m_membership;
  for (const bool isLearner : { true, false }) {
    RecoveredState state;
    state.m_snapshot.m_membership.m_voters = { others.m_voters.begin() + 1,
                                               others.m_voters.end() };
    ReplicaOptions options;
    options.m_self = others.m_voters.front();
    if (isLearner) {
      state.m_snapshot.m_membership.m_learners = { options.m_self };
    }
    Replica replica(options, state, At(0));
    replica.Reduce(At(100), From(2, 1, AppendRequest()));
    replica.Reduce(At(490), ReplicaTick{});
    cr_assert_eq(replica.Leader(), ReplicaId(2));
    replica.Reduce(At(901), ReplicaTick{});
    cr_assert_eq(replica.Leader(), ReplicaId(0));
    cr_assert_eq(replica.CurrentTerm(), Term(1));
    replica.Reduce(At(910), From(3, 2, AppendRequest()));
    cr_assert_eq(replica.Leader(), ReplicaId(3));
  }
}

Test(replica, message_encoding_round_trips)
{
  AppendRequest request;
  request.m_prevIndex = LogIndex(4);
  request.m_entries = { MakeEntry(5, 2, "x") };
  const ConsensusMessage original{
    ReplicaId(1), ReplicaId(2), Term(3), request
  };
  const ConsensusMessage decoded = UnpackConsensus(PackConsensus(original));
  cr_assert_eq(decoded.m_term, Term(3));
  const auto& body = std::get<AppendRequest>(decoded.m_body);
  cr_assert_eq(body.m_entries.at(0).m_payload, "x");
}

Test(replica, corrupted_messages_decode_or_throw_error)
{
  std::mt19937_64 random(3);
  const ConsensusMessage original{
    ReplicaId(1), ReplicaId(2), Term(3), VoteRequest{}
  };
  const std::string encoded = PackConsensus(original);
  for (int i = 0; i < 20'000; ++i) {
    std::string bytes = encoded.substr(0, random() % (encoded.size() + 1));
    for (int n = 0; n < 3 && !bytes.empty(); ++n) {
      bytes[random() % bytes.size()] = static_cast<char>(random());
    }
    try {
      UnpackConsensus(bytes);
    } catch (const Error&) {
      continue;
    }
  }
}

namespace {

/// Messages of a build without feature levels.
struct OldHeartbeatAck
{
  std::uint64_t m_round = 0;
  MSGPACK_DEFINE(m_round)
};
struct OldAppendRequest
{
  LogIndex m_prevIndex;
  Term m_prevTerm;
  LogIndex m_commit;
  std::uint64_t m_round = 0;
  std::vector<LogEntry> m_entries;
  MSGPACK_DEFINE(m_prevIndex, m_prevTerm, m_commit, m_round, m_entries)
};

} // namespace

// Guards against messages that builds without feature levels can't read, and
// against a level that is assumed for such a build.
Test(messages, feature_levels_are_optional)
{
  const auto ack = Unpack<HeartbeatAck>(Pack(OldHeartbeatAck{ 3 }));
  cr_assert_eq(ack.m_round, 3U);
  cr_assert_eq(ack.m_featureLevel, 0U);
  cr_assert_eq(Unpack<OldHeartbeatAck>(Pack(HeartbeatAck{ 4, 1 })).m_round, 4U);
  AppendRequest request;
  request.m_round = 5;
  request.m_entries.resize(1);
  request.m_featureLevels[ReplicaId(1)] = 1;
  const auto old = Unpack<OldAppendRequest>(Pack(request));
  cr_assert_eq(old.m_round, 5U);
  cr_assert_eq(old.m_entries.size(), 1U);
  cr_assert(Unpack<AppendRequest>(Pack(old)).m_featureLevels.empty());
  cr_assert_eq(Unpack<AppendRequest>(Pack(request)).m_featureLevels,
               request.m_featureLevels);
}
