#ifndef AUBURNTRESTLE_ROLLOUT_ACTIONS_HPP
#define AUBURNTRESTLE_ROLLOUT_ACTIONS_HPP

#include "auburntrestle/core/error.hpp"
#include "auburntrestle/core/ids.hpp"
#include "auburntrestle/rollout/sample_id.hpp"
#include "auburntrestle/rollout/step.hpp"

#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace auburntrestle::rollout {

/** Output of earlier attempts, from which an engine continues. */
struct Resume
{
  std::string m_text;
  TokenCount m_tokens;
};

/**
 * Starts an attempt as a training request to the request dispatcher. A
 * coordinator never reuses an attempt number. SampleTokens events contain only
 * tokens that follow the resumed output.
 */
struct GenerateSample
{
  SampleId m_sample;
  AttemptNumber m_attempt;
  ModelName m_model;
  SharedText m_prompt;
  TokenCount m_maxTokens;
  /** Oldest weight version that may run the attempt. */
  WeightVersion m_minimumVersion;
  std::optional<Resume> m_resume;
  /** Attempts of this sample whose engines should be avoided. */
  std::vector<AttemptNumber> m_avoid;
};

/** Cancels an attempt; later events of the attempt are ignored. */
struct CancelSample
{
  SampleId m_sample;
  AttemptNumber m_attempt;
};

/** Calls a judge to score a result. */
struct JudgeSample
{
  SampleId m_sample;
  AttemptNumber m_attempt;
  ServiceName m_judge;
  SharedText m_prompt;
  SharedText m_text;
  /** Set if the call must not be repeated: it is then made under a claim with
   * this key, which depends only on the sample and its text. */
  std::optional<IdempotencyKey> m_claim;
};

/** Proposes OpenStep to the ledger. */
struct ProposeOpenStep
{
  StepSpec m_spec;
};

/**
 * Proposes FixBatch to the ledger: it durably binds samples and payload to a
 * cursor. Valid only in the current term.
 */
struct ProposeFixBatch
{
  TrainerId m_trainer;
  Cursor m_cursor;
  std::vector<SampleId> m_samples;
  SharedText m_payload;
};

/** Proposes AcknowledgeBatch to the ledger. */
struct ProposeAcknowledge
{
  TrainerId m_trainer;
  Cursor m_cursor;
};

/** Proposes DiscardBatch to the ledger. */
struct ProposeDiscard
{
  TrainerId m_trainer;
  Cursor m_cursor;
};

/** Responds to a trainer that the step is open. */
struct ConfirmStep
{
  RequestId m_request;
};

/** Responds that the step was not opened; docs/trainers.md lists the codes. */
struct RefuseStep
{
  RequestId m_request;
  RequestError m_error;
};

/** Sends a fixed batch; the payload is the body of the HTTP response. */
struct SendBatch
{
  RequestId m_request;
  TrainerId m_trainer;
  Cursor m_cursor;
  std::vector<SampleId> m_samples;
  SharedText m_payload;
};

/** Responds that no batch was ready in time (204). */
struct SendNoBatch
{
  RequestId m_request;
};

/** Responds that a batch request failed. */
struct RefuseBatch
{
  RequestId m_request;
  RequestError m_error;
  /** Samples of the batch if it has expired. */
  std::vector<SampleId> m_samples;
  /** Highest cursor that the trainer may request, if known. */
  std::optional<Cursor> m_highestCursor;
};

/** Responds that the discard is durable. */
struct ConfirmDiscard
{
  RequestId m_request;
};

/** Responds that the discard was not recorded. */
struct RefuseDiscard
{
  RequestId m_request;
  RequestError m_error;
};

using Action = std::variant<GenerateSample,
                            CancelSample,
                            JudgeSample,
                            ProposeOpenStep,
                            ProposeFixBatch,
                            ProposeAcknowledge,
                            ProposeDiscard,
                            ConfirmStep,
                            RefuseStep,
                            SendBatch,
                            SendNoBatch,
                            RefuseBatch,
                            ConfirmDiscard,
                            RefuseDiscard>;

} // namespace auburntrestle::rollout

#endif
