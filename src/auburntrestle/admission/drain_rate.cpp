#include "auburntrestle/admission/drain_rate.hpp"

#include <algorithm>
#include <cmath>

namespace auburntrestle::admission {

namespace internal {

constexpr double kDecaySeconds = 5.0;
// Over a shorter span a few departures would give a rate far above the actual
// one.
constexpr double kMinSpanSeconds = 0.5;

double Seconds(Duration aDuration)
{
  return std::chrono::duration<double>(aDuration).count();
}

} // namespace internal

void DrainRate::Record(TimePoint aNow) noexcept
{
  if (!m_first) {
    m_first = aNow;
    m_last = aNow;
  }
  m_count *=
    std::exp(-internal::Seconds(aNow - m_last) / internal::kDecaySeconds);
  m_count += 1.0;
  m_last = aNow;
}

std::optional<double> DrainRate::PerSecond(TimePoint aNow) const noexcept
{
  if (!m_first) {
    return std::nullopt;
  }
  const double decayed = m_count * std::exp(-internal::Seconds(aNow - m_last) /
                                            internal::kDecaySeconds);
  const double observed =
    std::max(internal::Seconds(aNow - *m_first), internal::kMinSpanSeconds);
  // At a constant rate, the decaying count is the rate times this span.
  const double span = internal::kDecaySeconds *
                      (1.0 - std::exp(-observed / internal::kDecaySeconds));
  return decayed / span;
}

std::optional<Duration> DrainRate::TimeToDrain(std::size_t aCount,
                                               TimePoint aNow) const noexcept
{
  const auto rate = PerSecond(aNow);
  if (!rate || *rate <= 1e-6) {
    return std::nullopt;
  }
  const double seconds = static_cast<double>(aCount) / *rate;
  return Duration(static_cast<Duration::rep>(seconds * 1e6));
}

} // namespace auburntrestle::admission
