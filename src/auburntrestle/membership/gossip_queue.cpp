#include "auburntrestle/membership/gossip_queue.hpp"

#include <algorithm>
#include <bit>
#include <utility>

namespace auburntrestle::membership {

std::size_t TransmissionLimit(Urgency aUrgency, std::size_t aMembers)
{
  const std::size_t rounds = std::bit_width(aMembers);
  return aUrgency == Urgency::State ? 3 * rounds : rounds;
}

void GossipQueue::Add(MemberUpdate aUpdate, Urgency aUrgency)
{
  Entry& entry = m_entries[aUpdate.m_id];
  // If the replaced update still had to spread a state change, the newer one
  // keeps its urgency.
  const bool urgent = entry.m_transmissions > 0 &&
                      entry.m_urgency == Urgency::State &&
                      aUpdate.m_incarnation == entry.m_update.m_incarnation;
  entry.m_urgency = urgent ? Urgency::State : aUrgency;
  entry.m_update = std::move(aUpdate);
  entry.m_transmissions = 0;
}

std::vector<MemberUpdate> GossipQueue::SelectForMessage(std::size_t aMaxBytes,
                                                        std::size_t aMembers)
{
  std::vector<Entry*> order;
  order.reserve(m_entries.size());
  for (auto& [id, entry] : m_entries) {
    order.push_back(&entry);
  }
  std::stable_sort(
    order.begin(), order.end(), [](const Entry* aLeft, const Entry* aRight) {
      return std::pair(aLeft->m_urgency, aLeft->m_transmissions) <
             std::pair(aRight->m_urgency, aRight->m_transmissions);
    });
  std::vector<MemberUpdate> selected;
  std::size_t bytes = 0;
  for (Entry* entry : order) {
    const std::size_t size = MaxEncodedBytes(entry->m_update);
    if (bytes + size <= aMaxBytes) {
      bytes += size;
      selected.push_back(entry->m_update);
      ++entry->m_transmissions;
    }
  }
  std::erase_if(m_entries, [aMembers](const auto& aEntry) {
    return aEntry.second.m_transmissions >=
           TransmissionLimit(aEntry.second.m_urgency, aMembers);
  });
  return selected;
}

} // namespace auburntrestle::membership
