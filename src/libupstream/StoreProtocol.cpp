#include "fulmarquay/upstream/StoreProtocol.h"

#include "fulmarquay/core/Error.h"
#include "fulmarquay/wire/JsonText.h"

#include <nlohmann/json.hpp>
#include <utility>

namespace fulmarquay {

namespace {

using Json = nlohmann::json;

std::string
BlockTarget(const BlockKey& aKey, Generation aGeneration)
{
  return "/blocks/" + aKey.ToString() +
         "?generation=" + std::to_string(aGeneration.Value());
}

class HttpStoreProtocol : public StoreProtocol
{
public:
  HttpRequest Write(const ListedBlock& aBlock,
                    std::string aBytes) const override
  {
    HttpRequest request;
    request.m_method = "PUT";
    request.m_target = BlockTarget(aBlock.m_key, aBlock.m_copy.m_generation);
    request.m_headers = {
      { "Block-Account", aBlock.m_account.Value() },
      { "Block-Weights", aBlock.m_weights },
      { "Block-Root", aBlock.m_root.ToString() },
      { "Block-Checksum", std::to_string(aBlock.m_copy.m_checksum) },
    };
    request.m_body = std::move(aBytes);
    return request;
  }

  HttpRequest Read(const BlockKey& aKey, Generation aGeneration) const override
  {
    HttpRequest request;
    request.m_target = BlockTarget(aKey, aGeneration);
    return request;
  }

  HttpRequest Free(const BlockKey& aKey, Generation aGeneration) const override
  {
    HttpRequest request = Read(aKey, aGeneration);
    request.m_method = "DELETE";
    return request;
  }

  HttpRequest List(const std::string& aAfter) const override
  {
    HttpRequest request;
    request.m_target = "/blocks?after=" + aAfter;
    return request;
  }

  StoreListing ParseListing(const StoreId& aStore,
                            const std::string& aBody) const override
  {
    try {
      CheckJsonDepth("read store listing", aBody);
      const Json body = Json::parse(aBody);
      StoreListing listing;
      listing.m_nextPageAfter = body.at("after");
      for (const Json& item : body.at("blocks")) {
        ListedBlock block;
        block.m_key = BlockKey::Parse(item.at("key").get<std::string>());
        block.m_root = BlockKey::Parse(item.at("root").get<std::string>());
        block.m_account = AccountId(item.at("account").get<std::string>());
        block.m_weights = item.at("weights");
        block.m_copy.m_store = aStore;
        block.m_copy.m_generation =
          Generation(item.at("generation").get<std::uint64_t>());
        block.m_copy.m_length = item.at("length");
        block.m_copy.m_checksum = item.at("checksum");
        listing.m_blocks.push_back(std::move(block));
      }
      return listing;
    } catch (const std::exception& e) {
      throw Error("read store listing", aStore.Value(), e.what());
    }
  }
};

} // namespace

std::unique_ptr<StoreProtocol>
MakeHttpStoreProtocol()
{
  return std::make_unique<HttpStoreProtocol>();
}

} // namespace fulmarquay
