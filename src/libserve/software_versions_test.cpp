// Tests of RelayFlow before workers with several versions of their software.
#include "relay_test.h"

// Included last because its macros clash with names in other headers.
#include <criterion/criterion.h>

using namespace fulmarquay;
using namespace fulmarquay::testing;

namespace {

/// The software version of the worker of the last call.
std::string
SoftwareOf(const std::vector<WorkerInfo>& aWorkers, const std::string& aId)
{
  for (const WorkerInfo& worker : aWorkers) {
    if (worker.m_id.Value() == aId) {
      return worker.m_software.Value();
    }
  }
  return "";
}

/// Three workers of each of two versions.
std::vector<WorkerInfo>
MixedWorkers()
{
  return {
    Worker("w1", 1, "s1"), Worker("w2", 1, "s2"), Worker("w3", 1, "s1"),
    Worker("w4", 1, "s2"), Worker("w5", 1, "s1"), Worker("w6", 1, "s2")
  };
}

} // namespace

Test(software_versions, a_stream_broken_by_a_crash_goes_on_at_its_version)
{
  constexpr int kStreams = 20;
  for (int i = 0; i < kStreams; ++i) {
    Entry entry;
    entry.SetWorkers(MixedWorkers());
    for (int other = 0; other < i; ++other) {
      entry.SendRequest("/once/x");
    }
    entry.SendRequest("/resumable/x");
    const std::string first = entry.LastWorker();
    entry.Answer(200, "ps", "id: 1\ndata: a\n\n", CallResult::Incomplete);
    cr_assert_neq(entry.LastWorker(), first);
    cr_assert_eq(SoftwareOf(MixedWorkers(), entry.LastWorker()),
                 SoftwareOf(MixedWorkers(), first),
                 "after %s: %s",
                 first.c_str(),
                 entry.LastWorker().c_str());
  }
}

Test(software_versions, a_stream_that_its_caller_resumes_goes_on_at_its_version)
{
  constexpr int kStreams = 20;
  for (int i = 0; i < kStreams; ++i) {
    Entry entry;
    entry.SetWorkers(MixedWorkers());
    for (int other = 0; other < i; ++other) {
      entry.SendRequest("/once/x");
    }
    entry.SendRequest("/resumable/x");
    const std::string first = entry.LastWorker();
    entry.Head(200, "ps");
    entry.Data("id: 1\ndata: a\n\n");
    entry.m_flow.OnCallerDisconnected(CallerId(entry.m_caller));
    entry.CollectEffects();
    std::vector<WorkerInfo> workers = MixedWorkers();
    for (WorkerInfo& worker : workers) {
      worker.m_isLeaving = worker.m_id.Value() == first;
    }
    entry.SetWorkers(workers);
    entry.SendResumedRequest("/resumable/x", 1, entry.LastId());
    cr_assert_eq(SoftwareOf(MixedWorkers(), entry.LastWorker()),
                 SoftwareOf(MixedWorkers(), first),
                 "after %s: %s",
                 first.c_str(),
                 entry.LastWorker().c_str());
  }
}
