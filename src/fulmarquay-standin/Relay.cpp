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

  void SetCut(bool aIsCut)
  {
    m_isCut = aIsCut;
    if (!aIsCut) {
      const auto pairs = m_pairs;
      for (const auto& pair : pairs) {
        Close(pair);
      }
    }
  }

private:
  struct Pair
  {
    explicit Pair(asio::io_context& aContext)
      : m_near(aContext)
      , m_far(aContext)
    {
    }
    tcp::socket m_near;
    tcp::socket m_far;
    std::array<char, kReadBytes> m_up{};
    std::array<char, kReadBytes> m_down{};
  };
  using PairPtr = std::shared_ptr<Pair>;

  void Accept()
  {
    auto self = shared_from_this();
    auto pair = std::make_shared<Pair>(m_context);
    m_acceptor.async_accept(pair->m_near,
                            [self, pair](const error_code& aError) {
                              if (!self->m_acceptor.is_open()) {
                                return;
                              }
                              if (!aError) {
                                self->Connect(pair);
                              }
                              self->Accept();
                            });
  }

  void Connect(const PairPtr& aPair)
  {
    m_pairs.insert(aPair);
    auto self = shared_from_this();
    aPair->m_far.async_connect(
      ToAsio(m_target), [self, aPair](const error_code& aError) {
        if (aError) {
          self->Close(aPair);
          return;
        }
        error_code ignored;
        aPair->m_near.set_option(tcp::no_delay(true), ignored);
        aPair->m_far.set_option(tcp::no_delay(true), ignored);
        self->Pump(aPair, aPair->m_near, aPair->m_far, aPair->m_up);
        self->Pump(aPair, aPair->m_far, aPair->m_near, aPair->m_down);
      });
  }

  void Pump(const PairPtr& aPair,
            tcp::socket& aFrom,
            tcp::socket& aTo,
            std::array<char, kReadBytes>& aBuffer)
  {
    auto self = shared_from_this();
    aFrom.async_read_some(
      asio::buffer(aBuffer),
      [self, aPair, &aFrom, &aTo, &aBuffer](const error_code& aError,
                                            std::size_t aSize) {
        if (aError) {
          self->Close(aPair);
          return;
        }
        if (self->m_isCut) {
          self->Pump(aPair, aFrom, aTo, aBuffer);
          return;
        }
        asio::async_write(aTo,
                          asio::buffer(aBuffer.data(), aSize),
                          [self, aPair, &aFrom, &aTo, &aBuffer](
                            const error_code& aWriteError, std::size_t) {
                            if (aWriteError) {
                              self->Close(aPair);
                              return;
                            }
                            self->Pump(aPair, aFrom, aTo, aBuffer);
                          });
      });
  }

  void Close(const PairPtr& aPair)
  {
    error_code ignored;
    aPair->m_near.close(ignored);
    aPair->m_far.close(ignored);
    m_pairs.erase(aPair);
  }

  asio::io_context& m_context;
  Endpoint m_target;
  tcp::acceptor m_acceptor;
  std::set<PairPtr> m_pairs;
  bool m_isCut = false;
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
Relay::SetCut(bool aIsCut)
{
  m_impl->SetCut(aIsCut);
}

} // namespace fulmarquay
