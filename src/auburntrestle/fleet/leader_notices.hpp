#ifndef AUBURNTRESTLE_FLEET_LEADER_NOTICES_HPP
#define AUBURNTRESTLE_FLEET_LEADER_NOTICES_HPP

#include "auburntrestle/core/ids.hpp"
#include "auburntrestle/core/time.hpp"
#include "auburntrestle/fleet/messages.hpp"

#include <optional>

namespace auburntrestle::fleet {

/** What happens to a notice of a leader. */
enum class NoticeOutcome
{
  /** From a former leader; ignored. */
  Outdated,
  /** Names the same leader as the notice before. */
  Repeated,
  /** Names another leader. */
  NewLeader,
};

/**
 * The leader that a store knows from notices, for a store whose own replica
 * follows none. Reads no clock.
 */
class LeaderNotices
{
public:
  /**
   * Records a notice.
   *
   * @param aFollowed the term of the leader that the own replica follows now,
   *   or the initial term. A leader that was frozen names itself with its old
   *   term when it wakes.
   */
  NoticeOutcome Record(LeaderNotice aNotice, Term aFollowed, TimePoint aNow);

  /** @return the leader, or nothing if the last notice is too old. */
  [[nodiscard]] std::optional<InstanceId> LeaderAt(TimePoint aNow) const;

private:
  Term m_term;
  InstanceId m_leader;
  std::optional<TimePoint> m_receivedAt;
};

} // namespace auburntrestle::fleet

#endif
