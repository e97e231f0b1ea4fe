#ifndef AUBURNTRESTLE_ROLLOUT_INTERNAL_ESTIMATES_HPP
#define AUBURNTRESTLE_ROLLOUT_INTERNAL_ESTIMATES_HPP

#include "auburntrestle/core/time.hpp"

#include <cstdint>
#include <optional>

namespace auburntrestle::rollout::internal {

/** Estimates the times of the next publications of a model's versions. */
class PublishEstimate
{
public:
  void RecordPublication(TimePoint aNow);

  /** @return the mean time between publications, after at least two. */
  [[nodiscard]] std::optional<Duration> Interval() const noexcept
  {
    return m_interval;
  }

  /** @return the number of publications expected in (aNow, aUntil]. */
  [[nodiscard]] std::uint64_t ExpectedPublications(
    TimePoint aUntil,
    TimePoint aNow) const noexcept;

private:
  std::optional<TimePoint> m_last;
  std::optional<Duration> m_interval;
};

/** Running estimates of the generation times of a trainer's samples. */
class GenerationEstimate
{
public:
  /** Records a complete result. */
  void RecordResult(Duration aTotal, std::uint64_t aTokens);
  /** Records the time from the start of a sample to its batch. */
  void RecordBatch(Duration aTotal);
  /** Records the token times of an attempt with a complete result. */
  void RecordTokenTimes(Duration aTimeToFirstToken, Duration aTimePerToken);

  /** @return whether a result has been recorded. */
  [[nodiscard]] bool HasResults() const noexcept { return m_results > 0; }
  /** @return the time within which most samples complete: mean plus twice the
   * mean deviation. */
  [[nodiscard]] Duration CompletionTime() const noexcept;
  /** @return the mean time from the start of a sample to its batch, including
   * the wait for its group and for the trainer; at least CompletionTime. */
  [[nodiscard]] Duration DeliveryTime() const noexcept;
  [[nodiscard]] double MeanTokens() const noexcept { return m_meanTokens; }
  /** @return the median time to the first token. */
  [[nodiscard]] Duration TimeToFirstToken() const noexcept;
  /** @return the median time per token. */
  [[nodiscard]] Duration TimePerToken() const noexcept;
  /** @return whether token times have been recorded. */
  [[nodiscard]] bool HasTokenTimes() const noexcept
  {
    return m_timedResults > 0;
  }

private:
  std::uint64_t m_results = 0;
  std::uint64_t m_timedResults = 0;
  double m_meanTotal = 0.0;
  double m_deviation = 0.0;
  std::uint64_t m_batches = 0;
  double m_meanBatchTime = 0.0;
  double m_meanTokens = 0.0;
  double m_timeToFirstToken = 0.0;
  double m_timePerToken = 0.0;
};

} // namespace auburntrestle::rollout::internal

#endif
