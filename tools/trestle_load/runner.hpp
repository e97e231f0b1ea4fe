#ifndef AUBURNTRESTLE_TOOLS_TRESTLE_LOAD_RUNNER_HPP
#define AUBURNTRESTLE_TOOLS_TRESTLE_LOAD_RUNNER_HPP

#include "common/latency_histogram.hpp"
#include "trestle_load/scenario.hpp"

#include <atomic>
#include <map>
#include <string>
#include <vector>

namespace auburntrestle::tools {

/** Latencies of one size class, from the intended start of each request. */
struct SizeResult
{
  /** Requests that got their complete output. */
  std::uint64_t m_completed = 0;
  std::uint64_t m_failed = 0;
  std::uint64_t m_tokens = 0;
  LatencyHistogram m_firstToken;
  LatencyHistogram m_total;
};

/** The result of one application. */
struct ApplicationResult
{
  std::string m_name;
  SizeResult m_shortWork;
  SizeResult m_longWork;
  /** Failures by "code/outcome", warm-up included. */
  std::map<std::string, std::uint64_t> m_errors;
  /** Outputs that were incomplete or belonged to another request. */
  std::vector<std::string> m_violations;
};

/** The result of one trainer. */
struct TrainerResult
{
  std::string m_name;
  TrainerReport m_report;
};

/** The result of a load run. */
struct LoadResult
{
  std::string m_scenario;
  std::uint64_t m_seed = 0;
  Duration m_length{ 0 };
  std::uint64_t m_slowDowns = 0;
  /** Delay between the intended and the actual start of requests; large values
   *  mean that the tool was overloaded and the measurement is unreliable. */
  LatencyHistogram m_startLag;
  std::vector<ApplicationResult> m_applications;
  std::vector<TrainerResult> m_trainers;

  [[nodiscard]] std::size_t Violations() const noexcept;
};

/**
 * Runs a scenario.
 *
 * @param aTargets addresses of instances, used in rotation.
 * @param aEngines addresses of fake engines that may be slowed down.
 * @param aClientThreads threads that send the applications' requests.
 * @param aStop ends the run early when it becomes true.
 */
[[nodiscard]] LoadResult RunScenario(const Scenario& aScenario,
                                     const std::vector<std::string>& aTargets,
                                     const std::vector<std::string>& aEngines,
                                     std::size_t aClientThreads,
                                     const std::atomic<bool>& aStop);

} // namespace auburntrestle::tools

#endif
