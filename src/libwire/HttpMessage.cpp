#include "fulmarquay/wire/HttpMessage.h"

#include <strings.h>

namespace fulmarquay {

std::string
FindHeader(const std::vector<HttpHeader>& aHeaders, const std::string& aName)
{
  for (const HttpHeader& header : aHeaders) {
    if (strcasecmp(header.m_name.c_str(), aName.c_str()) == 0) {
      return header.m_value;
    }
  }
  return "";
}

} // namespace fulmarquay
