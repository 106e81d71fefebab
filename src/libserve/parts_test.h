// Entries and a control replica, as reducers in simulated time, against workers
// that crash.
#ifndef FULMARQUAY_LIBSERVE_PARTS_TEST_H
#define FULMARQUAY_LIBSERVE_PARTS_TEST_H

#include "relay_test.h"

#include "fulmarquay/control/ControlNode.h"
#include "fulmarquay/serve/EntryNode.h"

#include <algorithm>
#include <boost/algorithm/string/join.hpp>
#include <boost/algorithm/string/split.hpp>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace fulmarquay::testing {

inline constexpr Duration kNetworkDelay = kMillisecond;
inline constexpr Duration kFirstEventDelay = 100 * kMillisecond;
inline constexpr Duration kRestartDelay = 3'000 * kMillisecond;
/// The contract: prompts with a part that crashes workers are recognized within
/// this time after the fifth crash.
inline constexpr Duration kLearningTime = 3'000 * kMillisecond;
inline constexpr std::size_t kCrashesBeforeLearning = 5;
inline constexpr std::size_t kMaxSentAfterLearning = 3;
inline const std::string kCrashingPart = "crashing";

/// Reads the parts of a prompt from a header and sends them to the worker.
class PartsProtocol : public FakeProtocol
{
public:
  RelayRequest Decode(HttpRequest aRequest) const override
  {
    RelayRequest request = FakeProtocol::Decode(aRequest);
    std::vector<std::string> ids;
    const std::string parts = FindHeader(aRequest.m_headers, "parts");
    boost::algorithm::split(
      ids, parts, [](char aEach) { return aEach == ','; });
    request.m_parts.clear();
    for (const std::string& id : ids) {
      request.m_parts.push_back({ id, 20 });
    }
    request.m_forwardRequest.m_headers = { { "parts", parts } };
    return request;
  }
  HttpRequest Encode(const RelayRequest& aRequest,
                     const DispatchParameters& aParameters) const override
  {
    return { "POST",
             aRequest.m_path,
             { aRequest.m_forwardRequest.m_headers.front(),
               { "worker", aParameters.m_worker } },
             "" };
  }
};

/// Serves a fixed route document and the workers that a test sets.
class ListProtocol : public FleetProtocol
{
public:
  explicit ListProtocol(const std::vector<WorkerInfo>& aWorkers)
    : m_workers(aWorkers)
  {
  }
  HttpRequest ListPage(const std::string&) const override
  {
    return { "GET", "list", {}, "" };
  }
  WorkerPage ParsePage(const std::string&) const override
  {
    return { m_workers, "", 0 };
  }
  HttpRequest Observe() const override { return { "GET", "observe", {}, "" }; }
  EngineObservation ParseObservation(const std::string&,
                                     const std::string&) const override
  {
    return {};
  }
  HttpRequest Load(const LoadOrder&) const override { return {}; }
  OrderOutcome ReadOrderStatus(int) const override
  {
    return OrderOutcome::Failed;
  }
  RouteDocument ParseRoutes(const std::string&) const override
  {
    RouteDocument document;
    document.m_pools["p"].m_engines.m_kvBytesPerToken = 1'000;
    for (const bool isResumable : { false, true }) {
      RouteRule rule = Rule(RetryPolicy::Stream, 2);
      rule.m_prefix = isResumable ? "/resumable/" : "/stream/";
      rule.m_isResumable = isResumable;
      rule.m_hasPrompt = true;
      rule.m_allowsAnonymous = true;
      document.m_routes[rule.m_prefix] = rule;
    }
    return document;
  }

private:
  const std::vector<WorkerInfo>& m_workers;
};

struct FleetSize
{
  std::size_t m_entries = 6;
  std::size_t m_workers = 18;
};

