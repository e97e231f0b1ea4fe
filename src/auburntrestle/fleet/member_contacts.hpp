#ifndef AUBURNTRESTLE_FLEET_MEMBER_CONTACTS_HPP
#define AUBURNTRESTLE_FLEET_MEMBER_CONTACTS_HPP

#include "auburntrestle/consensus/node.hpp"
#include "auburntrestle/core/ids.hpp"
#include "auburntrestle/core/time.hpp"
#include "auburntrestle/fleet/state.hpp"

#include <map>
#include <vector>

namespace auburntrestle::fleet {

/**
 * The last contact of the leader with each announced store. The members of the
 * log reply to the leader, and stores outside the log send it join requests.
 * Reads no clock.
 */
class MemberContacts
{
public:
  /** Starts a leadership. Its stores count as contacted at this time, because
   * the contacts of the former leader are unknown. */
  void Restart(TimePoint aNow);

  void RecordJoinRequest(const InstanceId& aInstance, TimePoint aNow);

  /**
   * @param aStatus the status of the leader.
   * @return the announced instances without contact for longer than aTimeout,
   *   such as those of machines that were replaced by others.
   */
  [[nodiscard]] std::vector<InstanceId> FindLost(
    const consensus::NodeStatus& aStatus,
    const State& aState,
    Duration aTimeout,
    TimePoint aNow) const;

private:
  /** @return the last contact with an instance. */
  [[nodiscard]] TimePoint LastContact(const consensus::NodeStatus& aStatus,
                                      const InstanceId& aInstance) const;

  TimePoint m_startedAt;
  std::map<InstanceId, TimePoint> m_joinRequests;
};

} // namespace auburntrestle::fleet

#endif
