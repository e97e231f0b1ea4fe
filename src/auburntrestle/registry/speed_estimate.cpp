#include "auburntrestle/registry/speed_estimate.hpp"

#include <algorithm>
#include <cmath>

namespace auburntrestle::registry {

namespace internal {

// A slower sample has half of the weight, so that two of them are enough to
// detect a slow server.
constexpr double kRiseWeight = 0.5;
// The estimate falls over seconds, because other workloads on the machine that
// slow a server often return.
constexpr double kFallTimeSeconds = 2.0;
// A stall should make the server count as slow. A larger rise would also
// lengthen the timeout that detects its next stall.
constexpr double kMaxStallFactor = 4.0;

double Seconds(Duration aDuration)
{
  return std::chrono::duration<double>(aDuration).count();
}

double UpdatePeak(std::optional<double> aOld,
                  double aSample,
                  double aElapsedSeconds)
{
  if (!aOld) {
    return aSample;
  }
  if (aSample >= *aOld) {
    return *aOld + kRiseWeight * (aSample - *aOld);
  }
  const double keep = std::exp(-aElapsedSeconds / kFallTimeSeconds);
  return aSample + keep * (*aOld - aSample);
}

} // namespace internal

void SpeedEstimate::RecordTokens(Duration aElapsed,
                                 TokenCount aTokens,
                                 TimePoint aNow)
{
  if (aTokens.Get() == 0) {
    return;
  }
  const double sample =
    static_cast<double>(aElapsed.count()) / static_cast<double>(aTokens.Get());
  m_timePerToken = internal::UpdatePeak(
    m_timePerToken, sample, internal::Seconds(aNow - m_lastObserved));
  m_lastObserved = aNow;
}

void SpeedEstimate::RecordFirstToken(Duration aElapsed, TimePoint aNow)
{
  m_timeToFirstToken =
    internal::UpdatePeak(m_timeToFirstToken,
                         static_cast<double>(aElapsed.count()),
                         internal::Seconds(aNow - m_lastObserved));
}

void SpeedEstimate::RecordStall(Duration aElapsed, TimePoint aNow)
{
  if (m_timePerToken) {
    const double stalled = static_cast<double>(aElapsed.count());
    const double limit = *m_timePerToken * internal::kMaxStallFactor;
    m_timePerToken = std::max(*m_timePerToken, std::min(stalled, limit));
  }
  m_lastObserved = aNow;
}

std::optional<Duration> SpeedEstimate::TimeToFirstToken() const noexcept
{
  if (!m_timeToFirstToken) {
    return std::nullopt;
  }
  return Duration(static_cast<Duration::rep>(*m_timeToFirstToken));
}

} // namespace auburntrestle::registry
