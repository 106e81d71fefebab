#include <utility>

#include "LoadRun.h"

#include "fulmarquay/core/Clock.h"

#include <algorithm>

namespace fulmarquay {

namespace {

/// After the end of a run: time for its last answers.
constexpr std::chrono::seconds kLastAnswers(10);

} // namespace

SameRequest::SameRequest(std::string aTarget,
                         const std::string& aKey,
                         std::string aBody)
{
  m_request.m_method = "POST";
  m_request.m_target = std::move(aTarget);
  m_request.m_headers = CallerHeaders(aKey);
  m_request.m_body = std::move(aBody);
}

HttpRequest
SameRequest::Next(std::uint64_t)
{
  return m_request;
}

void
SameRequest::Finish(std::uint64_t,
                    const Exchange& aExchange,
                    LoadSample& aSample)
{
  aSample.m_isGood =
    aExchange.m_end == CallEnd::Whole && aExchange.m_response.m_status == 200;
}

ReturningCallers::ReturningCallers(ConversationLoad aLoad)
  : m_load(std::move(aLoad))
  , m_random(m_load.m_seed)
  , m_slots(m_load.m_conversations)
{
  for (Slot& slot : m_slots) {
    Renew(slot);
  }
}

void
ReturningCallers::Renew(Slot& aSlot)
{
  const std::uint64_t number = m_nextName++;
  // Few large accounts and many small ones: the first gets half.
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
ReturningCallers::Next(std::uint64_t aNumber)
{
  std::vector<std::size_t> idle;
  for (std::size_t i = 0; i < m_slots.size(); ++i) {
    if (!m_slots[i].m_isBusy) {
      idle.push_back(i);
    }
  }
  if (idle.empty()) {
    m_slots.emplace_back();
    Renew(m_slots.back());
    idle.push_back(m_slots.size() - 1);
  }
  const std::size_t chosen = idle[m_random() % idle.size()];
  Slot& slot = m_slots[chosen];
  if (slot.m_turns >= m_load.m_mostTurns) {
    Renew(slot);
  }
  slot.m_isBusy = true;
  m_slotOf[aNumber] = chosen;
  const std::int64_t tokens =
    slot.m_turns == 0 ? m_load.m_firstTokens : m_load.m_laterTokens;
  return slot.m_conversation->NextTurn(slot.m_key, tokens, m_load.m_maxTokens);
}

void
ReturningCallers::Finish(std::uint64_t aNumber,
                         const Exchange& aExchange,
                         LoadSample& aSample)
{
  Slot& slot = m_slots[m_slotOf.at(aNumber)];
  m_slotOf.erase(aNumber);
  slot.m_isBusy = false;
  aSample.m_isReturning = slot.m_turns > 0;
  aSample.m_turn = slot.m_conversation->TakeAnswer(aExchange.m_response);
  aSample.m_isGood = aSample.m_turn.m_isWhole && aSample.m_turn.m_isOwn;
  ++slot.m_turns;
  if (!aSample.m_isGood) {
    Renew(slot);
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
LoadRun::AtRate(double aPerSecond, Duration aLength)
{
  m_perSecond = aPerSecond;
  m_next = MonotonicNow();
  m_end = m_next + aLength;
  ScheduleNext();
  m_context.run_for(aLength + kLastAnswers);
  return std::move(m_samples);
}

std::vector<LoadSample>
LoadRun::InFlight(std::size_t aCount, Duration aLength)
{
  m_end = MonotonicNow() + aLength;
  for (std::size_t i = 0; i < aCount; ++i) {
    Send(true);
  }
  m_context.run_for(aLength + kLastAnswers);
  return std::move(m_samples);
}

void
LoadRun::ScheduleNext()
{
  std::exponential_distribution<double> gap(m_perSecond);
  m_next += Duration(static_cast<std::int64_t>(gap(m_random) * 1e6));
  if (m_next >= m_end) {
    return;
  }
  m_timer.expires_at(m_next);
  m_timer.async_wait([this](const boost::system::error_code& aError) {
    if (!aError) {
      Send(false);
      ScheduleNext();
    }
  });
}

void
LoadRun::Send(bool aAndAgain)
{
  const std::uint64_t number = m_number++;
  ++m_running;
  m_caller.Start(m_target,
                 m_source.Next(number),
                 [this, number, aAndAgain](const Exchange& aExchange) {
                   --m_running;
                   LoadSample sample;
                   sample.m_firstData = aExchange.m_firstData;
                   sample.m_total = aExchange.m_total;
                   m_source.Finish(number, aExchange, sample);
                   m_samples.push_back(std::move(sample));
                   if (aAndAgain && MonotonicNow() < m_end) {
                     Send(true);
                   }
                 });
}

} // namespace fulmarquay
