#include "fulmarquay/core/LogBuffer.h"

#include <algorithm>
#include <climits>
#include <ctime>
#include <poll.h>
#include <unistd.h>
#include <utility>

namespace fulmarquay {

namespace {

std::int64_t
BootMillis()
{
  constexpr std::int64_t kMillisPerSecond = 1'000;
  constexpr std::int64_t kNanosPerMilli = 1'000'000;
  timespec now{};
  ::clock_gettime(CLOCK_BOOTTIME, &now);
  return now.tv_sec * kMillisPerSecond + now.tv_nsec / kNanosPerMilli;
}

} // namespace

LogBuffer::LogBuffer(std::size_t aMaxBytes)
  : m_maxBytes(aMaxBytes)
{
}

void
LogBuffer::Add(const std::string& aLine, bool aIsHighPriority, int aEvent)
{
  const std::size_t limit = aIsHighPriority ? m_maxBytes : m_maxBytes / 2;
  if (Size() + aLine.size() > limit) {
    ++m_dropped[aEvent];
    return;
  }
  if (m_writtenBytes >= m_maxBytes / 2) {
    m_pending.erase(0, m_writtenBytes);
    m_writtenBytes = 0;
  }
  m_pending += aLine;
}

std::map<int, std::uint64_t>
LogBuffer::TakeDropped()
{
  return std::exchange(m_dropped, {});
}

void
LogBuffer::Flush(int aDescriptor)
{
  FlushWaiting(aDescriptor, 0);
}

void
LogBuffer::FlushWaiting(int aDescriptor, int aWaitMs)
{
  int waitMs = aWaitMs;
  while (m_writtenBytes < m_pending.size()) {
    // A pipe that polls as writable accepts PIPE_BUF bytes without blocking.
    pollfd state{ aDescriptor, POLLOUT, 0 };
    const std::int64_t startedAt = waitMs > 0 ? BootMillis() : 0;
    const bool isWritable =
      ::poll(&state, 1, waitMs) == 1 && (state.revents & POLLOUT) != 0;
    if (waitMs > 0) {
      waitMs = static_cast<int>(
        std::max<std::int64_t>(0, waitMs - (BootMillis() - startedAt)));
    }
    if (!isWritable) {
      return;
    }
    const std::size_t chunk =
      std::min<std::size_t>(PIPE_BUF, m_pending.size() - m_writtenBytes);
    const ssize_t size =
      ::write(aDescriptor, m_pending.data() + m_writtenBytes, chunk);
    if (size <= 0) {
      return;
    }
    m_writtenBytes += static_cast<std::size_t>(size);
  }
  m_pending.clear();
  m_writtenBytes = 0;
}

} // namespace fulmarquay
