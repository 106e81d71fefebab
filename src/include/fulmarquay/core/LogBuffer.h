#ifndef FULMARQUAY_CORE_LOGBUFFER_H
#define FULMARQUAY_CORE_LOGBUFFER_H

#include <cstddef>
#include <cstdint>
#include <string>

namespace fulmarquay {

/// Lines that wait to be written, bounded in bytes. Routine lines may fill
/// one half of the room; warnings and errors use all of it. What finds no
/// room is left out and counted. Not thread-safe.
class LogBuffer
{
public:
  /// Some seconds of one process's lines at its peak load.
  static constexpr std::size_t kMostBytes = 512U << 10U;

  explicit LogBuffer(std::size_t aMostBytes = kMostBytes);

  /// Adds a line that ends with a newline.
  void Add(const std::string& aLine, bool aIsImportant);

  /// Lines left out since the last call.
  std::uint64_t TakeLeftOut();

  /// Writes as much as the descriptor takes without blocking.
  void Flush(int aDescriptor);

  std::size_t Size() const { return m_waiting.size() - m_written; }

private:
  std::size_t m_mostBytes;
  std::string m_waiting;
  std::size_t m_written = 0; ///< bytes of m_waiting that are out
  std::uint64_t m_leftOut = 0;
};

} // namespace fulmarquay

#endif
