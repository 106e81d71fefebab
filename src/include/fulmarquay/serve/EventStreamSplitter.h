#ifndef FULMARQUAY_SERVE_EVENTSTREAMSPLITTER_H
#define FULMARQUAY_SERVE_EVENTSTREAMSPLITTER_H

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace fulmarquay {

/// Splits a stream of server-sent events into complete events, so that an
/// interrupted stream can be resumed after the last one. Parses only event ids.
/// Not thread-safe.
class EventStreamSplitter
{
public:
  /// Starts at a position: the id of the last event that the caller received
  /// earlier.
  void StartAfter(std::int64_t aEventId) { m_lastId = aEventId; }

  /// Adds bytes; returns the events that are now complete.
  std::string Feed(std::string_view aBytes);

  /// Discards the bytes of an incomplete event after its worker failed.
  void DropPartial() { m_partial.clear(); }

  /// Id of the last complete event, of earlier answers too; -1 before the first
  /// one.
  std::int64_t LastId() const { return m_lastId; }
  bool HasPartial() const { return !m_partial.empty(); }
  /// Size of the incomplete event that is held.
  std::size_t PartialBytes() const { return m_partial.size(); }

private:
  void ReadIds(std::string_view aEvents);

  std::string m_partial;
  std::int64_t m_lastId = -1;
};

} // namespace fulmarquay

#endif
