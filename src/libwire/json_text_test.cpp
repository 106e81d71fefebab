// Tests of the checks and scans of JSON text that precede its parser.
#include "fulmarquay/core/Error.h"
#include "fulmarquay/wire/JsonText.h"

#include <string>
#include <string_view>
#include <utility>
#include <vector>

// Included last because its macros clash with names in other headers.
#include <criterion/criterion.h>

using namespace fulmarquay;

namespace {

std::vector<std::string>
Elements(std::string_view aArray)
{
  std::vector<std::string> elements;
  ForEachJsonElement("test", aArray, [&](std::string_view aElement) {
    elements.emplace_back(aElement);
  });
  return elements;
}

std::vector<std::string>
Members(std::string_view aObject)
{
  std::vector<std::string> members;
  ForEachJsonMember(
    "test", aObject, [&](std::string_view aKey, std::string_view aValue) {
      members.push_back(std::string(aKey) + "=" + std::string(aValue));
    });
  return members;
}

} // namespace

Test(json_text, nesting_beyond_the_limit_is_rejected_at_any_depth)
{
  for (const char bracket : { '[', '{' }) {
    CheckJsonDepth("test", std::string(kMaxJsonDepth, bracket));
    for (const std::size_t depth : { kMaxJsonDepth + 1, 10'000'000UL }) {
      cr_assert_throw(CheckJsonDepth("test", std::string(depth, bracket)),
                      Error);
    }
  }
  std::string wide;
  for (std::size_t i = 0; i < 2 * kMaxJsonDepth; ++i) {
    wide += "[{}],";
  }
  CheckJsonDepth("test", wide);
  CheckJsonDepth("test", "\"\\\"" + std::string(1'000, '[') + "\"");
  CheckJsonDepth("test", "]]]]\"\\");
}

Test(json_text, elements_and_members_are_found_without_parsing_them)
{
  const std::vector<std::pair<std::string, std::vector<std::string>>> arrays = {
    { "[]", {} },
    { " [ ] ", {} },
    { "[1e999, x y ,]", { "1e999", "x y ", "" } },
    { R"([{"a":[1,2]},"],[",[[]]])", { R"({"a":[1,2]})", R"("],[")", "[[]]" } },
    { R"(["\"]\\",2])", { R"("\"]\\")", "2" } },
  };
  for (const auto& [text, elements] : arrays) {
    cr_assert(Elements(text) == elements, "%s", text.c_str());
  }
  cr_assert(Members("{}").empty());
  cr_assert(Members(R"({ "a" : [1,{"b":2}] , "c\"":NaN })") ==
            std::vector<std::string>({ R"(a=[1,{"b":2}] )", R"(c\"=NaN )" }));
}

Test(json_text, text_without_an_end_is_rejected)
{
  for (const char* text :
       { "", "[", "[1", "[1,", "[[1]", "[\"]", "[\"\\", "[1}", "[1]x", "1" }) {
    cr_assert_throw(Elements(text), Error, "%s", text);
  }
  for (const char* text : { "",
                            "{",
                            "{\"",
                            "{\"a\"",
                            "{\"a\":",
                            "{\"a\":1",
                            "{\"a\":1]",
                            "{\"a\" 1}",
                            "{a:1}",
                            "{\"a\":1,}",
                            "{\"a\":1}x" }) {
    cr_assert_throw(Members(text), Error, "%s", text);
  }
}
