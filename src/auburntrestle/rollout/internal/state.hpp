#ifndef AUBURNTRESTLE_ROLLOUT_INTERNAL_STATE_HPP
#define AUBURNTRESTLE_ROLLOUT_INTERNAL_STATE_HPP

#include "auburntrestle/core/ids.hpp"
#include "auburntrestle/core/time.hpp"
#include "auburntrestle/rollout/internal/estimates.hpp"
#include "auburntrestle/rollout/policy.hpp"
#include "auburntrestle/rollout/sample_id.hpp"
#include "auburntrestle/rollout/step.hpp"
#include "auburntrestle/rollout/trail.hpp"

#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace auburntrestle::rollout::internal {

/** Identity of a sample within its trainer; samples start in this order. */
struct SampleKey
{
  StepNumber m_step;
  GroupIndex m_group;
  SampleIndex m_index;

  friend auto operator<=>(const SampleKey&, const SampleKey&) = default;
  friend bool operator==(const SampleKey&, const SampleKey&) = default;
};

enum class SampleState : std::uint8_t
{
  /** To be generated, immediately or after a delay. */
  Waiting,
  Generating,
  Judging,
  Ready,
  /** In a batch that is proposed, or fixed and not yet acknowledged. */
  InBatch,
  Delivered,
};

/** Generated text with the versions that generated it. */
struct Output
{
  std::string m_text;
  TokenCount m_tokens;
  Trail m_trail;
};

struct Attempt
{
  AttemptNumber m_number;
  TimePoint m_started;
  bool m_accepted = false;
  bool m_isMitigation = false;
  std::optional<TimePoint> m_firstToken;
  /** Includes the output from which the attempt was resumed. */
  Output m_output;
  TokenCount m_resumedTokens;
};

struct Result
{
  SharedText m_text;
  Trail m_trail;
};

struct JudgeCall
{
  AttemptNumber m_number;
  TimePoint m_started;
};

struct Sample
{
  SampleState m_state = SampleState::Waiting;
  std::vector<Attempt> m_attempts;
  /** Output of a failed attempt, from which the next attempt continues. */
  std::optional<Output> m_partial;
  std::optional<Result> m_result;
  std::optional<double> m_score;
  /** Judge calls of the current result whose scores are still accepted. */
  std::vector<JudgeCall> m_activeJudgeCalls;
  /** Judge calls of the current result, excluding those that did not run. */
  std::size_t m_judgeCalls = 0;
  std::size_t m_judgeCallsNotRun = 0;
  std::size_t m_failures = 0;
  std::size_t m_mitigations = 0;
  /** Start of the first attempt of the current result. */
  std::optional<TimePoint> m_resultStarted;
  /** Earliest time of the next attempt or judge call. */
  TimePoint m_notBefore{};
};

struct Group
{
  SharedText m_prompt;
  std::vector<Sample> m_samples;
  std::size_t m_ready = 0;
  bool m_started = false;

  [[nodiscard]] bool IsComplete() const noexcept
  {
    return m_ready == m_samples.size();
  }
};

struct Step
{
  StepSpec m_spec;
  std::vector<Group> m_groups;
  /** Groups whose samples are all Ready. */
  std::size_t m_completeGroups = 0;
  /** Groups that are not in a batch. */
  std::size_t m_openGroups = 0;
  std::size_t m_undelivered = 0;
};

/** A batch that is proposed, or fixed and not yet acknowledged. */
struct PendingBatch
{
  Cursor m_cursor;
  ModelName m_model;
  std::vector<SampleId> m_samples;
  /** The oldest version of each sample. */
  std::vector<WeightVersion> m_oldest;
  SharedText m_payload;
  bool m_sent = false;
};

/** A batch request that waits for its batch. */
struct WaitingRequest
{
  RequestId m_request;
  Cursor m_cursor;
  TimePoint m_waitUntil;
};

/** A step that is proposed to the ledger, and the requests that wait for it. */
struct ProposedStep
{
  StepSpec m_spec;
  std::vector<RequestId> m_requests;
};

struct Trainer
{
  TrainerId m_id;
  std::optional<TrainerSettings> m_settings;
  GenerationEstimate m_estimate;

  StepNumber m_lastStep;
  std::map<StepNumber, Step> m_steps;
  std::map<StepNumber, ProposedStep> m_proposedSteps;

  /** Samples that may start now. */
  std::set<SampleKey> m_waiting;
  /** Samples to start after a delay, by time. */
  std::set<std::pair<TimePoint, SampleKey>> m_delayed;
  std::set<SampleKey> m_generating;
  std::set<SampleKey> m_judging;
  /** Samples to be judged without a judge call in flight. */
  std::set<SampleKey> m_judgeQueue;
  std::size_t m_judgeCallsInFlight = 0;
  std::uint64_t m_undeliveredBytes = 0;
  std::optional<TimePoint> m_deferredSince;
  TimePoint m_nextStragglerScan{};

  /** Every cursor up to this one is acknowledged or discarded. */
  Cursor m_closedCursor;
  std::optional<Cursor> m_lastDiscarded;
  std::vector<SampleId> m_lastDiscardedSamples;
  std::optional<PendingBatch> m_proposed;
  std::optional<PendingBatch> m_fixed;
  bool m_acknowledging = false;
  bool m_discarding = false;
  TimePoint m_nextProposal{};
  std::vector<WaitingRequest> m_waitingRequests;
  std::vector<RequestId> m_discardRequests;
  /** Set while the trainer is idle: the end of the counted idle time. */
  std::optional<TimePoint> m_idleCountedUntil;
};

} // namespace auburntrestle::rollout::internal

#endif
