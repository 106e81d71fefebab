// Stand-ins of the platform for review/11 to review/15.
//
//   stand-in ports N                prints N free ports
//   stand-in call METHOD ADDRESS TARGET ANSWER [BODY]
//                                   sends one request; prints the status
//   stand-in list ADDRESS FILE      the list of instances, read from FILE
//   stand-in worker ADDRESS ID RECORD
//                                   a worker: the answer to a request for
//                                   PREFIX/BYTES/MS has BYTES bytes and is sent
//                                   after MS ms; RECORD gets a line for each
//                                   run
//   stand-in caller ADDRESS HOST TARGET ID RATE DEADLINE_MS [FIRST
//                                   [BODY]]
//                                   sends a POST and reads the answer at RATE
//                                   bytes a second; prints one line; FIRST is
//                                   the target of a request before it on the
//                                   connection, or -; BODY is the size of the
//                                   request's body; KEY in the environment is
//                                   the caller's key
//   stand-in burst ADDRESS HOST TARGET COUNT DEADLINE_MS
//                                   sends COUNT requests at once; prints how
//                                   many were served, refused and not answered
//   stand-in checks ADDRESS TARGET FILE
//                                   checks readiness each second
//   stand-in hold ADDRESS HOST TARGET COUNT LIMIT_MS
//                                   COUNT callers that keep their connections
#include "sockets.h"

#include <cerrno>
#include <cstdio>
#include <fstream>
#include <mutex>
#include <sstream>
#include <thread>
#include <vector>

