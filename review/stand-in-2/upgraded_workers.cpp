// Workers are upgraded in place, one after the other: each ends, starts again
// under its id with new software, falls over once soon after its start, and is
// back. The platform's list lags by max-lag-ms.
//
// Each event names the software of the worker that made it. The callers look
// for streams that hold events of two versions.
#include "fleet.h"

using namespace review;

namespace {

constexpr int kWorkers = 7;
constexpr int kUpgraded = 4;
constexpr int kLagMs = 800; ///< max-lag-ms of the sheet's settings
constexpr int kDownMs = 300;
constexpr int kUpMs = 1300; ///< from the start with new software to its crash
constexpr int kEvents = 30;
constexpr int kEventMs = 60;
constexpr int kIntervalMs = 120; ///< between two requests of all callers
constexpr int kMaxMixed = 2;     ///< the rule speaks of more than two streams

const char* const kRoutes =
  R"({"version":1,"routes":[{"name":"r1","host":"app.example","path-prefix":"/model/","kind":"streaming","timeout-ms":8000,"target-latency-ms":400,"priority":0,"backend":"llm","attempts":2,"allow-anonymous":true,"sticky":true,"resumable":true,"target-gap-ms":300}],"backends":[{"name":"llm","health-check":"/healthz","max-connections":360,"protocol":"h1","tls":false,"engine":{"slots":64,"kv-capacity":110983,"kv-token-bytes":131072,"link-mbps":260000.0,"moves":true,"backups":true,"managed":true,"stride":5,"max-in-flight":12,"pin-ms":4000.0,"hold-ms":2000.0,"handle_s":5.0,"models":[{"name":"m"}]}}],"limits":{"max-header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":3000,"idle-timeout-ms":15000}})";

/// One process of a worker.
class Engine
{
public:
  Engine(std::string aId, std::string aVersion, const Address& aListen)
    : m_id(std::move(aId))
    , m_version(std::move(aVersion))
    , m_server(aListen, [this](const Message& aRequest, Stream& aStream) {
      Answer(aRequest, aStream);
    })
  {
  }
  void Stop()
  {
    m_isEnding = true;
    m_server.Stop();
  }

private:
  void Answer(const Message& aRequest, Stream& aStream)
  {
    const std::string id = aRequest.Header("Request-Id");
    Headers headers = { { "Request-Id", id }, { "Keep-Alive", "timeout=5" } };
    if (aRequest.Header("Expect-Instance") != m_id) {
      aStream.Write(EncodeAnswer(421, headers, ""));
      return;
    }
    const std::string after = aRequest.Header("Last-Event-Id");
    int next = after.empty() ? 0 : std::atoi(after.c_str()) + 1;
    Record::Line("%s %s runs %s from event %d",
                 m_id.c_str(),
                 m_version.c_str(),
                 id.c_str(),
                 next);
    SleepMs(10);
    std::string head = "HTTP/1.1 200 OK\r\nRequest-Id: " + id +
                       "\r\nResponse-Signature: " + m_id + "." + id +
                       "\r\nContent-Type: text/event-stream\r\nKeep-Alive: "
                       "timeout=5\r\nWeight-Versions: 1\r\nTransfer-Encoding: "
                       "chunked\r\n\r\n";
    if (!aStream.Write(head)) {
      return;
    }
    for (; next < kEvents && !m_isEnding; ++next) {
      const std::string event = "id: " + std::to_string(next) +
                                "\ndata: " + m_version + " " +
                                std::to_string(next) + "\n\n";
      char size[16];
      std::snprintf(size, sizeof(size), "%zx\r\n", event.size());
      if (!aStream.Write(size + event + "\r\n")) {
        return;
      }
      SleepMs(kEventMs);
    }
    if (!m_isEnding) {
      aStream.Write("0\r\n\r\n");
    }
  }

