#include <utility>

#include "fulmarquay/wire/HttpClient.h"

#include "fulmarquay/core/Clock.h"
#include "fulmarquay/wire/SocketOptions.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>
#include <array>
#include <cstdlib>
#include <list>
#include <map>
#include <optional>

namespace fulmarquay {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using asio::ip::tcp;
using beast::error_code;

constexpr std::size_t kIdlePerPeer = 64;
constexpr std::size_t kReadBytes = 16U << 10U;
constexpr std::uint64_t kMaxAnswerBytes = 64U << 20U;
/// A kept connection is reused within this share of the idle time that its
/// peer has named: far from the moment at which the peer may close it.
constexpr int kIdleDivisor = 2;
/// Where the peer names none, its idle time may be below a second.
constexpr Duration kUnnamedIdle(200'000);
constexpr const char* kTimeoutWord = "timeout=";

/// How long a connection may wait for its next request.
Duration
UsableIdle(std::string_view aKeepAlive)
{
  const std::size_t place = aKeepAlive.find(kTimeoutWord);
  if (place == std::string_view::npos) {
    return kUnnamedIdle;
  }
  const std::string digits(
    aKeepAlive.substr(place + std::string_view(kTimeoutWord).size()));
  const long seconds = std::strtol(digits.c_str(), nullptr, 10);
  return std::chrono::seconds(seconds) / kIdleDivisor;
}

/// A connection and the bytes read beyond the last answer.
struct Wire
{
  explicit Wire(asio::io_context& aContext)
    : m_stream(aContext)
  {
  }
  beast::tcp_stream m_stream;
  beast::flat_buffer m_buffer;
  TimePoint m_usableUntil;
};
using WirePtr = std::shared_ptr<Wire>;

bool
IsStillOpen(Wire& aWire)
{
  error_code error;
  char byte = 0;
  aWire.m_stream.socket().non_blocking(true, error);
  aWire.m_stream.socket().receive(
    asio::buffer(&byte, 1), tcp::socket::message_peek, error);
  return error == asio::error::would_block;
}

} // namespace

class HttpClient::Impl : public std::enable_shared_from_this<Impl>
{
public:
  Impl(asio::io_context& aContext, HttpCallHandler& aHandler)
    : m_context(aContext)
    , m_handler(aHandler)
  {
  }

  void Start(HttpCall aCall);
  void Cancel(CallId aCall);
  void Stop();

  asio::io_context& m_context;

private:
  struct Running
  {
    HttpCall m_call;
    WirePtr m_wire;
    http::request<http::string_body> m_request;
    std::optional<http::response_parser<http::buffer_body>> m_parser;
    std::array<char, kReadBytes> m_part{};
    bool m_isSent = false;
    bool m_isForeign = false; ///< the answer that is being read
  };
  using RunningPtr = std::shared_ptr<Running>;

  bool IsCurrent(const RunningPtr& aRunning) const;
  WirePtr TakeIdle(const Endpoint& aPeer);
  void Connect(const RunningPtr& aRunning);
  void WriteRequest(const RunningPtr& aRunning);
  void ReadHead(const RunningPtr& aRunning);
  void ReadBody(const RunningPtr& aRunning);
  void OnBody(const RunningPtr& aRunning, const error_code& aError);
  void Fail(const RunningPtr& aRunning, const error_code& aError);
  void Finish(const RunningPtr& aRunning);
  void Close(Wire& aWire);
  void BoundWait(const Running& aRunning);
  void DropIdle(const Endpoint& aPeer);
  static bool IsForeign(const Running& aRunning);

