// Stand-ins for streams that their callers take up again (review/14).
//
//   streams worker ADDRESS ID RECORD
//                    a worker: PREFIX/EVENTS/MS gets EVENTS events, one each MS
//                    ms, after Last-Event-Id; RECORD gets a line for each run
//   streams caller ADDRESS HOST TARGET ID LEAVE_MS RESUME_MS
//                    reads a stream; leaves it after LEAVE_MS ms (0: never);
//                    takes a stream that ended early up again RESUME_MS ms
//                    later; prints one line
#include "sockets.h"

#include <algorithm>
#include <cstdio>
#include <fstream>
#include <mutex>
#include <thread>
#include <vector>

namespace {

std::mutex g_mutex;

void
SleepMs(std::int64_t aMillis)
{
  std::this_thread::sleep_for(std::chrono::milliseconds(aMillis));
}

std::string
Chunk(const std::string& aData)
{
  char size[20];
  std::snprintf(size, sizeof size, "%zx\r\n", aData.size());
  return size + aData + "\r\n";
}

void
Serve(Socket aConnection, const std::string& aId, const std::string& aRecord)
{
  Message request;
  while (ReadHead(aConnection, request) && ReadBody(aConnection, request)) {
    const std::string id = request.Header("request-id");
    const std::string head =
      "Request-Id: " + id + "\r\nKeep-Alive: timeout=10\r\n";
    const std::string expected = request.Header("expect-instance");
    if (request.m_start.find(" /-/report ") != std::string::npos) {
      const std::string report =
        "{\"stage\":\"both\",\"models\":[{\"name\":\"m\",\"version\":1,"
        "\"adapters\":[]}],\"busy\":false,\"seq\":0,\"queued\":0,\"active\":0,"
        "\"kv-used\":0,\"kv-total\":100000,\"handles\":0}";
      aConnection.Send("HTTP/1.1 200 OK\r\nContent-Length: " +
                       std::to_string(report.size()) + "\r\n\r\n" + report);
    } else if (!expected.empty() && expected != aId) {
      aConnection.Send("HTTP/1.1 421 Text\r\nNot-Executed: 1\r\n" + head +
                       "Content-Length: 0\r\n\r\n");
    } else {
      const std::string target =
        request.m_start.substr(0, request.m_start.rfind(' '));
      const std::size_t last = target.rfind('/');
      const std::size_t before = target.rfind('/', last - 1);
      const int events = std::atoi(target.c_str() + before + 1);
      const int pause = std::atoi(target.c_str() + last + 1);
      const std::string after = request.Header("last-event-id");
      {
        const std::lock_guard lock(g_mutex);
        std::ofstream(aRecord, std::ios::app)
          << NowMs() << " worker " << aId << " runs " << id << " after event "
          << (after.empty() ? "-" : after) << "\n";
      }
      bool isOpen = aConnection.Send(
        "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n" + head +
        "Response-Signature: " + aId + "." + id +
        "\r\nTransfer-Encoding: chunked\r\n\r\n");
      const int first = after.empty() ? 0 : std::atoi(after.c_str()) + 1;
      for (int i = first; i < events && isOpen; ++i) {
        SleepMs(pause);
        isOpen = aConnection.Send(
          Chunk("id: " + std::to_string(i) + "\ndata: " + aId + "\n\n"));
      }
      if (!isOpen || !aConnection.Send("0\r\n\r\n")) {
        return;
      }
    }
    request = Message();
  }
}

struct Result
{
  std::string m_start; ///< status line; empty: none
  bool m_isWhole = false;
  int m_last = -1;
  std::string m_workers;
};

/// Sends a request and reads its stream, at most for a time.
Result
Read(const std::string& aAddress,
     const std::string& aRequest,
     std::int64_t aLeaveMs)
{
  Result result;
  Socket connection(::socket(AF_INET, SOCK_STREAM, 0));
  const std::int64_t begin = NowMs();
  const sockaddr_in address = ParseAddress(aAddress);
  Message head;
  if (::connect(connection.Value(),
                reinterpret_cast<const sockaddr*>(&address),
                sizeof address) != 0 ||
      !connection.Send(aRequest) || !ReadHead(connection, head)) {
    return result;
  }
  result.m_start = head.m_start;
  bool isOpen = head.Header("transfer-encoding") == "chunked";
  std::size_t read = 0;
  while (isOpen && connection.Buffer().find("0\r\n\r\n") == std::string::npos &&
         (aLeaveMs == 0 || NowMs() - begin < aLeaveMs)) {
    isOpen = connection.Receive();
  }
  const std::string& text = connection.Buffer();
  result.m_isWhole = text.find("\r\n0\r\n\r\n") != std::string::npos;
  while ((read = text.find("id: ", read)) != std::string::npos) {
    result.m_last = std::atoi(text.c_str() + read + 4);
    const std::size_t data = text.find("data: ", read);
    const std::string worker =
      text.substr(data + 6, text.find('\n', data) - data - 6);
    if (result.m_workers.find(worker) == std::string::npos) {
      result.m_workers += worker + " ";
    }
    ++read;
  }
  return result;
}

int
RunCaller(const std::vector<std::string>& aWords)
{
  const std::string& id = aWords[5];
  const auto request = [&](const std::string& aId, const std::string& aFields) {
    return "POST " + aWords[4] + " HTTP/1.1\r\nHost: " + aWords[3] +
           "\r\nRequest-Id: " + aId +
           "\r\nDeadline-Ms: 15000\r\nModel: m\r\nToken-Usage: 100,20\r\n"
           "Prompt-Prefix: aa:50," +
           aId.substr(aId.size() - 2) + ":50\r\n" + aFields +
           "Content-Length: 2\r\n\r\n{}";
  };
  const Result first =
    Read(aWords[2], request(id, ""), std::atoll(aWords[6].c_str()));
  if (first.m_isWhole || first.m_last < 0) {
    std::printf("%s: %s, %s, last event %d, from %s\n",
                id.c_str(),
                first.m_isWhole ? "whole" : "no event",
                first.m_start.c_str(),
                first.m_last,
                first.m_workers.c_str());
    return first.m_isWhole ? 0 : 1;
  }
  SleepMs(std::atoll(aWords[7].c_str()));
  const Result second =
    Read(aWords[2],
         request(id + "-again",
                 "Last-Event-Id: " + std::to_string(first.m_last) +
                   "\r\nResumes: " + id + "\r\n"),
         0);
  std::printf("%s: taken up after event %d from %s: %s, %s, %s\n",
              id.c_str(),
              first.m_last,
              first.m_workers.c_str(),
              second.m_isWhole ? "goes on" : "does not go on",
              second.m_start.c_str(),
              second.m_workers.c_str());
  return second.m_isWhole ? 0 : 1;
}

} // namespace

int
main(int aCount, char** aWords)
{
  const std::vector<std::string> words(aWords, aWords + aCount);
  if (aCount == 8 && words[1] == "caller") {
    return RunCaller(words);
  }
  if (aCount != 5 || words[1] != "worker") {
    std::fprintf(stderr, "usage: streams worker|caller ...\n");
    return 2;
  }
  const int listener = Listen(words[2]);
  for (;;) {
    const int socket = ::accept(listener, nullptr, nullptr);
    if (socket >= 0) {
      const int on = 1;
      ::setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
      std::thread(
        [](int aSocket, std::string aId, std::string aRecord) {
          Serve(Socket(aSocket), aId, aRecord);
        },
        socket,
        words[3],
        words[4])
        .detach();
    }
  }
}
