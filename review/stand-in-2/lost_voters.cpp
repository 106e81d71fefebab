// A core machine is dark for some seconds; meanwhile another one is removed for
// good and replaced. Once the successor has had its time to catch up, two more
// core machines lose their disks. The dark one comes back with its disk.
//
// The operator reads back what was acknowledged, and callers use their keys.
#include "fleet.h"

using namespace review;

namespace {

constexpr int kCores = 5;
constexpr int kDarkMs =
  7000; ///< for_s of node_kill, "power oldest", on the core
constexpr int kCatchUpMs = 6000;
constexpr int kRecoverMs = 15000;
constexpr int kStabilityMs = 5000;

std::string
Routes(int aVersion)
{
  return R"({"version":)" + std::to_string(aVersion) +
         R"(,"routes":[{"name":"r1","host":"app.example","path-prefix":"/app/","kind":"unsafe","timeout-ms":1000,"target-latency-ms":120,"priority":0,"backend":"app","attempts":1,"allow-anonymous":false}],"backends":[{"name":"app","health-check":"/healthz","max-connections":96,"protocol":"h1","tls":false}],"limits":{"max-header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":3000,"idle-timeout-ms":15000},"tenants":[{"name":"clinic","api-keys":["key-of-clinic"]}]})";
}

/// The core machine that answers a read itself; -1 if none does.
int
LeaderOf(const Fleet& aFleet)
{
  for (int i = 0; i < kCores; ++i) {
    if (Call(aFleet.ControlAddress(i), "GET", "/-/config/get", {}, "", 300)
          .Status() == 200) {
      return i;
    }
  }
  return -1;
}

void
LoseDisk(Fleet& aFleet, int aCore)
{
  Record::Line("core-%d loses its disk and starts again", aCore);
  aFleet.Control(aCore).Signal(SIGKILL);
  aFleet.LoseDisk(aCore);
  aFleet.StartControl(aCore);
}

/// One machine is dark and another one loses its disk. The leader is killed
/// twice, so that none waits long enough to give the one without its disk a
/// vote again. Once that one has had its time to catch up, two more lose their
/// disks.
void
PlayElections(Fleet& aFleet, int aLeader, const std::vector<int>& aOthers)
{
  const std::int64_t begin = SteadyMs();
  const auto until = [&](std::int64_t aMs) {
    SleepMs(std::max<std::int64_t>(0, begin + aMs - SteadyMs()));
  };
  const auto killLeader = [&](int aCore, std::int64_t aBackMs) {
    if (aCore < 0) {
      return;
    }
    Record::Line("core-%d, which leads, is killed, back in 1 s", aCore);
    aFleet.Control(aCore).Signal(SIGKILL);
    until(aBackMs);
    aFleet.StartControl(aCore);
  };
  constexpr std::int64_t kDiskLostMs = 700;
  Record::Line("core-%d is dark for %d ms", aOthers[0], kDarkMs);
  aFleet.Control(aOthers[0]).Signal(SIGKILL);
  until(kDiskLostMs);
  LoseDisk(aFleet, aOthers[1]);
  until(2400);
  killLeader(aLeader, 3400);
  until(5000);
  killLeader(LeaderOf(aFleet), 6000);
  until(kDiskLostMs + kCatchUpMs + 100);
  LoseDisk(aFleet, aOthers[2]);
  LoseDisk(aFleet, aOthers[3]);
  until(kDarkMs);
  Record::Line("core-%d is back with its disk", aOthers[0]);
  aFleet.StartControl(aOthers[0]);
}

} // namespace

