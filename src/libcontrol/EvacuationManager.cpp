#include "fulmarquay/control/EvacuationManager.h"

#include "fulmarquay/control/FleetManager.h"

#include <algorithm>

namespace fulmarquay {

namespace {

constexpr std::size_t kMaxNameBytes = 64;
/// A VM list may lag by 800 ms: one requested this long after an event shows
/// it.
constexpr Duration kListLag(1'000'000);

} // namespace

bool
IsDataCentreName(std::string_view aName)
{
  return !aName.empty() && aName.size() <= kMaxNameBytes &&
         std::all_of(aName.begin(), aName.end(), [](char aEach) {
           return aEach >= ' ' && aEach <= '~' && aEach != '/';
         });
}

EvacuationManager::EvacuationManager(FleetContext& aContext)
  : m_context(aContext)
{
}

void
EvacuationManager::OnOrder(CallerId aCaller, const EvacuateDataCentre& aOrder)
{
  const std::uint32_t level = m_context.LowestFeatureLevel();
  if (level < kEvacuationFeatureLevel) {
    m_context.Log(LogEvent::EvacuationRefused,
                  { { "data_centre", aOrder.m_dataCentre.Value() },
                    { "order", aOrder.m_isEvacuated ? "start" : "end" },
                    { "lowest_level", std::to_string(level) } });
    m_context.Answer(
      aCaller,
      { OperatorAnswer::Kind::Unavailable,
        "a control replica has an older build or has not reported its level; "
        "try again" });
    return;
  }
  // An order is proposed also if the state already is as ordered: an opposite
  // order may be in the log and not committed yet.
  m_orders[aCaller] = aOrder;
  m_context.ProposeFor(
    aCaller, EvacuateCommand{ aOrder.m_dataCentre, aOrder.m_isEvacuated });
}

bool
EvacuationManager::OnCommitted(CallerId aCaller)
{
  const auto found = m_orders.find(aCaller);
  if (found == m_orders.end()) {
    return false;
  }
  const EvacuateDataCentre order = found->second;
  m_orders.erase(found);
  const auto& evacuated = m_context.Published().Evacuated();
  if (!order.m_isEvacuated || evacuated.count(order.m_dataCentre) != 0) {
    return false;
  }
  m_context.Answer(
    aCaller,
    { OperatorAnswer::Kind::Invalid, "too many data centres are evacuated" });
  return true;
}

void
EvacuationManager::OnApplied(const EvacuateCommand& aCommand)
{
  if (aCommand.m_isEvacuated) {
    m_endedAt.erase(aCommand.m_dataCentre);
  } else {
    m_endedAt[aCommand.m_dataCentre] = m_context.Now();
  }
}

void
EvacuationManager::OnRestored(const std::set<DataCentreId>& aEvacuatedBefore)
{
  const auto& evacuated = m_context.Published().Evacuated();
  for (const DataCentreId& dataCentre : aEvacuatedBefore) {
    m_endedAt[dataCentre] = m_context.Now();
  }
  for (const DataCentreId& dataCentre : evacuated) {
    m_endedAt.erase(dataCentre);
  }
}

bool
EvacuationManager::OnStateApplied()
{
  const auto& evacuated = m_context.Published().Evacuated();
  for (const DataCentreId& dataCentre : evacuated) {
    if (m_logged.count(dataCentre) == 0) {
      m_context.Log(LogEvent::EvacuationOrdered,
                    { { "data_centre", dataCentre.Value() } });
    }
  }
  for (const DataCentreId& dataCentre : m_logged) {
    if (evacuated.count(dataCentre) == 0) {
      m_context.Log(LogEvent::EvacuationEnded,
                    { { "data_centre", dataCentre.Value() } });
    }
  }
  m_logged = evacuated;
  std::set<DataCentreId> listed = Listed();
  const bool isChanged = listed != m_listed;
  m_listed = std::move(listed);
  return isChanged;
}

bool
EvacuationManager::OnListRead(TimePoint aRequestedAt)
{
  bool isReleased = false;
  for (auto each = m_endedAt.begin(); each != m_endedAt.end();) {
    if (aRequestedAt < each->second + kListLag) {
      ++each;
      continue;
    }
    // A data centre that was never listed in this term needs no release.
    if (m_listed.count(each->first) != 0) {
      isReleased = true;
      m_context.Log(LogEvent::DataCentreReleased,
                    { { "data_centre", each->first.Value() } });
    }
    each = m_endedAt.erase(each);
  }
  m_listed = Listed();
  return isReleased;
}

void
EvacuationManager::OnLeadership()
{
  m_logged.clear();
  m_listed.clear();
}

std::set<DataCentreId>
EvacuationManager::Listed() const
{
  std::set<DataCentreId> listed = m_context.Published().Evacuated();
  for (const auto& [dataCentre, endedAt] : m_endedAt) {
    listed.insert(dataCentre);
  }
  return listed;
}

} // namespace fulmarquay
