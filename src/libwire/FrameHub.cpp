#include <utility>

#include "fulmarquay/wire/FrameHub.h"

#include "AcceptPause.h"
#include "fulmarquay/core/Error.h"
#include "fulmarquay/core/LogEvent.h"

#include <array>
#include "fulmarquay/wire/SocketOptions.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <deque>
#include <map>
#include <vector>

namespace fulmarquay {

namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

/// Above this the connection of a slowly reading peer is closed.
constexpr std::size_t kMaxQueuedBytes = 64U << 20U;
constexpr std::size_t kReadBufferBytes = 16U << 10U;
/// Passed to SetPeerTimeout. Keep-alive probes cover connections that carry
/// messages less often than this.
constexpr Duration kPeerTimeout(1'500'000);
/// Round trips take a few milliseconds. A SYN that is lost, for example because
/// the peer is just starting, is only retransmitted after 1 s; its owner opens
/// another connection sooner.
constexpr Duration kConnectTimeout(300'000);

tcp::endpoint
ToAsio(const Endpoint& aEndpoint)
{
  return { asio::ip::make_address(aEndpoint.Ip()), aEndpoint.Port() };
}

} // namespace

class FrameHub::Impl : public std::enable_shared_from_this<Impl>
{
public:
  Impl(asio::io_context& aContext, FrameHandler& aHandler)
    : m_context(aContext)
    , m_handler(aHandler)
    , m_acceptor(aContext)
    , m_acceptPause(aContext)
  {
  }

  void Listen(const Endpoint& aEndpoint);
  ConnectionId Connect(const Endpoint& aEndpoint);
  void Send(ConnectionId aConnection, const Frame& aFrame);
  void Close(ConnectionId aConnection);
  void Stop();
  const FrameTraffic& Traffic() const { return m_traffic; }

private:
  struct Connection
  {
    explicit Connection(tcp::socket aSocket)
      : m_socket(std::move(aSocket))
      , m_connectTimer(m_socket.get_executor())
    {
    }
    tcp::socket m_socket;
    asio::steady_timer m_connectTimer; ///< enforces kConnectTimeout
    FrameDecoder m_decoder;
    std::array<char, kReadBufferBytes> m_input{};
    std::string m_queued;
    std::string m_writing;
    bool m_isOpen = false;
  };
  using ConnectionPtr = std::shared_ptr<Connection>;

  ConnectionId Register(ConnectionPtr aConnection);
  void Accept();
  void OnOpened(ConnectionId aId, const ConnectionPtr& aConnection);
  void Read(ConnectionId aId, const ConnectionPtr& aConnection);
  void Decode(ConnectionId aId, const ConnectionPtr& aConnection);
  void Write(ConnectionId aId, const ConnectionPtr& aConnection);
  void CloseAndNotify(ConnectionId aId);
  bool IsKnown(ConnectionId aId) const { return m_connections.count(aId) != 0; }

