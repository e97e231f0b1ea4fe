#ifndef AUBURNTRESTLE_ROUTING_TIMER_SET_HPP
#define AUBURNTRESTLE_ROUTING_TIMER_SET_HPP

#include "auburntrestle/core/time.hpp"

#include <cstdint>
#include <optional>
#include <set>
#include <tuple>

namespace auburntrestle::routing::internal {

/** The purpose of a timer. */
enum class TimerKind : std::uint8_t
{
  Deadline,
  Hedge,
  Progress,
  BackendRetry,
};

/** A timer, identified by its values. */
struct Timer
{
  TimePoint m_at;
  TimerKind m_kind = TimerKind::Deadline;
  /** A request id, or the index of a backend server. */
  std::uint64_t m_subject = 0;
  std::uint32_t m_attempt = 0;

  friend bool operator<(const Timer& aLeft, const Timer& aRight) noexcept
  {
    const auto key = [](const Timer& aTimer) {
      return std::tie(
        aTimer.m_at, aTimer.m_kind, aTimer.m_subject, aTimer.m_attempt);
    };
    return key(aLeft) < key(aRight);
  }
};

/** Pending timers in order of time. */
class TimerSet
{
public:
  void Arm(const Timer& aTimer) { m_timers.insert(aTimer); }
  void Disarm(const Timer& aTimer) { m_timers.erase(aTimer); }

  /** Removes and returns the first timer that is due. */
  [[nodiscard]] std::optional<Timer> PopDue(TimePoint aNow)
  {
    if (m_timers.empty() || m_timers.begin()->m_at > aNow) {
      return std::nullopt;
    }
    const Timer timer = *m_timers.begin();
    m_timers.erase(m_timers.begin());
    return timer;
  }

  [[nodiscard]] std::optional<TimePoint> NextDue() const
  {
    if (m_timers.empty()) {
      return std::nullopt;
    }
    return m_timers.begin()->m_at;
  }

private:
  std::set<Timer> m_timers;
};

} // namespace auburntrestle::routing::internal

#endif
