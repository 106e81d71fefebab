#include "fulmarquay/control/BlockedPartManager.h"

#include "fulmarquay/control/EntryRegistry.h"
#include "fulmarquay/control/FleetManager.h"
#include "fulmarquay/core/Digest.h"

#include <optional>
#include <set>

namespace fulmarquay {

namespace {

/// A blocked part is released after this time and blocked again at the next
/// crash: its cause may have been mended.
constexpr Duration kBlockTime(600'000'000);
constexpr Duration kReviewInterval(50'000);

} // namespace

BlockedPartManager::BlockedPartManager(FleetContext& aContext)
  : m_context(aContext)
{
}

void
BlockedPartManager::OnReport(const PartReport& aReport)
{
  m_crashes.OnReport(m_context.Now(), aReport);
}

bool
BlockedPartManager::OnStateApplied()
{
  const std::set<RequestPartId>& blocked = m_context.Published().BlockedParts();
  bool isChanged = false;
  for (const RequestPartId part : blocked) {
    if (m_blockedSince.try_emplace(part, m_context.Now()).second) {
      isChanged = true;
      m_context.Log(LogEvent::PartBlocked, { { "part", HexOf(part.Value()) } });
    }
  }
  for (auto each = m_blockedSince.begin(); each != m_blockedSince.end();) {
    if (blocked.count(each->first) != 0) {
      ++each;
      continue;
    }
    isChanged = true;
    m_context.Log(LogEvent::PartReleased,
                  { { "part", HexOf(each->first.Value()) } });
    each = m_blockedSince.erase(each);
  }
  return isChanged;
}

void
BlockedPartManager::OnLeadership()
{
  m_crashes = CrashAnalysis();
  m_blockedSince.clear();
}

void
BlockedPartManager::OnTick()
{
  const TimePoint now = m_context.Now();
  if (now < m_nextReview) {
    return;
  }
  m_nextReview = now + kReviewInterval;
  QueryEntries();
  for (const RequestPartId part :
       m_crashes.TakeFound(now, m_context.Published().BlockedParts())) {
    m_context.ProposeFor(CallerId(0), BlockPartCommand{ part, true });
  }
  ProposeReleases();
}

void
BlockedPartManager::QueryEntries()
{
  const std::vector<RequestPartId> suspected =
    m_crashes.TakeQuery(m_context.Now(), m_context.Published().BlockedParts());
  if (suspected.empty()) {
    return;
  }
  for (const auto& [vm, session] : m_context.Entries().All()) {
    if (session.m_connection != ConnectionId()) {
      m_context.Push(session.m_connection, PartQuery{ suspected });
    }
  }
}

void
BlockedPartManager::ProposeReleases()
{
  for (const auto& [part, since] : m_blockedSince) {
    const std::optional<TimePoint> soundAt = m_crashes.SoundAt(part);
    const bool isSound = soundAt && *soundAt > since;
    if (!isSound && m_context.Now() < since + kBlockTime) {
      continue;
    }
    if (!isSound) {
      m_crashes.SetOnProbation(part);
    }
    m_context.ProposeFor(CallerId(0), BlockPartCommand{ part, false });
  }
}

} // namespace fulmarquay
