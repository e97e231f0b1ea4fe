#ifndef AUBURNTRESTLE_ROLLOUT_EVENTS_HPP
#define AUBURNTRESTLE_ROLLOUT_EVENTS_HPP

#include "auburntrestle/core/error.hpp"
#include "auburntrestle/core/ids.hpp"
#include "auburntrestle/core/time.hpp"
#include "auburntrestle/rollout/policy.hpp"
#include "auburntrestle/rollout/sample_id.hpp"
#include "auburntrestle/rollout/step.hpp"

#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace auburntrestle::rollout {

/** A trainer asks to open a step. Answered by AnswerStep or RefuseStep. */
struct StepRequested
{
  RequestId m_request;
  StepSpec m_spec;
};

/** The ledger has applied OpenStep; every applied step is reported. */
struct StepOpened
{
  StepSpec m_spec;
};

/** The ledger did not apply a proposed OpenStep and never will. */
struct StepOpenRefused
{
  TrainerId m_trainer;
  StepNumber m_step;
  RequestError m_error;
};

/** The ledger has applied PublishVersion. Older versions are ignored. */
struct VersionPublished
{
  ModelName m_model;
  WeightVersion m_version;
};

/** An engine has begun to answer an attempt. */
struct SampleAccepted
{
  SampleId m_sample;
  AttemptNumber m_attempt;
};

/**
 * Part of an attempt's answer. One event covers tokens of a single version; an
 * absent version makes the attempt undeliverable.
 */
struct SampleTokens
{
  SampleId m_sample;
  AttemptNumber m_attempt;
  std::string m_text;
  TokenCount m_count;
  std::optional<WeightVersion> m_version;
};

/** An attempt's answer is complete. */
struct SampleFinished
{
  SampleId m_sample;
  AttemptNumber m_attempt;
};

/** An attempt has ended without a complete answer. */
struct SampleFailed
{
  SampleId m_sample;
  AttemptNumber m_attempt;
  RequestError m_error;
};

/** A judge has scored a sample. */
struct JudgeAnswered
{
  SampleId m_sample;
  AttemptNumber m_attempt;
  double m_score = 0.0;
};

/** A judge call failed. */
struct JudgeFailed
{
  SampleId m_sample;
  AttemptNumber m_attempt;
  RequestError m_error;
};

/**
 * A trainer asks for a batch and waits for it until a time. The outer layer
 * hands the request over after a confirmed read of the ledger, because a fixed
 * batch is sent again at once: an isolated former leader knows neither newer
 * versions nor discards.
 */
struct BatchRequested
{
  RequestId m_request;
  TrainerId m_trainer;
  Cursor m_cursor;
  TimePoint m_waitUntil;
};

/** A trainer no longer waits for the answer of a batch request. */
struct BatchRequestCancelled
{
  RequestId m_request;
};

/** The ledger has applied FixBatch, and this instance still leads it. */
struct BatchFixed
{
  TrainerId m_trainer;
  Cursor m_cursor;
};

/**
 * The ledger did not apply a proposed FixBatch and never will. While the
 * outcome is unknown, the outer layer reports nothing, or LeadershipLost.
 */
struct BatchFixRefused
{
  TrainerId m_trainer;
  Cursor m_cursor;
};

/** The ledger has applied AcknowledgeBatch. */
struct BatchAcknowledged
{
  TrainerId m_trainer;
  Cursor m_cursor;
};

/** The ledger did not apply a proposed AcknowledgeBatch and never will. */
struct AcknowledgeRefused
{
  TrainerId m_trainer;
  Cursor m_cursor;
};

/** A trainer states that it did not receive an expired batch. */
struct DiscardRequested
{
  RequestId m_request;
  TrainerId m_trainer;
  Cursor m_cursor;
};

/** The ledger has applied DiscardBatch. */
struct BatchDiscarded
{
  TrainerId m_trainer;
  Cursor m_cursor;
};

/** The ledger did not apply a proposed DiscardBatch and never will. */
struct DiscardRefused
{
  TrainerId m_trainer;
  Cursor m_cursor;
};

/** What the ledger holds of the last batch of a trainer. */
enum class BatchState : std::uint8_t
{
  Fixed,
  Acknowledged,
  Discarded,
};

/** The batch with the highest cursor of a trainer, as read from the ledger. */
struct RestoredBatch
{
  TrainerId m_trainer;
  Cursor m_cursor;
  BatchState m_state = BatchState::Fixed;
  /** Set when the batch is fixed; may be empty otherwise. */
  std::vector<SampleId> m_samples;
  /** Set when the batch is fixed. */
  SharedText m_payload;
};

/** The state of the ledger at the start of a leadership. */
struct Restored
{
  /** Steps with samples that are not in an acknowledged batch. */
  std::vector<StepSpec> m_steps;
  /** The highest step that each trainer has ever opened. */
  std::map<TrainerId, StepNumber> m_lastSteps;
  /** The newest published version of each model. */
  std::map<ModelName, WeightVersion> m_versions;
  /** For each trainer the batch with the highest cursor. Lower cursors count
   * as closed. */
  std::vector<RestoredBatch> m_batches;
  /** Samples of the open steps that are in acknowledged batches. */
  std::vector<SampleId> m_delivered;
};

/** This instance no longer leads the ledger. */
struct LeadershipLost
{};

/** The accepted configuration has changed; it lists every trainer. */
struct ConfigurationChanged
{
  std::map<TrainerId, TrainerSettings> m_trainers;
};

/** The rules common to all trainers have changed. */
struct PolicyChanged
{
  Policy m_policy;
};

/** Time has passed; sent at least every 100 ms. */
struct Tick
{};

using Event = std::variant<StepRequested,
                           StepOpened,
                           StepOpenRefused,
                           VersionPublished,
                           SampleAccepted,
                           SampleTokens,
                           SampleFinished,
                           SampleFailed,
                           JudgeAnswered,
                           JudgeFailed,
                           BatchRequested,
                           BatchRequestCancelled,
                           BatchFixed,
                           BatchFixRefused,
                           BatchAcknowledged,
                           AcknowledgeRefused,
                           DiscardRequested,
                           BatchDiscarded,
                           DiscardRefused,
                           Restored,
                           LeadershipLost,
                           ConfigurationChanged,
                           PolicyChanged,
                           Tick>;

} // namespace auburntrestle::rollout

#endif
