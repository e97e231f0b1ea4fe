#ifndef AUBURNTRESTLE_FLEET_MEMBERSHIP_PLAN_HPP
#define AUBURNTRESTLE_FLEET_MEMBERSHIP_PLAN_HPP

#include "auburntrestle/consensus/events.hpp"
#include "auburntrestle/consensus/node.hpp"
#include "auburntrestle/fleet/state.hpp"

#include <cstddef>
#include <optional>
#include <vector>

namespace auburntrestle::fleet {

/** How the members of the log are chosen. */
struct MembershipPolicy
{
  std::size_t m_voters = 3;
  /** Learners wanted beside the voters, each ready to replace one. Every member
   * costs the leader a copy of the log, so further instances wait. */
  std::size_t m_learners = 2;
  /** A voter not heard of for this long is replaced. */
  Duration m_voterLossTime = std::chrono::seconds(5);
  /** A learner not heard of for this long is removed. */
  Duration m_learnerLossTime = std::chrono::seconds(30);
};

/**
 * Decides the next change of the members of the log, at most one at a time:
 * takes in as many of those who ask as are wanted, keeps the wanted number of
 * voters spread over the data centres, replaces lost voters and empties
 * retiring machines. A voter is only removed while a majority of the others is
 * in contact.
 *
 * @param aStatus the status of the leader.
 * @param aJoining members that asked to be taken in, oldest first.
 * @return the change, or nothing.
 */
[[nodiscard]] std::optional<consensus::MembershipChange> PlanMembership(
  const MembershipPolicy& aPolicy,
  const consensus::NodeStatus& aStatus,
  const State& aState,
  const std::vector<consensus::MemberIdentity>& aJoining,
  TimePoint aNow);

} // namespace auburntrestle::fleet

#endif
