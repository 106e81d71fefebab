#include "ResponseText.h"

#include <boost/beast/http.hpp>

namespace fulmarquay {

namespace http = boost::beast::http;

std::string
StatusLine(int aStatus)
{
  const auto status = http::int_to_status(static_cast<unsigned>(aStatus));
  const auto reason = http::obsolete_reason(status);
  return "HTTP/1.1 " + std::to_string(aStatus) + " " +
         std::string(reason.data(), reason.size()) + "\r\n";
}

std::string
HeaderLines(const std::vector<HttpHeader>& aHeaders)
{
  std::string text;
  for (const HttpHeader& header : aHeaders) {
    text += header.m_name + ": " + header.m_value + "\r\n";
  }
  return text;
}

std::string
EncodeChunk(const std::string& aData)
{
  std::string size;
  for (std::size_t rest = aData.size(); rest > 0; rest >>= 4U) {
    size.insert(size.begin(), "0123456789abcdef"[rest & 0xFU]);
  }
  return size + "\r\n" + aData + "\r\n";
}

} // namespace fulmarquay
