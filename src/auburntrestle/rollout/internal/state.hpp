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

/** A sample within a trainer; ordered as the samples are generated. */
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
  /** To be generated, now or after a delay. */
  Waiting,
  Generating,
  Judging,
  Ready,
  /** In a proposed or fixed batch that is not acknowledged. */
  InBatch,
  Delivered,
};

/** Text with the versions that generated it. */
struct Generated
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
  bool m_relief = false;
  std::optional<TimePoint> m_firstToken;
  /** Includes the tokens that the attempt was resumed from. */
  Generated m_output;
  TokenCount m_resumedTokens;
};

struct Result
{
  SharedText m_text;
  Trail m_trail;
};

struct Judgement
{
  AttemptNumber m_number;
  TimePoint m_started;
};

struct Sample
{
  SampleState m_state = SampleState::Waiting;
  std::vector<Attempt> m_attempts;
  /** Tokens of failed attempts from which the next attempt continues. */
  std::optional<Generated> m_partial;
  std::optional<Result> m_result;
  std::optional<double> m_score;
  /** Judge calls of the present result whose answers are still accepted. */
  std::vector<Judgement> m_judgements;
  /** Judge calls of the present result, without those that did not run. */
  std::size_t m_judgeCalls = 0;
  std::size_t m_judgeRefusals = 0;
  std::size_t m_failures = 0;
  std::size_t m_reliefs = 0;
  /** When the present result was begun. */
  std::optional<TimePoint> m_begun;
  /** Earliest time of the next attempt or judge call. */
  TimePoint m_notBefore{};
};

struct Group
{
  SharedText m_prompt;
  std::vector<Sample> m_samples;
  std::size_t m_ready = 0;
  bool m_started = false;

  [[nodiscard]] bool Complete() const noexcept
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
  /** Groups that are in no batch. */
  std::size_t m_openGroups = 0;
  std::size_t m_undelivered = 0;
};

/** A batch that is proposed, or fixed and unacknowledged. */
struct HeldBatch
{
  Cursor m_cursor;
  ModelName m_model;
  std::vector<SampleId> m_samples;
  /** The oldest version of each sample. */
  std::vector<WeightVersion> m_oldest;
  SharedText m_payload;
  bool m_answered = false;
};

struct BatchWaiter
{
  RequestId m_request;
  Cursor m_cursor;
  TimePoint m_waitUntil;
};

/** A step that has been proposed to the ledger. */
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
  /** Samples that may start later, by time. */
  std::set<std::pair<TimePoint, SampleKey>> m_delayed;
  std::set<SampleKey> m_generating;
  std::set<SampleKey> m_judging;
  /** Samples to be judged that have no judge call in flight. */
  std::set<SampleKey> m_judgeQueue;
  std::size_t m_judgeCallsInFlight = 0;
  std::uint64_t m_heldBytes = 0;
  std::optional<TimePoint> m_heldBackSince;
  TimePoint m_nextReliefScan{};

  /** Every cursor up to this one is acknowledged or discarded. */
  Cursor m_closed;
  std::optional<Cursor> m_lastDiscarded;
  std::vector<SampleId> m_lastDiscardedSamples;
  std::optional<HeldBatch> m_proposed;
  std::optional<HeldBatch> m_fixed;
  bool m_acknowledging = false;
  bool m_discarding = false;
  TimePoint m_nextProposal{};
  std::vector<BatchWaiter> m_waiters;
  std::vector<RequestId> m_discardRequests;
  std::optional<TimePoint> m_idleMark;
};

} // namespace auburntrestle::rollout::internal

#endif
