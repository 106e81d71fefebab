#ifndef FULMARQUAY_LIBCORE_CRASHLINE_H
#define FULMARQUAY_LIBCORE_CRASHLINE_H

#include <string>

namespace fulmarquay {

struct LogEventInfo;

/// The log line about the signal that ends the process. It is rendered in
/// advance except for its figures, as a signal handler can't allocate.
class CrashLine
{
public:
  CrashLine(const std::string& aProgram,
            const LogEventInfo& aEvent,
            bool aIsJson);

  /// Writes the line unless the descriptor accepts no bytes within `aWaitMs`.
  /// Async-signal-safe; errors are ignored.
  void Write(int aDescriptor,
             long long aWallMillis,
             int aSignal,
             int aWaitMs) const;

private:
  std::string m_beforeTime;
  std::string m_beforeSignal;
  std::string m_end;
};

} // namespace fulmarquay

#endif
