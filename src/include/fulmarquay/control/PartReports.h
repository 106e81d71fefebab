#ifndef FULMARQUAY_CONTROL_PARTREPORTS_H
#define FULMARQUAY_CONTROL_PARTREPORTS_H

#include "fulmarquay/core/Digest.h"
#include "fulmarquay/core/StrongId.h"
#include "fulmarquay/wire/Codec.h"

#include <cstdint>
#include <string>
#include <vector>

namespace fulmarquay {

/// Identifies what several requests have in common: a part of a prompt,
/// whatever model and cache scope it is used with, or the whole request.
using RequestPartId = StrongId<struct RequestPartTag, std::uint64_t>;

/// The id of a part of a prompt, from its name in requests.
inline RequestPartId
MakeRequestPartId(const std::string& aName)
{
  return RequestPartId(Checksum64(aName));
}

/// A call that ended without a whole event, or without any answer if that has
/// no events, because the connection to its worker did.
struct FailedStart
{
  std::string m_worker;
  std::int64_t m_ageUs = 0;    ///< since the call ended
  bool m_hasHead = false;      ///< the worker had begun to answer
  std::uint64_t m_request = 0; ///< id of the whole request
  /// Of the prompt, those that prompts share; and the whole request.
  std::vector<RequestPartId> m_parts;
  MSGPACK_DEFINE(m_worker, m_ageUs, m_hasHead, m_request, m_parts)
};

/// A part with which a worker has sent a whole event, or a whole answer.
struct SoundPart
{
  RequestPartId m_part;
  std::int64_t m_ageUs = 0; ///< since the newest such event
  MSGPACK_DEFINE(m_part, m_ageUs)
};

/// Observations of one entry, sent to the leader. May be sent again: the leader
/// recognizes what it has.
struct PartReport
{
  std::vector<FailedStart> m_failures;
  std::vector<SoundPart> m_sound;
  MSGPACK_DEFINE(m_failures, m_sound)
};

/// Asks an entry for what it knows of parts that may crash workers.
struct PartQuery
{
  std::vector<RequestPartId> m_parts;
  MSGPACK_DEFINE(m_parts)
};

} // namespace fulmarquay

#endif
