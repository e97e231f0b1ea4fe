#include "auburntrestle/rollout/internal/estimates.hpp"

#include <algorithm>
#include <cmath>

namespace auburntrestle::rollout::internal {
namespace {

constexpr double kSmoothing = 0.05;
constexpr double kPublishSmoothing = 0.3;
constexpr double kMedianStep = 0.05;

/** @return the weight of a new value in a running mean; the first values have
 * equal weights. */
double WeightOf(std::uint64_t aCount)
{
  return std::max(kSmoothing, 1.0 / static_cast<double>(aCount));
}

/** Moves the estimate of a median by one step towards a new value. */
void TrackMedian(double& aMedian, double aValue, bool aFirst)
{
  if (aFirst) {
    aMedian = std::max(aValue, 1.0);
    return;
  }
  aMedian *= aValue > aMedian ? 1.0 + kMedianStep : 1.0 - kMedianStep;
  aMedian = std::max(aMedian, 1.0);
}

Duration FromMicroseconds(double aValue)
{
  return Duration(static_cast<Duration::rep>(aValue));
}

} // namespace

void PublishEstimate::RecordPublication(TimePoint aNow)
{
  if (m_last && aNow > *m_last) {
    const Duration interval = aNow - *m_last;
    if (!m_interval) {
      m_interval = interval;
    } else {
      const auto mean = static_cast<double>(m_interval->count());
      m_interval = FromMicroseconds(
        mean +
        kPublishSmoothing * (static_cast<double>(interval.count()) - mean));
    }
  }
  m_last = aNow;
}

std::uint64_t PublishEstimate::ExpectedPublications(
  TimePoint aUntil,
  TimePoint aNow) const noexcept
{
  if (!m_last || !m_interval || m_interval->count() <= 0) {
    return 0;
  }
  // If a publication is late by a full interval, the trainer has paused, and
  // the time of the next one is unknown.
  if (aNow > *m_last + 2 * *m_interval) {
    return 0;
  }
  const TimePoint next = std::max(*m_last + *m_interval, aNow);
  if (aUntil < next) {
    return 0;
  }
  return 1 + static_cast<std::uint64_t>((aUntil - next) / *m_interval);
}

void GenerationEstimate::RecordResult(Duration aTotal, std::uint64_t aTokens)
{
  ++m_results;
  const auto total = static_cast<double>(aTotal.count());
  const double weight = WeightOf(m_results);
  m_deviation += weight * (std::abs(total - m_meanTotal) - m_deviation);
  if (m_results == 1) {
    m_deviation = 0.0;
  }
  m_meanTotal += weight * (total - m_meanTotal);
  m_meanTokens += weight * (static_cast<double>(aTokens) - m_meanTokens);
}

void GenerationEstimate::RecordBatch(Duration aTotal)
{
  ++m_batches;
  m_meanBatchTime += WeightOf(m_batches) *
                     (static_cast<double>(aTotal.count()) - m_meanBatchTime);
}

void GenerationEstimate::RecordTokenTimes(Duration aTimeToFirstToken,
                                          Duration aTimePerToken)
{
  ++m_timedResults;
  TrackMedian(m_timeToFirstToken,
              static_cast<double>(aTimeToFirstToken.count()),
              m_timedResults == 1);
  TrackMedian(m_timePerToken,
              static_cast<double>(aTimePerToken.count()),
              m_timedResults == 1);
}

Duration GenerationEstimate::CompletionTime() const noexcept
{
  return FromMicroseconds(m_meanTotal + 2.0 * m_deviation);
}

Duration GenerationEstimate::DeliveryTime() const noexcept
{
  return std::max(CompletionTime(), FromMicroseconds(m_meanBatchTime));
}

Duration GenerationEstimate::TimeToFirstToken() const noexcept
{
  return FromMicroseconds(m_timeToFirstToken);
}

Duration GenerationEstimate::TimePerToken() const noexcept
{
  return FromMicroseconds(m_timePerToken);
}

} // namespace auburntrestle::rollout::internal
