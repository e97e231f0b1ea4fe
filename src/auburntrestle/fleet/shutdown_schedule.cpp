#include "auburntrestle/fleet/shutdown_schedule.hpp"

namespace auburntrestle::fleet {

namespace {

/** For requests that were sent just before the end of the deregistration. */
constexpr Duration kIdleLinger = std::chrono::milliseconds(300);
/** Reserve before the process is killed. */
constexpr Duration kShutdownMargin = std::chrono::milliseconds(500);
/** For sending the final responses. */
constexpr Duration kResponseTime = std::chrono::milliseconds(300);

} // namespace

ShutdownSchedule::ShutdownSchedule(TimePoint aStartedAt,
                                   Duration aAllowedTime) noexcept
  : m_startedAt(aStartedAt)
  , m_latestStop(aStartedAt + aAllowedTime - kShutdownMargin)
{
}

TimePoint ShutdownSchedule::EarliestStop() const noexcept
{
  return m_startedAt + kDeregistrationTime + kIdleLinger;
}

TimePoint ShutdownSchedule::FinalResponses() const noexcept
{
  return m_latestStop - kResponseTime;
}

TimePoint ShutdownSchedule::LatestStop() const noexcept
{
  return m_latestStop;
}

bool ShutdownSchedule::Admits(Duration aTimeLimit,
                              TimePoint aNow) const noexcept
{
  const bool isExpected = aNow < m_startedAt + kDeregistrationTime;
  const bool fits = aNow + aTimeLimit <= FinalResponses();
  return aNow < FinalResponses() && (isExpected || fits);
}

} // namespace auburntrestle::fleet
