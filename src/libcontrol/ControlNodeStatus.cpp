// The status of a control node: its reply to operators and its state dump.
#include "fulmarquay/control/ControlNode.h"

#include "fulmarquay/core/Digest.h"

#include <nlohmann/json.hpp>

#include <utility>

namespace fulmarquay {

namespace {

const char*
RoleName(ReplicaRole aRole)
{
  switch (aRole) {
    case ReplicaRole::Follower:
      return "follower";
    case ReplicaRole::PreCandidate:
      return "pre-candidate";
    case ReplicaRole::Candidate:
      return "candidate";
    case ReplicaRole::Leader:
      return "leader";
  }
  return "";
}

} // namespace

std::string
ControlNode::LeaderAddress() const
{
  for (const Member& voter : m_replica->Members().m_voters) {
    if (voter.m_id == m_replica->Leader()) {
      return voter.m_address;
    }
  }
  return "";
}

std::vector<ReplicaStatus>
ControlNode::ListReplicas() const
{
  std::vector<ReplicaStatus> list;
  const Membership& members = m_replica->Members();
  for (const Member& voter : members.m_voters) {
    const bool isLeader = voter.m_id == m_replica->Leader();
    list.push_back({ voter.m_id.Value(),
                     voter.m_vm,
                     voter.m_address,
                     isLeader ? "leader" : "voter",
                     m_replica->FeatureLevelOf(voter.m_id) });
  }
  for (const Member& learner : members.m_learners) {
    list.push_back({ learner.m_id.Value(),
                     learner.m_vm,
                     learner.m_address,
                     "learner",
                     m_replica->FeatureLevelOf(learner.m_id) });
  }
  return list;
}

StatusReply
ControlNode::MakeStatus(RequestId aRequest) const
{
  StatusReply reply;
  reply.m_request = aRequest;
  reply.m_revision = m_state.Config().Current();
  reply.m_digest = m_state.Config().Digest();
  reply.m_term = m_replica->CurrentTerm().Value();
  reply.m_commit = m_replica->Commit().Value();
  reply.m_onceRecords = m_state.Once().Size();
  reply.m_replicas = ListReplicas();
  reply.m_featureLevel = m_replica->LowestFeatureLevel();
  reply.m_evacuated = m_state.Published().Evacuated();
  reply.m_votersNeeded = m_replica->VotersNeeded();
  reply.m_votersReached = m_replica->VotersReached(m_now);
  for (const auto& [vm, session] : m_entries.All()) {
    EntryStatus entry;
    entry.m_vm = vm;
    entry.m_dataCentre = session.m_last.m_dataCentre;
    entry.m_inForce = session.m_last.m_inForce;
    entry.m_lastHeartbeatAgoUs = (m_now - session.m_heartbeatAt).count();
    entry.m_isLive = m_entries.IsLive(m_now, session);
    reply.m_entries.push_back(std::move(entry));
  }
  return reply;
}

void
ControlNode::LogFeatureLevel()
{
  const std::uint32_t level = m_replica->LowestFeatureLevel();
  if (level != m_loggedFeatureLevel) {
    m_loggedFeatureLevel = level;
    Emit(LogLine{ LogEvent::FeatureLevelChanged,
                  { { "level", std::to_string(level) },
                    { "own", std::to_string(kFeatureLevel) } } });
  }
}

std::string
ControlNode::Dump(TimePoint aNow) const
{
  const Snapshot& base = m_replica->Log().BaseSnapshot();
  std::string text = "{\"program\":\"fulmarquay-control\"";
  const auto addNumber = [&](const char* aName, std::uint64_t aValue) {
    text += std::string(",\"") + aName + "\":" + std::to_string(aValue);
  };
  const auto addText = [&](const char* aName, const std::string& aValue) {
    text += std::string(",\"") + aName + "\":\"" + aValue + "\"";
  };
  addText("replica", HexOf(m_replica->Id().Value()));
  addText("role", RoleName(m_replica->Role()));
  addNumber("term", m_replica->CurrentTerm().Value());
  addText("leader", HexOf(m_replica->Leader().Value()));
  text += std::string(",\"holds_lease\":") +
          (m_replica->HoldsLease(aNow) ? "true" : "false");
  addNumber("commit", m_replica->Commit().Value());
  addNumber("last_index", m_replica->Log().LastIndex().Value());
  addNumber("snapshot_index", base.m_index.Value());
  addNumber("voters", m_replica->Members().m_voters.size());
  addNumber("learners", m_replica->Members().m_learners.size());
  addNumber("voters_needed", m_replica->VotersNeeded());
  addNumber("voters_reached", m_replica->VotersReached(aNow));
  addNumber(
    "without_leader_ms",
    static_cast<std::uint64_t>(ToMillis(m_replica->TimeWithoutLeader(aNow))));
  addNumber("revision", m_state.Config().Current().Value());
  addText("digest", m_state.Config().Digest());
  addNumber("once_records", m_state.Once().Size());
  addNumber("blocked_parts", m_state.Published().BlockedParts().size());
  addNumber("feature_level", m_replica->FeatureLevelOf(m_replica->Id()));
  addNumber("lowest_feature_level", m_replica->LowestFeatureLevel());
  nlohmann::json evacuated = nlohmann::json::array();
  for (const DataCentreId& dataCentre : m_state.Published().Evacuated()) {
    evacuated.push_back(dataCentre.Value());
  }
  text += ",\"evacuated\":" + evacuated.dump();
  addNumber("entries", m_entries.All().size());
  addNumber("pending", m_appendedProposals.size());
  addNumber("waiters", m_waiters.size());
  addNumber("last_order", m_state.LastOrder());
  addNumber("engines_given_up", m_rollout.GivenUpEngines().size());
  return text + "}";
}

} // namespace fulmarquay
