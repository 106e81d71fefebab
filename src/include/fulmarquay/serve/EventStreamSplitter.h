#ifndef FULMARQUAY_SERVE_EVENTSTREAMSPLITTER_H
#define FULMARQUAY_SERVE_EVENTSTREAMSPLITTER_H

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace fulmarquay {

/// Splits a stream of server-sent events into complete events, so that an
/// interrupted stream can be resumed after the last one. Parses only event ids,
/// which increase from event to event across all answers of a stream. Not
/// thread-safe.
class EventStreamSplitter
{
public:
  /// Starts at a position: the id of the last event that the caller received
  /// earlier.
  void StartAfter(std::int64_t aEventId) { m_lastId = aEventId; }

  /// Adds bytes; returns the events that are now complete, up to the first
  /// invalid one.
  std::string Feed(std::string_view aBytes);

  /// Discards what is left of an answer after its worker failed.
  void DropPartial()
  {
    m_partial.clear();
    m_hasInvalidEvent = false;
  }

  /// Id of the last complete event, of earlier answers too; -1 before the first
  /// one.
  std::int64_t LastId() const { return m_lastId; }
  /// Whether an event had the id of an earlier one or a lower one, or contained
  /// the head of another answer.
  bool HasInvalidEvent() const { return m_hasInvalidEvent; }
  bool HasPartial() const { return !m_partial.empty(); }
  /// Size of the incomplete event that is held.
  std::size_t PartialBytes() const { return m_partial.size(); }

private:
  /// Reads the id of an event, if it has one. Returns whether the event
  /// continues the stream.
  bool ReadId(std::string_view aEvent);

  std::string m_partial;
  std::int64_t m_lastId = -1;
  bool m_hasInvalidEvent = false;
};

} // namespace fulmarquay

#endif
