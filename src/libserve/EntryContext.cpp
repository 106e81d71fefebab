#include "fulmarquay/serve/EntryContext.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

namespace fulmarquay {

namespace {

constexpr std::int64_t kMicrosPerSecond = 1'000'000;

std::int64_t
RoundUpToSeconds(Duration aTime)
{
  return std::max<std::int64_t>(
    1, (aTime.count() + kMicrosPerSecond - 1) / kMicrosPerSecond);
}

} // namespace

EntryContext::EntryContext(EntryIdentity aIdentity, std::uint64_t aSeed)
  : m_self(std::move(aIdentity))
  , m_randomState(aSeed)
{
}

void
EntryContext::Begin(TimePoint aNow)
{
  m_now = aNow;
  m_effects.clear();
}

EntryEffects
EntryContext::TakeEffects()
{
  return std::move(m_effects);
}

void
EntryContext::Log(LogEvent aEvent,
                  std::vector<std::pair<std::string, std::string>> aFields)
{
  Emit(LogLine{ aEvent, std::move(aFields) });
}

std::uint64_t
EntryContext::Random()
{
  // SplitMix64.
  std::uint64_t mixed = (m_randomState += 0x9e3779b97f4a7c15U);
  mixed = (mixed ^ (mixed >> 30U)) * 0xbf58476d1ce4e5b9U;
  mixed = (mixed ^ (mixed >> 27U)) * 0x94d049bb133111ebU;
  return mixed ^ (mixed >> 31U);
}

CallId
EntryContext::Call(HttpCall aCall, CallSink& aSink)
{
  const CallId id(NextId());
  aCall.m_call = id;
  m_sinks[id] = &aSink;
  Emit(StartCall{ std::move(aCall) });
  return id;
}

void
EntryContext::Cancel(CallId aCall)
{
  if (m_sinks.erase(aCall) != 0) {
    Emit(CancelCall{ aCall });
  }
}

CallSink*
EntryContext::SinkOf(CallId aCall) const
{
  const auto found = m_sinks.find(aCall);
  return found == m_sinks.end() ? nullptr : found->second;
}

void
EntryContext::Refuse(CallerId aCaller, const Refusal& aRefusal)
{
  nlohmann::ordered_json body = { { "outcome", aRefusal.m_outcome },
                                  { "step", aRefusal.m_step },
                                  { "reason", aRefusal.m_reason } };
  RespondCaller answer;
  answer.m_caller = aCaller;
  answer.m_response.m_status = aRefusal.m_status;
  answer.m_response.m_headers = { { "Content-Type", "application/json" } };
  if (aRefusal.m_retryAfter > Duration(0)) {
    const std::int64_t seconds = RoundUpToSeconds(aRefusal.m_retryAfter);
    answer.m_response.m_headers.push_back(
      { "Retry-After", std::to_string(seconds) });
    body["retry_after_ms"] = aRefusal.m_retryAfter.count() / 1000;
  }
  answer.m_response.m_body =
    body.dump(-1, ' ', false, nlohmann::ordered_json::error_handler_t::replace);
  m_metrics.Count("refusals_total",
                  "step=\"" + aRefusal.m_step + "\",outcome=\"" +
                    aRefusal.m_outcome + "\"");
  Emit(std::move(answer));
}

} // namespace fulmarquay
