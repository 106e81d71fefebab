#include "fake_disk_test.h"

#include "fulmarquay/consensus/LogStore.h"
#include "fulmarquay/consensus/Replica.h"
#include "fulmarquay/consensus/ReplicaEffects.h"
#include "fulmarquay/core/Digest.h"

#include <algorithm>
#include <cstdlib>
#include <filesystem>
#include <random>
#include <unistd.h>

// Last: its macros clash with names in other headers.
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
  batch.m_hard = HardState{ Term(aTerm), ReplicaId(aIndex) };
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

/// The last index that a recovery of the disk finds; 0 for none.
std::uint64_t
RecoverLast(FakeDisk& aDisk)
{
  LogStore store(aDisk);
  const RecoveredState state = store.TakeRecovered();
  return state.m_entries.empty() ? state.m_snapshot.m_index.Value()
                                 : state.m_entries.back().m_index.Value();
}

/// What a failed recovery says; empty when it succeeds.
std::string
RecoveryError(FakeDisk& aDisk)
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
  cr_assert_eq(state.m_hard.m_vote, ReplicaId(5));
  cr_assert_eq(store.Identity().m_replica, ReplicaId(7));
}

Test(log_store, batches_that_wait_together_share_one_write)
{
  FakeDisk disk;
  Format(disk);
  LogStore store(disk);
  store.Append({ MakeBatch(1) });
  const int before = disk.Writes();
  store.Append({ MakeBatch(2), MakeBatch(3), MakeBatch(4) });
  cr_assert_eq(disk.Writes(), before + 1);
}

Test(log_store, a_torn_last_write_is_cut_off_at_every_length)
{
  // The same batch torn after each number of its bytes.
  for (std::size_t torn = 0; torn < 90; ++torn) {
    FakeDisk disk;
    Format(disk);
    {
      LogStore store(disk);
      store.Append({ MakeBatch(1) });
      store.Append({ MakeBatch(2) });
      disk.SetFailSync(true);
      cr_assert_throw(store.Append({ MakeBatch(3, 1, 60) }), DiskFailedError);
      disk.SetFailSync(false);
    }
    disk.Crash(torn);
    const std::uint64_t last = RecoverLast(disk);
    cr_assert(last == 2 || last == 3, "torn at %zu", torn);
    cr_assert(torn > 70 || last == 2, "torn at %zu", torn);
    // The repaired log takes new batches, and they survive.
    {
      LogStore store(disk);
      store.Append({ MakeBatch(last + 1) });
    }
    disk.Crash();
    cr_assert_eq(RecoverLast(disk), last + 1);
  }
}

Test(log_store, damage_before_the_last_record_is_refused_and_named)
{
  FakeDisk disk;
  Format(disk);
  {
    LogStore store(disk);
    for (std::uint64_t i = 1; i <= 5; ++i) {
      store.Append({ MakeBatch(i) });
    }
  }
  disk.Damage(kFirstSegment, 100);
  const std::string error = RecoveryError(disk);
  cr_assert_neq(error.find(kFirstSegment), std::string::npos);
  cr_assert_neq(error.find("damaged at offset"), std::string::npos);
}

Test(log_store, damage_anywhere_is_never_read_as_data)
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
    disk.Damage(kFirstSegment, random() % used);
    // Either refused, or (in the last record) taken for a torn write.
    if (RecoveryError(disk).empty()) {
      cr_assert_eq(RecoverLast(disk), 9U);
    }
  }
}

Test(log_store, damaged_identity_and_snapshot_are_refused)
{
  for (const std::string name : { "identity", "snapshot-" }) {
    FakeDisk disk;
    Format(disk);
    const std::string file = name == "identity" ? name : name + HexOf(0);
    disk.Damage(file, 13);
    cr_assert_neq(RecoveryError(disk).find(file), std::string::npos);
  }
}

Test(log_store, a_full_disk_refuses_before_the_log_is_damaged)
{
  FakeDisk disk;
  Format(disk);
  LogStore store(disk);
  store.Append({ MakeBatch(1) });
  disk.SetRoom(1000);
  std::uint64_t next = 2;
  try {
    for (;; ++next) {
      store.Append({ MakeBatch(next, 1, 64U << 10U) });
    }
  } catch (const DiskFullError&) {
  }
  cr_assert_gt(next, 10U);
  // Room again: the refused batch goes in, and nothing was lost.
  disk.SetRoom(64LL << 20U);
  store.Append({ MakeBatch(next, 1, 64U << 10U) });
  disk.Crash();
  cr_assert_eq(RecoverLast(disk), next);
}

Test(log_store, a_disk_that_refuses_writes_for_a_while_loses_nothing)
{
  FakeDisk disk;
  Format(disk);
  LogStore store(disk);
  for (std::uint64_t i = 1; i <= 20; ++i) {
    disk.SetRefuses(true);
    cr_assert_throw(store.Append({ MakeBatch(i) }), DiskFullError);
    disk.SetRefuses(false);
    store.Append({ MakeBatch(i) });
  }
  disk.Crash();
  cr_assert_eq(RecoverLast(disk), 20U);
}

