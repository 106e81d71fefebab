// Origins of streams: which workers may go on with a stream.
#include "fulmarquay/serve/RelayFlow.h"

#include "RelayConstants.h"
#include "fulmarquay/route/RouteDelta.h"

#include <algorithm>
#include <utility>

namespace fulmarquay {

bool
RelayFlow::IsResumed(const ActiveRequest& aActive)
{
  const RelayRequest& request = aActive.m_request;
  return aActive.m_rule.Kind() == RetryPolicy::Stream &&
         (request.m_lastEventId >= 0 || !request.m_resumes.empty());
}

StreamKey
RelayFlow::StreamKeyOf(const ActiveRequest& aActive,
                       const std::string& aAttempt)
{
  return MakeStreamKey(aAttempt,
                       aActive.m_account,
                       aActive.m_request.m_host,
                       aActive.m_request.m_path);
}

bool
RelayFlow::HasSeveralOrigins(const ActiveRequest& aActive,
                             const PoolId& aPool) const
{
  const auto moved = m_routeMovedAt.find(aActive.m_routeName);
  const bool hasMoved = moved != m_routeMovedAt.end() &&
                        m_context.Now() < moved->second + StreamOrigins::kTtl;
  return hasMoved || aActive.m_rule.m_pools.size() != 1 ||
         m_softwareVersions.IsMixed(aPool);
}

std::optional<StreamOrigin>
RelayFlow::OnlyOrigin(const ActiveRequest& aActive) const
{
  const PoolId& pool = aActive.m_rule.m_pools.front().m_pool;
  const auto version = m_softwareVersions.OnlyVersion(m_context.Now(), pool);
  if (!version || HasSeveralOrigins(aActive, pool)) {
    return std::nullopt;
  }
  return StreamOrigin{ pool, *version };
}

void
RelayFlow::FindOrigin(ActiveRequest& aActive)
{
  const TimePoint now = m_context.Now();
  const std::string& begunBy = aActive.m_request.m_resumes;
  const StreamKey stream = StreamKeyOf(aActive, begunBy);
  StreamOrigins::Finding finding;
  if (!begunBy.empty()) {
    finding = m_origins.Find(now, stream);
  }
  if (finding.m_isAmbiguous) {
    RefuseResumed(aActive, "several streams have this id");
  } else if (finding.m_origin) {
    Resume(aActive, *finding.m_origin, "this entry");
  } else if (const auto only = OnlyOrigin(aActive)) {
    Resume(aActive, *only, "only version");
  } else if (begunBy.empty()) {
    RefuseResumed(aActive, "the resumed stream is not named");
  } else {
    m_waitingForOrigin.emplace(stream, aActive.m_caller);
    m_originExchange.Ask(now, stream);
    SendOriginMessages();
  }
}

void
RelayFlow::Resume(ActiveRequest& aActive,
                  const StreamOrigin& aOrigin,
                  const std::string& aSource)
{
  m_context.Counters().Count("stream_origins_total",
                             "source=\"" + aSource + "\"");
  m_context.Log(LogEvent::StreamOriginFound,
                { { "id", aActive.m_request.m_id },
                  { "resumes", aActive.m_request.m_resumes },
                  { "pool", aOrigin.m_pool.Value() },
                  { "software", aOrigin.m_software.Value() },
                  { "source", aSource } });
  const std::vector<PoolShare>& pools = aActive.m_rule.m_pools;
  const bool isOnRoute =
    std::any_of(pools.begin(), pools.end(), [&](const PoolShare& aEach) {
      return aEach.m_pool == aOrigin.m_pool && aEach.m_weight > 0;
    });
  if (!isOnRoute) {
    RefuseResumed(aActive, "the route has left the stream's pool");
    return;
  }
  aActive.m_origin = aOrigin;
  Accept(aActive, aOrigin.m_pool);
}

void
RelayFlow::RefuseResumed(ActiveRequest& aActive, const std::string& aReason)
{
  m_context.Counters().Count("stream_origins_total", "source=\"none\"");
  Refuse(aActive, kStatusUnavailable, aReason, kBusyRetryAfter);
}

void
RelayFlow::FinishOriginLookups()
{
  for (const OriginExchange::Result& result :
       m_originExchange.TakeResults(m_context.Now())) {
    const auto [first, last] = m_waitingForOrigin.equal_range(result.m_stream);
    std::vector<CallerId> callers;
    for (auto each = first; each != last; ++each) {
      callers.push_back(each->second);
    }
    m_waitingForOrigin.erase(first, last);
    for (const CallerId caller : callers) {
      const auto found = m_byCaller.find(caller);
      if (found == m_byCaller.end()) {
        continue;
      }
      ActiveRequest& active = *found->second;
      if (result.m_origin) {
        Resume(active, *result.m_origin, "another entry");
      } else if (const auto only = OnlyOrigin(active)) {
        Resume(active, *only, "only version");
      } else {
        RefuseResumed(active, "unknown where the stream began");
      }
    }
  }
}

void
RelayFlow::RecordEvents(ActiveRequest& aActive)
{
  const TimePoint now = m_context.Now();
  if (!aActive.m_hasFirstEvent) {
    aActive.m_hasFirstEvent = true;
    m_partWatch.OnSound(now, aActive.m_partIds);
    OnPrefillDone(aActive);
  }
  // A stream resumed at another worker already has its first event.
  if (aActive.m_firstEventAt == TimePoint()) {
    aActive.m_firstEventAt = now;
  } else {
    aActive.m_longestGap =
      std::max(aActive.m_longestGap, now - aActive.m_lastEventAt);
  }
  aActive.m_lastEventAt = now;
  if (!std::exchange(aActive.m_isOriginRecorded, true)) {
    RecordOrigin(aActive);
  }
}

void
RelayFlow::RecordOrigin(ActiveRequest& aActive)
{
  if (!aActive.m_origin) {
    aActive.m_origin = StreamOrigin{ aActive.m_pool, aActive.m_software };
  }
  const StreamKey stream = StreamKeyOf(aActive, aActive.m_request.m_id);
  m_origins.Record(m_context.Now(), stream, *aActive.m_origin, true);
  if (HasSeveralOrigins(aActive, aActive.m_pool) ||
      m_softwareVersions.MayExpire(m_context.Now())) {
    m_originExchange.Share(stream, *aActive.m_origin);
  }
}

void
RelayFlow::ShareOriginsOf(const PoolId& aPool)
{
  for (const auto& [stream, origin] : m_origins.OwnOf(m_context.Now(), aPool)) {
    m_originExchange.Share(stream, origin);
  }
  SendOriginMessages();
}

void
RelayFlow::UpdateListAge()
{
  const bool mayExpire = m_softwareVersions.MayExpire(m_context.Now());
  if (!std::exchange(m_mayListExpire, mayExpire) && mayExpire) {
    for (const PoolId& pool : m_softwareVersions.Pools()) {
      ShareOriginsOf(pool);
    }
  }
}

void
RelayFlow::RecordMovedRoutes(const RouteDelta& aDelta)
{
  const auto& routes = m_routes.Document().m_routes;
  for (const auto& [name, rule] : aDelta.m_routes) {
    const auto known = routes.find(name);
    if (known == routes.end() || known->second.m_pools == rule.m_pools) {
      continue;
    }
    m_routeMovedAt[name] = m_context.Now();
    for (const PoolShare& pool : known->second.m_pools) {
      ShareOriginsOf(pool.m_pool);
    }
  }
  std::erase_if(m_routeMovedAt, [&](const auto& aEach) {
    return m_context.Now() >= aEach.second + StreamOrigins::kTtl;
  });
}

void
RelayFlow::SendOriginMessages()
{
  for (OriginExchange::Message& message :
       m_originExchange.TakeMessages(m_context.Now())) {
    m_context.Counters().Count("stream_origin_messages_total", "");
    m_context.Emit(SendToPeer{ message.m_to, std::move(message.m_body) });
  }
}

void
RelayFlow::OnOriginUpdate(const StreamOriginUpdate& aUpdate)
{
  for (const StreamOriginGroup& group : aUpdate.m_groups) {
    const StreamOrigin origin{ PoolId(group.m_pool),
                               SoftwareVersion(group.m_software) };
    for (const std::uint64_t stream : group.m_streams) {
      m_origins.Record(m_context.Now(), StreamKey(stream), origin, false);
    }
  }
}

StreamOriginReply
RelayFlow::OnOriginQuery(const StreamOriginQuery& aQuery) const
{
  const StreamOrigins::Finding finding =
    m_origins.Find(m_context.Now(), StreamKey(aQuery.m_stream));
  StreamOriginReply reply;
  reply.m_stream = aQuery.m_stream;
  reply.m_isAmbiguous = finding.m_isAmbiguous;
  if (finding.m_origin) {
    reply.m_isKnown = true;
    reply.m_pool = finding.m_origin->m_pool.Value();
    reply.m_software = finding.m_origin->m_software.Value();
  }
  return reply;
}

void
RelayFlow::OnOriginReply(const StreamOriginReply& aReply)
{
  m_originExchange.OnReply(aReply);
  FinishOriginLookups();
}

} // namespace fulmarquay
