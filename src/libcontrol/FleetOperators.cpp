// The operator interface of FleetManager.
#include "fulmarquay/control/FleetManager.h"

#include "fulmarquay/control/ControlNode.h"
#include "fulmarquay/wire/Frame.h"

#include <boost/algorithm/string/join.hpp>

namespace fulmarquay {

namespace {

/// A committed document that fits into no frame could reach neither replicas
/// nor entries any more. Half of a frame leaves room for the other fields.
constexpr std::size_t kMaxDocumentBytes = kMaxFrameBytes / 2;

bool
FitsIntoFrames(const PublishRoutes& aRequest)
{
  const RoutePush push{ MakeDelta(RouteDocument(), aRequest.m_document) };
  return aRequest.m_source.size() <= kMaxDocumentBytes &&
         PackMessage(ControlMessage(push)).size() <= kMaxDocumentBytes;
}

} // namespace

void
FleetManager::OnOperatorRequest(CallerId aCaller,
                                const OperatorRequest& aRequest)
{
  std::visit([&](const auto& aBody) { On(aCaller, aBody); }, aRequest);
}

void
FleetManager::On(CallerId aCaller, const PublishRoutes& aRequest)
{
  std::vector<std::string> problems = FindProblems(aRequest.m_document);
  if (!FitsIntoFrames(aRequest)) {
    problems.push_back("the document is too large");
  }
  if (!problems.empty()) {
    On(aCaller, InvalidRequest{ problems });
    return;
  }
  if (!m_context.HoldsLeaderLease()) {
    OnRefused(aCaller);
    return;
  }
  const Revision revision = aRequest.m_document.m_revision;
  if (revision <= m_context.Published().Current()) {
    OnCommitted(aCaller);
    return;
  }
  m_context.ProposeFor(aCaller,
                       PublishRoutesCommand{ revision, aRequest.m_source });
}

void
FleetManager::On(CallerId aCaller, const ReadRoutes&)
{
  if (!m_context.HoldsLeaderLease()) {
    OnRefused(aCaller);
    return;
  }
  const PublishedState& published = m_context.Published();
  if (published.Current() == Revision(0)) {
    m_context.Answer(aCaller, { OperatorAnswer::Kind::Unavailable, "" });
    return;
  }
  m_context.Answer(aCaller,
                   { OperatorAnswer::Kind::Document, published.Source() });
}

void
FleetManager::On(CallerId aCaller, const NameWeights& aRequest)
{
  if (!m_context.HoldsLeaderLease()) {
    OnRefused(aCaller);
    return;
  }
  const auto& weights = m_context.Published().Weights();
  const auto known = weights.find(aRequest.m_model);
  if (known != weights.end() && aRequest.m_version <= known->second) {
    OnCommitted(aCaller);
    return;
  }
  m_context.ProposeFor(
    aCaller, NameWeightsCommand{ aRequest.m_model, aRequest.m_version });
}

void
FleetManager::On(CallerId aCaller, const InvalidRequest& aRequest)
{
  const std::string problems =
    boost::algorithm::join(aRequest.m_problems, "; ");
  m_context.Log(LogEvent::RoutesRefused, { { "problems", problems } });
  m_context.Answer(aCaller, { OperatorAnswer::Kind::Invalid, problems });
}

void
FleetManager::On(CallerId aCaller, const UnknownEndpoint&)
{
  m_context.Answer(aCaller, { OperatorAnswer::Kind::UnknownEndpoint, "" });
}

void
FleetManager::On(CallerId aCaller, const EvacuateDataCentre& aRequest)
{
  if (!IsDataCentreName(aRequest.m_dataCentre.Value())) {
    On(aCaller,
       InvalidRequest{ { "the name of a data centre is 1 to 64 printable ASCII "
                         "characters without a slash" } });
    return;
  }
  if (!m_context.HoldsLeaderLease()) {
    OnRefused(aCaller);
    return;
  }
  m_evacuations.OnOrder(aCaller, aRequest);
}

void
FleetManager::OnCommitted(CallerId aCaller)
{
  if (m_evacuations.OnCommitted(aCaller)) {
    return;
  }
  m_context.Answer(aCaller, { OperatorAnswer::Kind::Done, "" });
}

void
FleetManager::OnRefused(CallerId aCaller)
{
  m_evacuations.Forget(aCaller);
  const std::string leader =
    m_context.IsLeading() ? "" : m_context.LeaderAddress();
  const auto kind = leader.empty() ? OperatorAnswer::Kind::Unavailable
                                   : OperatorAnswer::Kind::Redirect;
  if (leader.empty()) {
    const bool isLeading = m_context.IsLeading();
    m_context.Log(LogEvent::OperatorRefused,
                  { { "reason",
                      isLeading ? "leads without a lease or term start"
                                : "no leader is known" } });
  }
  m_context.Answer(aCaller, { kind, leader });
}

} // namespace fulmarquay
