#ifndef FULMARQUAY_SERVE_PARTWATCH_H
#define FULMARQUAY_SERVE_PARTWATCH_H

#include "fulmarquay/control/PartReports.h"
#include "fulmarquay/control/WorkerList.h"
#include "fulmarquay/core/Units.h"
#include "fulmarquay/serve/RelayRequest.h"

#include <deque>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

namespace fulmarquay {

/// The id of a whole request: equal for requests of one caller (`aAccount`)
/// with the same path, body and prompt, and practically never for others.
RequestPartId
WholeRequestId(const RelayRequest& aRequest, const std::string& aAccount);

/// Ids of the parts of a request's prompt that other prompts share, all but the
/// last one, and of the whole request, which comes last.
std::vector<RequestPartId>
PartIdsOf(const RelayRequest& aRequest, const std::string& aAccount);

/// What an entry knows of requests that crash workers: its own observations of
/// their parts, which it reports to the leader, and the parts that the leader
/// has blocked. Pure; not thread-safe.
class PartWatch
{
public:
  /// Records that a worker has sent a whole event, or a whole answer. `aParts`
  /// as returned by PartIdsOf.
  void OnSound(TimePoint aNow, const std::vector<RequestPartId>& aParts);

  /// Records that the connection to a worker ended before that. `aHasHead`: the
  /// worker had begun to answer a prompt.
  void OnFailedStart(TimePoint aNow,
                     const WorkerId& aWorker,
                     bool aHasHead,
                     const std::vector<RequestPartId>& aParts);

  /// Whether a worker has failed on this request here before, and none has
  /// answered it since. `aParts` as returned by PartIdsOf.
  bool HasFailed(TimePoint aNow,
                 const std::vector<RequestPartId>& aParts) const;

  /// Sends all observations again, as the new leader has none.
  void OnNewLeader();

  /// Handles a PartQuery: the next reports contain those of the parts that are
  /// sound, or turn out to be soon.
  void OnQuery(TimePoint aNow, const std::vector<RequestPartId>& aParts);

  /// Replaces the blocked parts; returns whether one was added.
  bool SetBlocked(const std::vector<RequestPartId>& aParts);
  bool IsBlocked(const std::vector<RequestPartId>& aParts) const;
  /// Number of parts that are known to be sound.
  std::size_t KnownParts() const { return m_soundAt.size(); }
  std::size_t BlockedCount() const { return m_blocked.size(); }

  /// Returns the report that is due. Failures of answers that had begun are
  /// repeated for some time, because a message may be lost.
  std::optional<PartReport> TakeReport(TimePoint aNow);

private:
  struct Failure
  {
    TimePoint m_at;
    FailedStart m_start;
    bool m_isSent = false;
  };

  void Expire(TimePoint aNow);
  /// Makes room for another failure; false: it is worth less than the others.
  bool MakeRoom(bool aHasHead);

  std::unordered_map<RequestPartId, TimePoint> m_soundAt;
  std::deque<Failure> m_failures;
  std::unordered_map<RequestPartId, TimePoint>
    m_watchedUntil; ///< after queries
  std::set<RequestPartId> m_unreportedSound;
  std::set<RequestPartId> m_blocked;
  TimePoint m_nextRepeat;
  TimePoint m_nextExpiry;
};

} // namespace fulmarquay

#endif