/// Entries, a control replica and workers in simulated time.
class Fleet
{
public:
  explicit Fleet(FleetSize aSize, std::uint64_t aSeed = 1)
    : m_random(aSeed)
    , m_protocol(std::make_shared<PartsProtocol>())
    , m_entries(aSize.m_entries)
  {
    for (std::size_t i = 0; i < aSize.m_workers; ++i) {
      m_workers.push_back(Worker("w" + std::to_string(i), 1));
      m_workers.back().m_address = "10.0.1." + std::to_string(i) + ":80";
      m_isUp.push_back(true);
    }
    m_disk.m_hardState.m_term = Term(1);
    m_disk.m_snapshot.m_membership.m_voters = { Self() };
    Commit(PublishRoutesCommand{ Revision(2), "routes" });
    StartControl();
    for (std::size_t i = 0; i < m_entries.size(); ++i) {
      StartEntry(i);
    }
    Tick();
    Advance(5'000);
  }

  /// Starts all processes again; what is on disk stays.
  void RestartAll()
  {
    m_pending.clear();
    m_steps.clear();
    StartControl();
    for (std::size_t i = 0; i < m_entries.size(); ++i) {
      StartEntry(i);
    }
    Tick();
    for (std::size_t i = 0; i < m_workers.size(); ++i) {
      if (!m_isUp[i]) {
        Schedule(kRestartDelay, [this, i] { RestartWorker(i); });
      }
    }
    Advance(5'000);
  }

  void StartEntry(std::size_t aEntry)
  {
    EntryOptions options;
    options.m_identity = { VmId("e" + std::to_string(aEntry)),
                           DataCentreId("d"),
                           BootId(++m_boots),
                           "10.0.2." + std::to_string(aEntry) + ":80" };
    options.m_control = { Endpoint::Parse(Self().m_address) };
    options.m_relayProtocol = m_protocol;
    options.m_seed = m_boots;
    m_entries[aEntry] = std::make_unique<EntryNode>(options);
    ToEntry(aEntry, ControlLinkChanged{ 0, true });
  }

  void Advance(std::int64_t aMillis)
  {
    const TimePoint end = m_now + aMillis * kMillisecond;
    while (!m_steps.empty() && m_steps.begin()->first <= end) {
      m_now = m_steps.begin()->first;
      const std::function<void()> step = std::move(m_steps.begin()->second);
      m_steps.erase(m_steps.begin());
      step();
    }
    m_now = end;
  }

  /// Sends a request to an entry drawn by lot.
  void Send(const std::string& aPath, const std::vector<std::string>& aParts)
  {
    const std::size_t entry = Below(m_entries.size());
    const CallerId caller(++m_callers);
    const std::string parts = boost::algorithm::join(aParts, ",");
    const bool isCrashing =
      std::find(aParts.begin(), aParts.end(), kCrashingPart) != aParts.end();
    m_pending[caller] = isCrashing;
    m_sound += isCrashing ? 0 : 1;
    ToEntry(entry,
            CallerRequest{ caller,
                           { "POST",
                             aPath,
                             { { "id", "r" + std::to_string(m_callers) },
                               { "parts", parts } },
                             "" } });
  }

  /// Plays a load of prompts for a time. Those with the crashing part begin and
  /// end like the others.
  void Play(std::int64_t aMillis,
            int aPerSecond,
            int aCrashingPercent,
            const std::string& aPath = "/resumable/x")
  {
    const std::int64_t interval = 1'000 / aPerSecond;
    for (std::int64_t passed = 0; passed < aMillis; passed += interval) {
      std::vector<std::string> parts = { "system",
                                         "topic" + std::to_string(Below(8)) };
      if (Below(100) < static_cast<std::size_t>(aCrashingPercent)) {
        parts.push_back(kCrashingPart);
      }
      parts.push_back("shared" + std::to_string(Below(200)));
      parts.push_back("own" + std::to_string(m_callers));
      Send(aPath, parts);
      Advance(interval);
    }
  }

  /// Crashes workers for a reason of their own.
  void CrashWorkers(std::size_t aCount)
  {
    for (std::size_t i = 0; i < aCount; ++i) {
      Crash(i);
    }
  }

  /// Forgets what callers got so far.
  void ResetCounts()
  {
    m_sound = 0;
    m_soundServed = 0;
  }

  std::size_t SentAfterLearning() const { return m_sentAfterLearning; }
  std::size_t Crashes() const { return m_crashes.size(); }
  double SoundServedShare() const
  {
    return static_cast<double>(m_soundServed) / static_cast<double>(m_sound);
  }
  int RefusedCrashing() const { return m_refusedCrashing; }

private:
  static Member Self() { return { ReplicaId(1), "vm1", "10.0.0.1:1" }; }

  std::size_t Below(std::size_t aLimit) { return m_random() % aLimit; }

  void Schedule(Duration aDelay, std::function<void()> aStep)
  {
    m_steps.emplace(m_now + aDelay, std::move(aStep));
  }

  void Commit(const ControlCommand& aCommand)
  {
    LogEntry entry;
    entry.m_index = LogIndex(m_disk.m_entries.size() + 1);
    entry.m_term = Term(1);
    entry.m_kind = static_cast<std::uint8_t>(EntryKind::Command);
    entry.m_payload = PackMessage(aCommand);
    m_disk.m_entries.push_back(std::move(entry));
  }

  void StartControl()
  {
    ReplicaOptions options;
    options.m_self = Self();
    m_control = std::make_unique<ControlNode>(
      ControlOptions(), std::make_unique<Replica>(options, m_disk, m_now));
    m_control->AddFleet(
      FleetOptions(), std::make_unique<ListProtocol>(m_workers), nullptr);
  }

  void Tick()
  {
    ToControl(ReplicaEvent(ReplicaTick{}));
    for (std::size_t i = 0; i < m_entries.size(); ++i) {
      ToEntry(i, EntryTick{});
    }
    Schedule(10 * kMillisecond, [this] { Tick(); });
  }

  void ToControl(const ControlEvent& aEvent)
  {
    for (const ControlEffect& effect :
         m_control->Reduce(m_now, WallTime(), aEvent)) {
      if (const auto* batch = std::get_if<PersistBatch>(&effect)) {
        Persist(*batch);
        const DiskSynced synced{ batch->m_number };
        Schedule(kMillisecond,
                 [this, synced] { ToControl(ReplicaEvent(synced)); });
      } else if (const auto* send = std::get_if<SendControl>(&effect)) {
        const std::size_t entry = send->m_connection.Value() - 1;
        Schedule(kNetworkDelay, [this, entry, message = send->m_message] {
          ToEntry(entry, ControlReply{ 0, message });
        });
      } else if (const auto* call = std::get_if<StartUpstreamCall>(&effect)) {
        const CallId id = call->m_call.m_call;
        Schedule(kNetworkDelay, [this, id] {
          ToControl(UpstreamCallEnded{ id, CallResult::Complete, 200, "" });
        });
      }
    }
  }

  void Persist(const PersistBatch& aBatch)
  {
    if (aBatch.m_hardState) {
      m_disk.m_hardState = *aBatch.m_hardState;
    }
    for (const LogEntry& entry : aBatch.m_entries) {
      std::erase_if(m_disk.m_entries, [&](const LogEntry& aOld) {
        return aOld.m_index >= entry.m_index;
      });
      m_disk.m_entries.push_back(entry);
    }
  }

  void ToEntry(std::size_t aEntry, const EntryEvent& aEvent)
  {
    for (EntryEffect& effect : m_entries[aEntry]->Reduce(m_now, aEvent)) {
      if (auto* control = std::get_if<SendToControl>(&effect)) {
        Schedule(kNetworkDelay,
                 [this, aEntry, message = std::move(control->m_message)] {
                   ToControl(ControlMessageReceived{ ConnectionId(aEntry + 1),
                                                     message });
                 });
      } else if (auto* call = std::get_if<StartCall>(&effect)) {
        StartWorkerCall(aEntry, call->m_call);
      } else if (const auto* cancel = std::get_if<CancelCall>(&effect)) {
        std::erase_if(m_calls, [&](const RunningCall& aEach) {
          return aEach.m_entry == aEntry && aEach.m_call == cancel->m_call;
        });
      } else if (const auto* answer = std::get_if<RespondCaller>(&effect)) {
        OnAnswered(answer->m_caller, answer->m_response.m_status == 503, false);
      } else if (const auto* end = std::get_if<EndCallerStream>(&effect)) {
        OnAnswered(end->m_caller, false, end->m_isComplete);
      }
    }
  }

  void OnAnswered(CallerId aCaller, bool aIsRefused, bool aIsComplete)
  {
    const auto pending = m_pending.find(aCaller);
    if (pending == m_pending.end()) {
      return;
    }
    const bool isCrashing = pending->second;
    m_pending.erase(pending);
    m_refusedCrashing += isCrashing && aIsRefused ? 1 : 0;
    m_soundServed += !isCrashing && aIsComplete ? 1 : 0;
  }

  struct RunningCall
  {
    std::size_t m_entry = 0;
    CallId m_call;
    std::size_t m_worker = 0;
  };

  bool IsRunning(std::size_t aEntry, CallId aCall) const
  {
    return std::any_of(
      m_calls.begin(), m_calls.end(), [&](const RunningCall& aEach) {
        return aEach.m_entry == aEntry && aEach.m_call == aCall;
      });
  }

  void EndCall(std::size_t aEntry, CallId aCall, CallResult aEnd)
  {
    std::erase_if(m_calls, [&](const RunningCall& aEach) {
      return aEach.m_entry == aEntry && aEach.m_call == aCall;
    });
    ToEntry(aEntry, CallEnded{ aCall, aEnd, "why" });
  }

  void StartWorkerCall(std::size_t aEntry, const HttpCall& aCall)
  {
    std::size_t worker = 0;
    while (Endpoint::Parse(m_workers[worker].m_address) != aCall.m_peer) {
      ++worker;
    }
    const CallId id = aCall.m_call;
    const std::string parts = FindHeader(aCall.m_request.m_headers, "parts");
    const bool isCrashing = parts.find(kCrashingPart) != std::string::npos;
    const bool isProbe = aCall.m_isProbe;
    const bool isLearned =
      m_crashes.size() >= kCrashesBeforeLearning &&
      m_now > m_crashes[kCrashesBeforeLearning - 1] + kLearningTime;
    m_sentAfterLearning += isCrashing && isLearned ? 1 : 0;
    m_calls.push_back({ aEntry, id, worker });
    if (!m_isUp[worker] || isProbe) {
      const CallResult end =
        m_isUp[worker] ? CallResult::Complete : CallResult::NotSent;
      Schedule(kNetworkDelay, [this, aEntry, id, end] {
        if (IsRunning(aEntry, id)) {
          EndCall(aEntry, id, end);
        }
      });
      return;
    }
    Schedule(kFirstEventDelay, [this, aEntry, id, worker, isCrashing] {
      OnFirstEvent(aEntry, id, worker, isCrashing);
    });
  }

  void OnFirstEvent(std::size_t aEntry,
                    CallId aCall,
                    std::size_t aWorker,
                    bool aIsCrashing)
  {
    if (!IsRunning(aEntry, aCall)) {
      return;
    }
    HttpResponse head;
    head.m_headers = { { "flags", "ps" } };
    ToEntry(aEntry, CallHead{ aCall, head });
    if (aIsCrashing) {
      ToEntry(aEntry, CallData{ aCall, "id: 1\nda" });
      m_crashes.push_back(m_now);
      Crash(aWorker);
      return;
    }
    ToEntry(aEntry, CallData{ aCall, "id: 1\ndata: a\n\n" });
    Schedule(kFirstEventDelay, [this, aEntry, aCall] {
      if (IsRunning(aEntry, aCall)) {
        EndCall(aEntry, aCall, CallResult::Complete);
      }
    });
  }

  void Crash(std::size_t aWorker)
  {
    if (!m_isUp[aWorker]) {
      return;
    }
    m_isUp[aWorker] = false;
    const std::vector<RunningCall> calls = m_calls;
    for (const RunningCall& call : calls) {
      if (call.m_worker == aWorker && IsRunning(call.m_entry, call.m_call)) {
        EndCall(call.m_entry, call.m_call, CallResult::Incomplete);
      }
    }
    Schedule(kRestartDelay, [this, aWorker] { RestartWorker(aWorker); });
  }

  void RestartWorker(std::size_t aWorker)
  {
    m_isUp[aWorker] = true;
    ++m_workers[aWorker].m_createdMs;
  }

  std::mt19937_64 m_random;
  TimePoint m_now{ Duration(1'000'000'000) };
  std::multimap<TimePoint, std::function<void()>> m_steps;
  std::shared_ptr<PartsProtocol> m_protocol;
  std::vector<WorkerInfo> m_workers;
  std::vector<bool> m_isUp;
  RecoveredState m_disk;
  std::unique_ptr<ControlNode> m_control;
  std::vector<std::unique_ptr<EntryNode>> m_entries;
  std::uint64_t m_boots = 0;
  std::uint64_t m_callers = 0;
  std::vector<RunningCall> m_calls;
  std::map<CallerId, bool> m_pending; ///< whether the crashing part is in it
  std::vector<TimePoint> m_crashes;   ///< by the crashing part
  std::size_t m_sentAfterLearning = 0;
  int m_sound = 0;
  int m_soundServed = 0;
  int m_refusedCrashing = 0;
};

} // namespace fulmarquay::testing

#endif
