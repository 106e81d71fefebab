#ifndef FULMARQUAY_SERVE_CHATREQUEST_H
#define FULMARQUAY_SERVE_CHATREQUEST_H

#include "fulmarquay/core/Units.h"

#include <cstdint>
#include <string>

namespace fulmarquay {

/// The parsed body of POST /v1/chat/completions.
struct ChatRequest
{
  std::string m_model;
  std::string m_prompt;       ///< role and content of each message, in order
  std::string m_conversation; ///< name of the conversation; may be empty
  std::uint32_t m_maxTokens = 16;
  bool m_isStream = false;
};

/// Parses and checks a request body. Throws Error that names the invalid field.
ChatRequest
ParseChatRequest(const std::string& aBody);

/// Token counts for the `usage` object of an answer.
struct ChatUsage
{
  Tokens m_prompt;
  std::uint32_t m_completion = 0;
  Tokens m_cached;
  Tokens m_imported;
  Tokens m_recomputed;
};

/// The `data:` event for one token of a streamed answer.
std::string
RenderChatChunk(const std::string& aId,
                const std::string& aModel,
                const std::string& aText);

/// The last events of a streamed answer: finish reason with usage, then
/// `[DONE]`.
std::string
RenderChatEnd(const std::string& aId,
              const std::string& aModel,
              const ChatUsage& aUsage);

/// The body of an answer that is not streamed.
std::string
RenderChatAnswer(const std::string& aId,
                 const std::string& aModel,
                 const std::string& aText,
                 const ChatUsage& aUsage);

} // namespace fulmarquay

#endif
