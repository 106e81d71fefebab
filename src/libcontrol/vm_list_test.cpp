// Tests of the workers collected from the pages of the VM list.
#include "fulmarquay/control/WorkerDirectory.h"

#include <string>

// Included last because its macros clash with names in other headers.
#include <criterion/criterion.h>

using namespace fulmarquay;

namespace {

WorkerInfo
MakeWorker(const std::string& aId, std::int64_t aVersion)
{
  WorkerInfo worker;
  worker.m_id = WorkerId(aId);
  worker.m_pool = PoolId("p");
  worker.m_address = "10.0.0.1:80";
  worker.m_weights["m"] = aVersion;
  return worker;
}

} // namespace

Test(vm_list, a_worker_listed_twice_is_one_worker)
{
  WorkerInfo newer = MakeWorker("a", 2);
  newer.m_createdMs = 7;
  newer.m_address = "10.0.0.2:80";
  const WorkerInfo older = MakeWorker("a", 1);
  const WorkerInfo other = MakeWorker("b", 1);
  for (const bool isNewerFirst : { true, false }) {
    WorkerDirectory workers;
    workers.AddPage({ { isNewerFirst ? newer : older, other }, "p", 0 });
    workers.AddPage({ { isNewerFirst ? older : newer, other }, "", 0 });
    cr_assert_eq(workers.Workers().size(), 2U);
    cr_assert(workers.Workers()[0] == newer);
  }
}

Test(vm_list, pages_with_new_tokens_without_an_end_are_cut)
{
  WorkerDirectory workers;
  for (int refresh = 0; refresh < 2; ++refresh) {
    workers.BeginRefresh();
    std::size_t pages = 0;
    while (workers.IsRefreshing() && pages <= WorkerDirectory::kMaxPages) {
      ++pages;
      const std::string number = std::to_string(pages);
      workers.AddPage({ { MakeWorker("w" + number, 1) }, "p" + number, 0 });
    }
    cr_assert_eq(pages, WorkerDirectory::kMaxPages);
    cr_assert(workers.IsCut());
    cr_assert_eq(workers.Workers().size(), WorkerDirectory::kMaxPages);
  }
  workers.BeginRefresh();
  cr_assert(workers.AddPage({ { MakeWorker("a", 1) }, "", 0 }));
  cr_assert_not(workers.IsCut() || workers.IsRefreshing());
  cr_assert_eq(workers.Workers().size(), 1U);
}
