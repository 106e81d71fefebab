#include "fulmarquay/upstream/EngineProtocol.h"

#include "fulmarquay/core/Error.h"
#include "fulmarquay/wire/JsonText.h"

#include <nlohmann/json.hpp>

namespace fulmarquay {

namespace {

using Json = nlohmann::json;

/// A longer line without an end is rejected as malformed.
constexpr std::size_t kMaxLineBytes = 1U << 20U;

Json
ParseJson(std::string_view aText, const char* aStep)
{
  CheckJsonDepth(aStep, aText);
  try {
    return Json::parse(aText);
  } catch (const Json::exception& e) {
    throw Error(aStep, "", e.what());
  }
}

HttpRequest
Post(const char* aTarget, const Json& aBody)
{
  HttpRequest request;
  request.m_method = "POST";
  request.m_target = aTarget;
  request.m_headers = { { "Content-Type", "application/json" } };
  request.m_body = aBody.dump(-1, ' ', false, Json::error_handler_t::replace);
  return request;
}

EngineToken
ReadToken(const Json& aLine)
{
  EngineToken token;
  token.m_request = aLine.at("request");
  token.m_attempt = aLine.at("attempt");
  token.m_index = aLine.at("index");
  token.m_text = aLine.at("text");
  return token;
}

EngineEnd
ReadEnd(const Json& aLine)
{
  EngineEnd end;
  end.m_request = aLine.at("request");
  end.m_attempt = aLine.at("attempt");
  end.m_tokens = aLine.at("tokens");
  end.m_cached = Tokens(aLine.at("cached").get<std::int64_t>());
  end.m_imported = Tokens(aLine.at("imported").get<std::int64_t>());
  end.m_recomputed = Tokens(aLine.at("recomputed").get<std::int64_t>());
  for (const std::string key : aLine.at("wrong")) {
    end.m_invalidKeys.push_back(BlockKey::Parse(key));
  }
  return end;
}

class JsonEngineStream : public EngineStream
{
public:
  std::vector<EngineStreamItem> Feed(std::string_view aBytes) override
  {
    m_buffer.append(aBytes);
    std::vector<EngineStreamItem> parts;
    std::size_t start = 0;
    for (std::size_t end = m_buffer.find('\n'); end != std::string::npos;
         end = m_buffer.find('\n', start)) {
      parts.push_back(
        ReadLine(std::string_view(m_buffer).substr(start, end - start)));
      start = end + 1;
    }
    m_buffer.erase(0, start);
    if (m_buffer.size() > kMaxLineBytes) {
      throw Error(
        "read engine answer", "", "line without end longer than 1 MiB");
    }
    return parts;
  }

private:
  static EngineStreamItem ReadLine(std::string_view aLine)
  {
    const Json line = ParseJson(aLine, "read engine answer");
    try {
      if (line.value("end", false)) {
        return ReadEnd(line);
      }
      return ReadToken(line);
    } catch (const std::exception& e) {
      throw Error("read engine answer", "", e.what());
    }
  }

  std::string m_buffer;
};

class JsonEngineProtocol : public EngineProtocol
{
public:
  HttpRequest Generate(const GenerateRequest& aRequest) const override
  {
    Json body = { { "request", aRequest.m_request },
                  { "attempt", aRequest.m_attempt },
                  { "account", aRequest.m_account.Value() },
                  { "weights", aRequest.m_weights },
                  { "adapter", aRequest.m_adapter },
                  { "prompt", aRequest.m_prompt },
                  { "so_far", aRequest.m_sentText },
                  { "offset", aRequest.m_offset },
                  { "max_tokens", aRequest.m_maxTokens },
                  { "priority", aRequest.m_priority },
                  { "root", aRequest.m_root.ToString() } };
    body["keys"] = Json::array();
    for (const BlockKey& key : aRequest.m_keys) {
      body["keys"].push_back(key.ToString());
    }
    if (!aRequest.m_import.empty()) {
      Json import = { { "store", aRequest.m_storeAddress },
                      { "delay_us", aRequest.m_importDelay.count() },
                      { "bytes_per_second", aRequest.m_importBytesPerSecond } };
      for (const ImportBlock& block : aRequest.m_import) {
        import["blocks"].push_back(
          { { "key", block.m_key.ToString() },
            { "generation", block.m_copy.m_generation.Value() },
            { "length", block.m_copy.m_length },
            { "checksum",
              block.m_copy.m_checksum } });
      }
      body["import"] = std::move(import);
    }
    return Post("/generate", body);
  }

  std::unique_ptr<EngineStream> OpenStream() const override
  {
    return std::make_unique<JsonEngineStream>();
  }

  HttpRequest Export(const ExportRequest& aRequest) const override
  {
    Json body = { { "account", aRequest.m_account.Value() },
                  { "weights", aRequest.m_weights },
                  { "root", aRequest.m_root.ToString() },
                  { "store", aRequest.m_storeAddress },
                  { "delay_us", aRequest.m_delay.count() },
                  { "bytes_per_second", aRequest.m_perSecond } };
    for (const ExportBlock& block : aRequest.m_blocks) {
      body["blocks"].push_back(
        { { "key", block.m_key.ToString() },
          { "generation", block.m_generation.Value() } });
    }
    return Post("/export", body);
  }

  std::vector<ExportedBlock> ParseExport(
    const std::string& aBody) const override
  {
    const Json body = ParseJson(aBody, "read export answer");
    try {
      std::vector<ExportedBlock> blocks;
      for (const Json& item : body.at("blocks")) {
        ExportedBlock block;
        block.m_key = BlockKey::Parse(item.at("key").get<std::string>());
        block.m_generation = Generation(item.at("generation"));
        block.m_isComplete = item.at("whole");
        block.m_length = item.at("length");
        block.m_checksum = item.at("checksum");
        blocks.push_back(block);
      }
      return blocks;
    } catch (const std::exception& e) {
      throw Error("read export answer", "", e.what());
    }
  }

  HttpRequest Report(std::uint64_t aAfter) const override
  {
    HttpRequest request;
    request.m_target = "/report?after=" + std::to_string(aAfter);
    return request;
  }

  EngineReport ParseReport(const std::string& aBody) const override
  {
    const Json body = ParseJson(aBody, "read engine report");
    try {
      EngineReport report;
      report.m_next = body.at("next");
      report.m_first = body.at("first");
      report.m_running = body.at("running");
      report.m_queuedTokens = body.at("queued_tokens");
      report.m_weights = body.at("weights");
      report.m_isLeaving = body.at("leaving");
      for (const Json& item : body.at("events")) {
        EngineCacheEvent event;
        event.m_sequence = item.at("seq");
        event.m_isAdded = item.at("added");
        event.m_key = BlockKey::Parse(item.at("key").get<std::string>());
        event.m_root = BlockKey::Parse(item.at("root").get<std::string>());
        report.m_events.push_back(event);
      }
      return report;
    } catch (const std::exception& e) {
      throw Error("read engine report", "", e.what());
    }
  }

  HttpRequest Order(const EngineOrder& aOrder) const override
  {
    return Post("/order",
                { { "number", aOrder.m_number },
                  { "kind", aOrder.m_kind },
                  { "target", aOrder.m_target } });
  }
};

} // namespace

std::unique_ptr<EngineProtocol>
MakeJsonEngineProtocol()
{
  return std::make_unique<JsonEngineProtocol>();
}

} // namespace fulmarquay
