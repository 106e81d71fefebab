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

/// Measurements of one finished request.
struct LoadSample
{
  Duration m_firstData{};
  Duration m_total{};
  bool m_isSuccess = false;   ///< complete, status 200 and expected text
  bool m_isCut = false;       ///< sent, but without a complete answer
  bool m_isReturning = false; ///< a turn after the first of a conversation
  TurnResult m_turn;
};

/// Generates the requests of a run and evaluates their answers.
class RequestSource
{
public:
  virtual ~RequestSource() = default;
  /// The next request; its number is unique in the run.
  virtual HttpRequest Next(std::uint64_t aRequestNumber) = 0;
  /// Evaluates the answer to the request of that number.
  virtual void Finish(std::uint64_t aRequestNumber,
                      const Exchange& aExchange,
                      LoadSample& aSample) = 0;
};

/// Generates the same POST for every request.
class RepeatedRequestSource : public RequestSource
{
public:
  RepeatedRequestSource(std::string aTarget,
                        const std::string& aKey,
                        std::string aBody);
  HttpRequest Next(std::uint64_t aRequestNumber) override;
  void Finish(std::uint64_t aRequestNumber,
              const Exchange& aExchange,
              LoadSample& aSample) override;

private:
  HttpRequest m_request;
};

/// Parameters of synthetic conversations.
struct ConversationLoad
{
  std::vector<std::string> m_keys; ///< bearer keys of the accounts
  std::string m_model;
  std::size_t m_conversations = 40;
  std::int64_t m_firstTokens = 8192; ///< of the first turn
  std::int64_t m_laterTokens = 256;  ///< of each further turn
  std::size_t m_maxTurns = 6;        ///< per conversation
  std::uint32_t m_maxTokens = 8;
  std::uint64_t m_seed = 1;
};

/// Generates the turns of concurrent conversations whose callers return after
/// random intervals: each request is the next turn of a random conversation
/// without a request in flight.
class ConversationSource : public RequestSource
{
public:
  explicit ConversationSource(ConversationLoad aLoad);
  HttpRequest Next(std::uint64_t aRequestNumber) override;
  void Finish(std::uint64_t aRequestNumber,
              const Exchange& aExchange,
              LoadSample& aSample) override;

private:
  struct ConversationSlot
  {
    std::unique_ptr<Conversation> m_conversation;
    std::string m_key;
    std::size_t m_turns = 0;
    bool m_isBusy = false;
  };

  void StartConversation(ConversationSlot& aSlot);

  ConversationLoad m_load;
  std::mt19937_64 m_random;
  std::vector<ConversationSlot> m_slots;
  std::map<std::uint64_t, std::size_t> m_slotByRequest;
  std::uint64_t m_nextConversation = 1;
};

/// Generates load on one endpoint, either open-loop or closed-loop.
class LoadRun
{
public:
  LoadRun(Endpoint aTarget, RequestSource& aSource, std::uint64_t aSeed);

  /// Sends requests as a Poisson process with a mean rate, independent of the
  /// answers.
  std::vector<LoadSample> RunOpenLoop(double aRequestsPerSecond,
                                      Duration aLength);
  /// Keeps a fixed number of requests in flight; fulmarquay-load does so when
  /// --rate is 0.
  std::vector<LoadSample> RunClosedLoop(std::size_t aCount, Duration aLength);

private:
  void ScheduleNext();
  void Send(bool aSendsNext);

  boost::asio::io_context m_context;
  boost::asio::steady_timer m_timer;
  Caller m_caller;
  Endpoint m_target;
  RequestSource& m_source;
  std::mt19937_64 m_random;
  double m_requestsPerSecond = 0;
  TimePoint m_nextSendAt;
  TimePoint m_endAt;
  std::uint64_t m_nextNumber = 0;
  std::size_t m_inFlight = 0;
  std::vector<LoadSample> m_samples;
};

} // namespace fulmarquay

#endif
