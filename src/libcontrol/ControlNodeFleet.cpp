// FleetManager integration of the control node.
#include "fulmarquay/control/ControlNode.h"

#include <utility>

namespace fulmarquay {

void
ControlNode::AddFleet(FleetOptions aOptions,
                      std::unique_ptr<FleetProtocol> aProtocol,
                      std::unique_ptr<PartStoreProtocol> aStores)
{
  FleetContext& context = *this;
  m_fleet = std::make_unique<FleetManager>(
    context, std::move(aOptions), std::move(aProtocol), std::move(aStores));
}

void
ControlNode::On(const OperatorRequestReceived& aEvent)
{
  if (m_fleet) {
    m_fleet->OnOperatorRequest(aEvent.m_caller, aEvent.m_request);
  }
}

bool
ControlNode::IsLeading() const
{
  return m_replica->Role() == ReplicaRole::Leader;
}

std::uint64_t
ControlNode::CurrentTerm() const
{
  return m_replica->CurrentTerm().Value();
}

const PublishedState&
ControlNode::Published() const
{
  return m_state.Published();
}

void
ControlNode::ProposeFor(CallerId aCaller, const ControlCommand& aCommand)
{
  Propose({ Term(0), ConnectionId(0), RequestId(0), aCaller }, aCommand);
}

CallId
ControlNode::CallUpstream(HttpCall aCall)
{
  aCall.m_call = CallId(m_nextCall++);
  const CallId id = aCall.m_call;
  Emit(StartUpstreamCall{ std::move(aCall) });
  return id;
}

void
ControlNode::Answer(CallerId aCaller, OperatorAnswer aAnswer)
{
  Emit(RespondToOperator{ aCaller, std::move(aAnswer) });
}

void
ControlNode::Push(ConnectionId aTo, ControlMessage aMessage)
{
  Emit(SendControl{ aTo, std::move(aMessage) });
}

void
ControlNode::Log(LogEvent aEvent,
                 std::vector<std::pair<std::string, std::string>> aFields)
{
  Emit(LogLine{ aEvent, std::move(aFields) });
}

} // namespace fulmarquay
