#ifndef FULMARQUAY_CORE_LOGBUFFER_H
#define FULMARQUAY_CORE_LOGBUFFER_H

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

namespace fulmarquay {

/// A buffer of log lines to be written, bounded in bytes. Lines of normal
/// priority may use half of the capacity; high-priority lines, which are
/// warnings and errors, all of it. Lines that don't fit are dropped and
/// counted. Not thread-safe.
class LogBuffer
{
public:
  /// Holds a few seconds of one process's log lines at peak load.
  static constexpr std::size_t kMaxBytes = 512U << 10U;

  explicit LogBuffer(std::size_t aMaxBytes = kMaxBytes);

  /// Adds a line that ends with a newline. `aEvent` is the number of its event.
  void Add(const std::string& aLine, bool aIsHighPriority, int aEvent = 0);

  /// Returns the lines dropped since the last call, by the numbers of their
  /// events.
  std::map<int, std::uint64_t> TakeDropped();

  /// Writes as many bytes as the descriptor accepts without blocking.
  void Flush(int aDescriptor);

  /// Like Flush, but waits until the descriptor accepts more bytes, for at most
  /// `aWaitMs` in all. Async-signal-safe.
  void FlushWaiting(int aDescriptor, int aWaitMs);

  /// Bytes not yet written.
  std::size_t Size() const { return m_pending.size() - m_writtenBytes; }

private:
  std::size_t m_maxBytes;
  std::string m_pending;
  std::size_t m_writtenBytes = 0; ///< prefix of m_pending already written
  std::map<int, std::uint64_t> m_dropped;
};

} // namespace fulmarquay

#endif
