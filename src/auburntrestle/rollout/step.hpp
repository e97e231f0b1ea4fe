#ifndef AUBURNTRESTLE_ROLLOUT_STEP_HPP
#define AUBURNTRESTLE_ROLLOUT_STEP_HPP

#include "auburntrestle/core/ids.hpp"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace auburntrestle::rollout {

/** Immutable text that actions share instead of copying. */
using SharedText = std::shared_ptr<const std::string>;

/** One prompt and the number of samples to generate for it. */
struct GroupSpec
{
  std::string m_prompt;
  std::uint32_t m_samples = 1;

  friend bool operator==(const GroupSpec&, const GroupSpec&) = default;
};

/** A training step as requested by its trainer. */
struct StepSpec
{
  TrainerId m_trainer;
  StepNumber m_step;
  ModelName m_model;
  TokenCount m_maxTokens;
  std::vector<GroupSpec> m_groups;
  std::optional<ServiceName> m_judge;

  friend bool operator==(const StepSpec&, const StepSpec&) = default;
};

} // namespace auburntrestle::rollout

#endif
