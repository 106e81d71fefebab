#ifndef FULMARQUAY_SERVE_ORIGINEXCHANGE_H
#define FULMARQUAY_SERVE_ORIGINEXCHANGE_H

#include "fulmarquay/cache/CacheMessages.h"
#include "fulmarquay/control/ControlMessages.h"
#include "fulmarquay/core/Endpoint.h"
#include "fulmarquay/serve/StreamOrigins.h"

#include <map>
#include <optional>
#include <vector>

namespace fulmarquay {

/// Exchange of stream origins between entries.
///
/// Each stream has a few owners among the entries, by rendezvous hashing of its
/// key. The entry that serves it sends them its origin, and an entry at which
/// the caller resumes it asks them. Pure; not thread-safe.
class OriginExchange
{
public:
  /// A message to another entry.
  struct Message
  {
    Endpoint m_to;
    CacheMessage m_body;
  };

  /// A lookup that has ended; no origin: the owners don't know it, disagree or
  /// don't answer.
  struct Result
  {
    StreamKey m_stream;
    std::optional<StreamOrigin> m_origin;
  };

  explicit OriginExchange(VmId aSelf);

  /// Sets the entries that may own streams.
  void SetPeers(const std::vector<EntryPeer>& aPeers);

  /// Sends a stream's origin to its owners with the next messages.
  void Share(StreamKey aStream, const StreamOrigin& aOrigin);

  /// Starts a lookup unless one of this stream is in progress.
  void Ask(TimePoint aNow, StreamKey aStream);

  /// Applies an owner's reply to a lookup.
  void OnReply(const StreamOriginReply& aReply);

  /// The messages that are due.
  std::vector<Message> TakeMessages(TimePoint aNow);

  /// Lookups that have ended since the last call.
  std::vector<Result> TakeResults(TimePoint aNow);

private:
  struct Peer
  {
    VmId m_vm;
    Endpoint m_address;
  };
  struct Lookup
  {
    TimePoint m_startedAt;
    bool m_isSent = false;
    bool m_isRepeated = false;
    std::size_t m_awaited = 0; ///< replies to the last round
    std::optional<StreamOrigin> m_origin;
    bool m_isEnded = false;
  };
  using Groups =
    std::map<std::pair<PoolId, SoftwareVersion>, std::vector<std::uint64_t>>;

  /// The owners of a stream other than this entry.
  std::vector<Endpoint> OwnersOf(StreamKey aStream) const;
  void SendQuery(StreamKey aStream,
                 Lookup& aLookup,
                 std::vector<Message>& aMessages) const;

  VmId m_self;
  std::vector<Peer> m_peers; ///< with this entry
  std::map<Endpoint, Groups> m_unsent;
  std::map<StreamKey, Lookup> m_lookups;
};

} // namespace fulmarquay

#endif