  std::string m_id;
  std::string m_version;
  std::atomic<bool> m_isEnding{ false };
  Server m_server;
};

struct Counts
{
  std::atomic<int> m_sent{ 0 };
  std::atomic<int> m_whole{ 0 };
  std::atomic<int> m_broken{ 0 };
  std::atomic<int> m_refused{ 0 };
  std::atomic<int> m_mixed{ 0 };
};

void
Ask(const Address& aEntry, int aNumber, Counts& aCounts)
{
  const std::string id = "q" + std::to_string(aNumber);
  ++aCounts.m_sent;
  Message answer;
  Stream stream;
  const bool isSent =
    stream.Connect(aEntry, 1000) &&
    stream.Write(
      EncodeRequest("POST",
                    "/model/x",
                    { { "Host", "app.example" },
                      { "Request-Id", id },
                      { "Model", "m" },
                      { "Token-Usage", "460,30" },
                      { "Prompt-Prefix",
                        "5c1e07a2:200,e4" + std::to_string(aNumber) + ":250" },
                      { "Deadline-Ms", "8000" } },
                    "prompt"));
  const bool isWhole = isSent && stream.Read(answer, SteadyMs() + 8000, true);
  const bool isSuccess = answer.Status() == 200;
  const bool hasOld = answer.m_body.find("data: v1 ") != std::string::npos;
  const bool hasNew = answer.m_body.find("data: v2 ") != std::string::npos;
  ++(isWhole && isSuccess ? aCounts.m_whole
     : isWhole            ? aCounts.m_refused
                          : aCounts.m_broken);
  if (hasOld && hasNew) {
    ++aCounts.m_mixed;
    std::string versions;
    for (std::size_t at = answer.m_body.find("data: v");
         at != std::string::npos;
         at = answer.m_body.find("data: v", at + 1)) {
      versions += answer.m_body[at + 7];
    }
    Record::Line(
      "%s got events of two versions: %s", id.c_str(), versions.c_str());
  }
}

} // namespace

int
main(int, char** aWords)
{
  RaiseDescriptors();
  Record::Open(aWords[2]);
  const bool hasTrouble = HasTrouble();
  Fleet fleet(aWords[1], 3, 2);
  std::vector<std::unique_ptr<Engine>> engines;
  std::vector<Instance> instances;
  const auto idOf = [](int aWorker) { return "i-" + std::to_string(aWorker); };
  for (int i = 0; i < kWorkers; ++i) {
    engines.push_back(
      std::make_unique<Engine>(idOf(i), "v1", fleet.WorkerAddress(0, i)));
    Instance instance;
    instance.m_id = idOf(i);
    instance.m_backend = "llm";
    instance.m_address = fleet.WorkerAddress(0, i).Text();
    instance.m_born = UnixMs();
    instance.m_models = R"([{"name":"m","version":1,"adapters":[]}])";
    instances.push_back(instance);
  }
  fleet.List().Set(instances);
  fleet.Start();
  if (fleet.Order("/-/config/put", kRoutes, 15000) != 200 ||
      !fleet.AwaitReady(15000)) {
    Finish(fleet, kNotRun);
  }
  Counts counts;
  std::atomic<bool> isOver{ false };
  std::atomic<int> running{ 0 };
  std::thread callers([&] {
    for (int i = 0; !isOver; ++i) {
      ++running;
      std::thread([&, i] {
        Ask(fleet.Front(i % 2), i, counts);
        --running;
      }).detach();
      SleepMs(kIntervalMs);
    }
  });
  SleepMs(3000);
  const auto start = [&](int aWorker) {
    engines[aWorker] = std::make_unique<Engine>(
      idOf(aWorker), "v2", fleet.WorkerAddress(0, aWorker));
    instances[aWorker].m_version = "v2";
    instances[aWorker].m_born = UnixMs();
    Record::Line("%s starts with software v2", idOf(aWorker).c_str());
    std::thread([&fleet, list = instances] {
      SleepMs(kLagMs);
      fleet.List().Set(list);
    }).detach();
  };
  for (int i = 0; i < kUpgraded; ++i) {
    if (hasTrouble) {
      Record::Line("%s ends", idOf(i).c_str());
      engines[i]->Stop();
      SleepMs(kDownMs);
      start(i);
      SleepMs(kUpMs);
      Record::Line("%s falls over", idOf(i).c_str());
      engines[i]->Stop();
      SleepMs(kDownMs);
      start(i);
    }
    SleepMs(7000);
  }
  isOver = true;
  callers.join();
  while (running > 0) {
    SleepMs(10);
  }
  Record::Line("%d streams sent: %d whole, %d broken off, %d refused; %d hold "
               "events of two versions",
               counts.m_sent.load(),
               counts.m_whole.load(),
               counts.m_broken.load(),
               counts.m_refused.load(),
               counts.m_mixed.load());
  if (counts.m_whole == 0) {
    Finish(fleet, kNotRun);
  }
  Finish(fleet, counts.m_mixed > kMaxMixed ? kBroken : kHeld);
}