  asio::io_context& m_context;
  FrameHandler& m_handler;
  tcp::acceptor m_acceptor;
  AcceptPause m_acceptPause;
  std::map<ConnectionId, ConnectionPtr> m_connections;
  std::uint64_t m_nextId = 1;
  FrameTraffic m_traffic;
};

void
FrameHub::Impl::Listen(const Endpoint& aEndpoint)
{
  try {
    const tcp::endpoint endpoint = ToAsio(aEndpoint);
    m_acceptor.open(endpoint.protocol());
    m_acceptor.set_option(tcp::acceptor::reuse_address(true));
    m_acceptor.bind(endpoint);
    m_acceptor.listen();
  } catch (const std::exception& e) {
    throw Error("listen for peers", aEndpoint.ToString(), e.what());
  }
  Accept();
}

void
FrameHub::Impl::Accept()
{
  auto self = shared_from_this();
  m_acceptor.async_accept(
    [self](const error_code& aError, tcp::socket aSocket) {
      if (!self->m_acceptor.is_open()) {
        return;
      }
      if (aError) {
        const std::weak_ptr<Impl> weak = self;
        self->m_acceptPause.Start(self->m_acceptor, aError, [weak] {
          const auto hub = weak.lock();
          if (hub && hub->m_acceptor.is_open()) {
            hub->Accept();
          }
        });
        return;
      }
      auto connection = std::make_shared<Connection>(std::move(aSocket));
      const ConnectionId id = self->Register(connection);
      self->OnOpened(id, connection);
      self->Accept();
    });
}

ConnectionId
FrameHub::Impl::Register(ConnectionPtr aConnection)
{
  const ConnectionId id(m_nextId++);
  m_connections.emplace(id, std::move(aConnection));
  return id;
}

ConnectionId
FrameHub::Impl::Connect(const Endpoint& aEndpoint)
{
  auto connection = std::make_shared<Connection>(tcp::socket(m_context));
  const ConnectionId id = Register(connection);
  auto self = shared_from_this();
  connection->m_connectTimer.expires_after(kConnectTimeout);
  connection->m_connectTimer.async_wait([self, id](const error_code& aError) {
    if (!aError) {
      self->CloseAndNotify(id);
    }
  });
  connection->m_socket.async_connect(
    ToAsio(aEndpoint), [self, id, connection](const error_code& aError) {
      if (!self->IsKnown(id)) {
        return;
      }
      if (aError) {
        self->CloseAndNotify(id);
        return;
      }
      self->OnOpened(id, connection);
    });
  return id;
}

void
FrameHub::Impl::OnOpened(ConnectionId aId, const ConnectionPtr& aConnection)
{
  error_code ignored;
  aConnection->m_connectTimer.cancel();
  aConnection->m_socket.set_option(tcp::no_delay(true), ignored);
  SetPeerTimeout(aConnection->m_socket.native_handle(), kPeerTimeout);
  aConnection->m_isOpen = true;
  Read(aId, aConnection);
  Write(aId, aConnection);
  m_handler.OnConnected(aId);
}

void
FrameHub::Impl::Read(ConnectionId aId, const ConnectionPtr& aConnection)
{
  auto self = shared_from_this();
  aConnection->m_socket.async_read_some(
    asio::buffer(aConnection->m_input),
    [self, aId, aConnection](const error_code& aError, std::size_t aSize) {
      if (!self->IsKnown(aId)) {
        return;
      }
      if (aError) {
        self->CloseAndNotify(aId);
        return;
      }
      self->m_traffic.m_bytesIn += aSize;
      aConnection->m_decoder.Feed({ aConnection->m_input.data(), aSize });
      self->Decode(aId, aConnection);
      if (self->IsKnown(aId)) {
        self->Read(aId, aConnection);
      }
    });
}

void
FrameHub::Impl::Decode(ConnectionId aId, const ConnectionPtr& aConnection)
{
  try {
    while (IsKnown(aId)) {
      std::optional<Frame> frame = aConnection->m_decoder.Next();
      if (!frame) {
        return;
      }
      ++m_traffic.m_framesIn;
      m_handler.OnFrame(aId, std::move(*frame));
    }
  } catch (const Error& e) {
    WriteLog(LogEvent::BadFrame,
             { { "step", e.Step() }, { "reason", e.Reason() } });
    CloseAndNotify(aId);
  }
}

void
FrameHub::Impl::Send(ConnectionId aConnection, const Frame& aFrame)
{
  const auto found = m_connections.find(aConnection);
  if (found == m_connections.end()) {
    return;
  }
  const ConnectionPtr connection = found->second;
  if (aFrame.m_body.size() > kMaxFrameBytes) {
    // The receiver would close the connection. Without the message, its owner
    // sends a newer one later.
    WriteLog(LogEvent::BadFrame,
             { { "step", "send frame" },
               { "reason",
                 "body of " + std::to_string(aFrame.m_body.size()) +
                   " bytes, above the limit" } });
    return;
  }
  connection->m_queued += EncodeFrame(aFrame);
  ++m_traffic.m_framesOut;
  if (connection->m_queued.size() > kMaxQueuedBytes) {
    auto self = shared_from_this();
    asio::post(m_context,
               [self, aConnection] { self->CloseAndNotify(aConnection); });
    return;
  }
  Write(aConnection, connection);
}

void
FrameHub::Impl::Write(ConnectionId aId, const ConnectionPtr& aConnection)
{
  const bool isWriting = !aConnection->m_writing.empty();
  if (!aConnection->m_isOpen || isWriting || aConnection->m_queued.empty()) {
    return;
  }
  aConnection->m_writing.swap(aConnection->m_queued);
  auto self = shared_from_this();
  asio::async_write(
    aConnection->m_socket,
    asio::buffer(aConnection->m_writing),
    [self, aId, aConnection](const error_code& aError, std::size_t aSize) {
      self->m_traffic.m_bytesOut += aSize;
      aConnection->m_writing.clear();
      if (!self->IsKnown(aId)) {
        return;
      }
      if (aError) {
        self->CloseAndNotify(aId);
        return;
      }
      self->Write(aId, aConnection);
    });
}

void
FrameHub::Impl::Close(ConnectionId aConnection)
{
  const auto found = m_connections.find(aConnection);
  if (found == m_connections.end()) {
    return;
  }
  error_code ignored;
  found->second->m_connectTimer.cancel();
  found->second->m_socket.close(ignored);
  m_connections.erase(found);
}

void
FrameHub::Impl::CloseAndNotify(ConnectionId aId)
{
  if (IsKnown(aId)) {
    Close(aId);
    m_handler.OnClosed(aId);
  }
}

void
FrameHub::Impl::Stop()
{
  error_code ignored;
  m_acceptor.close(ignored);
  while (!m_connections.empty()) {
    Close(m_connections.begin()->first);
  }
}

FrameHub::FrameHub(asio::io_context& aContext, FrameHandler& aHandler)
  : m_impl(std::make_shared<Impl>(aContext, aHandler))
{
}

FrameHub::~FrameHub()
{
  m_impl->Stop();
}

void
FrameHub::Listen(const Endpoint& aEndpoint)
{
  m_impl->Listen(aEndpoint);
}

ConnectionId
FrameHub::Connect(const Endpoint& aEndpoint)
{
  return m_impl->Connect(aEndpoint);
}

void
FrameHub::Send(ConnectionId aConnection, const Frame& aFrame)
{
  m_impl->Send(aConnection, aFrame);
}

void
FrameHub::Close(ConnectionId aConnection)
{
  m_impl->Close(aConnection);
}

const FrameTraffic&
FrameHub::Traffic() const
{
  return m_impl->Traffic();
}

} // namespace fulmarquay
