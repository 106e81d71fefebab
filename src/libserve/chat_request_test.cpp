// Tests of the parser of chat requests.
#include "fulmarquay/core/Error.h"
#include "fulmarquay/serve/ChatRequest.h"

#include <string>

// Included last because its macros clash with names in other headers.
#include <criterion/criterion.h>

using namespace fulmarquay;

Test(chat_request, deeply_nested_body_is_rejected)
{
  const auto bodyWith = [](const std::string& aValue) {
    return R"({"model":"m","messages":[{"role":"user","content":"hi"}],"x":)" +
           aValue + "}";
  };
  cr_assert_eq(ParseChatRequest(bodyWith("[[[1]]]")).m_model, "m");
  for (const std::size_t depth : { 100U, 1'000'000U }) {
    const std::string nested =
      std::string(depth, '[') + std::string(depth, ']');
    cr_assert_throw(ParseChatRequest(bodyWith(nested)), Error);
  }
  cr_assert_throw(ParseChatRequest(std::string(1'000'000, '[')), Error);
  cr_assert_throw(ParseChatRequest(bodyWith("1e999")), Error);
}
