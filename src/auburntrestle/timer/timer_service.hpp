#ifndef AUBURNTRESTLE_TIMER_TIMER_SERVICE_HPP
#define AUBURNTRESTLE_TIMER_TIMER_SERVICE_HPP

#include "auburntrestle/core/strong_type.hpp"
#include "auburntrestle/core/time.hpp"

#include <tl/expected.hpp>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <set>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

namespace auburntrestle::timer {

/** Identifies a timer; a service never reuses an id. */
using TimerId = StrongType<struct TimerIdTag, std::uint64_t>;

/** Why a timer was refused. */
enum class TimerError : std::uint8_t
{
  /** The interval is not above zero. */
  BadInterval,
};

/** @return the stable name of an error. */
[[nodiscard]] std::string_view ToString(TimerError aError) noexcept;

/** A timer that has expired. */
struct Expiry
{
  TimerId m_id;
  /** The scheduled time; the first one if several have passed. */
  TimePoint m_at;
  /**
   * Number of further expiries that have passed. They are not reported one by
   * one, so that a process that was paused does not repeat old work.
   */
  std::uint64_t m_missed = 0;

  friend bool operator==(const Expiry&, const Expiry&) = default;
};

/**
 * Single and periodic timers. It reads no clock: the caller wakes up at
 * NextDeadline and passes the time to Advance. Each operation takes O(log n)
 * for n timers; Advance takes that for each expired timer.
 */
class TimerService
{
public:
  /** Schedules a single expiry at a time, which may have passed. */
  [[nodiscard]] TimerId ScheduleAt(TimePoint aAt);

  /**
   * Schedules expiries at aFirst and at every interval after it. A late Advance
   * does not shift them.
   *
   * @return BadInterval if the interval is not above zero.
   */
  [[nodiscard]] tl::expected<TimerId, TimerError> ScheduleEvery(
    TimePoint aFirst,
    Duration aInterval);

  /** @return whether the timer existed; a single one ends when it expires. */
  bool Cancel(TimerId aId);

  /**
   * Removes and returns the expiries up to a time.
   *
   * @return the expiries by time, and by order of creation for equal times.
   */
  [[nodiscard]] std::vector<Expiry> Advance(TimePoint aNow);

  /** @return the earliest scheduled time, or nothing without timers. */
  [[nodiscard]] std::optional<TimePoint> NextDeadline() const;

  /** @return the number of timers. */
  [[nodiscard]] std::size_t size() const noexcept { return m_timers.size(); }
  [[nodiscard]] bool empty() const noexcept { return m_timers.empty(); }

private:
  struct Timer
  {
    TimePoint m_at;
    /** Zero for a single expiry. */
    Duration m_interval;
  };

  TimerId Add(TimePoint aAt, Duration aInterval);

  // An ordered set rather than a heap: it removes a cancelled timer at once, so
  // that the many deadlines that are cancelled before expiry use no memory.
  std::set<std::pair<TimePoint, TimerId>> m_byDeadline;
  std::unordered_map<TimerId, Timer> m_timers;
  TimerId m_lastId;
};

} // namespace auburntrestle::timer

#endif
