#ifndef FULMARQUAY_WIRE_HTTPMESSAGE_H
#define FULMARQUAY_WIRE_HTTPMESSAGE_H

#include <string>
#include <vector>

namespace fulmarquay {

/// One header line.
struct HttpHeader
{
  std::string m_name;
  std::string m_value;
};

/// A whole HTTP request.
struct HttpRequest
{
  std::string m_method = "GET";
  std::string m_target = "/";
  std::vector<HttpHeader> m_headers;
  std::string m_body;
};

/// A whole HTTP answer, or the head of a streamed one.
struct HttpResponse
{
  int m_status = 200;
  std::vector<HttpHeader> m_headers;
  std::string m_body;
};

/// The value of a header, by its name without regard to case; empty when
/// there is none.
std::string
FindHeader(const std::vector<HttpHeader>& aHeaders, const std::string& aName);

} // namespace fulmarquay

#endif
