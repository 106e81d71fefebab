#include "fulmarquay/core/Digest.h"
#include "fulmarquay/core/Error.h"
#include "fulmarquay/core/Settings.h"
#include "fulmarquay/upstream/StandinAnswer.h"
#include "fulmarquay/serve/ConfigHolder.h"
#include "fulmarquay/serve/EntryNode.h"
#include "fulmarquay/wire/FrameHub.h"

#include <algorithm>
#include <functional>
#include <memory>
#include <nlohmann/json.hpp>
#include <random>
#include <set>

// Included last because its macros clash with names in other headers.
#include <criterion/criterion.h>

using namespace fulmarquay;

namespace {

TimePoint
At(std::int64_t aMillis)
{
  return TimePoint(Duration(1'000'000'000 + aMillis * 1000));
}

std::string
MakeAnswers(std::uint64_t aNumber)
{
  return "[deployment]\nname = d" + std::to_string(aNumber) +
         "\npiece_tokens = 64\n[account.a]\nkey_hash = " + Sha256Hex("key") +
         "\ntokens_per_second = 1000000\n[model.m]\nweights = w1\n"
         "[engine.g1]\naddress = 10.0.0.1:1\ndata_centre = dc1\nmodel = m\n"
         "[engine.g2]\naddress = 10.0.0.1:2\ndata_centre = dc1\nmodel = m\n"
         "[service.till]\naddresses = 10.0.0.1:3\nonce_calls = deposit\n";
}

ConfigDelta
MakeDelta(std::uint64_t aRevision)
{
  ConfigDelta delta;
  delta.m_to = Revision(aRevision);
  delta.m_changed = CheckAnswers(MakeAnswers(aRevision), "f").All();
  delta.m_digest = DigestOf(delta.m_changed);
  return delta;
}

/// Injected defect: puts revisions in force without waiting for the other
/// entries.
class HolderNotAwaitingPeers : public ConfigHolder
{
public:
  using ConfigHolder::ConfigHolder;

protected:
  bool AwaitsPeers() const override { return false; }
};

/// Simulates the entries of one data centre and the leader's pushes, under one
/// seed, with network partitions between entries and from the leader, restarts
/// and downtime.
template<typename Holder>
class DataCentreSimulation
{
public:
  explicit DataCentreSimulation(std::uint64_t aSeed)
    : m_random(aSeed)
    , m_entries(3)
  {
    for (std::size_t i = 0; i < m_entries.size(); ++i) {
      Restart(i);
    }
  }

  /// Runs the simulation. Returns the first violation, or an empty text.
  std::string Run()
  {
    for (m_now = 0; m_now < 60'000 && m_violation.empty(); m_now += 50) {
      Step();
    }
    m_cutFromLeader.clear();
    m_cutPairs.clear();
    for (const std::int64_t end = m_now + 12'000; m_now < end; m_now += 50) {
      DeliverAll();
      TickAll();
    }
    for (const Entry& entry : m_entries) {
      if (m_violation.empty() && entry.m_holder->InForce() != m_accepted) {
        m_violation =
          "the accepted revision is not in force after all faults ended";
      }
    }
    return m_violation;
  }

private:
  struct Entry
  {
    std::unique_ptr<EntryContext> m_context;
    std::unique_ptr<Holder> m_holder;
    Revision m_newestInForce; ///< in force on this VM, over all its boots
    std::int64_t m_confirmedAt = -1'000'000;
    std::int64_t m_nextHeartbeat = 0;
    std::int64_t m_downUntil = 0;
    std::uint64_t m_boot = 0;
  };

  static std::string NameOf(std::size_t aEntry)
  {
    return "e" + std::to_string(aEntry);
  }
  static Endpoint AddressOf(std::size_t aEntry)
  {
    return Endpoint("10.0.0." + std::to_string(aEntry), 1);
  }

  bool IsUp(const Entry& aEntry) const { return m_now >= aEntry.m_downUntil; }

  void Restart(std::size_t aEntry)
  {
    Entry& entry = m_entries[aEntry];
    entry.m_boot = ++m_boots;
    entry.m_confirmedAt = -1'000'000;
    EntryIdentity identity;
    identity.m_vm = VmId(NameOf(aEntry));
    identity.m_boot = BootId(entry.m_boot);
    std::vector<Endpoint> peers;
    for (std::size_t i = 0; i < m_entries.size(); ++i) {
      if (i != aEntry) {
        peers.push_back(AddressOf(i));
      }
    }
    entry.m_context = std::make_unique<EntryContext>(identity, 1);
    entry.m_holder = std::make_unique<Holder>(*entry.m_context, peers);
  }

  void Step()
  {
    if (m_random() % 20 == 0) {
      m_accepted = Revision(m_accepted.Value() + 1);
    }
    const std::size_t entry = m_random() % m_entries.size();
    const std::size_t other = m_random() % m_entries.size();
    switch (m_random() % 80) {
      case 0:
        m_cutFromLeader.insert(entry);
        break;
      case 1:
        m_cutFromLeader.erase(entry);
        break;
      case 2:
      case 3:
        m_cutPairs.insert({ entry, other });
        break;
      case 4:
      case 5:
        m_cutPairs.clear();
        break;
      case 6:
        Restart(entry);
        m_entries[entry].m_downUntil = m_now + 100 + m_random() % 4000;
        break;
      case 7:
        // All entries lose the leader at the time that one of them restarts.
        for (std::size_t i = 0; i < m_entries.size(); ++i) {
          m_cutFromLeader.insert(i);
        }
        m_cutPairs.clear();
        Restart(entry);
        m_entries[entry].m_downUntil = m_now + 50;
        break;
      default:
        break;
    }
    DeliverAll();
    TickAll();
  }

  void TickAll()
  {
    for (std::size_t i = 0; i < m_entries.size(); ++i) {
      Entry& entry = m_entries[i];
      if (!IsUp(entry)) {
        continue;
      }
      if (m_cutFromLeader.count(i) == 0 && m_now >= entry.m_nextHeartbeat) {
        AnswerHeartbeat(i);
      }
      RunStep(i, [&] {
        entry.m_holder->OnTick(m_now < entry.m_confirmedAt + 5'000);
      });
    }
  }

  /// The leader answers an entry's heartbeat, and pushes a newer revision.
  void AnswerHeartbeat(std::size_t aEntry)
  {
    Entry& entry = m_entries[aEntry];
    entry.m_nextHeartbeat = m_now + 1000;
    entry.m_confirmedAt = m_now;
    std::vector<EntryPeer> peers;
    for (std::size_t i = 0; i < m_entries.size(); ++i) {
      if (m_now < m_entries[i].m_confirmedAt + 5'000) {
        peers.push_back({ VmId(NameOf(i)),
                          BootId(m_entries[i].m_boot),
                          AddressOf(i).ToString() });
      }
    }
    RunStep(aEntry, [&] { entry.m_holder->OnConfirmed(m_accepted, peers); });
    if (entry.m_holder->Held() < m_accepted) {
      RunStep(aEntry,
              [&] { entry.m_holder->OnPush(MakeDelta(m_accepted.Value())); });
    }
  }

  void RunStep(std::size_t aEntry, const std::function<void()>& aStep)
  {
    Entry& entry = m_entries[aEntry];
    entry.m_context->Begin(At(m_now));
    aStep();
    for (const EntryEffect& effect : entry.m_context->TakeEffects()) {
      if (const auto* send = std::get_if<SendToPeer>(&effect)) {
        for (std::size_t to = 0; to < m_entries.size(); ++to) {
          if (AddressOf(to) == send->m_address) {
            m_inFlight.push_back({ aEntry, to, send->m_message });
          }
        }
      } else if (const auto* reply = std::get_if<ReplyToPeer>(&effect)) {
        m_inFlight.push_back(
          { aEntry, reply->m_connection.Value(), reply->m_message });
      }
    }
    const Revision now = entry.m_holder->InForce();
    if (now > Revision(0) && now < entry.m_newestInForce) {
      m_violation = "the revision in force decreased";
    }
    entry.m_newestInForce = std::max(entry.m_newestInForce, now);
  }

  void DeliverAll()
  {
    const auto messages = std::move(m_inFlight);
    m_inFlight.clear();
    for (const InFlightMessage& message : messages) {
      const bool isCut =
        m_cutPairs.count({ message.m_from, message.m_to }) != 0;
      if (isCut || !IsUp(m_entries[message.m_to])) {
        continue;
      }
      Holder& holder = *m_entries[message.m_to].m_holder;
      RunStep(message.m_to, [&] {
        if (const auto* held =
              std::get_if<ConfigAnnouncement>(&message.m_message)) {
          holder.OnMessage(*held);
        } else if (std::holds_alternative<ConfigRequest>(message.m_message)) {
          holder.OnConfigRequest(ConnectionId(message.m_from));
        } else if (const auto* reply =
                     std::get_if<ConfigReply>(&message.m_message)) {
          holder.OnConfigReply(*reply);
        }
      });
    }
  }

  struct InFlightMessage
  {
    std::size_t m_from;
    std::size_t m_to;
    CacheMessage m_message;
  };

  std::mt19937_64 m_random;
  std::vector<Entry> m_entries;
  std::int64_t m_now = 0;
  std::uint64_t m_boots = 0;
  Revision m_accepted{ 1 };
  /// Entries partitioned from the leader.
  std::set<std::size_t> m_cutFromLeader;
  /// Pairs of sender and receiver whose messages are dropped.
  std::set<std::pair<std::size_t, std::size_t>> m_cutPairs;
  std::vector<InFlightMessage> m_inFlight;
  std::string m_violation;
};

} // namespace

Test(configuration, revision_in_force_never_decreases)
{
  for (std::uint64_t seed = 1; seed <= 200; ++seed) {
    const std::string violation =
      DataCentreSimulation<ConfigHolder>(seed).Run();
    cr_assert(violation.empty(),
              "seed %llu: %s",
              static_cast<unsigned long long>(seed),
              violation.c_str());
  }
}

Test(configuration, simulation_detects_the_injected_defect)
{
  std::string violation;
  for (std::uint64_t seed = 1; seed <= 200 && violation.empty(); ++seed) {
    violation = DataCentreSimulation<HolderNotAwaitingPeers>(seed).Run();
  }
  cr_assert_eq(violation, "the revision in force decreased");
}

namespace {

/// An EntryNode with a configuration in force and two engines, which the test
/// simulates.
class EntryHarness
{
public:
  EntryHarness()
    : m_node(MakeOptions())
  {
    Feed(ControlLinkChanged{ 0, true });
    Feed(ControlReply{ 0, MakeReply() });
    Feed(ControlReply{ 0, ConfigPush{ MakeDelta(1) } });
    Feed(EntryTick{});
    for (const StartCall& call : TakeCalls("/report")) {
      CompleteCall(call,
                   200,
                   R"({"next":0,"first":0,"events":[],"running":0,)"
                   R"("queued_tokens":0,"weights":"w1","leaving":false})");
    }
    m_effects.clear();
  }

  void Feed(const EntryEvent& aEvent)
  {
    EntryEffects effects = m_node.Reduce(At(m_now), aEvent);
    for (EntryEffect& effect : effects) {
      m_effects.push_back(std::move(effect));
    }
  }

  void AdvanceTime(std::int64_t aMillis)
  {
    for (const std::int64_t end = m_now + aMillis; m_now < end; m_now += 20) {
      Feed(EntryTick{});
    }
  }

  /// Removes and returns the started calls whose target has this prefix.
  std::vector<StartCall> TakeCalls(const std::string& aTarget)
  {
    std::vector<StartCall> calls;
    std::erase_if(m_effects, [&](const EntryEffect& aEffect) {
      const auto* call = std::get_if<StartCall>(&aEffect);
      const bool isWanted =
        call != nullptr && call->m_call.m_request.m_target.starts_with(aTarget);
      if (isWanted) {
        calls.push_back(*call);
      }
      return isWanted;
    });
    return calls;
  }

  void CompleteCall(const StartCall& aCall,
                    int aStatus,
                    const std::string& aBody)
  {
    HttpResponse head;
    head.m_status = aStatus;
    Feed(CallHead{ aCall.m_call.m_call, head });
    Feed(CallData{ aCall.m_call.m_call, aBody });
    Feed(CallEnded{ aCall.m_call.m_call, CallResult::Complete, "" });
  }

  void SendRequest(std::uint64_t aCaller, HttpRequest aRequest)
  {
    aRequest.m_headers.push_back({ "Authorization", "Bearer key" });
    Feed(CallerRequest{ CallerId(aCaller), std::move(aRequest) });
  }

  /// The answer that a caller received: status, body and how it ended.
  struct CallerResult
  {
    int m_status = 0;
    std::string m_text;
    bool m_isComplete = false;
    bool m_isCut = false;
  };

  CallerResult ResultOf(std::uint64_t aCaller)
  {
    CallerResult result;
    for (const EntryEffect& effect : m_effects) {
      if (const auto* respond = std::get_if<RespondCaller>(&effect)) {
        if (respond->m_caller == CallerId(aCaller)) {
          result.m_status = respond->m_response.m_status;
          result.m_text = respond->m_response.m_body;
          result.m_isComplete = true;
        }
      } else if (const auto* write = std::get_if<WriteCallerStream>(&effect)) {
        result.m_status = 200;
        result.m_text += write->m_data;
      } else if (const auto* end = std::get_if<EndCallerStream>(&effect)) {
        result.m_isComplete = end->m_isComplete;
        result.m_isCut = !end->m_isComplete;
      }
    }
    return result;
  }

  EntryNode& Node() { return m_node; }
  EntryEffects& Effects() { return m_effects; }

  static HeartbeatReply MakeReply()
  {
    HeartbeatReply reply;
    reply.m_revision = Revision(1);
    reply.m_leaseUs = 5'000'000;
    return reply;
  }

private:
  static EntryOptions MakeOptions()
  {
    EntryOptions options;
    options.m_identity = { VmId("e1"), DataCentreId("dc1"), BootId(7), "" };
    options.m_control = { Endpoint("10.0.0.9", 1) };
    return options;
  }

  EntryNode m_node;
  EntryEffects m_effects;
  std::int64_t m_now = 0;
};

HttpRequest
MakePrompt()
{
  HttpRequest request;
  request.m_method = "POST";
  request.m_target = "/v1/chat/completions";
  request.m_body = R"({"model":"m","stream":true,"max_tokens":5,)"
                   R"("messages":[{"role":"user","content":"hi"}]})";
  return request;
}

HttpRequest
MakeDeposit(const std::string& aKey)
{
  HttpRequest request;
  request.m_method = "POST";
  request.m_target = "/v1/services/till/deposit";
  request.m_headers = { { "Idempotency-Key", aKey } };
  return request;
}

nlohmann::json
RequestBodyOf(const StartCall& aCall)
{
  return nlohmann::json::parse(aCall.m_call.m_request.m_body);
}

std::string
RenderToken(const nlohmann::json& aRequest, int aIndex)
{
  return nlohmann::json{
    { "request", aRequest["request"] },
    { "attempt", aRequest["attempt"] },
    { "index", aIndex },
    { "text", "<" + std::to_string(aIndex) + ">" }
  }.dump() +
         "\n";
}

std::string
RenderEnd(const nlohmann::json& aRequest, int aTokens)
{
  return nlohmann::json{
    { "request", aRequest["request"] },
    { "attempt", aRequest["attempt"] },
    { "end", true },
    { "tokens", aTokens },
    { "cached", 0 },
    { "imported", 0 },
    { "recomputed", 1 },
    { "wrong", nlohmann::json::array() }
  }.dump() +
         "\n";
}

/// Output and end of the first attempt, most of them faulty. A second attempt
/// is always correct.
struct StreamFault
{
  const char* m_name;
  std::function<std::string(const nlohmann::json&)> m_output;
  CallResult m_end;
  int m_status;
};

std::vector<StreamFault>
StreamFaults()
{
  const auto tokens = [](const nlohmann::json& aRequest, int aCount) {
    std::string bytes;
    for (int i = 0; i < aCount; ++i) {
      bytes += RenderToken(aRequest, i);
    }
    return bytes;
  };
  return {
    { "complete",
      [=](const auto& aRequest) {
        return tokens(aRequest, 5) + RenderEnd(aRequest, 5);
      },
      CallResult::Complete,
      200 },
    { "broken after two tokens",
      [=](const auto& aRequest) { return tokens(aRequest, 2); },
      CallResult::Incomplete,
      200 },
    { "ends without the end part",
      [=](const auto& aRequest) { return tokens(aRequest, 5); },
      CallResult::Complete,
      200 },
    { "end part with a wrong token count",
      [=](const auto& aRequest) {
        return tokens(aRequest, 3) + RenderEnd(aRequest, 5);
      },
      CallResult::Complete,
      200 },
    { "duplicate token",
      [=](const auto& aRequest) {
        return RenderToken(aRequest, 0) + tokens(aRequest, 5) +
               RenderEnd(aRequest, 5);
      },
      CallResult::Complete,
      200 },
    { "missing token",
      [=](const auto& aRequest) {
        return RenderToken(aRequest, 0) + RenderToken(aRequest, 2) +
               RenderEnd(aRequest, 3);
      },
      CallResult::Complete,
      200 },
    { "parts of another request",
      [=](const auto& aRequest) {
        nlohmann::json other = aRequest;
        other["request"] = "another";
        return RenderToken(other, 0) + tokens(aRequest, 5) +
               RenderToken(other, 5) + RenderEnd(other, 0) +
               RenderEnd(aRequest, 5);
      },
      CallResult::Complete,
      200 },
    { "part of another attempt",
      [=](const auto& aRequest) {
        nlohmann::json other = aRequest;
        other["attempt"] = 9;
        return RenderToken(other, 0) + tokens(aRequest, 5) +
               RenderEnd(aRequest, 5);
      },
      CallResult::Complete,
      200 },
    { "not JSON",
      [](const auto&) { return "hello\n"; },
      CallResult::Complete,
      200 },
    { "refused", [](const auto&) { return "{}"; }, CallResult::Complete, 503 },
    { "no connection", [](const auto&) { return ""; }, CallResult::NotSent, 0 },
    { "timeout",
      [=](const auto& aRequest) { return tokens(aRequest, 1); },
      CallResult::TimedOut,
      200 },
  };
}

void
SimulateAttempt(EntryHarness& aEntry,
                const StartCall& aCall,
                int aStatus,
                const std::string& aBytes,
                CallResult aEnd)
{
  if (aStatus != 0) {
    HttpResponse head;
    head.m_status = aStatus;
    aEntry.Feed(CallHead{ aCall.m_call.m_call, head });
  }
  // Split as a network may deliver it.
  for (std::size_t at = 0; at < aBytes.size(); at += 7) {
    aEntry.Feed(CallData{ aCall.m_call.m_call, aBytes.substr(at, 7) });
  }
  aEntry.Feed(CallEnded{ aCall.m_call.m_call, aEnd, "played" });
}

std::string
StreamedText(const std::string& aStream)
{
  std::string text;
  for (std::size_t at = aStream.find("\"content\":\""); at != std::string::npos;
       at = aStream.find("\"content\":\"", at + 1)) {
    const std::size_t first = at + 11;
    text += aStream.substr(first, aStream.find('"', first) - first);
  }
  return text;
}

} // namespace

Test(streams, answer_has_no_gap_or_duplicate_after_engine_faults)
{
  for (const StreamFault& fault : StreamFaults()) {
    EntryHarness entry;
    entry.SendRequest(1, MakePrompt());
    auto calls = entry.TakeCalls("/generate");
    cr_assert_eq(calls.size(), 1U, "%s", fault.m_name);
    SimulateAttempt(entry,
                    calls[0],
                    fault.m_status,
                    fault.m_output(RequestBodyOf(calls[0])),
                    fault.m_end);
    calls = entry.TakeCalls("/generate");
    if (!calls.empty()) {
      const nlohmann::json request = RequestBodyOf(calls[0]);
      std::string rest;
      for (int i = request["offset"]; i < 5; ++i) {
        rest += RenderToken(request, i);
      }
      SimulateAttempt(entry,
                      calls[0],
                      200,
                      rest + RenderEnd(request, 5),
                      CallResult::Complete);
    }
    const auto result = entry.ResultOf(1);
    cr_assert(result.m_isComplete, "%s", fault.m_name);
    cr_assert_eq(StreamedText(result.m_text),
                 "<0><1><2><3><4>",
                 "%s: %s",
                 fault.m_name,
                 result.m_text.c_str());
    cr_assert_neq(result.m_text.find("[DONE]"), std::string::npos);
  }
}

Test(streams, an_engine_that_sends_bytes_but_no_token_is_given_up)
{
  EntryHarness entry;
  entry.SendRequest(1, MakePrompt());
  const auto calls = entry.TakeCalls("/generate");
  cr_assert_eq(calls.size(), 1U);
  const CallId call = calls[0].m_call.m_call;
  HttpResponse head;
  head.m_status = 200;
  entry.Feed(CallHead{ call, head });
  for (int second = 0; second < 20; ++second) {
    entry.Feed(CallData{ call, " " });
    entry.AdvanceTime(1'000);
  }
  cr_assert_eq(entry.TakeCalls("/generate").size(), 1U, "another attempt");
}

Test(streams, a_slow_engine_is_not_given_up)
{
  EntryHarness entry;
  entry.SendRequest(1, MakePrompt());
  const auto calls = entry.TakeCalls("/generate");
  const CallId call = calls[0].m_call.m_call;
  const nlohmann::json request = RequestBodyOf(calls[0]);
  HttpResponse head;
  head.m_status = 200;
  entry.Feed(CallHead{ call, head });
  for (int i = 0; i < 5; ++i) {
    entry.AdvanceTime(10'000);
    entry.Feed(CallData{ call, RenderToken(request, i) });
  }
  entry.Feed(CallData{ call, RenderEnd(request, 5) });
  entry.Feed(CallEnded{ call, CallResult::Complete, "" });
  cr_assert(entry.TakeCalls("/generate").empty());
  cr_assert(entry.ResultOf(1).m_isComplete);
}

Test(streams, abandoned_stream_ends_as_incomplete)
{
  EntryHarness entry;
  entry.SendRequest(1, MakePrompt());
  for (int attempt = 0; attempt < 3; ++attempt) {
    const auto calls = entry.TakeCalls("/generate");
    cr_assert_eq(calls.size(), 1U);
    const nlohmann::json request = RequestBodyOf(calls[0]);
    SimulateAttempt(entry,
                    calls[0],
                    200,
                    RenderToken(request, request["offset"]),
                    CallResult::Incomplete);
    entry.AdvanceTime(3000);
  }
  const auto result = entry.ResultOf(1);
  cr_assert(result.m_isCut);
  cr_assert_eq(result.m_text.find("[DONE]"), std::string::npos);
}

Test(streams, a_prompt_that_may_have_run_is_not_reported_as_not_run)
{
  struct Case
  {
    const char* m_name;
    int m_status;
    CallResult m_end;
    const char* m_outcome;
  };
  const std::vector<Case> cases = {
    { "no answer", 0, CallResult::Incomplete, "unknown" },
    { "no answer in time", 0, CallResult::TimedOut, "unknown" },
    { "refusal that is reset", 503, CallResult::Incomplete, "unknown" },
    { "error", 500, CallResult::Complete, "unknown" },
    { "refusal", 503, CallResult::Complete, "not_run" },
    { "no connection", 0, CallResult::NotSent, "not_run" },
  };
  for (const Case& each : cases) {
    EntryHarness entry;
    entry.SendRequest(1, MakePrompt());
    auto calls = entry.TakeCalls("/generate");
    cr_assert_eq(calls.size(), 1U);
    SimulateAttempt(entry, calls[0], each.m_status, "", each.m_end);
    // The other attempts reach no engine.
    for (calls = entry.TakeCalls("/generate"); !calls.empty();
         calls = entry.TakeCalls("/generate")) {
      SimulateAttempt(entry, calls[0], 0, "", CallResult::NotSent);
      entry.AdvanceTime(3000);
    }
    const auto result = entry.ResultOf(1);
    cr_assert_eq(result.m_status, 503, "%s", each.m_name);
    cr_assert_neq(result.m_text.find(each.m_outcome),
                  std::string::npos,
                  "%s: %s",
                  each.m_name,
                  result.m_text.c_str());
  }
}

Test(once, call_is_sent_once_after_its_grant)
{
  EntryHarness entry;
  entry.SendRequest(1, MakeDeposit("k"));
  cr_assert(entry.TakeCalls("/deposit").empty());
  RequestId request;
  for (const EntryEffect& effect : entry.Effects()) {
    const auto* send = std::get_if<SendToControl>(&effect);
    if (send != nullptr) {
      if (const auto* begin = std::get_if<BeginOnceRequest>(&send->m_message)) {
        request = begin->m_request;
      }
    }
  }
  cr_assert_neq(request, RequestId(0));
  const BeginOnceReply granted{ request, BeginOnceResult() };
  entry.Feed(ControlReply{ 0, granted });
  const auto calls = entry.TakeCalls("/deposit");
  cr_assert_eq(calls.size(), 1U);
  // Without a correlation header the client opens a new connection.
  cr_assert(calls[0].m_call.m_correlationHeader.m_name.empty());
  cr_assert(!calls[0].m_call.m_isContentChecked);
  // A duplicate of the grant does not send the call again.
  entry.Feed(ControlReply{ 0, granted });
  cr_assert(entry.TakeCalls("/deposit").empty());
  // The outcome of a broken call is unknown; the call is not sent again.
  SimulateAttempt(entry, calls[0], 0, "", CallResult::Incomplete);
  cr_assert(entry.TakeCalls("/deposit").empty());
  cr_assert_neq(entry.ResultOf(1).m_text.find("\"unknown\""),
                std::string::npos);
}

Test(once, grant_after_the_refusal_is_not_used)
{
  EntryHarness entry;
  entry.SendRequest(1, MakeDeposit("k"));
  RequestId request;
  for (const EntryEffect& effect : entry.Effects()) {
    const auto* send = std::get_if<SendToControl>(&effect);
    const auto* begin = send == nullptr
                          ? nullptr
                          : std::get_if<BeginOnceRequest>(&send->m_message);
    request = begin == nullptr ? request : begin->m_request;
  }
  for (int i = 0; i < 14; ++i) {
    entry.AdvanceTime(1000);
    entry.Feed(ControlReply{ 0, EntryHarness::MakeReply() });
  }
  cr_assert_neq(entry.ResultOf(1).m_text.find("\"not_run\""),
                std::string::npos);
  entry.Feed(ControlReply{ 0, BeginOnceReply{ request, BeginOnceResult() } });
  cr_assert(entry.TakeCalls("/deposit").empty());
}

Test(once, call_without_a_lease_is_refused_at_once)
{
  EntryHarness entry;
  entry.AdvanceTime(6000);
  entry.SendRequest(1, MakeDeposit("k"));
  const auto result = entry.ResultOf(1);
  cr_assert_eq(result.m_status, 503);
  cr_assert_neq(result.m_text.find("\"not_run\""), std::string::npos);
}

Test(services, a_call_that_may_have_run_is_not_reported_as_not_run)
{
  EntryHarness entry;
  HttpRequest request;
  request.m_method = "GET";
  request.m_target = "/v1/services/till/stock";
  entry.SendRequest(1, std::move(request));
  auto calls = entry.TakeCalls("/stock");
  cr_assert_eq(calls.size(), 1U);
  SimulateAttempt(entry, calls[0], 0, "", CallResult::Incomplete);
  calls = entry.TakeCalls("/stock");
  cr_assert_eq(calls.size(), 1U);
  SimulateAttempt(entry, calls[0], 0, "", CallResult::NotSent);
  const auto result = entry.ResultOf(1);
  cr_assert_eq(result.m_status, 502);
  cr_assert_neq(result.m_text.find("unknown"), std::string::npos);
}

Test(drain, stops_after_the_running_requests)
{
  EntryHarness entry;
  entry.SendRequest(1, MakePrompt());
  const auto calls = entry.TakeCalls("/generate");
  entry.Feed(DrainRequested{});
  entry.AdvanceTime(5000);
  const auto isStopped = [&] {
    return std::any_of(entry.Effects().begin(),
                       entry.Effects().end(),
                       [](const EntryEffect& aEffect) {
                         return std::holds_alternative<EntryStopped>(aEffect);
                       });
  };
  cr_assert_not(isStopped());
  const nlohmann::json request = RequestBodyOf(calls[0]);
  std::string bytes;
  for (int i = 0; i < 5; ++i) {
    bytes += RenderToken(request, i);
  }
  SimulateAttempt(
    entry, calls[0], 200, bytes + RenderEnd(request, 5), CallResult::Complete);
  entry.AdvanceTime(100);
  cr_assert(isStopped());
  cr_assert(entry.ResultOf(1).m_isComplete);
}

Test(prompts, refusal_of_an_invalid_body_names_the_field)
{
  const std::pair<const char*, const char*> cases[] = {
    { "", "no JSON" },
    { "[]", "must be an object" },
    { "{}", "model" },
    { R"({"model":5})", "model" },
    { R"({"model":"m"})", "messages" },
    { R"({"model":"m","messages":[]})", "messages" },
    { R"({"model":"m","messages":[5]})", "messages" },
    { R"({"model":"m","messages":[{"role":"user"}]})", "content" },
    { R"({"model":"m","messages":[{"role":"u","content":"c"}],"max_tokens":0})",
      "max_tokens" },
    { R"({"model":"m","messages":[{"role":"u","content":"c"}],"stream":1})",
      "stream" },
    { R"({"model":"x","messages":[{"role":"u","content":"c"}]})",
      "no such model" },
  };
  for (const auto& [body, wanted] : cases) {
    EntryHarness entry;
    HttpRequest request = MakePrompt();
    request.m_body = body;
    entry.SendRequest(1, std::move(request));
    const auto result = entry.ResultOf(1);
    cr_assert(result.m_status == 400 || result.m_status == 404, "%s", body);
    cr_assert_neq(result.m_text.find(wanted),
                  std::string::npos,
                  "%s",
                  result.m_text.c_str());
    cr_assert_neq(result.m_text.find("not_run"), std::string::npos);
  }
}

Test(secrets, dump_and_log_contain_no_key_or_prompt)
{
  EntryHarness entry;
  HttpRequest prompt = MakePrompt();
  prompt.m_body = R"({"model":"m","messages":[{"role":"user",)"
                  R"("content":"secret-prompt"}]})";
  entry.SendRequest(1, std::move(prompt));
  const auto calls = entry.TakeCalls("/generate");
  SimulateAttempt(entry, calls.at(0), 200, "broken\n", CallResult::Incomplete);
  std::string all = entry.Node().Dump(FrameTraffic());
  for (const EntryEffect& effect : entry.Effects()) {
    if (const auto* line = std::get_if<LogLine>(&effect)) {
      for (const auto& [name, value] : line->m_fields) {
        all += value;
      }
    }
  }
  cr_assert_eq(all.find("secret-prompt"), std::string::npos);
  cr_assert_eq(all.find(Sha256Hex("key")), std::string::npos);
}

Test(control_links, replicas_of_reloaded_settings_are_added_once)
{
  EntryOptions options;
  options.m_control = { Endpoint("10.0.0.1", 1), Endpoint("10.0.0.2", 1) };
  EntryNode node(options);
  const TimePoint now(Duration(1'000'000'000));
  const ReplicasReloaded reloaded{ { Endpoint("10.0.0.2", 1),
                                     Endpoint("10.0.0.3", 1) } };
  for (const std::size_t expected : { 1U, 0U }) {
    std::size_t added = 0;
    for (const EntryEffect& effect : node.Reduce(now, reloaded)) {
      if (const auto* link = std::get_if<AddControlLink>(&effect)) {
        cr_assert_eq(link->m_address.Ip(), "10.0.0.3");
        ++added;
      }
    }
    cr_assert_eq(added, expected);
  }
}

namespace {

/// The link of the last heartbeat in aEffects; -1 if there is none.
int
HeartbeatLink(const EntryEffects& aEffects)
{
  int link = -1;
  for (const EntryEffect& effect : aEffects) {
    const auto* send = std::get_if<SendToControl>(&effect);
    if (send != nullptr &&
        std::holds_alternative<EntryHeartbeat>(send->m_message)) {
      link = static_cast<int>(send->m_link);
    }
  }
  return link;
}

} // namespace

Test(control_links, leader_is_found_after_all_seeds_were_replaced)
{
  EntryOptions options;
  options.m_discoversReplicas = true;
  options.m_control = { Endpoint("10.0.0.1", 1), Endpoint("10.0.0.2", 1) };
  EntryNode node(options);
  TimePoint now(Duration(1'000'000'000));
  node.Reduce(now, ControlLinkChanged{ 1, true });
  node.Reduce(now, ControlLinkChanged{ 0, true });
  HeartbeatReply reply;
  reply.m_leaseUs = 5'000'000;
  reply.m_replicas = { "10.0.0.1:1", "10.0.0.2:1", "10.0.0.3:1" };
  node.Reduce(now, ControlReply{ 0, reply });
  node.Reduce(now, ControlLinkChanged{ 2, true });
  // The seeds have been removed; the third replica knows their successor.
  node.Reduce(now, ControlLinkChanged{ 1, false });
  node.Reduce(now, ControlLinkChanged{ 0, false });
  const NotLeader redirect{ RequestId(0), "10.0.0.4:1" };
  bool isAdded = false;
  bool isOpen = false;
  int link = -1;
  for (int i = 0; i < 100 && link != 3; ++i) {
    now += Duration(20'000);
    link = HeartbeatLink(node.Reduce(now, EntryTick{}));
    cr_assert(link == -1 || link == 2 || link == 3, "link %d", link);
    if (isAdded && !isOpen) {
      isOpen = true;
      node.Reduce(now, ControlLinkChanged{ 3, true });
    }
    if (link == 2) {
      const auto effects = node.Reduce(now, ControlReply{ 2, redirect });
      isAdded =
        isAdded ||
        std::any_of(
          effects.begin(), effects.end(), [](const EntryEffect& aEffect) {
            return std::holds_alternative<AddControlLink>(aEffect);
          });
      link = HeartbeatLink(effects);
    }
  }
  cr_assert(isAdded);
  cr_assert_eq(link, 3);
}
