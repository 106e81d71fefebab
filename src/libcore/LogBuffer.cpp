#include "fulmarquay/core/LogBuffer.h"

#include <algorithm>
#include <climits>
#include <poll.h>
#include <unistd.h>
#include <utility>

namespace fulmarquay {

LogBuffer::LogBuffer(std::size_t aMostBytes)
  : m_mostBytes(aMostBytes)
{
}

void
LogBuffer::Add(const std::string& aLine, bool aIsImportant)
{
  const std::size_t room = aIsImportant ? m_mostBytes : m_mostBytes / 2;
  if (Size() + aLine.size() > room) {
    ++m_leftOut;
    return;
  }
  if (m_written >= m_mostBytes / 2) {
    m_waiting.erase(0, m_written);
    m_written = 0;
  }
  m_waiting += aLine;
}

std::uint64_t
LogBuffer::TakeLeftOut()
{
  return std::exchange(m_leftOut, 0);
}

void
LogBuffer::Flush(int aDescriptor)
{
  while (m_written < m_waiting.size()) {
    // A pipe that polls as writable takes PIPE_BUF bytes without blocking.
    pollfd state{ aDescriptor, POLLOUT, 0 };
    const bool isWritable =
      ::poll(&state, 1, 0) == 1 && (state.revents & POLLOUT) != 0;
    if (!isWritable) {
      return;
    }
    const std::size_t part =
      std::min<std::size_t>(PIPE_BUF, m_waiting.size() - m_written);
    const ssize_t size =
      ::write(aDescriptor, m_waiting.data() + m_written, part);
    if (size <= 0) {
      return;
    }
    m_written += static_cast<std::size_t>(size);
  }
  m_waiting.clear();
  m_written = 0;
}

} // namespace fulmarquay
