#ifndef FULMARQUAY_SERVE_EVENTBORDERS_H
#define FULMARQUAY_SERVE_EVENTBORDERS_H

#include <cstdint>
#include <string>
#include <string_view>

namespace fulmarquay {

/// Cuts a stream of server-sent events at its event borders, so that a stream
/// that breaks off can go on after its last whole event. Reads no more of an
/// event than its id. Not thread-safe.
class EventBorders
{
public:
  /// Adds bytes; returns the whole events that are now complete.
  std::string Feed(std::string_view aBytes);

  /// Bytes of an unfinished event are dropped: its worker broke off.
  void DropPartial() { m_partial.clear(); }

  /// The id of the last whole event; -1 before the first one.
  std::int64_t LastId() const { return m_lastId; }
  bool HasPartial() const { return !m_partial.empty(); }

private:
  void ReadIds(std::string_view aEvents);

  std::string m_partial;
  std::int64_t m_lastId = -1;
};

} // namespace fulmarquay

#endif
