#ifndef FULMARQUAY_LOAD_CONVERSATION_H
#define FULMARQUAY_LOAD_CONVERSATION_H

#include "fulmarquay/wire/HttpMessage.h"

#include <cstdint>
#include <string>
#include <vector>

namespace fulmarquay {

/// What one turn's answer showed.
struct TurnResult
{
  int m_status = 0;
  bool m_isWhole = false; ///< the explicit end came
  bool m_isOwn = false;   ///< the text is the one that this prompt produces
  std::string m_text;
  std::int64_t m_promptTokens = 0;
  std::int64_t m_cached = 0;
  std::int64_t m_imported = 0;
  std::int64_t m_recomputed = 0;
};

/// A caller's conversation: its messages so far, with made-up text.
class Conversation
{
public:
  Conversation(std::string aName, std::string aModel, std::uint64_t aSeed);

  /// Adds a user message of about this many tokens and returns the request
  /// for the next answer.
  HttpRequest NextTurn(const std::string& aKey,
                       std::int64_t aTokens,
                       std::uint32_t aMaxTokens);

  /// Reads the answer, checks its content and adds it to the messages.
  TurnResult TakeAnswer(const HttpResponse& aResponse);

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
