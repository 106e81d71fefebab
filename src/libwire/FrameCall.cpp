#include <utility>

#include "fulmarquay/wire/FrameCall.h"

#include "fulmarquay/core/Error.h"
#include "fulmarquay/wire/FrameHub.h"

#include <boost/asio/io_context.hpp>
#include <optional>

namespace fulmarquay {

namespace {

/// Stores the first received frame and stops the event loop.
class ReplyReceiver : public FrameHandler
{
public:
  explicit ReplyReceiver(boost::asio::io_context& aContext)
    : m_context(aContext)
  {
  }
  void OnConnected(ConnectionId) override {}
  void OnFrame(ConnectionId, Frame aFrame) override
  {
    if (!m_reply) {
      m_reply = std::move(aFrame);
    }
    m_context.stop();
  }
  void OnClosed(ConnectionId) override
  {
    m_isClosed = true;
    m_context.stop();
  }

  boost::asio::io_context& m_context;
  std::optional<Frame> m_reply;
  bool m_isClosed = false;
};

} // namespace

Frame
CallPeer(const Endpoint& aPeer, const Frame& aFrame, Duration aTimeout)
{
  boost::asio::io_context context;
  ReplyReceiver handler(context);
  FrameHub hub(context, handler);
  const ConnectionId connection = hub.Connect(aPeer);
  hub.Send(connection, aFrame);
  context.run_for(aTimeout);
  if (!handler.m_reply) {
    const char* reason =
      handler.m_isClosed ? "connection refused or closed" : "no answer in time";
    throw Error("ask process", aPeer.ToString(), reason);
  }
  return std::move(*handler.m_reply);
}

} // namespace fulmarquay
