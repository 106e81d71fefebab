// Admission of relayed requests: learned rates of pools, overload, refusals.
#include "fulmarquay/serve/RelayFlow.h"

#include "RelayConstants.h"

#include <algorithm>
#include <string>
#include <utility>

namespace fulmarquay {

namespace {

constexpr std::uint64_t kRandomSteps = 1'000;

} // namespace

double
RelayFlow::RandomPart()
{
  return static_cast<double>(m_context.Random() % kRandomSteps) / kRandomSteps;
}

PoolAdmission::Pool
RelayFlow::PoolStateOf(const PoolId& aPool, const Placement::Choice& aChoice)
{
  PoolState& state = m_pools[aPool];
  state.m_pool.m_tokensPerSecond = state.m_rate.TokensPerSecond();
  state.m_pool.m_pendingTokens = aChoice.m_meanPendingTokens;
  state.m_pool.m_workers =
    static_cast<double>(aChoice.m_eligible) / m_entryCount;
  state.m_pool.m_entries = m_entryCount;
  return state.m_pool;
}

void
RelayFlow::RefuseOverloaded(ActiveRequest& aActive,
                            const std::string& aReason,
                            Duration aRetryAfter)
{
  ++m_pools[aActive.m_pool].m_refused;
  m_context.Counters().Count("admission_refused_total",
                             "reason=\"" + aReason + "\",priority=\"" +
                               std::to_string(aActive.m_priority) + "\"");
  Refuse(aActive, kStatusUnavailable, aReason, aRetryAfter, PassRefusal::Busy);
}

void
RelayFlow::RefuseHopeless()
{
  const TimePoint now = m_context.Now();
  for (auto& [key, admission] : m_queues) {
    if (admission.Size() == 0) {
      continue;
    }
    const PoolAdmission::Pool& pool = m_pools[std::get<PoolId>(key)].m_pool;
    for (const CallerId caller : admission.Hopeless(now, pool)) {
      ActiveRequest& active = *m_byCaller.at(caller);
      admission.OnHopeless(now, active.m_priority);
      RefuseOverloaded(active,
                       "no room in time",
                       admission.RetryAfter(now, pool, RandomPart()));
    }
  }
}

void
RelayFlow::UpdateOverload()
{
  const TimePoint now = m_context.Now();
  for (auto& each : m_pools) {
    // Clang takes no structured bindings into lambdas.
    const PoolId& pool = each.first;
    PoolState& state = each.second;
    const bool isOverloaded =
      std::any_of(m_queues.begin(), m_queues.end(), [&](const auto& aEach) {
        return std::get<PoolId>(aEach.first) == pool &&
               aEach.second.IsOverloaded(now);
      });
    if (isOverloaded == state.m_isOverloaded) {
      continue;
    }
    state.m_isOverloaded = isOverloaded;
    m_context.Log(
      isOverloaded ? LogEvent::PoolOverloaded : LogEvent::PoolRecovered,
      { { "pool", pool.Value() },
        { "refused", std::to_string(state.m_refused) },
        { "backlog_ms", FormatMillis(state.m_pool.Backlog()) },
        { "tokens_per_s", std::to_string(state.m_pool.m_tokensPerSecond) } });
    state.m_refused = isOverloaded ? state.m_refused : 0;
  }
}

void
RelayFlow::SetGauges()
{
  Metrics& metrics = m_context.Counters();
  const auto set = [&](const char* aName, std::size_t aCount) {
    metrics.Gauge(aName, static_cast<double>(aCount));
  };
  std::size_t waiting = 0;
  for (const auto& [key, admission] : m_queues) {
    waiting += admission.Size();
  }
  set("admission_waiting", waiting);
  set("blocked_parts", BlockedParts());
  set("cold_workers", m_limiter.ColdCount());
  set("data_centres_with_region", m_options.m_regions.Size());
  set("evacuated_data_centres", m_workers.Evacuated().size());
  set("limited_workers", LimitedWorkers());
  set("possible_restarts", m_limiter.Restarts().Count());
  set("unreached_pools", UnreachedPools());
  for (const auto& [pool, state] : m_pools) {
    const std::string label = "pool=\"" + pool.Value() + "\"";
    metrics.Gauge(
      "pool_tokens_per_second", state.m_pool.m_tokensPerSecond, label);
    metrics.Gauge("pool_backlog_ms",
                  static_cast<double>(ToMillis(state.m_pool.Backlog())),
                  label);
  }
}

} // namespace fulmarquay
