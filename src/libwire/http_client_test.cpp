// Tests of the HTTP client against a server with scripted responses.
#include <utility>

#include "fulmarquay/wire/HttpClient.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <atomic>
#include <string>
#include <thread>
#include <vector>

// Included last because its macros clash with names in other headers.
#include <criterion/criterion.h>

using namespace fulmarquay;
namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

/// Sends the next scripted text for each request; an empty text closes the
/// connection without a response.
class ScriptedServer
{
public:
  explicit ScriptedServer(std::vector<std::string> aResponses)
    : m_acceptor(m_context, { asio::ip::make_address("127.0.0.1"), 0 })
    , m_responses(std::move(aResponses))
    , m_thread([this] { Run(); })
  {
  }
  ~ScriptedServer() { m_thread.join(); }

  Endpoint Address() const
  {
    return Endpoint("127.0.0.1", m_acceptor.local_endpoint().port());
  }
  int Connections() const { return m_connections; }

private:
  void Run()
  {
    std::size_t next = 0;
    while (next < m_responses.size()) {
      tcp::socket socket = m_acceptor.accept();
      ++m_connections;
      std::string input;
      boost::system::error_code error;
      while (next < m_responses.size()) {
        const std::size_t size = asio::read_until(
          socket, asio::dynamic_buffer(input), "\r\n\r\n", error);
        if (error) {
          break;
        }
        input.erase(0, size);
        const std::string response = m_responses[next++];
        if (response.empty()) {
          break;
        }
        asio::write(socket, asio::buffer(response), error);
      }
    }
  }

  asio::io_context m_context;
  tcp::acceptor m_acceptor;
  std::vector<std::string> m_responses;
  std::atomic<int> m_connections{ 0 };
  std::thread m_thread;
};

/// Makes one call at a time and records its status, body and outcome.
class TestClient : public HttpCallHandler
{
public:
  TestClient()
    : m_client(m_context, *this)
  {
  }

  void Call(HttpCall aCall)
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
  void OnEnd(CallId, CallResult aEnd, const std::string&) override
  {
    m_end = aEnd;
    m_context.stop();
  }

  asio::io_context m_context;
  HttpClient m_client;
  std::uint64_t m_number = 0;
  int m_status = 0;
  std::string m_body;
  CallResult m_end = CallResult::TimedOut;
};

std::string
ResponseText(const std::string& aId,
             const std::string& aBody,
             const std::string& aExtraHeaders = "Keep-Alive: timeout=60\r\n")
{
  return "HTTP/1.1 200 OK\r\nRequest-Id: " + aId + "\r\n" + aExtraHeaders +
         "Content-Length: " + std::to_string(aBody.size()) + "\r\n\r\n" + aBody;
}

HttpCall
CallTo(const ScriptedServer& aServer, const std::string& aId)
{
  HttpCall call;
  call.m_peer = aServer.Address();
  call.m_correlationHeader = { "Request-Id", aId };
  return call;
}

} // namespace

Test(http_client, response_to_another_request_is_dropped)
{
  const ScriptedServer server(
    { ResponseText("old", "late") + ResponseText("new", "own") });
  TestClient client;
  client.Call(CallTo(server, "new"));
  cr_assert_eq(client.m_end, CallResult::Complete);
  cr_assert_eq(client.m_body, "own");
}

Test(http_client, connection_with_surplus_bytes_is_not_reused)
{
  const ScriptedServer server(
    { ResponseText("1", "a") + ResponseText("1", "again"),
      ResponseText("2", "b") });
  TestClient client;
  client.Call(CallTo(server, "1"));
  client.Call(CallTo(server, "2"));
  cr_assert_eq(client.m_body, "b");
  cr_assert_eq(server.Connections(), 2);
}

Test(http_client, idle_connection_is_reused_within_keep_alive_timeout)
{
  const ScriptedServer server(
    { ResponseText("1", "a"),
      ResponseText("2", "b"),
      ResponseText("3", "c", "Keep-Alive: timeout=0\r\n"),
      ResponseText("4", "d") });
  TestClient client;
  for (const char* id : { "1", "2", "3", "4" }) {
    client.Call(CallTo(server, id));
    cr_assert_eq(client.m_end, CallResult::Complete);
  }
  cr_assert_eq(server.Connections(), 2);
}

Test(http_client,
     incomplete_or_malformed_response_is_never_reported_as_complete)
{
  const std::vector<std::string> responses = {
    "",
    "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nshort",
    "nonsense\r\n\r\n",
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n",
  };
  for (const std::string& response : responses) {
    // The second, empty response closes the connection.
    const ScriptedServer server({ response, "" });
    TestClient client;
    HttpCall call = CallTo(server, "1");
    call.m_idleTimeout = Duration(300'000);
    client.Call(call);
    cr_assert_neq(client.m_end, CallResult::Complete, "%s", response.c_str());
    cr_assert_neq(
      client.m_end, CallResult::NotSent, "the request may have been executed");
    client.Call(call);
  }
}

Test(http_client, probe_reports_whether_the_peer_accepts_connections)
{
  Endpoint closedServer;
  {
    const ScriptedServer server({ ResponseText("1", "a") });
    closedServer = server.Address();
    TestClient client;
    HttpCall probe = CallTo(server, "1");
    probe.m_isProbe = true;
    client.Call(probe);
    cr_assert_eq(client.m_end, CallResult::Complete);
    client.Call(CallTo(server, "1"));
  }
  TestClient client;
  HttpCall probe;
  probe.m_peer = closedServer;
  probe.m_isProbe = true;
  client.Call(probe);
  cr_assert_eq(client.m_end, CallResult::NotSent);
}
