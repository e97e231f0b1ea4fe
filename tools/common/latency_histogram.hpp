#ifndef AUBURNTRESTLE_TOOLS_COMMON_LATENCY_HISTOGRAM_HPP
#define AUBURNTRESTLE_TOOLS_COMMON_LATENCY_HISTOGRAM_HPP

#include "auburntrestle/core/time.hpp"

#include <cstdint>
#include <vector>

namespace auburntrestle::tools {

/**
 * Counts durations in buckets whose width is below 1% of their value, so that
 * memory does not grow with the number of requests.
 */
class LatencyHistogram
{
public:
  /** Counts a duration; negative ones count as zero. */
  void Add(Duration aValue);
  /** Adds the counts of another histogram. */
  void Merge(const LatencyHistogram& aOther);

  [[nodiscard]] std::uint64_t Count() const noexcept { return m_count; }
  /** @return the largest duration; exact. */
  [[nodiscard]] Duration Max() const noexcept { return m_max; }
  /** @return the mean; exact. */
  [[nodiscard]] Duration Mean() const noexcept;
  /**
   * @param aQuantile from 0 to 1.
   * @return the smallest bucket bound that is not below the given share of
   *         the durations, and never above the largest one; zero when empty.
   */
  [[nodiscard]] Duration Quantile(double aQuantile) const;

private:
  std::vector<std::uint64_t> m_buckets;
  std::uint64_t m_count = 0;
  Duration m_max{ 0 };
  Duration m_sum{ 0 };
};

} // namespace auburntrestle::tools

#endif
