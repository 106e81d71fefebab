// The workers of a service are replaced one after the other, as in a release;
// an entry runs out of descriptors.
//
// Each second a new worker starts at another address and the oldest one is
// listed as draining; that one serves on for drain-ms and a little longer,
// ends, and closes all its connections. The callers keep their connections.
#include "fleet.h"

using namespace review;

namespace {

constexpr int kWorkers = 18;
constexpr int kSlots = 64;
constexpr int kCallers = 780; ///< 43 for each worker
constexpr int kWorkMs = 2000;
constexpr int kReplaced = 87;
constexpr int kGapMs = 1000; ///< gap_s of `release`
constexpr int kLagMs = 800;  ///< max-lag-ms
constexpr int kDrainMs = 3000;
constexpr int kStabilityMs = 3000;
constexpr int kTrying =
  10; ///< callers on new connections; the rule asks for seven

const char* const kRoutes =
  R"({"version":1,"routes":[{"name":"r1","host":"app.example","path-prefix":"/app/","kind":"safe","timeout-ms":8000,"target-latency-ms":3000,"priority":0,"backend":"app","attempts":2,"allow-anonymous":true}],"backends":[{"name":"app","health-check":"/healthz","max-connections":360,"protocol":"h1","tls":false}],"limits":{"max-header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":3000,"idle-timeout-ms":15000}})";

std::atomic<int> g_run{ 0 };

/// One worker: answers each request after its work, keeps connections for 5 s.
class Worker
{
public:
  Worker(std::string aId, const Address& aListen)
    : m_id(std::move(aId))
    , m_server(
        aListen,
        [this](const Message& aRequest, Stream& aStream) {
          Answer(aRequest, aStream);
        },
        5000)
  {
  }
  void Stop() { m_server.Stop(); }

private:
  void Answer(const Message& aRequest, Stream& aStream)
  {
    const std::string id = aRequest.Header("Request-Id");
    Headers headers = { { "Request-Id", id }, { "Keep-Alive", "timeout=5" } };
    if (aRequest.Header("Expect-Instance") != m_id) {
      aStream.Write(EncodeAnswer(421, headers, ""));
      return;
    }
    Record::Line("%s runs %s", m_id.c_str(), id.c_str());
    ++g_run;
    SleepMs(kWorkMs);
    headers.emplace_back("Response-Signature", m_id + "." + id);
    aStream.Write(EncodeAnswer(200, headers, std::string(800, 'x')));
  }

  std::string m_id;
  Server m_server;
};

struct Outcome
{
  std::atomic<int> m_served{ 0 };
  std::atomic<int> m_refused{ 0 }; ///< an answer of another kind
  std::atomic<int> m_silent{ 0 };  ///< no answer
};

std::string
EncodeAsk(const std::string& aId)
{
  return EncodeRequest("GET",
                       "/app/x",
                       { { "Host", "app.example" },
                         { "Request-Id", aId },
                         { "Deadline-Ms", "8000" } },
                       "");
}

/// A caller that keeps its connection and asks again and again.
void
KeepAsking(const Address& aEntry,
           int aNumber,
           const std::atomic<bool>& aIsOver,
           Outcome& aOutcome)
{
  Stream stream;
  for (int i = 0; !aIsOver; ++i) {
    const std::string id =
      "q" + std::to_string(aNumber) + "-" + std::to_string(i);
    Message answer;
    const bool isAnswered =
      (stream.Fd() >= 0 || stream.Connect(aEntry, 1000)) &&
      stream.Write(EncodeAsk(id)) &&
      stream.Read(answer, SteadyMs() + 9000, true);
    Record::Line("%s is answered %d", id.c_str(), answer.Status());
    if (!isAnswered) {
      stream.Close();
      ++aOutcome.m_silent;
      SleepMs(500);
      continue;
    }
    const bool isServed =
      answer.Status() == 200 && !answer.Header("Response-Signature").empty();
    ++(isServed ? aOutcome.m_served : aOutcome.m_refused);
    if (!isServed) {
      const double pause = std::atof(answer.Header("Retry-After").c_str());
      SleepMs(std::max<std::int64_t>(500, static_cast<int>(pause * 1000)));
    }
  }
}

} // namespace

