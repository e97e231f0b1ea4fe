#include "auburntrestle/fleet/internal/job_items.hpp"
#include "auburntrestle/fleet/job_runner.hpp"
#include "auburntrestle/observe/log.hpp"

#include <algorithm>
#include <utility>

namespace auburntrestle::fleet {

using observe::LogLevel;
using observe::LogLine;

void JobRunner::Finish(const ItemPtr& aItem, ItemState aState)
{
  const JobSpec& spec = *aItem->m_job->m_spec;
  const bool lost = aState == ItemState::Lost;
  CancelReward(*aItem);
  ItemResult result;
  result.m_id = aItem->Spec().m_id;
  result.m_state = aState;
  const bool isRecorded = !lost && aItem->m_completeOutputRecorded;
  if (!lost) {
    result.m_versions = aItem->m_completeOutput->m_versions;
    result.m_score = aItem->m_score;
    if (!isRecorded) {
      result.m_output = aItem->m_completeOutput->m_output;
    }
  }
  const auto events = aItem->m_completeOutput
                        ? aItem->m_completeOutput->m_lastEvent
                        : aItem->m_transcript.LastEvent().value_or(0);
  aItem->m_transcript.Clear();
  aItem->m_done = true;
  --aItem->m_job->m_groups.at(aItem->Spec().m_group)->m_unfinishedItems;
  m_instruments.Count(observe::counters::kItems, lost ? "lost" : "completed");
  m_instruments.ObserveDuration(
    observe::histograms::kItemTime,
    lost ? "lost" : "completed",
    Duration(std::max(WallNow() - aItem->m_job->m_acceptedAt, WallTime(0))));
  LogLine(LogLevel::Info, "item_finished")
    .Add("job", spec.m_id)
    .Add("item", result.m_id)
    .Add("lost", lost)
    .Add("expected_tokens", aItem->Spec().m_expectedTokens)
    .Add("events", events);
  QueueResult(spec.m_id, std::move(result), isRecorded);
}

void JobRunner::QueueResult(const JobId& aJob,
                            ItemResult aResult,
                            bool aIsRecorded)
{
  JobResults& results = m_results[aJob];
  results.m_job = aJob;
  if (aIsRecorded) {
    results.m_recordedOutputs.push_back(aResult.m_id);
  }
  results.m_results.push_back(std::move(aResult));
  if (std::exchange(m_resultsScheduled, true)) {
    return;
  }
  m_loop.After(kRecordBatchDelay, [this, epoch = m_epoch] {
    if (epoch == m_epoch) {
      m_resultsScheduled = false;
      ProposeResults();
    }
  });
}

void JobRunner::ProposeResults()
{
  RecordResults command;
  for (auto& [job, results] : m_results) {
    command.m_jobs.push_back(std::move(results));
  }
  m_results.clear();
  if (command.m_jobs.empty()) {
    return;
  }
  m_propose(command, [this, command, epoch = m_epoch](bool aApplied) {
    if (aApplied || epoch != m_epoch) {
      return;
    }
    // Still the leader, so the log was only temporarily full.
    for (const auto& part : command.m_jobs) {
      if (!m_jobs.contains(part.m_job)) {
        continue;
      }
      const auto& recorded = part.m_recordedOutputs;
      for (const auto& result : part.m_results) {
        const bool isRecorded =
          std::find(recorded.begin(), recorded.end(), result.m_id) !=
          recorded.end();
        QueueResult(part.m_job, result, isRecorded);
      }
    }
  });
}

} // namespace auburntrestle::fleet
