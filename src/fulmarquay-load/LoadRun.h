#ifndef FULMARQUAY_LOAD_LOADRUN_H
#define FULMARQUAY_LOAD_LOADRUN_H

#include "Caller.h"
#include "Conversation.h"

#include <boost/asio/steady_timer.hpp>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace fulmarquay {

/// What one finished request showed.
struct LoadSample
{
  Duration m_firstData{};
  Duration m_total{};
  bool m_isGood = false; ///< whole and the caller's own
  bool m_isReturning = false;
  TurnResult m_turn;
};

/// Makes the requests of a run, one after the other.
class RequestSource
{
public:
  virtual ~RequestSource() = default;
  /// The next request and what takes its answer; the number is unique.
  virtual HttpRequest Next(std::uint64_t aNumber) = 0;
  virtual void Finish(std::uint64_t aNumber,
                      const Exchange& aExchange,
                      LoadSample& aSample) = 0;
};

/// The same POST again and again.
class SameRequest : public RequestSource
{
public:
  SameRequest(std::string aTarget, const std::string& aKey, std::string aBody);
  HttpRequest Next(std::uint64_t aNumber) override;
  void Finish(std::uint64_t aNumber,
              const Exchange& aExchange,
              LoadSample& aSample) override;

private:
  HttpRequest m_request;
};

/// How made-up conversations behave.
struct ConversationLoad
{
  std::vector<std::string> m_keys; ///< bearer keys of the accounts
  std::string m_model;
  std::size_t m_conversations = 40;
  std::int64_t m_firstTokens = 8192; ///< of the first turn
  std::int64_t m_laterTokens = 256;  ///< of each further turn
  std::size_t m_mostTurns = 6;       ///< then a new conversation begins
  std::uint32_t m_maxTokens = 8;
  std::uint64_t m_seed = 1;
};

/// Conversations whose callers return after random gaps: each request goes to
/// a random conversation that has no request under way.
class ReturningCallers : public RequestSource
{
public:
  explicit ReturningCallers(ConversationLoad aLoad);
  HttpRequest Next(std::uint64_t aNumber) override;
  void Finish(std::uint64_t aNumber,
              const Exchange& aExchange,
              LoadSample& aSample) override;

private:
  struct Slot
  {
    std::unique_ptr<Conversation> m_conversation;
    std::string m_key;
    std::size_t m_turns = 0;
    bool m_isBusy = false;
  };

  void Renew(Slot& aSlot);

  ConversationLoad m_load;
  std::mt19937_64 m_random;
  std::vector<Slot> m_slots;
  std::map<std::uint64_t, std::size_t> m_slotOf;
  std::uint64_t m_nextName = 1;
};

/// Sends requests at random moments at a mean rate, whatever the answers do,
/// or (rate 0) keeps a number of them in flight.
class LoadRun
{
public:
  LoadRun(Endpoint aTarget, RequestSource& aSource, std::uint64_t aSeed);

  std::vector<LoadSample> AtRate(double aPerSecond, Duration aLength);
  std::vector<LoadSample> InFlight(std::size_t aCount, Duration aLength);

private:
  void ScheduleNext();
  void Send(bool aAndAgain);

  boost::asio::io_context m_context;
  boost::asio::steady_timer m_timer;
  Caller m_caller;
  Endpoint m_target;
  RequestSource& m_source;
  std::mt19937_64 m_random;
  double m_perSecond = 0;
  TimePoint m_next;
  TimePoint m_end;
  std::uint64_t m_number = 0;
  std::size_t m_running = 0;
  std::vector<LoadSample> m_samples;
};

} // namespace fulmarquay

#endif
