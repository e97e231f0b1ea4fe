#ifndef AUBURNTRESTLE_CORE_TIME_HPP
#define AUBURNTRESTLE_CORE_TIME_HPP

#include <chrono>
#include <cstdint>

namespace auburntrestle {

/** A span of time in microseconds. */
using Duration = std::chrono::duration<std::int64_t, std::micro>;

/**
 * A clock that never goes back within one process. Packages without I/O do not
 * read it: they receive the time as an argument.
 */
struct MonotonicClock
{
  // The standard library prescribes these names for a clock.
  // NOLINTBEGIN(readability-identifier-naming)
  using duration = Duration;
  using rep = Duration::rep;
  using period = Duration::period;
  using time_point = std::chrono::time_point<MonotonicClock>;
  static constexpr bool is_steady = true;
  // NOLINTEND(readability-identifier-naming)

  /** @return the current time. */
  [[nodiscard]] static time_point Now() noexcept
  {
    return time_point(std::chrono::duration_cast<Duration>(
      std::chrono::steady_clock::now().time_since_epoch()));
  }
};

/** A time of the monotonic clock; comparable only within this process. */
using TimePoint = MonotonicClock::time_point;

/** A monotonic clock that also counts the time for which the machine was
 * suspended, unlike MonotonicClock. */
struct BootClock
{
  // NOLINTBEGIN(readability-identifier-naming)
  using duration = Duration;
  using rep = Duration::rep;
  using period = Duration::period;
  using time_point = std::chrono::time_point<BootClock>;
  static constexpr bool is_steady = true;
  // NOLINTEND(readability-identifier-naming)

  /** @return the current time. */
  [[nodiscard]] static time_point Now() noexcept;
};

/** A time since the start of the machine; comparable only on this machine. */
using BootTime = BootClock::time_point;

/** Time since the Unix epoch. */
using WallTime = std::chrono::duration<std::int64_t, std::milli>;

} // namespace auburntrestle

#endif
