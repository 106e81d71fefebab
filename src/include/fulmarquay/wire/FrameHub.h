#ifndef FULMARQUAY_WIRE_FRAMEHUB_H
#define FULMARQUAY_WIRE_FRAMEHUB_H

#include "fulmarquay/core/Endpoint.h"
#include "fulmarquay/core/StrongId.h"
#include "fulmarquay/wire/Frame.h"

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <memory>

namespace fulmarquay {

/// What the owner of a FrameHub learns. Called on the hub's thread.
class FrameHandler
{
public:
  virtual ~FrameHandler() = default;
  virtual void OnConnected(ConnectionId aConnection) = 0;
  virtual void OnFrame(ConnectionId aConnection, Frame aFrame) = 0;
  /// The connection is gone; its id is never used again.
  virtual void OnClosed(ConnectionId aConnection) = 0;
};

/// Bytes that passed through a hub since its start.
struct FrameTraffic
{
  std::uint64_t m_bytesIn = 0;
  std::uint64_t m_bytesOut = 0;
  std::uint64_t m_framesIn = 0;
  std::uint64_t m_framesOut = 0;
};

/// The framed TCP connections of one process, accepted and opened ones.
///
/// Runs on one io_context thread; every call and callback happens there. A
/// connection whose peer does not read is closed once kMaxQueuedBytes wait.
class FrameHub
{
public:
  FrameHub(boost::asio::io_context& aContext, FrameHandler& aHandler);
  ~FrameHub();

  /// Accepts connections. Throws Error when the port can't be had.
  void Listen(const Endpoint& aEndpoint);

  /// Opens a connection; OnConnected or OnClosed follows, never within.
  ConnectionId Connect(const Endpoint& aEndpoint);

  /// Queues a frame; one to an unknown or closed connection is dropped.
  void Send(ConnectionId aConnection, const Frame& aFrame);

  /// Closes without another callback.
  void Close(ConnectionId aConnection);

  const FrameTraffic& Traffic() const;

private:
  class Impl;
  std::shared_ptr<Impl> m_impl;
};

} // namespace fulmarquay

#endif
