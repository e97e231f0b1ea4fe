#include "auburntrestle/routing/backend_state.hpp"

#include <algorithm>
#include <utility>

namespace auburntrestle::routing::internal {

namespace {

// Time per token relative to the peers from which a server is slow. Peers of
// equal hardware differ by less than this under equal load.
constexpr double kSlowThreshold = 2.0;
// Lower than kSlowThreshold, so that a server near the threshold does not
// alternate between slow and normal.
constexpr double kRecoveredThreshold = 1.4;
// Doubles while probes find the server still slow, because each probe may slow
// down an application request.
constexpr Duration kInitialProbeInterval = std::chrono::seconds(1);
constexpr Duration kMaxProbeInterval = std::chrono::seconds(8);
// Without probes, for example when their budget is zero, a server stops
// counting as slow after this time.
constexpr Duration kSlownessExpiry = std::chrono::seconds(30);
constexpr Duration kInitialPause = std::chrono::milliseconds(200);
constexpr Duration kMaxPause = std::chrono::seconds(10);
// Keeps the shift within its range; kMaxPause is reached long before.
constexpr std::uint32_t kMaxPauseDoublings = 16;
constexpr Duration kRefusalPause = std::chrono::milliseconds(100);
// After a takeover the limit is the initial one divided by this.
constexpr std::uint32_t kTakeoverLimitDivisor = 4;

} // namespace

SlotTotals& SlotTotals::operator+=(const SlotTotals& aOther) noexcept
{
  m_limit += aOther.m_limit;
  m_inFlight += aOther.m_inFlight;
  m_longInFlight += aOther.m_longInFlight;
  m_trainingInFlight += aOther.m_trainingInFlight;
  return *this;
}

SlotTotals& SlotTotals::operator-=(const SlotTotals& aOther) noexcept
{
  m_limit -= aOther.m_limit;
  m_inFlight -= aOther.m_inFlight;
  m_longInFlight -= aOther.m_longInFlight;
  m_trainingInFlight -= aOther.m_trainingInFlight;
  return *this;
}

BackendState::BackendState(BackendId aId,
                           std::uint32_t aInitial,
                           std::uint32_t aMax)
  : m_id(std::move(aId))
  , m_limit(aInitial, aMax)
{
}

bool BackendState::IsUsable() const noexcept
{
  return m_acceptsWork && !m_pausedUntil;
}

std::uint32_t BackendState::SlotLimit(std::uint32_t aInitial) const noexcept
{
  if (m_halfOpen) {
    return 1;
  }
  std::uint32_t limit = m_limit.Limit();
  if (m_awaitsLoadReport) {
    limit = std::min(limit, std::max(1U, aInitial / kTakeoverLimitDivisor));
  }
  if (m_isSlow) {
    limit = static_cast<std::uint32_t>(limit / std::max(1.0, m_slowness));
  }
  return std::max(
    1U, limit > m_previousOwnerInFlight ? limit - m_previousOwnerInFlight : 0U);
}

Tier BackendState::CurrentTier() const noexcept
{
  return m_isSlow ? Tier::Slow : Tier::Normal;
}

void BackendState::SetSlowness(double aSlowness, TimePoint aNow) noexcept
{
  const Duration unobserved = aNow - m_speed.LastObserved();
  const bool expired = m_used.m_inFlight == 0 && unobserved >= kSlownessExpiry;
  m_slowness = expired ? 1.0 : std::max(1.0, aSlowness);
  m_isSlow = m_slowness >= (m_isSlow ? kRecoveredThreshold : kSlowThreshold);
  if (!m_isSlow) {
    m_probeInterval = kInitialProbeInterval;
  }
  const bool due = m_isSlow && m_used.m_inFlight == 0 &&
                   (m_probeDue || unobserved >= m_probeInterval);
  if (due && !m_probeDue) {
    m_probeInterval = std::min(m_probeInterval * 2, kMaxProbeInterval);
  }
  m_probeDue = due;
}

TimePoint BackendState::RecordFailure(TimePoint aStartedAt, TimePoint aNow)
{
  if (!m_lastFailure || aStartedAt > *m_lastFailure) {
    const auto doublings = std::min(m_failures, kMaxPauseDoublings);
    const Duration pause =
      std::min(kInitialPause * (std::int64_t{ 1 } << doublings), kMaxPause);
    ++m_failures;
    m_lastFailure = aNow;
    m_pausedUntil = aNow + pause;
  } else if (!m_pausedUntil) {
    m_pausedUntil = aNow + kInitialPause;
  }
  return *m_pausedUntil;
}

TimePoint BackendState::RecordRefusal(TimePoint aNow)
{
  m_pausedUntil = std::max(m_pausedUntil.value_or(aNow), aNow + kRefusalPause);
  return *m_pausedUntil;
}

bool BackendState::RecordSuccess() noexcept
{
  m_failures = 0;
  return std::exchange(m_halfOpen, false);
}

} // namespace auburntrestle::routing::internal
