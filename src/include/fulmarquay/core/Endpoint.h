#ifndef FULMARQUAY_CORE_ENDPOINT_H
#define FULMARQUAY_CORE_ENDPOINT_H

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

namespace fulmarquay {

/// An IP address and a TCP port. Host names are not supported.
class Endpoint
{
public:
  Endpoint() = default;
  Endpoint(std::string aIp, std::uint16_t aPort);

  /// Parses `10.0.0.1:8080` or `[::1]:8080`. Throws std::invalid_argument.
  static Endpoint Parse(std::string_view aText);

  const std::string& Ip() const { return m_ip; }
  std::uint16_t Port() const { return m_port; }
  std::string ToString() const;

  auto operator<=>(const Endpoint&) const = default;

private:
  std::string m_ip;
  std::uint16_t m_port = 0;
};

} // namespace fulmarquay

#endif
