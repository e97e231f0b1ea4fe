#include "common/arrival_plan.hpp"

#include "auburntrestle/core/random.hpp"
#include "common/prompt.hpp"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace auburntrestle::tools {

namespace internal {

Arrival MakeArrival(const ApplicationShape& aShape,
                    std::uint64_t aNumber,
                    std::uint64_t aSeed,
                    const OutputShape& aOutputShape,
                    RandomSource& aRandom)
{
  Arrival arrival;
  arrival.m_maxTokens = aRandom.Chance(aShape.m_longShare)
                          ? aShape.m_longMaxTokens
                          : aShape.m_maxTokens;
  const auto family =
    aRandom.Below(std::max<std::uint64_t>(1, aShape.m_families));
  arrival.m_prompt =
    MakePrompt({ aSeed, aShape.m_sharedTokens, aShape.m_promptTokens },
               aShape.m_name + "-" + std::to_string(family),
               aNumber);
  arrival.m_expectedTokens =
    OutputLength(arrival.m_prompt, arrival.m_maxTokens, aOutputShape);
  arrival.m_isLong = arrival.m_expectedTokens > aShape.m_longFrom;
  return arrival;
}

} // namespace internal

std::vector<Arrival> PlanArrivals(
  const std::vector<ApplicationShape>& aApplications,
  Duration aLength,
  std::uint64_t aSeed,
  const OutputShape& aOutputShape,
  std::size_t aLimit)
{
  std::vector<Arrival> plan;
  for (std::size_t index = 0; index < aApplications.size(); ++index) {
    const auto& shape = aApplications[index];
    if (shape.m_rate <= 0.0) {
      continue;
    }
    // With its own generator, an application keeps its plan when others change.
    RandomSource random(aSeed * 1000 + index);
    double seconds = 0.0;
    for (std::uint64_t number = 0; number < aLimit; ++number) {
      seconds -= std::log(1.0 - random.Unit()) / shape.m_rate;
      const Duration at(static_cast<Duration::rep>(seconds * 1e6));
      if (at >= aLength) {
        break;
      }
      auto arrival =
        internal::MakeArrival(shape, number, aSeed, aOutputShape, random);
      arrival.m_at = at;
      arrival.m_application = index;
      plan.push_back(std::move(arrival));
    }
  }
  std::stable_sort(
    plan.begin(), plan.end(), [](const Arrival& aOne, const Arrival& aTwo) {
      return aOne.m_at < aTwo.m_at;
    });
  plan.resize(std::min(plan.size(), aLimit));
  return plan;
}

std::vector<SlowDown> PlanSlowDowns(const SlowShape& aShape,
                                    std::size_t aEngines,
                                    Duration aLength,
                                    std::uint64_t aSeed)
{
  std::vector<SlowDown> plan;
  const auto count = static_cast<std::size_t>(
    std::ceil(aShape.m_share * static_cast<double>(aEngines)));
  if (count == 0 || aShape.m_every.count() <= 0) {
    return plan;
  }
  RandomSource random(aSeed);
  std::vector<std::size_t> engines(aEngines);
  std::iota(engines.begin(), engines.end(), 0);
  for (Duration at{ 0 }; at < aLength; at += aShape.m_every) {
    for (std::size_t chosen = 0; chosen < std::min(count, aEngines); ++chosen) {
      const auto other = chosen + random.Below(aEngines - chosen);
      std::swap(engines[chosen], engines[other]);
      plan.push_back({ at, engines[chosen] });
    }
  }
  return plan;
}

} // namespace auburntrestle::tools
