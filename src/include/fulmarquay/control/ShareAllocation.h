#ifndef FULMARQUAY_CONTROL_SHAREALLOCATION_H
#define FULMARQUAY_CONTROL_SHAREALLOCATION_H

#include "fulmarquay/core/StrongId.h"

#include <map>
#include <utility>
#include <vector>

namespace fulmarquay {

/// The shares of one worker's limit that the entries have.
///
/// A share that is taken away counts as in use until its entry has confirmed
/// the change or its lease has ended, so that all shares in use add up to 1 at
/// most at any time. Pure; not thread-safe.
class ShareAllocation
{
public:
  /// Records a share that an entry got from an earlier leader.
  void Adopt(const VmId& aEntry, double aShare);

  /// Sets the shares that the entries are to have in the end.
  void SetTargets(std::map<VmId, double> aTargets)
  {
    m_targets = std::move(aTargets);
  }
  const std::map<VmId, double>& Targets() const { return m_targets; }

  /// Moves towards the targets as far as unused shares are available. Returns
  /// the entries whose share has changed.
  std::vector<VmId> Step();

  /// The entry uses no more than its current share.
  void Confirm(const VmId& aEntry);
  /// The entry uses no share any more.
  void Release(const VmId& aEntry);

  double ShareOf(const VmId& aEntry) const;
  /// Whether no entry may use a share any more.
  bool IsUnused() const { return m_shares.empty(); }

private:
  struct Share
  {
    double m_current = 0;
    double m_inUse = 0; ///< the largest that the entry may still use
  };

  std::map<VmId, Share> m_shares;
  std::map<VmId, double> m_targets;
};

} // namespace fulmarquay

#endif
