#ifndef AUBURNTRESTLE_FLEET_WORK_RANKING_HPP
#define AUBURNTRESTLE_FLEET_WORK_RANKING_HPP

#include "auburntrestle/core/ids.hpp"
#include "auburntrestle/core/time.hpp"
#include "auburntrestle/fleet/job.hpp"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace auburntrestle::fleet {

/** What is known of a job that competes for engines. */
struct JobDemand
{
  AccountName m_account;
  /** See RouteTable::EffectivePriority. */
  std::uint32_t m_priority = 0;
  /** Time since the job was accepted. */
  Duration m_age{};
  /** Its results are worth most if they are there at this age; 0 for none. */
  Duration m_objective{};
  /** Its items may be given up at this age; 0 if that is unknown. */
  Duration m_lifetime{};
  /** Expected work that is still missing, such as a number of items. */
  double m_workLeft = 0;
  /** Items that run at present. */
  std::size_t m_running = 0;
};

/** What the engines of a service can do. */
struct EngineCapacity
{
  /** Work a second of all engines together, in the unit of
   * JobDemand::m_workLeft; 0 while unknown. */
  double m_workPerSecond = 0;
  /** Items that run at a time on all engines together. */
  std::size_t m_slots = 0;
};

/**
 * Ranks the jobs that wait for engines by what their callers lose if they wait.
 * Designed for some jobs of hundreds of items that together need more than the
 * engines can do for a few seconds, and for one account that sends many times
 * what the others send.
 *
 * Accounts that use less than half of an even share of the slots go first, so
 * that one that sends much leaves the others what they need, whatever its
 * priority. Next are jobs of a higher priority; one that waited for half of its
 * lifetime has the highest, so that every wait is bounded. Among equals, a job
 * that just still meets its objective precedes one that has missed it, or has
 * time, and older jobs precede newer ones: jobs that end one after the other
 * are worth more than jobs that are all late together.
 *
 * @return the indices of the jobs, first to be served first.
 */
[[nodiscard]] std::vector<std::size_t> RankJobs(
  const std::vector<JobDemand>& aJobs,
  const EngineCapacity& aCapacity);

/** What is known of a group of items of one job. */
struct GroupDemand
{
  /** Expected events of its longest item that is still missing. */
  double m_longest = 0;
  /** An item of it has output already, or it is complete. */
  bool m_hasOutput = false;
};

/** The groups of a job in the order in which they are served. */
struct GroupRanking
{
  /** Indices of the groups. */
  std::vector<std::size_t> m_order;
  /** The first groups of the order are needed; the others are surplus. */
  std::size_t m_needed = 0;
};

/**
 * Ranks the groups of a job of which the trainer waits only for some. A trainer
 * gains by whole groups, so that the groups with the longest items beyond its
 * target come last, unless they have output. The others begin with the longest
 * item, which decides when the step ends.
 *
 * @param aTarget number of groups that the trainer waits for; 0 for all.
 */
[[nodiscard]] GroupRanking RankGroups(const std::vector<GroupDemand>& aGroups,
                                      std::size_t aTarget);

} // namespace auburntrestle::fleet

#endif
