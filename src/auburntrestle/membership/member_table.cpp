#include "auburntrestle/membership/member_table.hpp"

namespace auburntrestle::membership {

MergeResult MemberTable::Merge(const MemberUpdate& aUpdate, TimePoint aNow)
{
  const auto found = m_members.find(aUpdate.m_id);
  if (found == m_members.end()) {
    if (!aUpdate.m_advertisement.has_value()) {
      return MergeResult::Nothing;
    }
    m_members.emplace(aUpdate.m_id,
                      Member{ aUpdate.m_id,
                              aUpdate.m_incarnation,
                              aUpdate.m_state,
                              *aUpdate.m_advertisement,
                              aNow });
    return MergeResult::State;
  }
  Member& member = found->second;
  if (aUpdate.m_incarnation < member.m_incarnation) {
    return MergeResult::Nothing;
  }
  const bool newer = aUpdate.m_incarnation > member.m_incarnation;
  MergeResult result = MergeResult::Nothing;
  if (aUpdate.m_advertisement.has_value() &&
      (newer ||
       aUpdate.m_advertisement->m_version > member.m_advertisement.m_version)) {
    member.m_advertisement = *aUpdate.m_advertisement;
    result = MergeResult::Advertisement;
  }
  const bool stateWins = newer || aUpdate.m_state > member.m_state;
  member.m_incarnation = aUpdate.m_incarnation;
  if (stateWins && aUpdate.m_state != member.m_state) {
    member.m_state = aUpdate.m_state;
    member.m_stateSince = aNow;
    result = MergeResult::State;
  } else if (newer && result == MergeResult::Nothing) {
    // A new incarnation is gossiped even if nothing else changed.
    result = MergeResult::Advertisement;
  }
  return result;
}

const Member* MemberTable::Find(const InstanceId& aId) const
{
  const auto found = m_members.find(aId);
  return found == m_members.end() ? nullptr : &found->second;
}

void MemberTable::RestartSuspicions(TimePoint aNow)
{
  for (auto& [id, member] : m_members) {
    if (member.m_state == MemberState::Suspect) {
      member.m_stateSince = aNow;
    }
  }
}

void MemberTable::RemoveDeadBefore(TimePoint aTime)
{
  std::erase_if(m_members, [aTime](const auto& aEntry) {
    const Member& member = aEntry.second;
    return member.m_state >= MemberState::Dead && member.m_stateSince < aTime;
  });
}

MemberUpdate MemberTable::Describe(const Member& aMember)
{
  MemberUpdate update{
    aMember.m_id, aMember.m_incarnation, aMember.m_state, {}
  };
  if (aMember.m_state == MemberState::Alive) {
    update.m_advertisement = aMember.m_advertisement;
  }
  return update;
}

} // namespace auburntrestle::membership
