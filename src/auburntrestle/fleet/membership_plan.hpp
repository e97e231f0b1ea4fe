#ifndef AUBURNTRESTLE_FLEET_MEMBERSHIP_PLAN_HPP
#define AUBURNTRESTLE_FLEET_MEMBERSHIP_PLAN_HPP

#include "auburntrestle/consensus/events.hpp"
#include "auburntrestle/consensus/node.hpp"
#include "auburntrestle/fleet/messages.hpp"
#include "auburntrestle/fleet/state.hpp"

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

namespace auburntrestle::fleet {

/** Targets and timeouts for the membership of the log. */
struct MembershipPolicy
{
  std::size_t m_targetVoters = 3;
  /** Learners beside the voters, each ready to replace one. Every member costs
   * the leader a copy of the log, so further instances are not added. */
  std::size_t m_targetLearners = 2;
  /** A voter without contact for this long is replaced. */
  Duration m_voterLossTimeout = std::chrono::seconds(5);
  /** A learner without contact for this long is removed. */
  Duration m_learnerLossTimeout = std::chrono::seconds(30);
  /** A store without contact for this long does not count as one that remains
   * when another is retired. Longer than a restart or a short partition,
   * because a refused retirement is not requested again. */
  Duration m_storeLossTimeout = std::chrono::seconds(10);
};

/**
 * Plans the next membership change of the log, at most one at a time: adds
 * joining instances up to the targets of the policy, keeps the target number of
 * voters spread over the data centres, replaces lost voters and removes the
 * members of retiring machines. A voter is removed only after it has been
 * replaced, and while the remaining voters that are in contact form a majority.
 *
 * @param aStatus the status of the leader.
 * @param aJoining instances that requested to join, oldest first.
 * @return the change, or nothing if none is needed or possible now.
 */
[[nodiscard]] std::optional<consensus::MembershipChange> PlanMembership(
  const MembershipPolicy& aPolicy,
  const consensus::NodeStatus& aStatus,
  const State& aState,
  const std::vector<consensus::MemberIdentity>& aJoining,
  TimePoint aNow);

/**
 * @return how far a machine is retired. Completed only once the configuration
 *   without its instances is committed, since its disk is erased then, perhaps
 *   together with those of other members.
 * @param aStatus the status of the leader.
 */
[[nodiscard]] Retirement RetirementOf(const std::string& aMachine,
                                      const consensus::NodeStatus& aStatus,
                                      const State& aState);

/**
 * Selects the instances to which the leader names itself and the members of the
 * log. Those are the announced instances outside the log, and members without
 * contact: one that lost its disk has a new identity, and the seeds that it
 * knows may all have been replaced.
 */
[[nodiscard]] std::vector<InstanceId> InstancesToNotify(
  const consensus::NodeStatus& aStatus,
  const State& aState,
  TimePoint aNow);

} // namespace auburntrestle::fleet

#endif
