#ifndef AUBURNTRESTLE_ROLLOUT_BATCH_HPP
#define AUBURNTRESTLE_ROLLOUT_BATCH_HPP

#include "auburntrestle/rollout/sample_id.hpp"
#include "auburntrestle/rollout/trail.hpp"

#include <tl/expected.hpp>

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace auburntrestle::rollout {

/** A sample as delivered to its trainer. */
struct BatchSample
{
  SampleId m_id;
  std::string m_prompt;
  std::string m_text;
  Trail m_trail;
  /** Absent if the step has no judge or the judge returned no score. */
  std::optional<double> m_score;

  friend bool operator==(const BatchSample&, const BatchSample&) = default;
};

/** The samples delivered under one cursor, all from one step. */
struct Batch
{
  Cursor m_cursor;
  ModelName m_model;
  std::vector<BatchSample> m_samples;

  friend bool operator==(const Batch&, const Batch&) = default;
};

/** The payload is not an encoded batch. */
struct BadPayloadError
{
  std::string m_detail;
};

/** @return a sample as a JSON object; invalid UTF-8 is replaced. */
[[nodiscard]] std::string EncodeSample(const BatchSample& aSample);

/** @return the payload of a batch from samples encoded by EncodeSample. */
[[nodiscard]] std::string JoinBatch(Cursor aCursor,
                                    const ModelName& aModel,
                                    const std::vector<std::string>& aSamples);

/** @return the payload of a batch: the body of the HTTP response. */
[[nodiscard]] std::string EncodeBatch(const Batch& aBatch);

/** Decodes a payload, for entry instances and new leaders. */
[[nodiscard]] tl::expected<Batch, BadPayloadError> DecodeBatch(
  std::string_view aPayload);

} // namespace auburntrestle::rollout

#endif
