#include "auburntrestle/fleet/state.hpp"

#include <algorithm>
#include <vector>

namespace auburntrestle::fleet {

bool State::IsChange(const AnnounceMember& aMember) const
{
  const auto found = m_members.find(aMember.m_instance);
  return found == m_members.end() ||
         found->second.m_machine != aMember.m_machine ||
         found->second.m_dataCentre != aMember.m_dataCentre;
}

CommandResult State::On(const AnnounceMember& aCommand)
{
  // A machine has one instance: one at a new address replaces the old one.
  std::erase_if(m_members, [&](const auto& aItem) {
    return aItem.second.m_machine == aCommand.m_machine;
  });
  m_members[aCommand.m_instance] = { aCommand.m_machine,
                                     aCommand.m_dataCentre };
  return CommandResult::Done;
}

CommandResult State::On(const RetireMember& aCommand)
{
  if (m_retiring.contains(aCommand.m_machine)) {
    return CommandResult::Done;
  }
  if (InstancesOf(aCommand.m_machine).empty()) {
    return CommandResult::NotFound;
  }
  if (CountRemaining(aCommand) < aCommand.m_minRemaining) {
    return CommandResult::TooFewRemain;
  }
  m_retiring.insert(aCommand.m_machine);
  return CommandResult::Done;
}

std::size_t State::CountRemaining(const RetireMember& aCommand) const
{
  const auto& lost = aCommand.m_lost;
  return static_cast<std::size_t>(
    std::count_if(m_members.begin(), m_members.end(), [&](const auto& aItem) {
      const auto& [instance, record] = aItem;
      return record.m_machine != aCommand.m_machine &&
             !m_retiring.contains(record.m_machine) &&
             std::find(lost.begin(), lost.end(), instance) == lost.end();
    }));
}

bool State::IsRetiringMachine(const std::string& aMachine) const
{
  return m_retiring.contains(aMachine);
}

bool State::IsRetiring(const InstanceId& aInstance) const
{
  const auto found = m_members.find(aInstance);
  return found != m_members.end() &&
         m_retiring.contains(found->second.m_machine);
}

std::vector<InstanceId> State::InstancesOf(const std::string& aMachine) const
{
  std::vector<InstanceId> instances;
  for (const auto& [instance, record] : m_members) {
    if (record.m_machine == aMachine) {
      instances.push_back(instance);
    }
  }
  return instances;
}

} // namespace auburntrestle::fleet
