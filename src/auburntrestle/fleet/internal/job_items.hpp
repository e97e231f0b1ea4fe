#ifndef AUBURNTRESTLE_FLEET_INTERNAL_JOB_ITEMS_HPP
#define AUBURNTRESTLE_FLEET_INTERNAL_JOB_ITEMS_HPP

#include "auburntrestle/fleet/job_runner.hpp"

#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace auburntrestle::fleet {

/** An item of a running job, with its current run if there is one. */
struct JobRunner::Item
{
  std::shared_ptr<RunningJob> m_job;
  std::size_t m_index = 0;
  ItemTranscript m_transcript;
  std::uint32_t m_failedAttempts = 0;
  /** The engine of the last unsuccessful run. */
  std::optional<BackendId> m_avoid;
  /** Has a result, which may not be recorded yet. */
  bool m_done = false;
  /** The output if it is complete; m_transcript is empty then. */
  std::optional<PartialOutput> m_completeOutput;
  /** m_completeOutput is recorded in the log. */
  bool m_completeOutputRecorded = false;
  std::optional<Score> m_score;
  /** The reward call in progress. */
  std::optional<RewardTicket> m_reward;
  /** Last event and size of the output that was proposed to the log. */
  std::optional<std::uint64_t> m_recordedEvent;
  std::size_t m_recordedBytes = 0;

  /** Since when the item waits for an engine that continues its output; a run
   * that brought no event does not count. */
  TimePoint m_waitsSince{};

  // The current run.
  std::optional<BackendId> m_engine;
  /** The software of the engine, as known at the start of the run. */
  SoftwareVersion m_software;
  std::shared_ptr<http::Call> m_call;
  std::optional<ItemResponseHead> m_head;
  TimePoint m_startedAt{};
  TimePoint m_lastEventAt{};
  /** The run has brought an event. */
  bool m_hasEvents = false;

  explicit Item(std::string aVersionField)
    : m_transcript(std::move(aVersionField))
  {
  }

  [[nodiscard]] const JobItem& Spec() const;
};

/** A job that has not ended. */
struct JobRunner::RunningJob
{
  std::shared_ptr<const JobSpec> m_spec;
  WallTime m_acceptedAt{};
  std::vector<ItemPtr> m_items;
  /** The unfinished items of each group. */
  std::unordered_map<GroupId, std::shared_ptr<RewardGroup>> m_groups;
  /** Items that wait for an engine. */
  std::deque<ItemPtr> m_waiting;
  /** Items that run at present. */
  std::size_t m_running = 0;
  bool m_ended = false;
};

inline const JobItem& JobRunner::Item::Spec() const
{
  return m_job->m_spec->m_items[m_index];
}

} // namespace auburntrestle::fleet

#endif
