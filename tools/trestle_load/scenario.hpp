#ifndef AUBURNTRESTLE_TOOLS_TRESTLE_LOAD_SCENARIO_HPP
#define AUBURNTRESTLE_TOOLS_TRESTLE_LOAD_SCENARIO_HPP

#include "common/arrival_plan.hpp"
#include "common/trainer_client.hpp"

#include <string>
#include <vector>

namespace auburntrestle::tools {

/** Parameters of a load run. */
struct Scenario
{
  std::string m_name = "telhado";
  std::uint64_t m_seed = 1;
  Duration m_length{ 30'000'000 };
  /** Requests that start within this time are checked but not measured. */
  Duration m_warmUp{ 2'000'000 };
  /** Maximum wait for running requests after the end of the run. */
  Duration m_drain{ 30'000'000 };
  std::size_t m_maxRequests = 200'000;
  OutputShape m_outputShape;
  std::vector<ApplicationShape> m_applications;
  /** Trainers; RunScenario sets their targets and deadlines. */
  std::vector<TrainerOptions> m_trainers;
  SlowShape m_slow;
};

/**
 * @param aName "telhado" or "arrieta".
 * @return the preset; throws std::invalid_argument for another name.
 */
[[nodiscard]] Scenario PresetScenario(const std::string& aName);

/** Reads a scenario from a TOML file; throws on unknown keys and bad types. */
[[nodiscard]] Scenario ReadScenario(const std::string& aPath);

} // namespace auburntrestle::tools

#endif
