// A RelayFlow with a fake protocol and scripted worker responses.
#ifndef FULMARQUAY_LIBSERVE_RELAY_TEST_H
#define FULMARQUAY_LIBSERVE_RELAY_TEST_H

#include "fulmarquay/core/Digest.h"
#include "fulmarquay/core/Error.h"
#include "fulmarquay/route/RouteDelta.h"
#include "fulmarquay/serve/RelayFlow.h"

#include <set>
#include <string>
#include <vector>

namespace fulmarquay::testing {

constexpr Duration kMillisecond(1'000);
constexpr std::int64_t kTimeoutMs = 2'000;

/// The status and a `flags` header encode a worker's response head: p signed, s
/// stream, n not executed, m misdirected, l leaving, c ends with its
/// connection.
class FakeProtocol : public RelayProtocol
{
public:
  RelayRequest Decode(HttpRequest aRequest) const override
  {
    if (aRequest.m_method == "BAD") {
      throw Error("read request", "", "bad");
    }
    RelayRequest request;
    request.m_id = FindHeader(aRequest.m_headers, "id");
    request.m_host = "h";
    request.m_path = aRequest.m_target;
    request.m_key = FindHeader(aRequest.m_headers, "key");
    request.m_hasSeveralKeys = request.m_key.find(',') != std::string::npos;
    request.m_model = m_model;
    request.m_promptTokens = 100;
    request.m_parts = { { "shared", 80 }, { "own", 20 } };
    const std::string lastEventId = FindHeader(aRequest.m_headers, "last");
    request.m_lastEventId = lastEventId.empty() ? -1 : std::stoi(lastEventId);
    request.m_resumes = FindHeader(aRequest.m_headers, "resumes");
    const auto number = [&](const char* aName) {
      const std::string text = FindHeader(aRequest.m_headers, aName);
      return text.empty() ? 0 : std::stoll(text);
    };
    request.m_deadline = kMillisecond * number("deadline_ms");
    request.m_pass.m_from = FindHeader(aRequest.m_headers, "from");
    request.m_pass.m_attempts = number("attempts");
    request.m_pass.m_isCounted = number("counted") != 0;
    request.m_pass.m_pool = FindHeader(aRequest.m_headers, "origin_pool");
    request.m_pass.m_software =
      FindHeader(aRequest.m_headers, "origin_software");
    const std::string region = FindHeader(aRequest.m_headers, "region");
    if (!region.empty()) {
      request.m_pass.m_regions = { { RegionId(region) } };
    }
    request.m_forwardRequest = std::move(aRequest);
    return request;
  }
  HttpRequest Encode(const RelayRequest& aRequest,
                     const DispatchParameters& aParameters) const override
  {
    m_sentParameters.push_back(aParameters);
    return { "POST", aRequest.m_path, {}, "" };
  }
  HttpHeader CorrelationHeader(const RelayRequest& aRequest) const override
  {
    return { "id", aRequest.m_id };
  }
  WorkerResponseHead ReadHead(const HttpResponse& aHead) const override
  {
    const std::string flags = FindHeader(aHead.m_headers, "flags");
    WorkerResponseHead head;
    head.m_status = aHead.m_status;
    head.m_isSigned = flags.find('p') != std::string::npos;
    head.m_isStream = flags.find('s') != std::string::npos;
    head.m_isMisdirected = flags.find('m') != std::string::npos;
    head.m_isNotExecuted =
      head.m_isMisdirected || flags.find('n') != std::string::npos;
    head.m_isLeaving = flags.find('l') != std::string::npos;
    const std::string pause = FindHeader(aHead.m_headers, "pause_ms");
    head.m_pause = kMillisecond * (pause.empty() ? 0 : std::stoi(pause));
    const std::string limit = FindHeader(aHead.m_headers, "limit");
    head.m_isLimitUnreadable = limit == "?";
    if (!limit.empty() && !head.m_isLimitUnreadable) {
      head.m_requestLimit = std::stod(limit);
    }
    return head;
  }
  HttpResponse ToCallerHead(HttpResponse aHead) const override { return aHead; }
  HttpResponse Refuse(const RelayRequest&,
                      const RelayRefusal& aRefusal) const override
  {
    HttpResponse response;
    response.m_status = aRefusal.m_status;
    response.m_body = aRefusal.m_reason;
    response.m_headers = {
      { "retry_after_ms", std::to_string(ToMillis(aRefusal.m_retryAfter)) }
    };
    return response;
  }

  HttpRequest EncodePassed(const RelayRequest& aRequest,
                           const PassParameters& aParameters) const override
  {
    HttpRequest request = aRequest.m_forwardRequest;
    std::erase_if(request.m_headers, [](const HttpHeader& aEach) {
      return aEach.m_name == "last";
    });
    const auto add = [&](const char* aName, std::string aValue) {
      request.m_headers.push_back({ aName, std::move(aValue) });
    };
    if (aParameters.m_lastEventId >= 0) {
      add("last", std::to_string(aParameters.m_lastEventId));
    }
    add("from", aParameters.m_from);
    add("deadline_ms", std::to_string(ToMillis(aParameters.m_timeLeft)));
    add("attempts", std::to_string(aParameters.m_attempts));
    add("counted", aParameters.m_isCounted ? "1" : "0");
    add("origin_pool", aParameters.m_pool);
    add("origin_software", aParameters.m_software);
    m_passed.push_back(aParameters);
    return request;
  }
  void MarkPassed(HttpResponse& aHead,
                  const PassedAnswer& aAnswer) const override
  {
    aHead.m_headers.push_back(
      { "refusal", std::to_string(static_cast<int>(aAnswer.m_refusal)) });
    aHead.m_headers.push_back({ "worker", aAnswer.m_worker });
    aHead.m_headers.push_back({ "pool", aAnswer.m_pool });
    aHead.m_headers.push_back({ "software", aAnswer.m_software });
  }
  PassedAnswer ReadPassed(const HttpResponse& aHead) const override
  {
    PassedAnswer answer;
    const std::string refusal = FindHeader(aHead.m_headers, "refusal");
    answer.m_refusal =
      static_cast<PassRefusal>(refusal.empty() ? 0 : std::stoi(refusal));
    answer.m_worker = FindHeader(aHead.m_headers, "worker");
    answer.m_pool = FindHeader(aHead.m_headers, "pool");
    answer.m_software = FindHeader(aHead.m_headers, "software");
    return answer;
  }

  std::string m_model = "m"; ///< of the decoded requests
  mutable std::vector<PassParameters> m_passed;
  mutable std::vector<DispatchParameters> m_sentParameters;
};

inline WorkerInfo
Worker(const std::string& aId,
       std::int64_t aVersion,
       const std::string& aSoftware = "s1")
{
  WorkerInfo worker;
  worker.m_software = SoftwareVersion(aSoftware);
  worker.m_id = WorkerId(aId);
  worker.m_pool = PoolId("p");
  worker.m_address = "10.0.0.1:" + std::to_string(8000 + aId.back());
  worker.m_weights["m"] = aVersion;
  return worker;
}

inline RouteRule
Rule(RetryPolicy aKind, std::int64_t aAttempts)
{
  RouteRule rule;
  rule.m_host = "h";
  rule.m_retryPolicy = static_cast<std::uint8_t>(aKind);
  rule.m_timeoutUs = kTimeoutMs * 1'000;
  rule.m_targetLatencyUs = 300'000;
  rule.m_maxAttempts = aAttempts;
  rule.m_pools = { { PoolId("p"), 1 } };
  return rule;
}

/// An entry that serves five routes under a confirmed lease.
class Entry
{
public:
  /// Whether routes, workers and keys are set on construction.
  enum class InitialState
  {
    Unconfigured,
    Configured
  };

  explicit Entry(InitialState aInitial = InitialState::Configured)
    : m_context({}, 1)
    , m_flow(m_context, m_protocol, RelayOptions())
  {
    AdvanceClock(0);
    if (aInitial == InitialState::Configured) {
      Configure();
    }
  }

  /// Sets routes, workers and keys.
  void Configure(std::uint32_t aEntryCount = 1)
  {
    RouteDocument document;
    document.m_revision = Revision(3);
    document.m_pools["p"].m_engines.m_kvBytesPerToken = 1'000;
    Add(document, "/idempotent/", Rule(RetryPolicy::Idempotent, 2));
    Add(document, "/once/", Rule(RetryPolicy::Once, 2));
    RouteRule stream = Rule(RetryPolicy::Stream, 2);
    Add(document, "/stream/", stream);
    stream.m_isResumable = true;
    stream.m_hasPrompt = true;
    Add(document, "/resumable/", stream);
    RouteRule open = Rule(RetryPolicy::Idempotent, 1);
    open.m_allowsAnonymous = true;
    Add(document, "/open/", open);
    document.m_accounts["acc"].m_keyHashes = { Sha256Hex("key") };
    document.m_needsKeys = true;
    m_flow.OnRoutes(MakeDelta(RouteDocument(), document));
    SetWorkers({ Worker("w1", 1), Worker("w2", 1), Worker("w3", 1) });
    Confirm(aEntryCount);
    m_flow.OnTick();
    CollectEffects();
  }

  void SetWorkers(std::vector<WorkerInfo> aWorkers,
                  std::int64_t aLatestVersion = -1)
  {
    WorkerList list;
    list.m_number = ++m_list;
    for (const WorkerInfo& worker : aWorkers) {
      m_software[worker.m_pool].insert(worker.m_software);
    }
    list.m_software = m_software;
    list.m_workers = std::move(aWorkers);
    list.m_blockedParts = m_blockedParts;
    list.m_evacuated = m_evacuated;
    if (aLatestVersion >= 0) {
      list.m_weights = { { "m", aLatestVersion } };
      m_leaderWeights.OnNamed("m", aLatestVersion);
    }
    m_flow.OnWorkerList(list);
    m_flow.OnListConfirmed(m_list, m_now);
  }

  void Confirm(std::uint32_t aEntryCount = 1)
  {
    m_flow.OnConfirmed(m_now + 4'000 * kMillisecond, aEntryCount);
    m_flow.OnListConfirmed(m_list, m_now);
    m_leaderWeights.OnConfirmed(m_now);
    m_flow.OnWeightsReport(
      m_leaderWeights.MakeReport(m_now, m_flow.Weights().Revision()), m_now);
  }

  void AdvanceClock(std::int64_t aMillis)
  {
    m_now += aMillis * kMillisecond;
    m_context.Begin(m_now);
  }

  /// The worker of the last call.
  const std::string& LastWorker() const
  {
    return m_protocol.m_sentParameters.back().m_worker;
  }

  /// Advances time in ticks of 20 ms.
  void AdvanceTicks(std::int64_t aMillis)
  {
    for (std::int64_t elapsedMs = 0; elapsedMs < aMillis; elapsedMs += 20) {
      AdvanceClock(20);
      m_flow.OnTick();
      CollectEffects();
    }
  }

  void SendRequest(const std::string& aPath, const std::string& aKey = "key")
  {
    Start(aPath, { { "key", aKey } });
  }

  /// Sends a request of a caller that received events before.
  void SendResumedRequest(const std::string& aPath,
                          int aLastEventId,
                          const std::string& aResumes = "",
                          const std::string& aKey = "key")
  {
    Start(aPath,
          { { "key", aKey },
            { "last", std::to_string(aLastEventId) },
            { "resumes", aResumes } });
  }

  /// A field of the last line of this event; empty: it has none.
  std::string LoggedField(LogEvent aEvent, const std::string& aName) const
  {
    for (auto line = m_lines.rbegin(); line != m_lines.rend(); ++line) {
      if (line->m_event != aEvent) {
        continue;
      }
      for (const auto& [name, value] : line->m_fields) {
        if (name == aName) {
          return value;
        }
      }
      return "";
    }
    return "";
  }

  /// The id of the last request.
  std::string LastId() const { return "r" + std::to_string(m_caller); }

  void Head(int aStatus, const std::string& aFlags, int aPauseMs = 0)
  {
    AdvanceClock(1);
    HttpResponse head;
    head.m_status = aStatus;
    head.m_endsWithConnection = aFlags.find('c') != std::string::npos;
    head.m_headers = { { "flags", aFlags },
                       { "pause_ms", std::to_string(aPauseMs) } };
    m_flow.OnHead(m_calls.back().m_call, head);
    CollectEffects();
  }
  void Data(const std::string& aData)
  {
    AdvanceClock(1);
    m_flow.OnData(m_calls.back().m_call, aData);
    CollectEffects();
  }
  void End(CallResult aEnd)
  {
    AdvanceClock(1);
    m_flow.OnEnd(m_calls.back().m_call, aEnd, "why");
    CollectEffects();
  }

  /// A whole answer of the worker, with a body unless it is empty.
  void Answer(int aStatus,
              const std::string& aFlags,
              const std::string& aData,
              CallResult aEnd = CallResult::Complete)
  {
    Head(aStatus, aFlags);
    if (!aData.empty()) {
      Data(aData);
    }
    End(aEnd);
  }

  void CollectEffects()
  {
    for (EntryEffect& effect : m_context.TakeEffects()) {
      if (auto* call = std::get_if<StartCall>(&effect)) {
        (call->m_call.m_isProbe ? m_probes : m_calls)
          .push_back(std::move(call->m_call));
      } else if (auto* answer = std::get_if<RespondCaller>(&effect)) {
        m_status = answer->m_response.m_status;
        m_body += answer->m_response.m_body;
        m_retryAfterMs =
          FindHeader(answer->m_response.m_headers, "retry_after_ms");
        m_passRefusal = FindHeader(answer->m_response.m_headers, "refusal");
        ++m_answers;
      } else if (std::holds_alternative<BeginCallerStream>(effect)) {
        ++m_heads;
      } else if (auto* data = std::get_if<WriteCallerStream>(&effect)) {
        m_body += data->m_data;
      } else if (auto* end = std::get_if<EndCallerStream>(&effect)) {
        m_isComplete = end->m_isComplete;
        ++m_answers;
      } else if (std::holds_alternative<CancelCall>(effect)) {
        ++m_cancels;
      } else if (auto* line = std::get_if<LogLine>(&effect)) {
        m_lines.push_back(std::move(*line));
      }
    }
  }

  FakeProtocol m_protocol;
  EntryContext m_context;
  RelayFlow m_flow;
  TimePoint m_now{ Duration(1'000'000'000) };
  NewestWeights m_leaderWeights; ///< what the leader knows
  std::uint64_t m_list = 0;
  SoftwareByPool m_software;                 ///< of all lists
  std::vector<RequestPartId> m_blockedParts; ///< of the next worker lists
  std::set<DataCentreId> m_evacuated;        ///< of the next worker lists
  std::uint64_t m_caller = 0;
  std::vector<HttpCall> m_calls;
  std::vector<HttpCall> m_probes;
  std::vector<LogLine> m_lines;
  int m_status = 0;
  std::string m_body;
  std::string m_retryAfterMs;
  std::string m_passRefusal; ///< of the last answer to another entry
  int m_answers = 0;
  int m_heads = 0;
  int m_cancels = 0;
  bool m_isComplete = false;

private:
  void Start(const std::string& aPath, std::vector<HttpHeader> aHeaders)
  {
    AdvanceClock(1);
    aHeaders.push_back({ "id", "r" + std::to_string(++m_caller) });
    m_flow.Start(CallerId(m_caller),
                 { "POST", aPath, std::move(aHeaders), "" });
    CollectEffects();
  }

  static void Add(RouteDocument& aDocument,
                  const std::string& aPrefix,
                  RouteRule aRule)
  {
    aRule.m_prefix = aPrefix;
    aDocument.m_routes[aPrefix] = aRule;
  }
};

} // namespace fulmarquay::testing

#endif
