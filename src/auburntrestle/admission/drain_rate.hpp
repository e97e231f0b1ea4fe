#ifndef AUBURNTRESTLE_ADMISSION_DRAIN_RATE_HPP
#define AUBURNTRESTLE_ADMISSION_DRAIN_RATE_HPP

#include "auburntrestle/core/time.hpp"

#include <cstddef>
#include <optional>

namespace auburntrestle::admission {

/** The rate at which requests leave a queue, as a decaying average. */
class DrainRate
{
public:
  /** Records that one request left the queue. */
  void Record(TimePoint aNow) noexcept;

  /** @return requests per second, or nothing before any was observed. */
  [[nodiscard]] std::optional<double> PerSecond(TimePoint aNow) const noexcept;

  /**
   * @return the time until `aCount` requests have left the queue, or nothing
   * while the rate is unknown or close to zero.
   */
  [[nodiscard]] std::optional<Duration> TimeToDrain(
    std::size_t aCount,
    TimePoint aNow) const noexcept;

private:
  double m_count = 0.0;
  std::optional<TimePoint> m_first;
  TimePoint m_last{};
};

} // namespace auburntrestle::admission

#endif
