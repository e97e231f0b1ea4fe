#include "auburntrestle/fleet/state.hpp"

#include <algorithm>

namespace auburntrestle::fleet {

bool State::IsSuperseded(const BackendRecord& aRecord) const
{
  return std::any_of(
    m_backends.begin(), m_backends.end(), [&](const auto& aItem) {
      const BackendRecord& other = aItem.second;
      return other.m_address == aRecord.m_address &&
             other.m_id != aRecord.m_id &&
             other.m_incarnation > aRecord.m_incarnation;
    });
}

bool State::IsChange(const BackendRecord& aRecord) const
{
  const auto found = m_backends.find(aRecord.m_id);
  if (found != m_backends.end()) {
    const BackendRecord& current = found->second;
    if (aRecord.m_incarnation < current.m_incarnation) {
      return false;
    }
    if (aRecord.m_incarnation == current.m_incarnation &&
        (current.m_state == BackendState::Removed ||
         aRecord.m_sequence <= current.m_sequence ||
         current.HasSameRouting(aRecord))) {
      return false;
    }
  }
  return !IsSuperseded(aRecord);
}

CommandResult State::On(const AnnounceBackend& aCommand)
{
  const BackendRecord& record = aCommand.m_record;
  if (!IsChange(record)) {
    return CommandResult::Done;
  }
  // The address now belongs to this backend server.
  for (auto& [id, other] : m_backends) {
    if (other.m_address == record.m_address && id != record.m_id &&
        other.m_state != BackendState::Removed) {
      MarkRemoved(other);
    }
  }
  m_backends[record.m_id] = record;
  std::erase(m_removed, record.m_id);
  m_directory = m_directory.Next();
  return CommandResult::Done;
}

void State::MarkRemoved(BackendRecord& aRecord)
{
  aRecord.m_state = BackendState::Removed;
  m_removed.push_back(aRecord.m_id);
  if (m_removed.size() > kMaxRemoved) {
    m_backends.erase(m_removed.front());
    m_removed.pop_front();
  }
}

CommandResult State::On(const RemoveBackend& aCommand)
{
  const auto found = m_backends.find(aCommand.m_id);
  if (found == m_backends.end()) {
    return CommandResult::Done;
  }
  BackendRecord& record = found->second;
  const bool otherIncarnation = aCommand.m_incarnation != Incarnation() &&
                                aCommand.m_incarnation != record.m_incarnation;
  if (record.m_state != BackendState::Removed && !otherIncarnation) {
    MarkRemoved(record);
    m_directory = m_directory.Next();
  }
  return CommandResult::Done;
}

} // namespace auburntrestle::fleet
