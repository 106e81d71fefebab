// A simulated fleet some of whose entries are cut off from all workers, and
// callers that send each request once.
#ifndef FULMARQUAY_LIBSERVE_REACH_FLEET_TEST_H
#define FULMARQUAY_LIBSERVE_REACH_FLEET_TEST_H

#include "simulated_fleet_test.h"

#include <array>
#include <set>

namespace fulmarquay::testing {

inline constexpr Duration kWorkTime = 30 * kMillisecond;
inline constexpr std::size_t kPartCount = 40;

/// What happens to the connections between a cut-off entry and the workers.
enum class CutKind
{
  Silent,  ///< all are silent, new ones are not accepted
  Reset,   ///< open ones are reset, new ones refused
  Refused, ///< open ones are silent, new ones refused
  KeptLive ///< open ones live on, new ones refused
};

inline constexpr std::array kAllCutKinds = { CutKind::Silent,
                                             CutKind::Reset,
                                             CutKind::Refused,
                                             CutKind::KeptLive };

/// Kinds of requests; a resumed one is a stream whose caller has events.
inline const std::vector<std::string> kRequestKinds = { "/plain/",
                                                        "/once/",
                                                        "/stream/",
                                                        "/resumable/",
                                                        "resumed" };

/// Requests of callers by outcome.
struct Served
{
  int m_sent = 0;
  int m_served = 0;
  Duration m_longestRefusal{}; ///< time until a refusal
  double Share() const
  {
    return m_sent == 0 ? 1 : static_cast<double>(m_served) / m_sent;
  }
};

class ReachFleet : public SimulatedFleet
{
public:
  explicit ReachFleet(FleetSize aSize, std::uint64_t aSeed = 1)
    : SimulatedFleet(aSize, std::make_shared<PartsProtocol>(), aSeed)
    , m_cut(aSize.m_entries)
    , m_idle(aSize.m_entries)
  {
  }

  /// Cuts an entry off from all workers.
  void Cut(std::size_t aEntry, CutKind aKind)
  {
    m_cut[aEntry] = aKind;
    if (aKind == CutKind::KeptLive) {
      return;
    }
    if (aKind == CutKind::Reset) {
      m_idle[aEntry].clear();
    }
    const std::vector<RunningCall> calls = Calls();
    for (const RunningCall& call : calls) {
      if (call.m_entry == aEntry && IsRunning(call)) {
        Lose(call, aKind == CutKind::Reset ? Duration(0) : kPeerSilence);
      }
    }
  }
  void Heal(std::size_t aEntry) { m_cut[aEntry].reset(); }
  bool IsCut(std::size_t aEntry) const { return m_cut[aEntry].has_value(); }

  /// Sends requests of all kinds at a steady rate to all entries.
  void Play(std::int64_t aMillis, int aPerSecond)
  {
    std::int64_t due = 0;
    for (std::int64_t passed = 0; passed < aMillis; passed += 10) {
      for (; due * 1'000 < passed * aPerSecond; ++due) {
        Send();
      }
      Advance(10);
    }
  }

  /// Forgets the counts; requests that still run are not counted.
  void ResetCounts()
  {
    m_byKind.clear();
    m_pending.clear();
    m_runs.clear();
  }

  /// First tries of a kind at entries that are cut off, or at the others.
  const Served& Of(const std::string& aKind, bool aIsCut)
  {
    return m_byKind[{ aKind, aIsCut }];
  }
  Served All(bool aIsCut)
  {
    Served all;
    for (const std::string& kind : kRequestKinds) {
      const Served& each = Of(kind, aIsCut);
      all.m_sent += each.m_sent;
      all.m_served += each.m_served;
      all.m_longestRefusal =
        std::max(all.m_longestRefusal, each.m_longestRefusal);
    }
    return all;
  }

  /// Requests that may run only once and did so more often, or ran although
  /// they were refused.
  int FalseRefusals() const { return m_falseRefusals; }
  int Repeated() const
  {
    int repeated = 0;
    for (const auto& [id, runs] : m_runs) {
      repeated += runs > 1;
    }
    return repeated;
  }
  int Probes() const { return m_probes; }

private:
  static constexpr Duration kPeerSilence = 1'000 * kMillisecond;
  static constexpr Duration kConnectLimit = 300 * kMillisecond;

  struct Pending
  {
    std::string m_kind;
    bool m_isCut = false;
    std::string m_id;
    TimePoint m_sentAt;
  };

