#ifndef FULMARQUAY_SERVE_STARTUPADMISSION_H
#define FULMARQUAY_SERVE_STARTUPADMISSION_H

#include "fulmarquay/core/Units.h"

namespace fulmarquay {

/// Holds back requests while a process starts.
///
/// After a restart of all processes, callers arrive before the control group
/// has elected a leader. If refused, most callers would retry once, too early,
/// and then give up. If admitted as soon as routes and keys are known, all
/// prompts would be computed anew at the same time, because neither the stored
/// parts nor the load of the other entries are known yet. Pure; not
/// thread-safe.
class StartupAdmission
{
public:
  /// Progress of the startup.
  struct State
  {
    bool m_isReady = false; ///< routes, workers and keys are known
    bool m_hasStoresAndLoads =
      false; ///< stores and the load of other entries too
  };

  /// Updates the progress; the first call marks the start.
  void Update(TimePoint aNow, const State& aState);

  /// Whether startup is complete; it does not begin again.
  bool IsComplete() const { return m_isComplete; }

  /// Whether a request has to wait. A request without a prompt does not wait
  /// for the stores.
  bool MustWait(bool aHasPrompt) const;

private:
  TimePoint m_startedAt;
  TimePoint m_readySince; ///< default value: not ready yet
  bool m_isComplete = false;
};

} // namespace fulmarquay

#endif
