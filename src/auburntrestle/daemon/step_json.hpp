#ifndef AUBURNTRESTLE_DAEMON_STEP_JSON_HPP
#define AUBURNTRESTLE_DAEMON_STEP_JSON_HPP

#include "auburntrestle/daemon/json_reader.hpp"
#include "auburntrestle/rollout/step.hpp"

#include <tl/expected.hpp>

#include <string_view>

namespace auburntrestle::daemon {

/** The body of POST /v1/trainers/{trainer}/versions. */
struct VersionNotice
{
  ModelName m_model;
  WeightVersion m_version;
};

/** Parses the body of POST /v1/trainers/{trainer}/steps. */
[[nodiscard]] tl::expected<rollout::StepSpec, FieldErrors> ParseStep(
  std::string_view aBody,
  TrainerId aTrainer);

/** Parses a published version. */
[[nodiscard]] tl::expected<VersionNotice, FieldErrors> ParseVersion(
  std::string_view aBody);

} // namespace auburntrestle::daemon

#endif