namespace {

std::mutex g_mutex;

void
AppendLine(const std::string& aFile, const std::string& aLine)
{
  const std::lock_guard lock(g_mutex);
  std::ofstream(aFile, std::ios::app) << aLine << "\n";
}

std::string
ReadFile(const std::string& aFile)
{
  std::ostringstream text;
  text << std::ifstream(aFile).rdbuf();
  return text.str();
}

std::string
Head(int aStatus, std::size_t aLength, const std::string& aFields)
{
  return "HTTP/1.1 " + std::to_string(aStatus) +
         " Text\r\nContent-Length: " + std::to_string(aLength) + "\r\n" +
         aFields + "\r\n";
}

template<typename Serve>
int
Accept(const std::string& aAddress, Serve aServe)
{
  const int listener = Listen(aAddress);
  for (;;) {
    const int socket = ::accept(listener, nullptr, nullptr);
    if (socket < 0) {
      continue;
    }
    const int on = 1;
    ::setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    std::thread([socket, aServe] {
      Socket connection(socket);
      aServe(connection);
    }).detach();
  }
}

int
RunList(const std::string& aAddress, const std::string& aFile)
{
  return Accept(aAddress, [aFile](Socket& aConnection) {
    Message request;
    while (ReadHead(aConnection, request) && ReadBody(aConnection, request)) {
      const std::string body = ReadFile(aFile);
      if (!aConnection.Send(
            Head(200, body.size(), "Content-Type: application/json\r\n") +
            body)) {
        return;
      }
      request = Message();
    }
  });
}

/// The last two numbers of a path PREFIX/BYTES/MS.
std::pair<std::size_t, int>
ParseTarget(const std::string& aStart)
{
  const std::string target = aStart.substr(
    aStart.find(' ') + 1, aStart.rfind(' ') - aStart.find(' ') - 1);
  const std::size_t last = target.rfind('/');
  const std::size_t before = target.rfind('/', last - 1);
  return { static_cast<std::size_t>(std::atoll(target.c_str() + before + 1)),
           std::atoi(target.c_str() + last + 1) };
}

int
RunWorker(const std::string& aAddress,
          const std::string& aId,
          const std::string& aRecord)
{
  return Accept(aAddress, [aId, aRecord](Socket& aConnection) {
    Message request;
    while (ReadHead(aConnection, request) && ReadBody(aConnection, request)) {
      const std::string id = request.Header("request-id");
      const std::string expected = request.Header("expect-instance");
      std::string answer;
      if (request.m_start.find(" /healthz ") != std::string::npos) {
        answer = Head(200, 0, "Instance-Id: " + aId + "\r\n");
      } else if (!expected.empty() && expected != aId) {
        answer = Head(421, 0, "Request-Id: " + id + "\r\nNot-Executed: 1\r\n");
      } else {
        const auto [size, delay] = ParseTarget(request.m_start);
        std::this_thread::sleep_for(std::chrono::milliseconds(delay));
        answer = Head(200,
                      size,
                      "Request-Id: " + id + "\r\nResponse-Signature: " + aId +
                        "." + id + "\r\nKeep-Alive: timeout=10\r\n") +
                 std::string(size, 'x');
        AppendLine(aRecord,
                   std::to_string(NowMs()) + " worker " + aId + " ran " + id +
                     ", answer " + std::to_string(size) + " bytes");
      }
      if (!aConnection.Send(answer)) {
        return;
      }
      request = Message();
    }
  });
}

int
RunCaller(const std::vector<std::string>& aWords)
{
  const std::string& id = aWords[5];
  const double rate = std::atof(aWords[6].c_str());
  const std::int64_t deadline = std::atoll(aWords[7].c_str());
  const int descriptor = ::socket(AF_INET, SOCK_STREAM, 0);
  // As over a usual network: segments of an Ethernet and a small window.
  const int segment = 1460;
  const int window = 16384;
  ::setsockopt(descriptor, IPPROTO_TCP, TCP_MAXSEG, &segment, sizeof segment);
  ::setsockopt(descriptor, SOL_SOCKET, SO_RCVBUF, &window, sizeof window);
  const sockaddr_in address = ParseAddress(aWords[2]);
  if (::connect(descriptor,
                reinterpret_cast<const sockaddr*>(&address),
                sizeof address) != 0) {
    std::printf("caller %s: not connected\n", id.c_str());
    return 1;
  }
  Socket connection(descriptor);
  const std::string body(
    aWords.size() > 9 ? static_cast<std::size_t>(std::atoll(aWords[9].c_str()))
                      : 2,
    'b');
  const char* const key = std::getenv("KEY");
  const std::string authorization =
    key == nullptr ? "" : "\r\nAuthorization: Token " + std::string(key);
  const auto send = [&](const std::string& aTarget, const std::string& aId) {
    connection.Send(
      "POST " + aTarget + " HTTP/1.1\r\nHost: " + aWords[3] +
      "\r\nRequest-Id: " + aId +
      "\r\nDeadline-Ms: " + std::to_string(deadline) + authorization +
      "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
  };
  if (aWords.size() > 8 && aWords[8] != "-") {
    Message first;
    send(aWords[8], id + "-first");
    if (!ReadHead(connection, first) || !ReadBody(connection, first) ||
        first.m_start.find(" 200 ") == std::string::npos) {
      std::printf("caller %s: the first request was not served\n", id.c_str());
      return 3;
    }
  }
  const std::int64_t begin = NowMs();
  send(aWords[4], id);
  Message answer;
  if (!ReadHead(connection, answer)) {
    std::printf("caller %s: no answer after %lld ms, error %d\n",
                id.c_str(),
                static_cast<long long>(NowMs() - begin),
                connection.Error());
    return 1;
  }
  const auto length = static_cast<std::size_t>(
    std::atoll(answer.Header("content-length").c_str()));
  const std::int64_t headAt = NowMs();
  bool isOpen = true;
  while (isOpen && connection.Buffer().size() < length) {
    const auto due = static_cast<std::size_t>(
      static_cast<double>(NowMs() - headAt) * rate / 1000);
    if (connection.Buffer().size() >= due) {
      std::this_thread::sleep_for(std::chrono::milliseconds(5));
      continue;
    }
    isOpen = connection.Receive(
      std::min<std::size_t>(4096, length - connection.Buffer().size()));
  }
  const bool isComplete = connection.Buffer().size() >= length;
  std::printf(
    "caller %s: %s, %zu of %zu bytes, %s, %lld ms after it was sent\n",
    id.c_str(),
    answer.m_start.c_str(),
    connection.Buffer().size(),
    length,
    isComplete                ? "complete"
    : connection.Error() != 0 ? "cut by a reset"
                              : "cut by a close",
    static_cast<long long>(NowMs() - begin));
  return isComplete ? 0 : 1;
}

/// Prints free ports.
int
PrintPorts(int aCount)
{
  std::vector<Socket> held;
  for (int i = 0; i < aCount; ++i) {
    held.emplace_back(::socket(AF_INET, SOCK_STREAM, 0));
    sockaddr_in address = ParseAddress("127.0.0.1:0");
    socklen_t size = sizeof address;
    ::bind(held.back().Value(), reinterpret_cast<sockaddr*>(&address), size);
    ::getsockname(
      held.back().Value(), reinterpret_cast<sockaddr*>(&address), &size);
    std::printf("%d\n", ntohs(address.sin_port));
  }
  return 0;
}

/// Sends one request; prints the status, or 0 without an answer.
int
RunCall(const std::vector<std::string>& aWords)
{
  Socket connection(::socket(AF_INET, SOCK_STREAM, 0));
  const timeval timeout{ 6, 0 };
  ::setsockopt(
    connection.Value(), SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof timeout);
  const sockaddr_in address = ParseAddress(aWords[3]);
  const std::string body = aWords.size() > 6 ? ReadFile(aWords[6]) : "";
  Message answer;
  const bool isAnswered =
    ::connect(connection.Value(),
              reinterpret_cast<const sockaddr*>(&address),
              sizeof address) == 0 &&
    connection.Send(aWords[2] + " " + aWords[4] +
                    " HTTP/1.1\r\nHost: " + aWords[3] + "\r\nContent-Length: " +
                    std::to_string(body.size()) + "\r\n\r\n" + body) &&
    ReadHead(connection, answer) && ReadBody(connection, answer);
  std::ofstream(aWords[5]) << answer.m_body;
  std::printf("%d\n", isAnswered ? std::atoi(answer.m_start.c_str() + 9) : 0);
  return isAnswered ? 0 : 1;
}

/// Sends requests at once, each on a new connection; prints how many were
/// answered with 200, otherwise, and not within the time.
int
RunBurst(const std::vector<std::string>& aWords)
{
  const int count = std::atoi(aWords[5].c_str());
  const timeval timeout{ std::atoi(aWords[6].c_str()) / 1000,
                         std::atoi(aWords[6].c_str()) % 1000 * 1000 };
  int served = 0;
  int refused = 0;
  int silent = 0;
  std::vector<std::thread> callers;
  for (int i = 0; i < count; ++i) {
    callers.emplace_back([&, i] {
      Socket connection(::socket(AF_INET, SOCK_STREAM, 0));
      for (const int option : { SO_RCVTIMEO, SO_SNDTIMEO }) {
        ::setsockopt(
          connection.Value(), SOL_SOCKET, option, &timeout, sizeof timeout);
      }
      const sockaddr_in address = ParseAddress(aWords[2]);
      const std::string id = std::to_string(NowMs()) + "-" + std::to_string(i);
      Message answer;
      const bool isAnswered =
        ::connect(connection.Value(),
                  reinterpret_cast<const sockaddr*>(&address),
                  sizeof address) == 0 &&
        connection.Send(
          "POST " + aWords[4] + " HTTP/1.1\r\nHost: " + aWords[3] +
          "\r\nRequest-Id: " + id + "\r\nDeadline-Ms: " + aWords[6] +
          "\r\nConnection: close\r\nContent-Length: 2\r\n\r\n"
          "{}") &&
        ReadHead(connection, answer) && ReadBody(connection, answer);
      const std::lock_guard lock(g_mutex);
      if (!isAnswered) {
        ++silent;
      } else if (answer.m_start.find(" 200 ") != std::string::npos) {
        ++served;
      } else {
        ++refused;
      }
    });
  }
  for (std::thread& each : callers) {
    each.join();
  }
  std::printf("%d %d %d\n", served, refused, silent);
  return 0;
}

/// Checks a target each second on one connection; appends the statuses to a
/// file, 0 for none.
int
RunChecks(const std::vector<std::string>& aWords)
{
  for (;;) {
    Socket connection(::socket(AF_INET, SOCK_STREAM, 0));
    const timeval timeout{ 1, 0 };
    ::setsockopt(
      connection.Value(), SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof timeout);
    const sockaddr_in address = ParseAddress(aWords[2]);
    bool isOpen = ::connect(connection.Value(),
                            reinterpret_cast<const sockaddr*>(&address),
                            sizeof address) == 0;
    while (isOpen) {
      Message answer;
      isOpen =
        connection.Send("GET " + aWords[3] + " HTTP/1.1\r\nHost: " + aWords[2] +
                        "\r\n\r\n") &&
        ReadHead(connection, answer) && ReadBody(connection, answer);
      if (isOpen) {
        AppendLine(aWords[4], answer.m_start.substr(9, 3));
        std::this_thread::sleep_for(std::chrono::seconds(1));
      }
    }
    AppendLine(aWords[4], "0");
    std::this_thread::sleep_for(std::chrono::milliseconds(300));
  }
}

/// Callers that connect one after the other and keep their connections; prints
/// for each when it was answered.
int
RunHold(const std::vector<std::string>& aWords)
{
  const int count = std::atoi(aWords[5].c_str());
  const int limit = std::atoi(aWords[6].c_str());
  const std::int64_t begin = NowMs();
  std::vector<std::thread> callers;
  for (int i = 0; i < count; ++i) {
    callers.emplace_back([&, i] {
      Socket connection(::socket(AF_INET, SOCK_STREAM, 0));
      const timeval timeout{ limit / 1000, limit % 1000 * 1000 };
      ::setsockopt(
        connection.Value(), SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof timeout);
      const sockaddr_in address = ParseAddress(aWords[2]);
      const std::int64_t sent = NowMs();
      Message answer;
      const bool isAnswered =
        ::connect(connection.Value(),
                  reinterpret_cast<const sockaddr*>(&address),
                  sizeof address) == 0 &&
        connection.Send("POST " + aWords[4] + " HTTP/1.1\r\nHost: " +
                        aWords[3] + "\r\nRequest-Id: last-" +
                        std::to_string(i) + "\r\nDeadline-Ms: " + aWords[6] +
                        "\r\nContent-Length: 2\r\n\r\n{}") &&
        ReadHead(connection, answer) && ReadBody(connection, answer);
      {
        const std::lock_guard lock(g_mutex);
        std::printf("caller %d: sent at %lld ms, %s after %lld ms\n",
                    i,
                    static_cast<long long>(sent - begin),
                    isAnswered ? answer.m_start.c_str() : "no answer",
                    static_cast<long long>(NowMs() - sent));
        std::fflush(stdout);
      }
      // A caller keeps its connection for its next request.
      const std::int64_t left = begin + limit + 1000 - NowMs();
      std::this_thread::sleep_for(
        std::chrono::milliseconds(std::max<std::int64_t>(0, left)));
    });
    std::this_thread::sleep_for(std::chrono::milliseconds(20));
  }
  for (std::thread& each : callers) {
    each.join();
  }
  return 0;
}

} // namespace

int
main(int aCount, char** aWords)
{
  const std::vector<std::string> words(aWords, aWords + aCount);
  const std::string role = aCount > 1 ? words[1] : "";
  if (role == "list" && aCount == 4) {
    return RunList(words[2], words[3]);
  }
  if (role == "worker" && aCount == 5) {
    return RunWorker(words[2], words[3], words[4]);
  }
  if (role == "caller" && aCount >= 8) {
    return RunCaller(words);
  }
  if (role == "ports" && aCount == 3) {
    return PrintPorts(std::atoi(words[2].c_str()));
  }
  if (role == "burst" && aCount == 7) {
    return RunBurst(words);
  }
  if (role == "checks" && aCount == 5) {
    return RunChecks(words);
  }
  if (role == "hold" && aCount == 7) {
    return RunHold(words);
  }
  if (role == "call" && aCount >= 6) {
    return RunCall(words);
  }
  std::fprintf(stderr, "usage: stand-in list|worker|caller ...\n");
  return 2;
}