  void Send()
  {
    const std::size_t entry = Below(EntryCount());
    const std::string& kind = kRequestKinds[m_callers % kRequestKinds.size()];
    const CallerId caller(++m_callers);
    const std::string id = std::to_string(m_callers);
    std::vector<HttpHeader> headers = {
      { "id", id },
      { "parts", "p" + std::to_string(Below(kPartCount)) + "," + id }
    };
    std::string path = kind;
    if (kind == "resumed") {
      path = "/resumable/";
      headers.push_back({ "last", "1" });
      headers.push_back({ "resumes", "earlier" });
    }
    m_pending[caller] = { kind, IsCut(entry), id, Now() };
    ++m_byKind[{ kind, IsCut(entry) }].m_sent;
    ToEntry(entry, CallerRequest{ caller, { "POST", path, headers, "" } });
  }

  void Lose(const RunningCall& aCall, Duration aAfter)
  {
    Schedule(aAfter, [this, aCall] {
      if (IsRunning(aCall)) {
        EndCall(aCall, CallResult::Incomplete);
      }
    });
  }

  void FailConnect(const RunningCall& aCall, Duration aAfter)
  {
    Schedule(aAfter, [this, aCall] {
      if (IsRunning(aCall)) {
        EndCall(aCall, CallResult::NotSent);
      }
    });
  }

  void OnWorkerCall(const RunningCall& aRunning, const HttpCall& aCall) override
  {
    m_probes += aCall.m_isProbe;
    int& idle = m_idle[aRunning.m_entry][aRunning.m_worker];
    const bool usesKept = !aCall.m_isProbe && idle > 0;
    idle -= usesKept;
    const std::optional<CutKind> cut = m_cut[aRunning.m_entry];
    if (cut && !usesKept) {
      FailConnect(aRunning,
                  *cut == CutKind::Silent ? kConnectLimit : kNetworkDelay);
      return;
    }
    if (cut && *cut != CutKind::KeptLive) {
      Lose(aRunning, kPeerSilence);
      return;
    }
    if (EndWithoutWork(aRunning, aCall)) {
      return;
    }
    const std::string id = FindHeader(aCall.m_request.m_headers, "id");
    const bool isStream = aCall.m_request.m_target != "/plain/" &&
                          aCall.m_request.m_target != "/once/";
    const bool mayRunOnce = aCall.m_request.m_target == "/once/" ||
                            aCall.m_request.m_target == "/stream/";
    Schedule(kNetworkDelay, [this, id, mayRunOnce] {
      if (mayRunOnce) {
        ++m_runs[id];
      }
    });
    Schedule(kWorkTime, [this, aRunning, isStream] {
      if (!IsRunning(aRunning) || IsSilenced(aRunning)) {
        return;
      }
      HttpResponse head;
      head.m_headers = { { "flags", isStream ? "ps" : "p" } };
      ToEntry(aRunning.m_entry, CallHead{ aRunning.m_call, head });
      if (isStream && IsRunning(aRunning)) {
        ToEntry(aRunning.m_entry,
                CallData{ aRunning.m_call, "id: 2\ndata: x\n\n" });
      }
      if (IsRunning(aRunning)) {
        ++m_idle[aRunning.m_entry][aRunning.m_worker];
        EndCall(aRunning, CallResult::Complete);
      }
    });
  }

  bool IsSilenced(const RunningCall& aRunning) const
  {
    const std::optional<CutKind> cut = m_cut[aRunning.m_entry];
    return cut && *cut != CutKind::KeptLive;
  }

  void OnAnswer(CallerId aCaller, const HttpResponse& aAnswer) override
  {
    const bool isRefused = aAnswer.m_status == kStatusUnavailable;
    Finish(aCaller, aAnswer.m_status == kStatusOk, isRefused);
  }
  void OnStreamEnd(CallerId aCaller, bool aIsComplete) override
  {
    Finish(aCaller, aIsComplete, false);
  }
  void Finish(CallerId aCaller, bool aIsServed, bool aIsRefused)
  {
    const auto pending = m_pending.find(aCaller);
    if (pending == m_pending.end()) {
      return;
    }
    const Pending& request = pending->second;
    Served& counts = m_byKind[{ request.m_kind, request.m_isCut }];
    counts.m_served += aIsServed;
    if (aIsRefused) {
      counts.m_longestRefusal =
        std::max(counts.m_longestRefusal, Now() - request.m_sentAt);
      m_falseRefusals += m_runs.count(request.m_id) != 0;
    }
    m_pending.erase(pending);
  }

  std::vector<std::optional<CutKind>> m_cut;      ///< by entry
  std::vector<std::map<std::size_t, int>> m_idle; ///< by entry and worker
  std::map<CallerId, Pending> m_pending;
  std::map<std::pair<std::string, bool>, Served> m_byKind;
  std::map<std::string, int> m_runs; ///< of those that may run only once
  std::uint64_t m_callers = 0;
  int m_falseRefusals = 0;
  int m_probes = 0;
};

} // namespace fulmarquay::testing

#endif
