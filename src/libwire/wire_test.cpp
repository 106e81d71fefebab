#include <utility>

#include "fulmarquay/core/Error.h"
#include "fulmarquay/core/LogEvent.h"
#include "fulmarquay/wire/Codec.h"
#include "fulmarquay/wire/Frame.h"
#include "fulmarquay/wire/FrameHub.h"
#include "fulmarquay/wire/HttpServer.h"

#include <boost/asio/connect.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_future.hpp>
#include <boost/asio/write.hpp>
#include <cstdint>
#include <cstdio>
#include <random>
#include <sys/resource.h>
#include <thread>
#include <unistd.h>

// Included last because its macros clash with names in other headers.
#include <criterion/criterion.h>

using namespace fulmarquay;

namespace {

struct NumberAndText
{
  std::uint64_t m_number = 0;
  std::string m_text;
  MSGPACK_DEFINE(m_number, m_text)
};
struct WordList
{
  std::vector<std::string> m_words;
  MSGPACK_DEFINE(m_words)
};
using Message = std::variant<NumberAndText, WordList>;

} // namespace

Test(frame, stream_split_at_random_offsets_yields_the_same_frames)
{
  std::string stream;
  for (std::size_t size : { 0U, 1U, 5U, 70000U }) {
    stream += EncodeFrame({ Channel::Control, std::string(size, 'x') });
  }
  std::mt19937_64 random(1);
  for (int run = 0; run < 50; ++run) {
    FrameDecoder decoder;
    std::vector<std::size_t> sizes;
    for (std::size_t offset = 0; offset < stream.size();) {
      const std::size_t part =
        std::min<std::size_t>(stream.size() - offset, 1 + random() % 9000);
      decoder.Feed(std::string_view(stream).substr(offset, part));
      offset += part;
      while (const auto frame = decoder.Next()) {
        sizes.push_back(frame->m_body.size());
      }
    }
    cr_assert(sizes == (std::vector<std::size_t>{ 0, 1, 5, 70000 }));
  }
}

Test(frame, oversized_frame_or_unknown_channel_throws)
{
  for (const std::string& head : { std::string("\xff\xff\xff\xff\x01", 5),
                                   std::string("\x00\x00\x00\x01\x09x", 6),
                                   std::string("\x00\x00\x00\x01\x00x", 6) }) {
    FrameDecoder decoder;
    decoder.Feed(head);
    cr_assert_throw(decoder.Next(), Error);
  }
}

