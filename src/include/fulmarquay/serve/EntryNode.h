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

/// Options of an entry.
struct EntryOptions
{
  EntryIdentity m_identity;
  std::vector<Endpoint> m_control;
  std::vector<Endpoint> m_peers;
  Duration m_drainDelay = Duration(1'000'000);
  Duration m_drainLimit = Duration(120'000'000);
  ChatOptions m_chat;
  Duration m_heartbeatInterval = Duration(2'000'000);
  /// Whether m_control lists only some control replicas; heartbeat replies then
  /// add the others.
  bool m_discoversReplicas = false;
  /// When set, the entry serves the published routes in this HTTP form instead
  /// of the chat and service paths of the configuration.
  std::shared_ptr<const RelayProtocol> m_relayProtocol;
  RelayOptions m_relay;
  /// How long the keys of the routes are valid after the sending time of an
  /// answered heartbeat.
  Duration m_keyLease = Duration(4'000'000);
  std::uint64_t m_seed = 1;
};

/// The reducer of fulmarquay-entry.
///
/// Pure: events carry the time, and effects are returned as data. Not
/// thread-safe.
class EntryNode : private ControlSessionOwner
{
public:
  explicit EntryNode(EntryOptions aOptions);

  EntryEffects Reduce(TimePoint aNow, const EntryEvent& aEvent);

  /// Renders the state as JSON, bounded in size, without prompts or secrets.
  std::string Dump(const FrameTraffic& aTraffic) const;

  const ConfigHolder& Config() const { return m_config; }
  const EntryContext& Context() const { return m_context; }

  /// Whether a load balancer should route new connections to this entry.
  bool IsReady() const;

  /// All metrics in the text exposition format.
  std::string RenderMetrics();

  const EntryIdentity& Self() const { return m_context.Self(); }

  /// Revision of the route document in force; 0: none.
  Revision RoutesRevision() const;

  /// Request size and time limits of the routes in force.
  CallerLimits Limits() const;

private:
  EntryHeartbeat MakeHeartbeat() override;
  void OnHeartbeatReply(const HeartbeatReply& aReply) override;
  void OnConfigPush(const ConfigPush& aPush) override;
  void OnOnceProbe(const OnceProbe& aProbe) override;
  void OnRoutePush(const RoutePush& aPush) override;
  void OnWorkerPush(const WorkerPush& aPush) override;
  void OnStorePush(const StorePush& aPush) override;
  void OnPartQuery(const PartQuery& aQuery) override;
  void OnLimitPush(const LimitPush& aPush) override;

  void On(const EntryTick&);
  void On(const CallerRequest& aEvent);
  void On(const CallerDisconnected& aEvent);
  void On(const CallHead& aEvent);
  void On(const CallData& aEvent);
  void On(const CallEnded& aEvent);
  void On(const ControlLinkChanged& aEvent);
  void On(const ControlReply& aEvent);
  void On(const PeerMessage& aEvent);
  void On(const ReplicasReloaded& aEvent);
  void On(const RegionsReloaded& aEvent);
  void On(const DrainRequested&);

  void ApplyConfiguration();
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
  EngineMonitor m_engines;
  WriteBack m_writeBack;
  ChatFlow m_chat;
  ServiceFlow m_services;
  std::unique_ptr<RelayFlow> m_relay; ///< null unless routes are served
  AccountLimits m_limits;
  Revision m_appliedRevision; ///< last one applied to m_cache and m_engines
  std::uint64_t m_heldPeersVersion = 0;
  std::uint64_t m_heldLoadPeersVersion = 0;
  std::uint64_t m_heldRelayPeersVersion = 0;
  std::uint64_t m_leaderTerm = 0;
  bool m_isDraining = false;
  bool m_isStopped = false;
  EntryTick m_lastTick; ///< for the metrics
  TimePoint m_drainStartedAt;
};

} // namespace fulmarquay

#endif
