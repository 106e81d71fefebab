#include "fulmarquay/control/ControlState.h"

#include <utility>

namespace fulmarquay {

namespace {

/// The layout of the state in a snapshot.
struct SavedState
{
  std::vector<OnceRecord> m_once;
  ConfigTable::Content m_config;
  std::uint64_t m_lastOrder = 0;
  PublishedState::Content m_published;
  MSGPACK_DEFINE(m_once, m_config, m_lastOrder, m_published)
};

} // namespace

ControlResult
ControlState::Apply(const ControlCommand& aCommand)
{
  return std::visit(
    [this](const auto& aAlternative) { return On(aAlternative); }, aCommand);
}

ControlResult
ControlState::On(const SubmitCommand& aCommand)
{
  return m_config.Submit(aCommand);
}

ControlResult
ControlState::On(const BeginOnceCommand& aCommand)
{
  return m_once.Begin(aCommand);
}

ControlResult
ControlState::On(const FinishOnceCommand& aCommand)
{
  return ValueResult{ m_once.Finish(aCommand) ? 1U : 0U };
}

ControlResult
ControlState::On(const MarkEntryLostCommand& aCommand)
{
  return ValueResult{ m_once.MarkEntryLost(aCommand).size() };
}

ControlResult
ControlState::On(const PruneOnceCommand& aCommand)
{
  return ValueResult{ m_once.Prune(aCommand) };
}

ControlResult
ControlState::On(const IssueOrderCommand&)
{
  return ValueResult{ ++m_lastOrder };
}

ControlResult
ControlState::On(const SwitchWeightsCommand& aCommand)
{
  m_config.SwitchWeights(aCommand);
  return ValueResult{ m_config.Current().Value() };
}

ControlResult
ControlState::On(const PublishRoutesCommand& aCommand)
{
  return ValueResult{ m_published.Publish(aCommand) ? 1U : 0U };
}

ControlResult
ControlState::On(const NameWeightsCommand& aCommand)
{
  return ValueResult{ m_published.SetWeights(aCommand) ? 1U : 0U };
}

ControlResult
ControlState::On(const BlockPartCommand& aCommand)
{
  return ValueResult{ m_published.SetBlocked(aCommand) ? 1U : 0U };
}

ControlResult
ControlState::On(const ListSoftwareCommand& aCommand)
{
  return ValueResult{ m_published.SetListed(aCommand) ? 1U : 0U };
}

ControlResult
ControlState::On(const EvacuateCommand& aCommand)
{
  return ValueResult{ m_published.SetEvacuated(aCommand) ? 1U : 0U };
}

std::string
ControlState::Encode() const
{
  SavedState saved;
  saved.m_once = m_once.Records();
  saved.m_config = m_config.Save();
  saved.m_lastOrder = m_lastOrder;
  saved.m_published = m_published.Save();
  return Pack(saved);
}

void
ControlState::Decode(std::string_view aBytes)
{
  auto saved = Unpack<SavedState>(aBytes);
  m_once.Restore(std::move(saved.m_once));
  m_config.Restore(std::move(saved.m_config));
  m_lastOrder = saved.m_lastOrder;
  m_published.Restore(std::move(saved.m_published));
}

} // namespace fulmarquay
