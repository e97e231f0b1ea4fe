#ifndef AUBURNTRESTLE_ROLLOUT_SAMPLE_ID_HPP
#define AUBURNTRESTLE_ROLLOUT_SAMPLE_ID_HPP

#include "auburntrestle/core/ids.hpp"

#include <tl/expected.hpp>

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

namespace auburntrestle::rollout {

/** Deterministic identity of a sample; a regenerated sample keeps it. */
struct SampleId
{
  TrainerId m_trainer;
  StepNumber m_step;
  GroupIndex m_group;
  SampleIndex m_index;

  friend auto operator<=>(const SampleId&, const SampleId&) = default;
  friend bool operator==(const SampleId&, const SampleId&) = default;
};

/** Why a text is not a sample id. */
enum class SampleIdError : std::uint8_t
{
  MissingPart,
  EmptyTrainer,
  BadNumber,
};

/** @return the text form, `trainer/step/group/index`. */
[[nodiscard]] std::string ToText(const SampleId& aSample);

/**
 * Parses the text form. The last three parts are numbers; the rest is the name
 * of the trainer, which may contain slashes.
 */
[[nodiscard]] tl::expected<SampleId, SampleIdError> ParseSampleId(
  std::string_view aText);

} // namespace auburntrestle::rollout

#endif
