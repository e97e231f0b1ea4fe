#include "auburntrestle/fleet/internal/job_items.hpp"
#include "auburntrestle/fleet/job_runner.hpp"

#include <utility>

namespace auburntrestle::fleet {

namespace {

/** The lifetime of an item, for its reward call, while its job has no route. */
constexpr Duration kLifetimeWithoutRoute = std::chrono::seconds(10);

} // namespace

void JobRunner::OnOutputComplete(const ItemPtr& aItem, PartialOutput aOutput)
{
  if (MixesVersions(*aItem, aOutput.m_versions.size())) {
    // Recorded by an earlier leader, or resumed on an engine whose version had
    // changed.
    DiscardOutput(*aItem);
    aItem->m_completeOutput.reset();
    aItem->m_completeOutputRecorded = false;
    AbortRun(aItem, "versions_mixed");
    return;
  }
  aOutput.m_complete = true;
  aItem->m_completeOutput = std::move(aOutput);
  aItem->m_transcript.Clear();
  if (!aItem->Spec().m_reward || aItem->m_score) {
    Finish(aItem, ItemState::Completed);
    return;
  }
  if (!aItem->m_completeOutputRecorded) {
    QueueCompleteOutput(aItem);
  }
  StartReward(aItem);
}

void JobRunner::StartReward(const ItemPtr& aItem)
{
  const RunningJob& job = *aItem->m_job;
  const Route* route =
    m_routes ? m_routes->Match(job.m_spec->m_host, aItem->Spec().m_path)
             : nullptr;
  const Duration lifetime =
    route == nullptr ? kLifetimeWithoutRoute : route->m_itemLifetime;
  RewardTask task;
  task.m_job = job.m_spec;
  task.m_item = aItem->m_index;
  task.m_group = job.m_groups.at(aItem->Spec().m_group);
  task.m_expiresAt =
    job.m_acceptedAt + std::chrono::duration_cast<WallTime>(lifetime);
  aItem->m_reward = m_rewards.Start(
    std::move(task),
    [this, aItem](const RewardResult& aResult) { OnReward(aItem, aResult); });
}

void JobRunner::OnReward(const ItemPtr& aItem, const RewardResult& aResult)
{
  aItem->m_reward.reset();
  if (aResult) {
    aItem->m_score = *aResult;
  }
  Finish(aItem, aResult ? ItemState::Completed : ItemState::Lost);
}

void JobRunner::CancelReward(Item& aItem)
{
  if (const auto ticket = std::exchange(aItem.m_reward, std::nullopt)) {
    m_rewards.Cancel(*ticket);
  }
}

void JobRunner::QueueCompleteOutput(const ItemPtr& aItem)
{
  m_completeOutputs.push_back(aItem);
  if (std::exchange(m_completeOutputsScheduled, true)) {
    return;
  }
  m_loop.After(kRecordBatchDelay, [this, epoch = m_epoch] {
    if (epoch == m_epoch) {
      m_completeOutputsScheduled = false;
      ProposeCompleteOutputs();
    }
  });
}

void JobRunner::ProposeCompleteOutputs()
{
  std::map<JobId, std::vector<ItemPtr>> byJob;
  for (auto& item : std::exchange(m_completeOutputs, {})) {
    if (item->m_job && !item->m_done) {
      byJob[item->m_job->m_spec->m_id].push_back(std::move(item));
    }
  }
  for (auto& [job, items] : byJob) {
    RecordProgress command;
    command.m_job = job;
    for (const auto& item : items) {
      const PartialOutput& output = *item->m_completeOutput;
      // Without m_after, so that it does not depend on earlier records.
      command.m_items.push_back(ItemProgress{ item->Spec().m_id,
                                              std::nullopt,
                                              output.m_lastEvent,
                                              output.m_output,
                                              output.m_versions,
                                              true });
    }
    m_propose(command, [items = std::move(items)](bool aApplied) {
      // If it was not recorded, the result contains the output.
      for (const auto& item : items) {
        item->m_completeOutputRecorded = aApplied;
      }
    });
  }
}

} // namespace auburntrestle::fleet
