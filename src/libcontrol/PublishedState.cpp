#include "fulmarquay/control/PublishedState.h"

#include <utility>

namespace fulmarquay {

bool
PublishedState::Publish(const PublishRoutesCommand& aCommand)
{
  if (aCommand.m_revision <= m_content.m_revision) {
    return false;
  }
  m_content.m_revision = aCommand.m_revision;
  m_content.m_source = aCommand.m_source;
  return true;
}

bool
PublishedState::SetWeights(const NameWeightsCommand& aCommand)
{
  std::int64_t& version = m_content.m_weights[aCommand.m_model];
  if (aCommand.m_version <= version) {
    return false;
  }
  version = aCommand.m_version;
  return true;
}

void
PublishedState::Restore(Content aContent)
{
  m_content = std::move(aContent);
}

} // namespace fulmarquay
