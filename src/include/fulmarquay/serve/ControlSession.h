#ifndef FULMARQUAY_SERVE_CONTROLSESSION_H
#define FULMARQUAY_SERVE_CONTROLSESSION_H

#include "fulmarquay/serve/EntryContext.h"

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace fulmarquay {

/// What the session asks of its owner.
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
};

/// The entry's side of Channel::Control: finds the leader, keeps the lease by
/// heartbeats, repeats requests until they are answered. All requests are
/// idempotent, so that repeating them is safe.
class ControlSession
{
public:
  /// The answer, or nothing when the request was given up at its deadline.
  using BeginHandler =
    std::function<void(const std::optional<BeginOnceResult>&)>;
  using FinishHandler = std::function<void()>;

  ControlSession(EntryContext& aContext,
                 ControlSessionOwner& aOwner,
                 std::vector<Endpoint> aReplicas,
                 Duration aSteadyInterval,
                 bool aLearnsReplicas);

  /// Takes further replicas into account.
  void AddReplicas(const std::vector<Endpoint>& aReplicas);

  void OnTick();
  void OnLink(const ControlLinkChanged& aEvent);
  void OnMessage(const ControlReply& aEvent);

  /// Whether the leader has confirmed this entry's lease lately.
  bool HasLease() const;
  TimePoint LastConfirmed() const { return m_lastConfirmed; }

  void BeginOnce(const BeginOnceCommand& aCommand,
                 Duration aDeadline,
                 BeginHandler aHandler);

  /// Repeated without a deadline: an outcome is never dropped.
  void FinishOnce(const FinishOnceCommand& aCommand, FinishHandler aHandler);

  /// Sends a heartbeat at once, as after a new configuration.
  void HeartbeatNow();

  std::size_t Waiting() const { return m_asked.size(); }

private:
  struct Asked
  {
    ControlMessage m_message;
    TimePoint m_sent;
    TimePoint m_deadline; ///< epoch: none
    bool m_isDue = true;  ///< to be sent (again) on the next tick
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
  template<typename Other>
  void OnReply(const Other&)
  {
    // A request: only control replicas take those.
  }

  void Ask(RequestId aRequest, Asked aAsked);
  void Send(Asked& aAsked);
  void SetLeader(std::size_t aLink);
  void TryNextReplica();
  /// The link of a replica, made when it is new and new ones may be learned;
  /// else the number of links.
  std::size_t LinkOf(const std::string& aReplica);
  std::size_t AddReplica(const Endpoint& aReplica);
  void ExpireAsked();

  EntryContext& m_context;
  ControlSessionOwner& m_owner;
  Duration m_steadyInterval; ///< between heartbeats on a steady link
  bool m_learnsReplicas;     ///< else the settings name all of them
  std::vector<Endpoint> m_replicas;
  std::vector<bool> m_isOpen;
  std::size_t m_leader = 0; ///< best guess
  std::size_t m_replyLink = 0;
  TimePoint m_nextHeartbeat;
  TimePoint m_heartbeatSent;
  bool m_isAwaitingReply = false;
  int m_repliesInRow = 0;
  TimePoint m_leaseUntil;
  TimePoint m_lastConfirmed;
  std::map<RequestId, Asked> m_asked;
};

} // namespace fulmarquay

#endif
