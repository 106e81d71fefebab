#include "fulmarquay/control/ShareAllocation.h"

#include <algorithm>

namespace fulmarquay {

namespace {

/// Smaller raises are not worth a message.
constexpr double kMinRaise = 0.01;

} // namespace

void
ShareAllocation::Adopt(const VmId& aEntry, double aShare)
{
  m_shares[aEntry] = { aShare, aShare };
  m_targets[aEntry] = aShare;
}

std::vector<VmId>
ShareAllocation::Step()
{
  std::vector<VmId> changed;
  double unused = 1;
  for (auto& [entry, share] : m_shares) {
    const auto target = m_targets.find(entry);
    const double wanted = target == m_targets.end() ? 0 : target->second;
    if (wanted < share.m_current) {
      share.m_current = wanted;
      changed.push_back(entry);
    }
    unused -= share.m_inUse;
  }
  for (const auto& [entry, wanted] : m_targets) {
    const auto known = m_shares.find(entry);
    const Share before = known == m_shares.end() ? Share() : known->second;
    const double possible =
      std::min(wanted, before.m_inUse + std::max(0.0, unused));
    if (possible < before.m_current + kMinRaise) {
      continue;
    }
    const Share after{ possible, std::max(before.m_inUse, possible) };
    unused -= after.m_inUse - before.m_inUse;
    m_shares[entry] = after;
    changed.push_back(entry);
  }
  return changed;
}

void
ShareAllocation::Confirm(const VmId& aEntry)
{
  const auto known = m_shares.find(aEntry);
  if (known == m_shares.end()) {
    return;
  }
  known->second.m_inUse = known->second.m_current;
  if (known->second.m_current <= 0) {
    m_shares.erase(known);
  }
}

double
ShareAllocation::ShareOf(const VmId& aEntry) const
{
  const auto known = m_shares.find(aEntry);
  return known == m_shares.end() ? 0 : known->second.m_current;
}

void
ShareAllocation::Release(const VmId& aEntry)
{
  m_shares.erase(aEntry);
  m_targets.erase(aEntry);
}

} // namespace fulmarquay
