#include "fulmarquay/serve/StreamOrigins.h"

#include "fulmarquay/core/Digest.h"

namespace fulmarquay {

StreamKey
MakeStreamKey(const std::string& aAttempt,
              const std::string& aAccount,
              const std::string& aHost,
              const std::string& aPath)
{
  std::uint64_t key = 0;
  for (const std::string* part : { &aAccount, &aHost, &aPath, &aAttempt }) {
    key = Checksum64(*part, key);
  }
  return StreamKey(key);
}

void
StreamOrigins::Record(TimePoint aNow,
                      StreamKey aStream,
                      const StreamOrigin& aOrigin,
                      bool aIsOwn)
{
  Expire(aNow);
  const auto found = m_index.find(aStream);
  if (found != m_index.end()) {
    Item& item = *found->second;
    item.m_isAmbiguous = item.m_isAmbiguous || item.m_origin != aOrigin;
    item.m_isOwn = item.m_isOwn || aIsOwn;
    item.m_expiresAt = aNow + kTtl;
    m_items.splice(m_items.end(), m_items, found->second);
    return;
  }
  if (m_index.size() >= m_maxSize) {
    m_index.erase(m_items.front().m_stream);
    m_items.pop_front();
  }
  m_items.push_back({ aStream, aOrigin, aIsOwn, false, aNow + kTtl });
  m_index[aStream] = std::prev(m_items.end());
}

StreamOrigins::Finding
StreamOrigins::Find(TimePoint aNow, StreamKey aStream) const
{
  const auto found = m_index.find(aStream);
  if (found == m_index.end() || aNow >= found->second->m_expiresAt) {
    return {};
  }
  const Item& item = *found->second;
  if (item.m_isAmbiguous) {
    return { std::nullopt, true };
  }
  return { item.m_origin, false };
}

std::vector<std::pair<StreamKey, StreamOrigin>>
StreamOrigins::OwnOf(TimePoint aNow, const PoolId& aPool) const
{
  std::vector<std::pair<StreamKey, StreamOrigin>> own;
  for (const Item& item : m_items) {
    if (item.m_isOwn && !item.m_isAmbiguous && aNow < item.m_expiresAt &&
        item.m_origin.m_pool == aPool) {
      own.emplace_back(item.m_stream, item.m_origin);
    }
  }
  return own;
}

void
StreamOrigins::Expire(TimePoint aNow)
{
  while (!m_items.empty() && aNow >= m_items.front().m_expiresAt) {
    m_index.erase(m_items.front().m_stream);
    m_items.pop_front();
  }
}

} // namespace fulmarquay
