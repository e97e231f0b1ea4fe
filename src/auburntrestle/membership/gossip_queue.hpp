#ifndef AUBURNTRESTLE_MEMBERSHIP_GOSSIP_QUEUE_HPP
#define AUBURNTRESTLE_MEMBERSHIP_GOSSIP_QUEUE_HPP

#include "auburntrestle/membership/types.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

namespace auburntrestle::membership {

/** Priority of an update in the gossip queue. */
enum class Urgency : std::uint8_t
{
  /** Change of a member's state; selected first. */
  State,
  /** Change of an advertisement; fills the remaining space. */
  Advertisement,
};

/**
 * Updates to be piggybacked on probes and acks. It holds at most one update per
 * member, and sends each a limited number of times, so that the traffic depends
 * on the number of messages and not on the number of changes.
 */
class GossipQueue
{
public:
  /** Adds an update; it replaces an older one about the same member. */
  void Add(MemberUpdate aUpdate, Urgency aUrgency);

  /**
   * Selects the updates for one message and counts their transmission: state
   * changes first, then those with the fewest transmissions. Removes updates
   * that have reached their transmission limit.
   *
   * @param aMaxBytes space in the message.
   * @param aMembers number of members, which determines the limit.
   */
  [[nodiscard]] std::vector<MemberUpdate> SelectForMessage(
    std::size_t aMaxBytes,
    std::size_t aMembers);

  [[nodiscard]] bool empty() const noexcept { return m_entries.empty(); }

private:
  struct Entry
  {
    MemberUpdate m_update;
    Urgency m_urgency{};
    std::size_t m_transmissions = 0;
  };

  std::map<InstanceId, Entry> m_entries;
};

/**
 * @return how often an instance transmits an update: 3 log2(n + 1) times for
 * states, which reaches all members with a probability near one despite message
 * loss, and log2(n + 1) times for advertisements, since later ones replace
 * them.
 */
[[nodiscard]] std::size_t TransmissionLimit(Urgency aUrgency,
                                            std::size_t aMembers);

} // namespace auburntrestle::membership

#endif
