#include "auburntrestle/fleet/job_runner.hpp"

#include "auburntrestle/fleet/internal/job_items.hpp"

#include <algorithm>
#include <utility>

namespace auburntrestle::fleet {

JobRunner::JobRunner(event_loop::EventLoop& aLoop,
                     BackendClient& aClient,
                     const EngineProtocol& aProtocol,
                     EnginePool& aEngines,
                     RewardCaller& aRewards,
                     ProposeFunction aPropose,
                     ItemLoader aLoadItem,
                     observe::Instruments& aInstruments,
                     std::uint64_t aSeed)
  : m_loop(aLoop)
  , m_client(aClient)
  , m_protocol(aProtocol)
  , m_engines(aEngines)
  , m_rewards(aRewards)
  , m_propose(std::move(aPropose))
  , m_loadItem(std::move(aLoadItem))
  , m_random(aSeed)
  , m_instruments(aInstruments)
{
}

JobRunner::~JobRunner()
{
  Stop();
}

void JobRunner::Start(const State& aState,
                      std::shared_ptr<const RouteTable> aRoutes)
{
  m_active = true;
  ++m_epoch;
  m_routes = std::move(aRoutes);
  m_rewards.SetRoutes(m_routes);
  for (const auto& id : aState.JobOrder()) {
    AddUnfinishedItems(*aState.FindJob(id));
  }
  Dispatch();
  RunPeriodicChecks();
}

void JobRunner::Stop()
{
  m_active = false;
  ++m_epoch;
  m_rewards.Stop();
  for (const auto& job : m_order) {
    job->m_ended = true;
    for (const auto& item : job->m_items) {
      EndRun(*item);
      // Break the reference cycle between the job and its items.
      item->m_job.reset();
    }
  }
  m_order.clear();
  m_jobs.clear();
  m_results.clear();
  m_resultsScheduled = false;
  m_completeOutputs.clear();
  m_completeOutputsScheduled = false;
  m_cache.Clear();
}

void JobRunner::SetRoutes(std::shared_ptr<const RouteTable> aRoutes)
{
  m_routes = std::move(aRoutes);
  m_rewards.SetRoutes(m_routes);
  Dispatch();
}

void JobRunner::Add(const Job& aJob)
{
  if (m_active) {
    AddUnfinishedItems(aJob);
    Dispatch();
  }
}

void JobRunner::AddUnfinishedItems(const Job& aJob)
{
  if (aJob.m_ended || m_jobs.contains(aJob.m_id)) {
    return;
  }
  auto job = std::make_shared<RunningJob>();
  job->m_spec = aJob.m_spec;
  job->m_acceptedAt = aJob.m_acceptedAt;
  m_jobs.emplace(job->m_spec->m_id, job);
  m_order.push_back(job);
  double demand = 0;
  for (std::size_t index = 0; index < job->m_spec->m_items.size(); ++index) {
    demand += static_cast<double>(
      std::max<std::uint64_t>(job->m_spec->m_items[index].m_expectedTokens, 1));
    if (aJob.m_hasResult[index]) {
      continue;
    }
    job->m_items.push_back(MakeItem(job, index, aJob));
  }
  for (const auto& item : job->m_items) {
    if (auto output = FindCompleteOutput(*item)) {
      OnOutputComplete(item, std::move(*output));
    } else {
      job->m_waiting.push_back(item);
    }
  }
  SortWaiting(*job, aJob);
  if (job->m_spec->m_model) {
    m_engines.SetDemand(*job->m_spec->m_model, demand);
  }
}

void JobRunner::Cancel(const JobId& aId)
{
  const auto found = m_jobs.find(aId);
  if (found == m_jobs.end()) {
    return;
  }
  const auto job = found->second;
  m_jobs.erase(found);
  std::erase(m_order, job);
  m_results.erase(aId);
  job->m_ended = true;
  CacheIncompleteGroups(*job);
  for (const auto& item : job->m_items) {
    EndRun(*item);
    CancelReward(*item);
    item->m_job.reset();
  }
  Dispatch();
}

} // namespace auburntrestle::fleet