int
main(int, char** aWords)
{
  RaiseDescriptors();
  Record::Open(aWords[2]);
  const bool hasTrouble = HasTrouble();
  const char* const variant = std::getenv("TROUBLE");
  // TROUBLE=bright: all of it, but no machine is dark. TROUBLE=elections:
  // another order of events, see PlayElections.
  const bool isDark = variant == nullptr || std::strcmp(variant, "bright") != 0;
  const bool hasElections =
    variant != nullptr && std::strcmp(variant, "elections") == 0;
  Bounds bounds;
  bounds.m_toleratedMachines = 2;
  Fleet fleet(aWords[1], kCores, 2, bounds, 1);
  Server worker(
    fleet.WorkerAddress(0, 0), [&](const Message& aRequest, Stream& aStream) {
      const std::string id = aRequest.Header("Request-Id");
      Record::Line("i-1 runs %s", id.c_str());
      aStream.Write(EncodeAnswer(200,
                                 { { "Request-Id", id },
                                   { "Keep-Alive", "timeout=5" },
                                   { "Response-Signature", "s." + id } },
                                 "answer"));
    });
  Instance instance;
  instance.m_id = "i-1";
  instance.m_backend = "app";
  instance.m_address = fleet.WorkerAddress(0, 0).Text();
  instance.m_born = UnixMs();
  fleet.List().Set({ instance });
  fleet.Start();
  if (fleet.Order("/-/config/put", Routes(1), 15000) != 200 ||
      !fleet.AwaitReady(15000)) {
    Finish(fleet, kNotRun);
  }
  int asked = 0;
  const auto ask = [&](int aCount) {
    int served = 0;
    for (int i = 0; i < aCount; ++i) {
      const std::string id = "q" + std::to_string(asked++);
      const Message answer = Call(fleet.Front(i % 2),
                                  "POST",
                                  "/app/x",
                                  { { "Host", "app.example" },
                                    { "Request-Id", id },
                                    { "Authorization", "Token key-of-clinic" },
                                    { "Deadline-Ms", "1000" },
                                    { "Connection", "close" } },
                                  "body",
                                  1000);
      Record::Line("%s is answered %d", id.c_str(), answer.Status());
      served += answer.Status() == 200 ? 1 : 0;
      SleepMs(20);
    }
    return served;
  };
  // The other core machines have joined the group by now.
  SleepMs(8000);
  const int servedBefore = ask(20);
  const int status = fleet.Order("/-/config/put", Routes(2), 6000);
  Record::Line("configuration 2 is acknowledged: %d; %d of 20 requests served",
               status,
               servedBefore);
  if (status != 200 || servedBefore != 20) {
    Finish(fleet, kNotRun);
  }
  const int leader = LeaderOf(fleet);
  std::vector<int> others;
  for (int i = 0; i < kCores; ++i) {
    if (i != leader) {
      others.push_back(i);
    }
  }
  if (leader < 0) {
    Finish(fleet, kNotRun);
  }
  const int dark = others[0];
  const int removed = others[1];
  Record::Line("core-%d leads", leader);
  if (hasElections) {
    PlayElections(fleet, leader, others);
    SleepMs(kRecoverMs);
  } else if (hasTrouble) {
    const std::int64_t begin = SteadyMs();
    if (isDark) {
      Record::Line("core-%d is dark for %d ms", dark, kDarkMs);
      fleet.Control(dark).Signal(SIGKILL);
    }
    SleepMs(200);
    Record::Line("core-%d is removed for good", removed);
    fleet.Control(removed).Signal(SIGKILL);
    SleepMs(200);
    Record::Line("core-%d starts at a new address with an empty disk", kCores);
    fleet.StartControl(kCores);
    SleepMs(kCatchUpMs + 200);
    LoseDisk(fleet, others[2]);
    LoseDisk(fleet, others[3]);
    SleepMs(std::max<std::int64_t>(0, begin + kDarkMs - SteadyMs()));
    if (isDark) {
      Record::Line("core-%d is back with its disk", dark);
      fleet.StartControl(dark);
    }
    SleepMs(kRecoverMs);
  }
  // All are back for recover-s. The operator reads for the stability window.
  const std::int64_t until = SteadyMs() + 2 * kStabilityMs;
  bool isRead = false;
  int last = 0;
  while (!isRead && SteadyMs() < until) {
    for (int i = 0; i < fleet.Cores() && !isRead; ++i) {
      const Message answer =
        Call(fleet.ControlAddress(i), "GET", "/-/config/get", {}, "", 1000);
      last = answer.Status() == 0 ? last : answer.Status();
      isRead = answer.Status() == 200 &&
               answer.m_body.find("\"version\":2,") != std::string::npos;
    }
    SleepMs(100);
  }
  const int servedAfter = ask(20);
  Record::Line("configuration 2 is read back: %s (last status %d); %d of 20 "
               "requests served",
               isRead ? "yes" : "no",
               last,
               servedAfter);
  Finish(fleet, isRead ? kHeld : kBroken);
}
