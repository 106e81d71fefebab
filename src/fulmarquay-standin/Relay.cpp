#include <utility>

#include "Relay.h"

#include "fulmarquay/core/Error.h"

#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <set>

namespace fulmarquay {

namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

constexpr std::size_t kReadBytes = 64U << 10U;

tcp::endpoint
ToAsio(const Endpoint& aEndpoint)
{
  return { asio::ip::make_address(aEndpoint.Ip()), aEndpoint.Port() };
}

} // namespace

class Relay::Impl : public std::enable_shared_from_this<Impl>
{
public:
  Impl(asio::io_context& aContext, const Endpoint& aTarget)
    : m_context(aContext)
    , m_target(aTarget)
    , m_acceptor(aContext)
  {
  }

  void Listen(const Endpoint& aListen)
  {
    try {
      const tcp::endpoint endpoint = ToAsio(aListen);
      m_acceptor.open(endpoint.protocol());
      m_acceptor.set_option(tcp::acceptor::reuse_address(true));
      m_acceptor.bind(endpoint);
      m_acceptor.listen();
    } catch (const std::exception& e) {
      throw Error("listen as relay", aListen.ToString(), e.what());
    }
    Accept();
  }

  void SetPartitioned(bool aIsPartitioned)
  {
    m_isPartitioned = aIsPartitioned;
    if (!aIsPartitioned) {
      const auto connections = m_connections;
      for (const auto& connection : connections) {
        Close(connection);
      }
    }
  }

private:
  struct Connection
  {
    explicit Connection(asio::io_context& aContext)
      : m_client(aContext)
      , m_upstream(aContext)
    {
    }
    tcp::socket m_client;
    tcp::socket m_upstream;
    std::array<char, kReadBytes> m_toUpstream{};
    std::array<char, kReadBytes> m_toClient{};
  };
  using ConnectionPtr = std::shared_ptr<Connection>;

  void Accept()
  {
    auto self = shared_from_this();
    auto connection = std::make_shared<Connection>(m_context);
    m_acceptor.async_accept(connection->m_client,
                            [self, connection](const error_code& aError) {
                              if (!self->m_acceptor.is_open()) {
                                return;
                              }
                              if (!aError) {
                                self->Connect(connection);
                              }
                              self->Accept();
                            });
  }

  void Connect(const ConnectionPtr& aConnection)
  {
    m_connections.insert(aConnection);
    auto self = shared_from_this();
    aConnection->m_upstream.async_connect(
      ToAsio(m_target), [self, aConnection](const error_code& aError) {
        if (aError) {
          self->Close(aConnection);
          return;
        }
        error_code ignored;
        aConnection->m_client.set_option(tcp::no_delay(true), ignored);
        aConnection->m_upstream.set_option(tcp::no_delay(true), ignored);
        self->Forward(aConnection,
                      aConnection->m_client,
                      aConnection->m_upstream,
                      aConnection->m_toUpstream);
        self->Forward(aConnection,
                      aConnection->m_upstream,
                      aConnection->m_client,
                      aConnection->m_toClient);
      });
  }

  void Forward(const ConnectionPtr& aConnection,
               tcp::socket& aFrom,
               tcp::socket& aTo,
               std::array<char, kReadBytes>& aBuffer)
  {
    auto self = shared_from_this();
    aFrom.async_read_some(
      asio::buffer(aBuffer),
      [self, aConnection, &aFrom, &aTo, &aBuffer](const error_code& aError,
                                                  std::size_t aSize) {
        if (aError) {
          self->Close(aConnection);
          return;
        }
        if (self->m_isPartitioned) {
          self->Forward(aConnection, aFrom, aTo, aBuffer);
          return;
        }
        asio::async_write(aTo,
                          asio::buffer(aBuffer.data(), aSize),
                          [self, aConnection, &aFrom, &aTo, &aBuffer](
                            const error_code& aWriteError, std::size_t) {
                            if (aWriteError) {
                              self->Close(aConnection);
                              return;
                            }
                            self->Forward(aConnection, aFrom, aTo, aBuffer);
                          });
      });
  }

  void Close(const ConnectionPtr& aConnection)
  {
    error_code ignored;
    aConnection->m_client.close(ignored);
    aConnection->m_upstream.close(ignored);
    m_connections.erase(aConnection);
  }

  asio::io_context& m_context;
  Endpoint m_target;
  tcp::acceptor m_acceptor;
  std::set<ConnectionPtr> m_connections;
  bool m_isPartitioned = false;
};

Relay::Relay(asio::io_context& aContext,
             const Endpoint& aListen,
             const Endpoint& aTarget)
  : m_impl(std::make_shared<Impl>(aContext, aTarget))
{
  m_impl->Listen(aListen);
}

Relay::~Relay() = default;

void
Relay::SetPartitioned(bool aIsPartitioned)
{
  m_impl->SetPartitioned(aIsPartitioned);
}

} // namespace fulmarquay