Test(disk_folder, a_write_without_room_is_told_from_a_failure)
{
  char path[] = "/tmp/fulmarquay-full-XXXXXX";
  const std::string folder = ::mkdtemp(path);
  // A file of the system that takes no byte.
  cr_assert_eq(::symlink("/dev/full", (folder + "/log").c_str()), 0);
  {
    const auto disk = OpenDiskFolder(folder);
    const auto file = disk->Open("log");
    cr_assert_throw(file->WriteAt(0, "bytes"), DiskFullError);
  }
  std::filesystem::remove_all(folder);
}

Test(log_store, entries_replace_later_ones)
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
    install.m_hard = HardState{ Term(9), ReplicaId(3) };
    install.m_snapshot = MakeSnapshot(100, 8);
    store.Install(install);
    store.Append({ MakeBatch(101, 9) });
  }
  disk.Crash();
  LogStore store(disk);
  const RecoveredState state = store.TakeRecovered();
  cr_assert_eq(state.m_hard.m_term, Term(9));
  cr_assert_eq(state.m_snapshot.m_index, LogIndex(100));
  cr_assert_eq(state.m_entries.size(), 1U);
}

Test(log_store, an_unfinished_format_is_done_again)
{
  FakeDisk disk;
  Format(disk);
  disk.Remove("identity");
  disk.Sync();
  cr_assert_not(LogStore::IsFormatted(disk));
  Format(disk);
  cr_assert(LogStore::IsFormatted(disk));
  cr_assert_eq(RecoverLast(disk), 0U);
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

/// Reports every disk write of some effects as synced.
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

/// Makes replica 1 of three the leader of term 1.
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

Test(replica, a_single_voter_leads_by_itself)
{
  Replica replica = MakeReplica(1, 1);
  SyncAll(replica, At(1000), replica.Reduce(At(1000), ReplicaTick{}));
  cr_assert_eq(replica.Role(), ReplicaRole::Leader);
  cr_assert(replica.HoldsLease(At(1001)));
}

Test(replica, vote_is_answered_after_its_sync_only)
{
  Replica replica = MakeReplica(1, 3);
  const auto effects = replica.Reduce(At(2000), From(2, 1, VoteRequest{}));
  cr_assert_eq(CountSent<VoteReply>(effects), 0U);
  cr_assert_eq(CountSent<VoteReply>(replica.Reduce(At(2001), DiskSynced{ 1 })),
               0U);
  cr_assert_eq(CountSent<VoteReply>(replica.Reduce(At(2001), DiskSynced{ 2 })),
               1U);
}

Test(replica, a_follower_that_hears_its_leader_ignores_elections)
{
  Replica replica = MakeReplica(1, 3);
  replica.Reduce(At(1000), From(3, 1, AppendRequest{}));
  const auto effects = replica.Reduce(At(1100), From(2, 9, VoteRequest{}));
  cr_assert(effects.empty());
  cr_assert_eq(replica.CurrentTerm(), Term(1));
}

Test(replica, a_restarted_replica_takes_part_after_the_lease_only)
{
  // It can't know whether it heard a leader just before its restart.
  Replica replica = MakeReplica(1, 3);
  cr_assert(replica.Reduce(At(100), From(2, 9, VoteRequest{})).empty());
  cr_assert_not(replica.Reduce(At(500), From(2, 9, VoteRequest{})).empty());
}

Test(replica, the_lease_ends_before_another_can_be_elected)
{
  Replica replica = MakeReplica(1, 3);
  Elect(replica);
  cr_assert_eq(replica.Role(), ReplicaRole::Leader);
  replica.Reduce(At(1100), ReplicaTick{});
  AppendReply reply;
  reply.m_isAccepted = true;
  reply.m_index = LogIndex(1);
  replica.Reduce(At(1101), From(2, 1, reply));
  replica.Reduce(At(1101), From(2, 1, RoundReply{ 2 }));
  cr_assert(replica.HoldsLease(At(1102)));
  // Follower 2 may vote from 1100 + 400 on, by its clock.
  cr_assert_not(replica.HoldsLease(At(1100 + 381)));
  // A freeze does not lengthen it.
  replica.Reduce(At(5000), ReplicaTick{});
  cr_assert_not(replica.HoldsLease(At(5000)));
  cr_assert_eq(replica.Role(), ReplicaRole::Follower);
}

Test(replica, messages_survive_their_encoding)
{
  AppendRequest request;
  request.m_prevIndex = LogIndex(4);
  request.m_entries = { MakeEntry(5, 2, "x") };
  const ConsensusMessage sent{ ReplicaId(1), ReplicaId(2), Term(3), request };
  const ConsensusMessage got = UnpackConsensus(PackConsensus(sent));
  cr_assert_eq(got.m_term, Term(3));
  const auto& body = std::get<AppendRequest>(got.m_body);
  cr_assert_eq(body.m_entries.at(0).m_payload, "x");
}

Test(replica, damaged_messages_are_refused_not_believed)
{
  std::mt19937_64 random(3);
  const ConsensusMessage sent{
    ReplicaId(1), ReplicaId(2), Term(3), VoteRequest{}
  };
  const std::string good = PackConsensus(sent);
  for (int i = 0; i < 20'000; ++i) {
    std::string bytes = good.substr(0, random() % (good.size() + 1));
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
