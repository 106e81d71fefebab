#include "Conversation.h"

#include "Caller.h"
#include "fulmarquay/cache/BlockKey.h"
#include "fulmarquay/upstream/StandinAnswer.h"

#include <nlohmann/json.hpp>
#include <random>
#include <sstream>
#include <utility>

namespace fulmarquay {

namespace {

using Json = nlohmann::json;

std::string
MakeSyntheticText(std::uint64_t aSeed, std::int64_t aTokens)
{
  std::mt19937_64 random(aSeed);
  const auto size = static_cast<std::size_t>(aTokens) * kBytesPerToken;
  std::string text;
  text.reserve(size);
  while (text.size() < size) {
    const std::uint64_t value = random();
    text += static_cast<char>('a' + value % 26);
    text += (value >> 32U) % 6 == 0 ? " " : "";
  }
  text.resize(size);
  return text;
}

/// Parses the `data:` events of a server-sent event stream. Sets aIsComplete if
/// the terminating event `[DONE]` is among them, which is not returned.
std::vector<Json>
ParseEvents(const std::string& aBody, bool& aIsComplete)
{
  constexpr std::string_view kPrefix = "data: ";
  std::vector<Json> events;
  std::istringstream in(aBody);
  for (std::string line; std::getline(in, line);) {
    if (!line.starts_with(kPrefix)) {
      continue;
    }
    const std::string data = line.substr(kPrefix.size());
    if (data == "[DONE]") {
      aIsComplete = true;
    } else {
      events.push_back(Json::parse(data));
    }
  }
  return events;
}

} // namespace

Conversation::Conversation(std::string aName,
                           std::string aModel,
                           std::uint64_t aSeed)
  : m_name(std::move(aName))
  , m_model(std::move(aModel))
  , m_seed(aSeed)
{
}

std::string
Conversation::Prompt() const
{
  std::string prompt;
  for (const Message& message : m_messages) {
    prompt += message.m_role + "\n" + message.m_content + "\n";
  }
  return prompt;
}

HttpRequest
Conversation::NextTurn(const std::string& aKey,
                       std::int64_t aTokens,
                       std::uint32_t aMaxTokens)
{
  m_maxTokens = aMaxTokens;
  m_messages.push_back(
    { "user", MakeSyntheticText(m_seed + m_messages.size(), aTokens) });
  Json body = { { "model", m_model },
                { "conversation", m_name },
                { "stream", true },
                { "max_tokens", aMaxTokens } };
  for (const Message& message : m_messages) {
    body["messages"].push_back(
      { { "role", message.m_role }, { "content", message.m_content } });
  }
  HttpRequest request;
  request.m_method = "POST";
  request.m_target = "/v1/chat/completions";
  request.m_headers = CallerHeaders(aKey);
  request.m_body = body.dump();
  return request;
}

TurnResult
Conversation::AddAnswer(const HttpResponse& aResponse)
{
  TurnResult result;
  result.m_status = aResponse.m_status;
  if (aResponse.m_status != 200) {
    return result;
  }
  for (const Json& event : ParseEvents(aResponse.m_body, result.m_isComplete)) {
    const Json& delta = event.at("choices").at(0).at("delta");
    result.m_text += delta.value("content", "");
    if (event.contains("usage")) {
      const Json& usage = event.at("usage");
      result.m_promptTokens = usage.at("prompt_tokens");
      result.m_cached = usage.at("cached_tokens");
      result.m_imported = usage.at("imported_tokens");
      result.m_recomputed = usage.at("recomputed_tokens");
    }
  }
  result.m_isExpectedText =
    result.m_text == StandinAnswer(Prompt(), m_maxTokens);
  m_messages.push_back({ "assistant", result.m_text });
  return result;
}

} // namespace fulmarquay
