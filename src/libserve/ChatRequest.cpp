#include "fulmarquay/serve/ChatRequest.h"

#include "fulmarquay/core/Error.h"
#include "fulmarquay/wire/JsonText.h"

#include <nlohmann/json.hpp>

namespace fulmarquay {

namespace {

using Json = nlohmann::ordered_json;

constexpr const char* kStep = "read prompt";
constexpr std::uint32_t kMaxTokens = 65536;
constexpr std::size_t kMaxConversationBytes = 200;

std::string
RequiredString(const Json& aBody, const char* aKey)
{
  const auto found = aBody.find(aKey);
  if (found == aBody.end() || !found->is_string()) {
    throw Error(kStep, "", std::string(aKey) + ": a string is needed");
  }
  return found->get<std::string>();
}

std::string
RenderMessages(const Json& aBody)
{
  const auto messages = aBody.find("messages");
  if (messages == aBody.end() || !messages->is_array() || messages->empty()) {
    throw Error(kStep, "", "messages: a list with at least one is needed");
  }
  std::string prompt;
  for (const Json& message : *messages) {
    if (!message.is_object()) {
      throw Error(kStep, "", "messages: each must be an object");
    }
    prompt += RequiredString(message, "role") + "\n" +
              RequiredString(message, "content") + "\n";
  }
  return prompt;
}

std::string
Dump(const Json& aJson)
{
  return aJson.dump(-1, ' ', false, Json::error_handler_t::replace);
}

Json
RenderUsage(const ChatUsage& aUsage)
{
  return { { "prompt_tokens", aUsage.m_prompt.Count() },
           { "completion_tokens", aUsage.m_completion },
           { "total_tokens", aUsage.m_prompt.Count() + aUsage.m_completion },
           { "cached_tokens", aUsage.m_cached.Count() },
           { "imported_tokens", aUsage.m_imported.Count() },
           { "recomputed_tokens", aUsage.m_recomputed.Count() } };
}

Json
MakeChatObject(const std::string& aId,
               const std::string& aModel,
               const char* aObject)
{
  return { { "id", aId }, { "object", aObject }, { "model", aModel } };
}

} // namespace

ChatRequest
ParseChatRequest(const std::string& aBody)
{
  CheckJsonDepth(kStep, aBody);
  Json body;
  try {
    body = Json::parse(aBody);
  } catch (const Json::exception&) {
    throw Error(kStep, "", "the body is no JSON");
  }
  if (!body.is_object()) {
    throw Error(kStep, "", "the body must be an object");
  }
  ChatRequest request;
  request.m_model = RequiredString(body, "model");
  request.m_prompt = RenderMessages(body);
  if (body.contains("conversation")) {
    request.m_conversation = RequiredString(body, "conversation");
    if (request.m_conversation.size() > kMaxConversationBytes) {
      throw Error(kStep, "", "conversation: longer than 200 bytes");
    }
  }
  if (body.contains("max_tokens")) {
    const Json& tokens = body["max_tokens"];
    const bool isValid =
      tokens.is_number_unsigned() && tokens > 0U && tokens <= kMaxTokens;
    if (!isValid) {
      throw Error(kStep, "", "max_tokens: a whole number from 1 to 65536");
    }
    request.m_maxTokens = tokens;
  }
  if (body.contains("stream")) {
    if (!body["stream"].is_boolean()) {
      throw Error(kStep, "", "stream: true or false");
    }
    request.m_isStream = body["stream"];
  }
  return request;
}

std::string
RenderChatChunk(const std::string& aId,
                const std::string& aModel,
                const std::string& aText)
{
  Json chunk = MakeChatObject(aId, aModel, "chat.completion.chunk");
  chunk["choices"] = { { { "index", 0 },
                         { "delta", { { "content", aText } } } } };
  return "data: " + Dump(chunk) + "\n\n";
}

std::string
RenderChatEnd(const std::string& aId,
              const std::string& aModel,
              const ChatUsage& aUsage)
{
  Json chunk = MakeChatObject(aId, aModel, "chat.completion.chunk");
  chunk["choices"] = {
    { { "index", 0 }, { "delta", Json::object() }, { "finish_reason", "stop" } }
  };
  chunk["usage"] = RenderUsage(aUsage);
  return "data: " + Dump(chunk) + "\n\ndata: [DONE]\n\n";
}

std::string
RenderChatAnswer(const std::string& aId,
                 const std::string& aModel,
                 const std::string& aText,
                 const ChatUsage& aUsage)
{
  Json answer = MakeChatObject(aId, aModel, "chat.completion");
  answer["choices"] = { { { "index", 0 },
                          { "message",
                            { { "role", "assistant" }, { "content", aText } } },
                          { "finish_reason", "stop" } } };
  answer["usage"] = RenderUsage(aUsage);
  return Dump(answer);
}

} // namespace fulmarquay
