#ifndef FULMARQUAY_SERVE_STARTGATE_H
#define FULMARQUAY_SERVE_STARTGATE_H

#include "fulmarquay/core/Units.h"

namespace fulmarquay {

/// When a process that has just started takes requests.
///
/// The load that it answers: all processes were killed at once, and callers
/// come before the group has a leader again. Refused, most of them would come
/// back too early once and then no more. Let through as soon as routes and
/// keys are known, all of them would read their prompts anew at once, because
/// neither the stores' parts nor the others' load are known yet. Pure; not
/// thread-safe.
class StartGate
{
public:
  /// How far a start is.
  struct Progress
  {
    bool m_isReady = false;   ///< routes, workers and keys are known
    bool m_isSettled = false; ///< stores and the others' load as well
  };

  /// Notes the progress; the first call is the start.
  void Review(TimePoint aNow, const Progress& aProgress);

  /// Whether the start is over, for good.
  bool IsOpen() const { return m_isOpen; }

  /// Whether a request is to wait. One without a prompt needs no stores.
  bool MustWait(bool aHasPrompt) const;

private:
  TimePoint m_startedAt;
  TimePoint m_readySince; ///< none: it is not ready yet
  bool m_isOpen = false;
};

} // namespace fulmarquay

#endif
