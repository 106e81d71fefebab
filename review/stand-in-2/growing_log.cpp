// The configuration has grown to some thousand routes and is changed again and
// again; then all processes of the core are killed at once. As the platform
// does, a process that uses more than memory-mb is killed, and starts again
// after a short delay.
#include "fleet.h"

using namespace review;

namespace {

constexpr int kRoutes = 7000; ///< 20 times big_config, 350 routes each
constexpr int kChanges = 175;
constexpr int kGapMs = 330; ///< gap_s of config_storm
constexpr long kMemoryMb = 256;
constexpr int kAckMs = 4000 + 3 * kRoutes;
constexpr int kDownMs = 1000;
constexpr int kRecoverMs = 12000;
constexpr int kStabilityMs = 3000;

/// A configuration of some routes, the last of which changes with each version.
std::string
Configuration(int aVersion, int aRoutes)
{
  std::string text =
    R"({"version":)" + std::to_string(aVersion) + R"(,"routes":[)";
  for (int i = 0; i < aRoutes; ++i) {
    const bool isLast = i == aRoutes - 1;
    text +=
      std::string(i == 0 ? "" : ",") + R"({"name":"r-)" + std::to_string(i) +
      R"(","host":"nylo40.example","path-prefix":"/p)" + std::to_string(i) +
      R"(/","kind":"safe","timeout-ms":)" +
      std::to_string(isLast ? 1000 + aVersion : 1000) +
      R"(,"target-latency-ms":150,"priority":2,"backend":"app","attempts":2,"allow-anonymous":true,"sticky":false,"resumable":false})";
  }
  return text +
         R"(],"backends":[{"name":"app","health-check":"/healthz","max-connections":100,"protocol":"h1","tls":false}],"limits":{"max-header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":3000,"idle-timeout-ms":15000}})";
}

long
ResidentMb(pid_t aPid)
{
  char line[256];
  long kib = 0;
  std::FILE* file =
    std::fopen(("/proc/" + std::to_string(aPid) + "/status").c_str(), "r");
  while (file != nullptr && std::fgets(line, sizeof(line), file) != nullptr) {
    if (std::strncmp(line, "VmRSS:", 6) == 0) {
      kib = std::atol(line + 6);
    }
  }
  if (file != nullptr) {
    std::fclose(file);
  }
  return kib / 1024;
}

/// The platform's limit of memory, and its restarts.
class Platform
{
public:
  explicit Platform(Fleet& aFleet)
    : m_fleet(aFleet)
    , m_startAt(static_cast<std::size_t>(aFleet.Cores()), 0)
  {
  }
  void Step()
  {
    for (int i = 0; i < m_fleet.Cores(); ++i) {
      std::int64_t& startAt = m_startAt[static_cast<std::size_t>(i)];
      if (startAt != 0 && SteadyMs() >= startAt) {
        m_fleet.StartControl(i);
        startAt = 0;
      }
      const long resident =
        startAt == 0 ? ResidentMb(m_fleet.Control(i).Pid()) : 0;
      m_peakMb = std::max(m_peakMb, resident);
      if (resident > kMemoryMb) {
        ++m_kills;
        Record::Line("core-%d uses %ld MB: killed", i, resident);
        Kill(i, 500);
      }
    }
  }
  void Kill(int aCore, int aDownMs)
  {
    m_fleet.Control(aCore).Signal(SIGKILL);
    m_startAt[static_cast<std::size_t>(aCore)] = SteadyMs() + aDownMs;
  }
  void Run(std::int64_t aUntil)
  {
    while (SteadyMs() < aUntil) {
      Step();
      SleepMs(20);
    }
  }
  int Kills() const { return m_kills; }
  long PeakMb() const { return m_peakMb; }

private:
  Fleet& m_fleet;
  std::vector<std::int64_t> m_startAt;
  int m_kills = 0;
  long m_peakMb = 0;
};

} // namespace

int
main(int, char** aWords)
{
  RaiseDescriptors();
  Record::Open(aWords[2]);
  const int routes = HasTrouble() ? kRoutes : 20;
  Fleet fleet(aWords[1], 3, 1);
  fleet.Start();
  Platform platform(fleet);
  int acknowledged = 0;
  int changes = 0;
  if (fleet.Order("/-/config/put", Configuration(1, routes), 15000) != 200) {
    Finish(fleet, kNotRun);
  }
  acknowledged = 1;
  Record::Line("configuration 1 has %d routes and %zu bytes",
               routes,
               Configuration(1, routes).size());
  const std::int64_t end = SteadyMs() + 75000;
  for (int version = 2; version <= kChanges && SteadyMs() < end; ++version) {
    const std::int64_t next = SteadyMs() + kGapMs;
    const std::string body = Configuration(version, routes);
    std::atomic<int> status{ -1 };
    std::thread order([&] {
      status =
        fleet.Order("/-/config/put",
                    body,
                    std::min<std::int64_t>(
                      kAckMs, std::max<std::int64_t>(1, end - SteadyMs())));
    });
    while (status < 0) {
      platform.Step();
      SleepMs(10);
    }
    order.join();
    if (status == 200) {
      acknowledged = version;
      ++changes;
    }
    Record::Line("configuration %d: %d; at most %ld MB of memory, %d kills",
                 version,
                 status.load(),
                 platform.PeakMb(),
                 platform.Kills());
    platform.Run(next);
  }
  Record::Line(
    "%d changes were acknowledged, the last is %d; all processes of the "
    "core are killed",
    changes,
    acknowledged);
  for (int i = 0; i < fleet.Cores(); ++i) {
    platform.Kill(i, kDownMs);
  }
  platform.Run(SteadyMs() + kDownMs + kRecoverMs);
  const std::int64_t until = SteadyMs() + 2 * kStabilityMs;
  bool isRead = false;
  std::atomic<bool> isOver{ false };
  std::atomic<bool> hasRead{ false };
  std::thread reader([&] {
    while (!isOver && !hasRead) {
      for (int i = 0; i < fleet.Cores(); ++i) {
        const Message answer =
          Call(fleet.ControlAddress(i), "GET", "/-/config/get", {}, "", 1000);
        if (answer.Status() == 200 &&
            std::atoi(answer.m_body.c_str() + std::strlen("{\"version\":")) >=
              acknowledged) {
          hasRead = true;
        }
      }
      SleepMs(50);
    }
  });
  while (SteadyMs() < until && !hasRead) {
    platform.Step();
    SleepMs(20);
  }
  isOver = true;
  reader.join();
  isRead = hasRead;
  Record::Line(
    "configuration %d is read back: %s; at most %ld MB of memory, %d "
    "kills",
    acknowledged,
    isRead ? "yes" : "no",
    platform.PeakMb(),
    platform.Kills());
  Finish(fleet, isRead ? kHeld : kBroken);
}
