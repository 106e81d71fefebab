#ifndef FULMARQUAY_SERVE_ENTRYEVENTS_H
#define FULMARQUAY_SERVE_ENTRYEVENTS_H

#include "fulmarquay/cache/CacheMessages.h"
#include "fulmarquay/control/ControlMessages.h"
#include "fulmarquay/core/LogEvent.h"
#include "fulmarquay/serve/RegionMap.h"
#include "fulmarquay/wire/DisconnectReason.h"
#include "fulmarquay/wire/HttpClient.h"
#include "fulmarquay/wire/HttpMessage.h"

#include <cstddef>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace fulmarquay {

/// A timer tick, every few tens of milliseconds.
struct EntryTick
{
  Bytes m_resident{}; ///< memory of this process
  Bytes m_bodies{};   ///< bodies of requests that are read or run
  std::uint64_t m_refusedBodies = 0; ///< since the start
};

/// A complete request of a caller, or one that another entry passed on.
struct CallerRequest
{
  CallerId m_caller;
  HttpRequest m_request;
  bool m_isPassed = false; ///< by another entry, which is its caller here
};

/// The caller disconnected before the end of its answer.
struct CallerDisconnected
{
  CallerId m_caller;
  DisconnectReason m_reason = DisconnectReason::CallerClosed;
};

/// Status and headers of an upstream's answer.
struct CallHead
{
  CallId m_call;
  HttpResponse m_head;
};

/// A part of an upstream's answer.
struct CallData
{
  CallId m_call;
  std::string m_data;
};

/// The end of a call to an upstream.
struct CallEnded
{
  CallId m_call;
  CallResult m_end = CallResult::Complete;
  std::string m_reason;
};

/// The framed connection to a control replica opened or closed.
struct ControlLinkChanged
{
  std::size_t m_link = 0; ///< index into the settings' control addresses
  bool m_isOpen = false;
};

/// A message from a control replica.
struct ControlReply
{
  std::size_t m_link = 0;
  ControlMessage m_message;
};

/// A message from another entry of the data centre.
struct PeerMessage
{
  ConnectionId m_connection; ///< for the reply
  CacheMessage m_message;
};

/// A termination signal (SIGTERM or SIGINT): report not ready, finish the
/// running requests, then stop.
struct DrainRequested
{};

/// The control replicas listed in reloaded settings.
struct ReplicasReloaded
{
  std::vector<Endpoint> m_replicas;
};

/// The regions of the data centres in reloaded settings.
struct RegionsReloaded
{
  RegionMap m_regions;
};

using EntryEvent = std::variant<EntryTick,
                                CallerRequest,
                                CallerDisconnected,
                                CallHead,
                                CallData,
                                CallEnded,
                                ControlLinkChanged,
                                ControlReply,
                                PeerMessage,
                                ReplicasReloaded,
                                RegionsReloaded,
                                DrainRequested>;

/// Send a complete answer to a caller.
struct RespondCaller
{
  CallerId m_caller;
  HttpResponse m_response;
};

/// Start a streamed answer.
struct BeginCallerStream
{
  CallerId m_caller;
  HttpResponse m_head;
};

/// Send a part of a streamed answer.
struct WriteCallerStream
{
  CallerId m_caller;
  std::string m_data;
};

/// End a streamed answer. An incomplete one closes the caller's connection, so
/// that the caller detects the failure.
struct EndCallerStream
{
  CallerId m_caller;
  bool m_isComplete = true;
};

/// Start a call to an upstream.
struct StartCall
{
  HttpCall m_call;
};

/// Cancel a call; no further event of it is expected.
struct CancelCall
{
  CallId m_call;
};

/// Send to a control replica.
struct SendToControl
{
  std::size_t m_link = 0;
  ControlMessage m_message;
};

/// Connect to another control replica; its link is the next index.
struct AddControlLink
{
  Endpoint m_address;
};

/// Send to another entry by its address.
struct SendToPeer
{
  Endpoint m_address;
  CacheMessage m_message;
};

/// Reply to another entry over the connection of its message.
struct ReplyToPeer
{
  ConnectionId m_connection;
  CacheMessage m_message;
};

/// The drain is complete or its limit has passed: the process may exit.
struct EntryStopped
{};

using EntryEffect = std::variant<RespondCaller,
                                 BeginCallerStream,
                                 WriteCallerStream,
                                 EndCallerStream,
                                 StartCall,
                                 CancelCall,
                                 SendToControl,
                                 AddControlLink,
                                 SendToPeer,
                                 ReplyToPeer,
                                 LogLine,
                                 EntryStopped>;
using EntryEffects = std::vector<EntryEffect>;

} // namespace fulmarquay

#endif
