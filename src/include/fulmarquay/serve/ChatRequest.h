#ifndef FULMARQUAY_SERVE_CHATREQUEST_H
#define FULMARQUAY_SERVE_CHATREQUEST_H

#include "fulmarquay/core/Units.h"

#include <cstdint>
#include <string>

namespace fulmarquay {

/// A parsed body of POST /v1/chat/completions.
struct ChatRequest
{
  std::string m_model;
  std::string m_prompt;       ///< the messages, rendered in order
  std::string m_conversation; ///< names a conversation that may return
  std::uint32_t m_maxTokens = 16;
  bool m_isStream = false;
};

/// Parses and renders. Throws Error that names what is wrong.
ChatRequest
ParseChatRequest(const std::string& aBody);

/// What an answer cost, for its usage part.
struct ChatUsage
{
  Tokens m_prompt;
  std::uint32_t m_completion = 0;
  Tokens m_cached;
  Tokens m_imported;
  Tokens m_recomputed;
};

/// One `data:` event of a streamed answer.
std::string
RenderChatChunk(const std::string& aId,
                const std::string& aModel,
                const std::string& aText);

/// The last events of a streamed answer.
std::string
RenderChatEnd(const std::string& aId,
              const std::string& aModel,
              const ChatUsage& aUsage);

/// A whole answer.
std::string
RenderChatAnswer(const std::string& aId,
                 const std::string& aModel,
                 const std::string& aText,
                 const ChatUsage& aUsage);

} // namespace fulmarquay

#endif