Test(codec, round_trip_and_malformed_input)
{
  const Message sent = WordList{ { "a", "b" } };
  const std::string encoded = PackMessage(sent);
  const auto decoded = UnpackMessage<Message>(encoded);
  cr_assert_eq(std::get<WordList>(decoded).m_words.at(1), "b");
  std::mt19937_64 random(2);
  int rejected = 0;
  for (int i = 0; i < 20'000; ++i) {
    std::string bytes = encoded.substr(0, random() % (encoded.size() + 1));
    for (int n = 0; n < 2 && !bytes.empty(); ++n) {
      bytes[random() % bytes.size()] = static_cast<char>(random());
    }
    try {
      UnpackMessage<Message>(bytes);
    } catch (const Error&) {
      ++rejected;
    }
  }
  cr_assert_gt(rejected, 10'000);
}

namespace {

std::string
DecodeErrorOf(const std::string& aBytes)
{
  try {
    UnpackMessage<Message>(aBytes);
    return "";
  } catch (const Error& e) {
    return e.Reason();
  }
}

} // namespace

Test(codec, declared_size_above_input_size_is_rejected_before_allocation)
{
  // An array and a map of four billion items, and deep nesting.
  for (const std::string& bytes : { std::string("\xdd\xff\xff\xff\xff", 5),
                                    std::string("\xdf\xff\xff\xff\xff", 5),
                                    std::string(10'000, '\x91') }) {
    const std::string reason = DecodeErrorOf(bytes);
    cr_assert_neq(
      reason.find("overflow"), std::string::npos, "%s", reason.c_str());
  }
  // A truncated string is rejected before memory for it is allocated.
  cr_assert_eq(DecodeErrorOf(std::string("\xdb\xff\xff\xff\xff", 5)),
               "insufficient bytes");
}

namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

/// A server that returns the body of each request, on its own thread.
class EchoServer : public HttpHandler
{
public:
  explicit EchoServer(std::size_t aMaxHeaderBytes = 1024)
    : m_server(m_context,
               *this,
               HttpServerLimits{ aMaxHeaderBytes, 4096, Duration(300'000), 8 })
  {
    {
      tcp::acceptor portFinder(
        m_context, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0));
      m_port = portFinder.local_endpoint().port();
    }
    m_server.Listen(Endpoint("127.0.0.1", m_port));
    m_thread = std::thread([this] { m_context.run(); });
  }
  ~EchoServer() override
  {
    m_context.stop();
    m_thread.join();
  }

  void OnRequest(CallerId aCaller, HttpRequest aRequest) override
  {
    HttpResponse response;
    response.m_body = "echo:" + aRequest.m_body;
    m_server.Respond(aCaller, response);
  }
  void OnCallerDisconnected(CallerId, DisconnectReason) override {}

  /// Sends bytes, then reads until the server closes the connection.
  std::string Exchange(const std::string& aBytes, bool aCloseWrite = true)
  {
    asio::io_context context;
    tcp::socket socket(context);
    socket.connect({ asio::ip::make_address("127.0.0.1"), m_port });
    boost::system::error_code error;
    asio::write(socket, asio::buffer(aBytes), error);
    if (aCloseWrite) {
      socket.shutdown(tcp::socket::shutdown_send, error);
    }
    std::string response;
    asio::read(socket, asio::dynamic_buffer(response), error);
    return response;
  }

private:
  asio::io_context m_context;
  HttpServer m_server;
  std::uint16_t m_port = 0;
  std::thread m_thread;
};

/// Sends the beginning of a stream for each request and ends it after a while,
/// as complete or not.
class StreamServer : public HttpHandler
{
public:
  explicit StreamServer(bool aIsComplete)
    : m_isComplete(aIsComplete)
    , m_server(m_context,
               *this,
               HttpServerLimits{ 1024, 4096, Duration(5'000'000), 8 })
    , m_timer(m_context)
  {
    tcp::acceptor portFinder(
      m_context, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0));
    m_port = portFinder.local_endpoint().port();
    portFinder.close();
    m_server.Listen(Endpoint("127.0.0.1", m_port));
    m_thread = std::thread([this] { m_context.run(); });
  }
  ~StreamServer() override
  {
    m_context.stop();
    m_thread.join();
  }

  void OnRequest(CallerId aCaller, HttpRequest) override
  {
    HttpResponse head;
    head.m_headers = { { "Content-Type", "text/event-stream" } };
    m_server.StreamHead(aCaller, head);
    m_server.StreamData(aCaller, "data: a\n\n");
    m_timer.expires_after(std::chrono::milliseconds(50));
    m_timer.async_wait([this, aCaller](const boost::system::error_code&) {
      m_server.StreamEnd(aCaller, m_isComplete);
    });
  }
  void OnCallerDisconnected(CallerId, DisconnectReason) override {}

  /// Sends a request; returns what is received and how the connection ends.
  std::pair<std::string, boost::system::error_code> Exchange(
    const std::string& aRequest)
  {
    asio::io_context context;
    tcp::socket socket(context);
    socket.connect({ asio::ip::make_address("127.0.0.1"), m_port });
    asio::write(socket, asio::buffer(aRequest));
    std::string response;
    boost::system::error_code error;
    asio::read(socket, asio::dynamic_buffer(response), error);
    return { response, error };
  }

private:
  bool m_isComplete;
  asio::io_context m_context;
  HttpServer m_server;
  asio::steady_timer m_timer;
  std::uint16_t m_port = 0;
  std::thread m_thread;
};

std::string
Post(const std::string& aBody, const std::string& aHeaders = "")
{
  return "POST / HTTP/1.1\r\nHost: x\r\n" + aHeaders +
         "Content-Length: " + std::to_string(aBody.size()) + "\r\n\r\n" + aBody;
}

struct InvalidInput
{
  const char* m_name;
  std::string m_bytes;
  bool m_closesWrite;
  const char* m_responseStart; ///< empty: closed without a response
};

std::vector<InvalidInput>
InvalidInputs()
{
  return {
    { "oversized header",
      Post("a", "X: " + std::string(5000, 'h') + "\r\n"),
      true,
      "HTTP/1.1 431" },
    { "oversized body", Post(std::string(9000, 'b')), true, "HTTP/1.1 413" },
    { "huge content length",
      "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 99999999999\r\n\r\n",
      true,
      "HTTP/1.1 413" },
    { "wrong content length",
      "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 50\r\n\r\nshort",
      true,
      "" },
    { "non-numeric content length",
      "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: many\r\n\r\n",
      true,
      "HTTP/1.1 400" },
    { "two content lengths",
      "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 1\r\nContent-Length: "
      "2\r\n\r\nab",
      true,
      "HTTP/1.1 400" },
    { "not HTTP", "\x16\x03\x01hello\r\n\r\n", true, "HTTP/1.1 400" },
    { "slow sender", "POST / HTTP/1.1\r\nHost: x\r\n", false, "" },
    { "no bytes", "", false, "" },
  };
}

/// Answers each request with a response that exceeds the buffers of the system,
/// to a caller that has a small receive buffer.
class LargeResponse : public HttpHandler
{
public:
  static constexpr std::size_t kBytes = 7U << 20U;
  static constexpr Duration kReadTimeout = Duration(300'000);

  LargeResponse()
    : m_server(m_context,
               *this,
               HttpServerLimits{ 1024, 4096, kReadTimeout, 8 })
    , m_socket(m_callerContext)
  {
    tcp::acceptor portFinder(
      m_context, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0));
    const std::uint16_t port = portFinder.local_endpoint().port();
    portFinder.close();
    m_server.Listen(Endpoint("127.0.0.1", port));
    m_socket.open(tcp::v4());
    m_socket.set_option(asio::socket_base::receive_buffer_size(16 << 10));
    m_socket.connect({ asio::ip::make_address("127.0.0.1"), port });
    asio::write(m_socket, asio::buffer(Post("x")));
  }

  void OnRequest(CallerId aCaller, HttpRequest) override
  {
    HttpResponse response;
    response.m_body = std::string(kBytes, 'x');
    m_server.Respond(aCaller, response);
  }
  void OnCallerDisconnected(CallerId, DisconnectReason) override {}

  void Run(Duration aTime)
  {
    m_context.restart();
    m_context.run_for(aTime);
  }

  /// Reads up to a number of bytes; returns how many were read and whether the
  /// connection is still open.
  std::pair<std::size_t, bool> Read(std::size_t aBytes)
  {
    std::string bytes(aBytes, ' ');
    boost::system::error_code error;
    m_socket.non_blocking(true);
    const std::size_t size = asio::read(m_socket, asio::buffer(bytes), error);
    return { size, !error || error == asio::error::would_block };
  }

  /// Reads a piece after each interval until the response, of which some bytes
  /// may have been received, is complete or 400 pieces were read. Returns the
  /// number of bytes received.
  std::size_t ReadWhole(Duration aInterval,
                        std::size_t aPieceBytes,
                        std::size_t aReceived = 0)
  {
    for (int i = 0; i < 400 && aReceived <= kBytes; ++i) {
      Run(aInterval);
      aReceived += Read(aPieceBytes).first;
    }
    return aReceived;
  }

  asio::io_context m_context;
  HttpServer m_server;
  asio::io_context m_callerContext;
  tcp::socket m_socket;
};

} // namespace

namespace {

/// Streams the number of bytes in each request's body.
class BytesServer : public HttpHandler
{
public:
  BytesServer()
    : m_server(m_context,
               *this,
               HttpServerLimits{ 1024, 4096, Duration(5'000'000), 64 })
  {
    tcp::acceptor portFinder(
      m_context, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0));
    m_port = portFinder.local_endpoint().port();
    portFinder.close();
    m_server.Listen(Endpoint("127.0.0.1", m_port));
  }
  void OnRequest(CallerId aCaller, HttpRequest aRequest) override
  {
    m_server.StreamHead(aCaller, HttpResponse());
    m_server.StreamData(aCaller, std::string(std::stoul(aRequest.m_body), 'x'));
  }
  void OnCallerDisconnected(CallerId, DisconnectReason aReason) override
  {
    ++m_disconnected;
    m_reasons.insert(aReason);
  }

  /// Sends a request on a new connection, and runs the server for a while.
  tcp::socket Request(std::size_t aBytes)
  {
    tcp::socket socket(m_callers);
    socket.connect({ asio::ip::make_address("127.0.0.1"), m_port });
    const std::string body = std::to_string(aBytes);
    asio::write(socket,
                asio::buffer("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: " +
                             std::to_string(body.size()) + "\r\n\r\n" + body));
    m_context.run_for(std::chrono::milliseconds(20));
    m_context.restart();
    return socket;
  }

  asio::io_context m_callers;
  asio::io_context m_context;
  HttpServer m_server;
  std::uint16_t m_port = 0;
  int m_disconnected = 0;
  std::set<DisconnectReason> m_reasons;
};

} // namespace

// Guards against answers without end to callers that read slowly, each within
// its own limit, that together take the memory of the process.
Test(http_server, bytes_that_callers_do_not_take_are_bounded_together)
{
  constexpr std::size_t kMebibyte = 1U << 20U;
  BytesServer server;
  std::vector<tcp::socket> callers;
  callers.push_back(server.Request(10));
  for (int i = 0; i < 30; ++i) {
    callers.push_back(server.Request(7 * kMebibyte));
    cr_assert_leq(server.m_server.QueuedBytes(), 24 * kMebibyte);
  }
  cr_assert_geq(server.m_disconnected, 20);
  char byte = 0;
  cr_assert_eq(callers.front().receive(asio::buffer(&byte, 1)), 1U);
  cr_assert_eq(byte, 'H', "a caller with a small answer is not closed");
  cr_assert_geq(server.m_server.Running(), 2U);
}

Test(http_server, a_disconnection_says_who_ended_it)
{
  constexpr std::size_t kOneCallersLimit = 8U << 20U;
  const auto runAfter = [](BytesServer& aServer) {
    aServer.m_context.run_for(std::chrono::milliseconds(50));
    aServer.m_context.restart();
  };
  BytesServer closed;
  tcp::socket leaving = closed.Request(10);
  // Unread bytes would make the end a reset.
  std::string answer(leaving.available(), ' ');
  asio::read(leaving, asio::buffer(answer));
  leaving.close();
  runAfter(closed);
  cr_assert(closed.m_reasons == std::set{ DisconnectReason::CallerClosed });

  BytesServer reset;
  tcp::socket caller = reset.Request(10);
  caller.set_option(asio::socket_base::linger(true, 0));
  caller.close();
  runAfter(reset);
  cr_assert(reset.m_reasons == std::set{ DisconnectReason::CallerReset });

  BytesServer overfull;
  const tcp::socket slow = overfull.Request(2 * kOneCallersLimit);
  cr_assert(overfull.m_reasons == std::set{ DisconnectReason::Overfull });
}

namespace {

/// While it exists, this process can open no more descriptors.
class NoDescriptors
{
public:
  NoDescriptors()
  {
    ::getrlimit(RLIMIT_NOFILE, &m_before);
    const int lowestFree = ::dup(STDERR_FILENO);
    ::close(lowestFree);
    rlimit limit = m_before;
    limit.rlim_cur = static_cast<rlim_t>(lowestFree);
    ::setrlimit(RLIMIT_NOFILE, &limit);
  }
  ~NoDescriptors() { ::setrlimit(RLIMIT_NOFILE, &m_before); }

private:
  rlimit m_before{};
};

/// Handlers that run in 300 ms of an idle server to which nobody can connect;
/// a failed accept that is repeated at once runs tens of thousands.
constexpr std::size_t kMaxIdleHandlers = 30;
constexpr std::chrono::milliseconds kIdleTime(300);

} // namespace

// Guards against an entry that spends its processor time on accepting while it
// has no descriptor left.
Test(http_server, without_descriptors_it_pauses_and_accepts_afterwards)
{
  BytesServer server;
  const tcp::socket running = server.Request(10);
  tcp::socket waiting(server.m_callers);
  waiting.connect({ asio::ip::make_address("127.0.0.1"), server.m_port });
  {
    const NoDescriptors none;
    const std::size_t handlers = server.m_context.run_for(kIdleTime);
    server.m_context.restart();
    cr_assert_leq(handlers, kMaxIdleHandlers, "%zu handlers", handlers);
  }
  asio::write(waiting, asio::buffer(Post("10")));
  server.m_context.run_for(kIdleTime);
  cr_assert_eq(server.m_server.Running(), 2U);
  cr_assert_eq(server.m_disconnected, 0, "a running request goes on");
}

namespace {

/// Collects what this process logs.
class CapturedLog
{
public:
  CapturedLog()
    : m_file(std::tmpfile())
  {
    ::dup2(::fileno(m_file), STDOUT_FILENO);
    StartLog("wire_test", "text");
  }
  ~CapturedLog() { std::fclose(m_file); }

  /// The lines of an event, by its name.
  std::vector<std::string> Lines(const std::string& aEvent) const
  {
    std::vector<std::string> lines;
    std::rewind(m_file);
    for (char line[1000]; std::fgets(line, sizeof(line), m_file) != nullptr;) {
      if (std::string(line).find("name=" + aEvent + " ") != std::string::npos) {
        lines.emplace_back(line);
      }
    }
    return lines;
  }

private:
  std::FILE* m_file;
};

} // namespace

Test(http_server, connections_above_the_limit_are_logged_once_a_second)
{
  const CapturedLog log;
  BytesServer server;
  std::vector<tcp::socket> callers;
  callers.reserve(64);
  for (int i = 0; i < 64; ++i) {
    callers.push_back(server.Request(10));
  }
  for (int i = 0; i < 30; ++i) {
    callers.emplace_back(server.m_callers);
    callers.back().connect(
      { asio::ip::make_address("127.0.0.1"), server.m_port });
  }
  server.m_context.run_for(kIdleTime);
  server.m_context.restart();
  cr_assert_eq(server.m_server.Running(), 64U);
  std::this_thread::sleep_for(std::chrono::seconds(1));
  callers.push_back(server.Request(10));
  const auto lines = log.Lines("CallersTurnedAway");
  cr_assert_eq(lines.size(), 2U, "%zu lines", lines.size());
  cr_assert_neq(lines[0].find("count=\"1\""), std::string::npos);
  cr_assert_neq(lines[1].find("count=\"30\""), std::string::npos);
}

namespace {

/// Answers bodies of one byte at once and larger ones when told to, with a
/// limit for all bodies that three of kLargeBytes reach. On its own thread.
class BodyHolder : public HttpHandler
{
public:
  static constexpr std::size_t kLargeBytes = 2U << 20U;

  BodyHolder()
    : m_server(m_context,
               *this,
               HttpServerLimits{ 1024,
                                 kLargeBytes,
                                 kReadTimeout,
                                 64,
                                 4 * kLargeBytes })
  {
    tcp::acceptor portFinder(
      m_context, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0));
    m_port = portFinder.local_endpoint().port();
    portFinder.close();
    m_server.Listen(Endpoint("127.0.0.1", m_port));
    m_thread = std::thread([this] { m_context.run(); });
  }
  ~BodyHolder() override
  {
    m_context.stop();
    m_thread.join();
  }

  void OnRequest(CallerId aCaller, HttpRequest aRequest) override
  {
    if (aRequest.m_body.size() == 1) {
      m_server.Respond(aCaller, HttpResponse());
    } else {
      m_waiting.push_back(aCaller);
    }
  }
  void OnCallerDisconnected(CallerId, DisconnectReason) override {}

  /// Calls on the server's thread.
  template<typename Call>
  auto Ask(Call aCall)
  {
    return asio::post(m_context, asio::use_future(aCall)).get();
  }
  bool Holds(std::size_t aRequests)
  {
    for (int i = 0; i < 200; ++i) {
      if (Ask([&] { return m_waiting.size(); }) == aRequests) {
        return true;
      }
      std::this_thread::sleep_for(std::chrono::milliseconds(10));
    }
    return false;
  }
  std::size_t BodyBytes()
  {
    return Ask([this] { return m_server.BodyBytes(); });
  }
  void AnswerAll()
  {
    Ask([this] {
      for (const CallerId caller : std::exchange(m_waiting, {})) {
        m_server.Respond(caller, HttpResponse());
      }
      return 0;
    });
  }

  tcp::socket Send(const std::string& aBytes)
  {
    tcp::socket socket(m_callers);
    socket.connect({ asio::ip::make_address("127.0.0.1"), m_port });
    asio::write(socket, asio::buffer(aBytes));
    return socket;
  }
  /// Reads until the end of the head or of the connection.
  static std::string ReadHead(tcp::socket& aSocket)
  {
    std::string head;
    boost::system::error_code error;
    asio::read_until(aSocket, asio::dynamic_buffer(head), "\r\n\r\n", error);
    return head;
  }
  /// Sends the whole request before it reads the answer, as most callers do.
  /// Returns the answer; throws if the connection is reset.
  std::string SendAndRead(const std::string& aBytes)
  {
    tcp::socket socket = Send(aBytes);
    std::this_thread::sleep_for(std::chrono::milliseconds(50));
    std::string response;
    boost::system::error_code error;
    asio::read(socket, asio::dynamic_buffer(response), error);
    cr_assert_eq(error, asio::error::eof, "%s", error.message().c_str());
    return response;
  }

private:
  static constexpr Duration kReadTimeout = Duration(5'000'000);

  asio::io_context m_context;
  asio::io_context m_callers;
  HttpServer m_server;
  std::vector<CallerId> m_waiting;
  std::uint16_t m_port = 0;
  std::thread m_thread;
};

/// A request with a body in chunks of 1 KiB.
std::string
PostInChunks(std::size_t aBytes)
{
  std::string bytes =
    "POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n";
  for (std::size_t i = 0; i < aBytes; i += 1024) {
    bytes += "400\r\n" + std::string(1024, 'c') + "\r\n";
  }
  return bytes + "0\r\n\r\n";
}

bool
IsRefusedAsNotRun(const std::string& aResponse)
{
  return aResponse.starts_with("HTTP/1.1 503") &&
         aResponse.find("Retry-After: 1\r\n") != std::string::npos;
}

} // namespace

// Guards against many large bodies that together take the memory of an entry.
Test(http_server,
     bodies_are_bounded_together_and_small_ones_still_fit,
     .timeout = 20)
{
  for (const bool inChunks : { false, true }) {
    BodyHolder server;
    const std::string large =
      inChunks ? PostInChunks(BodyHolder::kLargeBytes)
               : Post(std::string(BodyHolder::kLargeBytes, 'b'));
    std::vector<tcp::socket> callers;
    callers.reserve(3);
    for (int i = 0; i < 3; ++i) {
      callers.push_back(server.Send(large));
    }
    cr_assert(server.Holds(3));
    cr_assert_eq(server.BodyBytes(), 3 * BodyHolder::kLargeBytes);

    cr_assert(IsRefusedAsNotRun(server.SendAndRead(large)));
    tcp::socket small = server.Send(Post("x"));
    cr_assert(BodyHolder::ReadHead(small).starts_with("HTTP/1.1 200"));
    cr_assert(server.Holds(3), "the refused body was not passed on");

    server.AnswerAll();
    cr_assert_eq(server.BodyBytes(), 0U);
    callers.push_back(server.Send(large));
    cr_assert(server.Holds(1), "there is room again");
    callers.clear();
    for (int i = 0; i < 200 && server.BodyBytes() > 0; ++i) {
      std::this_thread::sleep_for(std::chrono::milliseconds(10));
    }
    cr_assert_eq(server.BodyBytes(), 0U, "its caller has left");
  }
}

Test(http_server,
     a_body_that_does_not_fit_is_refused_before_it_is_sent,
     .timeout = 20)
{
  BodyHolder server;
  std::vector<tcp::socket> callers;
  callers.reserve(3);
  for (int i = 0; i < 3; ++i) {
    callers.push_back(
      server.Send(Post(std::string(BodyHolder::kLargeBytes, 'b'))));
  }
  cr_assert(server.Holds(3));
  tcp::socket refused =
    server.Send("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 70000\r\n\r\n");
  std::string answer;
  std::thread reader([&] { answer = BodyHolder::ReadHead(refused); });
  std::this_thread::sleep_for(std::chrono::milliseconds(500));
  refused.shutdown(tcp::socket::shutdown_both);
  reader.join();
  cr_assert(IsRefusedAsNotRun(answer));
}

// Guards against a process that ends because a caller's header field is longer
// than the HTTP library bears, where the limit in force allows it.
Test(http_server, fields_longer_than_the_library_bears_are_refused)
{
  EchoServer server(256U << 10U);
  const std::vector<std::string> fields = {
    "X: " + std::string(65'600, 'v') + "\r\n",
    std::string(65'600, 'n') + ": v\r\n",
    "X: " + std::string(65'530, 'v') + "\r\n",
  };
  for (const std::string& field : fields) {
    const std::string response = server.Exchange(
      "POST / HTTP/1.1\r\nHost: x\r\n" + field + "Content-Length: 1\r\n\r\na");
    cr_assert(response.starts_with("HTTP/1.1 431"), "%s", response.c_str());
  }
  const std::string response = server.Exchange(
    "POST / HTTP/1.1\r\nHost: x\r\nX: " + std::string(60'000, 'v') +
    "\r\nContent-Length: 1\r\n\r\na");
  cr_assert(response.starts_with("HTTP/1.1 200"), "%s", response.c_str());
}

Test(http_server, a_caller_that_stops_reading_is_disconnected)
{
  LargeResponse fixture;
  fixture.Run(Duration(2'500'000));
  std::size_t received = 0;
  bool isOpen = true;
  for (int i = 0; isOpen && i < 100'000; ++i) {
    const auto [size, isStillOpen] = fixture.Read(64U << 10U);
    received += size;
    isOpen = isStillOpen && size > 0;
  }
  cr_assert_lt(received, LargeResponse::kBytes);
  cr_assert(fixture.m_server.IsIdle());
}

Test(http_server, a_caller_that_reads_slowly_gets_its_whole_response)
{
  LargeResponse fixture;
  // Longer than the read timeout in all, with a piece in each part of it.
  cr_assert_gt(fixture.ReadWhole(Duration(15'000), 64U << 10U),
               LargeResponse::kBytes);
}

Test(http_server, a_pause_of_the_process_disconnects_no_caller)
{
  LargeResponse fixture;
  fixture.Run(Duration(350'000)); // beyond the first check
  std::this_thread::sleep_for(LargeResponse::kReadTimeout * 2);
  // The check is due before the caller's reading is noticed.
  fixture.Run(Duration(1'000));
  const std::size_t received = fixture.Read(1U << 20U).first;
  cr_assert_gt(fixture.ReadWhole(Duration(5'000), 1U << 20U, received),
               LargeResponse::kBytes);
}

Test(http_server, is_idle_only_after_the_last_byte_of_a_response)
{
  LargeResponse fixture;
  fixture.Run(Duration(100'000));
  cr_assert_eq(fixture.m_server.Running(), 0U, "the response is complete");
  cr_assert_not(fixture.m_server.IsIdle(), "its bytes are not");
  fixture.m_server.StopAccepting();
  std::size_t received = 0;
  for (int i = 0; i < 1'000 && !fixture.m_server.IsIdle(); ++i) {
    fixture.Run(Duration(2'000));
    received += fixture.Read(1U << 20U).first;
  }
  cr_assert(fixture.m_server.IsIdle());
}

Test(http_server, invalid_input_gets_an_error_or_a_closed_connection)
{
  EchoServer server;
  for (const InvalidInput& input : InvalidInputs()) {
    const std::string response =
      server.Exchange(input.m_bytes, input.m_closesWrite);
    const std::string expected = input.m_responseStart;
    const bool isExpected =
      expected.empty() ? response.empty() : response.starts_with(expected);
    cr_assert(isExpected, "%s: got '%s'", input.m_name, response.c_str());
    cr_assert_eq(response.find("echo:"), std::string::npos);
  }
  cr_assert_neq(server.Exchange(Post("fine")).find("echo:fine"),
                std::string::npos);
}

Test(http_server, pipelined_requests_are_answered_in_order)
{
  EchoServer server;
  std::string bytes;
  for (int i = 0; i < 20; ++i) {
    bytes += Post("<" + std::to_string(i) + ">");
  }
  const std::string responses = server.Exchange(bytes);
  std::size_t offset = 0;
  for (int i = 0; i < 20; ++i) {
    const std::size_t next =
      responses.find("echo:<" + std::to_string(i) + ">", offset);
    cr_assert_neq(next, std::string::npos);
    offset = next;
  }
}

Test(http_server, truncated_requests_do_not_affect_other_connections)
{
  EchoServer server;
  for (int i = 0; i < 50; ++i) {
    asio::io_context context;
    tcp::socket socket(context);
    boost::system::error_code error;
    std::thread other([&] { server.Exchange(Post("other")); });
    server.Exchange(Post("x").substr(0, static_cast<std::size_t>(i)));
    other.join();
  }
  cr_assert_neq(server.Exchange(Post("fine")).find("echo:fine"),
                std::string::npos);
}

Test(http_server, an_incomplete_stream_does_not_look_complete)
{
  const std::string chunkedEnd = "0\r\n\r\n";
  const std::string close = "Host: x\r\nConnection: close\r\n\r\n";
  for (const bool isComplete : { true, false }) {
    StreamServer server(isComplete);
    const auto [text, end] = server.Exchange("GET / HTTP/1.1\r\n" + close);
    cr_assert_eq(text.ends_with(chunkedEnd), isComplete);
    const auto [oldText, oldEnd] =
      server.Exchange("GET / HTTP/1.0\r\nHost: x\r\n\r\n");
    // Only the end of the connection delimits a response to HTTP/1.0.
    cr_assert_eq(oldEnd == asio::error::eof, isComplete);
    if (isComplete) {
      cr_assert_eq(oldText.find("Transfer-Encoding"), std::string::npos);
      cr_assert(oldText.ends_with("\r\n\r\ndata: a\n\n"));
    }
  }
}

namespace {

/// Counts the closed connections of a hub.
class ClosedCounter : public FrameHandler
{
public:
  void OnConnected(ConnectionId) override { ++m_connected; }
  void OnFrame(ConnectionId, Frame) override {}
  void OnClosed(ConnectionId) override { ++m_closed; }

  int m_connected = 0;
  int m_closed = 0;
};

} // namespace

Test(frame_hub, an_attempt_without_an_answer_ends_before_a_syn_is_sent_again)
{
  asio::io_context context;
  // A listener that accepts nothing drops SYNs once its queue is full.
  tcp::acceptor listener(context);
  const tcp::endpoint any(asio::ip::make_address("127.0.0.1"), 0);
  listener.open(any.protocol());
  listener.bind(any);
  listener.listen(0);
  const tcp::endpoint address = listener.local_endpoint();
  std::vector<tcp::socket> queued;
  for (int i = 0; i < 8; ++i) {
    queued.emplace_back(context);
    queued.back().async_connect(address, [](const auto&) {});
  }
  context.run_for(std::chrono::milliseconds(100));
  context.restart();
  ClosedCounter handler;
  FrameHub hub(context, handler);
  hub.Connect(Endpoint("127.0.0.1", address.port()));
  context.run_for(std::chrono::milliseconds(800));
  cr_assert_eq(handler.m_connected, 0);
  cr_assert_eq(handler.m_closed, 1);
}

Test(frame_hub, without_descriptors_it_pauses_and_accepts_afterwards)
{
  asio::io_context context;
  std::uint16_t port = 0;
  {
    const tcp::endpoint any(asio::ip::make_address("127.0.0.1"), 0);
    port = tcp::acceptor(context, any).local_endpoint().port();
  }
  ClosedCounter handler;
  FrameHub hub(context, handler);
  hub.Listen(Endpoint("127.0.0.1", port));
  asio::io_context callers;
  tcp::socket waiting(callers);
  waiting.connect({ asio::ip::make_address("127.0.0.1"), port });
  {
    const NoDescriptors none;
    const std::size_t handlers = context.run_for(kIdleTime);
    context.restart();
    cr_assert_leq(handlers, kMaxIdleHandlers, "%zu handlers", handlers);
  }
  context.run_for(kIdleTime);
  cr_assert_eq(handler.m_connected, 1);
}

namespace {

/// Keeps the frames that a hub receives.
class FrameKeeper : public ClosedCounter
{
public:
  void OnFrame(ConnectionId, Frame aFrame) override
  {
    m_frames.push_back(std::move(aFrame));
  }

  std::vector<Frame> m_frames;
};

} // namespace

Test(frame_hub, a_frame_above_the_limit_is_left_out_alone)
{
  asio::io_context context;
  std::uint16_t port = 0;
  {
    tcp::acceptor any(context,
                      tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0));
    port = any.local_endpoint().port();
  }
  FrameKeeper receiver;
  FrameHub listening(context, receiver);
  listening.Listen(Endpoint("127.0.0.1", port));
  ClosedCounter sender;
  FrameHub hub(context, sender);
  const ConnectionId connection = hub.Connect(Endpoint("127.0.0.1", port));
  const std::string tooLong(kMaxFrameBytes + 1, 'x');
  hub.Send(connection, { Channel::Control, tooLong });
  hub.Send(connection, { Channel::Control, "next" });
  for (int i = 0; i < 40 && receiver.m_frames.empty(); ++i) {
    context.run_for(std::chrono::milliseconds(50));
    context.restart();
  }
  cr_assert_eq(receiver.m_frames.size(), 1);
  cr_assert_eq(receiver.m_frames.at(0).m_body, "next");
  cr_assert_eq(sender.m_closed, 0);
}
