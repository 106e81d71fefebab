// Blocking loopback sockets with HTTP/1.1 messages, for the stand-ins.
#ifndef REVIEW_STANDIN3_SOCKETS_H
#define REVIEW_STANDIN3_SOCKETS_H

#include <arpa/inet.h>
#include <cstdint>
#include <cstdlib>
#include <cstring>
#include <map>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <string>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

/// Owns a socket.
class Socket
{
public:
  explicit Socket(int aValue)
    : m_value(aValue)
  {
  }
  Socket(Socket&& aOther) noexcept
    : m_value(aOther.m_value)
    , m_buffer(std::move(aOther.m_buffer))
  {
    aOther.m_value = -1;
  }
  ~Socket()
  {
    if (m_value >= 0) {
      ::close(m_value);
    }
  }
  int Value() const { return m_value; }

  bool Send(const std::string& aBytes) const
  {
    std::size_t sent = 0;
    while (sent < aBytes.size()) {
      const ssize_t size = ::send(
        m_value, aBytes.data() + sent, aBytes.size() - sent, MSG_NOSIGNAL);
      if (size <= 0) {
        return false;
      }
      sent += static_cast<std::size_t>(size);
    }
    return true;
  }

  /// Receives at least one byte into the buffer.
  bool Receive(std::size_t aMost = 65536)
  {
    std::string bytes(aMost, '\0');
    const ssize_t size = ::recv(m_value, bytes.data(), bytes.size(), 0);
    if (size <= 0) {
      m_error = size < 0 ? errno : 0;
      return false;
    }
    m_buffer.append(bytes, 0, static_cast<std::size_t>(size));
    return true;
  }

  std::string& Buffer() { return m_buffer; }
  int Error() const { return m_error; }

private:
  int m_value;
  int m_error = 0; ///< of the last Receive; 0: the peer closed
  std::string m_buffer;
};

struct Message
{
  std::string m_start;                          ///< request or status line
  std::map<std::string, std::string> m_headers; ///< names in lower case
  std::string m_body;

  std::string Header(const std::string& aName) const
  {
    const auto found = m_headers.find(aName);
    return found == m_headers.end() ? std::string() : found->second;
  }
};

inline sockaddr_in
ParseAddress(const std::string& aText)
{
  const std::size_t colon = aText.find(':');
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port =
    htons(static_cast<std::uint16_t>(std::atoi(aText.c_str() + colon + 1)));
  ::inet_pton(AF_INET, aText.substr(0, colon).c_str(), &address.sin_addr);
  return address;
}

inline int
Listen(const std::string& aAddress)
{
  const int socket = ::socket(AF_INET, SOCK_STREAM, 0);
  const int on = 1;
  ::setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  const sockaddr_in address = ParseAddress(aAddress);
  if (::bind(socket,
             reinterpret_cast<const sockaddr*>(&address),
             sizeof address) != 0 ||
      ::listen(socket, 512) != 0) {
    std::perror(("listen " + aAddress).c_str());
    std::exit(2);
  }
  return socket;
}

/// Reads a head; returns false at the end of the connection.
inline bool
ReadHead(Socket& aSocket, Message& aMessage)
{
  std::size_t end;
  while ((end = aSocket.Buffer().find("\r\n\r\n")) == std::string::npos) {
    if (!aSocket.Receive()) {
      return false;
    }
  }
  const std::string head = aSocket.Buffer().substr(0, end + 2);
  aSocket.Buffer().erase(0, end + 4);
  std::size_t line = head.find("\r\n");
  aMessage.m_start = head.substr(0, line);
  while (line + 2 < head.size()) {
    const std::size_t begin = line + 2;
    line = head.find("\r\n", begin);
    const std::string field = head.substr(begin, line - begin);
    const std::size_t colon = field.find(':');
    std::string name = field.substr(0, colon);
    for (char& each : name) {
      each = static_cast<char>(std::tolower(each));
    }
    std::size_t value = colon + 1;
    while (value < field.size() && field[value] == ' ') {
      ++value;
    }
    aMessage.m_headers[name] = field.substr(value);
  }
  return true;
}

/// Reads a body that Content-Length delimits.
inline bool
ReadBody(Socket& aSocket, Message& aMessage)
{
  const std::size_t length = static_cast<std::size_t>(
    std::atoll(aMessage.Header("content-length").c_str()));
  while (aSocket.Buffer().size() < length) {
    if (!aSocket.Receive()) {
      return false;
    }
  }
  aMessage.m_body = aSocket.Buffer().substr(0, length);
  aSocket.Buffer().erase(0, length);
  return true;
}

inline std::int64_t
NowMs()
{
  timeval now{};
  ::gettimeofday(&now, nullptr);
  return now.tv_sec * 1000LL + now.tv_usec / 1000;
}

#endif
