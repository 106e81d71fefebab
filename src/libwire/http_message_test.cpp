// Tests of the functions for HTTP headers.
#include "fulmarquay/wire/HttpMessage.h"

// Included last because its macros clash with names in other headers.
#include <criterion/criterion.h>

using namespace fulmarquay;

// Guards against credentials that are taken for missing ones because of the
// spelling of their header.
Test(http_message, credentials_of_a_scheme)
{
  using Texts = std::vector<std::string>;
  struct Case
  {
    Texts m_values;
    Texts m_credentials;
  };
  const std::vector<Case> cases = {
    { {}, {} },
    { { "" }, {} },
    { { "Token k" }, { "k" } },
    { { "token k" }, { "k" } },
    { { "TOKEN  k " }, { "k" } },
    { { "Token\tk" }, { "k" } },
    { { " Token k" }, { "k" } },
    { { "Token a b" }, { "a b" } },
    { { "Token" }, {} },
    { { "Token  " }, {} },
    { { "Tokenk" }, {} },
    { { "Tokens k" }, {} },
    { { "Basic k" }, {} },
    { { "Basic b", "Token k" }, { "k" } },
    { { "Token k", "Basic b" }, { "k" } },
    { { "Token k", "token  k" }, { "k" } },
    { { "Token a", "Token b", "Token a" }, { "a", "b" } },
  };
  for (const Case& each : cases) {
    std::vector<HttpHeader> headers{ { "Tokens", "Token x" } };
    for (const std::string& value : each.m_values) {
      headers.push_back({ "authorization", value });
    }
    cr_assert(FindCredentials(headers, "Token") == each.m_credentials,
              "%s",
              each.m_values.empty() ? "" : each.m_values.front().c_str());
  }
}
