#ifndef FULMARQUAY_SERVE_ENTRYNODE_H
#define FULMARQUAY_SERVE_ENTRYNODE_H

#include "fulmarquay/serve/AccountLimits.h"
#include "fulmarquay/serve/ChatFlow.h"
#include "fulmarquay/serve/ConfigHolder.h"
#include "fulmarquay/serve/ControlSession.h"
#include "fulmarquay/serve/RelayFlow.h"
#include "fulmarquay/serve/ServiceFlow.h"

#include <memory>
#include <string>
#include <vector>

namespace fulmarquay {

struct FrameTraffic;

/// How an entry behaves.
struct EntryOptions
{
  EntryIdentity m_identity;
  std::vector<Endpoint> m_control;
  std::vector<Endpoint> m_peers;
  Duration m_drainDelay = Duration(1'000'000);
  Duration m_drainLimit = Duration(120'000'000);
  ChatOptions m_chat;
  Duration m_heartbeat = Duration(2'000'000);
  /// m_control names some replicas only; the leader tells of the others.
  bool m_learnsReplicas = false;
  /// Serves published routes in this form instead of the questionnaire's
  /// requests; null: it does not.
  std::shared_ptr<const RelayProtocol> m_relayProtocol;
  RelayOptions m_relay;
  /// Keys are honoured for this long after a heartbeat that was answered.
  Duration m_keyLease = Duration(4'000'000);
  std::uint64_t m_seed = 1;
};

/// The reducer of fulmarquay-entry, composed of its parts.
///
/// Pure: time comes with each event, effects are returned as data. Not
/// thread-safe.
class EntryNode : private ControlSessionOwner
{
public:
  explicit EntryNode(EntryOptions aOptions);

  EntryEffects Reduce(TimePoint aNow, const EntryEvent& aEvent);

  /// The state as JSON, bounded in size, without prompts or secrets.
  std::string Dump(const FrameTraffic& aTraffic) const;

  const ConfigHolder& Config() const { return m_config; }
  const EntryContext& Context() const { return m_context; }

  /// Whether the balancer should send new connections here.
  bool IsReady() const;

  /// All metrics in the text exposition format.
  std::string RenderMetrics();

  /// The route document in force; 0: none.
  Revision RoutesRevision() const;

  /// What callers may send, by the routes in force.
  CallerLimits Limits() const;

private:
  EntryHeartbeat MakeHeartbeat() override;
  void OnHeartbeatReply(const HeartbeatReply& aReply) override;
  void OnConfigPush(const ConfigPush& aPush) override;
  void OnOnceProbe(const OnceProbe& aProbe) override;
  void OnRoutePush(const RoutePush& aPush) override;
  void OnWorkerPush(const WorkerPush& aPush) override;
  void OnStorePush(const StorePush& aPush) override;

  void On(const EntryTick&);
  void On(const CallerRequest& aEvent);
  void On(const CallerGone& aEvent);
  void On(const CallHead& aEvent);
  void On(const CallData& aEvent);
  void On(const CallEnded& aEvent);
  void On(const ControlLinkChanged& aEvent);
  void On(const ControlReply& aEvent);
  void On(const PeerMessage& aEvent);
  void On(const ReplicasNamed& aEvent);
  void On(const DrainOrder&);

  void NoticeConfiguration();
  void ServeCaller(CallerId aCaller, const HttpRequest& aRequest);
  void ServeChat(CallerId aCaller,
                 const AccountConfig& aAccount,
                 const HttpRequest& aRequest);
  void ServeService(CallerId aCaller,
                    const AccountConfig& aAccount,
                    const HttpRequest& aRequest);
  const AccountConfig* Authenticate(const HttpRequest& aRequest) const;
  void Respond(CallerId aCaller, int aStatus, const std::string& aBody);
  std::size_t Running() const;

  EntryOptions m_options;
  EntryContext m_context;
  std::unique_ptr<EngineProtocol> m_protocol;
  ConfigHolder m_config;
  ControlSession m_control;
  CacheFlow m_cache;
  EngineWatch m_engines;
  WriteBack m_writeBack;
  ChatFlow m_chat;
  ServiceFlow m_services;
  std::unique_ptr<RelayFlow> m_relay; ///< null: routes are not served
  AccountLimits m_limits;
  Revision m_noticed;
  std::uint64_t m_peersSeen = 0;
  std::uint64_t m_partnersSeen = 0;
  bool m_isDraining = false;
  bool m_isStopped = false;
  TimePoint m_drainSince;
};

} // namespace fulmarquay

#endif
