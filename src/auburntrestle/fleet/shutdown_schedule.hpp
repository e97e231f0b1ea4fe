#ifndef AUBURNTRESTLE_FLEET_SHUTDOWN_SCHEDULE_HPP
#define AUBURNTRESTLE_FLEET_SHUTDOWN_SCHEDULE_HPP

#include "auburntrestle/core/time.hpp"

namespace auburntrestle::fleet {

/**
 * The schedule of the planned shutdown of an entry instance: which requests it
 * still takes, and when it responds to those that have not finished. Reads no
 * clock.
 */
class ShutdownSchedule
{
public:
  /** Time from the start of a shutdown until callers open no new connections to
   * this instance. */
  static constexpr Duration kDeregistrationTime =
    std::chrono::milliseconds(2600);

  /**
   * @param aStartedAt the start of the shutdown.
   * @param aAllowedTime the time after which the process is killed.
   */
  ShutdownSchedule(TimePoint aStartedAt, Duration aAllowedTime) noexcept;

  /** @return when this instance ends if it has no requests in progress. */
  [[nodiscard]] TimePoint EarliestStop() const noexcept;
  /** @return when unfinished requests get their final response. */
  [[nodiscard]] TimePoint FinalResponses() const noexcept;
  /** @return when this instance ends in any case. */
  [[nodiscard]] TimePoint LatestStop() const noexcept;

  /**
   * Decides whether a request is taken. Callers that are still directed here
   * are served as before. After that, a request whose time limit ends too late
   * would be cut off, and is refused so that another instance runs it.
   *
   * @param aTimeLimit the longest time that the request may take.
   */
  [[nodiscard]] bool Admits(Duration aTimeLimit, TimePoint aNow) const noexcept;

private:
  TimePoint m_startedAt;
  TimePoint m_latestStop;
};

} // namespace auburntrestle::fleet

#endif
