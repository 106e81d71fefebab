#ifndef FULMARQUAY_SERVE_ENTRYEVENTS_H
#define FULMARQUAY_SERVE_ENTRYEVENTS_H

#include "fulmarquay/cache/CacheMessages.h"
#include "fulmarquay/control/ControlMessages.h"
#include "fulmarquay/core/LogEvent.h"
#include "fulmarquay/wire/HttpClient.h"
#include "fulmarquay/wire/HttpMessage.h"

#include <cstddef>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace fulmarquay {

/// Time has passed; expected every few tens of milliseconds.
struct EntryTick
{};

/// A caller's whole request.
struct CallerRequest
{
  CallerId m_caller;
  HttpRequest m_request;
};

/// The caller went away before its answer ended.
struct CallerGone
{
  CallerId m_caller;
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
  CallEnd m_end = CallEnd::Whole;
  std::string m_why;
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
  ConnectionId m_connection; ///< a reply goes back over it
  CacheMessage m_message;
};

/// SIGTERM: take nothing new, finish what runs.
struct DrainOrder
{};

/// The settings were read again; they name these control replicas.
struct ReplicasNamed
{
  std::vector<Endpoint> m_replicas;
};

using EntryEvent = std::variant<EntryTick,
                                CallerRequest,
                                CallerGone,
                                CallHead,
                                CallData,
                                CallEnded,
                                ControlLinkChanged,
                                ControlReply,
                                PeerMessage,
                                ReplicasNamed,
                                DrainOrder>;

/// Answer a caller.
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

/// A part of a streamed answer.
struct WriteCallerStream
{
  CallerId m_caller;
  std::string m_data;
};

/// The end of a streamed answer; when it is not whole the caller's connection
/// is cut, so that it sees an error.
struct EndCallerStream
{
  CallerId m_caller;
  bool m_isWhole = true;
};

/// Call an upstream.
struct StartCall
{
  HttpCall m_call;
};

/// Drop a call.
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

/// Answer another entry over the connection that it used.
struct ReplyToPeer
{
  ConnectionId m_connection;
  CacheMessage m_message;
};

/// The drain is over: the process may end.
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