  HttpCallHandler& m_handler;
  std::map<CallId, RunningPtr> m_running;
  std::map<Endpoint, std::list<WirePtr>> m_idle;
};

bool
HttpClient::Impl::IsCurrent(const RunningPtr& aRunning) const
{
  const auto place = m_running.find(aRunning->m_call.m_call);
  return place != m_running.end() && place->second == aRunning;
}

void
HttpClient::Impl::Close(Wire& aWire)
{
  error_code ignored;
  aWire.m_stream.socket().close(ignored);
}

WirePtr
HttpClient::Impl::TakeIdle(const Endpoint& aPeer)
{
  std::list<WirePtr>& idle = m_idle[aPeer];
  while (!idle.empty()) {
    WirePtr wire = idle.back();
    idle.pop_back();
    if (MonotonicNow() < wire->m_usableUntil && IsStillOpen(*wire)) {
      return wire;
    }
    Close(*wire);
  }
  return nullptr;
}

void
HttpClient::Impl::Start(HttpCall aCall)
{
  auto running = std::make_shared<Running>();
  running->m_call = std::move(aCall);
  const HttpRequest& from = running->m_call.m_request;
  auto& request = running->m_request;
  request.version(11);
  request.method_string(from.m_method);
  request.target(from.m_target);
  if (FindHeader(from.m_headers, "Host").empty()) {
    request.set(http::field::host, running->m_call.m_peer.ToString());
  }
  for (const HttpHeader& header : from.m_headers) {
    request.insert(header.m_name, header.m_value);
  }
  request.body() = from.m_body;
  request.prepare_payload();
  m_running[running->m_call.m_call] = running;
  if (!running->m_call.m_freshConnection && !running->m_call.m_isProbe) {
    running->m_wire = TakeIdle(running->m_call.m_peer);
  }
  if (running->m_wire) {
    WriteRequest(running);
  } else {
    Connect(running);
  }
}

void
HttpClient::Impl::BoundWait(const Running& aRunning)
{
  if (aRunning.m_call.m_idleTimeout > Duration(0)) {
    aRunning.m_wire->m_stream.expires_after(aRunning.m_call.m_idleTimeout);
  } else {
    aRunning.m_wire->m_stream.expires_never();
  }
}

bool
HttpClient::Impl::IsForeign(const Running& aRunning)
{
  const HttpHeader& mark = aRunning.m_call.m_correlationHeader;
  if (mark.m_name.empty()) {
    return false;
  }
  const auto& answer = aRunning.m_parser->get();
  const auto found = answer.find(mark.m_name);
  // An answer without the header may be a refusal before the head was read.
  return found != answer.end() && found->value() != mark.m_value;
}

void
HttpClient::Impl::Connect(const RunningPtr& aRunning)
{
  aRunning->m_wire = std::make_shared<Wire>(m_context);
  const Endpoint& peer = aRunning->m_call.m_peer;
  const tcp::endpoint endpoint(asio::ip::make_address(peer.Ip()), peer.Port());
  aRunning->m_wire->m_stream.expires_after(aRunning->m_call.m_connectTimeout);
  auto self = shared_from_this();
  aRunning->m_wire->m_stream.async_connect(
    endpoint, [self, aRunning](const error_code& aError) {
      if (!self->IsCurrent(aRunning)) {
        return;
      }
      if (aError) {
        self->Fail(aRunning, aError);
        return;
      }
      error_code ignored;
      if (aRunning->m_call.m_isProbe) {
        self->Close(*aRunning->m_wire);
        self->m_running.erase(aRunning->m_call.m_call);
        self->m_handler.OnEnd(aRunning->m_call.m_call, CallEnd::Whole, "");
        return;
      }
      auto& socket = aRunning->m_wire->m_stream.socket();
      socket.set_option(tcp::no_delay(true), ignored);
      if (aRunning->m_call.m_peerTimeout > Duration(0)) {
        SetPeerTimeout(socket.native_handle(), aRunning->m_call.m_peerTimeout);
      }
      self->WriteRequest(aRunning);
    });
}

void
HttpClient::Impl::WriteRequest(const RunningPtr& aRunning)
{
  aRunning->m_isSent = true;
  BoundWait(*aRunning);
  auto self = shared_from_this();
  http::async_write(aRunning->m_wire->m_stream,
                    aRunning->m_request,
                    [self, aRunning](const error_code& aError, std::size_t) {
                      if (!self->IsCurrent(aRunning)) {
                        return;
                      }
                      if (aError) {
                        self->Fail(aRunning, aError);
                        return;
                      }
                      self->ReadHead(aRunning);
                    });
}

void
HttpClient::Impl::ReadHead(const RunningPtr& aRunning)
{
  aRunning->m_parser.emplace();
  aRunning->m_parser->body_limit(kMaxAnswerBytes);
  BoundWait(*aRunning);
  auto self = shared_from_this();
  http::async_read_header(
    aRunning->m_wire->m_stream,
    aRunning->m_wire->m_buffer,
    *aRunning->m_parser,
    [self, aRunning](const error_code& aError, std::size_t) {
      if (!self->IsCurrent(aRunning)) {
        return;
      }
      if (aError) {
        self->Fail(aRunning, aError);
        return;
      }
      aRunning->m_isForeign = IsForeign(*aRunning);
      if (aRunning->m_isForeign) {
        self->ReadBody(aRunning);
        return;
      }
      HttpResponse head;
      head.m_status = static_cast<int>(aRunning->m_parser->get().result_int());
      for (const auto& field : aRunning->m_parser->get()) {
        head.m_headers.push_back(
          { std::string(field.name_string()), std::string(field.value()) });
      }
      self->m_handler.OnHead(aRunning->m_call.m_call, head);
      if (self->IsCurrent(aRunning)) {
        self->ReadBody(aRunning);
      }
    });
}

void
HttpClient::Impl::ReadBody(const RunningPtr& aRunning)
{
  if (aRunning->m_parser->is_done()) {
    if (aRunning->m_isForeign && aRunning->m_parser->keep_alive()) {
      ReadHead(aRunning);
    } else if (aRunning->m_isForeign) {
      Fail(aRunning, http::error::partial_message);
    } else {
      Finish(aRunning);
    }
    return;
  }
  auto& body = aRunning->m_parser->get().body();
  body.data = aRunning->m_part.data();
  body.size = aRunning->m_part.size();
  BoundWait(*aRunning);
  auto self = shared_from_this();
  http::async_read_some(
    aRunning->m_wire->m_stream,
    aRunning->m_wire->m_buffer,
    *aRunning->m_parser,
    [self, aRunning](const error_code& aError, std::size_t) {
      if (self->IsCurrent(aRunning)) {
        self->OnBody(aRunning, aError);
      }
    });
}

void
HttpClient::Impl::OnBody(const RunningPtr& aRunning, const error_code& aError)
{
  const bool isFull = aError == http::error::need_buffer;
  const std::size_t size =
    aRunning->m_part.size() - aRunning->m_parser->get().body().size;
  if (size > 0 && !aRunning->m_isForeign) {
    m_handler.OnData(aRunning->m_call.m_call,
                     std::string(aRunning->m_part.data(), size));
  }
  if (!IsCurrent(aRunning)) {
    return;
  }
  if (aError && !isFull) {
    Fail(aRunning, aError);
    return;
  }
  ReadBody(aRunning);
}

void
HttpClient::Impl::DropIdle(const Endpoint& aPeer)
{
  for (const WirePtr& wire : m_idle[aPeer]) {
    Close(*wire);
  }
  m_idle.erase(aPeer);
}

void
HttpClient::Impl::Fail(const RunningPtr& aRunning, const error_code& aError)
{
  Close(*aRunning->m_wire);
  m_running.erase(aRunning->m_call.m_call);
  if (aError == asio::error::timed_out || aError == beast::error::timeout) {
    // Others that wait for their next request are as silent.
    DropIdle(aRunning->m_call.m_peer);
  }
  CallEnd end = CallEnd::Broken;
  if (!aRunning->m_isSent) {
    end = CallEnd::NotSent;
  } else if (aError == beast::error::timeout) {
    end = CallEnd::TimedOut;
  }
  m_handler.OnEnd(aRunning->m_call.m_call, end, aError.message());
}

void
HttpClient::Impl::Finish(const RunningPtr& aRunning)
{
  m_running.erase(aRunning->m_call.m_call);
  Wire& wire = *aRunning->m_wire;
  wire.m_stream.expires_never();
  const auto& answer = aRunning->m_parser->get();
  const auto keepAlive = answer.find(http::field::keep_alive);
  const TimePoint now = MonotonicNow();
  wire.m_usableUntil =
    now +
    (keepAlive == answer.end()
       ? kUnnamedIdle
       : UsableIdle({ keepAlive->value().data(), keepAlive->value().size() }));
  std::list<WirePtr>& idle = m_idle[aRunning->m_call.m_peer];
  while (!idle.empty() && now >= idle.front()->m_usableUntil) {
    Close(*idle.front());
    idle.pop_front();
  }
  // Bytes beyond the answer belong to no request.
  const bool isClean = wire.m_buffer.size() == 0;
  if (aRunning->m_parser->keep_alive() && isClean &&
      idle.size() < kIdlePerPeer) {
    idle.push_back(aRunning->m_wire);
  } else {
    Close(*aRunning->m_wire);
  }
  m_handler.OnEnd(aRunning->m_call.m_call, CallEnd::Whole, "");
}

void
HttpClient::Impl::Cancel(CallId aCall)
{
  const auto place = m_running.find(aCall);
  if (place == m_running.end()) {
    return;
  }
  const RunningPtr running = place->second;
  m_running.erase(place);
  Close(*running->m_wire);
}

void
HttpClient::Impl::Stop()
{
  while (!m_running.empty()) {
    Cancel(m_running.begin()->first);
  }
  m_idle.clear();
}

HttpClient::HttpClient(asio::io_context& aContext, HttpCallHandler& aHandler)
  : m_impl(std::make_shared<Impl>(aContext, aHandler))
{
}

HttpClient::~HttpClient()
{
  m_impl->Stop();
}

void
HttpClient::Start(HttpCall aCall)
{
  auto impl = m_impl;
  asio::post(impl->m_context, [impl, call = std::move(aCall)]() mutable {
    impl->Start(std::move(call));
  });
}

void
HttpClient::Cancel(CallId aCall)
{
  auto impl = m_impl;
  asio::post(impl->m_context, [impl, aCall] { impl->Cancel(aCall); });
}

} // namespace fulmarquay
