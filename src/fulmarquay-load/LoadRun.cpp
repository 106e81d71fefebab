#include <utility>

#include "LoadRun.h"

#include "fulmarquay/core/Clock.h"

#include <algorithm>

namespace fulmarquay {

namespace {

/// Time after the end of a run for the answers that are still outstanding.
constexpr std::chrono::seconds kDrainTimeout(10);

} // namespace

RepeatedRequestSource::RepeatedRequestSource(std::string aTarget,
                                             const std::string& aKey,
                                             std::string aBody)
{
  m_request.m_method = "POST";
  m_request.m_target = std::move(aTarget);
  m_request.m_headers = CallerHeaders(aKey);
  m_request.m_body = std::move(aBody);
}

HttpRequest
RepeatedRequestSource::Next(std::uint64_t)
{
  return m_request;
}

void
RepeatedRequestSource::Finish(std::uint64_t,
                              const Exchange& aExchange,
                              LoadSample& aSample)
{
  aSample.m_isSuccess = aExchange.m_result == CallResult::Complete &&
                        aExchange.m_response.m_status == 200;
}

ConversationSource::ConversationSource(ConversationLoad aLoad)
  : m_load(std::move(aLoad))
  , m_random(m_load.m_seed)
  , m_slots(m_load.m_conversations)
{
  for (ConversationSlot& slot : m_slots) {
    StartConversation(slot);
  }
}

void
ConversationSource::StartConversation(ConversationSlot& aSlot)
{
  const std::uint64_t number = m_nextConversation++;
  // One large account and many small ones: half of the conversations belong to
  // the first key, the others are spread evenly over the remaining keys.
  const std::size_t last = m_load.m_keys.size() - 1;
  const std::size_t key =
    last == 0 || m_random() % 2 == 0 ? 0 : 1 + m_random() % last;
  aSlot.m_key = m_load.m_keys[key];
  aSlot.m_turns = 0;
  aSlot.m_conversation =
    std::make_unique<Conversation>("c" + std::to_string(number),
                                   m_load.m_model,
                                   m_load.m_seed * 1'000'003 + number * 101);
}

HttpRequest
ConversationSource::Next(std::uint64_t aRequestNumber)
{
  std::vector<std::size_t> idle;
  for (std::size_t i = 0; i < m_slots.size(); ++i) {
    if (!m_slots[i].m_isBusy) {
      idle.push_back(i);
    }
  }
  if (idle.empty()) {
    m_slots.emplace_back();
    StartConversation(m_slots.back());
    idle.push_back(m_slots.size() - 1);
  }
  const std::size_t index = idle[m_random() % idle.size()];
  ConversationSlot& slot = m_slots[index];
  if (slot.m_turns >= m_load.m_maxTurns) {
    StartConversation(slot);
  }
  slot.m_isBusy = true;
  m_slotByRequest[aRequestNumber] = index;
  const std::int64_t tokens =
    slot.m_turns == 0 ? m_load.m_firstTokens : m_load.m_laterTokens;
  return slot.m_conversation->NextTurn(slot.m_key, tokens, m_load.m_maxTokens);
}

void
ConversationSource::Finish(std::uint64_t aRequestNumber,
                           const Exchange& aExchange,
                           LoadSample& aSample)
{
  ConversationSlot& slot = m_slots[m_slotByRequest.at(aRequestNumber)];
  m_slotByRequest.erase(aRequestNumber);
  slot.m_isBusy = false;
  aSample.m_isReturning = slot.m_turns > 0;
  aSample.m_turn = slot.m_conversation->AddAnswer(aExchange.m_response);
  aSample.m_isSuccess =
    aSample.m_turn.m_isComplete && aSample.m_turn.m_isExpectedText;
  ++slot.m_turns;
  if (!aSample.m_isSuccess) {
    StartConversation(slot);
  }
}

LoadRun::LoadRun(Endpoint aTarget, RequestSource& aSource, std::uint64_t aSeed)
  : m_timer(m_context)
  , m_caller(m_context)
  , m_target(std::move(aTarget))
  , m_source(aSource)
  , m_random(aSeed)
{
}

std::vector<LoadSample>
LoadRun::RunOpenLoop(double aRequestsPerSecond, Duration aLength)
{
  m_requestsPerSecond = aRequestsPerSecond;
  m_nextSendAt = MonotonicNow();
  m_endAt = m_nextSendAt + aLength;
  ScheduleNext();
  m_context.run_for(aLength + kDrainTimeout);
  return std::move(m_samples);
}

std::vector<LoadSample>
LoadRun::RunClosedLoop(std::size_t aCount, Duration aLength)
{
  m_endAt = MonotonicNow() + aLength;
  for (std::size_t i = 0; i < aCount; ++i) {
    Send(true);
  }
  m_context.run_for(aLength + kDrainTimeout);
  return std::move(m_samples);
}

void
LoadRun::ScheduleNext()
{
  std::exponential_distribution<double> gap(m_requestsPerSecond);
  m_nextSendAt += Duration(static_cast<std::int64_t>(gap(m_random) * 1e6));
  if (m_nextSendAt >= m_endAt) {
    return;
  }
  m_timer.expires_at(m_nextSendAt);
  m_timer.async_wait([this](const boost::system::error_code& aError) {
    if (!aError) {
      Send(false);
      ScheduleNext();
    }
  });
}

void
LoadRun::Send(bool aSendsNext)
{
  const std::uint64_t number = m_nextNumber++;
  ++m_inFlight;
  m_caller.Start(m_target,
                 m_source.Next(number),
                 [this, number, aSendsNext](const Exchange& aExchange) {
                   --m_inFlight;
                   LoadSample sample;
                   sample.m_firstData = aExchange.m_firstData;
                   sample.m_total = aExchange.m_total;
                   sample.m_isCut =
                     aExchange.m_result != CallResult::Complete &&
                     aExchange.m_result != CallResult::NotSent;
                   m_source.Finish(number, aExchange, sample);
                   m_samples.push_back(std::move(sample));
                   if (aSendsNext && MonotonicNow() < m_endAt) {
                     Send(true);
                   }
                 });
}

} // namespace fulmarquay