int
main(int, char** aWords)
{
  Record::Open(aWords[2]);
  // Each caller and each worker's connection takes one here.
  if (RaiseDescriptors() < 6000) {
    Record::Line("this case needs 6,000 descriptors");
    return kNotRun;
  }
  const bool hasTrouble = HasTrouble();
  Bounds bounds;
  Fleet fleet(aWords[1], 3, 1, bounds);
  std::vector<std::unique_ptr<Worker>> workers;
  std::vector<Instance> instances;
  const auto start = [&] {
    const int number = static_cast<int>(workers.size());
    const Address at = fleet.WorkerAddress(number / 200, number % 200);
    const std::string id = "i-" + std::to_string(number);
    workers.push_back(std::make_unique<Worker>(id, at));
    Instance instance;
    instance.m_id = id;
    instance.m_backend = "app";
    instance.m_address = at.Text();
    instance.m_slots = kSlots;
    instance.m_born = UnixMs();
    instances.push_back(instance);
  };
  for (int i = 0; i < kWorkers; ++i) {
    start();
  }
  fleet.List().Set(instances);
  fleet.Start();
  if (fleet.Order("/-/config/put", kRoutes, 15000) != 200 ||
      !fleet.AwaitReady(15000)) {
    Finish(fleet, kNotRun);
  }
  // The platform asks for readiness once a second on a connection that it
  // keeps.
  std::atomic<int> asked{ 0 };
  std::atomic<int> ready{ 0 };
  std::thread([&] {
    Stream stream;
    for (;; SleepMs(1000)) {
      Message answer;
      const std::string request =
        EncodeRequest("GET", "/-/ready", { { "Host", "ready" } }, "");
      const bool isReady =
        (stream.Fd() >= 0 || stream.Connect(fleet.Ready(0), 1000)) &&
        stream.Write(request) && stream.Read(answer, SteadyMs() + 1000, true) &&
        answer.Status() == 200;
      if (!isReady) {
        stream.Close();
      }
      ready += isReady ? 1 : 0;
      ++asked;
    }
  }).detach();
  std::atomic<bool> isOver{ false };
  Outcome outcome;
  for (int i = 0; i < kCallers; ++i) {
    std::thread([&, i] {
      KeepAsking(fleet.Front(0), i, isOver, outcome);
    }).detach();
    SleepMs(3);
  }
  SleepMs(1000);
  const auto report = [&](int aReplaced) {
    Record::Line(
      "REPORT %d workers were replaced, the old ones have closed all "
      "connections; requests: %d served, %d refused, %d without "
      "answer, %d run; edge-za-1 has %d descriptors of %d",
      aReplaced,
      outcome.m_served.load(),
      outcome.m_refused.load(),
      outcome.m_silent.load(),
      g_run.load(),
      fleet.Entry(0).Descriptors(),
      bounds.m_maxFds);
  };
  report(0);
  // The list shows each change kLagMs later.
  const auto show = [&] {
    std::thread([&fleet, list = instances] {
      SleepMs(kLagMs);
      fleet.List().Set(list);
    }).detach();
  };
  std::thread stops;
  for (int i = 0; i < kReplaced; ++i) {
    const std::int64_t next = SteadyMs() + kGapMs;
    if (hasTrouble) {
      start();
      instances[static_cast<std::size_t>(i)].m_isDraining = true;
      show();
      // The one that was listed as draining long enough ago ends.
      const int old = i - (kDrainMs + kLagMs + 1500) / kGapMs;
      if (old >= 0) {
        workers[static_cast<std::size_t>(old)]->Stop();
        Record::Line("i-%d has ended", old);
      }
    }
    if (i % 10 == 9) {
      report(hasTrouble ? i + 1 : 0);
    }
    SleepMs(std::max<std::int64_t>(0, next - SteadyMs()));
  }
  // No disruption from here on.
  SleepMs(kDrainMs + kStabilityMs);
  report(hasTrouble ? kReplaced : 0);
  const int askedBefore = asked;
  const int readyBefore = ready;
  const int runBefore = g_run;
  const std::int64_t begin = SteadyMs();
  Outcome last;
  while (SteadyMs() < begin + kStabilityMs + 500) {
    std::vector<std::thread> tries;
    for (int i = 0; i < kTrying; ++i) {
      tries.emplace_back([&, i] {
        const std::string id =
          "new-" + std::to_string(SteadyMs()) + "-" + std::to_string(i);
        Stream stream;
        Message answer;
        const bool isAnswered =
          stream.Connect(fleet.Front(0), 1000) && stream.Write(EncodeAsk(id)) &&
          stream.Read(answer, SteadyMs() + kWorkMs + 1000, true);
        Record::Line("%s is answered %d", id.c_str(), answer.Status());
        ++(!isAnswered              ? last.m_silent
           : answer.Status() == 200 ? last.m_served
                                    : last.m_refused);
      });
    }
    for (std::thread& each : tries) {
      each.join();
    }
  }
  const int questions = asked - askedBefore;
  const int answers = ready - readyBefore;
  Record::Line(
    "REPORT in %lld ms, %d callers at a time on new connections: %d "
    "served, %d refused, %d not taken; workers ran %d requests; ready "
    "in %d of %d answers; edge-za-1 has %d descriptors of %d",
    static_cast<long long>(SteadyMs() - begin),
    kTrying,
    last.m_served.load(),
    last.m_refused.load(),
    last.m_silent.load(),
    g_run - runBefore,
    answers,
    questions,
    fleet.Entry(0).Descriptors(),
    bounds.m_maxFds);
  const bool isBroken = last.m_served == 0 && last.m_refused == 0 &&
                        answers == questions && questions > 0;
  Finish(fleet, isBroken ? kBroken : kHeld);
}
