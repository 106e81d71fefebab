#ifndef FULMARQUAY_DAEMON_MEMORYLOG_H
#define FULMARQUAY_DAEMON_MEMORYLOG_H

#include "fulmarquay/core/MemoryWatch.h"

namespace fulmarquay {

/// Samples the resident memory of this process and logs MemoryGrew.
class MemoryLog
{
public:
  /// To be called often; samples when one is due.
  void Sample(TimePoint aNow);

  /// The last sample.
  Bytes Resident() const { return m_watch.Resident(); }

private:
  MemoryWatch m_watch;
};

} // namespace fulmarquay

#endif
