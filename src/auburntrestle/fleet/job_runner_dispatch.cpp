#include "auburntrestle/fleet/internal/job_items.hpp"
#include "auburntrestle/fleet/job_runner.hpp"
#include "auburntrestle/fleet/work_ranking.hpp"

#include <algorithm>
#include <limits>
#include <map>
#include <set>
#include <unordered_map>
#include <unordered_set>
#include <utility>
#include <vector>

namespace auburntrestle::fleet {

namespace {

/** Weight of the newest run in the smoothed time of a run. */
constexpr double kRunTimeWeight = 0.05;

} // namespace

bool JobRunner::RanksWork() const
{
  return m_ranksJobs && m_routes && !m_routes->Accounts().IsEmpty();
}

void JobRunner::Dispatch()
{
  if (!m_active || !m_routes || std::exchange(m_dispatching, true)) {
    return;
  }
  if (RanksWork()) {
    DispatchRanked();
  } else {
    DispatchInOrder();
  }
  m_dispatching = false;
}

void JobRunner::DispatchInOrder()
{
  for (const auto& job : m_order) {
    DispatchJob(*job, std::numeric_limits<std::size_t>::max());
  }
}

void JobRunner::DispatchRanked()
{
  // Services have engines of their own.
  std::map<ServiceName, std::vector<std::shared_ptr<RunningJob>>> byService;
  for (const auto& job : m_order) {
    const Route* route =
      m_routes->Match(job->m_spec->m_host, job->m_spec->m_path);
    const bool competes = !job->m_waiting.empty() || job->m_running > 0;
    if (route != nullptr && !route->m_targets.empty() && competes) {
      byService[route->m_targets.front().m_service].push_back(job);
    }
  }
  for (const auto& [service, jobs] : byService) {
    DispatchRanked(service, jobs);
  }
}

void JobRunner::DispatchRanked(
  const ServiceName& aService,
  const std::vector<std::shared_ptr<RunningJob>>& aJobs)
{
  EngineCapacity capacity;
  capacity.m_slots = m_engines.Scheduler().TotalSlots(aService);
  if (m_runSeconds > 0) {
    capacity.m_workPerSecond =
      static_cast<double>(capacity.m_slots) / m_runSeconds;
  }
  std::vector<JobDemand> demands;
  demands.reserve(aJobs.size());
  for (const auto& job : aJobs) {
    demands.push_back(DemandOf(*job));
  }
  std::set<std::size_t> blocked;
  bool started = true;
  while (started) {
    started = false;
    for (const std::size_t index : RankJobs(demands, capacity)) {
      RunningJob& job = *aJobs[index];
      if (job.m_waiting.empty() || blocked.contains(index)) {
        continue;
      }
      started = DispatchJob(job, 1) > 0;
      if (started) {
        // Each start changes how much of the engines an account uses.
        demands[index].m_running = job.m_running;
        break;
      }
      blocked.insert(index);
    }
  }
}

JobDemand JobRunner::DemandOf(const RunningJob& aJob) const
{
  JobDemand demand;
  demand.m_account = aJob.m_spec->m_account;
  demand.m_age = WallNow() - aJob.m_acceptedAt;
  demand.m_running = aJob.m_running;
  demand.m_workLeft =
    static_cast<double>(aJob.m_waiting.size() + aJob.m_running);
  const Route* route =
    m_routes->Match(aJob.m_spec->m_host, aJob.m_spec->m_path);
  if (route != nullptr) {
    demand.m_priority = m_routes->EffectivePriority(*route, demand.m_account);
    demand.m_objective = route->m_completionObjective;
    demand.m_lifetime = route->m_itemLifetime;
  }
  return demand;
}

std::size_t JobRunner::DispatchJob(RunningJob& aJob, std::size_t aMax)
{
  std::deque<ItemPtr> left;
  std::size_t started = 0;
  while (!aJob.m_waiting.empty() && started < aMax) {
    const ItemPtr item = aJob.m_waiting.front();
    aJob.m_waiting.pop_front();
    if (item->m_done) {
      continue;
    }
    if (TryStart(item)) {
      ++started;
      continue;
    }
    left.push_back(item);
    // Further items of this job would need the same engines.
    if (!item->m_avoid && item->m_transcript.Versions().empty()) {
      break;
    }
  }
  aJob.m_waiting.insert(aJob.m_waiting.begin(), left.begin(), left.end());
  return started;
}

std::unordered_set<GroupId> JobRunner::SurplusGroups(const RunningJob& aJob,
                                                     const Job& aRecord)
{
  struct Progress
  {
    GroupDemand m_demand;
    std::size_t m_missing = 0;
  };
  std::unordered_map<GroupId, Progress> groups;
  const auto& items = aJob.m_spec->m_items;
  for (std::size_t index = 0; index < items.size(); ++index) {
    Progress& progress = groups[items[index].m_group];
    const bool isMissing = !aRecord.m_hasResult[index];
    progress.m_missing += isMissing ? 1 : 0;
    progress.m_demand.m_hasOutput = progress.m_demand.m_hasOutput || !isMissing;
  }
  for (const auto& item : aJob.m_items) {
    GroupDemand& demand = groups[item->Spec().m_group].m_demand;
    demand.m_longest = std::max(
      demand.m_longest, static_cast<double>(item->Spec().m_expectedTokens));
    demand.m_hasOutput = demand.m_hasOutput || item->m_completeOutput ||
                         item->m_transcript.LastEvent().has_value();
  }
  std::vector<GroupId> ids;
  std::vector<GroupDemand> demands;
  std::size_t target = aJob.m_spec->m_targetGroups;
  for (const auto& [id, progress] : groups) {
    if (progress.m_missing == 0) {
      target -= target > 0 ? 1 : 0;
    } else {
      ids.push_back(id);
      demands.push_back(progress.m_demand);
    }
  }
  std::unordered_set<GroupId> surplus;
  const auto ranking = RankGroups(demands, target);
  for (std::size_t rank = ranking.m_needed; rank < ranking.m_order.size();
       ++rank) {
    surplus.insert(ids[ranking.m_order[rank]]);
  }
  return surplus;
}

void JobRunner::SortWaiting(RunningJob& aJob, const Job& aRecord) const
{
  const auto surplus =
    RanksWork() ? SurplusGroups(aJob, aRecord) : std::unordered_set<GroupId>();
  // The longest items determine when the job is complete.
  std::stable_sort(aJob.m_waiting.begin(),
                   aJob.m_waiting.end(),
                   [&](const ItemPtr& aLeft, const ItemPtr& aRight) {
                     const JobItem& left = aLeft->Spec();
                     const JobItem& right = aRight->Spec();
                     const bool isLeftSurplus = surplus.contains(left.m_group);
                     const bool isRightSurplus =
                       surplus.contains(right.m_group);
                     return isLeftSurplus != isRightSurplus
                              ? isRightSurplus
                              : left.m_expectedTokens > right.m_expectedTokens;
                   });
}

void JobRunner::RecordRunTime(Duration aTime)
{
  const double seconds = std::chrono::duration<double>(aTime).count();
  m_runSeconds = m_runSeconds > 0
                   ? m_runSeconds + kRunTimeWeight * (seconds - m_runSeconds)
                   : seconds;
}

std::map<ServiceName, ServiceDemand> JobRunner::Demand() const
{
  std::map<ServiceName, ServiceDemand> demands;
  for (const auto& job : m_order) {
    if (!m_routes || job->m_ended || job->m_waiting.empty()) {
      continue;
    }
    // The items of a job have the same route as a rule.
    const Route* route = m_routes->Match(job->m_spec->m_host,
                                         job->m_waiting.front()->Spec().m_path);
    if (route == nullptr) {
      continue;
    }
    std::uint64_t weights = 0;
    for (const RouteTarget& target : route->m_targets) {
      weights += target.m_weight;
    }
    for (const RouteTarget& target : route->m_targets) {
      if (target.m_weight == 0) {
        continue;
      }
      ServiceDemand& demand = demands[target.m_service];
      demand.m_waitingItems +=
        job->m_waiting.size() * target.m_weight / weights;
      demand.m_runTime = std::chrono::duration_cast<Duration>(
        std::chrono::duration<double>(m_runSeconds));
      const Duration objective = route->m_completionObjective;
      if (demand.m_completionObjective == Duration::zero() ||
          (objective > Duration::zero() &&
           objective < demand.m_completionObjective)) {
        demand.m_completionObjective = objective;
      }
    }
  }
  return demands;
}

} // namespace auburntrestle::fleet
