// Tests of answers that arrive while their request is still being sent, and of
// answers whose status is none.
#include <utility>

#include "fulmarquay/core/Clock.h"
#include "fulmarquay/wire/HttpClient.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <functional>
#include <string>
#include <thread>
#include <vector>

// Included last because its macros clash with names in other headers.
#include <criterion/criterion.h>

using namespace fulmarquay;
namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

constexpr std::chrono::milliseconds kPause(100);
constexpr std::size_t kReceiveBuffer = 4U << 10U;
const std::string kPart = "HTTP/1.1 200 OK\r\n\r\nid: 1\ndata: a\n\n";

/// What a server does with a connection after it has read the head.
using Behaviour = std::function<void(tcp::socket&)>;

/// Answers one request. Its small receive buffer keeps an upload from being
/// received as a whole.
class Server
{
public:
  explicit Server(Behaviour aBehaviour)
    : m_acceptor(m_context)
  {
    m_acceptor.open(tcp::v4());
    m_acceptor.set_option(
      asio::socket_base::receive_buffer_size(kReceiveBuffer));
    m_acceptor.bind({ asio::ip::make_address("127.0.0.1"), 0 });
    m_acceptor.listen();
    m_thread = std::thread([this, behaviour = std::move(aBehaviour)] {
      tcp::socket socket = m_acceptor.accept();
      std::string input;
      boost::system::error_code error;
      asio::read_until(socket, asio::dynamic_buffer(input), "\r\n\r\n", error);
      behaviour(socket);
    });
  }
  ~Server() { m_thread.join(); }

  Endpoint Address() const
  {
    return Endpoint("127.0.0.1", m_acceptor.local_endpoint().port());
  }

private:
  asio::io_context m_context;
  tcp::acceptor m_acceptor;
  std::thread m_thread;
};

/// Makes one call and records its outcome.
class Client : public HttpCallHandler
{
public:
  Client()
    : m_client(m_context, *this)
  {
  }
  void Call(const Server& aServer, std::size_t aUploadBytes)
  {
    HttpCall call;
    call.m_call = CallId(1);
    call.m_peer = aServer.Address();
    call.m_request.m_method = "POST";
    call.m_request.m_target = "/";
    call.m_request.m_body = std::string(aUploadBytes, 'u');
    call.m_idleTimeout = Duration(3'000'000);
    const TimePoint begin = MonotonicNow();
    m_client.Start(std::move(call));
    m_context.run_for(std::chrono::seconds(20));
    m_time = MonotonicNow() - begin;
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
  int m_status = -1;
  std::string m_body;
  CallResult m_end = CallResult::NotEncoded;
  Duration m_time{};
};

void
WritePart(tcp::socket& aSocket)
{
  boost::system::error_code error;
  asio::write(aSocket, asio::buffer(kPart), error);
}

void
Reset(tcp::socket& aSocket)
{
  aSocket.set_option(asio::socket_base::linger(true, 0));
  aSocket.close();
}

/// Reads what has arrived, so that closing sends an orderly end.
void
Drain(tcp::socket& aSocket)
{
  std::string input(kReceiveBuffer * 4, '\0');
  boost::system::error_code error;
  while (aSocket.available(error) > 0) {
    aSocket.read_some(asio::buffer(input), error);
  }
}

} // namespace

// Guards against taking the part of an answer without a length for the whole
// one when its connection breaks while the request is still being sent.
Test(early_answers, part_of_an_answer_is_incomplete_when_the_upload_is_cut)
{
  const std::vector<std::pair<const char*, Behaviour>> behaviours = {
    { "a reset at once",
      [](tcp::socket& aSocket) {
        WritePart(aSocket);
        Reset(aSocket);
      } },
    { "a reset after a pause",
      [](tcp::socket& aSocket) {
        WritePart(aSocket);
        std::this_thread::sleep_for(kPause);
        Reset(aSocket);
      } },
    { "an end, then a reset",
      [](tcp::socket& aSocket) {
        WritePart(aSocket);
        aSocket.shutdown(tcp::socket::shutdown_send);
        std::this_thread::sleep_for(kPause);
        Reset(aSocket);
      } },
    { "an end while the upload is stuck",
      [](tcp::socket& aSocket) {
        WritePart(aSocket);
        aSocket.shutdown(tcp::socket::shutdown_send);
        std::this_thread::sleep_for(3 * kPause);
        aSocket.close();
      } },
  };
  for (const auto& [name, behaviour] : behaviours) {
    for (const std::size_t size : { 100'000, 400'000, 1'500'000, 3'900'000 }) {
      const Server server(behaviour);
      Client client;
      client.Call(server, size);
      cr_assert_eq(client.m_end,
                   CallResult::Incomplete,
                   "%s, upload of %zu bytes: body %s",
                   name,
                   size,
                   client.m_body.c_str());
    }
  }
}

// The same answer is whole once its request was received.
Test(early_answers, answer_that_ends_with_its_connection_is_complete)
{
  constexpr std::size_t kUpload = 400'000;
  const Server server([](tcp::socket& aSocket) {
    WritePart(aSocket);
    std::string input(kUpload, '\0');
    std::size_t received = 0;
    boost::system::error_code error;
    while (!error && received < kUpload) {
      received += aSocket.read_some(asio::buffer(input), error);
      if (received + kReceiveBuffer >= kUpload) {
        std::this_thread::sleep_for(kPause);
        Drain(aSocket);
        break;
      }
    }
    aSocket.close();
  });
  Client client;
  client.Call(server, kUpload);
  cr_assert_eq(client.m_end, CallResult::Complete);
  cr_assert_eq(client.m_status, 200);
}

// Guards against a status that is none being delivered, or skipped as an
// interim one until the caller's time is over.
Test(early_answers, status_that_is_none_ends_the_call)
{
  for (const char* status : { "000", "001", "099", "600", "799", "999" }) {
    const Server server([&](tcp::socket& aSocket) {
      const std::string text = std::string("HTTP/1.1 ") + status +
                               " Odd\r\nContent-Length: 4\r\n\r\nbody";
      boost::system::error_code error;
      asio::write(aSocket, asio::buffer(text), error);
      std::string input;
      asio::read_until(aSocket, asio::dynamic_buffer(input), "\r\n\r\n", error);
    });
    Client client;
    client.Call(server, 0);
    cr_assert_eq(client.m_end, CallResult::Incomplete, "%s", status);
    cr_assert_eq(client.m_status, -1, "%s is delivered", status);
    cr_assert_lt(client.m_time, Duration(1'000'000), "%s", status);
  }
}
