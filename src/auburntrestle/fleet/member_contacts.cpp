#include "auburntrestle/fleet/member_contacts.hpp"

#include <algorithm>

namespace auburntrestle::fleet {

void MemberContacts::Restart(TimePoint aNow)
{
  m_startedAt = aNow;
  m_joinRequests.clear();
}

void MemberContacts::RecordJoinRequest(const InstanceId& aInstance,
                                       TimePoint aNow)
{
  m_joinRequests[aInstance] = aNow;
}

TimePoint MemberContacts::LastContact(const consensus::NodeStatus& aStatus,
                                      const InstanceId& aInstance) const
{
  TimePoint last = m_startedAt;
  for (const auto& progress : aStatus.m_progress) {
    if (progress.m_identity.m_instance == aInstance) {
      last = std::max(last, progress.m_lastContact);
    }
  }
  const auto joining = m_joinRequests.find(aInstance);
  return joining == m_joinRequests.end() ? last
                                         : std::max(last, joining->second);
}

std::vector<InstanceId> MemberContacts::FindLost(
  const consensus::NodeStatus& aStatus,
  const State& aState,
  Duration aTimeout,
  TimePoint aNow) const
{
  std::vector<InstanceId> lost;
  for (const auto& [instance, record] : aState.Members()) {
    const bool isSelf = instance == aStatus.m_identity.m_instance;
    if (!isSelf && LastContact(aStatus, instance) + aTimeout < aNow) {
      lost.push_back(instance);
    }
  }
  return lost;
}

} // namespace auburntrestle::fleet
