#include "fulmarquay/wire/HttpMessage.h"

#include <algorithm>
#include <strings.h>

namespace fulmarquay {

namespace {

constexpr const char* kBlanks = " \t";

std::string_view
Trim(std::string_view aText)
{
  const std::size_t first = aText.find_first_not_of(kBlanks);
  return first == std::string_view::npos
           ? std::string_view()
           : aText.substr(first, aText.find_last_not_of(kBlanks) + 1 - first);
}

bool
IsHeader(const HttpHeader& aHeader, const char* aName)
{
  return strcasecmp(aHeader.m_name.c_str(), aName) == 0;
}

} // namespace

std::string
FindHeader(const std::vector<HttpHeader>& aHeaders, const std::string& aName)
{
  for (const HttpHeader& header : aHeaders) {
    if (IsHeader(header, aName.c_str())) {
      return header.m_value;
    }
  }
  return "";
}

std::vector<std::string>
FindCredentials(const std::vector<HttpHeader>& aHeaders,
                std::string_view aScheme)
{
  std::vector<std::string> found;
  for (const HttpHeader& header : aHeaders) {
    if (!IsHeader(header, "Authorization")) {
      continue;
    }
    const std::string_view value = Trim(header.m_value);
    const std::size_t end = value.find_first_of(kBlanks);
    if (end != aScheme.size() ||
        strncasecmp(value.data(), aScheme.data(), end) != 0) {
      continue;
    }
    std::string credentials(Trim(value.substr(end)));
    if (std::find(found.begin(), found.end(), credentials) == found.end()) {
      found.push_back(std::move(credentials));
    }
  }
  return found;
}

} // namespace fulmarquay
