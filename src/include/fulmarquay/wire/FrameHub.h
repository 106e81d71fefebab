#ifndef FULMARQUAY_WIRE_FRAMEHUB_H
#define FULMARQUAY_WIRE_FRAMEHUB_H

#include "fulmarquay/core/Endpoint.h"
#include "fulmarquay/core/StrongId.h"
#include "fulmarquay/wire/Frame.h"

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <memory>

namespace fulmarquay {

/// Callbacks of a FrameHub, made on the hub's thread.
class FrameHandler
{
public:
  virtual ~FrameHandler() = default;
  virtual void OnConnected(ConnectionId aConnection) = 0;
  virtual void OnFrame(ConnectionId aConnection, Frame aFrame) = 0;
  /// The connection is closed. Its id is never reused.
  virtual void OnClosed(ConnectionId aConnection) = 0;
};

/// Bytes and frames received and sent by a hub since its start.
struct FrameTraffic
{
  std::uint64_t m_bytesIn = 0;
  std::uint64_t m_bytesOut = 0;
  std::uint64_t m_framesIn = 0;
  std::uint64_t m_framesOut = 0;
};

/// The framed TCP connections of one process, incoming and outgoing.
///
/// Runs on one io_context thread; every call and callback happens there. A
/// connection is closed when its peer does not read and more than
/// kMaxQueuedBytes are queued for it.
class FrameHub
{
public:
  FrameHub(boost::asio::io_context& aContext, FrameHandler& aHandler);
  ~FrameHub();

  /// Accepts connections. Throws Error when the endpoint can't be bound.
  void Listen(const Endpoint& aEndpoint);

  /// Opens a connection. OnConnected or OnClosed follows, but never from within
  /// this call.
  ConnectionId Connect(const Endpoint& aEndpoint);

  /// Queues a frame, also while the connection is being opened. Frames for an
  /// unknown or closed connection are dropped.
  void Send(ConnectionId aConnection, const Frame& aFrame);

  /// Closes a connection without an OnClosed callback.
  void Close(ConnectionId aConnection);

  const FrameTraffic& Traffic() const;

private:
  class Impl;
  std::shared_ptr<Impl> m_impl;
};

} // namespace fulmarquay

#endif
