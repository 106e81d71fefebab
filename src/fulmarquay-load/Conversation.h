#ifndef FULMARQUAY_LOAD_CONVERSATION_H
#define FULMARQUAY_LOAD_CONVERSATION_H

#include "fulmarquay/wire/HttpMessage.h"

#include <cstdint>
#include <string>
#include <vector>

namespace fulmarquay {

/// The checked answer to one turn.
struct TurnResult
{
  int m_status = 0;
  bool m_isComplete = false;     ///< the event `[DONE]` arrived
  bool m_isExpectedText = false; ///< the stand-in's answer to the prompt
  std::string m_text;
  // Tokens of the prompt, from the usage record of the answer.
  std::int64_t m_promptTokens = 0;
  std::int64_t m_cached = 0;
  std::int64_t m_imported = 0;
  std::int64_t m_recomputed = 0;
};

/// A conversation with synthetic user messages; holds all messages so far.
class Conversation
{
public:
  Conversation(std::string aName, std::string aModel, std::uint64_t aSeed);

  /// Adds a user message of about aTokens tokens and returns the request for
  /// its answer.
  HttpRequest NextTurn(const std::string& aKey,
                       std::int64_t aTokens,
                       std::uint32_t aMaxTokens);

  /// Parses the answer, checks its text and adds it to the messages. An answer
  /// with another status than 200 is not added.
  TurnResult AddAnswer(const HttpResponse& aResponse);

private:
  struct Message
  {
    std::string m_role;
    std::string m_content;
  };

  std::string Prompt() const;

  std::string m_name;
  std::string m_model;
  std::uint64_t m_seed;
  std::uint32_t m_maxTokens = 0;
  std::vector<Message> m_messages;
};

} // namespace fulmarquay

#endif
