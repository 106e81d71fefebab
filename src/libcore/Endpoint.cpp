#include "fulmarquay/core/Endpoint.h"

#include <arpa/inet.h>
#include <array>
#include <charconv>
#include <stdexcept>
#include <utility>

namespace fulmarquay {

namespace {

bool
IsIp(const std::string& aText)
{
  std::array<unsigned char, sizeof(in6_addr)> buffer{};
  if (aText.find('\0') != std::string::npos) {
    return false;
  }
  return inet_pton(AF_INET, aText.c_str(), buffer.data()) == 1 ||
         inet_pton(AF_INET6, aText.c_str(), buffer.data()) == 1;
}

} // namespace

Endpoint::Endpoint(std::string aIp, std::uint16_t aPort)
  : m_ip(std::move(aIp))
  , m_port(aPort)
{
}

Endpoint
Endpoint::Parse(std::string_view aText)
{
  const std::size_t colon = aText.rfind(':');
  if (colon == std::string_view::npos) {
    throw std::invalid_argument("no port");
  }
  std::string ip(aText.substr(0, colon));
  if (ip.size() > 2 && ip.front() == '[' && ip.back() == ']') {
    ip = ip.substr(1, ip.size() - 2);
  }
  if (!IsIp(ip)) {
    throw std::invalid_argument("not an IP address");
  }
  const std::string_view digits = aText.substr(colon + 1);
  std::uint16_t port = 0;
  const char* end = digits.data() + digits.size();
  const auto [parsedEnd, error] = std::from_chars(digits.data(), end, port);
  if (error != std::errc() || parsedEnd != end || digits.empty()) {
    throw std::invalid_argument("not a port");
  }
  return Endpoint(std::move(ip), port);
}

std::string
Endpoint::ToString() const
{
  const bool isV6 = m_ip.find(':') != std::string::npos;
  const std::string host = isV6 ? "[" + m_ip + "]" : m_ip;
  return host + ":" + std::to_string(m_port);
}

} // namespace fulmarquay
