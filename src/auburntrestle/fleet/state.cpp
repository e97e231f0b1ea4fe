#include "auburntrestle/fleet/state.hpp"

#include "auburntrestle/observe/log.hpp"

#include <algorithm>

namespace auburntrestle::fleet {

State::State(OutputStore& aOutputs)
  : m_outputs(&aOutputs)
{
}

tl::expected<CommandResult, OutputStoreError> State::Apply(
  const Command& aCommand)
{
  return std::visit(
    [this](const auto& aBody) -> tl::expected<CommandResult, OutputStoreError> {
      return On(aBody);
    },
    aCommand);
}

CommandResult State::On(const PutConfiguration& aCommand)
{
  if (aCommand.m_version > m_configuration.m_version) {
    m_configuration = { aCommand.m_version, aCommand.m_document };
  }
  return CommandResult::Done;
}

CommandResult State::On(const PublishWeights& aCommand)
{
  auto& newest = m_weights[aCommand.m_model];
  newest = std::max(newest, aCommand.m_version);
  return CommandResult::Done;
}

CommandResult State::On(const RecordOrder& /*aCommand*/)
{
  // No state: StoreService uses the time at which it is applied.
  return CommandResult::Done;
}

CommandResult State::On(const RecordDutyLease& /*aCommand*/)
{
  // No state: StoreService uses the time at which it is applied.
  return CommandResult::Done;
}

CommandResult State::On(const RecordUsage& aCommand)
{
  if (aCommand.m_window < m_usage.m_firstOpen) {
    return CommandResult::Done;
  }
  auto& unreported = m_usage.m_unreported;
  unreported.emplace(aCommand.m_window, aCommand.m_counts);
  m_usage.m_firstOpen = aCommand.m_window.Next();
  if (unreported.size() > kMaxUsageWindows) {
    observe::LogLine(observe::LogLevel::Warning, "usage_window_dropped")
      .Add("window", unreported.begin()->first);
    unreported.erase(unreported.begin());
  }
  return CommandResult::Done;
}

CommandResult State::On(const CompleteUsage& aCommand)
{
  m_usage.m_unreported.erase(aCommand.m_window);
  m_usage.m_firstOpen = std::max(m_usage.m_firstOpen, aCommand.m_window.Next());
  return CommandResult::Done;
}

} // namespace auburntrestle::fleet
