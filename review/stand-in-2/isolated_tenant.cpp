// A tenant becomes isolated by a change of the configuration; parts that it
// made before are still shared with the other tenants.
//
// The worker caches parts of prompts under Cache-Salt, as the pages say, and
// remembers the tenant whose request made each part.
#include "fleet.h"

using namespace review;

namespace {

constexpr int kConfigApplyMs = 2000;
constexpr int kRequests = 10;

std::string
Routes(int aVersion, bool aIsIsolated)
{
  return R"({"version":)" + std::to_string(aVersion) +
         R"(,"routes":[{"name":"r1","host":"app.example","path-prefix":"/model/","kind":"streaming","timeout-ms":8000,"target-latency-ms":400,"priority":0,"backend":"llm","attempts":2,"allow-anonymous":false,"sticky":true,"resumable":true,"target-gap-ms":300}],"backends":[{"name":"llm","health-check":"/healthz","max-connections":360,"protocol":"h1","tls":false,"engine":{"slots":64,"kv-capacity":110983,"kv-token-bytes":131072,"link-mbps":260000.0,"moves":true,"backups":true,"managed":true,"stride":5,"max-in-flight":12,"pin-ms":4000.0,"hold-ms":2000.0,"handle_s":5.0,"models":[{"name":"m"}]}}],"limits":{"max-header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":3000,"idle-timeout-ms":15000},"tenants":[{"name":"clinic","api-keys":["key-of-clinic"],"isolated":)" +
         (aIsIsolated ? "true" : "false") +
         R"(},{"name":"depot","api-keys":["key-of-depot"]}]})";
}

/// A worker with a cache of parts.
class Engine
{
public:
  Engine(std::string aId, const Address& aListen)
    : m_id(std::move(aId))
    , m_server(aListen, [this](const Message& aRequest, Stream& aStream) {
      Answer(aRequest, aStream);
    })
  {
  }
  /// The tenant that an isolated tenant's memory is kept from, from now on.
  void SetIsolated(const std::string& aTenant)
  {
    const std::lock_guard lock(m_mutex);
    m_isolated = aTenant;
  }
  int Crossings() const { return m_crossings; }

private:
  void Answer(const Message& aRequest, Stream& aStream)
  {
    if (aRequest.Target() == "/-/report") {
      aStream.Write(EncodeAnswer(
        200,
        { { "Content-Type", "application/json" } },
        R"({"stage":"both","models":[{"name":"m","version":1,"adapters":[]}],"busy":false,"seq":0,"queued":0,"active":0,"kv-used":0,"kv-total":110983,"handles":0})"));
      return;
    }
    const std::string id = aRequest.Header("Request-Id");
    Headers headers = { { "Request-Id", id }, { "Keep-Alive", "timeout=5" } };
    if (aRequest.Header("Expect-Instance") != m_id) {
      aStream.Write(EncodeAnswer(421, headers, ""));
      return;
    }
    Run(aRequest);
    headers.emplace_back("Response-Signature", m_id + "." + id);
    headers.emplace_back("Content-Type", "text/event-stream");
    headers.emplace_back("Weight-Versions", "1");
    aStream.Write(
      EncodeAnswer(200, headers, "id: 0\ndata: a\n\nid: 1\ndata: b\n\n"));
  }
  /// Uses the parts that are cached under the request's salt, reads and caches
  /// the others.
  void Run(const Message& aRequest)
  {
    const std::lock_guard lock(m_mutex);
    const std::string tenant = aRequest.Header("Tenant");
    const std::string salt = aRequest.Header("Cache-Salt");
    std::string text = aRequest.Header("Prompt-Prefix");
    std::string used;
    bool isWhole = true;
    while (!text.empty()) {
      const std::string part = text.substr(0, text.find(':'));
      const auto comma = text.find(',');
      text = comma == std::string::npos ? "" : text.substr(comma + 1);
      const auto [maker, isNew] = m_makers.try_emplace({ salt, part }, tenant);
      isWhole = isWhole && !isNew;
      if (!isWhole) {
        maker->second = isNew ? tenant : maker->second;
        continue;
      }
      used += " " + part + " (made by " + maker->second + ")";
      const bool isCrossing =
        maker->second != tenant &&
        (tenant == m_isolated || maker->second == m_isolated);
      m_crossings += isCrossing ? 1 : 0;
    }
    Record::Line("%s runs %s of tenant %s, salt %s; uses from its cache:%s",
                 m_id.c_str(),
                 aRequest.Header("Request-Id").c_str(),
                 tenant.c_str(),
                 salt.c_str(),
                 used.empty() ? " nothing" : used.c_str());
  }

  std::string m_id;
  std::mutex m_mutex;
  std::string m_isolated;
  std::map<std::pair<std::string, std::string>, std::string> m_makers;
  std::atomic<int> m_crossings{ 0 };
  Server m_server;
};

} // namespace

int
main(int, char** aWords)
{
  RaiseDescriptors();
  Record::Open(aWords[2]);
  const bool hasTrouble = HasTrouble();
  Fleet fleet(aWords[1], 3, 2);
  Engine engine("i-1", fleet.WorkerAddress(0, 0));
  Instance instance;
  instance.m_id = "i-1";
  instance.m_backend = "llm";
  instance.m_address = fleet.WorkerAddress(0, 0).Text();
  instance.m_born = UnixMs();
  instance.m_models = R"([{"name":"m","version":1,"adapters":[]}])";
  fleet.List().Set({ instance });
  fleet.Start();
  // Without the disruption, the tenant is isolated from the start.
  if (fleet.Order("/-/config/put", Routes(1, !hasTrouble), 15000) != 200 ||
      !fleet.AwaitReady(15000)) {
    Finish(fleet, kNotRun);
  }
  if (!hasTrouble) {
    engine.SetIsolated("clinic");
  }
  const auto ask = [&](const std::string& aTenant, int aNumber) {
    const Message answer = Call(
      fleet.Front(aNumber % 2),
      "POST",
      "/model/x",
      { { "Host", "app.example" },
        { "Request-Id", aTenant + "-" + std::to_string(aNumber) },
        { "Authorization", "Token key-of-" + aTenant },
        { "Model", "m" },
        { "Token-Usage", "1460,80" },
        { "Prompt-Prefix",
          "5c1e07a2:800,91bd3f06:410,e44" + std::to_string(aNumber) + ":250" },
        { "Deadline-Ms", "8000" },
        { "Connection", "close" } },
      "prompt",
      8000);
    Record::Line(
      "%s-%d is answered %d", aTenant.c_str(), aNumber, answer.Status());
    return answer.Status() == 200;
  };
  int served = 0;
  for (int i = 0; i < kRequests; ++i) {
    served += ask("clinic", i) ? 1 : 0;
  }
  if (hasTrouble) {
    const int status = fleet.Order("/-/config/put", Routes(2, true), 4000);
    Record::Line("configuration 2 makes clinic isolated: %d", status);
    if (status != 200) {
      Finish(fleet, kNotRun);
    }
    SleepMs(2 * kConfigApplyMs);
    engine.SetIsolated("clinic");
  }
  for (int i = 0; i < kRequests; ++i) {
    served += ask("depot", 100 + i) ? 1 : 0;
  }
  for (int i = 0; i < kRequests; ++i) {
    served += ask("clinic", 200 + i) ? 1 : 0;
  }
  Record::Line("%d of %d requests were served; %d parts crossed the wall",
               served,
               3 * kRequests,
               engine.Crossings());
  if (served < 2 * kRequests) {
    Finish(fleet, kNotRun);
  }
  Finish(fleet, engine.Crossings() > 0 ? kBroken : kHeld);
}
