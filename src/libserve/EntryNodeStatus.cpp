// What an entry shows of itself: metrics and dump.
#include "fulmarquay/serve/EntryNode.h"

#include "fulmarquay/core/AddressText.h"
#include "fulmarquay/core/Digest.h"
#include "fulmarquay/wire/FrameHub.h"

#include <nlohmann/json.hpp>

namespace fulmarquay {

std::string
EntryNode::RenderMetrics()
{
  m_context.Counters().Gauge("running", static_cast<double>(Running()));
  m_context.Counters().Gauge(
    "resident_bytes", static_cast<double>(m_lastTick.m_resident.Count()));
  m_context.Counters().Gauge("body_bytes",
                             static_cast<double>(m_lastTick.m_bodies.Count()));
  m_context.Counters().Gauge("refused_bodies",
                             static_cast<double>(m_lastTick.m_refusedBodies));
  if (m_relay) {
    m_relay->SetGauges();
  }
  return m_context.Counters().Render();
}

std::string
EntryNode::Dump(const FrameTraffic& aTraffic) const
{
  nlohmann::ordered_json dump;
  const EntryIdentity& self = m_context.Self();
  dump["program"] = "fulmarquay-entry";
  dump["vm"] = self.m_vm.Value();
  dump["data_centre"] = self.m_dataCentre.Value();
  dump["boot"] = HexOf(self.m_boot.Value());
  dump["revision_held"] = m_config.Held().Value();
  dump["revision_in_force"] = m_config.InForce().Value();
  dump["configuration_fresh"] = m_config.IsFresh();
  dump["holds_lease"] = m_control.HasLease();
  dump["draining"] = m_isDraining;
  dump["prompts_running"] = m_chat.Running();
  dump["service_calls_running"] = m_services.Running();
  dump["write_backs_running"] = m_writeBack.Running();
  dump["control_requests_waiting"] = m_control.Pending();
  dump["directory_blocks"] = m_cache.Directory().Size();
  dump["directory_pins"] = m_cache.Directory().Pins();
  dump["frame_bytes_in"] = aTraffic.m_bytesIn;
  dump["frame_bytes_out"] = aTraffic.m_bytesOut;
  if (m_relay) {
    dump["routes_revision"] = m_relay->Routes().Document().m_revision.Value();
    dump["workers"] = m_relay->Workers().All().size();
    dump["keys_confirmed"] = m_relay->HasKeyLease();
    dump["requests_running"] = m_relay->Running();
    dump["blocked_parts"] = m_relay->BlockedParts();
    dump["evacuated"] = nlohmann::ordered_json::array();
    for (const DataCentreId& each : m_relay->Workers().Evacuated()) {
      dump["evacuated"].push_back(each.Value());
    }
    dump["limited_workers"] = m_relay->LimitedWorkers();
    dump["unreached_pools"] = m_relay->UnreachedPools();
    dump["relay_peers"] = m_relay->RelayPeers();
  }
  dump["peers"] = nlohmann::ordered_json::array();
  for (const auto& [vm, address] : m_config.Peers()) {
    dump["peers"].push_back({ { "vm", vm.Value() },
                              { "address", address.ToString() },
                              { "live", m_config.IsPeerLive(vm) } });
  }
  dump["engines"] = nlohmann::ordered_json::array();
  for (const auto& [id, state] : m_engines.Table().All()) {
    dump["engines"].push_back({ { "engine", id.Value() },
                                { "weights", state.m_weights },
                                { "leaving", state.m_isLeaving },
                                { "running", state.m_reportedRunning },
                                { "own_running", state.m_ownRunning },
                                { "failures", state.m_failures } });
  }
  return dump.dump(
    -1, ' ', false, nlohmann::ordered_json::error_handler_t::replace);
}

} // namespace fulmarquay
