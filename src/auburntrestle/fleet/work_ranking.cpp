#include "auburntrestle/fleet/work_ranking.hpp"

#include <algorithm>
#include <map>
#include <numeric>
#include <tuple>
#include <utility>

namespace auburntrestle::fleet {

namespace {

/** A job that meets its objective by less than this is served at once: items
 * that start now end about a second later. */
constexpr double kUrgentSlackSeconds = 1.5;
/** Jobs that waited for this part of their lifetime have the highest priority.
 */
constexpr int kAgingDivisor = 2;
/** The part of an even share of the slots that each account gets in any case.
 */
constexpr std::size_t kShareDivisor = 2;

double Seconds(Duration aTime)
{
  return std::chrono::duration<double>(aTime).count();
}

bool IsAged(const JobDemand& aJob)
{
  return aJob.m_lifetime > Duration::zero() &&
         aJob.m_age >= aJob.m_lifetime / kAgingDivisor;
}

/** @return whether a job meets its objective only if it is served now. */
bool IsUrgent(const JobDemand& aJob, const EngineCapacity& aCapacity)
{
  if (aJob.m_objective <= Duration::zero() || aCapacity.m_workPerSecond <= 0) {
    return false;
  }
  const double left = Seconds(aJob.m_objective - aJob.m_age);
  const double slack = left - aJob.m_workLeft / aCapacity.m_workPerSecond;
  return slack >= 0 && slack < kUrgentSlackSeconds;
}

/** The items that each account runs, of those that have jobs here. */
std::map<AccountName, std::size_t> RunningByAccount(
  const std::vector<JobDemand>& aJobs)
{
  std::map<AccountName, std::size_t> running;
  for (const auto& job : aJobs) {
    running[job.m_account] += job.m_running;
  }
  return running;
}

} // namespace

std::vector<std::size_t> RankJobs(const std::vector<JobDemand>& aJobs,
                                  const EngineCapacity& aCapacity)
{
  const auto running = RunningByAccount(aJobs);
  const auto key = [&](std::size_t aIndex) {
    const JobDemand& job = aJobs[aIndex];
    const std::size_t accounts = running.size();
    const bool hasShare =
      kShareDivisor * accounts * running.at(job.m_account) >= aCapacity.m_slots;
    return std::tuple(hasShare,
                      IsAged(job) ? 0 : job.m_priority,
                      !IsUrgent(job, aCapacity),
                      -job.m_age);
  };
  std::vector<std::size_t> order(aJobs.size());
  std::iota(order.begin(), order.end(), std::size_t{ 0 });
  std::stable_sort(
    order.begin(), order.end(), [&](std::size_t aLeft, std::size_t aRight) {
      return key(aLeft) < key(aRight);
    });
  return order;
}

GroupRanking RankGroups(const std::vector<GroupDemand>& aGroups,
                        std::size_t aTarget)
{
  std::vector<std::size_t> order(aGroups.size());
  std::iota(order.begin(), order.end(), std::size_t{ 0 });
  const auto longestFirst = [&](std::size_t aLeft, std::size_t aRight) {
    return aGroups[aLeft].m_longest > aGroups[aRight].m_longest;
  };
  std::stable_sort(order.begin(), order.end(), longestFirst);
  if (aTarget == 0 || aTarget >= order.size()) {
    const std::size_t needed = order.size();
    return { std::move(order), needed };
  }
  std::size_t surplus = order.size() - aTarget;
  std::vector<std::size_t> needed;
  std::vector<std::size_t> last;
  for (const std::size_t index : order) {
    const bool isSurplus = surplus > 0 && !aGroups[index].m_hasOutput;
    surplus -= isSurplus ? 1 : 0;
    (isSurplus ? last : needed).push_back(index);
  }
  GroupRanking ranking{ needed, needed.size() };
  ranking.m_order.insert(ranking.m_order.end(), last.begin(), last.end());
  return ranking;
}

} // namespace auburntrestle::fleet
