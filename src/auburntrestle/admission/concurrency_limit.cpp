#include "auburntrestle/admission/concurrency_limit.hpp"

#include <algorithm>
#include <cmath>

namespace auburntrestle::admission {

namespace internal {

constexpr Duration kWindow = std::chrono::milliseconds(250);
// On a healthy engine the time per token of a batch rises to about twice that
// of a single request while the total throughput still grows.
constexpr double kTokenTolerance = 2.0;
// The time to first token also includes the wait for the running prefill.
constexpr double kFirstTokenTolerance = 4.0;
// Prompts shorter than this cost about as much as one of this length.
constexpr double kPromptScaleTokens = 256.0;
// The baseline rises by this factor per window, so that it adapts to a model
// that has become permanently slower.
constexpr double kBaselineDrift = 1.002;
// Weight of an uncontended window in the moving average of the baseline.
constexpr double kUncontendedWeight = 0.2;
constexpr double kMinShrinkFactor = 0.9;
// A load report describes the past, so that it moves the limit only part of the
// way, and the limit does not grow until the effect can be observed.
constexpr double kLoadWeight = 0.25;
constexpr std::uint32_t kMinFullReports = 2;
constexpr Duration kGrowthDelay = std::chrono::seconds(5);
constexpr double kFullKvCacheShare = 0.97;

} // namespace internal

void ConcurrencyLimit::Signal::Add(double aSample, double aWeight) noexcept
{
  m_sum += aSample * aWeight;
  m_weight += aWeight;
}

std::optional<double> ConcurrencyLimit::Signal::Mean() const noexcept
{
  if (m_weight <= 0.0) {
    return std::nullopt;
  }
  return m_sum / m_weight;
}

double ConcurrencyLimit::Signal::CloseWindow(bool aUncontended) noexcept
{
  const auto mean = Mean();
  m_sum = 0.0;
  m_weight = 0.0;
  if (!mean || *mean <= 0.0) {
    return 1.0;
  }
  if (!m_baseline || *mean < *m_baseline) {
    m_baseline = mean;
  } else if (aUncontended) {
    *m_baseline += internal::kUncontendedWeight * (*mean - *m_baseline);
  } else {
    m_baseline = std::min(*mean, *m_baseline * internal::kBaselineDrift);
  }
  return *m_baseline / *mean;
}

ConcurrencyLimit::ConcurrencyLimit(std::uint32_t aInitial,
                                   std::uint32_t aMax) noexcept
  : m_limit(std::max(1.0, static_cast<double>(std::min(aInitial, aMax))))
  , m_max(std::max(1.0, static_cast<double>(aMax)))
{
}

void ConcurrencyLimit::RecordFirstToken(Duration aElapsed,
                                        TokenCount aPromptLength,
                                        std::uint32_t aInFlight,
                                        TimePoint aNow)
{
  const double scale = 1.0 + static_cast<double>(aPromptLength.Get()) /
                               internal::kPromptScaleTokens;
  m_firstToken.Add(static_cast<double>(aElapsed.count()) / scale, 1.0);
  MaybeAdjust(aInFlight, aNow);
}

void ConcurrencyLimit::RecordTokens(Duration aElapsed,
                                    TokenCount aTokens,
                                    std::uint32_t aInFlight,
                                    TimePoint aNow)
{
  if (aTokens.Get() == 0) {
    return;
  }
  const auto tokens = static_cast<double>(aTokens.Get());
  m_perToken.Add(static_cast<double>(aElapsed.count()) / tokens, tokens);
  MaybeAdjust(aInFlight, aNow);
}

void ConcurrencyLimit::MaybeAdjust(std::uint32_t aInFlight,
                                   TimePoint aNow) noexcept
{
  m_peakInFlight = std::max(m_peakInFlight, aInFlight);
  if (!m_windowStart) {
    m_windowStart = aNow;
  }
  if (aNow - *m_windowStart < internal::kWindow) {
    return;
  }
  const bool uncontended = m_peakInFlight <= 1;
  const bool hasFirstToken = m_firstToken.m_weight > 0.0;
  const double gradient = std::min(
    m_perToken.CloseWindow(uncontended) * internal::kTokenTolerance,
    m_firstToken.CloseWindow(uncontended) * internal::kFirstTokenTolerance);
  if (gradient < 1.0) {
    m_limit *= std::max(gradient, internal::kMinShrinkFactor);
  } else if (hasFirstToken && aNow >= m_growNotBefore &&
             m_peakInFlight + 1.0 >= m_limit) {
    // Without a first token in the window there is no evidence that another
    // request would not queue inside the server.
    m_limit += std::max(1.0, std::sqrt(m_limit) / 2.0);
  }
  m_limit = std::clamp(m_limit, 1.0, m_max);
  m_peakInFlight = 0;
  m_windowStart = aNow;
}

void ConcurrencyLimit::RecordLoad(const registry::LoadReport& aLoad,
                                  TimePoint aNow) noexcept
{
  if (aLoad.m_waiting == 0 && aLoad.m_kvUsed < internal::kFullKvCacheShare) {
    m_fullReports = 0;
    m_maxRunning = 0;
    return;
  }
  // A server with requests waiting inside runs as many as it can. A single
  // report may only show a request that arrived between two steps of the batch.
  ++m_fullReports;
  m_maxRunning = std::max(m_maxRunning, aLoad.m_running);
  if (m_fullReports < internal::kMinFullReports) {
    return;
  }
  m_growNotBefore = aNow + internal::kGrowthDelay;
  const auto running = static_cast<double>(m_maxRunning);
  if (running < m_limit) {
    m_limit += internal::kLoadWeight * (running - m_limit);
    m_limit = std::max(1.0, m_limit);
  }
}

void ConcurrencyLimit::SetMax(std::uint32_t aMax) noexcept
{
  m_max = std::max(1.0, static_cast<double>(aMax));
  m_limit = std::min(m_limit, m_max);
}

std::uint32_t ConcurrencyLimit::Limit() const noexcept
{
  return static_cast<std::uint32_t>(m_limit);
}

} // namespace auburntrestle::admission
