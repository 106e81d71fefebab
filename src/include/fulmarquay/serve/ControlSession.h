#ifndef FULMARQUAY_SERVE_CONTROLSESSION_H
#define FULMARQUAY_SERVE_CONTROLSESSION_H

#include "fulmarquay/serve/EntryContext.h"

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace fulmarquay {

/// Callbacks of a ControlSession.
class ControlSessionOwner
{
public:
  virtual ~ControlSessionOwner() = default;
  virtual EntryHeartbeat MakeHeartbeat() = 0;
  virtual void OnHeartbeatReply(const HeartbeatReply& aReply) = 0;
  virtual void OnConfigPush(const ConfigPush& aPush) = 0;
  virtual void OnOnceProbe(const OnceProbe& aProbe) = 0;
  virtual void OnRoutePush(const RoutePush& aPush) = 0;
  virtual void OnWorkerPush(const WorkerPush& aPush) = 0;
  virtual void OnStorePush(const StorePush& aPush) = 0;
  virtual void OnPartQuery(const PartQuery& aQuery) = 0;
  virtual void OnLimitPush(const LimitPush& aPush) = 0;
};

/// The entry's side of Channel::Control: finds the leader, renews the lease by
/// heartbeats and resends requests until they are answered. All requests are
/// idempotent, so that resending them is safe. Part of the entry's reducer; not
/// thread-safe.
class ControlSession
{
public:
  /// Gets the result, or nullopt when the deadline passed without a reply.
  using BeginHandler =
    std::function<void(const std::optional<BeginOnceResult>&)>;
  using FinishHandler = std::function<void()>;

  ControlSession(EntryContext& aContext,
                 ControlSessionOwner& aOwner,
                 std::vector<Endpoint> aReplicas,
                 Duration aStableInterval,
                 bool aDiscoversReplicas);

  /// Adds control replicas that are not yet known.
  void AddReplicas(const std::vector<Endpoint>& aReplicas);

  void OnTick();
  void OnLink(const ControlLinkChanged& aEvent);
  void OnMessage(const ControlReply& aEvent);

  /// Whether this entry's lease from the leader has not expired.
  bool HasLease() const;
  /// Sending time of the last heartbeat that was answered.
  TimePoint LastConfirmed() const { return m_lastConfirmed; }

  /// Requests the right to send a once-only call. The deadline is relative to
  /// now.
  void BeginOnce(const BeginOnceCommand& aCommand,
                 Duration aDeadline,
                 BeginHandler aHandler);

  /// Records the outcome of a once-only call. Resent without a deadline, so
  /// that no outcome is lost while this process runs.
  void FinishOnce(const FinishOnceCommand& aCommand, FinishHandler aHandler);

  /// Sends a heartbeat without waiting for the interval, for example after a
  /// new configuration.
  void SendHeartbeat();
  bool IsAwaitingReply() const { return m_isAwaitingReply; }

  /// Sends observations to the leader; they are lost without a link to it.
  void Report(const PartReport& aReport);

  /// Number of requests without a reply.
  std::size_t Pending() const { return m_pending.size(); }

private:
  struct PendingRequest
  {
    ControlMessage m_message;
    TimePoint m_sentAt;
    TimePoint m_deadline; ///< epoch: none
    bool m_isDue = true;  ///< must be sent or resent on a tick
    BeginHandler m_onBegin;
    FinishHandler m_onFinish;
  };

  void OnReply(const HeartbeatReply& aReply);
  void OnReply(const ConfigPush& aPush);
  void OnReply(const BeginOnceReply& aReply);
  void OnReply(const FinishOnceReply& aReply);
  void OnReply(const NotLeader& aReply);
  void OnReply(const OnceProbe& aProbe);
  void OnReply(const RoutePush& aPush);
  void OnReply(const WorkerPush& aPush);
  void OnReply(const StorePush& aPush);
  void OnReply(const PartQuery& aQuery);
  void OnReply(const LimitPush& aPush);
  template<typename Other>
  void OnReply(const Other&)
  {
    // A request, which only control replicas handle.
  }

  void StartRequest(RequestId aId, PendingRequest aRequest);
  void Send(PendingRequest& aRequest);
  void SetLeader(std::size_t aLink);
  void TryNextReplica();
  /// The link index of a replica. An unknown replica is added, unless the
  /// settings list all of them: then the result is the number of links.
  std::size_t LinkOf(const std::string& aReplica);
  std::size_t AddReplica(const Endpoint& aReplica);
  void ExpirePending();

  EntryContext& m_context;
  ControlSessionOwner& m_owner;
  Duration m_stableInterval; ///< between heartbeats on a stable link
  bool m_discoversReplicas;  ///< else the settings list all of them
  std::vector<Endpoint> m_replicas;
  std::vector<bool> m_isOpen;
  std::size_t m_leader = 0; ///< link of the presumed leader
  std::size_t m_replyLink = 0;
  TimePoint m_nextHeartbeat;
  TimePoint m_heartbeatSent;
  bool m_isAwaitingReply = false;
  int m_consecutiveReplies = 0;
  TimePoint m_leaseUntil;
  TimePoint m_lastConfirmed;
  std::map<RequestId, PendingRequest> m_pending;
};

} // namespace fulmarquay

#endif
