#include <utility>

#include "fulmarquay/wire/FrameCall.h"

#include "fulmarquay/core/Error.h"
#include "fulmarquay/wire/FrameHub.h"

#include <boost/asio/io_context.hpp>
#include <optional>

namespace fulmarquay {

namespace {

/// Keeps the first frame and stops the loop.
class FirstFrame : public FrameHandler
{
public:
  explicit FirstFrame(boost::asio::io_context& aContext)
    : m_context(aContext)
  {
  }
  void OnConnected(ConnectionId) override {}
  void OnFrame(ConnectionId, Frame aFrame) override
  {
    if (!m_frame) {
      m_frame = std::move(aFrame);
    }
    m_context.stop();
  }
  void OnClosed(ConnectionId) override
  {
    m_isClosed = true;
    m_context.stop();
  }

  boost::asio::io_context& m_context;
  std::optional<Frame> m_frame;
  bool m_isClosed = false;
};

} // namespace

Frame
CallFrame(const Endpoint& aPeer, const Frame& aFrame, Duration aTimeout)
{
  boost::asio::io_context context;
  FirstFrame handler(context);
  FrameHub hub(context, handler);
  const ConnectionId connection = hub.Connect(aPeer);
  hub.Send(connection, aFrame);
  context.run_for(aTimeout);
  if (!handler.m_frame) {
    const char* reason =
      handler.m_isClosed ? "connection refused or closed" : "no answer in time";
    throw Error("ask process", aPeer.ToString(), reason);
  }
  return std::move(*handler.m_frame);
}

} // namespace fulmarquay
