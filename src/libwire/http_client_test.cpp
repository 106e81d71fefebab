// The HTTP client against a server that writes what each test says.
#include <utility>

#include "fulmarquay/wire/HttpClient.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <atomic>
#include <string>
#include <thread>
#include <vector>

// Last: its macros clash with names in other headers.
#include <criterion/criterion.h>

using namespace fulmarquay;
namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

/// Answers each request of each connection with the next text; an empty text
/// closes the connection without an answer.
class Server
{
public:
  explicit Server(std::vector<std::string> aAnswers)
    : m_acceptor(m_context, { asio::ip::make_address("127.0.0.1"), 0 })
    , m_answers(std::move(aAnswers))
    , m_thread([this] { Run(); })
  {
  }
  ~Server() { m_thread.join(); }

  Endpoint Address() const
  {
    return Endpoint("127.0.0.1", m_acceptor.local_endpoint().port());
  }
  int Connections() const { return m_connections; }

private:
  void Run()
  {
    std::size_t next = 0;
    while (next < m_answers.size()) {
      tcp::socket socket = m_acceptor.accept();
      ++m_connections;
      std::string input;
      boost::system::error_code error;
      while (next < m_answers.size()) {
        const std::size_t size = asio::read_until(
          socket, asio::dynamic_buffer(input), "\r\n\r\n", error);
        if (error) {
          break;
        }
        input.erase(0, size);
        const std::string answer = m_answers[next++];
        if (answer.empty()) {
          break;
        }
        asio::write(socket, asio::buffer(answer), error);
      }
    }
  }

  asio::io_context m_context;
  tcp::acceptor m_acceptor;
  std::vector<std::string> m_answers;
  std::atomic<int> m_connections{ 0 };
  std::thread m_thread;
};

/// Makes calls one after the other and keeps what they brought.
class Calls : public HttpCallHandler
{
public:
  Calls()
    : m_client(m_context, *this)
  {
  }

  void Make(HttpCall aCall)
  {
    m_body.clear();
    m_status = 0;
    aCall.m_call = CallId(++m_number);
    m_client.Start(std::move(aCall));
    m_context.restart();
    m_context.run_for(std::chrono::seconds(20));
  }

  void OnHead(CallId, const HttpResponse& aHead) override
  {
    m_status = aHead.m_status;
  }
  void OnData(CallId, std::string aData) override { m_body += aData; }
  void OnEnd(CallId, CallEnd aEnd, const std::string&) override
  {
    m_end = aEnd;
    m_context.stop();
  }

  asio::io_context m_context;
  HttpClient m_client;
  std::uint64_t m_number = 0;
  int m_status = 0;
  std::string m_body;
  CallEnd m_end = CallEnd::TimedOut;
};

std::string
Answer(const std::string& aId,
       const std::string& aBody,
       const std::string& aMore = "Keep-Alive: timeout=60\r\n")
{
  return "HTTP/1.1 200 OK\r\nRequest-Id: " + aId + "\r\n" + aMore +
         "Content-Length: " + std::to_string(aBody.size()) + "\r\n\r\n" + aBody;
}

HttpCall
CallTo(const Server& aServer, const std::string& aId)
{
  HttpCall call;
  call.m_peer = aServer.Address();
  call.m_correlationHeader = { "Request-Id", aId };
  return call;
}

} // namespace

Test(http_client, an_answer_to_another_request_is_dropped)
{
  const Server server({ Answer("old", "late") + Answer("new", "own") });
  Calls calls;
  calls.Make(CallTo(server, "new"));
  cr_assert_eq(calls.m_end, CallEnd::Whole);
  cr_assert_eq(calls.m_body, "own");
}

Test(http_client, bytes_beyond_an_answer_end_its_connection)
{
  const Server server(
    { Answer("1", "a") + Answer("1", "again"), Answer("2", "b") });
  Calls calls;
  calls.Make(CallTo(server, "1"));
  calls.Make(CallTo(server, "2"));
  cr_assert_eq(calls.m_body, "b");
  cr_assert_eq(server.Connections(), 2);
}

Test(http_client, a_kept_connection_is_used_again_within_its_idle_time)
{
  const Server server({ Answer("1", "a"),
                        Answer("2", "b"),
                        Answer("3", "c", "Keep-Alive: timeout=0\r\n"),
                        Answer("4", "d") });
  Calls calls;
  for (const char* id : { "1", "2", "3", "4" }) {
    calls.Make(CallTo(server, id));
    cr_assert_eq(calls.m_end, CallEnd::Whole);
  }
  cr_assert_eq(server.Connections(), 2);
}

Test(http_client, broken_answers_are_never_whole)
{
  const std::vector<std::string> answers = {
    "",
    "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nshort",
    "nonsense\r\n\r\n",
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n",
  };
  for (const std::string& answer : answers) {
    // The second, empty answer closes the connection.
    const Server server({ answer, "" });
    Calls calls;
    HttpCall call = CallTo(server, "1");
    call.m_idleTimeout = Duration(300'000);
    calls.Make(call);
    cr_assert_neq(calls.m_end, CallEnd::Whole, "%s", answer.c_str());
    cr_assert_neq(calls.m_end, CallEnd::NotSent, "it may have run");
    calls.Make(call);
  }
}

Test(http_client, a_probe_tells_whether_connections_are_taken)
{
  Endpoint gone;
  {
    const Server server({ Answer("1", "a") });
    gone = server.Address();
    Calls calls;
    HttpCall probe = CallTo(server, "1");
    probe.m_isProbe = true;
    calls.Make(probe);
    cr_assert_eq(calls.m_end, CallEnd::Whole);
    calls.Make(CallTo(server, "1"));
  }
  Calls calls;
  HttpCall probe;
  probe.m_peer = gone;
  probe.m_isProbe = true;
  calls.Make(probe);
  cr_assert_eq(calls.m_end, CallEnd::NotSent);
}
