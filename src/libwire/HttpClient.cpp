// Connections, requests and ends of calls. HttpResponseReading.cpp reads the
// responses.
#include "HttpClientImpl.h"

#include "fulmarquay/core/Clock.h"
#include "fulmarquay/core/LogEvent.h"
#include "fulmarquay/wire/SocketOptions.h"

#include <boost/asio/post.hpp>
#include <algorithm>
#include <cstdlib>

namespace fulmarquay {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using asio::ip::tcp;
using beast::error_code;

constexpr std::size_t kMaxIdlePerPeer = 64;
constexpr unsigned kFirstErrorStatus = 400;
/// An idle connection is reused only for this fraction of the keep-alive
/// timeout announced by its peer, well before the peer may close it.
constexpr int kIdleReuseDivisor = 2;
/// For peers that announce no keep-alive timeout; it may be below one second.
constexpr Duration kDefaultReuseTime(200'000);
constexpr const char* kTimeoutParameter = "timeout=";

/// Returns for how long an idle connection may be reused, given the value of
/// the peer's Keep-Alive header.
Duration
ReuseTime(std::string_view aKeepAlive)
{
  const std::size_t position = aKeepAlive.find(kTimeoutParameter);
  if (position == std::string_view::npos) {
    return kDefaultReuseTime;
  }
  const std::string digits(
    aKeepAlive.substr(position + std::string_view(kTimeoutParameter).size()));
  const long seconds = std::strtol(digits.c_str(), nullptr, 10);
  return std::chrono::seconds(seconds) / kIdleReuseDivisor;
}

bool
IsStillOpen(tcp::socket& aSocket)
{
  error_code error;
  char byte = 0;
  aSocket.non_blocking(true, error);
  aSocket.receive(asio::buffer(&byte, 1), tcp::socket::message_peek, error);
  return error == asio::error::would_block;
}

} // namespace

bool
HttpClient::Impl::IsCurrent(const ActiveCallPtr& aActive) const
{
  const auto found = m_activeCalls.find(aActive->m_call.m_call);
  return found != m_activeCalls.end() && found->second == aActive;
}

void
HttpClient::Impl::Close(Connection& aConnection)
{
  error_code ignored;
  aConnection.m_stream.socket().close(ignored);
}

void
HttpClient::Impl::Reset(Connection& aConnection)
{
  // After an orderly close, the kernel still retransmits a request that a
  // partition delays, although its caller has already got an error.
  error_code ignored;
  aConnection.m_stream.socket().set_option(asio::socket_base::linger(true, 0),
                                           ignored);
  Close(aConnection);
}

HttpClient::Impl::ConnectionPtr
HttpClient::Impl::TakeIdle(const Endpoint& aPeer, TimePoint aConnectedBefore)
{
  std::list<ConnectionPtr>& idle = m_idle[aPeer];
  auto each = idle.end();
  while (each != idle.begin()) {
    --each;
    if (aConnectedBefore != TimePoint() &&
        (*each)->m_connectedAt >= aConnectedBefore) {
      continue;
    }
    ConnectionPtr connection = *each;
    each = idle.erase(each);
    if (MonotonicNow() < connection->m_reuseDeadline &&
        IsStillOpen(connection->m_stream.socket())) {
      return connection;
    }
    Close(*connection);
  }
  return nullptr;
}

http::request<http::string_body>
HttpClient::Impl::EncodeRequest(HttpCall& aCall)
{
  HttpRequest& source = aCall.m_request;
  http::request<http::string_body> request;
  request.version(11);
  request.method_string(source.m_method);
  request.target(source.m_target);
  if (FindHeader(source.m_headers, "Host").empty()) {
    request.set(http::field::host, aCall.m_peer.ToString());
  }
  for (const HttpHeader& header : source.m_headers) {
    request.insert(header.m_name, header.m_value);
  }
  request.body() = std::move(source.m_body);
  request.prepare_payload();
  return request;
}

void
HttpClient::Impl::Start(HttpCall aCall)
{
  auto active = std::make_shared<ActiveCall>();
  active->m_call = std::move(aCall);
  active->m_isHeadOnly = active->m_call.m_request.m_method == "HEAD";
  try {
    active->m_request = EncodeRequest(active->m_call);
  } catch (const std::exception& e) {
    // Beast throws for fields that it can't hold. Nothing of this call is
    // registered yet, and others are not affected.
    WriteLog(
      LogEvent::RequestNotEncoded,
      { { "peer", active->m_call.m_peer.ToString() }, { "reason", e.what() } });
    m_handler.OnEnd(active->m_call.m_call, CallResult::NotEncoded, e.what());
    return;
  }
  m_activeCalls[active->m_call.m_call] = active;
  active->m_startedAt = MonotonicNow();
  const bool needsNewConnection =
    active->m_call.m_needsNewConnection || active->m_call.m_isProbe;
  if (active->MayUseKeptConnection() && !needsNewConnection) {
    active->m_connection =
      TakeIdle(active->m_call.m_peer, active->m_call.m_connectedBefore);
    active->m_mayReceiveEarlierResponse = active->m_connection != nullptr;
  }
  if (active->m_connection) {
    WriteRequest(active);
  } else if (active->m_call.m_connectedBefore != TimePoint()) {
    m_activeCalls.erase(active->m_call.m_call);
    m_handler.OnEnd(
      active->m_call.m_call, CallResult::NotSent, "no earlier connection");
  } else {
    Connect(active);
  }
}

void
HttpClient::Impl::SetTimeout(const ActiveCall& aActive)
{
  const HttpCall& call = aActive.m_call;
  Duration timeout = call.m_idleTimeout;
  if (call.m_totalTimeout > Duration(0)) {
    const Duration left = std::max(
      aActive.m_startedAt + call.m_totalTimeout - MonotonicNow(), Duration(1));
    timeout = timeout > Duration(0) ? std::min(timeout, left) : left;
  }
  if (timeout > Duration(0)) {
    aActive.m_connection->m_stream.expires_after(timeout);
  } else {
    aActive.m_connection->m_stream.expires_never();
  }
}

bool
HttpClient::Impl::CountBytes(ActiveCall& aActive, std::size_t aBytes)
{
  aActive.m_receivedBytes += aBytes;
  return aActive.m_receivedBytes <= aActive.m_call.m_maxResponseBytes;
}

void
HttpClient::Impl::Connect(const ActiveCallPtr& aActive)
{
  // Its address is known to the function only after it is built.
  const auto link = std::make_shared<std::weak_ptr<Connection>>();
  aActive->m_connection = std::make_shared<Connection>(
    m_context, m_input, [weak = weak_from_this(), link] {
      if (const auto self = weak.lock()) {
        self->EndInput(*link);
      }
    });
  *link = aActive->m_connection;
  const Endpoint& peer = aActive->m_call.m_peer;
  error_code error;
  const auto address = asio::ip::make_address(peer.Ip(), error);
  if (error) {
    Fail(aActive, error);
    return;
  }
  const tcp::endpoint endpoint(address, peer.Port());
  aActive->m_connection->m_stream.expires_after(
    aActive->m_call.m_connectTimeout);
  auto self = shared_from_this();
  aActive->m_connection->m_stream.async_connect(
    endpoint, [self, aActive](const error_code& aError) {
      if (!self->IsCurrent(aActive)) {
        return;
      }
      if (aError) {
        self->Fail(aActive, aError);
        return;
      }
      error_code ignored;
      if (aActive->m_call.m_isProbe) {
        self->Close(*aActive->m_connection);
        self->m_activeCalls.erase(aActive->m_call.m_call);
        self->m_handler.OnEnd(aActive->m_call.m_call, CallResult::Complete, "");
        return;
      }
      aActive->m_connection->m_connectedAt = MonotonicNow();
      auto& socket = aActive->m_connection->m_stream.socket();
      socket.set_option(tcp::no_delay(true), ignored);
      if (aActive->m_call.m_peerTimeout > Duration(0)) {
        SetPeerTimeout(socket.native_handle(), aActive->m_call.m_peerTimeout);
      }
      self->WriteRequest(aActive);
    });
}

void
HttpClient::Impl::WriteRequest(const ActiveCallPtr& aActive)
{
  aActive->m_isSendStarted = true;
  SetTimeout(*aActive);
  auto self = shared_from_this();
  http::async_write(aActive->m_connection->m_stream,
                    aActive->m_request,
                    [self, aActive](const error_code& aError, std::size_t) {
                      if (!self->IsCurrent(aActive)) {
                        return;
                      }
                      if (aError) {
                        self->Fail(aActive, aError);
                        return;
                      }
                      // An answer may take long, and a body much memory.
                      aActive->m_request.body() = std::string();
                      self->ReadHead(aActive);
                    });
}

void
HttpClient::Impl::CloseIdle(const Endpoint& aPeer)
{
  for (const ConnectionPtr& connection : m_idle[aPeer]) {
    Close(*connection);
  }
  m_idle.erase(aPeer);
}

void
HttpClient::Impl::Fail(const ActiveCallPtr& aActive, const error_code& aError)
{
  if (aError == http::error::header_limit) {
    LogInput(*aActive,
             "read response",
             aActive->m_reason.empty() ? aError.message() : aActive->m_reason);
  }
  Reset(*aActive->m_connection);
  m_activeCalls.erase(aActive->m_call.m_call);
  if (aError == asio::error::timed_out || aError == beast::error::timeout) {
    // The idle connections to this peer are assumed to be unresponsive too.
    CloseIdle(aActive->m_call.m_peer);
  }
  CallResult end = CallResult::Incomplete;
  if (!aActive->m_isSendStarted) {
    end = CallResult::NotSent;
  } else if (aError == beast::error::timeout) {
    end = CallResult::TimedOut;
  }
  m_handler.OnEnd(aActive->m_call.m_call, end, aError.message());
}

void
HttpClient::Impl::Finish(const ActiveCallPtr& aActive)
{
  m_activeCalls.erase(aActive->m_call.m_call);
  Connection& connection = *aActive->m_connection;
  connection.m_stream.expires_never();
  const bool isBufferEmpty = connection.m_buffer.size() == 0;
  connection.m_buffer = beast::flat_buffer(kMaxUnparsedBytes);
  connection.m_share.Set(0);
  const auto& response = aActive->m_parser->get();
  const auto keepAlive = response.find(http::field::keep_alive);
  const TimePoint now = MonotonicNow();
  connection.m_reuseDeadline =
    now +
    (keepAlive == response.end()
       ? kDefaultReuseTime
       : ReuseTime({ keepAlive->value().data(), keepAlive->value().size() }));
  std::list<ConnectionPtr>& idle = m_idle[aActive->m_call.m_peer];
  while (!idle.empty() && now >= idle.front()->m_reuseDeadline) {
    Close(*idle.front());
    idle.pop_front();
  }
  const bool isIdentified =
    aActive->IsCorrelated() || (aActive->m_call.m_isContentChecked &&
                                response.result_int() < kFirstErrorStatus);
  // Bytes after the response belong to no request.
  if (aActive->m_parser->keep_alive() && isBufferEmpty && isIdentified &&
      idle.size() < kMaxIdlePerPeer) {
    idle.push_back(aActive->m_connection);
  } else {
    Close(*aActive->m_connection);
  }
  m_handler.OnEnd(aActive->m_call.m_call, CallResult::Complete, "");
}

void
HttpClient::Impl::Cancel(CallId aCall)
{
  const auto found = m_activeCalls.find(aCall);
  if (found == m_activeCalls.end()) {
    return;
  }
  const ActiveCallPtr active = found->second;
  m_activeCalls.erase(found);
  Reset(*active->m_connection);
}

void
HttpClient::Impl::Stop()
{
  while (!m_activeCalls.empty()) {
    Cancel(m_activeCalls.begin()->first);
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
