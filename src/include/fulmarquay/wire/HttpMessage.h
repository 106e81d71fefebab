#ifndef FULMARQUAY_WIRE_HTTPMESSAGE_H
#define FULMARQUAY_WIRE_HTTPMESSAGE_H

#include "fulmarquay/core/Units.h"

#include <string>
#include <string_view>
#include <vector>

namespace fulmarquay {

/// One header line.
struct HttpHeader
{
  std::string m_name;
  std::string m_value;
};

/// A complete HTTP request.
struct HttpRequest
{
  std::string m_method = "GET";
  std::string m_target = "/";
  std::vector<HttpHeader> m_headers;
  std::string m_body;
};

/// A complete HTTP response, or the head of a streamed one.
struct HttpResponse
{
  int m_status = 200;
  std::vector<HttpHeader> m_headers;
  std::string m_body;
  /// The response had neither a length nor chunks when it was received: only
  /// the end of its connection delimits it.
  bool m_endsWithConnection = false;
  /// When the connection that it was received on was opened; in heads from an
  /// HttpClient only.
  TimePoint m_connectedAt;
};

/// Returns the value of the first header with this name (case-insensitive), or
/// an empty string when there is none.
std::string
FindHeader(const std::vector<HttpHeader>& aHeaders, const std::string& aName);

/// Returns the credentials of all Authorization headers with this scheme
/// (case-insensitive), without the blanks around them, each one once.
std::vector<std::string>
FindCredentials(const std::vector<HttpHeader>& aHeaders,
                std::string_view aScheme);

} // namespace fulmarquay

#endif
