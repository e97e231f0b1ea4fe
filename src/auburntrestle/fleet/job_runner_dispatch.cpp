#include "auburntrestle/fleet/internal/job_items.hpp"
#include "auburntrestle/fleet/job_runner.hpp"
#include "auburntrestle/fleet/work_ranking.hpp"

#include <algorithm>
#include <limits>
#include <set>
#include <utility>

namespace auburntrestle::fleet {

namespace {

/** Weight of the newest run in the smoothed time of a run. */
constexpr double kRunTimeWeight = 0.05;

} // namespace

bool JobRunner::RanksWork() const
{
  return m_routes && !m_routes->Accounts().IsEmpty();
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
  std::set<const RunningJob*> blocked;
  bool started = true;
  while (started) {
    started = false;
    for (const auto& job : RankedJobs()) {
      if (job->m_waiting.empty() || blocked.contains(job.get())) {
        continue;
      }
      // Each start changes how much of the engines an account uses.
      started = DispatchJob(*job, 1) > 0;
      if (started) {
        break;
      }
      blocked.insert(job.get());
    }
  }
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

std::vector<std::shared_ptr<JobRunner::RunningJob>> JobRunner::RankedJobs()
  const
{
  EngineCapacity capacity;
  capacity.m_slots = m_engines.Scheduler().TotalSlots();
  if (m_runSeconds > 0) {
    capacity.m_workPerSecond =
      static_cast<double>(capacity.m_slots) / m_runSeconds;
  }
  const WallTime now = WallNow();
  std::vector<std::shared_ptr<RunningJob>> jobs;
  std::vector<JobDemand> demands;
  for (const auto& job : m_order) {
    if (job->m_waiting.empty() && job->m_running == 0) {
      continue;
    }
    JobDemand demand;
    demand.m_account = job->m_spec->m_account;
    demand.m_age = now - job->m_acceptedAt;
    demand.m_running = job->m_running;
    demand.m_workLeft =
      static_cast<double>(job->m_waiting.size() + job->m_running);
    const Route* route =
      m_routes->Match(job->m_spec->m_host, job->m_spec->m_path);
    if (route != nullptr) {
      demand.m_priority = m_routes->EffectivePriority(*route, demand.m_account);
      demand.m_objective = route->m_completionObjective;
      demand.m_lifetime = route->m_itemLifetime;
    }
    jobs.push_back(job);
    demands.push_back(std::move(demand));
  }
  std::vector<std::shared_ptr<RunningJob>> ranked;
  for (const std::size_t index : RankJobs(demands, capacity)) {
    ranked.push_back(jobs[index]);
  }
  return ranked;
}

void JobRunner::SortWaiting(RunningJob& aJob) const
{
  const auto tokensOf = [](const ItemPtr& aItem) {
    return aItem->Spec().m_expectedTokens;
  };
  std::unordered_map<GroupId, std::size_t> rankOf;
  if (RanksWork()) {
    std::vector<GroupDemand> groups;
    std::unordered_map<GroupId, std::size_t> indexOf;
    for (const auto& item : aJob.m_items) {
      const auto [found, isNew] =
        indexOf.emplace(item->Spec().m_group, groups.size());
      if (isNew) {
        groups.emplace_back();
      }
      GroupDemand& group = groups[found->second];
      group.m_longest =
        std::max(group.m_longest, static_cast<double>(tokensOf(item)));
      group.m_hasOutput = group.m_hasOutput || item->m_completeOutput ||
                          item->m_transcript.LastEvent().has_value();
    }
    const std::size_t target = aJob.m_spec->m_targetGroups;
    const auto order = RankGroups(groups, target);
    std::vector<std::size_t> ranks(groups.size());
    for (std::size_t rank = 0; rank < order.size(); ++rank) {
      ranks[order[rank]] = target > 0 && rank >= target ? 1 : 0;
    }
    for (const auto& [group, index] : indexOf) {
      rankOf[group] = ranks[index];
    }
  }
  // The longest items determine when the job is complete.
  std::stable_sort(aJob.m_waiting.begin(),
                   aJob.m_waiting.end(),
                   [&](const ItemPtr& aLeft, const ItemPtr& aRight) {
                     const std::size_t left = rankOf[aLeft->Spec().m_group];
                     const std::size_t right = rankOf[aRight->Spec().m_group];
                     return left != right ? left < right
                                          : tokensOf(aLeft) > tokensOf(aRight);
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
