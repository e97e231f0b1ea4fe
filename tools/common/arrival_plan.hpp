#ifndef AUBURNTRESTLE_TOOLS_COMMON_ARRIVAL_PLAN_HPP
#define AUBURNTRESTLE_TOOLS_COMMON_ARRIVAL_PLAN_HPP

#include "auburntrestle/core/time.hpp"
#include "common/output.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace auburntrestle::tools {

/** An application that sends completions. */
struct ApplicationShape
{
  std::string m_name = "catalogo";
  std::string m_model = "catalogo";
  /** Mean arrivals per second. */
  double m_rate = 10.0;
  std::uint64_t m_maxTokens = 64;
  /** Share of requests whose token limit is m_longMaxTokens. */
  double m_longShare = 0.05;
  std::uint64_t m_longMaxTokens = 640;
  /** Requests with more output tokens than this count as long. */
  std::uint64_t m_longFrom = 64;
  std::uint64_t m_promptTokens = 96;
  std::uint64_t m_sharedTokens = 64;
  /** Number of different shared prompt prefixes. */
  std::uint64_t m_families = 4;
  /** Deadline sent with each request; zero for none. */
  Duration m_deadline{ 0 };
};

/** A request that is planned before the run starts. */
struct Arrival
{
  /** Intended start, relative to the start of the run. */
  Duration m_at{ 0 };
  /** Index of the application. */
  std::size_t m_application = 0;
  std::string m_prompt;
  std::uint64_t m_maxTokens = 0;
  std::uint64_t m_expectedTokens = 0;
  bool m_isLong = false;
};

/**
 * Plans the arrivals of all applications as Poisson processes.
 *
 * @param aLimit maximum number of arrivals in the plan.
 * @return the arrivals in order of time; equal seeds give equal plans.
 */
[[nodiscard]] std::vector<Arrival> PlanArrivals(
  const std::vector<ApplicationShape>& aApplications,
  Duration aLength,
  std::uint64_t aSeed,
  const OutputShape& aOutputShape,
  std::size_t aLimit);

/** A planned slow-down of one engine. */
struct SlowDown
{
  Duration m_at{ 0 };
  std::size_t m_engine = 0;
};

/** Schedule and strength of the slow-downs of engines. */
struct SlowShape
{
  /** Share of the engines slowed at the same time; zero for none. */
  double m_share = 0.0;
  Duration m_every{ 5'000'000 };
  Duration m_length{ 5'000'000 };
  double m_factor = 4.0;
};

/** Plans which engines are slowed when; equal seeds give equal plans. */
[[nodiscard]] std::vector<SlowDown> PlanSlowDowns(const SlowShape& aShape,
                                                  std::size_t aEngines,
                                                  Duration aLength,
                                                  std::uint64_t aSeed);

} // namespace auburntrestle::tools

#endif
